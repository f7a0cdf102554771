package assignment

import "time"

// needsTypical reports whether the speed of the worker is unknown and matters to
// the group: it meets its objective on a typical worker that starts it after the
// delay, but not at the speed to count on.
func (d *decider) needsTypical(g *Group, w *Worker, delay time.Duration) bool {
	if w.SpeedKnown || w.CautiousSpeed <= 0 || w.CautiousSpeed >= w.Speed {
		return false
	}
	return d.meetsObjectiveAt(g, w.Speed, delay) && !d.meetsObjectiveAt(g, w.CautiousSpeed, delay)
}

// speedFor returns the speed of the worker for choosing between workers for the
// group.
func (d *decider) speedFor(g *Group, w *Worker) float64 {
	if w.CautiousSpeed <= 0 || !d.needsTypical(g, w, 0) {
		return w.Speed
	}
	return w.CautiousSpeed
}

// certainlyFast returns the workers on which the group meets its objective even if
// those of unknown speed are slow, and whether that excludes any.
func (d *decider) certainlyFast(g *Group, delay time.Duration) (certain pool, differs bool) {
	for i := range d.view.Workers {
		if differs = d.needsTypical(g, &d.view.Workers[i], delay); differs {
			break
		}
	}
	if !differs {
		return pool{}, false
	}
	return d.pool(func(w *Worker) bool { return d.meetsObjective(g, w, delay) && !d.needsTypical(g, w, delay) }), true
}

// planOnFast returns a plan to place an urgent group on workers that meet its
// objective once runs on them are stopped, on those of known speed if that loses at
// most maxLoss.
func (d *decider) planOnFast(g *Group, delay time.Duration, maxLoss float64) *plan {
	if certain, differs := d.certainlyFast(g, delay); differs {
		if p := d.compactPlan(g, certain, victimsLowerPriority, maxLoss); p != nil && p.loss <= maxLoss {
			return p
		}
	}
	return d.compactPlan(g, d.pool(func(w *Worker) bool { return d.meetsObjective(g, w, delay) }), victimsLowerPriority, maxLoss)
}
