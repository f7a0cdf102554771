package assignment

import (
	"slices"
	"time"
)

const (
	// stopDelay is the usual time from the order to stop a run until its room is
	// free.
	stopDelay = 600 * time.Millisecond
	// hurryTime is how long after its tasks became ready room on fast workers is
	// made for a group; later it takes what there is, well within the time in
	// which guaranteed work must begin.
	hurryTime = 500 * time.Millisecond
)

// hurry places urgent tasks on workers that are fast enough for the objective.
// Where those are full it stops less urgent runs on them, unless that throws
// away more work than the group has itself. It answers a load of short urgent
// gangs among long runs that leave room on slow workers only: a gang is as slow
// as its slowest worker.
func (d *decider) hurry(position int) (seats []int, waits bool) {
	g := &d.view.Groups[position]
	fast := d.pool(func(w *Worker) bool { return d.timely(g, w, 0) })
	if !d.holdsCompact(g, fast) {
		return nil, false
	}
	if seats := d.find(g, fast); seats != nil {
		return seats, false
	}
	if g.ReservedWorkers != nil {
		d.keep(g, g.ReservedWorkers)
		return nil, true
	}
	if d.view.Now.Sub(g.Since) >= hurryTime {
		return nil, false
	}
	soon := d.pool(func(w *Worker) bool { return d.timely(g, w, stopDelay) })
	p := d.compactPlan(g, soon, victimLower)
	if p == nil || p.loss > g.work() {
		return nil, false
	}
	d.makeRoom(position, p)
	return nil, true
}

// holdsCompact reports whether the pool, if it were empty, could take the group
// in the best place for it.
func (d *decider) holdsCompact(g *Group, in pool) bool {
	switch {
	case g.Rack != "":
		return d.holds(g, d.near(in, g.Rack))
	case !g.Adjacent || !g.Gang:
		return d.holds(g, in.workers)
	}
	return slices.ContainsFunc(in.racks, func(workers []int) bool { return d.holds(g, workers) })
}

// timely reports whether the group would meet its objective on a worker if it
// started after a delay.
func (d *decider) timely(g *Group, w *Worker, delay time.Duration) bool {
	if w.Speed <= 0 {
		return false
	}
	length := time.Duration(float64(g.Length) / w.Speed)
	return !d.view.Now.Add(delay + length).After(g.Objective)
}

// work returns the expected work of the waiting tasks, in core-seconds.
func (g *Group) work() float64 { return g.total().Cores() * g.Length.Seconds() }
