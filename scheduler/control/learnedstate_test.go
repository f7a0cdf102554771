package control

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestSuccessorKnowsSlowWorkers checks that a planner restores the speeds that
// its predecessor has learned, except those of processes that have restarted.
func TestSuccessorKnowsSlowWorkers(t *testing.T) {
	for name, restart := range map[string]bool{"workers stay": false, "workers restart": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				for i := range 4 {
					f.runners[fmt.Sprintf("w%02d", 2*i)].Speed = 0.4
				}
				first, stop := f.startPlanner()
				time.Sleep(settleTime)
				for i := range 8 {
					f.submit(first, batchJob(fmt.Sprint("teach", i), "later", "a", "2s",
						batch.Step{Tasks: 16, Need: batch.Resources{MilliCPU: 16000, Accelerators: 1}}))
				}
				time.Sleep(20 * time.Second)
				first.mu.Lock()
				want := first.speeds.Estimates()
				first.mu.Unlock()
				if len(want) != len(f.runners) {
					t.Fatalf("%d workers have estimates, want all %d", len(want), len(f.runners))
				}
				stop()
				if restart {
					want = nil
					for _, r := range f.runners {
						r.Restart()
					}
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				p.mu.Lock()
				defer p.mu.Unlock()
				if got := p.speeds.Estimates(); !slices.Equal(got, want) {
					t.Errorf("estimates after the takeover: %+v, want %+v", got, want)
				}
			})
		})
	}
}
