package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestFewLastingTasksAreAway checks that guaranteed work which needs the room of
// several lasting tasks interrupts no more of them at a time than allowed.
func TestFewLastingTasksAreAway(t *testing.T) {
	for name, c := range map[string]struct {
		allowed, worst int
	}{"one at a time": {1, 1}, "two at a time": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 4)
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
					Tasks: 4, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, LongRunning: true, MaxUnavailable: c.allowed,
				}))
				time.Sleep(3 * time.Second)
				f.submit(p, batchJob("g", "urgent", "a", "2s", gang(4, 8)))
				most := 0
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
					most = max(most, 4-running)
				}
				if most > c.worst {
					t.Errorf("%d lasting tasks were away, %d are allowed", most, c.allowed)
				}
			})
		})
	}
}
