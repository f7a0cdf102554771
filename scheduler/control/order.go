package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/relay"
)

const (
	// orderTimeout is the time for an answer to an order.
	orderTimeout = 500 * time.Millisecond
	// orderRetry is the time between two tries of an order without an answer.
	orderRetry = 50 * time.Millisecond
	// orderRetryLast is the same once a worker is silent.
	orderRetryLast = 500 * time.Millisecond
	// orderTries is the number of tries after which it counts as silent.
	orderTries = 3
)

// order starts a stored run and repeats the order until its outcome is known.
func (p *Planner) order(pl *placement) {
	for try := 0; ; try++ {
		p.mu.Lock()
		if pl.phase != phaseOrdered || pl.worker.placements[pl.id] != pl || p.lost {
			p.mu.Unlock()
			return
		}
		w := pl.worker
		now := time.Now()
		if w.failures >= silentAfter && try > 0 || p.Term.SinceLastCommit() > LeaseRenewalGracePeriod {
			// The next look that is answered shows whether the run is there, and
			// after a long time without a transaction another planner may be in
			// office.
			p.mu.Unlock()
			if !p.pause(try) {
				return
			}
			continue
		}
		p.extend(w, now)
		pl.sent = true
		o := platform.StartRequest{
			Run: platform.Run{Task: pl.id, Number: pl.run}, Generation: p.Term.Generation(),
			LeaseDeadline: w.lease(now, p.Timing.Lease), Payload: pl.job.spec.Payload, Checkpoint: pl.checkpoint, Ticket: pl.ticket,
		}
		runner := w.runner
		call := w.asked(now)
		p.mu.Unlock()

		ctx, cancel := context.WithTimeout(p.ctx, orderTimeout)
		clock, err := runner.Start(ctx, o)
		cancel()
		if p.startAnswered(pl, call, clock, err) || !p.pause(try) {
			return
		}
	}
}

