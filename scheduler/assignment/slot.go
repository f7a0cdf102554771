package assignment

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// rackScore ranks racks for a gang, lower first: by the speed rank of the slowest
// worker that the gang would use, then by the free slots of the rack.
type rackScore struct{ speed, freeSlots int }

func (s rackScore) less(o rackScore) bool {
	return cmp.Or(cmp.Compare(s.speed, o.speed), cmp.Compare(s.freeSlots, o.freeSlots)) < 0
}

func (d *decider) scoreRack(g *Group, workers, slots []int) rackScore {
	slowest := len(speedClassBounds)
	for _, w := range slots {
		slowest = min(slowest, speedClass(d.speedFor(g, &d.view.Workers[w])))
	}
	return rackScore{speed: d.speedRank(g, slowest), freeSlots: d.freeSlots(g, workers)}
}

// speedClassBounds separate the speed classes: degraded workers, those of the
// slowest hardware model, typical and fast ones. The slowest model has 0.46 to
// 0.6 of the typical speed.
var speedClassBounds = [...]float64{0.33, 0.8, 1.25}

// speedClass returns the class of a speed, from 0 for the slowest.
func speedClass(speed float64) int {
	class := 0
	for _, s := range speedClassBounds {
		if speed >= s {
			class++
		}
	}
	return class
}

// speedRank ranks a speed class for a group, lower first. Urgent work prefers fast
// workers. Other work prefers slow workers as long as they are fast enough for its
// objective. Degraded workers always rank last.
func (d *decider) speedRank(g *Group, class int) int {
	fast := len(speedClassBounds) - class
	if g.Priority == 0 || class == 0 {
		return fast
	}
	// A worker of the class below the typical one takes about this much longer.
	const slowFactor = 1.7
	if d.view.Now.Add(time.Duration(slowFactor * float64(g.ExpectedDuration))).After(g.Objective) {
		return fast
	}
	return class
}

// fitsWhenEmpty reports whether the group would fit on the workers if they were
// idle, trusted and approved: all this is temporary, like other runs. Of a group that
// is not a gang one task is enough.
func (d *decider) fitsWhenEmpty(g *Group, workers []int) bool {
	n := 0
	for _, i := range workers {
		if g.isEligible(&d.view.Workers[i]) {
			n += d.resourceSlots(g, i, d.view.Workers[i].Capacity)
		}
	}
	return n >= len(g.Indexes) || !g.Gang && n > 0
}

// freeSlots returns how many tasks of the group fit on the workers now.
func (d *decider) freeSlots(g *Group, workers []int) int {
	n := 0
	for _, i := range workers {
		n += d.slots(g, i, d.free[i])
	}
	return n
}

// accepts reports whether the worker is eligible to run the tasks of the group.
func (g *Group) accepts(w *Worker) bool {
	return g.isEligible(w) && (g.Allowed == nil || g.Allowed[w.ID])
}

// slots returns how many tasks of the group fit into the free resources of a
// worker and are allowed by the trust in it.
func (d *decider) slots(g *Group, worker int, free batch.Resources) int {
	if !g.accepts(&d.view.Workers[worker]) {
		return 0
	}
	return min(d.resourceSlots(g, worker, free), d.trustedSlots(g, worker))
}

// resourceSlots returns how many tasks of the group fit into the free resources of
// an eligible worker.
func (d *decider) resourceSlots(g *Group, worker int, free batch.Resources) int {
	w := &d.view.Workers[worker]
	n := len(g.Indexes)
	if g.MaxPerWorker > 0 {
		n = min(n, g.MaxPerWorker-g.RunningPerWorker[w.ID])
	}
	return g.Need.CountIn(free, n)
}

// unlimitedSlots stands for no limit; it exceeds the number of tasks of any
// group.
const unlimitedSlots = 1 << 20

