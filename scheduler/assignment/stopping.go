package assignment

import "time"

// StopPolicy limits which runs are stopped. The zero value allows what
// guarantees and objectives call for.
type StopPolicy struct {
	// Sparing is set if a stop must also be of use: runs that are being stopped
	// already count as room, a job is not stopped twice while others can be, and a
	// group that will be late anyway first waits for room.
	Sparing bool
	// Delay is the time from the order to stop a run until its resources are free,
	// or 0 for stopDelay.
	Delay time.Duration
}

func (s StopPolicy) delay() time.Duration {
	if s.Delay > 0 {
		return s.Delay
	}
	return stopDelay
}

// StopReason is why a run is stopped.
type StopReason string

// Reasons to stop a run for a group.
const (
	// StopForObjective means that no workers are free on which the group meets its
	// objective.
	StopForObjective StopReason = "objective"
	// StopForGuarantee means that the run used capacity guaranteed to the group.
	StopForGuarantee StopReason = "guarantee"
	// StopForFragmentation means that guaranteed runs were so scattered that the
	// guaranteed group fitted nowhere.
	StopForFragmentation StopReason = "fragmentation"
)

// StopCause says for what a run is stopped.
type StopCause struct {
	// Group is a position in the view.
	Group  int
	Reason StopReason
	// Unneeded is set if the group was expected to meet its objective also if it
	// had waited for the run to end by itself.
	Unneeded bool
}

// endsUnstopped reports whether the resources of the run become free without an
// order to stop it, about as soon as with one.
func (r *Running) endsUnstopped() bool { return r.EndsSoon || r.Stopping }

// victimKey selects the runs that may be preempted: those of a scope, without
// those of jobs that were stopped before if sparesStopped is set.
type victimKey struct {
	scope         victimScope
	sparesStopped bool
	// ignoresStopping excludes runs that are being stopped already.
	ignoresStopping bool
}

func (k victimKey) allows(r *Running) bool {
	if r.Stopping && k.ignoresStopping {
		return false
	}
	return k.scope.allows(r) && (!k.sparesStopped || !r.StoppedBefore || r.endsUnstopped())
}

// sparingPlan returns a plan that stops no job a second time, or any plan if there
// is none that loses at most maxLoss.
func (d *decider) sparingPlan(maxLoss float64, find func() *plan) *plan {
	if !d.view.Stopping.Sparing {
		return find()
	}
	d.sparesStopped = true
	p := find()
	d.sparesStopped = false
	if (p == nil || p.loss > maxLoss) && d.anyStoppedBefore() {
		p = find()
	}
	return p
}

func (d *decider) anyStoppedBefore() bool {
	for i := range d.view.Running {
		if d.view.Running[i].StoppedBefore {
			return true
		}
	}
	return false
}

// waitsInsteadOfStopping reports whether a guaranteed group waits for room rather
// than have runs stopped, because its result will be late in either case. The
// first start of a job is never delayed, since the guarantee has a time limit for
// it, and later ones by no more than runEndTimeout.
func (d *decider) waitsInsteadOfStopping(g *Group) bool {
	if !d.view.Stopping.Sparing || g.NeverStarted || d.view.Now.Sub(g.ReadySince) >= runEndTimeout {
		return false
	}
	inTime := d.pool(func(w *Worker) bool { return d.meetsObjective(g, w, d.view.Stopping.delay()) })
	return !d.fitsWhenEmpty(g, inTime.workers)
}

// meetsObjectiveUnstopped reports whether the group is expected to meet its
// objective on the slots of the plan if it waits for the victims to end.
func (d *decider) meetsObjectiveUnstopped(g *Group, p *plan) bool {
	start := d.view.Now
	for _, v := range p.victims {
		r := &d.view.Running[v]
		if r.endsUnstopped() {
			continue
		}
		if r.ExpectedEnd.IsZero() {
			return false
		}
		if r.ExpectedEnd.After(start) {
			start = r.ExpectedEnd
		}
	}
	delay := start.Sub(d.view.Now)
	for _, slot := range p.slots {
		if !d.meetsObjective(g, &d.view.Workers[slot], delay) {
			return false
		}
	}
	return true
}
