package control

import (
	"math"
	"time"
)

// unknownSpeedQuantile is the quantile of the known speeds that an unknown worker
// is counted on to reach: four in five reach it.
const unknownSpeedQuantile = 0.2

// unknownSpeed returns the speed to count on for workers of unknown speed, or 0 for
// that of a typical one. Earlier deployments, which do not state the cost of a
// stop, count on the typical one. The caller holds the lock.
func (p *Planner) unknownSpeed() float64 {
	if !p.timing().statesCheapStops() {
		return 0
	}
	speed, ok := p.speeds.Quantile(unknownSpeedQuantile)
	if !ok {
		return 0
	}
	return speed
}

// cautiousSpeed returns the speed to count on for a worker if that of workers of
// unknown speed is given, taking into account that it may be cold.
func (p *Planner) cautiousSpeed(w *worker, unknown float64, now time.Time) float64 {
	if w.cold(now) {
		unknown *= p.speeds.ColdFactor()
	}
	return unknown
}

// sampleGang compares the progress of a gang with the usual run time of its queue,
// which reveals the speed of its slowest worker. Only one member is sampled, since
// all progress together. The caller holds the lock.
func (p *Planner) sampleGang(pl *placement, total time.Duration, now time.Time) {
	if !p.timing().statesCheapStops() || pl.id.Index != 0 {
		return
	}
	expected := p.estimator.Estimate(pl.job.estimationJob(pl.step))
	if expected.Samples == 0 || expected.Median <= 0 {
		return
	}
	var workers []string
	for _, m := range p.gangMembers(pl) {
		if m.worker.cold(now) || m.worker.cold(pl.sampledAt) {
			return
		}
		workers = append(workers, m.worker.info.ID)
	}
	spread := math.Log(expected.High.Seconds() / expected.Median.Seconds())
	p.instruments.gangSpeeds.Add(p.speeds.ObserveGang(workers, total, expected.Median, spread))
}

// runSpeed returns the speed of a run, which is that of the slowest worker for a
// gang. Where the deployment does not state the cost of a stop, the speed of the
// worker counts, as estimates of run times have been made so far. The caller holds
// the lock.
func (p *Planner) runSpeed(pl *placement) float64 {
	speed := p.speeds.Speed(pl.worker.info.ID)
	if pl.step.Gang && p.timing().statesCheapStops() {
		for _, m := range p.gangMembers(pl) {
			speed = min(speed, p.speeds.Speed(m.worker.info.ID))
		}
	}
	return speed
}
