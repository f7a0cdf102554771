package guarantee

import (
	"time"

	"daisylug.example/scheduler/gang"
)

// Eviction is a gang to stop, after a checkpoint if there is time for one.
type Eviction struct {
	Work Work
	// Checkpointable reports whether a checkpoint ends within the grace period.
	Checkpointable bool
	// Lost is the number of accelerator-seconds of work that are lost.
	Lost float64
}

// Classify returns the kind of each running work of one rack. Work is
// guaranteed if it uses exactly one of its team's cells. Each cell makes only one
// work guaranteed.
func (p Plan) Classify(rack string, running []Work) []Kind {
	kinds, _ := p.matchCells(rack, running)
	return kinds
}

// Unused returns the cells of a rack that no running work uses.
func (p Plan) Unused(rack string, running []Work) []Cell {
	_, used := p.matchCells(rack, running)
	var unused []Cell
	for i, c := range p.racks[rack] {
		if !used[i] {
			unused = append(unused, c)
		}
	}
	return unused
}

func (p Plan) matchCells(rack string, running []Work) ([]Kind, []bool) {
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
// rack, or *AdmissionError. running is the work that runs on the rack.
func (p Plan) Admit(r gang.Rack, w Work, running []Work) (Kind, error) {
	for s := w.Workers; s != 0; s = s.Rest() {
		worker := r.Worker(s.First())
		if worker.Down || worker.Free < w.Shape.Accelerators {
			return "", &AdmissionError{Job: w.Job, Rack: r.Name(), Worker: worker.Name}
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

// NonPreemptibleCapacity returns the accelerators of a worker that belong to no
// cell and are not used by non-preemptible work outside the cells. Further
// non-preemptible work may use only these.
func (p Plan) NonPreemptibleCapacity(r gang.Rack, worker int, running []Work) int {
	capacity := p.Spare(r, worker)
	kinds := p.Classify(r.Name(), running)
	for i, w := range running {
		if w.NonPreemptible && kinds[i] == KindBorrowed && w.Workers.Has(worker) {
			capacity -= w.Shape.Accelerators
		}
	}
	return capacity
}

// Reclaim returns the borrowed work to evict so that the cell becomes free, or
// *BlockedError. It minimises the work that is lost. running is the work that
// runs on the rack.
//
// Non-preemptible work, and work of another team that covers no more than that
// team's own unused cells, is evicted only if no other work suffices.
func (p Plan) Reclaim(r gang.Rack, c Cell, running []Work, now time.Time, grace time.Duration) ([]Eviction, error) {
	kinds, used := p.matchCells(r.Name(), running)
	s := search{bestCost: infiniteCost}
	for rest := c.Workers; rest != 0; rest = rest.Rest() {
		i := rest.First()
		worker := r.Worker(i)
		if worker.Down {
			return nil, &BlockedError{Cell: c, Worker: worker.Name}
		}
		s.required[i] = c.Shape.Accelerators - worker.Free - stoppingAccelerators(running, i)
	}
	for i, w := range running {
		if kinds[i] == KindGuaranteed || w.Stopping || w.Workers&c.Workers == 0 {
			continue
		}
		s.candidates = append(s.candidates, p.newEvictionCandidate(w, c, used, now, grace))
	}
	if blocked := s.solve(); blocked >= 0 {
		return nil, &BlockedError{Cell: c, Worker: r.Worker(blocked).Name}
	}
	return s.bestEvictions, nil
}

// Verify returns *BlockedError if evicting all borrowed work of the rack does
// not free all unused cells at once.
func (p Plan) Verify(r gang.Rack, running []Work) error {
	kinds, used := p.matchCells(r.Name(), running)
	var free [gang.MaxAccelerators]int
	for i := range r.Len() {
		if worker := r.Worker(i); !worker.Down {
			free[i] = worker.Free
		}
	}
	for i, w := range running {
		for s := w.Workers; s != 0 && kinds[i] != KindGuaranteed; s = s.Rest() {
			free[s.First()] += w.Shape.Accelerators
		}
	}
	for i, c := range p.racks[r.Name()] {
		for s := c.Workers; s != 0 && !used[i]; s = s.Rest() {
			worker := r.Worker(s.First())
			free[s.First()] -= c.Shape.Accelerators
			if worker.Down || free[s.First()] < 0 {
				return &BlockedError{Cell: c, Worker: worker.Name}
			}
		}
	}
	return nil
}

func (p Plan) newEvictionCandidate(w Work, c Cell, used []bool, now time.Time, grace time.Duration) evictionCandidate {
	lost, saved := w.Lost(now, grace)
	candidate := evictionCandidate{Eviction: Eviction{Work: w, Checkpointable: saved, Lost: lost}, cost: lost}
	if w.Team != c.Team && p.withinOwnCells(w, used) {
		candidate.cost += ownCellPenalty
	}
	if w.NonPreemptible {
		candidate.cost += nonPreemptiblePenalty
	}
	return candidate
}

// withinOwnCells reports whether the work covers no more than its team's unused
// cells.
func (p Plan) withinOwnCells(w Work, used []bool) bool {
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

// stoppingAccelerators returns the number of accelerators of a worker that are
// still used by work that is being evicted.
func stoppingAccelerators(running []Work, worker int) int {
	n := 0
	for _, w := range running {
		if w.Stopping && w.Workers.Has(worker) {
			n += w.Shape.Accelerators
		}
	}
	return n
}
