package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
)

// TestSuccessorOfResignedPlanner guards against the work of workers that have left, or
// are silent, waiting for 15 s after a planned change of the planner, and against a
// second run while the first may be in progress.
func TestSuccessorOfResignedPlanner(t *testing.T) {
	const maxAway = 9 * time.Second
	tests := []struct {
		name string
		// silence makes the worker of the task silent before the planner resigns.
		silence func(f *testCluster, r *memory.Runner)
		// resignAfter is the time from then on.
		resignAfter time.Duration
		away        time.Duration
	}{
		{"a worker that is cut off", func(_ *testCluster, r *memory.Runner) {
			r.SetFaults(memory.Faults{Outage: true})
		}, 100 * time.Millisecond, maxAway},
		{"a worker that is cut off for some time", func(_ *testCluster, r *memory.Runner) {
			r.SetFaults(memory.Faults{Outage: true})
		}, 3 * time.Second, maxAway},
		{"a worker that has left", func(f *testCluster, r *memory.Runner) {
			f.announceLeaving(r)
			time.Sleep(2 * time.Second)
			f.unlist(r)
			r.Restart()
			r.SetFaults(memory.Faults{Outage: true})
		}, 50 * time.Millisecond, 3 * time.Second},
		{"a worker that leaves after the change", func(f *testCluster, r *memory.Runner) {
			f.announceLeaving(r)
			time.Sleep(time.Second)
			time.AfterFunc(500*time.Millisecond, func() {
				f.unlist(r)
				r.Restart()
				r.SetFaults(memory.Faults{Outage: true})
			})
		}, 50 * time.Millisecond, 4 * time.Second},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				p, stop := f.startPlanner()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", "lasting",
					batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}, LongRunning: true}))
				time.Sleep(5 * time.Second)
				r := f.runnerOf("j")
				c.silence(f, r)
				silent := time.Now()
				time.Sleep(c.resignAfter)
				p.Resign()
				time.Sleep(100 * time.Millisecond)
				stop()
				time.Sleep(200 * time.Millisecond)
				_, stop = f.startPlanner()
				defer stop()
				time.Sleep(time.Until(silent.Add(c.away)))
				running := 0
				for _, each := range f.runners {
					if each != r {
						running += len(each.Running())
					}
				}
				if running != 1 {
					t.Errorf("%d runs %v after the silence, want 1", running, c.away)
				}
				var ended, started time.Time
				for _, each := range f.runners {
					for _, s := range each.Spans() {
						if each == r {
							ended = s.Ended
						} else {
							started = s.Started
						}
					}
				}
				if ended.IsZero() || started.Before(ended) {
					t.Errorf("second run started %v before the first had ended", ended.Sub(started))
				}
			})
		})
	}
}

// TestInheritedLeasesOfFailedPlanner guards against counting the leases of a planner
// that has failed from its successor's start rather than from its latest transaction.
func TestInheritedLeasesOfFailedPlanner(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &Planner{startedAt: start}
	p.Timing = Timing{Lease: leaseDuration, StopTimeout: stopTimeout}
	longest := LeaseRenewalGracePeriod + p.maxLeaseTime()
	for _, tt := range []struct {
		name         string
		formerActive time.Time
		want         time.Time
	}{
		{"not known", time.Time{}, start.Add(longest)},
		{"row unchanged for 2 s", start.Add(-2 * time.Second), start.Add(longest - 2*time.Second)},
		{"after the start", start.Add(time.Second), start.Add(longest)},
	} {
		p.FormerActive = tt.formerActive
		if got := p.inheritedLeasesEnd("w"); !got.Equal(tt.want) {
			t.Errorf("%s: %v after the start, want %v", tt.name, got.Sub(start), tt.want.Sub(start))
		}
	}
}
