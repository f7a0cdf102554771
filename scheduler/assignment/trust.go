package assignment

import "time"

// TrustedTasks returns how many tasks of the group may start on a worker with the
// given trust.
func (g *Group) TrustedTasks(t WorkerTrust, now time.Time) int {
	switch {
	case t.Excluded, t.ExcludedJob != "" && t.ExcludedJob == g.Job:
		return 0
	case g.IgnoreTrust:
		return unlimitedSlots
	case t.Limited && !g.Trial, t.Unproven && now.Before(g.ProvenOnlyUntil):
		return 0
	case t.Limited:
		return max(t.NewTasks, 0)
	}
	return unlimitedSlots
}

// trustedSlots returns how many more tasks of the group the trust in the worker
// allows in this decision.
func (d *decider) trustedSlots(g *Group, worker int) int {
	n := g.TrustedTasks(d.view.Workers[worker].Trust, d.view.Now)
	if n == unlimitedSlots {
		return n
	}
	return max(n-d.startedLimited[worker], 0)
}

// countStart counts a task that starts on a worker, or has a reservation there,
// against the worker's limit.
func (d *decider) countStart(worker int) {
	if !d.view.Workers[worker].Trust.Limited {
		return
	}
	if d.startedLimited == nil {
		d.startedLimited = map[int]int{}
	}
	d.startedLimited[worker]++
}

// afterWait returns the group as it will be once it has waited for trusted workers.
// A guaranteed group uses the other workers about as soon as stopped runs have
// ended, so that more runs need not be stopped in place of them.
func (g *Group) afterWait() *Group {
	if !g.Guaranteed || g.IgnoreTrust {
		return g
	}
	later := *g
	later.IgnoreTrust = true
	return &later
}

// waitsForTrust reports whether the group, which does not fit into the pool now,
// could start there if it ignored the trust in workers. Nothing is stopped for such
// a group: stopping runs on trusted workers costs more than a short wait.
func (d *decider) waitsForTrust(g *Group, in pool) bool {
	if g.IgnoreTrust || !d.anyRestricted(g, in) {
		return false
	}
	unrestricted := *g
	unrestricted.IgnoreTrust = true
	return d.findWorkers(&unrestricted, in) != nil
}

// anyRestricted reports whether trust limits the group on a worker of the pool
// that is eligible for it.
func (d *decider) anyRestricted(g *Group, in pool) bool {
	for _, w := range in.workers {
		if g.accepts(&d.view.Workers[w]) && d.trustedSlots(g, w) < len(g.Indexes) {
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
