package assignment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// victimScope selects the runs that may be preempted.
type victimScope int

const (
	// victimsLowerPriority are borrowed runs of less urgent jobs.
	victimsLowerPriority victimScope = iota
	// victimsBorrowed are runs that no guarantee covers.
	victimsBorrowed
	// victimsAny are all runs.
	victimsAny
	// victimsEnding are the runs that end without a stop.
	victimsEnding
)

// allows reports whether the resources of the run may be taken. Those of a run
// that ends soon always may.
func (v victimScope) allows(r *Running) bool {
	switch {
	case r.endsUnstopped() || v == victimsAny:
		return true
	case v == victimsLowerPriority:
		return r.Borrowed && r.Priority > 0
	case v == victimsEnding:
		return false
	}
	return r.Borrowed
}

// reclaim preempts runs that use capacity guaranteed to the group's team, on the
// rack where that loses the least work, and reserves the capacity for the group.
func (d *decider) reclaim(position int) {
	g := &d.view.Groups[position]
	if g.ReservedWorkers != nil {
		d.reserveSlots(g, g.ReservedWorkers)
		return
	}
	if d.waitsInsteadOfStopping(g) {
		if p := d.plan(g, d.accepting, victimsEnding); p != nil {
			d.applyPlan(position, p, StopForGuarantee)
		} else {
			d.holdForBlocked(g.approved())
		}
		return
	}
	if d.view.Now.Sub(g.ReadySince) >= runEndTimeout {
		d.ignoreExpectedEnds()
		d.ignoresStopping = true
		defer func() { d.ignoresStopping = false }()
	}
	d.withheld = false
	best, reason := d.guaranteePlan(g)
	if best == nil && d.withheld && !g.Gang {
		best, reason = d.partialPlan(g)
	}
	if best != nil {
		d.applyPlan(position, best, reason)
	}
}

// partialPlan returns a plan for some of the tasks of a guaranteed group, or nil. More
// runs may be stopped once long-running tasks that were stopped are back elsewhere.
func (d *decider) partialPlan(g *Group) (*plan, StopReason) {
	for n := len(g.Indexes) / 2; n > 0; n /= 2 {
		part := *g
		part.Indexes = g.Indexes[:n]
		if best, reason := d.guaranteePlan(&part); best != nil {
			return best, reason
		}
	}
	return nil, ""
}

// guaranteePlan returns the plan that makes room for a guaranteed group, or nil.
func (d *decider) guaranteePlan(g *Group) (*plan, StopReason) {
	planned := g.afterWait()
	if best := d.plan(planned, d.accepting, victimsBorrowed); best != nil || !g.NeverStarted {
		return best, StopForGuarantee
	}
	// Running guaranteed work is fragmented so that the group fits nowhere, so some
	// of it is preempted too. Only a job that has never started may do that, so that
	// two jobs cannot preempt each other in turn.
	return d.plan(planned, d.accepting, victimsAny), StopForFragmentation
}

// applyPlan stops the victims of a plan, unless they end soon, and reserves its
// slots for the group.
func (d *decider) applyPlan(position int, p *plan, reason StopReason) {
	cause := StopCause{Group: position, Reason: reason, Unneeded: d.meetsObjectiveUnstopped(&d.view.Groups[position], p)}
	for _, v := range p.victims {
		r := &d.view.Running[v]
		if !r.endsUnstopped() {
			d.interrupt(r)
			d.result.Stops = append(d.result.Stops, v)
			d.result.StopCauses = append(d.result.StopCauses, cause)
		}
		r.Borrowed, r.EndsSoon = false, false
	}
	d.victims = nil
	d.result.Reservations = append(d.result.Reservations, Reservation{Group: position, Workers: p.slots, Victims: p.victims})
	d.reserveSlots(&d.view.Groups[position], p.slots)
}

// plan returns the preemption that loses the least work to fit a group into the
// pool, on the preferred workers if that is possible.
func (d *decider) plan(g *Group, in pool, scope victimScope) *plan {
	if p := d.compactPlan(g, in, scope, math.Inf(1)); p != nil {
		return p
	}
	return d.sparingPlan(math.Inf(1), func() *plan { return d.evictionPlan(g, in.workers, scope) })
}

// compactPlan is like plan but considers only the preferred workers: the rack of
// the group's data, any one rack for an adjacent gang, or else all workers. A plan
// that loses more than maxLoss is not preferred for sparing jobs stopped before.
func (d *decider) compactPlan(g *Group, in pool, scope victimScope, maxLoss float64) *plan {
	return d.sparingPlan(maxLoss, func() *plan { return d.compactPlanWithin(g, in, scope) })
}

func (d *decider) compactPlanWithin(g *Group, in pool, scope victimScope) *plan {
	if g.Rack != "" {
		return d.evictionPlan(g, d.workersOnRack(in, g.Rack), scope)
	}
	if !g.Adjacent || !g.Gang {
		return d.evictionPlan(g, in.workers, scope)
	}
	var best *plan
	for _, workers := range in.racks {
		best = cheaperPlan(best, d.evictionPlan(g, workers, scope))
	}
	return best
}

// ignoreExpectedEnds clears EndsSoon of all runs, so that they are stopped rather
// than waited for.
func (d *decider) ignoreExpectedEnds() {
	for i := range d.view.Running {
		d.view.Running[i].EndsSoon = false
	}
	d.victims = nil
}

// plan is a way to free capacity for a group by preemption.
type plan struct {
	victims []int
	// slots lists the worker of each task.
	slots []int
	loss  float64
}

func cheaperPlan(a, b *plan) *plan {
	if a == nil || b != nil && b.loss < a.loss {
		return b
	}
	return a
}

