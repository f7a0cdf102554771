package assignment

import (
	"maps"
	"slices"
)

// MaxAdviceWorkers is the largest number of workers in one request: each takes the
// adviser time, and the users expect at most 30 per step.
const MaxAdviceWorkers = 30

const (
	// minAdviceWorkers is the smallest number of workers in one request, if there are
	// as many.
	minAdviceWorkers = 4
	// adviceWorkersPerTask is how many workers are asked about for each waiting
	// task, because some are rejected.
	adviceWorkersPerTask = 2
	// maxAdviceRequests bounds the requests of a decision, since the adviser handles
	// one call at a time.
	maxAdviceRequests = 4
)

// AdviceRequest names workers on which tasks of a group would start, some of them
// after other runs have been stopped, if the adviser approved them.
type AdviceRequest struct {
	// Group and Workers are positions in the view. The most suitable workers are
	// first.
	Group   int
	Workers []int
}

// isEligible reports whether the worker may run the tasks of the group, once the
// adviser has approved it if that is needed.
func (g *Group) isEligible(w *Worker) bool {
	return w.Service == g.Service && w.hasLabel(g.Label) && !g.Rejected[w.ID]
}

// approved returns the group as if the adviser had approved all workers that it has
// not rejected.
func (g *Group) approved() *Group {
	all := *g
	all.Allowed = nil
	return &all
}

// waitsForAdvice reports whether the group, which does not fit on its approved
// workers now, could start in the pool if the adviser approved others. Nothing is
// stopped for such a group, since a response takes less time than a stop.
func (d *decider) waitsForAdvice(g *Group, in pool) bool {
	return g.Allowed != nil && d.findWorkers(g.approved(), in) != nil
}

// requestAdvice requests advice for a group of which only the first tasks have
// started, on the given workers, and holds the room of a guaranteed group or a gang
// until the response. It places the rest by the same rules as an approved group, so
// that a response about these workers lets tasks start.
func (d *decider) requestAdvice(position int, started []int) {
	g := &d.view.Groups[position]
	if g.Allowed == nil || len(started) == len(g.Indexes) || d.hasNewReservation(position) {
		return
	}
	rest := g.approved()
	rest.Indexes = g.Indexes[len(started):]
	rest.AdvicePending = g.AdvicePending || len(d.result.Advice) >= maxAdviceRequests
	if g.MaxPerWorker > 0 && len(started) > 0 {
		rest.RunningPerWorker = maps.Clone(g.RunningPerWorker)
		if rest.RunningPerWorker == nil {
			rest.RunningPerWorker = map[string]int{}
		}
		for _, w := range started {
			rest.RunningPerWorker[d.view.Workers[w].ID]++
		}
	}
	slots, isFree := d.adviceSlots(rest)
	if slots == nil {
		return
	}
	if !rest.AdvicePending {
		if workers := d.adviceWorkers(rest, g.Allowed, slots); len(workers) > 0 {
			d.result.Advice = append(d.result.Advice, AdviceRequest{Group: position, Workers: workers})
		}
	}
	switch {
	case !isFree || g.ReservedWorkers != nil:
	case g.Guaranteed:
		d.holdSlots(rest, slots)
	case g.Gang && d.blockedHolds < maxBlockedHolds:
		d.blockedHolds++
		d.holdSlots(rest, slots)
	}
}

// hasNewReservation reports whether this decision stops runs for the group.
func (d *decider) hasNewReservation(position int) bool {
	return slices.ContainsFunc(d.result.Reservations, func(r Reservation) bool { return r.Group == position })
}

// adviceWorkers returns the workers to ask about for an approved group: those of
// slots, then those that the group would have without them, and so on. Allowed are
// the workers with valid tickets.
func (d *decider) adviceWorkers(g *Group, allowed map[string]bool, slots []int) []int {
	limit := min(max(adviceWorkersPerTask*len(g.Indexes), minAdviceWorkers), MaxAdviceWorkers)
	if g.AdviceLimit > 0 {
		limit = min(limit, g.AdviceLimit)
	}
	var workers []int
	others := *g
	others.ReservedWorkers = nil
	others.Rejected = maps.Clone(g.Rejected)
	if others.Rejected == nil {
		others.Rejected = map[string]bool{}
	}
	for len(workers) < limit {
		before := len(workers)
		for _, w := range slots {
			if id := d.view.Workers[w].ID; !allowed[id] && !others.Rejected[id] {
				workers = append(workers, w)
				others.Rejected[id] = true
			}
		}
		if len(workers) == before {
			return workers
		}
		slots, _ = d.adviceSlots(&others)
	}
	return workers[:limit]
}

// adviceSlots returns the workers on which the tasks of an approved group would
// start, or nil if it waits for runs to end by themselves. They are free, or become
// so after a stop of runs or a wait for trust in them; if advice is pending, only
// free ones are returned.
func (d *decider) adviceSlots(g *Group) (slots []int, isFree bool) {
	if len(g.ReservedWorkers) == len(g.Indexes) {
		return g.ReservedWorkers, d.reservationFree(g)
	}
	if g.Priority == 0 {
		if fast := d.meetingObjective(g); d.fitsCompactWhenEmpty(g, fast) {
			if slots := d.findFast(g, fast); slots != nil {
				return slots, true
			}
			if !g.AdvicePending && d.mayPreemptForObjective(g) && !d.waitsForTrust(g, fast) {
				if p := d.objectivePlan(g); p != nil {
					return p.slots, false
				}
			}
		}
	}
	if slots := d.findWorkers(g, d.accepting); slots != nil {
		return slots, true
	}
	if g.AdvicePending {
		return nil, false
	}
	if d.anyRestricted(g, d.accepting) {
		trusting := *g
		trusting.IgnoreTrust = true
		if slots := d.findWorkers(&trusting, d.accepting); slots != nil {
			return slots, false
		}
	}
	if g.Guaranteed {
		if p, _ := d.guaranteePlan(g); p != nil {
			return p.slots, false
		}
	}
	return nil, false
}
