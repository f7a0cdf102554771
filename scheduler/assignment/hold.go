package assignment

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// Room is held for blocked groups, so that work of lower rank does not take piece by
// piece what becomes free. As in EASY backfilling, a blocked group has an expected
// start, and other work may use the held room until then.

const (
	// maxHeldTime is the longest time from its acceptance for which a job waits for
	// the sake of blocked groups while most of the service is free.
	maxHeldTime = 10 * time.Second
	// durationMargin is the factor by which work may exceed its expected duration
	// without delaying the blocked group whose room it uses.
	durationMargin = 1.5
)

// release is room that a run is expected to free on a worker.
type release struct {
	at     time.Time
	worker int
	need   batch.Resources
}

// expectedReleases returns the room that runs are expected to free, in order of time.
func (d *decider) expectedReleases() []release {
	if d.releases != nil {
		return d.releases
	}
	d.releases = []release{}
	for i := range d.view.Running {
		r := &d.view.Running[i]
		at := r.ExpectedEnd
		if r.Stopping {
			at = d.view.Now.Add(d.view.Stopping.delay())
		}
		if at.IsZero() {
			continue
		}
		for _, a := range r.Allocations {
			d.releases = append(d.releases, release{at, a.Worker, a.Need})
		}
	}
	slices.SortStableFunc(d.releases, func(a, b release) int { return a.at.Compare(b.at) })
	return d.releases
}

// expectedStart is when and where a blocked group is expected to start.
type expectedStart struct {
	// at is zero if it is unknown.
	at time.Time
	// freeSlots is the number of tasks that fit now.
	freeSlots int
	// room is what the tasks leave of each worker that they use then.
	room map[int]batch.Resources
}

// better reports whether more tasks fit now than at o, or as many and the group starts
// earlier.
func (s *expectedStart) better(o *expectedStart) bool {
	return cmp.Or(cmp.Compare(s.freeSlots, o.freeSlots), compareBool(o.at.IsZero(), s.at.IsZero()), o.at.Compare(s.at)) > 0
}

// expectedStart returns when enough runs are expected to have ended for the blocked
// group to fit on the workers. If that is unknown, the group takes the slots that are
// free now. Otherwise it takes the workers with most free room, of those that become
// free not much later than needed. Expected ends change often, and the workers have to
// stay the same until they are free.
func (d *decider) expectedStart(g *Group, workers []int) *expectedStart {
	earliest := d.fillUntil(g, workers, d.expectedReleases())
	if earliest.at.IsZero() {
		return earliest
	}
	limit := d.view.Now.Add(2*earliest.at.Sub(d.view.Now) + g.ExpectedDuration)
	releases := d.expectedReleases()
	n, _ := slices.BinarySearchFunc(releases, limit, func(r release, t time.Time) int { return r.at.Compare(t) })
	byFree := slices.Clone(workers)
	slices.SortStableFunc(byFree, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.slots(g, b, d.free[b]), d.slots(g, a, d.free[a])), cmp.Compare(d.free[b].Accelerators, d.free[a].Accelerators))
	})
	released := map[int]batch.Resources{}
	for _, r := range releases[:n] {
		released[r.worker] = released[r.worker].Plus(r.need)
	}
	slots, chosen := 0, byFree
	for i, w := range byFree {
		if slots += d.slots(g, w, d.free[w].Plus(released[w])); slots >= len(g.Indexes) {
			chosen = byFree[:i+1]
			break
		}
	}
	return d.fillUntil(g, chosen, releases[:n])
}

// fillUntil places the group on the workers in the order in which their slots become
// free by the releases.
func (d *decider) fillUntil(g *Group, workers []int, releases []release) *expectedStart {
	free, taken := make(map[int]batch.Resources, len(workers)), map[int]int{}
	missing := len(g.Indexes)
	take := func(w int) {
		if n := min(d.slots(g, w, free[w])-taken[w], missing); n > 0 {
			taken[w] += n
			missing -= n
		}
	}
	for _, w := range workers {
		free[w] = d.free[w]
		take(w)
	}
	s := &expectedStart{freeSlots: len(g.Indexes) - missing, room: map[int]batch.Resources{}}
	setRoom := func() {
		for w, n := range taken {
			s.room[w] = free[w].Minus(g.Need.Times(n))
		}
	}
	setRoom()
	for _, r := range releases {
		if before, ok := free[r.worker]; ok {
			free[r.worker] = before.Plus(r.need)
			take(r.worker)
		}
		if missing <= 0 {
			s.at = r.at
			setRoom()
			break
		}
	}
	return s
}

