package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/term"
)

// heldCall is the first start of a cluster. It gets no response and is carried out
// when it is delivered.
type heldCall struct {
	// refuseRetry makes the worker refuse the second start.
	refuseRetry bool
	// deliverAt is the run that takes the held start to its worker when it begins, or 0.
	deliverAt int

	mu     sync.Mutex
	starts int
	// worker and request are set once a start is held, result once it is delivered.
	worker  *memory.Runner
	request platform.StartRequest
	result  error
}

// call returns the held start and its worker.
func (h *heldCall) call() (*memory.Runner, platform.StartRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker, h.request
}

// deliver carries the held start out.
func (h *heldCall) deliver() {
	worker, request := h.call()
	_, err := worker.Start(context.Background(), request)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result = err
}

// rejected reports whether the held start was delivered and rejected.
func (h *heldCall) rejected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.result != nil
}

// holdingRunner holds the first start of the cluster.
type holdingRunner struct {
	platform.Runner
	held *heldCall
}

func (r *holdingRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	h := r.held
	h.mu.Lock()
	h.starts++
	n := h.starts
	if n == 1 {
		h.worker, h.request = r.Runner.(*memory.Runner), request
	}
	h.mu.Unlock()
	switch {
	case n == 1:
		<-ctx.Done()
		return 0, &platform.UnknownOutcomeError{Service: "worker"}
	case n == 2 && h.refuseRetry:
		return 0, &platform.UnhealthyError{Status: 503}
	}
	clock, err := r.Runner.Start(ctx, request)
	if request.Number == h.deliverAt {
		h.deliver()
	}
	return clock, err
}

// TestLateStartReachesRestartedWorker guards against a start without a response that is
// carried out by a later process of its worker, beside or after another run of the task.
func TestLateStartReachesRestartedWorker(t *testing.T) {
	single := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}
	for name, c := range map[string]struct {
		step    batch.Step
		payload string
		// deliverAt is the run with which the late start is delivered; 0 means long
		// after the restart.
		deliverAt   int
		refuseRetry bool
		cancelled   bool
		// pause is how long the worker is missing in the registry before its restart.
		pause time.Duration
	}{
		"run goes on elsewhere":          {step: single, payload: "9s", deliverAt: 2},
		"gang goes on elsewhere":         {step: gang(2, 8), payload: "9s", deliverAt: 2},
		"run has ended":                  {step: single, payload: "300ms"},
		"start was refused":              {step: single, payload: "20s", refuseRetry: true},
		"job was cancelled":              {step: single, payload: "20s", cancelled: true},
		"worker was out of the registry": {step: single, payload: "300ms", pause: unlistedRetention + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				for _, r := range f.runners {
					r.SetLabels("k")
				}
				c.step.Label = "k"
				held := &heldCall{deliverAt: c.deliverAt, refuseRetry: c.refuseRetry}
				f.wrapRunner = func(r platform.Runner) platform.Runner { return &holdingRunner{r, held} }
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", c.payload, c.step))
				time.Sleep(2 * time.Second)
				if c.cancelled {
					if v := p.Cancel(t.Context(), JobRef{ID: "j", Queue: "later"}); v.Outcome != OutcomeAccepted {
						t.Fatalf("cancellation: outcome %d", v.Outcome)
					}
					time.Sleep(2 * time.Second)
				}
				worker, request := held.call()
				if c.pause > 0 {
					f.unlist(worker)
					time.Sleep(c.pause)
					f.list(worker)
				}
				// The next run begins elsewhere.
				worker.SetLabels()
				worker.Restart()
				time.Sleep(4 * time.Second)
				if c.deliverAt == 0 {
					held.deliver()
				}
				time.Sleep(time.Second)
				if !held.rejected() {
					t.Errorf("the late start of %v was carried out", request.Run)
				}
				f.expectOneRunAtATime()
			})
		})
	}
}

// TestStartIsNotRepeatedAtAnotherKind guards against a start without a response that is
// repeated at a later process of its worker although that lacks the required label.
func TestStartIsNotRepeatedAtAnotherKind(t *testing.T) {
	// The registry is read before or after the start is repeated, and the new process may
	// be known from a poll first.
	for _, silence := range []time.Duration{50, 150, 250, 350, 450, 700, 1500, 4300} {
		silence *= time.Millisecond
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 3)
				for _, r := range f.runners {
					r.SetLabels("k")
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				worker := f.runners["w01"]
				worker.SetFaults(memory.Faults{Silent: true})
				f.submit(p, batchJob("j", "later", "a", "9s", batch.Step{
					Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, Label: "k",
				}))
				time.Sleep(silence)
				worker.SetLabels()
				worker.Restart()
				f.awaitRegistry()
				worker.SetFaults(memory.Faults{})
				time.Sleep(5 * time.Second)
				if n := len(worker.Starts()); n > 0 {
					t.Errorf("%d starts on a worker without the label", n)
				}
				time.Sleep(20 * time.Second)
				f.expectState(p, "later", "j", batch.JobDone)
			})
		})
	}
}

