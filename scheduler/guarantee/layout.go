package guarantee

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/gang"
)

// attempt is one way to lay out cells. The first that places every shape is
// taken.
type attempt struct {
	// pin keeps cells under running work.
	pin bool
	// pack chooses the rack that keeps most room for large cells. Otherwise
	// rendezvous hashing chooses among the racks with room, which moves few
	// cells when the guarantees or workers change.
	pack bool
}

func attempts(pinned bool) []attempt {
	free := []attempt{{}, {pack: true}}
	if !pinned {
		return free
	}
	return append([]attempt{{pin: true}, {pin: true, pack: true}}, free...)
}

// layout is the result of one attempt.
type layout struct {
	// cells are the wanted cells in order; those without a place have no
	// workers.
	cells []Cell
	// missing is the number of accelerators of cells without a place.
	missing int
}

// board tracks the unplanned accelerators of each worker.
type board struct {
	racks  []gang.Rack
	hashes []uint64
	// workers holds the hash of each worker's name by rack.
	workers [][]uint64
	// room is the number of unplanned accelerators by rack and worker.
	room [][]int
	// fit counts by rack the workers that have at least that many unplanned
	// accelerators.
	fit [][]int
}

func newBoard(racks []gang.Rack) *board {
	b := &board{racks: racks}
	for _, r := range racks {
		var hashes []uint64
		var room []int
		fit := make([]int, gang.MaxAccelerators+1)
		for i := range r.Len() {
			w := r.Worker(i)
			hashes = append(hashes, xxhash.Sum64String(w.Name))
			n := min(w.Accelerators, gang.MaxAccelerators)
			if w.Down {
				n = 0
			}
			room = append(room, n)
			for m := 1; m <= n; m++ {
				fit[m]++
			}
		}
		b.hashes = append(b.hashes, xxhash.Sum64String(r.Name()))
		b.workers = append(b.workers, hashes)
		b.room = append(b.room, room)
		b.fit = append(b.fit, fit)
	}
	return b
}

func (a attempt) run(racks []gang.Rack, wanted []Cell, pinned []Work) layout {
	b := newBoard(racks)
	l := layout{cells: append([]Cell{}, wanted...)}
	if a.pin {
		b.pin(l.cells, pinned)
	}
	for i := range l.cells {
		c := &l.cells[i]
		if c.Workers != 0 {
			continue
		}
		hash := xxhash.Sum64String(c.Team) ^ mix(uint64(c.Ordinal)<<16|uint64(c.Shape.Workers)<<8|uint64(c.Shape.Accelerators))
		rack := b.chooseRack(c.Shape, hash, a.pack)
		if rack < 0 {
			l.missing += c.Shape.Total()
			continue
		}
		c.Rack = b.racks[rack].Name()
		c.Workers = b.chooseWorkers(rack, c.Shape, hash)
		b.take(rack, c.Workers, c.Shape.Accelerators)
	}
	return l
}

// pin places one unplaced cell of the team and shape under each work.
func (b *board) pin(cells []Cell, pinned []Work) {
	positions := map[string]int{}
	for i, r := range b.racks {
		positions[r.Name()] = i
	}
	for _, w := range pinned {
		rack, ok := positions[w.Rack]
		if !ok || !b.holds(rack, w.Workers, w.Shape.Accelerators) {
			continue
		}
		for i := range cells {
			c := &cells[i]
			if c.Workers != 0 || c.Team != w.Team || c.Shape != w.Shape {
				continue
			}
			c.Rack = w.Rack
			c.Workers = w.Workers
			b.take(rack, w.Workers, w.Shape.Accelerators)
			break
		}
	}
}

func (b *board) holds(rack int, s gang.Set, n int) bool {
	for ; s != 0; s = s.Rest() {
		if s.First() >= len(b.room[rack]) || b.room[rack][s.First()] < n {
			return false
		}
	}
	return true
}

func (b *board) take(rack int, s gang.Set, n int) {
	for ; s != 0; s = s.Rest() {
		i := s.First()
		for m := range n {
			b.fit[rack][b.room[rack][i]-m]--
		}
		b.room[rack][i] -= n
	}
}

// chooseRack returns the position of a rack with room, or -1.
func (b *board) chooseRack(s gang.Shape, hash uint64, pack bool) int {
	best := -1
	bestCost := math.MaxInt
	var bestHash uint64
	for i := range b.racks {
		if b.fit[i][min(s.Accelerators, gang.MaxAccelerators)] < s.Workers {
			continue
		}
		cost := 0
		if pack {
			cost = b.breakage(i, s)
		}
		h := mix(hash ^ b.hashes[i])
		if cost < bestCost || cost == bestCost && h > bestHash {
			best, bestCost, bestHash = i, cost, h
		}
	}
	return best
}

// breakage is the room for large cells that the rack loses by the shape: it
// squares the number of workers for each number of accelerators, as the score
// of free room in package gang does.
func (b *board) breakage(rack int, s gang.Shape) int {
	set := b.chooseWorkers(rack, s, 0)
	var loss [gang.MaxAccelerators + 1]int
	for rest := set; rest != 0; rest = rest.Rest() {
		room := b.room[rack][rest.First()]
		for m := range s.Accelerators {
			loss[room-m]++
		}
	}
	cost := 0
	for m := 1; m <= gang.MaxAccelerators; m <<= 1 {
		n := b.fit[rack][m]
		cost += m * (n*n - (n-loss[m])*(n-loss[m]))
	}
	return cost
}

// chooseWorkers returns the workers with the smallest sufficient room.
func (b *board) chooseWorkers(rack int, s gang.Shape, hash uint64) gang.Set {
	var set gang.Set
	for range s.Workers {
		best := -1
		var bestHash uint64
		for i, room := range b.room[rack] {
			if room < s.Accelerators || set.Has(i) {
				continue
			}
			h := mix(hash ^ b.workers[rack][i])
			if best < 0 || room < b.room[rack][best] || room == b.room[rack][best] && h > bestHash {
				best, bestHash = i, h
			}
		}
		set = set.With(best)
	}
	return set
}

// mix is the finalizer of splitmix64, which spreads combined hashes evenly.
func mix(x uint64) uint64 {
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
