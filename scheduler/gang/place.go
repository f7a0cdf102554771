package gang

import (
	"math"
	"math/bits"
)

// Weights sets what a placement prefers. Costs are added after weighting.
type Weights struct {
	// Speed weighs each halving of the gang's speed.
	Speed float64
	// Waste weighs each halving between a worker's speed and the gang's.
	Waste float64
	// Fragmentation weighs the loss of room for large shapes.
	Fragmentation float64
	// Borrowing weighs each accelerator that is guaranteed to another team.
	Borrowing float64
}

// Completion returns the weights of sites that value completion time.
func Completion() Weights {
	return Weights{Speed: 12, Waste: 1, Fragmentation: 0.25, Borrowing: 0.2}
}

// Fragmentation returns the weights of sites that value room for large gangs.
func Fragmentation() Weights {
	return Weights{Speed: 2, Waste: 0.5, Fragmentation: 1, Borrowing: 0.2}
}

// Request asks for a placement.
type Request struct {
	Shape Shape
	// Spare restricts the placement to accelerators promised to no team.
	Spare bool
}

// Placement is a set of workers for a gang.
type Placement struct {
	// Rack is the position of the rack among those given to Place.
	Rack    int
	Workers Set
	Cost    float64
}

// Place returns the cheapest placement of the request. Equal costs go to the
// rack that comes first.
func Place(racks []Rack, req Request, w Weights) (Placement, bool) {
	best := Placement{Cost: math.Inf(1)}
	var buf [MaxAccelerators]candidate
	for i := range racks {
		p, ok := placeOn(&racks[i], req, w, &buf)
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

// placeOn tries each distinct speed as the gang's speed and takes the cheapest
// workers that are at least as fast.
func placeOn(r *Rack, req Request, w Weights, buf *[MaxAccelerators]candidate) (Placement, bool) {
	n := candidates(r, req, w, buf)
	best := Placement{Cost: math.Inf(1)}
	if n < req.Shape.Workers {
		return best, false
	}
	cands := buf[:n]
	previous := math.Inf(1)
	for {
		speed := slowerThan(cands, previous)
		if math.IsInf(speed, -1) {
			return best, best.Workers != 0
		}
		previous = speed
		set, cost, ok := cheapest(cands, req.Shape.Workers, speed, w.Waste)
		if !ok {
			continue
		}
		cost -= w.Speed * speed
		cost += w.Fragmentation * (r.room - r.roomAfter(set, req.Shape.Accelerators))
		if cost < best.Cost {
			best.Workers = set
			best.Cost = cost
		}
	}
}

// candidates fills buf with the workers that can hold a member, in order of
// cost.
func candidates(r *Rack, req Request, w Weights, buf *[MaxAccelerators]candidate) int {
	n := 0
	for i := range r.workers {
		k := &r.workers[i]
		if k.Down || k.Free < req.Shape.Accelerators {
			continue
		}
		borrowed := max(0, req.Shape.Accelerators-max(0, k.Free-k.Guaranteed))
		if req.Spare && borrowed > 0 {
			continue
		}
		c := candidate{index: i, speed: k.logSpeed}
		c.cost = w.Borrowing*float64(borrowed) + w.Fragmentation*float64(k.Free-req.Shape.Accelerators)/float64(r.widest)
		j := n
		for ; j > 0 && buf[j-1].cost > c.cost; j-- {
			buf[j] = buf[j-1]
		}
		buf[j] = c
		n++
	}
	return n
}

// slowerThan returns the highest speed below the limit.
func slowerThan(cands []candidate, limit float64) float64 {
	speed := math.Inf(-1)
	for i := range cands {
		if s := cands[i].speed; s < limit && s > speed {
			speed = s
		}
	}
	return speed
}

// cheapest returns the n cheapest workers of at least the given speed. The
// candidates are in order of cost, so those far faster than the gang are
// passed over only while others remain.
func cheapest(cands []candidate, n int, speed, waste float64) (Set, float64, bool) {
	var set Set
	cost := 0.0
	for i := range cands {
		c := &cands[i]
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

// roomAfter returns the room of the rack after a use of n on each worker of
// set.
func (r *Rack) roomAfter(set Set, n int) float64 {
	counts := r.counts
	for ; set != 0; set = set.Rest() {
		free := r.workers[set.First()].Free
		for j := level(free); j > level(free-n); j-- {
			counts[j-1]--
		}
	}
	return counts.value(len(r.workers))
}

// levels counts, for each power of two, the workers with at least that many
// free accelerators.
type levels [7]int8

// level returns the number of powers of two up to n.
func level(n int) int { return bits.Len(uint(max(0, min(n, MaxAccelerators)))) }

func (r *Rack) countLevels() {
	r.counts = levels{}
	for i := range r.workers {
		k := &r.workers[i]
		if k.Down {
			continue
		}
		for j := range level(k.Free) {
			r.counts[j]++
		}
	}
	r.room = r.counts.value(len(r.workers))
}

// value rates the room. The square makes room on one rack worth more than the
// same room spread over several racks.
func (l *levels) value(workers int) float64 {
	value := 0
	for j, c := range l {
		value += int(c) * int(c) << j
	}
	return float64(value) / float64(max(1, workers))
}
