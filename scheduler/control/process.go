package control

import (
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/term"
)

// nextToken returns a fencing token above all that this planner has used. The caller
// holds the lock.
func (p *Planner) nextToken() uint64 {
	const last = term.TokensPerTerm - 1
	if p.tokensUsed < last {
		p.tokensUsed++
	} else if !p.resigning {
		p.Log.Info("resigning, the fencing tokens of the term are used up", "tokens", p.tokensUsed)
		p.resigning = true
		p.wake()
	}
	return p.Term.Generation() + p.tokensUsed
}

// awaitsFence reports whether a call of the worker was answered by a process that may
// still carry out orders to the process before. The first process of a term has
// rejected those of earlier planners since its first response, and there are no others.
func (w *worker) awaitsFence(state platform.RunnerState) bool {
	return w.incarnation != 0 && state.Incarnation != w.incarnation && state.Incarnation != w.fencedIncarnation
}

// fenceProcess gives a worker that has restarted a new fencing token. Once the new
// process has answered a call with it, orders that were sent before, and have got no
// response, are not carried out any more. The caller holds the lock.
func (p *Planner) fenceProcess(w *worker, state platform.RunnerState) {
	w.fencedIncarnation, w.token = state.Incarnation, p.nextToken()
	w.setClock(state.Clock, time.Now())
	p.Log.Info("worker restarted", "worker", w.info.ID, "life", state.Incarnation, "token", w.token)
}

// fencing reports whether a new process of the worker has a token that it has not
// answered yet.
func (w *worker) fencing() bool {
	return w.fencedIncarnation != 0 && w.fencedIncarnation != w.incarnation
}

// restarting reports whether the worker may not be the process that the planner knows:
// the registry lists another one, or that has not answered its token yet.
func (w *worker) restarting() bool { return w.incarnation != w.info.Incarnation || w.fencing() }

// handleRestart processes a new process of a worker, which rejects all orders to the
// former one. The runs that it does not list are lost.
func (p *Planner) handleRestart(w *worker, state platform.RunnerState) {
	if w.incarnation != 0 {
		p.setTrust(w, w.trust.WithRestart(time.Now()), "worker restarted")
	}
	w.incarnation = state.Incarnation
	p.wake()
	p.restoreSpeed(w, state.Incarnation)
	p.restoreTrust(w, state.Incarnation)
	// From here on the worker rejects earlier planners.
	w.leasesEnd = time.Now().Add(p.maxLeaseTime())
	w.lastSequence, w.acknowledgedSequence = 0, 0
	clear(w.unstoredEnds)
	clear(w.heldEnds)
	for id, pl := range w.placements {
		p.processing = pl.job
		t := pl.job.progress.Task(pl.job.spec, id)
		switch {
		case t.WorkerIncarnation == state.Incarnation:
		case state.Lists(platform.Run{Task: id, Number: pl.run}):
			// A command has reached the new process before the planner knew of it.
			t.WorkerIncarnation = state.Incarnation
			p.markDirty(pl.job, nil)
		default:
			p.loseRun(pl, "worker restarted")
		}
	}
	p.processing = nil
}
