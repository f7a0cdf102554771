package gang

import (
	"math"
	"math/bits"
)

// Weights are the factors of the terms that make up the cost of a placement.
type Weights struct {
	// Speed is the cost of each halving of the gang's speed.
	Speed float64
	// Waste is the cost of each doubling of a worker's speed over the gang's.
	Waste float64
	// Fragmentation is the cost of reducing the capacity for large shapes.
	Fragmentation float64
	// Borrowing is the cost of each accelerator that is guaranteed to another
	// team.
	Borrowing float64
}

// Completion returns weights that favour short completion times.
func Completion() Weights {
	return Weights{Speed: 12, Waste: 1, Fragmentation: 0.25, Borrowing: 0.2}
}

// Fragmentation returns weights that keep capacity free for large gangs.
func Fragmentation() Weights {
	return Weights{Speed: 2, Waste: 0.5, Fragmentation: 1, Borrowing: 0.2}
}

// Request describes the gang to place.
type Request struct {
	Shape Shape
	// Spare restricts the placement to accelerators that are guaranteed to no
	// team.
	Spare bool
}

// Placement is the set of workers chosen for a gang and its cost.
type Placement struct {
	// Rack is the index of the rack in the slice passed to Place.
	Rack    int
	Workers Set
	Cost    float64
}

// Place returns the placement of the request with the lowest cost. Among equal
// costs the first rack wins.
func Place(racks []Rack, req Request, w Weights) (Placement, bool) {
	best := Placement{Cost: math.Inf(1)}
	var buf [MaxAccelerators]candidate
	for i := range racks {
		p, ok := placeOnRack(&racks[i], req, w, &buf)
		if ok && p.Cost < best.Cost {
			p.Rack = i
			best = p
		}
	}
	return best, best.Workers != 0
}

// candidate is a worker that can hold one member of the gang.
type candidate struct {
	index int
	cost  float64
	speed float64
}

// placeOnRack tries each distinct worker speed as the gang's speed and selects
// the workers with the lowest cost among those that are at least as fast.
func placeOnRack(r *Rack, req Request, w Weights, buf *[MaxAccelerators]candidate) (Placement, bool) {
	n := collectCandidates(r, req, w, buf)
	best := Placement{Cost: math.Inf(1)}
	if n < req.Shape.Workers {
		return best, false
	}
	candidates := buf[:n]
	previous := math.Inf(1)
	for {
		speed := nextLowerSpeed(candidates, previous)
		if math.IsInf(speed, -1) {
			return best, best.Workers != 0
		}
		previous = speed
		set, cost, ok := cheapestWorkers(candidates, req.Shape.Workers, speed, w.Waste)
		if !ok {
			continue
		}
		cost -= w.Speed * speed
		cost += w.Fragmentation * (r.freeScore - r.freeScoreAfter(set, req.Shape.Accelerators))
		if cost < best.Cost {
			best.Workers = set
			best.Cost = cost
		}
	}
}

// collectCandidates fills buf with the workers that can hold a member, in
// ascending order of cost, and returns their number.
func collectCandidates(r *Rack, req Request, w Weights, buf *[MaxAccelerators]candidate) int {
	n := 0
	for i := range r.workers {
		worker := &r.workers[i]
		if worker.Down || worker.Free < req.Shape.Accelerators {
			continue
		}
		borrowed := max(0, req.Shape.Accelerators-max(0, worker.Free-worker.Guaranteed))
		if req.Spare && borrowed > 0 {
			continue
		}
		c := candidate{index: i, speed: worker.logSpeed}
		c.cost = w.Borrowing*float64(borrowed) + w.Fragmentation*float64(worker.Free-req.Shape.Accelerators)/float64(r.maxPerWorker)
		j := n
		for ; j > 0 && buf[j-1].cost > c.cost; j-- {
			buf[j] = buf[j-1]
		}
		buf[j] = c
		n++
	}
	return n
}

// nextLowerSpeed returns the highest candidate speed below limit, or -Inf.
func nextLowerSpeed(candidates []candidate, limit float64) float64 {
	speed := math.Inf(-1)
	for i := range candidates {
		if s := candidates[i].speed; s < limit && s > speed {
			speed = s
		}
	}
	return speed
}

// cheapestWorkers returns the first n candidates of at least the given speed
// and their cost. The candidates are in order of their own cost, which leaves
// out waste, so a worker that is much faster than the gang is not skipped if
// its own cost is low.
func cheapestWorkers(candidates []candidate, n int, speed, waste float64) (Set, float64, bool) {
	var set Set
	cost := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.speed < speed {
			continue
		}
		set = set.With(c.index)
		cost += c.cost + waste*(c.speed-speed)
		n--
		if n == 0 {
			return set, cost, true
		}
	}
	return 0, 0, false
}

// freeScoreAfter returns the score of the rack's free capacity after n
// accelerators on each worker of set are taken.
func (r *Rack) freeScoreAfter(set Set, n int) float64 {
	counts := r.counts
	for ; set != 0; set = set.Rest() {
		free := r.workers[set.First()].Free
		for j := levelsUpTo(free); j > levelsUpTo(free-n); j-- {
			counts[j-1]--
		}
	}
	return counts.score(len(r.workers))
}

// levelCounts holds, for each power of two, the number of workers with at least
// that many free accelerators.
type levelCounts [7]int8

// levelsUpTo returns the number of powers of two that do not exceed n.
func levelsUpTo(n int) int { return bits.Len(uint(max(0, min(n, MaxAccelerators)))) }

func (r *Rack) updateCounts() {
	r.counts = levelCounts{}
	for i := range r.workers {
		worker := &r.workers[i]
		if worker.Down {
			continue
		}
		for j := range levelsUpTo(worker.Free) {
			r.counts[j]++
		}
	}
	r.freeScore = r.counts.score(len(r.workers))
}

// score rates the free capacity. Squaring the counts makes capacity on one rack
// worth more than the same capacity spread over several racks.
func (l *levelCounts) score(workers int) float64 {
	value := 0
	for j, c := range l {
		value += int(c) * int(c) << j
	}
	return float64(value) / float64(max(1, workers))
}
