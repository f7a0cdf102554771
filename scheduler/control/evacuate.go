package control

import "time"

// evacuateMargin is added to the time that a leaving worker announced before a
// run counts as one that cannot finish there; workers stay a little longer
// than they announce.
const evacuateMargin = 1 * time.Second

// evacuate stops the runs of a leaving worker that will not finish there, so
// that they go on elsewhere from what they have saved. The caller holds the
// lock.
func (p *Planner) evacuate(w *worker, now time.Time) {
	for _, pl := range w.placements {
		if pl.phase != phaseRunning && pl.phase != phaseOrdered {
			continue
		}
		left := p.rest(pl, now)
		if left <= w.info.Remaining+evacuateMargin {
			continue
		}
		p.Log.Info("moving run from a leaving worker", "task", pl.id, "run", pl.run, "worker", w.info.ID,
			"left", left, "remaining", w.info.Remaining)
		p.stop(pl)
		if pl.step.Gang {
			p.stopGang(pl)
		}
	}
}

// rest returns how long the run is expected to go on.
func (p *Planner) rest(pl *placement, now time.Time) time.Duration {
	const enough = 0.1
	if pl.progress > enough && !pl.since.IsZero() {
		whole := float64(pl.ran(pl.sampled)) / pl.progress
		return time.Duration(whole*(1-pl.progress)) - now.Sub(pl.sampled)
	}
	whole := p.estimator.Estimate(pl.job.template(pl.step)).Median
	return time.Duration(float64(whole)/p.paces.Speed(pl.worker.info.ID)) - pl.ran(now)
}
