package rack

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"daisylug.example/scheduler/platform"
)

// Stop ends a gang without an outcome. It returns *platform.NotFoundError if
// the job is not on the rack, *EndedError if the gang had ended by itself, and
// *StopError if ctx ends before all members are stopped.
func (o *Owner) Stop(ctx context.Context, job string) error {
	g, err := o.find(ctx, job)
	if err != nil {
		return err
	}
	return o.stop(ctx, g)
}

// Evict saves a checkpoint of each member and stops the gang within grace,
// whether or not all checkpoints were saved. It returns the checkpoints by
// member; a missing one has no name. Its errors are those of Stop.
func (o *Owner) Evict(ctx context.Context, job string, grace time.Duration) ([]platform.Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	g, err := o.find(ctx, job)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	saving, end := context.WithDeadline(ctx, deadline.Add(-min(grace/stopShare, stopLimit)))
	defer end()
	saved := o.checkpoint(saving, g)
	return saved, o.stop(ctx, g)
}

// find returns the gang of a job once no start of it is under way.
func (o *Owner) find(ctx context.Context, job string) (*gang, error) {
	g, err := o.lookup(job)
	if err != nil {
		return nil, err
	}
	select {
	case <-g.begun:
		return g, nil
	case <-ctx.Done():
		return nil, &StopError{Job: job, Cause: ctx.Err()}
	}
}

func (o *Owner) lookup(job string) (*gang, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost != nil || o.run == nil || !o.isReady() {
		return nil, o.notOwnerLocked()
	}
	for r, g := range o.gangs {
		if r.job == job && g.phase != phaseEnded {
			return g, nil
		}
	}
	return nil, &platform.NotFoundError{Kind: "job", Name: job}
}

// checkpoint saves all members at the same time, each as often as ctx allows.
func (o *Owner) checkpoint(ctx context.Context, g *gang) []platform.Checkpoint {
	saved := make([]platform.Checkpoint, len(g.members))
	var wait sync.WaitGroup
	for i, p := range g.members {
		wait.Go(func() {
			err := o.insist(ctx, p, func(_ context.Context, w platform.Worker, gen platform.Generation) error {
				// A checkpoint may take longer than other orders.
				c, err := w.Checkpoint(ctx, gen, p.task)
				if err == nil {
					saved[i] = c
				}
				return err
			}, transient)
			if err != nil {
				o.log.V(1).Info("no checkpoint", "job", g.job, "member", i, "error", err)
			}
		})
	}
	wait.Wait()
	return saved
}

// stop condemns a gang and waits until it is concluded.
func (o *Owner) stop(ctx context.Context, g *gang) error {
	o.mu.Lock()
	if g.phase == phaseRunning || g.phase == phaseRecovering {
		o.condemn(g, nil)
	}
	r := o.run
	o.mu.Unlock()
	if r == nil {
		return o.notOwner()
	}
	select {
	case <-g.concluded:
	case <-ctx.Done():
		return &StopError{Job: g.job, Cause: ctx.Err()}
	case <-r.ctx.Done():
		return &StopError{Job: g.job, Cause: o.notOwner()}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.ended {
		return &EndedError{Job: g.job, Attempt: g.attempt}
	}
	return nil
}

// finish stops all members of a condemned gang, however long it takes.
func (o *Owner) finish(ctx context.Context, g *gang) {
	for !o.stopMembers(ctx, g) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopRetry):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if g.done() {
		g.ended = true
		g.outcome = g.result(o.rack, OutcomeDone, -1, "", time.Now())
	} else if g.outcome != nil {
		last := g.outcome
		g.outcome = g.result(o.rack, last.Kind, last.Member, last.Reason, time.Now())
	}
	o.conclude(g)
}

// stopMembers tries once to stop what runs and tells whether nothing does. It
// looks again afterwards, because a member may have ended with a result just
// before it was stopped.
func (o *Owner) stopMembers(ctx context.Context, g *gang) bool {
	var wait sync.WaitGroup
	for _, p := range o.occupying(g) {
		wait.Go(func() {
			if o.command(ctx, p, o.withdrawal(p)) != nil {
				return
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if !p.over() {
				p.state = platform.TaskStopped
			}
		})
	}
	wait.Wait()
	if len(o.occupying(g)) > 0 {
		return false
	}
	o.refresh(ctx, g)
	return len(o.occupying(g)) == 0
}

// withdrawal returns the order that frees a member's accelerators in whatever
// state the member is.
func (o *Owner) withdrawal(p *place) order {
	o.mu.Lock()
	reserved, committed := p.state == platform.TaskReserved, p.committed
	o.mu.Unlock()
	return func(ctx context.Context, w platform.Worker, g platform.Generation) error {
		if reserved {
			if err := w.Release(ctx, g, p.task); err != nil || !committed {
				return err
			}
		}
		return w.Stop(ctx, g, p.task)
	}
}

func (o *Owner) occupying(g *gang) []*place {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*place
	for _, p := range g.members {
		if p.worker != "" && !p.over() {
			all = append(all, p)
		}
	}
	return all
}

// refresh renews the inventories of the gang's workers.
func (o *Owner) refresh(ctx context.Context, g *gang) {
	var wait sync.WaitGroup
	for _, st := range o.stationsOf(g) {
		wait.Go(func() { _ = o.renew(ctx, st) })
	}
	wait.Wait()
}

func (o *Owner) stationsOf(g *gang) []*station {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	var all []*station
	for _, p := range g.members {
		st := o.stations[p.worker]
		if st != nil && !st.lost && !seen[p.worker] {
			seen[p.worker] = true
			all = append(all, st)
		}
	}
	return all
}

// conclude ends a gang of which no member runs. The caller holds the lock.
func (o *Owner) conclude(g *gang) {
	g.phase = phaseEnded
	close(g.concluded)
	o.spawn(func(ctx context.Context) { o.deliver(ctx, g) })
}

// deliver hands the outcome over until it is committed. Only then may the
// workers drop the results.
func (o *Owner) deliver(ctx context.Context, g *gang) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = deliveryFirst
	b.MaxInterval = deliveryLast
	for g.outcome != nil {
		err := o.sink.HandleOutcome(ctx, *g.outcome)
		if err == nil {
			break
		}
		o.log.V(1).Info("outcome is not committed", "job", g.job, "attempt", g.attempt, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.NextBackOff()):
		}
	}
	o.close(ctx, g)
}

// close forgets a gang and lets the workers drop what they keep of it.
func (o *Owner) close(ctx context.Context, g *gang) {
	o.mu.Lock()
	o.closed[g.ref] = true
	o.expiry = append(o.expiry, closing{ref: g.ref, forget: time.Now().Add(closedTime)})
	delete(o.gangs, g.ref)
	o.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range o.kept(g) {
		wait.Go(func() { _ = o.command(ctx, p, removal(p.task, p.state)) })
	}
	wait.Wait()
}

// kept returns the members of which the workers keep an outcome.
func (o *Owner) kept(g *gang) []*place {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*place
	for _, p := range g.members {
		if p.state == platform.TaskDone || p.state == platform.TaskFailed {
			all = append(all, p)
		}
	}
	return all
}
