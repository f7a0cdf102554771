package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// crashTime is how long each run of the faulty service lasts, but for the first one of
	// its second task, which lasts crashTime and crashOffset.
	crashTime   = 1 * time.Second
	crashOffset = 4500 * time.Millisecond
	// crashingTime is how long the service has been failing when the urgent job comes.
	crashingTime = 22 * time.Second
	// finishTime is bounds.finish_s, after which the job is asked for, watchTime how long it
	// is watched then.
	finishTime = 14 * time.Second
	watchTime  = 36 * time.Second
)

// crashMain checks LOST: the two tasks of a long-running job of one tenant fail again and
// again on the two workers of a kind. An urgent gang of another tenant, the last request
// of the traffic, needs half of both.
func crashMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	t, neighbour := tenant{"kaje80", newID(), 8}, tenant{"vuno17", newID(), 8}
	if err := s.start(3, 1, []tenant{t, neighbour}); err != nil {
		return notRun(s, err)
	}
	// Two more workers, of kind b.
	for z := range 2 {
		if _, err := s.addWorker(zones[z], fmt.Sprintf("r1-%d", z), "b"); err != nil {
			return notRun(s, err)
		}
	}
	time.Sleep(5 * time.Second)
	spec := stepSpec{CPU: 4000, Lasting: true}
	if trouble() {
		spec.FailMS = crashTime.Milliseconds()
		spec.First = []int64{crashTime.Milliseconds(), (crashTime + crashOffset).Milliseconds()}
	}
	service, err := s.submit(s.entries[0], batch, neighbour, job([]stepSpec{spec}, step{
		"count": 2, "cpu": 4000, "mem_mb": 4000, "estimated_ms": 1000, "long_running": true, "requirements": "b", "anti_affinity": 1,
	}))
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the service", func() bool { return len(s.running(service)) == 2 }); err != nil {
		return notRun(s, err)
	}
	time.Sleep(crashingTime)
	id, err := s.submit(s.entries[1], urgent, t, job([]stepSpec{{MS: 4000, CPU: 26000, GPU: 4}}, step{
		"count": 2, "cpu": 26000, "mem_mb": 38000, "gpu": 4, "estimated_ms": 4000, "requirements": "b", "gang": true, "anti_affinity": 1,
	}))
	if err != nil {
		return notRun(s, err)
	}
	accepted := time.Now()
	time.Sleep(finishTime)
	s.call(s.entries[2], http.MethodGet, urgent, t, id, nil)
	time.Sleep(watchTime)
	s.call(s.entries[2], http.MethodGet, urgent, t, id, nil)
	first := time.Now().UnixMilli()
	for _, e := range s.events() {
		if e.What == "start" && strings.HasPrefix(e.Task, id+".") {
			first = e.At
			break
		}
	}
	var broken []string
	if limit := accepted.Add(finishTime + idleTime); first > limit.UnixMilli() {
		broken = append(broken, fmt.Sprintf("LOST: job %s, accepted at %.3f s as the last request, has nothing running from %.3f s to %.3f s, for more than %v after the %v of finish_s; the two workers of its kind have 16 idle GPUs, it needs 8",
			id, accepted.Sub(s.begin).Seconds(), accepted.Sub(s.begin).Seconds(), s.since(first), idleTime, finishTime))
	}
	return s.finish(broken)
}