// holdForBlocked holds the room that a blocked group needs at its expected start. An
// adjacent gang gets the rack with the most free slots. Nothing is held for a group
// that does not fit beside long-running work, since it could wait for ever.
func (d *decider) holdForBlocked(g *Group) {
	d.restoreHolds()
	var best *expectedStart
	consider := func(workers []int) {
		if !d.fitsBesideLongRunning(g, workers) {
			return
		}
		if s := d.expectedStart(g, workers); len(s.room) > 0 && (best == nil || s.better(best)) {
			best = s
		}
	}
	if g.Adjacent {
		for _, workers := range d.accepting.racks {
			consider(workers)
		}
	} else {
		consider(d.accepting.workers)
	}
	if best == nil {
		return
	}
	for w, room := range best.room {
		d.hold(w, d.free[w].Minus(d.free[w].Min(room)))
	}
	d.holdEnds = append(d.holdEnds, best.at)
}

// fitsBesideLongRunning is like fitsWhenEmpty, but long-running tasks stay on the
// workers.
func (d *decider) fitsBesideLongRunning(g *Group, workers []int) bool {
	n := 0
	for _, i := range workers {
		if w := &d.view.Workers[i]; g.isEligible(w) {
			n += d.resourceSlots(g, i, w.Capacity.Minus(w.LongRunning))
		}
	}
	return n >= len(g.Indexes) || !g.Gang && n > 0
}

// holdSlots holds free slots for a group that waits for a response of the adviser.
func (d *decider) holdSlots(g *Group, slots []int) {
	d.restoreHolds()
	for _, w := range slots {
		d.hold(w, g.Need)
		d.countStart(w)
	}
	d.holdEnds = append(d.holdEnds, time.Time{})
}

// hold takes free room of a worker.
func (d *decider) hold(worker int, room batch.Resources) {
	if d.held == nil {
		d.held = make([]batch.Resources, len(d.free))
	}
	d.free[worker] = d.free[worker].Minus(room)
	d.held[worker] = d.held[worker].Plus(room)
}

// unheldFree returns the free room of a worker together with what is held there.
func (d *decider) unheldFree(worker int) batch.Resources {
	if d.held == nil || d.beforeLift != nil {
		return d.free[worker]
	}
	return d.free[worker].Plus(d.held[worker])
}

// liftHolds makes the held room available to the group, if it may use it, until
// restoreHolds is called.
func (d *decider) liftHolds(g *Group) {
	if d.held == nil || !d.mayUseHeld(g) {
		return
	}
	before := slices.Clone(d.free)
	for w := range d.free {
		d.free[w] = d.unheldFree(w)
	}
	d.beforeLift = before
}

// restoreHolds holds again what is left of the held room.
func (d *decider) restoreHolds() {
	if d.beforeLift == nil {
		return
	}
	for w, free := range d.free {
		d.free[w] = free.Min(d.beforeLift[w])
		d.held[w] = free.Minus(d.free[w])
	}
	d.beforeLift = nil
}

// usesHeld reports whether room of the worker is held but lifted.
func (d *decider) usesHeld(worker int) bool {
	return d.beforeLift != nil && d.held[worker] != batch.Resources{}
}

// mayUseHeld reports whether the group may start in held room: it is expected to end
// before the blocked groups start, or it has waited long enough for them while most
// of the service is free. That wait is as long as the job itself may take, so that
// work ends during the wait of similar work that comes after it, and a blocked gang
// starts in the end however much small work arrives.
func (d *decider) mayUseHeld(g *Group) bool {
	return d.endsBeforeHolds(g) || g.hasWaitedForHolds(d.view.Now) && d.mayRelaxPlacement(g)
}

// hasWaitedForHolds reports whether the job has waited as long as it may take, within
// limits.
func (g *Group) hasWaitedForHolds(now time.Time) bool {
	return now.Sub(g.Accepted) >= min(max(g.longestDuration(), placementTimeout), maxHeldTime)
}

// longestDuration returns how long the tasks and what depends on them may take.
func (g *Group) longestDuration() time.Duration {
	return time.Duration(durationMargin * float64(g.ExpectedDuration))
}

// endsBeforeHolds reports whether the group is expected to end before any blocked
// group starts.
func (d *decider) endsBeforeHolds(g *Group) bool {
	if g.LongRunning {
		return false
	}
	end := d.view.Now.Add(g.longestDuration())
	return !slices.ContainsFunc(d.holdEnds, end.After)
}
