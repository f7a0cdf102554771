package main

import (
	"fmt"
	"time"
)

const (
	// calmTime and idleTime are the times of LOST: a long-running task may not be
	// without a run for idleTime after calmTime without a disruption.
	calmTime = 4 * time.Second
	idleTime = 3 * time.Second
	// restartDelay is when the platform starts a killed process again.
	restartDelay = 1 * time.Second
	// contactTime is bounds.contact_timeout_ms.
	contactTime = 3 * time.Second
)

// handedMain checks LOST for long-running tasks: a worker is lost for good, and some
// seconds later the process of the planner is killed.
func handedMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	t := tenant{"kaje80", newID(), 8}
	if err := s.start(3, 1, []tenant{t}); err != nil {
		return notRun(s, err)
	}
	id, err := s.submit(s.entries[0], batch, t, job([]stepSpec{{CPU: 5600, GPU: 1, Lasting: true}},
		step{"count": 9, "cpu": 5600, "mem_mb": 11000, "gpu": 1, "estimated_ms": 1000, "long_running": true, "anti_affinity": 2}))
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the long-running tasks", func() bool { return len(s.running(id)) == 9 }); err != nil {
		return notRun(s, err)
	}
	time.Sleep(4 * time.Second)
	var lost []string
	if trouble() {
		var victim *workerProcess
		for _, w := range s.running(id) {
			victim = w
			break
		}
		for task, w := range s.running(id) {
			if w == victim {
				lost = append(lost, task)
			}
		}
		s.kill(victim.cmd)
		s.note("worker %s is lost, with tasks %v", victim.id, lost)
	}
	time.Sleep(5 * time.Second)
	calmFrom := time.Now()
	if trouble() {
		leader := s.leader()
		if leader == nil {
			return notRun(s, errTimeout)
		}
		s.kill(leader.cmd)
		s.note("the process of %s, which runs the planner, is killed", leader.name)
		time.Sleep(restartDelay)
		if err := s.startEntry(leader); err != nil {
			return notRun(s, err)
		}
		s.note("%s is started again", leader.name)
		calmFrom = time.Now()
	}
	time.Sleep(20 * time.Second)
	limit := calmFrom.Add(contactTime + calmTime + idleTime)
	var broken []string
	for _, task := range lost {
		latest := int64(0)
		for _, e := range s.events() {
			if e.Task == task && e.What == "start" {
				latest = e.At
			}
		}
		if latest > limit.UnixMilli() || latest < calmFrom.UnixMilli()-6000 {
			broken = append(broken, fmt.Sprintf("LOST: long-running task %s had nothing running from %.3f s to %.3f s; its latest start is at %.3f s",
				task, limit.Add(-idleTime).Sub(s.begin).Seconds(), limit.Sub(s.begin).Seconds(), s.since(latest)))
		}
	}
	return s.finish(broken)
}