// pause waits before the next try of an order, and reports whether the term
// goes on.
func (p *Planner) pause(try int) bool {
	d := orderRetry
	if try >= orderTries {
		d = orderRetryLast
	}
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startAnswered takes over the answer to a start and reports whether the
// outcome is known.
func (p *Planner) startAnswered(pl *placement, call int, clock time.Duration, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := pl.worker
	p.answered(w, call, err)
	if w.placements[pl.id] != pl {
		return true
	}
	if pl.phase == phaseStopping && !pl.doubtful && neverSent(err) {
		// There is nothing to stop.
		p.release(pl)
	}
	if pl.phase != phaseOrdered {
		return true
	}
	now := time.Now()
	var (
		full     *platform.NoCapacityError
		sick     *platform.UnhealthyError
		old      *platform.StaleRunError
		late     *platform.LeaseExpiredError
		fenced   *platform.FencedError
		reborn   *platform.RestartedError
		rejected *platform.RejectedError
		ticket   *platform.TicketError
		unsent   *platform.UnavailableError
	)
	switch {
	case err == nil:
		w.setClock(clock, now)
		p.confirm(pl, now)
		w.nudge()
		return true
	case errors.As(err, &late):
		w.setClock(late.Clock, now)
		return false
	case errors.As(err, &old):
		// An earlier try of this order may have run to its end, which the worker
		// lists until it is acknowledged.
		p.Log.Info("run is over before its start was answered", "task", pl.id, "run", pl.run, "worker", w.info.ID)
		pl.phase, pl.settled = phaseRunning, now
		w.nudge()
		return true
	case errors.As(err, &ticket):
		p.revoke(pl)
		p.refused(pl, err)
		return true
	case errors.As(err, &full), errors.As(err, &sick), errors.As(err, &rejected), errors.As(err, &reborn):
		p.bar(w, err.Error())
		p.refused(pl, err)
		return true
	case errors.As(err, &unsent) && unsent.Service == relay.Service:
		// The next try takes another way.
		return false
	case neverSent(err) && !pl.doubtful:
		// Nothing has arrived at the worker, so that the work may start elsewhere.
		p.bar(w, err.Error())
		p.refused(pl, err)
		return true
	case errors.As(err, &fenced):
		p.Log.Info("start fenced", "task", pl.id, "run", pl.run, "worker", w.info.ID)
		return false
	}
	pl.doubtful = true
	w.nudge()
	return false
}

// neverSent reports whether nothing of a call has arrived at the worker.
func neverSent(err error) bool {
	var unsent *platform.UnavailableError
	return errors.As(err, &unsent)
}

// refused gives up a run that its worker has not begun. If an earlier try of the
// order had no answer, that try may still be carried out, so that the run is
// stopped, which bars it. The caller holds the lock.
func (p *Planner) refused(pl *placement, cause error) {
	p.Log.Info("start refused", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "error", cause, "doubtful", pl.doubtful)
	if pl.doubtful {
		p.stop(pl)
	} else {
		p.release(pl)
	}
	if pl.step.Gang {
		p.stopGang(pl)
	}
	pl.worker.nudge()
}

// stop orders the end of a run. The caller holds the lock.
func (p *Planner) stop(pl *placement) {
	switch pl.phase {
	case phaseStopping:
		return
	case phaseReserved:
		p.release(pl)
		return
	case phaseOrdered:
		if !pl.sent {
			p.release(pl)
			return
		}
	}
	pl.phase = phaseStopping
	pl.settled = time.Time{}
	p.group.Go(func() error {
		p.orderStop(pl)
		return nil
	})
}

// stopGang stops the other members of a gang. The caller holds the lock.
func (p *Planner) stopGang(pl *placement) {
	for _, m := range p.members(pl) {
		if m != pl {
			p.stop(m)
		}
	}
}

// stopAll stops all runs of a job. The caller holds the lock.
func (p *Planner) stopAll(j *job) {
	if j.placed == 0 {
		return
	}
	for _, w := range p.workers {
		for _, pl := range w.placements {
			if pl.job == j {
				p.stop(pl)
			}
		}
	}
}

// orderStop stops a run and repeats the order until it is answered.
func (p *Planner) orderStop(pl *placement) {
	w := pl.worker
	for try := 0; ; try++ {
		p.mu.Lock()
		if w.placements[pl.id] != pl || p.lost {
			p.mu.Unlock()
			return
		}
		runner, expired := w.runner, p.Term.SinceLastCommit() > LeaseRenewalGracePeriod
		p.mu.Unlock()
		if expired {
			// Another planner may be in office.
			if !p.pause(orderTries) {
				return
			}
			continue
		}
		err := p.sendStop(runner, platform.Run{Task: pl.id, Number: pl.run})
		if err == nil {
			p.mu.Lock()
			pl.settled = time.Now()
			p.mu.Unlock()
			w.nudge()
			return
		}
		if !p.pause(try) {
			return
		}
	}
}

// stopUnknown stops a run that no job wants, once; the next look finds it
// again if that fails.
func (p *Planner) stopUnknown(w *worker, r platform.Run) {
	p.mu.Lock()
	runner := w.runner
	p.mu.Unlock()
	if err := p.sendStop(runner, r); err != nil {
		p.Log.Info("unknown run was not stopped", "task", r.Task, "run", r.Number, "worker", w.info.ID, "error", err)
	}
}

// sendStop sends one stop. A run that cannot exist any more counts as stopped.
func (p *Planner) sendStop(runner platform.Runner, r platform.Run) error {
	ctx, cancel := context.WithTimeout(p.ctx, orderTimeout)
	defer cancel()
	_, err := runner.Stop(ctx, platform.StopRequest{Run: r, Generation: p.Term.Generation()})
	var old *platform.StaleRunError
	var reborn *platform.RestartedError
	if errors.As(err, &old) || errors.As(err, &reborn) {
		return nil
	}
	return err
}
