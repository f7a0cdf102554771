package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestSmallJobBesideGangThatCannotStart guards against small jobs that wait for ever
// because a gang that does not fit beside long-running work has all idle workers held.
func TestSmallJobBesideGangThatCannotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 7)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		whole := batch.Resources{MilliCPU: 26000, MemoryMB: 38000, Accelerators: 8}
		f.submit(p, batchJob("background", "later", "b", "lasting", batch.Step{Tasks: 3, Need: whole, LongRunning: true}))
		time.Sleep(3 * time.Second)
		f.submit(p, batchJob("wide", "later", "a", "2s", batch.Step{Tasks: 5, Need: whole, Gang: true, Estimate: 2 * time.Second}))
		time.Sleep(time.Second)
		f.submit(p, batchJob("small", "later", "a", "4s", batch.Step{
			Tasks: 4, Need: batch.Resources{MilliCPU: 5600, MemoryMB: 11000, Accelerators: 1}, Estimate: 4 * time.Second,
		}))
		time.Sleep(3 * time.Second)
		if n := f.countStarts("small"); n != 4 {
			t.Errorf("%d starts of the small job, want 4", n)
		}
		if n := f.countStarts("wide"); n != 0 {
			t.Errorf("%d starts of the gang, want 0", n)
		}
	})
}
