package rack

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"daisylug.example/scheduler/platform"
)

// Stop ends a gang without an outcome. It returns *NotOwnerError if the instance
// does not own the rack, *platform.NotFoundError if the job is not on the rack,
// *EndedError if the gang had already completed, and *StopError if ctx ends or the
// rack is lost before all members are stopped.
func (o *Owner) Stop(ctx context.Context, job string) error {
	g, err := o.findStarted(ctx, job)
	if err != nil {
		return err
	}
	return o.stopAndWait(ctx, g)
}

// Evict saves a checkpoint of each member and stops the gang within the grace
// period, whether or not all checkpoints were saved. It returns the checkpoints by
// member number; a missing checkpoint has no name. It returns the same errors as
// Stop.
func (o *Owner) Evict(ctx context.Context, job string, grace time.Duration) ([]platform.Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	g, err := o.findStarted(ctx, job)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	checkpointCtx, cancelCheckpoint := context.WithDeadline(ctx, deadline.Add(-min(grace/stopGraceDivisor, maxStopTime)))
	defer cancelCheckpoint()
	saved := o.checkpoint(checkpointCtx, g)
	return saved, o.stopAndWait(ctx, g)
}

// findStarted returns the gang of a job after waiting for a start in progress.
func (o *Owner) findStarted(ctx context.Context, job string) (*gang, error) {
	g, err := o.lookup(job)
	if err != nil {
		return nil, err
	}
	select {
	case <-g.startFinished:
		return g, nil
	case <-ctx.Done():
		return nil, &StopError{Job: job, Cause: ctx.Err()}
	}
}

func (o *Owner) lookup(job string) (*gang, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy != nil || o.activeRun == nil || !o.isReady() {
		return nil, o.notOwnerLocked()
	}
	for id, g := range o.gangs {
		if id.job == job && g.phase != phaseEnded {
			return g, nil
		}
	}
	return nil, &platform.NotFoundError{Kind: "job", Name: job}
}

// checkpoint saves checkpoints of all members concurrently. It retries transient
// errors until ctx ends.
func (o *Owner) checkpoint(ctx context.Context, g *gang) []platform.Checkpoint {
	saved := make([]platform.Checkpoint, len(g.members))
	var wait sync.WaitGroup
	for i, m := range g.members {
		wait.Go(func() {
			err := o.executeWithRetry(ctx, m, func(_ context.Context, w platform.Worker, gen platform.Generation) error {
				// A checkpoint may take longer than callTimeout, so the context of
				// the eviction applies instead.
				c, err := w.Checkpoint(ctx, gen, m.task)
				if err == nil {
					saved[i] = c
				}
				return err
			}, isTransient)
			if err != nil {
				o.log.V(1).Info("failed to save checkpoint of gang member", "job", g.job, "member", i, "error", err)
			}
		})
	}
	wait.Wait()
	return saved
}

// stopAndWait begins to stop a gang and waits until no member runs any more.
func (o *Owner) stopAndWait(ctx context.Context, g *gang) error {
	o.mu.Lock()
	if g.phase == phaseRunning || g.phase == phaseRecovering {
		o.beginStop(g, nil)
	}
	r := o.activeRun
	o.mu.Unlock()
	if r == nil {
		return o.notOwner()
	}
	select {
	case <-g.membersEnded:
	case <-ctx.Done():
		return &StopError{Job: g.job, Cause: ctx.Err()}
	case <-r.ctx.Done():
		return &StopError{Job: g.job, Cause: o.notOwner()}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.completedBeforeStop {
		return &EndedError{Job: g.job, Attempt: g.attempt}
	}
	return nil
}

// stopUntilDone stops all members of a gang, with retries until ctx ends, and then
// ends the gang.
func (o *Owner) stopUntilDone(ctx context.Context, g *gang) {
	for !o.stopMembers(ctx, g) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopRetryInterval):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if g.done() {
		g.completedBeforeStop = true
		g.outcome = g.newOutcome(o.rack, OutcomeDone, -1, "", time.Now())
	} else if g.outcome != nil {
		last := g.outcome
		g.outcome = g.newOutcome(o.rack, last.Kind, last.Member, last.Reason, time.Now())
	}
	o.endGang(g)
}

