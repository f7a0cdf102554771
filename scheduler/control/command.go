package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/relay"
)

const (
	// commandTimeout is the timeout of a command to a worker.
	commandTimeout = 500 * time.Millisecond
	// commandRetryDelay is the delay between two attempts of an unanswered
	// command.
	commandRetryDelay = 50 * time.Millisecond
	// unresponsiveRetryDelay is the delay between two attempts once the worker
	// counts as unresponsive.
	unresponsiveRetryDelay = 500 * time.Millisecond
	// maxPromptAttempts is the number of unanswered attempts after which the
	// worker counts as unresponsive.
	maxPromptAttempts = 3
)

// startCall is the next attempt to start a run.
type startCall struct {
	runner  platform.Runner
	request platform.StartRequest
	// tracked identifies the call in the worker's call tracker.
	tracked int
	// done is set if no further attempt is needed, postponed if there is nothing to
	// send yet.
	done, postponed bool
}

// startUntilAnswered starts a stored run and repeats the start request until
// its outcome is known.
func (p *Planner) startUntilAnswered(pl *placement) {
	for try := 0; ; try++ {
		c := p.prepareStart(pl, try)
		if c.done {
			return
		}
		if !c.postponed {
			ctx, cancel := context.WithTimeout(p.ctx, commandTimeout)
			clock, err := c.runner.Start(ctx, c.request)
			cancel()
			if p.handleStartResponse(pl, c.tracked, clock, err) {
				return
			}
		}
		if !p.waitForRetry(try) {
			return
		}
	}
}

// prepareStart returns the next attempt to start a run.
func (p *Planner) prepareStart(pl *placement, try int) startCall {
	c := startCall{postponed: true}
	p.locked("start of a run", func() {
		p.processing = pl.job
		if pl.phase != phaseStarting || pl.worker.placements[pl.id] != pl || p.ended {
			c.done = true
			return
		}
		w := pl.worker
		now := time.Now()
		if w.failedPolls >= maxFailedPolls && try > 0 || w.restarting() || p.Term.SinceLastCommit() > LeaseRenewalGracePeriod || p.isIsolated(pl.job) {
			// The next successful poll shows whether the worker has the run, and
			// whether it is still the process that was chosen. After a long time
			// without a transaction another planner may be active.
			return
		}
		if err := p.checkStart(w); err != nil {
			p.withdrawStart(pl, err)
			c.done = true
			return
		}
		p.recordLease(w, now)
		if !pl.sent {
			pl.sent, pl.startedAt = true, now
		}
		c = startCall{runner: w.runner, tracked: w.trackCall(now), request: platform.StartRequest{
			Run: platform.Run{Task: pl.id, Number: pl.run}, Generation: w.token,
			LeaseDeadline: w.leaseDeadline(now, p.grantableLease()), Payload: pl.job.spec.Payload, Checkpoint: pl.checkpoint, Ticket: pl.ticket,
		}}
	})
	return c
}

