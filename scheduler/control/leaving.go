package control

import "time"

// LeavingError reports a start that was not sent because the worker is leaving.
type LeavingError struct{ Worker string }

func (e *LeavingError) Error() string { return "worker " + e.Worker + " is leaving" }

// leavingMargin is added to the time that a leaving worker announced, since
// workers stay a little longer than they announce. A run that takes longer is
// moved.
const leavingMargin = 1 * time.Second

// vacate stops the runs of a leaving worker that cannot finish there, so that
// they resume elsewhere from their checkpoints. The caller holds the lock.
func (p *Planner) vacate(w *worker, now time.Time) {
	for _, pl := range w.placements {
		if pl.phase != phaseRunning && pl.phase != phaseStarting {
			continue
		}
		remaining := p.remainingTime(pl, now)
		if remaining <= w.info.Remaining+leavingMargin {
			continue
		}
		p.Log.Info("moving run from a leaving worker", "task", pl.id, "run", pl.run, "worker", w.info.ID,
			"left", remaining, "remaining", w.info.Remaining)
		p.stopFor(pl, stopForLeaving)
		if pl.step.Gang {
			p.stopGang(pl)
		}
	}
}

// remainingTime returns how long the run is expected to continue.
func (p *Planner) remainingTime(pl *placement, now time.Time) time.Duration {
	const minProgress = 0.1
	if pl.sampledProgress > minProgress && !pl.confirmedAt.IsZero() {
		total := float64(pl.runTime(pl.sampledAt)) / pl.sampledProgress
		return time.Duration(total*(1-pl.sampledProgress)) - now.Sub(pl.sampledAt)
	}
	total := p.estimator.Estimate(pl.job.estimationJob(pl.step)).Median
	return time.Duration(float64(total)/p.currentSpeed(pl.worker, now)) - pl.runTime(now)
}