// evictionPlan selects victims for one task after the other, each time on the
// worker where that loses the least work. It returns nil if the group does not
// fit.
func (d *decider) evictionPlan(g *Group, workers []int, scope victimScope) *plan {
	if !d.fitsWhenEmpty(g, workers) {
		return nil
	}
	before, interrupted := slices.Clone(d.free), slices.Clone(d.interrupted)
	defer func() { d.free, d.interrupted = before, interrupted }()
	p := &plan{}
	stopped := map[int]bool{}
	planned := map[int]int{}
	for range g.Indexes {
		slot, victims, loss := d.cheapestSlot(g, workers, scope, stopped, planned)
		if slot < 0 {
			return nil
		}
		for _, r := range victims {
			stopped[r] = true
			d.releaseRun(r)
			if run := &d.view.Running[r]; !run.endsUnstopped() {
				d.interrupt(run)
			}
		}
		p.victims = append(p.victims, victims...)
		p.loss += loss
		p.slots = append(p.slots, slot)
		planned[slot]++
		d.free[slot] = d.free[slot].Minus(g.Need)
	}
	return p
}

// cheapestSlot returns the worker on which one more task fits with the least lost
// work, the victims on it and their loss. The worker is -1 if there is none.
func (d *decider) cheapestSlot(g *Group, workers []int, scope victimScope, stopped map[int]bool, planned map[int]int) (int, []int, float64) {
	best, bestVictims, bestLoss := -1, []int(nil), 0.0
	for _, w := range workers {
		worker := &d.view.Workers[w]
		if !g.accepts(worker) || d.trustedSlots(g, w) <= planned[w] || g.MaxPerWorker > 0 && g.RunningPerWorker[worker.ID]+planned[w] >= g.MaxPerWorker {
			continue
		}
		victims, loss, ok := d.victimsOn(g, w, scope, stopped)
		if ok && (best < 0 || loss < bestLoss) {
			best, bestVictims, bestLoss = w, victims, loss
		}
	}
	return best, bestVictims, bestLoss
}

// victimsOn returns the runs to stop on a worker so that one task fits, in the
// order of victimCandidates, and the work that is lost.
func (d *decider) victimsOn(g *Group, worker int, scope victimScope, stopped map[int]bool) ([]int, float64, bool) {
	free := d.free[worker]
	if g.Need.Fits(free) {
		return nil, 0, true
	}
	var chosen []int
	interrupted := d.interrupted
	defer func() { d.interrupted = interrupted }()
	d.interrupted = slices.Clone(interrupted)
	loss := 0.0
	for _, i := range d.victimCandidates(worker, scope) {
		r := &d.view.Running[i]
		if stopped[i] || r.Job == g.Job && !r.endsUnstopped() {
			continue
		}
		if !r.endsUnstopped() && !d.interrupt(r) {
			d.withheld = true
			continue
		}
		for _, allocation := range r.Allocations {
			if allocation.Worker == worker {
				free = free.Plus(allocation.Need)
			}
		}
		chosen = append(chosen, i)
		if !r.endsUnstopped() {
			loss += r.LostWork
		}
		if g.Need.Fits(free) {
			return chosen, loss, true
		}
	}
	return nil, 0, false
}

// victimCandidates returns the runs on a worker that may be preempted, in this
// order: runs that end soon, borrowed before guaranteed ones, urgent ones last,
// then by lost work.
func (d *decider) victimCandidates(worker int, scope victimScope) []int {
	if d.victims == nil {
		d.victims = map[victimKey]map[int][]int{}
	}
	key := victimKey{scope, d.sparesStopped, d.ignoresStopping}
	byWorker := d.victims[key]
	if byWorker == nil {
		byWorker = map[int][]int{}
		for i := range d.view.Running {
			if !key.allows(&d.view.Running[i]) {
				continue
			}
			for _, allocation := range d.view.Running[i].Allocations {
				if runs := byWorker[allocation.Worker]; len(runs) == 0 || runs[len(runs)-1] != i {
					byWorker[allocation.Worker] = append(runs, i)
				}
			}
		}
		for _, runs := range byWorker {
			slices.SortStableFunc(runs, func(a, b int) int {
				x, y := &d.view.Running[a], &d.view.Running[b]
				return cmp.Or(
					-compareBool(x.endsUnstopped(), y.endsUnstopped()),
					-compareBool(x.Borrowed, y.Borrowed),
					compareBool(x.Priority == 0, y.Priority == 0),
					cmp.Compare(x.LostWork, y.LostWork),
				)
			})
		}
		d.victims[key] = byWorker
	}
	return byWorker[worker]
}

// interrupt counts the tasks that a stop of the run interrupts, and reports false if they
// exceed the budget of their step.
func (d *decider) interrupt(r *Running) bool {
	if r.Interrupts == 0 {
		return true
	}
	if d.interrupted[r.Budget]+r.Interrupts > d.view.Budgets[r.Budget] {
		return false
	}
	d.interrupted[r.Budget] += r.Interrupts
	return true
}

// releaseRun adds the allocations of a run to the free resources.
func (d *decider) releaseRun(running int) {
	for _, allocation := range d.view.Running[running].Allocations {
		d.free[allocation.Worker] = d.free[allocation.Worker].Plus(allocation.Need)
	}
}

// reserveSlots reserves slots for a group that waits for stopped runs to end.
func (d *decider) reserveSlots(g *Group, slots []int) {
	for _, w := range slots {
		d.free[w] = d.free[w].Minus(g.Need)
		d.countStart(w)
	}
}

// runEndTimeout is how long a guaranteed group waits for runs that are expected to
// end. Together with the time to stop a run it stays well below the time limit
// for the start of guaranteed work.
const runEndTimeout = 1 * time.Second
