package assignment

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// rackScore compares racks for a gang: first by how far its slowest worker is
// from the speed that the gang should get, then by the room that is left.
type rackScore struct{ speed, room int }

func (s rackScore) less(o rackScore) bool {
	return cmp.Or(cmp.Compare(s.speed, o.speed), cmp.Compare(s.room, o.room)) < 0
}

func (d *decider) score(g *Group, workers, seats []int) rackScore {
	slowest := len(speedSteps)
	for _, w := range seats {
		slowest = min(slowest, d.view.Workers[w].speedClass())
	}
	return rackScore{speed: d.distance(g, slowest), room: d.room(g, workers)}
}

// speedSteps separate the classes of speed: workers that have turned slow, those
// of the slowest make, typical and fast ones. The slowest make has 0.46 to 0.6 of
// the typical speed.
var speedSteps = [...]float64{0.33, 0.8, 1.25}

// speedClass returns the class of a worker's speed, slow ones first.
func (w *Worker) speedClass() int {
	class := 0
	for _, s := range speedSteps {
		if w.Speed >= s {
			class++
		}
	}
	return class
}

// distance ranks a class of speed for a group, the best first: urgent work
// takes the fast workers; other work leaves them free as long as the slow ones
// are fast enough for its objective.
func (d *decider) distance(g *Group, class int) int {
	fast := len(speedSteps) - class
	if g.Priority == 0 || class == 0 {
		return fast
	}
	// A worker of the class below full speed takes about this much longer.
	const slowFactor = 1.7
	if d.view.Now.Add(time.Duration(slowFactor * float64(g.Length))).After(g.Objective) {
		return fast
	}
	return class
}

// holds reports whether the workers could take the group if they were empty.
func (d *decider) holds(g *Group, workers []int) bool {
	n := 0
	for _, i := range workers {
		n += d.seats(g, i, d.view.Workers[i].Capacity)
	}
	return n >= len(g.Indexes) || !g.Gang && n > 0
}

// room returns how many tasks of the group the workers can take now.
func (d *decider) room(g *Group, workers []int) int {
	n := 0
	for _, i := range workers {
		n += d.seats(g, i, d.free[i])
	}
	return n
}

// accepts reports whether a worker may run the tasks at all.
func (g *Group) accepts(w *Worker) bool {
	return w.Service == g.Service && w.has(g.Label) && (g.Allowed == nil || g.Allowed[w.ID])
}

// seats returns how many tasks of the group fit into free on a worker.
func (d *decider) seats(g *Group, worker int, free batch.Resources) int {
	w := &d.view.Workers[worker]
	if !g.accepts(w) {
		return 0
	}
	n := len(g.Indexes)
	if g.MaxPerWorker > 0 {
		n = min(n, g.MaxPerWorker-g.RunningPerWorker[w.ID])
	}
	n = min(n, quotient(free.MilliCPU, g.Need.MilliCPU))
	n = min(n, quotient(free.MemoryMB, g.Need.MemoryMB))
	n = min(n, quotient(free.Accelerators, g.Need.Accelerators))
	return max(n, 0)
}

func quotient(free, need int64) int {
	if need <= 0 {
		return batchLimit
	}
	return int(max(free, 0) / need)
}

// batchLimit is above the number of tasks of any group.
const batchLimit = 1 << 20

// teaches reports whether the group would teach the speed of a worker: several
// tasks that work on their own and are not urgent.
func (d *decider) teaches(g *Group, w *Worker) bool {
	return !w.Known && !g.Gang && g.Priority > 0 && len(g.Indexes) > 1
}

// sumRacks sets the sums to the free accelerators of the workers on each rack.
func (d *decider) sumRacks(workers []int) {
	for _, w := range workers {
		d.sums[d.rack[w]] = 0
	}
	for _, w := range workers {
		d.sums[d.rack[w]] += d.free[w].Accelerators
	}
}

// candidate is a worker that can take tasks of a group, with what it is compared
// by.
type candidate struct {
	worker, seats int
	// known is 0 if the group would teach the worker's speed, else 1.
	known        int
	distance     int
	rackFree     int64
	accelerators int64
	milliCPU     int64
}

func (c *candidate) compare(o *candidate) int {
	switch {
	case c.known != o.known:
		return c.known - o.known
	case c.distance != o.distance:
		return c.distance - o.distance
	case c.rackFree != o.rackFree:
		return cmp.Compare(c.rackFree, o.rackFree)
	case c.accelerators != o.accelerators:
		return cmp.Compare(c.accelerators, o.accelerators)
	case c.milliCPU != o.milliCPU:
		return cmp.Compare(c.milliCPU, o.milliCPU)
	}
	return c.worker - o.worker
}

// fill takes the workers of the best class of speed that are left with the
// least room, on the racks with the least room, so that whole racks stay free
// for adjacent gangs.
func (d *decider) fill(g *Group, workers []int) []int {
	found := d.found[:0]
	total := 0
	for _, i := range workers {
		if n := d.seats(g, i, d.free[i]); n > 0 {
			found = append(found, candidate{worker: i, seats: n})
			total += n
		}
	}
	d.found = found
	if total == 0 || g.Gang && total < len(g.Indexes) {
		return nil
	}
	d.sumRacks(workers)
	for i := range found {
		c := &found[i]
		w := &d.view.Workers[c.worker]
		if !d.teaches(g, w) {
			c.known = 1
		}
		c.distance, c.rackFree = d.distance(g, w.speedClass()), d.sums[d.rack[c.worker]]
		c.accelerators, c.milliCPU = d.free[c.worker].Accelerators, d.free[c.worker].MilliCPU
	}
	slices.SortFunc(found, func(a, b candidate) int { return a.compare(&b) })
	seats := make([]int, 0, len(g.Indexes))
	for _, c := range found {
		for range min(c.seats, len(g.Indexes)-len(seats)) {
			seats = append(seats, c.worker)
		}
		if len(seats) == len(g.Indexes) {
			break
		}
	}
	return seats
}
