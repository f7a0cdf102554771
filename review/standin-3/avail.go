package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// noticeTime is bounds.notice_ms.
	noticeTime = 4500 * time.Millisecond
	// lastingTasks is the number of long-running tasks, of which maxUnavailable may be
	// away at a time as a result of the system's actions.
	lastingTasks   = 6
	maxUnavailable = 1
	// urgentDelay is when the urgent job comes after the loss of a worker: by then the
	// system has to know that the task there is away.
	urgentDelay = 5 * time.Second
)

// availMain checks AVAIL: one of 9 workers is lost for good, and later an urgent job
// needs a worker. A stop may make room, but not of a second long-running task.
func availMain(args []string) int {
	s, err := newSite(args[0])
	if err != nil {
		return notRun(nil, err)
	}
	defer s.close()
	owner, other := tenant{"kaje80", newID(), 8}, tenant{"lopo11", newID(), 0}
	if err := s.start(3, 1, []tenant{owner, other}); err != nil {
		return notRun(s, err)
	}
	time.Sleep(3 * time.Second)
	e := s.entries[0]
	// A whole worker each, without checkpoints: stopping one loses all its work.
	plain := job([]stepSpec{{MS: 90000, CPU: 26000, GPU: 8}}, step{"count": 3, "cpu": 26000, "mem_mb": 38000, "gpu": 8, "estimated_ms": 90000})
	plainID, err := s.submit(e, batch, other, plain)
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the batch job", func() bool { return len(s.running(plainID)) == 3 }); err != nil {
		return notRun(s, err)
	}
	lasting := job([]stepSpec{{CPU: 26000, GPU: 8, Lasting: true, Saves: true}}, step{
		"count": lastingTasks, "cpu": 26000, "mem_mb": 38000, "gpu": 8, "estimated_ms": 1000, "long_running": true, "max_unavailable": maxUnavailable, "saves_progress": true,
	})
	id, err := s.submit(e, batch, other, lasting)
	if err != nil {
		return notRun(s, err)
	}
	if err := s.await("the long-running tasks", func() bool { return len(s.running(id)) == lastingTasks }); err != nil {
		return notRun(s, err)
	}
	time.Sleep(5 * time.Second)
	lost, lostAt := "", int64(0)
	if trouble() {
		// The planner offers the runs for a stop in the order of the workers' ids, as many
		// as it may stop. The lost one must not be the first of them.
		var victim *workerProcess
		for task, w := range s.running(id) {
			if victim == nil || w.id > victim.id {
				victim, lost = w, task
			}
		}
		s.kill(victim.cmd)
		lostAt = time.Now().UnixMilli()
		s.note("worker %s is lost, with task %s", victim.id, lost)
	}
	time.Sleep(urgentDelay)
	quick := job([]stepSpec{{MS: 2500, CPU: 26000, GPU: 8}}, step{"count": 1, "cpu": 26000, "mem_mb": 38000, "gpu": 8, "estimated_ms": 2500})
	if status, _ := s.call(e, "POST", urgent, owner, newID(), quick); status != http.StatusOK {
		return notRun(s, errNotAccepted)
	}
	time.Sleep(10 * time.Second)
	return s.finish(s.checkAvail(id, lost, lostAt))
}

// checkAvail returns each stop of a long-running task at work that was ordered while
// maxUnavailable others were away: stopped, or not at work for noticeTime.
func (s *site) checkAvail(id, lost string, lostAt int64) []string {
	type state struct {
		worker       string
		atWork, away int64
		stopped      bool
	}
	tasks := map[string]*state{}
	var broken []string
	for _, e := range s.events() {
		if !strings.HasPrefix(e.Task, id+".") {
			continue
		}
		t := tasks[e.Task]
		if t == nil {
			t = &state{}
			tasks[e.Task] = t
		}
		switch e.What {
		case "start":
			*t = state{worker: e.Worker, atWork: e.At + startupTime.Milliseconds()}
		case "end":
			if e.Worker == t.worker {
				t.atWork, t.away = 0, e.At
			}
		case "stop ordered":
			if e.Worker != t.worker || t.atWork == 0 || e.At < t.atWork {
				continue
			}
			t.stopped = true
			var others []string
			for name, o := range tasks {
				away := o.atWork == 0 && e.At-o.away >= noticeTime.Milliseconds() || o.stopped
				if name == lost && lostAt > 0 && o.atWork < lostAt {
					away = e.At-lostAt >= noticeTime.Milliseconds()
				}
				if name != e.Task && away {
					others = append(others, name)
				}
			}
			if len(others) >= maxUnavailable {
				broken = append(broken, fmt.Sprintf("AVAIL: the stop at %.3f s ends task %s on worker %s, which is at work and sound, while %d of max_unavailable %d others are away: %v",
					s.since(e.At), e.Task, e.Worker, len(others), maxUnavailable, others))
			}
		}
	}
	return broken
}