// measuresSpeed reports whether running the group would measure the unknown speed
// of the worker: it has several tasks, is not a gang, is not urgent and can afford a
// slow worker.
func (d *decider) measuresSpeed(g *Group, w *Worker) bool {
	return !w.SpeedKnown && !g.Gang && g.Priority > 0 && len(g.Indexes) > 1 && d.speedFor(g, w) == w.Speed
}

// sumFreeByRack sets freeByRack to the free accelerators of the workers.
func (d *decider) sumFreeByRack(workers []int) {
	for _, w := range workers {
		d.freeByRack[d.workerRack[w]] = 0
	}
	for _, w := range workers {
		d.freeByRack[d.workerRack[w]] += d.free[w].Accelerators
	}
}

// candidate is a worker that can run tasks of a group, with its sort keys.
type candidate struct {
	worker, slots int
	// measureRank is 0 if the group would measure the worker's speed, else 1.
	measureRank int
	speedRank   int
	// usesHeld is set if the worker has room that is held for a blocked group.
	usesHeld bool
	rackFree int64
	slowdown float64
	// fit and secondFit are the free resources that best fit compares: the
	// accelerators and the processor, or the memory and the accelerators for a group
	// that needs memory most.
	fit       int64
	secondFit int64
}

func (c *candidate) compare(o *candidate) int {
	switch {
	case c.measureRank != o.measureRank:
		return c.measureRank - o.measureRank
	case c.speedRank != o.speedRank:
		return c.speedRank - o.speedRank
	case c.usesHeld != o.usesHeld:
		return compareBool(c.usesHeld, o.usesHeld)
	case c.rackFree != o.rackFree:
		return cmp.Compare(c.rackFree, o.rackFree)
	case c.slowdown != o.slowdown:
		return cmp.Compare(c.slowdown, o.slowdown)
	case c.fit != o.fit:
		return cmp.Compare(c.fit, o.fit)
	case c.secondFit != o.secondFit:
		return cmp.Compare(c.secondFit, o.secondFit)
	}
	return c.worker - o.worker
}

// fill is a best-fit placement: it takes workers of the best speed rank first, on
// the racks with the fewest free accelerators, of these the ones with the least
// slowdown and then those with the fewest free resources themselves, so that whole
// racks stay free for adjacent gangs. Workers whose speed the group would measure go before all others. It returns the worker
// of each task, or nil if nothing or only a part of a gang fits.
func (d *decider) fill(g *Group, workers []int) []int {
	candidates := d.candidates[:0]
	total := 0
	for _, i := range workers {
		if d.sparesReserved && d.reservedWorkers[i] {
			continue
		}
		if n := d.slots(g, i, d.free[i]); n > 0 {
			candidates = append(candidates, candidate{worker: i, slots: n})
			total += n
		}
	}
	d.candidates = candidates
	if total == 0 || g.Gang && total < len(g.Indexes) {
		return nil
	}
	d.sumFreeByRack(workers)
	byMemory := d.memoryIsScarcest(g)
	for i := range candidates {
		c := &candidates[i]
		w := &d.view.Workers[c.worker]
		if !d.measuresSpeed(g, w) {
			c.measureRank = 1
		}
		c.speedRank, c.rackFree = d.speedRank(g, speedClass(d.speedFor(g, w))), d.freeByRack[d.workerRack[c.worker]]
		if byMemory {
			c.fit, c.secondFit = d.memoryShare(c.worker), d.free[c.worker].Accelerators
		} else {
			c.fit, c.secondFit = d.free[c.worker].Accelerators, d.free[c.worker].MilliCPU
		}
		c.slowdown, c.usesHeld = g.slowdown(c.worker), d.usesHeld(c.worker)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.compare(&b) })
	slots := make([]int, 0, len(g.Indexes))
	for _, c := range candidates {
		for range min(c.slots, len(g.Indexes)-len(slots)) {
			slots = append(slots, c.worker)
		}
		if len(slots) == len(g.Indexes) {
			break
		}
	}
	return slots
}