// waitForRetry waits before the next attempt of a command. It returns false if
// the term has ended.
func (p *Planner) waitForRetry(try int) bool {
	delay := commandRetryDelay
	if try >= maxPromptAttempts {
		delay = unresponsiveRetryDelay
	}
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// handleStartResponse processes the response to a start request and reports
// whether the outcome is known.
func (p *Planner) handleStartResponse(pl *placement, call int, clock time.Duration, err error) bool {
	known := false
	p.locked("response to a start", func() {
		p.processing = pl.job
		known = p.applyStartResponse(pl, call, clock, err)
	})
	return known
}

// applyStartResponse is handleStartResponse for callers that hold the lock.
func (p *Planner) applyStartResponse(pl *placement, call int, clock time.Duration, err error) bool {
	w := pl.worker
	p.recordResponse(w, call, err)
	if w.placements[pl.id] != pl {
		return true
	}
	if pl.phase == phaseStopping && !pl.outcomeUnknown && notDelivered(err) {
		// There is nothing to stop.
		p.requeue(pl)
	}
	if pl.phase != phaseStarting {
		return true
	}
	now := time.Now()
	var (
		noCapacity    *platform.NoCapacityError
		unhealthy     *platform.UnhealthyError
		staleRun      *platform.StaleRunError
		leaseExpired  *platform.LeaseExpiredError
		fenced        *platform.FencedError
		restarted     *platform.RestartedError
		rejected      *platform.RejectedError
		invalidTicket *platform.TicketError
		evacuated     *platform.EvacuatedError
		unavailable   *platform.UnavailableError
	)
	switch {
	case err == nil:
		w.setClock(clock, now)
		p.confirmRun(pl, now)
		w.requestPoll()
		return true
	case errors.As(err, &leaseExpired):
		w.setClock(leaseExpired.Clock, now)
		return false
	case errors.As(err, &staleRun):
		// An earlier attempt may have started the run, which has already ended.
		// The worker lists its end until it is acknowledged.
		p.Log.Info("run ended before its start was confirmed", "task", pl.id, "run", pl.run, "worker", w.info.ID)
		pl.phase, pl.respondedAt = phaseRunning, now
		w.requestPoll()
		return true
	case errors.As(err, &invalidTicket):
		p.dropTicket(pl)
		p.handleRefusedStart(pl, err)
		return true
	case errors.As(err, &noCapacity), errors.As(err, &unhealthy), errors.As(err, &rejected), errors.As(err, &restarted):
		p.backOffWorker(w, err.Error())
		p.handleRefusedStart(pl, err)
		return true
	case errors.As(err, &evacuated):
		// A relay knows of the evacuation before this instance does.
		p.backOffWorker(w, err.Error())
		p.withdrawStart(pl, err)
		return true
	case errors.As(err, &unavailable) && unavailable.Service == relay.ServiceName:
		// The next attempt takes another path.
		return false
	case notDelivered(err) && !pl.outcomeUnknown:
		// The worker has received nothing, so the task may start elsewhere.
		p.backOffWorker(w, err.Error())
		p.handleRefusedStart(pl, err)
		return true
	case errors.As(err, &fenced):
		p.Log.Info("start rejected, worker follows a newer planner", "task", pl.id, "run", pl.run, "worker", w.info.ID)
		return false
	}
	pl.outcomeUnknown = true
	w.requestPoll()
	return false
}

// notDelivered reports whether the worker cannot have received the call.
func notDelivered(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

// handleRefusedStart gives up a run that its worker has not started. An earlier
// attempt without a response may still be executed; in that case the run is
// stopped, which keeps it from starting. The caller holds the lock.
func (p *Planner) handleRefusedStart(pl *placement, cause error) {
	p.Log.Info("start refused", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "error", cause, "doubtful", pl.outcomeUnknown)
	if pl.outcomeUnknown {
		p.stop(pl)
	} else {
		p.requeue(pl)
	}
	if pl.step.Gang {
		p.stopGang(pl)
	}
	pl.worker.requestPoll()
}

// stop stops a run. The caller holds the lock.
func (p *Planner) stop(pl *placement) {
	switch pl.phase {
	case phaseStopping:
		return
	case phaseReserved:
		p.requeue(pl)
		return
	case phaseStarting:
		if !pl.sent {
			p.requeue(pl)
			return
		}
	}
	pl.phase, pl.stoppedAt = phaseStopping, time.Now()
	pl.respondedAt = time.Time{}
	p.spawn("stop of a run", func() { p.stopUntilAnswered(pl) })
}

// stopGang stops the other members of a gang. The caller holds the lock.
func (p *Planner) stopGang(pl *placement) {
	for _, m := range p.gangMembers(pl) {
		if m != pl {
			p.stopFor(m, stopForGang)
		}
	}
}

// stopJob stops all runs of a job. The caller holds the lock.
func (p *Planner) stopJob(j *job) {
	if j.placementCount == 0 {
		return
	}
	for _, w := range p.workers {
		for _, pl := range w.placements {
			if pl.job == j {
				p.stopFor(pl, stopForEndedJob)
			}
		}
	}
}

// stopUntilAnswered stops a run and repeats the stop request until it is
// answered.
func (p *Planner) stopUntilAnswered(pl *placement) {
	w := pl.worker
	for try := 0; ; try++ {
		var stop stopCall
		gone, expired := false, true
		p.locked("stop of a run", func() {
			gone = w.placements[pl.id] != pl || p.ended
			stop, expired = w.newStop(platform.Run{Task: pl.id, Number: pl.run}), p.Term.SinceLastCommit() > LeaseRenewalGracePeriod
		})
		if gone {
			return
		}
		if expired {
			// Another planner may be active.
			if !p.waitForRetry(maxPromptAttempts) {
				return
			}
			continue
		}
		err := p.sendStop(stop)
		if err == nil {
			p.locked("stop of a run", func() { pl.respondedAt = time.Now() })
			w.requestPoll()
			return
		}
		if !p.waitForRetry(try) {
			return
		}
	}
}

// stopUnknown sends one stop request for a run that belongs to no placement. If
// it fails, the next poll reports the run again.
func (p *Planner) stopUnknown(w *worker, r platform.Run) {
	var stop stopCall
	p.locked("stop of a run", func() { stop = w.newStop(r) })
	if err := p.sendStop(stop); err != nil {
		p.Log.Info("unknown run not stopped", "task", r.Task, "run", r.Number, "worker", w.info.ID, "error", err)
	}
}

// stopCall is a request to stop a run.
type stopCall struct {
	runner  platform.Runner
	request platform.StopRequest
}

// newStop returns a request to stop a run on the worker.
func (w *worker) newStop(r platform.Run) stopCall {
	return stopCall{w.runner, platform.StopRequest{Run: r, Generation: w.token}}
}

// sendStop sends one stop request. A run that can no longer exist counts as
// stopped.
func (p *Planner) sendStop(c stopCall) error {
	ctx, cancel := context.WithTimeout(p.ctx, commandTimeout)
	defer cancel()
	_, err := c.runner.Stop(ctx, c.request)
	var staleRun *platform.StaleRunError
	var restarted *platform.RestartedError
	if errors.As(err, &staleRun) || errors.As(err, &restarted) {
		return nil
	}
	return err
}
