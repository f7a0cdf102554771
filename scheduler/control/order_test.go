package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// unheard loses the answers to starts until a time, and those to looks from a
// time on until a second later than that.
type unheard struct {
	platform.Runner
	from, until time.Time
}

func (u *unheard) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	clock, err := u.Runner.Start(ctx, o)
	if time.Now().Before(u.until) {
		return 0, &platform.UnknownOutcomeError{Service: "worker"}
	}
	return clock, err
}

func (u *unheard) RenewLease(ctx context.Context, h platform.RenewLeaseRequest) (platform.RunnerState, error) {
	state, err := u.Runner.RenewLease(ctx, h)
	if now := time.Now(); now.After(u.from) && now.Before(u.until.Add(time.Second)) {
		<-ctx.Done()
		return platform.RunnerState{}, &platform.UnknownOutcomeError{Service: "worker"}
	}
	return state, err
}

// TestRunThatEndsBeforeItsStartIsAnswered checks that a run counts although the
// planner learned of it only when it was over.
func TestRunThatEndsBeforeItsStartIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		payload string
		want    batch.JobState
		starts  int
	}{
		"done":   {"300ms", batch.JobDone, 1},
		"failed": {"300ms fail", batch.JobFailed, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 2)
				from := time.Now().Add(settle)
				until := from.Add(time.Second)
				f.wrap = func(r platform.Runner) platform.Runner { return &unheard{r, from, until} }
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("j", "later", "a", c.payload, batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}))
				time.Sleep(15 * time.Second)
				f.expect(p, "later", "j", c.want)
				if n := f.starts("j"); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// slow delays the answers to starts.
type slow struct {
	platform.Runner
	delay time.Duration
}

func (s *slow) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	clock, err := s.Runner.Start(ctx, o)
	time.Sleep(s.delay)
	return clock, err
}

// TestStartReachesRestartedWorker checks that a run counts that a worker began
// after a restart of which the planner did not know yet, also if it has ended
// under a number that was acknowledged to the former process.
func TestStartReachesRestartedWorker(t *testing.T) {
	for _, length := range []string{"100ms", "1500ms"} {
		t.Run(length, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 1)
				f.wrap = func(r platform.Runner) platform.Runner { return &slow{r, 300 * time.Millisecond} }
				p, stop := f.planner()
				defer stop()
				one := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
				time.Sleep(settle)
				for i := range 3 {
					f.submit(p, batchJob(fmt.Sprint("before", i), "later", "a", "100ms", one))
				}
				time.Sleep(time.Second)
				f.runners["w00"].Restart()
				f.submit(p, batchJob("j", "later", "a", length, one))
				time.Sleep(10 * time.Second)
				f.expect(p, "later", "j", batch.JobDone)
				if n := f.starts("j"); n != 1 {
					t.Errorf("%d starts, want 1", n)
				}
			})
		})
	}
}

// tardy does not answer the first start and carries it out late; the second one
// it turns away.
type tardy struct {
	platform.Runner
	late time.Duration
	// starts counts those of all workers.
	starts *int
}

func (r *tardy) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	if o.Task.Index > 0 {
		return r.Runner.Start(ctx, o)
	}
	*r.starts++
	switch *r.starts {
	case 1:
		time.AfterFunc(r.late, func() { _, _ = r.Runner.Start(context.Background(), o) })
		<-ctx.Done()
		return 0, &platform.UnknownOutcomeError{Service: "worker"}
	case 2:
		return 0, &platform.UnhealthyError{Status: 503}
	}
	return r.Runner.Start(ctx, o)
}

// TestLateStartAfterRefusal checks that a start which had no answer, and is
// carried out after the worker has turned its repetition away, does not run
// beside the run elsewhere.
func TestLateStartAfterRefusal(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}, "gang": gang(2, 8),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 4)
				starts := 0
				f.wrap = func(r platform.Runner) platform.Runner { return &tardy{r, 3 * time.Second, &starts} }
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("j", "later", "a", "2s", step))
				time.Sleep(15 * time.Second)
				runs := map[batch.TaskID][]memory.Span{}
				for _, r := range f.runners {
					for _, s := range r.Spans() {
						runs[s.Task] = append(runs[s.Task], s)
					}
				}
				for task, all := range runs {
					var done time.Time
					for _, s := range all {
						if s.Outcome == platform.RunDone {
							done = s.Ended
						}
					}
					for _, s := range all {
						if done.IsZero() || s.Begun.After(done) {
							t.Errorf("task %v began after it was done, or never was: %+v", task, all)
						}
					}
				}
			})
		})
	}
}

// TestWorkerThatCannotBeReached starts work elsewhere when a worker has gone
// that still counts as there, long before its leases have ended.
func TestWorkerThatCannotBeReached(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}},
		"gang": gang(2, 8),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 4)
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				for _, id := range []string{"w00", "w01"} {
					f.runners[id].SetFaults(memory.Faults{Outage: true})
				}
				f.submit(p, batchJob("j", "later", "a", "2s", step))
				time.Sleep(1500 * time.Millisecond)
				running := 0
				for _, r := range f.runners {
					running += len(r.Running())
				}
				if running != step.Tasks {
					t.Errorf("%d tasks run, want %d", running, step.Tasks)
				}
				time.Sleep(3 * time.Second)
				f.expect(p, "later", "j", batch.JobDone)
			})
		})
	}
}
