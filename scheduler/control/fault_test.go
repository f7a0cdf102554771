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

// settle is the time in which the planner has found its workers.
const settle = 200 * time.Millisecond

func TestFaults(t *testing.T) {
	one := batch.Step{Tasks: 1, Estimate: 2 * time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}
	tests := []struct {
		name string
		// payload is how long the task runs, 2 s if it is empty.
		payload string
		// fault happens while the job runs for a second.
		fault func(f *floor, p *Planner, stop func()) (*Planner, func())
		// after is when the state is checked, counted from the fault.
		after time.Duration
		want  batch.JobState
		// starts is the number of starts of the job that must have happened.
		starts int
	}{
		{
			name:  "none",
			fault: func(_ *floor, p *Planner, stop func()) (*Planner, func()) { return p, stop },
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "another planner takes over",
			fault: func(f *floor, _ *Planner, stop func()) (*Planner, func()) {
				stop()
				return f.planner()
			},
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "a worker restarts",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				f.on("j").Restart()
				return p, stop
			},
			after: 6 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a worker falls silent", payload: "5s",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				f.on("j").SetFaults(memory.Faults{Silent: true})
				return p, stop
			},
			after: 16 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a worker falls silent and nothing starts before its lease has ended", payload: "5s",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				f.on("j").SetFaults(memory.Faults{Silent: true})
				return p, stop
			},
			after: lease, want: batch.JobRunning, starts: 1,
		},
		{
			name: "a leaving worker exits", payload: "5s",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				r := f.on("j")
				f.leave(r)
				time.Sleep(time.Second)
				r.SetFaults(memory.Faults{Outage: true})
				f.drop(r)
				return p, stop
			},
			after: 7 * time.Second, want: batch.JobDone, starts: 2,
		},
		{
			name: "a leaving worker is cut off", payload: "5s",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				r := f.on("j")
				f.leave(r)
				r.SetFaults(memory.Faults{Outage: true})
				f.silence(r)
				time.Sleep(3 * heartbeat)
				f.drop(r)
				return p, stop
			},
			after: 2 * time.Second, want: batch.JobRunning, starts: 1,
		},
		{
			name: "a worker is gone and another planner takes over",
			fault: func(f *floor, _ *Planner, stop func()) (*Planner, func()) {
				r := f.on("j")
				stop()
				f.mu.Lock()
				delete(f.runners, r.Info().ID)
				f.mu.Unlock()
				return f.planner()
			},
			after: 22 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "the store is away while the task ends",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				f.store.SetFaults(memory.Faults{Silent: true})
				time.Sleep(4 * time.Second)
				f.store.SetFaults(memory.Faults{})
				return p, stop
			},
			after: 3 * time.Second, want: batch.JobDone, starts: 1,
		},
		{
			name: "answers of the store are lost",
			fault: func(f *floor, p *Planner, stop func()) (*Planner, func()) {
				f.store.SetFaults(memory.Faults{ResponseLossRate: 0.5})
				return p, stop
			},
			after: 5 * time.Second, want: batch.JobDone, starts: 1,
		},
	}
	for _, tt := range tests {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, calls through others %v", tt.name, relayed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFloor(t, 8)
					if relayed {
						f.relay(2)
					}
					p, stop := f.planner()
					time.Sleep(settle)
					f.submit(p, batchJob("j", "later", "a", cmp.Or(tt.payload, "2s"), one))
					time.Sleep(time.Second)
					p, stop = tt.fault(f, p, stop)
					defer stop()
					time.Sleep(tt.after)
					f.expect(p, "later", "j", tt.want)
					if n := f.starts("j"); n != tt.starts {
						t.Errorf("%d starts, want %d", n, tt.starts)
					}
				})
			})
		}
	}
}

// TestRelayFails freezes an instance that makes calls, at each moment of a
// gang's run. Nothing runs twice, and nothing is given up.
func TestRelayFails(t *testing.T) {
	for _, at := range []time.Duration{0, 5, 20, 100, 500, 1500, 2500} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 8)
				g := f.relay(2)
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("g", "urgent", "a", "3s", gang(8, 8)))
				time.Sleep(at * time.Millisecond)
				g.freeze("a", 4*time.Second)
				time.Sleep(10 * time.Second)
				f.expect(p, "urgent", "g", batch.JobDone)
				if n := f.starts("g"); n != 8 {
					t.Errorf("%d starts, want those of one gang", n)
				}
			})
		})
	}
}

// TestOneRunAtATime watches a job while its worker falls silent and lets its
// runs go on for a while after the end of their lease.
func TestOneRunAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFloor(t, 8)
		for _, r := range f.runners {
			r.Linger = stopTime
		}
		p, stop := f.planner()
		defer stop()
		time.Sleep(settle)
		f.submit(p, batchJob("j", "later", "a", "30s", batch.Step{
			Tasks: 1, Estimate: 20 * time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1},
		}))
		time.Sleep(time.Second)
		// The last renewals arrive, but their answers do not.
		f.on("j").SetFaults(memory.Faults{ResponseLossRate: 1})
		const interval = 20 * time.Millisecond
		for range int(20 * time.Second / interval) {
			time.Sleep(interval)
			running := 0
			for _, r := range f.runners {
				running += len(r.Running())
			}
			if running > 1 {
				t.Fatalf("%d runs at %v", running, time.Now().Format("05.000"))
			}
		}
		if n := f.starts("j"); n != 2 {
			t.Errorf("%d starts", n)
		}
	})
}
