package main

import (
	"net/http"
	"slices"
	"time"
)

const (
	// urgentWorkers is the number of workers that the urgent job of the case needs,
	// plainWorkers that of those with work that may be stopped.
	urgentWorkers = 3
	plainWorkers  = 4
)

// freshMain checks AVAIL: an urgent job needs workers just after long-running tasks have
// come to work on some of them. The others hold work without such a limit.
func freshMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	owner, other := tenant{"kaje80", newID(), urgentWorkers * whole}, tenant{"lopo11", newID(), 0}
	if err := s.start(3, 1, []tenant{owner, other}); err != nil {
		return notRun(s, err)
	}
	time.Sleep(4 * time.Second)
	e, workers := s.entries[0], len(s.workers)-plainWorkers
	plain := job([]stepSpec{{MS: 90000, CPU: 26000, GPU: whole}}, step{"count": plainWorkers, "cpu": 26000, "mem_mb": 38000, "gpu": whole, "estimated_ms": 90000})
	if _, err := s.submit(e, batch, other, plain); err != nil {
		return notRun(s, err)
	}
	time.Sleep(3 * time.Second)
	id, err := s.submit(e, batch, other, job([]stepSpec{{CPU: 26000, GPU: whole, Lasting: true, Saves: true}}, step{
		"count": workers, "cpu": 26000, "mem_mb": 38000, "gpu": whole, "estimated_ms": 1000, "long_running": true,
		"max_unavailable": maxUnavailable, "saves_progress": true,
	}))
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the long-running tasks", func() bool { return len(s.running(id)) == workers }); err != nil {
		return notRun(s, err)
	}
	all := s.events()
	latest := slices.MaxFunc(all, func(a, b event) int { return int(a.At - b.At) })
	// All are at work by now.
	time.Sleep(time.Until(time.UnixMilli(latest.At).Add(startupTime + 100*time.Millisecond)))
	if !trouble() {
		time.Sleep(5 * time.Second)
	}
	s.note("all %d long-running tasks are at work", workers)
	quick := job([]stepSpec{{MS: 2500, CPU: 26000, GPU: whole}}, step{"count": urgentWorkers, "cpu": 26000, "mem_mb": 38000, "gpu": whole, "estimated_ms": 2500})
	if status, _ := s.call(e, "POST", urgent, owner, newID(), quick); status != http.StatusOK {
		return notRun(s, errNotAccepted)
	}
	time.Sleep(8 * time.Second)
	return s.finish(s.checkAvail(id, "", 0))
}
