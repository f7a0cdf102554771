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

// Start starts a gang: it reserves all members under one generation and
// commits them, or releases and stops all. The error is *RequestError,
// *NotOwnerError or *DuplicateError if nothing was sent, otherwise *StartError.
func (o *Owner) Start(ctx context.Context, r GangRequest) error {
	if err := r.check(); err != nil {
		return err
	}
	g, own, err := o.admit(r)
	if err != nil {
		return err
	}
	defer o.starts.Done()
	defer close(g.begun)
	if err := o.reserve(ctx, g, r); err != nil {
		return o.abandon(own, g, err, NotExecuted)
	}
	if err := ctx.Err(); err != nil {
		return o.abandon(own, g, err, NotExecuted)
	}
	// From here on the gang starts even if the caller gives up.
	if ran, err := o.commit(own, g); err != nil {
		return o.abandon(own, g, err, ran)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	g.phase = phaseRunning
	for _, st := range o.stations {
		st.wake()
	}
	return nil
}

func (r GangRequest) check() error {
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

// admit enters a gang if the rack is owned and has room.
func (o *Owner) admit(r GangRequest) (*gang, context.Context, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost != nil || o.run == nil || o.draining || !o.isReady() {
		return nil, nil, o.notOwnerLocked()
	}
	for _, g := range o.gangs {
		same := g.job == r.Job
		if same && (g.attempt == r.Attempt || !g.over()) {
			return nil, nil, &DuplicateError{Job: r.Job, Attempt: g.attempt}
		}
	}
	if o.closed[ref{r.Job, r.Attempt}] {
		return nil, nil, &DuplicateError{Job: r.Job, Attempt: r.Attempt}
	}
	if worker, err := o.room(r); err != nil {
		return nil, nil, &StartError{Job: r.Job, Attempt: r.Attempt, Worker: worker, Ran: NotExecuted, Cause: err}
	}
	g := newGang(ref{r.Job, r.Attempt}, len(r.Members))
	g.team, g.template, g.borrowed, g.ends = r.Team, r.Template, r.Borrowed, r.ExpectedEnd
	for i, m := range r.Members {
		g.members[i].worker = m.Worker
		g.members[i].accelerators = m.Accelerators
		g.members[i].state = platform.TaskReserved
	}
	o.gangs[g.ref] = g
	o.starts.Add(1)
	return g, o.run.ctx, nil
}

// room checks that all workers of a request take it.
func (o *Owner) room(r GangRequest) (string, error) {
	needed := map[string]int{}
	for _, m := range r.Members {
		needed[m.Worker] += m.Accelerators
	}
	now := time.Now()
	for name, n := range needed {
		st := o.stations[name]
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

// memberError is the failure of one member's step.
type memberError struct {
	worker string
	cause  error
}

func (e *memberError) Error() string { return e.cause.Error() }

func (e *memberError) Unwrap() error { return e.cause }

// step carries out one order for each member at the same time. The first
// failure ends the others.
func (o *Owner) step(ctx context.Context, g *gang, again func(error) bool, make func(i int) order, done func(i int, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, stepTime)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	for i, p := range g.members {
		eg.Go(func() error {
			err := o.insist(ctx, p, make(i), again)
			done(i, err)
			if err != nil {
				return &memberError{worker: p.worker, cause: err}
			}
			return nil
		})
	}
	return eg.Wait()
}

// reserve does not repeat an order whose outcome is unknown. The first order
// could arrive after the member was started and stopped again, and a late
// commit would then start it a second time.
func (o *Owner) reserve(ctx context.Context, g *gang, r GangRequest) error {
	deadline := time.Now().Add(reservationTime)
	return o.step(ctx, g, unsent, func(i int) order {
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

// commit starts all members. On failure it tells whether some have run.
func (o *Owner) commit(ctx context.Context, g *gang) (Execution, error) {
	var mu sync.Mutex
	ran := NotExecuted
	err := o.step(ctx, g, transient, func(i int) order {
		return func(ctx context.Context, w platform.Worker, gen platform.Generation) error {
			o.markCommitted(g.members[i])
			err := w.Commit(ctx, gen, g.members[i].task)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				ran = Executed
			case ran == NotExecuted && !refused(err):
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

func (o *Owner) markCommitted(p *place) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.committed = true
}

// refused tells whether a worker has certainly not carried out a commit.
func refused(err error) bool {
	var (
		denied      *platform.DeniedError
		missing     *platform.NotFoundError
		unavailable *platform.UnavailableError
	)
	return errors.As(err, &denied) || errors.As(err, &missing) || errors.As(err, &unavailable)
}

// abandon stops a gang that could not be started as a whole, and waits a
// moment for it. It goes on in the background.
func (o *Owner) abandon(own context.Context, g *gang, err error, ran Execution) error {
	failure := &StartError{Job: g.job, Attempt: g.attempt, Ran: ran, Cause: err}
	var m *memberError
	if errors.As(err, &m) {
		failure.Worker, failure.Cause = m.worker, m.cause
	}
	o.mu.Lock()
	o.condemn(g, nil)
	o.mu.Unlock()
	limit := time.NewTimer(stepTime)
	defer limit.Stop()
	select {
	case <-g.concluded:
	case <-limit.C:
	case <-own.Done():
	}
	return failure
}
