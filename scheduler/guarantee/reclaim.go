package guarantee

import (
	"time"

	"daisylug.example/scheduler/gang"
)

// Eviction is one gang to checkpoint, if there is time, and stop.
type Eviction struct {
	Work Work
	// Checkpoint tells whether the checkpoint ends within the grace.
	Checkpoint bool
	// Lost is the accelerator-seconds of work that have to be repeated.
	Lost float64
}

// Classify returns the kind of each running work of one rack. Work is
// guaranteed if it uses exactly one of its team's cells, and each cell counts
// for one work.
func (p Plan) Classify(rack string, running []Work) []Kind {
	kinds, _ := p.match(rack, running)
	return kinds
}

// Unused returns the cells of a rack that no running work uses.
func (p Plan) Unused(rack string, running []Work) []Cell {
	_, used := p.match(rack, running)
	var unused []Cell
	for i, c := range p.racks[rack] {
		if !used[i] {
			unused = append(unused, c)
		}
	}
	return unused
}

func (p Plan) match(rack string, running []Work) ([]Kind, []bool) {
	cells := p.racks[rack]
	kinds := make([]Kind, len(running))
	used := make([]bool, len(cells))
	for i, w := range running {
		kinds[i] = KindBorrowed
		for j, c := range cells {
			if !used[j] && c.Matches(w) {
				kinds[i] = KindGuaranteed
				used[j] = true
				break
			}
		}
	}
	return kinds, used
}

// Admit returns the kind under which the work may run on its workers of the
// rack, or *AdmissionError. running is the work on the rack.
func (p Plan) Admit(r gang.Rack, w Work, running []Work) (Kind, error) {
	for s := w.Workers; s != 0; s = s.Rest() {
		k := r.Worker(s.First())
		if k.Down || k.Free < w.Shape.Accelerators {
			return "", &AdmissionError{Job: w.Job, Rack: r.Name(), Worker: k.Name}
		}
	}
	for _, c := range p.Unused(r.Name(), running) {
		if c.Matches(w) {
			return KindGuaranteed, nil
		}
	}
	if !w.NonPreemptible {
		return KindBorrowed, nil
	}
	for s := w.Workers; s != 0; s = s.Rest() {
		if p.NonPreemptibleCapacity(r, s.First(), running) < w.Shape.Accelerators {
			return "", &AdmissionError{Job: w.Job, Rack: r.Name(), Worker: r.Worker(s.First()).Name, Guaranteed: true}
		}
	}
	return KindBorrowed, nil
}

// Spare returns the accelerators of a worker that belong to no cell.
func (p Plan) Spare(r gang.Rack, worker int) int {
	spare := r.Worker(worker).Accelerators
	for _, c := range p.racks[r.Name()] {
		if c.Workers.Has(worker) {
			spare -= c.Shape.Accelerators
		}
	}
	return spare
}

// NonPreemptibleCapacity returns the accelerators of a worker that belong to no cell and are
// not used by fixed work. More fixed work may use only those.
func (p Plan) NonPreemptibleCapacity(r gang.Rack, worker int, running []Work) int {
	room := p.Spare(r, worker)
	kinds := p.Classify(r.Name(), running)
	for i, w := range running {
		if w.NonPreemptible && kinds[i] == KindBorrowed && w.Workers.Has(worker) {
			room -= w.Shape.Accelerators
		}
	}
	return room
}

// Reclaim returns the borrowed work to evict so that the cell is free, choosing
// the least lost work, or *BlockedError. running is the work on the rack.
//
// Work of another team that covers no more than that team's own unused cells is
// evicted only if nothing else suffices, and so is fixed work.
func (p Plan) Reclaim(r gang.Rack, c Cell, running []Work, now time.Time, grace time.Duration) ([]Eviction, error) {
	kinds, used := p.match(r.Name(), running)
	s := search{best: unlimited}
	for rest := c.Workers; rest != 0; rest = rest.Rest() {
		i := rest.First()
		k := r.Worker(i)
		if k.Down {
			return nil, &BlockedError{Cell: c, Worker: k.Name}
		}
		s.need[i] = c.Shape.Accelerators - k.Free - stopping(running, i)
	}
	for i, w := range running {
		if kinds[i] == KindGuaranteed || w.Stopping || w.Workers&c.Workers == 0 {
			continue
		}
		s.items = append(s.items, p.item(w, c, used, now, grace))
	}
	if blocked := s.run(); blocked >= 0 {
		return nil, &BlockedError{Cell: c, Worker: r.Worker(blocked).Name}
	}
	return s.chosen, nil
}

// Verify returns *BlockedError if evicting all borrowed work of the rack does
// not free all unused cells at once.
func (p Plan) Verify(r gang.Rack, running []Work) error {
	kinds, used := p.match(r.Name(), running)
	var free [gang.MaxAccelerators]int
	for i := range r.Len() {
		if k := r.Worker(i); !k.Down {
			free[i] = k.Free
		}
	}
	for i, w := range running {
		for s := w.Workers; s != 0 && kinds[i] != KindGuaranteed; s = s.Rest() {
			free[s.First()] += w.Shape.Accelerators
		}
	}
	for i, c := range p.racks[r.Name()] {
		for s := c.Workers; s != 0 && !used[i]; s = s.Rest() {
			k := r.Worker(s.First())
			free[s.First()] -= c.Shape.Accelerators
			if k.Down || free[s.First()] < 0 {
				return &BlockedError{Cell: c, Worker: k.Name}
			}
		}
	}
	return nil
}

func (p Plan) item(w Work, c Cell, used []bool, now time.Time, grace time.Duration) item {
	lost, saved := w.Lost(now, grace)
	it := item{Eviction: Eviction{Work: w, Checkpoint: saved, Lost: lost}, cost: lost}
	if w.Team != c.Team && p.home(w, used) {
		it.cost += homePenalty
	}
	if w.NonPreemptible {
		it.cost += fixedPenalty
	}
	return it
}

// home reports whether the work covers no more than its team's unused cells.
func (p Plan) home(w Work, used []bool) bool {
	for s := w.Workers; s != 0; s = s.Rest() {
		n := 0
		for i, c := range p.racks[w.Rack] {
			if !used[i] && c.Team == w.Team && c.Workers.Has(s.First()) {
				n += c.Shape.Accelerators
			}
		}
		if n < w.Shape.Accelerators {
			return false
		}
	}
	return true
}

// stopping returns the accelerators of a worker that evicted work still uses.
func stopping(running []Work, worker int) int {
	n := 0
	for _, w := range running {
		if w.Stopping && w.Workers.Has(worker) {
			n += w.Shape.Accelerators
		}
	}
	return n
}
