package guarantee

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/gang"
)

// strategy is one way to lay out cells. The first strategy that places every
// shape is used.
type strategy struct {
	// pin places cells on the workers of the pinned work first.
	pin bool
	// pack selects the rack that loses the least capacity for large cells.
	// Otherwise rendezvous hashing selects among the racks with enough
	// capacity, which moves few cells when the guarantees or workers change.
	pack bool
}

func strategies(pinned bool) []strategy {
	free := []strategy{{}, {pack: true}}
	if !pinned {
		return free
	}
	return append([]strategy{{pin: true}, {pin: true, pack: true}}, free...)
}

// layout is the result of one strategy.
type layout struct {
	// cells are the wanted cells in order; unplaced cells have no workers.
	cells []Cell
	// missing is the number of accelerators of the unplaced cells.
	missing int
}

// unplannedCapacity tracks the accelerators of each worker that belong to no
// cell yet.
type unplannedCapacity struct {
	racks      []gang.Rack
	rackHashes []uint64
	// workerHashes holds the hashes of the workers' names by rack and worker.
	workerHashes [][]uint64
	// free is the number of unplanned accelerators by rack and worker.
	free [][]int
	// fitCounts is the number of workers with at least n unplanned
	// accelerators, by rack and n.
	fitCounts [][]int
}

func newUnplannedCapacity(racks []gang.Rack) *unplannedCapacity {
	u := &unplannedCapacity{racks: racks}
	for _, r := range racks {
		var hashes []uint64
		var free []int
		fit := make([]int, gang.MaxAccelerators+1)
		for i := range r.Len() {
			w := r.Worker(i)
			hashes = append(hashes, xxhash.Sum64String(w.Name))
			n := min(w.Accelerators, gang.MaxAccelerators)
			if w.Down {
				n = 0
			}
			free = append(free, n)
			for m := 1; m <= n; m++ {
				fit[m]++
			}
		}
		u.rackHashes = append(u.rackHashes, xxhash.Sum64String(r.Name()))
		u.workerHashes = append(u.workerHashes, hashes)
		u.free = append(u.free, free)
		u.fitCounts = append(u.fitCounts, fit)
	}
	return u
}

func (s strategy) layOut(racks []gang.Rack, wanted []Cell, pinned []Work) layout {
	u := newUnplannedCapacity(racks)
	l := layout{cells: append([]Cell{}, wanted...)}
	if s.pin {
		u.pin(l.cells, pinned)
	}
	for i := range l.cells {
		c := &l.cells[i]
		if c.Workers != 0 {
			continue
		}
		hash := xxhash.Sum64String(c.Team) ^ mixHash(uint64(c.Ordinal)<<16|uint64(c.Shape.Workers)<<8|uint64(c.Shape.Accelerators))
		rack := u.chooseRack(c.Shape, hash, s.pack)
		if rack < 0 {
			l.missing += c.Shape.Total()
			continue
		}
		c.Rack = u.racks[rack].Name()
		c.Workers = u.chooseWorkers(rack, c.Shape, hash)
		u.reserve(rack, c.Workers, c.Shape.Accelerators)
	}
	return l
}

// pin places one unplaced cell of the same team and shape on the workers of each
// pinned work.
func (u *unplannedCapacity) pin(cells []Cell, pinned []Work) {
	positions := map[string]int{}
	for i, r := range u.racks {
		positions[r.Name()] = i
	}
	for _, w := range pinned {
		rack, ok := positions[w.Rack]
		if !ok || !u.hasCapacity(rack, w.Workers, w.Shape.Accelerators) {
			continue
		}
		for i := range cells {
			c := &cells[i]
			if c.Workers != 0 || c.Team != w.Team || c.Shape != w.Shape {
				continue
			}
			c.Rack = w.Rack
			c.Workers = w.Workers
			u.reserve(rack, w.Workers, w.Shape.Accelerators)
			break
		}
	}
}

func (u *unplannedCapacity) hasCapacity(rack int, s gang.Set, n int) bool {
	for ; s != 0; s = s.Rest() {
		if s.First() >= len(u.free[rack]) || u.free[rack][s.First()] < n {
			return false
		}
	}
	return true
}

func (u *unplannedCapacity) reserve(rack int, s gang.Set, n int) {
	for ; s != 0; s = s.Rest() {
		i := s.First()
		for m := range n {
			u.fitCounts[rack][u.free[rack][i]-m]--
		}
		u.free[rack][i] -= n
	}
}

// chooseRack returns the position of a rack with enough capacity, or -1.
func (u *unplannedCapacity) chooseRack(s gang.Shape, hash uint64, pack bool) int {
	best := -1
	bestCost := math.MaxInt
	var bestHash uint64
	for i := range u.racks {
		if u.fitCounts[i][min(s.Accelerators, gang.MaxAccelerators)] < s.Workers {
			continue
		}
		cost := 0
		if pack {
			cost = u.fragmentationCost(i, s)
		}
		h := mixHash(hash ^ u.rackHashes[i])
		if cost < bestCost || cost == bestCost && h > bestHash {
			best, bestCost, bestHash = i, cost, h
		}
	}
	return best
}

// fragmentationCost returns the capacity for large cells that the rack loses if
// it takes the shape. It squares the number of workers for each number of
// accelerators, as the score of free capacity in package gang does.
func (u *unplannedCapacity) fragmentationCost(rack int, s gang.Shape) int {
	set := u.chooseWorkers(rack, s, 0)
	var loss [gang.MaxAccelerators + 1]int
	for rest := set; rest != 0; rest = rest.Rest() {
		free := u.free[rack][rest.First()]
		for m := range s.Accelerators {
			loss[free-m]++
		}
	}
	cost := 0
	for m := 1; m <= gang.MaxAccelerators; m <<= 1 {
		n := u.fitCounts[rack][m]
		cost += m * (n*n - (n-loss[m])*(n-loss[m]))
	}
	return cost
}

// chooseWorkers returns the workers with the least sufficient capacity.
func (u *unplannedCapacity) chooseWorkers(rack int, s gang.Shape, hash uint64) gang.Set {
	var set gang.Set
	for range s.Workers {
		best := -1
		var bestHash uint64
		for i, free := range u.free[rack] {
			if free < s.Accelerators || set.Has(i) {
				continue
			}
			h := mixHash(hash ^ u.workerHashes[rack][i])
			if best < 0 || free < u.free[rack][best] || free == u.free[rack][best] && h > bestHash {
				best, bestHash = i, h
			}
		}
		set = set.With(best)
	}
	return set
}

// mixHash is the finaliser of splitmix64. It distributes combined hashes evenly.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (l layout) plan(wanted []Cell) Plan {
	p := Plan{racks: map[string][]Cell{}, teams: map[string][]Cell{}}
	for i, c := range l.cells {
		if c.Workers == 0 {
			p.addMissing(wanted[i])
			continue
		}
		p.cells = append(p.cells, c)
		p.racks[c.Rack] = append(p.racks[c.Rack], c)
		p.teams[c.Team] = append(p.teams[c.Team], c)
	}
	return p
}

func (p *Plan) addMissing(c Cell) {
	for i := range p.missing {
		m := &p.missing[i]
		if m.Team == c.Team && m.Shape == c.Shape {
			m.Count++
			return
		}
	}
	p.missing = append(p.missing, Shortage{Team: c.Team, Shape: c.Shape, Count: 1})
}
