package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// TestFewLastingTasksAreAway checks that guaranteed work which preempts several
// long-running tasks interrupts no more of them at a time than allowed.
func TestFewLastingTasksAreAway(t *testing.T) {
	for name, c := range map[string]struct {
		allowed, worst int
	}{"one at a time": {1, 1}, "two at a time": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
					Tasks: 4, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, LongRunning: true, MaxUnavailable: c.allowed,
				}))
				time.Sleep(3 * time.Second)
				f.submit(p, batchJob("g", "urgent", "a", "2s", gang(4, 8)))
				peak := 0
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					running := 0
					for _, r := range f.runners {
						for _, run := range r.Running() {
							if run.Task.Job == "l" {
								running++
							}
						}
					}
					peak = max(peak, 4-running)
				}
				if peak > c.worst {
					t.Errorf("%d long-running tasks were unavailable at once, %d are allowed", peak, c.allowed)
				}
			})
		})
	}
}

// lastingStartup is after how long a long-running task is at work on a worker in memory.
const lastingStartup = 300 * time.Millisecond

// expectFewStoppedAtOnce checks that no long-running task of a job was stopped at work
// while as many others as allowed were not at work.
func (f *testCluster) expectFewStoppedAtOnce(id string, tasks, allowed int) {
	f.t.Helper()
	var spans []memory.Span
	for _, r := range f.runners {
		for _, s := range r.Spans() {
			if s.Task.Job == id {
				spans = append(spans, s)
			}
		}
	}
	for _, s := range spans {
		if s.Outcome != platform.RunStopped || s.Ended.Sub(s.Started) < lastingStartup {
			continue
		}
		atWork := 0
		for _, other := range spans {
			if other.Task != s.Task && s.Ended.Sub(other.Started) >= lastingStartup && (other.Ended.IsZero() || other.Ended.After(s.Ended)) {
				atWork++
			}
		}
		if away := tasks - 1 - atWork; away >= allowed {
			f.t.Errorf("task %v is stopped at work at %v while %d others are not, %d are allowed", s.Task, s.Ended.Format("05.000"), away, allowed)
		}
	}
}

// TestLastingTasksThatHaveJustStarted guards against long-running tasks that are stopped
// together because no report has shown them at work yet.
func TestLastingTasksThatHaveJustStarted(t *testing.T) {
	for _, age := range []time.Duration{100, 310, 400, 600, 900, 1200, 1700} {
		age *= time.Millisecond
		t.Run(age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 9)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("filler", "later", "b", "60s", batch.Step{
					Tasks: 4, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8},
				}))
				time.Sleep(2 * time.Second)
				f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
					Tasks: 5, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, LongRunning: true, MaxUnavailable: 1,
				}))
				time.Sleep(age)
				submitted := time.Now()
				f.submit(p, batchJob("g", "urgent", "a", "9s", batch.Step{
					Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8},
				}))
				const reclaim = 3400 * time.Millisecond
				time.Sleep(reclaim)
				f.expectFewStoppedAtOnce("l", 5, 1)
				if n := f.countStarts("g"); n != 3 {
					t.Errorf("%d tasks of the guaranteed job have begun %v after its acceptance, want 3", n, time.Since(submitted))
				}
			})
		})
	}
}

// TestLastingTaskIsStoppedBesideALostOne guards against a long-running task that is
// stopped for other work while one of its step is away with its silent worker.
func TestLastingTaskIsStoppedBesideALostOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 5)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
			Tasks: 5, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, LongRunning: true, MaxUnavailable: 1,
		}))
		time.Sleep(3 * time.Second)
		f.runners["w04"].SetFaults(memory.Faults{Silent: true})
		const notice = 4 * time.Second
		time.Sleep(notice)
		f.submit(p, batchJob("g", "urgent", "a", "9s", batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}))
		time.Sleep(time.Second)
		for id, r := range f.runners {
			for _, s := range r.Spans() {
				if s.Task.Job == "l" && s.Outcome == platform.RunStopped {
					t.Errorf("task %v is stopped on %s while another one is away", s.Task, id)
				}
			}
		}
	})
}

// TestGuaranteedTasksWaitForMovesInTurn guards against a guaranteed job that begins
// nothing because its tasks together need more long-running ones to move than may be
// unavailable at a time.
func TestGuaranteedTasksWaitForMovesInTurn(t *testing.T) {
	for name, c := range map[string]struct{ tasks, allowed int }{"two of one": {2, 1}, "three of one": {3, 1}, "four of two": {4, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 9
				f := newTestCluster(t, workers)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				half := batch.Step{Tasks: workers, Need: batch.Resources{MilliCPU: 1000, Accelerators: 4}, MaxPerWorker: 1}
				f.submit(p, batchJob("filler", "later", "b", "3s", half))
				time.Sleep(time.Second)
				half.MaxPerWorker, half.LongRunning, half.MaxUnavailable = 0, true, c.allowed
				f.submit(p, batchJob("l", "later", "b", "lasting", half))
				time.Sleep(5 * time.Second)
				f.submit(p, batchJob("g", "urgent", "a", "9s", batch.Step{
					Tasks: c.tasks, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8},
				}))
				const reclaim = 3400 * time.Millisecond
				time.Sleep(reclaim)
				begun := map[int]bool{}
				for _, r := range f.runners {
					for _, s := range r.Starts() {
						if s.Task.Job == "g" {
							begun[s.Task.Index] = true
						}
					}
				}
				if len(begun) != c.tasks {
					t.Errorf("%d tasks of the guaranteed job have begun %v after its acceptance, want %d", len(begun), reclaim, c.tasks)
				}
				f.expectFewStoppedAtOnce("l", workers, c.allowed)
			})
		})
	}
}
