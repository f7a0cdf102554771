package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
)

// TestEndLostWithLeavingWorker guards against a second run of work that was done: a run
// ends, the response that lists its end is lost, and the worker exits. Runs that cannot
// have ended start again at once.
func TestEndLostWithLeavingWorker(t *testing.T) {
	single := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}
	pair := gang(2, 8)
	for _, c := range []struct {
		name, payload string
		step          batch.Step
		// silentAt is when responses begin to get lost, exitAt when the worker exits, both
		// from the start of the run.
		silentAt, exitAt time.Duration
		// soon is the number of starts 2.5 s after the exit, later that after the lease.
		soon, later int
	}{
		{"ends after the latest response", "2s", single, 900 * time.Millisecond, 2010 * time.Millisecond, 1, 2},
		{"ends while it is silent", "2s", single, 900 * time.Millisecond, 2300 * time.Millisecond, 1, 2},
		{"cannot have ended", "20s", single, 3 * time.Second, 3500 * time.Millisecond, 2, 2},
		{"has just begun", "20s", batch.Step{Tasks: 1, Need: single.Need, Estimate: 20 * time.Second}, 100 * time.Millisecond, 300 * time.Millisecond, 2, 2},
		{"long-running", "lasting", batch.Step{Tasks: 1, Need: single.Need, LongRunning: true}, 2 * time.Second, 2300 * time.Millisecond, 2, 2},
		{"gang that goes on", "6s", pair, 3 * time.Second, 3500 * time.Millisecond, 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				// Run times of the queue are known.
				f.submit(p, batchJob("earlier", "later", "b", c.payload, single))
				if c.payload == "2s" {
					time.Sleep(3 * time.Second)
				}
				f.submit(p, batchJob("j", "later", "a", c.payload, c.step))
				time.Sleep(50 * time.Millisecond)
				r := f.runnerOf("j")
				f.announceLeaving(r)
				time.Sleep(c.silentAt)
				r.SetFaults(memory.Faults{ResponseLossRate: 1})
				time.Sleep(c.exitAt - c.silentAt)
				r.SetFaults(memory.Faults{Outage: true})
				f.unlist(r)
				time.Sleep(2500 * time.Millisecond)
				if n := f.countStarts("j"); n != c.soon {
					t.Errorf("%d starts soon after the exit, want %d", n, c.soon)
				}
				time.Sleep(leaseDuration + 3*time.Second)
				if n := f.countStarts("j"); n != c.later {
					t.Errorf("%d starts after the lease, want %d", n, c.later)
				}
			})
		})
	}
}