// expectOneRunAtATime checks that no task has begun while it was running, or after it
// was done.
func (f *testCluster) expectOneRunAtATime() {
	f.t.Helper()
	runs := map[batch.TaskID][]memory.Span{}
	for _, r := range f.runners {
		for _, s := range r.Spans() {
			for _, other := range runs[s.Task] {
				first, second := other, s
				if second.Started.Before(first.Started) {
					first, second = second, first
				}
				if first.Outcome == platform.RunDone || first.Ended.IsZero() || first.Ended.After(second.Started) {
					f.t.Errorf("run %v begins at %v beside or after run %d, %q at %v", second.Run, second.Started.Format("05.000"),
						first.Number, first.Outcome, first.Ended.Format("05.000"))
				}
			}
			runs[s.Task] = append(runs[s.Task], s)
		}
	}
}

// latePollRunner drops polls that acknowledge an end and carries them out after its
// worker has restarted.
type latePollRunner struct {
	*memory.Runner
	mu      sync.Mutex
	dropped []platform.RenewLeaseRequest
}

func (r *latePollRunner) RenewLease(ctx context.Context, request platform.RenewLeaseRequest) (platform.RunnerState, error) {
	r.mu.Lock()
	drop := request.AcknowledgedSequence > 0 && len(r.dropped) == 0
	if drop {
		r.dropped = append(r.dropped, request)
	}
	r.mu.Unlock()
	if drop {
		<-ctx.Done()
		return platform.RunnerState{}, &platform.UnknownOutcomeError{Service: "worker"}
	}
	return r.Runner.RenewLease(ctx, request)
}

// first returns the first dropped poll, and false if there is none.
func (r *latePollRunner) first() (platform.RenewLeaseRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.dropped) == 0 {
		return platform.RenewLeaseRequest{}, false
	}
	return r.dropped[0], true
}

// TestLatePollReachesRestartedWorker guards against a poll without a response that is
// carried out by a later process of its worker and makes that process forget ends.
func TestLatePollReachesRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		late := &latePollRunner{Runner: f.runners["w00"]}
		f.wrapRunner = func(platform.Runner) platform.Runner { return late }
		p, stop := f.startPlanner()
		defer stop()
		single := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
		time.Sleep(settleTime)
		f.submit(p, batchJob("before", "later", "a", "100ms", single))
		time.Sleep(2 * time.Second)
		dropped, ok := late.first()
		if !ok {
			t.Fatal("no poll was dropped")
		}
		worker := f.runners["w00"]
		worker.Restart()
		time.Sleep(4 * time.Second)
		f.submit(p, batchJob("j", "later", "a", "1s", single))
		// The run has ended, and the late poll overtakes the one that reads its end.
		time.Sleep(900 * time.Millisecond)
		worker.SetFaults(memory.Faults{Outage: true})
		time.Sleep(200 * time.Millisecond)
		worker.SetFaults(memory.Faults{})
		_, err := worker.RenewLease(t.Context(), dropped)
		if err == nil {
			t.Error("the late poll was carried out")
		}
		time.Sleep(3 * time.Second)
		f.expectState(p, "later", "j", batch.JobDone)
		if n := f.countStarts("j"); n != 1 {
			t.Errorf("%d starts, want 1", n)
		}
		f.expectOneRunAtATime()
	})
}

// TestTokensUsedUp guards against tokens of a term that reach those of the next one, which
// a worker would then not follow.
func TestTokensUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		p.mu.Lock()
		p.tokensUsed = term.TokensPerTerm - 2
		last, after := p.nextToken(), p.nextToken()
		p.mu.Unlock()
		if next := p.Term.Generation() + term.TokensPerTerm; last >= next || after >= next {
			t.Errorf("tokens %d and %d, want less than %d", last, after, next)
		}
		time.Sleep(time.Second)
		leader, err := term.New(f.store, "x", 1).Leader(t.Context())
		if err != nil || leader.Name != "" {
			t.Errorf("leader %q, error %v, want none after the planner has resigned", leader.Name, err)
		}
	})
}
