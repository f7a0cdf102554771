package assignment

import (
	"slices"
	"time"
)

const (
	// stopDelay is the usual time from the order to stop a run until its
	// resources are free.
	stopDelay = 600 * time.Millisecond
	// preemptionWindow is how long after its tasks became ready a group may
	// preempt runs on fast workers. Later it takes any free workers, well within
	// the time limit for the start of guaranteed work.
	preemptionWindow = 500 * time.Millisecond
)

// placeUrgent places urgent tasks on workers that are fast enough for the
// objective. If those are full it preempts less urgent runs on them, unless that
// loses more work than the group has itself. This serves short urgent gangs when
// long runs leave only slow workers free, since a gang is as slow as its slowest
// worker.
func (d *decider) placeUrgent(position int) (slots []int, waiting bool) {
	g := &d.view.Groups[position]
	fast := d.meetingObjective(g)
	if !d.fitsCompactWhenEmpty(g, fast) {
		return nil, false
	}
	if slots := d.findFast(g, fast); slots != nil {
		return slots, false
	}
	if g.ReservedWorkers != nil {
		d.reserveSlots(g, g.ReservedWorkers)
		return nil, true
	}
	if !d.mayPreemptForObjective(g) {
		return nil, false
	}
	if d.waitsForTrust(g, fast) || d.waitsForAdvice(g, fast) {
		return nil, true
	}
	p := d.objectivePlan(g)
	if p == nil {
		return nil, false
	}
	d.applyPlan(position, p, StopForObjective)
	return nil, true
}

// meetingObjective returns the workers on which the group meets its objective.
func (d *decider) meetingObjective(g *Group) pool {
	return d.pool(func(w *Worker) bool { return d.meetsObjective(g, w, 0) })
}

// findFast returns workers of the pool of those that meet the objective, as
// findWorkers does, those that certainly meet it first.
func (d *decider) findFast(g *Group, fast pool) []int {
	if certain, differs := d.certainlyFast(g, 0); differs && d.fitsCompactWhenEmpty(g, certain) {
		if slots := d.findWorkers(g, certain); slots != nil {
			return slots
		}
	}
	return d.findWorkers(g, fast)
}

// mayPreemptForObjective reports whether runs may still be stopped for the
// objective of the group.
func (d *decider) mayPreemptForObjective(g *Group) bool {
	return d.view.Now.Sub(g.ReadySince) < preemptionWindow
}

// objectivePlan returns a plan by which the group meets its objective and that loses
// no more work than the group has itself, or nil.
func (d *decider) objectivePlan(g *Group) *plan {
	p := d.planOnFast(g.afterWait(), d.view.Stopping.delay(), g.expectedWork())
	if p == nil || p.loss > g.expectedWork() {
		return nil
	}
	return p
}

// fitsCompactWhenEmpty reports whether the group would fit on its preferred
// workers, as in compactPlan, if the pool were idle.
func (d *decider) fitsCompactWhenEmpty(g *Group, in pool) bool {
	switch {
	case g.Rack != "":
		return d.fitsWhenEmpty(g, d.workersOnRack(in, g.Rack))
	case !g.Adjacent || !g.Gang:
		return d.fitsWhenEmpty(g, in.workers)
	}
	return slices.ContainsFunc(in.racks, func(workers []int) bool { return d.fitsWhenEmpty(g, workers) })
}

// meetsObjective reports whether the group would meet its objective on the worker
// if it started after the delay.
func (d *decider) meetsObjective(g *Group, w *Worker, delay time.Duration) bool {
	return d.meetsObjectiveAt(g, w.Speed, delay)
}

// meetsObjectiveAt is like meetsObjective for a worker of the given speed.
func (d *decider) meetsObjectiveAt(g *Group, speed float64, delay time.Duration) bool {
	if speed <= 0 {
		return false
	}
	length := time.Duration(float64(g.ExpectedDuration) / speed)
	return !d.view.Now.Add(delay + length).After(g.Objective)
}

// expectedWork returns the expected work of the waiting tasks, in core-seconds.
func (g *Group) expectedWork() float64 { return g.totalNeed().Cores() * g.ExpectedDuration.Seconds() }
