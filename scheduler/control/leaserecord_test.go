package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/term"
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

// TestLeasesOfFailedPlanner guards against waiting, after a failure of the planner,
// for leases that it cannot have granted, and against giving up runs under those that
// it, or a planner before it, may have granted.
func TestLeasesOfFailedPlanner(t *testing.T) {
	active := time.Unix(1000, 0)
	timing := Timing{Lease: leaseDuration, StopTimeout: stopTimeout}
	own := timing.maxTime(maxUnconfirmedLease)
	unbounded := LeaseRenewalGracePeriod + timing.maxTime(timing.Lease)
	for _, tt := range []struct {
		name   string
		former term.Leader
		// takeover is the time from the former planner's latest transaction.
		takeover  time.Duration
		end, tail time.Duration
	}{
		{"no bound stored", term.Leader{}, 0, unbounded, unbounded},
		{"no bound stored, later", term.Leader{}, 5 * time.Second, unbounded, own},
		{"bound stored", term.Leader{LeaseTail: own}, 2 * time.Second, own, own},
		{"longer bound stored", term.Leader{LeaseTail: 20 * time.Second}, 2 * time.Second, 20 * time.Second, 18 * time.Second},
	} {
		end := FormerLeases(tt.former, active, timing)
		tail := timing.LeaseTail(end, active.Add(tt.takeover))
		if got := end.Sub(active); got != tt.end {
			t.Errorf("%s: leases end after %v, want %v", tt.name, got, tt.end)
		}
		if tail < tt.tail || tail > tt.tail+2*time.Millisecond {
			t.Errorf("%s: tail %v, want %v", tt.name, tail, tt.tail)
		}
	}
}

// TestLeasesEndWithTail guards against leases that last for longer after a transaction
// than a successor waits, and against short ones while transactions succeed.
func TestLeasesEndWithTail(t *testing.T) {
	for _, lease := range []time.Duration{3 * time.Second, leaseDuration, 10 * time.Second} {
		timing := Timing{Lease: lease, StopTimeout: stopTimeout}
		tail := timing.LeaseTail(time.Time{}, time.Unix(1000, 0))
		for since := time.Duration(0); since <= LeaseRenewalGracePeriod; since += 100 * time.Millisecond {
			granted := timing.grantableLease(since)
			if end := since + timing.maxTime(granted); end > tail {
				t.Errorf("lease of %v granted after %v ends after %v, the tail is %v", granted, since, end, tail)
			}
			if since <= time.Second && granted < lease {
				t.Errorf("lease of %v granted after %v, want %v", granted, since, lease)
			}
		}
		if granted := timing.grantableLease(time.Minute); granted != 0 {
			t.Errorf("lease of %v granted after a minute", granted)
		}
	}
}
