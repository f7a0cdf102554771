package rack

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"daisylug.example/scheduler/platform"
)

// Start starts a gang in two steps: it reserves all members under one generation
// and then commits them. If a step fails, it releases and stops all members. The
// error is *RequestError, *NotOwnerError, *DuplicateError or *StartError; nothing
// was sent to a worker in the first three cases.
func (o *Owner) Start(ctx context.Context, r GangRequest) error {
	if err := r.validate(); err != nil {
		return err
	}
	g, runCtx, err := o.admitGang(r)
	if err != nil {
		return err
	}
	defer o.starts.Done()
	defer close(g.startFinished)
	if err := o.reserveMembers(ctx, g, r); err != nil {
		return o.abortStart(runCtx, g, err, NotExecuted)
	}
	if err := ctx.Err(); err != nil {
		return o.abortStart(runCtx, g, err, NotExecuted)
	}
	// From here on the start continues even if the caller's context ends.
	if ran, err := o.commitMembers(runCtx, g); err != nil {
		return o.abortStart(runCtx, g, err, ran)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	g.phase = phaseRunning
	for _, st := range o.workerStates {
		st.wake()
	}
	return nil
}

func (r GangRequest) validate() error {
	switch {
	case r.Job == "":
		return &RequestError{Field: "job", Reason: "is empty"}
	case len(r.Members) == 0:
		return &RequestError{Field: "members", Reason: "is empty"}
	}
	for i, m := range r.Members {
		if m.Accelerators <= 0 {
			return &RequestError{Field: "members", Reason: fmt.Sprintf("asks for %d accelerators for member %d", m.Accelerators, i)}
		}
	}
	return nil
}

// admitGang registers a gang if the rack is owned and has enough capacity. It also
// returns the context of the active run.
func (o *Owner) admitGang(r GangRequest) (*gang, context.Context, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy != nil || o.activeRun == nil || o.draining || !o.isReady() {
		return nil, nil, o.notOwnerLocked()
	}
	for _, g := range o.gangs {
		same := g.job == r.Job
		if same && (g.attempt == r.Attempt || !g.finished()) {
			return nil, nil, &DuplicateError{Job: r.Job, Attempt: g.attempt}
		}
	}
	if o.closed[attemptID{r.Job, r.Attempt}] {
		return nil, nil, &DuplicateError{Job: r.Job, Attempt: r.Attempt}
	}
	if worker, err := o.checkCapacity(r); err != nil {
		return nil, nil, &StartError{Job: r.Job, Attempt: r.Attempt, Worker: worker, Ran: NotExecuted, Cause: err}
	}
	g := newGang(attemptID{r.Job, r.Attempt}, len(r.Members))
	g.team, g.template, g.borrowed, g.expectedEnd = r.Team, r.Template, r.Borrowed, r.ExpectedEnd
	for i, m := range r.Members {
		g.members[i].worker = m.Worker
		g.members[i].accelerators = m.Accelerators
		g.members[i].state = platform.TaskReserved
	}
	o.gangs[g.attemptID] = g
	o.starts.Add(1)
	return g, o.activeRun.ctx, nil
}

// checkCapacity returns an error and the name of the worker if a worker of the
// request cannot accept its members.
func (o *Owner) checkCapacity(r GangRequest) (string, error) {
	needed := map[string]int{}
	for _, m := range r.Members {
		needed[m.Worker] += m.Accelerators
	}
	now := time.Now()
	for name, n := range needed {
		st := o.workerStates[name]
		switch {
		case st == nil:
			return name, &platform.NotFoundError{Kind: "worker", Name: name}
		case !now.Before(st.deadline.Add(-leaseMargin)):
			return name, &LeaseError{Worker: name}
		case st.inventory.Leaving, st.info.State == platform.StateLeaving:
			return name, &platform.LeavingError{Worker: name}
		case o.free(st) < n:
			return name, &platform.BusyError{Worker: name}
		}
	}
	return "", nil
}

// memberError is the error of one member in a step of the start, with the name of
// its worker.
type memberError struct {
	worker string
	cause  error
}

func (e *memberError) Error() string { return e.cause.Error() }

func (e *memberError) Unwrap() error { return e.cause }

// executeForAll executes one command for each member concurrently. The first
// failure cancels the others.
func (o *Owner) executeForAll(ctx context.Context, g *gang, retryable func(error) bool, make func(i int) command, onDone func(i int, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	for i, m := range g.members {
		eg.Go(func() error {
			err := o.executeWithRetry(ctx, m, make(i), retryable)
			onDone(i, err)
			if err != nil {
				return &memberError{worker: m.worker, cause: err}
			}
			return nil
		})
	}
	return eg.Wait()
}

// reserveMembers reserves the accelerators of all members. It does not repeat a
// command whose outcome is unknown: the first one could arrive after the member
// was started and stopped again, and a late commit would then start the member a
// second time.
func (o *Owner) reserveMembers(ctx context.Context, g *gang, r GangRequest) error {
	deadline := time.Now().Add(reservationTTL)
	return o.executeForAll(ctx, g, isUnsent, func(i int) command {
		return func(ctx context.Context, w platform.Worker, gen platform.Generation) error {
			return w.Reserve(ctx, platform.Reservation{
				Generation:   gen,
				Task:         g.members[i].task,
				Team:         r.Team,
				Template:     r.Template,
				Accelerators: r.Members[i].Accelerators,
				Members:      len(r.Members),
				Borrowed:     r.Borrowed,
				Deadline:     deadline,
				Checkpoint:   r.Members[i].Checkpoint,
				Payload:      r.Payload,
			})
		}
	}, func(int, error) {})
}

// commitMembers starts all members. On failure it also returns whether some of
// them have run.
func (o *Owner) commitMembers(ctx context.Context, g *gang) (Execution, error) {
	var mu sync.Mutex
	ran := NotExecuted
	err := o.executeForAll(ctx, g, isTransient, func(i int) command {
		return func(ctx context.Context, w platform.Worker, gen platform.Generation) error {
			o.markCommitted(g.members[i])
			err := w.Commit(ctx, gen, g.members[i].task)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				ran = Executed
			case ran == NotExecuted && !isRejected(err):
				ran = ExecutionUnknown
			}
			return err
		}
	}, func(i int, err error) {
		if err != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		g.members[i].state = platform.TaskRunning
		g.members[i].started = time.Now()
	})
	return ran, err
}

func (o *Owner) markCommitted(m *memberState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m.committed = true
}

// isRejected reports whether the error proves that a worker has not executed a
// commit.
func isRejected(err error) bool {
	var (
		denied      *platform.DeniedError
		missing     *platform.NotFoundError
		unavailable *platform.UnavailableError
	)
	return errors.As(err, &denied) || errors.As(err, &missing) || errors.As(err, &unavailable)
}

// abortStart stops a gang that could not be started as a whole. It waits up to
// stepTimeout for the members to end; after that the stop continues in the
// background.
func (o *Owner) abortStart(runCtx context.Context, g *gang, err error, ran Execution) error {
	failure := &StartError{Job: g.job, Attempt: g.attempt, Ran: ran, Cause: err}
	var m *memberError
	if errors.As(err, &m) {
		failure.Worker, failure.Cause = m.worker, m.cause
	}
	o.mu.Lock()
	o.beginStop(g, nil)
	o.mu.Unlock()
	timer := time.NewTimer(stepTimeout)
	defer timer.Stop()
	select {
	case <-g.membersEnded:
	case <-timer.C:
	case <-runCtx.Done():
	}
	return failure
}
