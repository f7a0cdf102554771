package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// cuttableRunner is a worker behind a network link. While the link is cut, no
// response arrives, not even to calls in progress.
type cuttableRunner struct {
	platform.Runner
	cut *atomic.Bool
}

func (r *cuttableRunner) waitWhileCut(ctx context.Context) error {
	if !r.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
}

func (r *cuttableRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if err := r.waitWhileCut(ctx); err != nil {
		return 0, err
	}
	return r.Runner.Start(ctx, request)
}

func (r *cuttableRunner) RenewLease(ctx context.Context, request platform.RenewLeaseRequest) (platform.RunnerState, error) {
	if err := r.waitWhileCut(ctx); err != nil {
		return platform.RunnerState{}, err
	}
	state, err := r.Runner.RenewLease(ctx, request)
	if err := r.waitWhileCut(ctx); err != nil {
		return platform.RunnerState{}, err
	}
	return state, err
}

// TestCutDataCentreGetsNoTasks checks that jobs submitted shortly after a data
// centre was cut off run elsewhere, and that the data centre is used again once
// it responds.
func TestCutDataCentreGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 32)
		var cut, neverCut atomic.Bool
		f.wrapRunner = func(r platform.Runner) platform.Runner {
			if f.runners["w16"].Info().DataCentre != r.(*memory.Runner).Info().DataCentre {
				return &cuttableRunner{r, &cut}
			}
			return &cuttableRunner{r, &neverCut}
		}
		for id, r := range f.runners {
			r.SetDataCentre(map[bool]string{true: "a", false: "b"}[id < "w16"])
		}
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		singleTask := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}
		for i := range 8 {
			f.submit(p, batchJob(fmt.Sprint("long", i), "later", "a", "60s", singleTask))
		}
		time.Sleep(5 * time.Second)
		cut.Store(true)
		time.Sleep(1500 * time.Millisecond)
		for i := range 16 {
			f.submit(p, batchJob(fmt.Sprint("during", i), "later", "a", "2s", singleTask))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for i := range 16 {
			f.expectState(p, "later", fmt.Sprint("during", i), batch.JobDone)
		}
		cut.Store(false)
		time.Sleep(3 * time.Second)
		for i := range 20 {
			f.submit(p, batchJob(fmt.Sprint("after", i), "later", "a", "2s", singleTask))
		}
		time.Sleep(2500 * time.Millisecond)
		for i := range 20 {
			f.expectState(p, "later", fmt.Sprint("after", i), batch.JobDone)
		}
	})
}

func TestOverdue(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	lastResponse, now := at(0), at(1000)
	tests := []struct {
		name  string
		calls callTracker
		want  bool
	}{
		{"no call", callTracker{}, false},
		{"pending beyond the margin", callTracker{pending: map[int]time.Time{1: at(100)}}, true},
		{"pending within the margin", callTracker{pending: map[int]time.Time{1: at(900)}}, false},
		{"long poll", callTracker{pending: map[int]time.Time{1: at(1500)}}, false},
		{"failed after the last response", callTracker{lastMissed: at(100)}, true},
		{"failed before the last response", callTracker{lastMissed: at(-100)}, false},
		{"failed before and overdue after the last response", callTracker{lastMissed: at(-100), pending: map[int]time.Time{2: at(500)}}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := c.calls.overdue(lastResponse, now); got != c.want {
				t.Errorf("overdue: %t, want %t", got, c.want)
			}
		})
	}
}
