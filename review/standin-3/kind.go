package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// darkTime is how long a worker is silent before it is back as a new process.
const darkTime = 4 * time.Second

// kindMain checks ROUTE: a worker crashes silently and starts again under its id, as one
// of another kind. A task that requires the former kind may not start on it.
func kindMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	t := tenant{"kaje80", newID(), 8}
	if err := s.start(3, 1, []tenant{t}); err != nil {
		return notRun(s, err)
	}
	// Two more workers, of kind b.
	var special []*workerProcess
	for z := range 2 {
		w, err := s.addWorker(zones[z], fmt.Sprintf("r1-%d", z), "b")
		if err != nil {
			return notRun(s, err)
		}
		special = append(special, w)
	}
	time.Sleep(5 * time.Second)
	crashed := special[1]
	restartedAt := int64(0)
	if trouble() {
		_ = crashed.cmd.Process.Signal(syscall.SIGSTOP)
		s.note("worker %s, of kind b, does not answer any more", crashed.id)
	}
	time.Sleep(300 * time.Millisecond)
	id, err := s.submit(s.entries[0], batch, t, job([]stepSpec{{MS: 20000, CPU: 26000, GPU: 8}},
		step{"count": 2, "cpu": 26000, "mem_mb": 38000, "gpu": 8, "estimated_ms": 20000, "requirements": "b"}))
	if err != nil {
		return notRun(s, err)
	}
	if trouble() {
		time.Sleep(darkTime)
		s.kill(crashed.cmd)
		if err := s.startWorker(crashed, "a"); err != nil {
			return notRun(s, err)
		}
		restartedAt = time.Now().UnixMilli()
		s.note("worker %s is back as a new process of kind a", crashed.id)
	}
	time.Sleep(8 * time.Second)
	var broken []string
	started := 0
	for _, e := range s.events() {
		if e.What != "start" || !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		started++
		isSpecial := slices.ContainsFunc(special, func(w *workerProcess) bool { return w.id == e.Worker })
		if !isSpecial || e.Worker == crashed.id && restartedAt > 0 && e.At >= restartedAt {
			broken = append(broken, fmt.Sprintf("ROUTE: task %s starts at %.3f s on worker %s, which has the labels a and %s, not b as required",
				e.Task, s.since(e.At), e.Worker, crashed.rack))
		}
	}
	if started == 0 {
		return notRun(s, errTimeout)
	}
	return s.finish(broken)
}
