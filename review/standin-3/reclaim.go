package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// reclaimTime is bounds.reclaim_ms.
	reclaimTime = 3400 * time.Millisecond
	// half of a worker's accelerators, and all of them.
	half, whole = 4, 8
	// urgentTasks is the number of tasks of the urgent job, which need all accelerators
	// of a worker each and what is guaranteed to their tenant together.
	urgentTasks = 2
)

// reclaimMain checks RECLAIM: a long-running job of another tenant has a task on half
// of each worker, of which one may be away at a time. An urgent job within the guarantee
// of its tenant needs two whole workers.
func reclaimMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	owner, other := tenant{"kaje80", newID(), urgentTasks * whole}, tenant{"lopo11", newID(), 0}
	if err := s.start(3, 1, []tenant{owner, other}); err != nil {
		return notRun(s, err)
	}
	time.Sleep(3 * time.Second)
	e, workers := s.entries[0], len(s.workers)
	// Work on the other half of each worker, which ends before the urgent job comes.
	if _, err := s.submit(e, batch, other, job([]stepSpec{{MS: 4000, CPU: 26000, GPU: half}},
		step{"count": workers, "cpu": 26000, "mem_mb": 38000, "gpu": half, "estimated_ms": 4000, "anti_affinity": 1})); err != nil {
		return notRun(s, err)
	}
	time.Sleep(time.Second)
	lastingID := ""
	if trouble() {
		if lastingID, err = s.submit(e, batch, other, job([]stepSpec{{CPU: 26000, GPU: half, Lasting: true}}, step{
			"count": workers, "cpu": 26000, "mem_mb": 38000, "gpu": half, "estimated_ms": 1000, "long_running": true, "max_unavailable": maxUnavailable,
		})); err != nil {
			return notRun(s, err)
		}
	}
	time.Sleep(6 * time.Second)
	s.note("%d long-running tasks run", len(s.running(lastingID)))
	if trouble() && len(s.running(lastingID)) != workers {
		return notRun(s, errNoTrouble)
	}
	urgentID, err := s.submit(e, urgent, owner, job([]stepSpec{{MS: 8000, CPU: 26000, GPU: whole}},
		step{"count": urgentTasks, "cpu": 26000, "mem_mb": 38000, "gpu": whole, "estimated_ms": 8000}))
	if err != nil {
		return notRun(s, err)
	}
	accepted := time.Now()
	time.Sleep(20 * time.Second)
	s.call(e, "GET", urgent, owner, urgentID, nil)
	begun := map[string]float64{}
	inTime := 0
	for _, e := range s.events() {
		if _, ok := begun[e.Task]; !ok && e.What == "start" && strings.HasPrefix(e.Task, urgentID+".") {
			begun[e.Task] = s.since(e.At)
			if e.At <= accepted.Add(reclaimTime).UnixMilli() {
				inTime++
			}
		}
	}
	var broken []string
	if inTime < urgentTasks {
		broken = append(broken, fmt.Sprintf("RECLAIM: %d of the %d tasks of the urgent job have begun %v after its confirmation, %d in the 20 s after it",
			inTime, urgentTasks, reclaimTime, len(begun)))
	}
	return s.finish(append(broken, s.checkAvail(lastingID, "", 0)...))
}
