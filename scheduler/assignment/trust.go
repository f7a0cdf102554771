package assignment

import "time"

// full reports whether no task may start on the worker in this decision.
func (t WorkerTrust) full() bool { return t.Limited && t.NewTasks <= 0 }

// trustedSlots returns how many more tasks of the group the trust in the worker
// allows in this decision.
func (d *decider) trustedSlots(g *Group, worker int) int {
	t := &d.view.Workers[worker].Trust
	switch {
	case t.Limited && !g.Trial, t.Unproven && d.view.Now.Before(g.ProvenOnlyUntil):
		return 0
	case t.Limited:
		return max(t.NewTasks-d.startedLimited[worker], 0)
	}
	return unlimitedSlots
}

// countStart counts a task that starts on a worker against the worker's limit.
func (d *decider) countStart(worker int) {
	if !d.view.Workers[worker].Trust.Limited {
		return
	}
	if d.startedLimited == nil {
		d.startedLimited = map[int]int{}
	}
	d.startedLimited[worker]++
}

// waitsForProven reports whether the group could start now if it did not wait for
// proven workers. Nothing is stopped for such a group: stopping runs on proven
// workers costs more than a short wait.
func (d *decider) waitsForProven(g *Group) bool {
	if !d.view.Now.Before(g.ProvenOnlyUntil) || !d.anyUnproven() {
		return false
	}
	unrestricted := *g
	unrestricted.ProvenOnlyUntil = time.Time{}
	return d.findWorkers(&unrestricted, d.accepting) != nil
}

// anyUnproven reports whether a worker in use is unproven.
func (d *decider) anyUnproven() bool {
	for _, w := range d.accepting.workers {
		if d.view.Workers[w].Trust.Unproven {
			return true
		}
	}
	return false
}

// reservedTasks returns how many tasks of the group have a reservation on the
// worker.
func reservedTasks(g *Group, worker int) int {
	n := 0
	for _, w := range g.ReservedWorkers {
		if w == worker {
			n++
		}
	}
	return n
}
