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

// lossyRunner drops the responses to starts until a time, and those to polls
// from a time until a second later than that.
type lossyRunner struct {
	platform.Runner
	from, until time.Time
}

func (r *lossyRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	clock, err := r.Runner.Start(ctx, request)
	if time.Now().Before(r.until) {
		return 0, &platform.UnknownOutcomeError{Service: "worker"}
	}
	return clock, err
}

func (r *lossyRunner) RenewLease(ctx context.Context, request platform.RenewLeaseRequest) (platform.RunnerState, error) {
	state, err := r.Runner.RenewLease(ctx, request)
	if now := time.Now(); now.After(r.from) && now.Before(r.until.Add(time.Second)) {
		<-ctx.Done()
		return platform.RunnerState{}, &platform.UnknownOutcomeError{Service: "worker"}
	}
	return state, err
}

// TestRunThatEndsBeforeItsStartIsAnswered checks that a run counts even if the
// planner learns of it only after it has ended.
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
				f := newTestCluster(t, 2)
				from := time.Now().Add(settleTime)
				until := from.Add(time.Second)
				f.wrapRunner = func(r platform.Runner) platform.Runner { return &lossyRunner{r, from, until} }
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", c.payload, batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}))
				time.Sleep(15 * time.Second)
				f.expectState(p, "later", "j", c.want)
				if n := f.countStarts("j"); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// delayedRunner delays the responses to starts.
type delayedRunner struct {
	platform.Runner
	delay time.Duration
}

func (r *delayedRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	clock, err := r.Runner.Start(ctx, request)
	time.Sleep(r.delay)
	return clock, err
}

// TestStartReachesRestartedWorker checks that a run counts if a worker started
// it after a restart that the planner had not noticed yet, even if the run has
// ended with a sequence number that was acknowledged to the previous process.
func TestStartReachesRestartedWorker(t *testing.T) {
	for _, length := range []string{"100ms", "1500ms"} {
		t.Run(length, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 1)
				f.wrapRunner = func(r platform.Runner) platform.Runner { return &delayedRunner{r, 300 * time.Millisecond} }
				p, stop := f.startPlanner()
				defer stop()
				singleTask := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
				time.Sleep(settleTime)
				for i := range 3 {
					f.submit(p, batchJob(fmt.Sprint("before", i), "later", "a", "100ms", singleTask))
				}
				time.Sleep(time.Second)
				f.runners["w00"].Restart()
				f.submit(p, batchJob("j", "later", "a", length, singleTask))
				time.Sleep(10 * time.Second)
				f.expectState(p, "later", "j", batch.JobDone)
				if n := f.countStarts("j"); n != 1 {
					t.Errorf("%d starts, want 1", n)
				}
			})
		})
	}
}

// lateRunner does not respond to the first start and executes it late; it
// rejects the second one.
type lateRunner struct {
	platform.Runner
	delay time.Duration
	// starts counts the starts on all workers.
	starts *int
}

func (r *lateRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if request.Task.Index > 0 {
		return r.Runner.Start(ctx, request)
	}
	*r.starts++
	switch *r.starts {
	case 1:
		time.AfterFunc(r.delay, func() { _, _ = r.Runner.Start(context.Background(), request) })
		<-ctx.Done()
		return 0, &platform.UnknownOutcomeError{Service: "worker"}
	case 2:
		return 0, &platform.UnhealthyError{Status: 503}
	}
	return r.Runner.Start(ctx, request)
}

// TestLateStartAfterRefusal checks that a start without a response that is
// executed after the worker has rejected the retry does not run alongside the
// run elsewhere.
func TestLateStartAfterRefusal(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}, "gang": gang(2, 8),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				starts := 0
				f.wrapRunner = func(r platform.Runner) platform.Runner { return &lateRunner{r, 3 * time.Second, &starts} }
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
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
						if done.IsZero() || s.Started.After(done) {
							t.Errorf("task %v started after it was done, or was never done: %+v", task, all)
						}
					}
				}
			})
		})
	}
}

// TestWorkerThatCannotBeReached checks that work starts elsewhere when a worker
// that is still listed has disappeared, long before its leases have expired.
func TestWorkerThatCannotBeReached(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}},
		"gang": gang(2, 8),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
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
				f.expectState(p, "later", "j", batch.JobDone)
			})
		})
	}
}
