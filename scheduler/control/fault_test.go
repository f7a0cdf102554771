package control

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
)

// settleTime is the time within which the planner has discovered its workers.
const settleTime = 200 * time.Millisecond

func TestFaults(t *testing.T) {
	singleTask := batch.Step{Tasks: 1, Estimate: 2 * time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}
	tests := []struct {
		name string
		// payload is how long the task runs; the default is 2 s.
		payload string
		// fault is injected after the job has run for a second.
		fault func(f *testCluster, p *Planner, stop func()) (*Planner, func())
		// after is when the state is checked, relative to the fault.
		after time.Duration
		want  batch.JobState
		// starts is the number of starts of the job that must have happened.
		starts int
	}{
		{
			name:  "none",
			fault: func(_ *testCluster, p *Planner, stop func()) (*Planner, func()) { return p, stop },
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "another planner takes over",
			fault: func(f *testCluster, _ *Planner, stop func()) (*Planner, func()) {
				stop()
				return f.startPlanner()
			},
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "a worker restarts",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				f.runnerOf("j").Restart()
				return p, stop
			},
			after: 6 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a worker becomes unresponsive", payload: "5s",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				f.runnerOf("j").SetFaults(memory.Faults{Silent: true})
				return p, stop
			},
			after: 16 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a worker becomes unresponsive and nothing starts before its lease has expired", payload: "5s",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				f.runnerOf("j").SetFaults(memory.Faults{Silent: true})
				return p, stop
			},
			after: leaseDuration, want: batch.JobRunning, starts: 1,
		},
		{
			name: "a leaving worker exits", payload: "5s",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				r := f.runnerOf("j")
				f.announceLeaving(r)
				time.Sleep(time.Second)
				r.SetFaults(memory.Faults{Outage: true})
				f.unlist(r)
				return p, stop
			},
			after: 7 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a leaving worker is partitioned from the network", payload: "5s",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				r := f.runnerOf("j")
				f.announceLeaving(r)
				r.SetFaults(memory.Faults{Outage: true})
				f.stopHeartbeats(r)
				time.Sleep(3 * heartbeatInterval)
				f.unlist(r)
				return p, stop
			},
			after: 2 * time.Second, want: batch.JobRunning, starts: 1,
		},
		{
			name: "a worker is gone and another planner takes over",
			fault: func(f *testCluster, _ *Planner, stop func()) (*Planner, func()) {
				r := f.runnerOf("j")
				stop()
				f.mu.Lock()
				delete(f.runners, r.Info().ID)
				f.mu.Unlock()
				return f.startPlanner()
			},
			after: 22 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "store outage while the task ends",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				f.store.SetFaults(memory.Faults{Silent: true})
				time.Sleep(4 * time.Second)
				f.store.SetFaults(memory.Faults{})
				return p, stop
			},
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "responses of the store are lost",
			fault: func(f *testCluster, p *Planner, stop func()) (*Planner, func()) {
				f.store.SetFaults(memory.Faults{ResponseLossRate: 0.5})
				return p, stop
			},
			after: 5 * time.Second, want: batch.JobDone, starts: 1,
		},
	}
	for _, tt := range tests {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed calls %v", tt.name, relayed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestCluster(t, 8)
					if relayed {
						f.addRelays(2)
					}
					p, stop := f.startPlanner()
					time.Sleep(settleTime)
					f.submit(p, batchJob("j", "later", "a", cmp.Or(tt.payload, "2s"), singleTask))
					time.Sleep(time.Second)
					p, stop = tt.fault(f, p, stop)
					defer stop()
					time.Sleep(tt.after)
					f.expectState(p, "later", "j", tt.want)
					if n := f.countStarts("j"); n != tt.starts {
						t.Errorf("%d starts, want %d", n, tt.starts)
					}
				})
			})
		}
	}
}

// TestRelayFails freezes an instance that relays calls, at several points of a
// gang's run. No task may run twice, and no run may be given up.
func TestRelayFails(t *testing.T) {
	for _, at := range []time.Duration{0, 5, 20, 100, 500, 1500, 2500} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				g := f.addRelays(2)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("g", "urgent", "a", "3s", gang(8, 8)))
				time.Sleep(at * time.Millisecond)
				g.freeze("a", 4*time.Second)
				time.Sleep(10 * time.Second)
				f.expectState(p, "urgent", "g", batch.JobDone)
				if n := f.countStarts("g"); n != 8 {
					t.Errorf("%d starts, want 8 for one run of the gang", n)
				}
			})
		})
	}
}

// TestOneRunAtATime checks that a job never runs twice at once while its worker
// becomes unresponsive and its runs continue for a while after their lease has
// expired.
func TestOneRunAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		for _, r := range f.runners {
			r.LeaseGracePeriod = stopTimeout
		}
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("j", "later", "a", "30s", batch.Step{
			Tasks: 1, Estimate: 20 * time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1},
		}))
		time.Sleep(time.Second)
		// The last renewals arrive, but their responses do not.
		f.runnerOf("j").SetFaults(memory.Faults{ResponseLossRate: 1})
		const interval = 20 * time.Millisecond
		for range int(20 * time.Second / interval) {
			time.Sleep(interval)
			running := 0
			for _, r := range f.runners {
				running += len(r.Running())
			}
			if running > 1 {
				t.Fatalf("%d concurrent runs at %v", running, time.Now().Format("05.000"))
			}
		}
		if n := f.countStarts("j"); n != 2 {
			t.Errorf("%d starts", n)
		}
	})
}
