package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
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
