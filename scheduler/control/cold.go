package control

import "time"

// cold reports whether the worker is slow because it has started recently.
func (w *worker) cold(now time.Time) bool { return now.Before(w.coldUntil) }

// currentSpeed returns the speed of a worker relative to a typical one, taking
// into account that it may be cold.
func (p *Planner) currentSpeed(w *worker, now time.Time) float64 {
	speed := p.speeds.Speed(w.info.ID)
	if w.cold(now) {
		speed *= p.speeds.ColdFactor()
	}
	return speed
}
