package control

import (
	"slices"
	"time"
)

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

const (
	// endCaution is the factor by which runs may end earlier than their progress tells,
	// because the speed of workers changes, and earlyEndCaution that for runs without
	// progress, of which only the usual run time is known.
	endCaution      = 2
	earlyEndCaution = 4
	// progressStep is the precision of reported progress.
	progressStep = 0.01
	// responseSlack is how much older than its arrival a response may be.
	responseSlack = 250 * time.Millisecond
)

// loseUnendedRuns gives up the runs of a worker that has exited, apart from those that
// may have ended since its latest response. Their ends were lost with the worker. Work
// that is done must not run again, so that these runs count until their lease has
// expired. The caller holds the lock.
func (p *Planner) loseUnendedRuns(w *worker, now time.Time) {
	for _, pl := range w.placements {
		p.contain(pl.job, "loss of a run", func() {
			if !p.mayHaveEnded(pl, now) {
				p.loseRun(pl, "worker exited")
			}
		})
	}
}

// mayHaveEnded reports whether a run may have ended well between the latest response of
// its worker and now. The caller holds the lock.
func (p *Planner) mayHaveEnded(pl *placement, now time.Time) bool {
	w := pl.worker
	if pl.step.LongRunning || pl.unfinished || !pl.sent || w.lastResponse.IsZero() {
		return false
	}
	if pl.step.Gang && slices.ContainsFunc(p.gangMembers(pl), func(m *placement) bool {
		// The members of a gang end well together.
		return m != pl && m.reportedAt.After(w.unlistedAt)
	}) {
		return false
	}
	return p.leastRemainingTime(pl, w.lastResponse) <= now.Sub(w.lastResponse)+responseSlack
}

// leastRemainingTime returns how long the run certainly went on at the given time, which
// is that of its latest report.
func (p *Planner) leastRemainingTime(pl *placement, at time.Time) time.Duration {
	elapsed := max(pl.runTime(at), 0)
	if done := pl.reportedProgress + progressStep; pl.reportedProgress > progressStep {
		total := float64(elapsed) / done
		return time.Duration(total * (1 - done) / endCaution)
	}
	usual := p.estimator.Estimate(pl.job.estimationJob(pl.step)).Median
	return time.Duration(float64(usual)/p.currentSpeed(pl.worker, at)/earlyEndCaution) - elapsed
}