// stopMembers tries once to stop all members that occupy accelerators and reports
// whether none is left. It renews the inventories afterwards, because a member may
// have ended with a result just before it was stopped.
func (o *Owner) stopMembers(ctx context.Context, g *gang) bool {
	var wait sync.WaitGroup
	for _, m := range o.occupyingMembers(g) {
		wait.Go(func() {
			if o.execute(ctx, m, o.freeingCommand(m)) != nil {
				return
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if !m.finished() {
				m.state = platform.TaskStopped
			}
		})
	}
	wait.Wait()
	if len(o.occupyingMembers(g)) > 0 {
		return false
	}
	o.renewWorkers(ctx, g)
	return len(o.occupyingMembers(g)) == 0
}

// freeingCommand returns the command that frees the accelerators of a member, which
// may be reserved or running.
func (o *Owner) freeingCommand(m *memberState) command {
	o.mu.Lock()
	reserved, committed := m.state == platform.TaskReserved, m.committed
	o.mu.Unlock()
	return func(ctx context.Context, w platform.Worker, g platform.Generation) error {
		if reserved {
			if err := w.Release(ctx, g, m.task); err != nil || !committed {
				return err
			}
		}
		return w.Stop(ctx, g, m.task)
	}
}

func (o *Owner) occupyingMembers(g *gang) []*memberState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*memberState
	for _, m := range g.members {
		if m.worker != "" && !m.finished() {
			all = append(all, m)
		}
	}
	return all
}

// renewWorkers renews the leases on the gang's workers, which also updates their
// inventories.
func (o *Owner) renewWorkers(ctx context.Context, g *gang) {
	var wait sync.WaitGroup
	for _, st := range o.reachableWorkers(g) {
		wait.Go(func() { _ = o.renew(ctx, st) })
	}
	wait.Wait()
}

func (o *Owner) reachableWorkers(g *gang) []*workerState {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	var all []*workerState
	for _, m := range g.members {
		st := o.workerStates[m.worker]
		if st != nil && !st.lost && !seen[m.worker] {
			seen[m.worker] = true
			all = append(all, st)
		}
	}
	return all
}

// endGang ends a gang without running members and delivers its outcome. The caller
// holds the lock.
func (o *Owner) endGang(g *gang) {
	g.phase = phaseEnded
	close(g.membersEnded)
	o.spawn(func(ctx context.Context) { o.deliverOutcome(ctx, g) })
}

// deliverOutcome delivers the outcome until it is committed. Only then may the
// workers delete the results.
func (o *Owner) deliverOutcome(ctx context.Context, g *gang) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialDeliveryBackoff
	b.MaxInterval = maxDeliveryBackoff
	for g.outcome != nil {
		err := o.outcomeHandler.HandleOutcome(ctx, *g.outcome)
		if err == nil {
			break
		}
		o.log.V(1).Info("failed to deliver outcome of gang, will retry", "job", g.job, "attempt", g.attempt, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.NextBackOff()):
		}
	}
	o.close(ctx, g)
}

// close removes a gang and lets its workers delete their results of it.
func (o *Owner) close(ctx context.Context, g *gang) {
	o.mu.Lock()
	o.closed[g.attemptID] = true
	o.closedByAge = append(o.closedByAge, closedAttempt{attemptID: g.attemptID, expires: time.Now().Add(closedTTL)})
	delete(o.gangs, g.attemptID)
	o.mu.Unlock()
	var wait sync.WaitGroup
	for _, m := range o.membersWithOutcome(g) {
		wait.Go(func() { _ = o.execute(ctx, m, removalCommand(m.task, m.state)) })
	}
	wait.Wait()
}

// membersWithOutcome returns the members whose result or failure is kept by their
// workers.
func (o *Owner) membersWithOutcome(g *gang) []*memberState {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*memberState
	for _, m := range g.members {
		if m.state == platform.TaskDone || m.state == platform.TaskFailed {
			all = append(all, m)
		}
	}
	return all
}
