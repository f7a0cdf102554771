package guarantee

import (
	"cmp"
	"math"
	"slices"
)

const (
	// ownCellPenalty exceeds the accelerator-seconds of any work.
	ownCellPenalty = 1e12
	// nonPreemptiblePenalty exceeds the sum of all own-cell penalties on a
	// rack.
	nonPreemptiblePenalty = 1e15
	// maxSearchSteps limits the search for the least lost work. A rack has at
	// most 64 gangs, and the first descent already yields a valid result.
	maxSearchSteps = 1024
)

var infiniteCost = math.Inf(1)

// evictionCandidate is work that may be evicted, with the cost of evicting it.
type evictionCandidate struct {
	Eviction
	cost float64
}

// search finds the candidates with the lowest total cost that free the required
// accelerators of each worker, by branch and bound.
type search struct {
	candidates []evictionCandidate
	required   [64]int
	selected   []bool
	// excluded marks candidates that were tried in an earlier branch.
	excluded      []bool
	steps         int
	bestCost      float64
	bestEvictions []Eviction
}

// solve runs the search. It returns -1, or a worker whose required accelerators
// all candidates together do not free.
func (s *search) solve() int {
	slices.SortFunc(s.candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Work.Job, b.Work.Job))
	})
	s.selected = make([]bool, len(s.candidates))
	s.excluded = make([]bool, len(s.candidates))
	if worker := s.firstInfeasible(); worker >= 0 {
		return worker
	}
	s.branch(0)
	return -1
}

// firstInfeasible returns the first worker whose required accelerators the
// candidates that are not excluded cannot free, or -1.
func (s *search) firstInfeasible() int {
	for worker := range 64 {
		available := 0
		for i, candidate := range s.candidates {
			if !s.excluded[i] && candidate.Work.Workers.Has(worker) {
				available += candidate.Work.Shape.Accelerators
			}
		}
		if s.required[worker] > available {
			return worker
		}
	}
	return -1
}

func (s *search) branch(cost float64) {
	s.steps++
	if cost >= s.bestCost || s.steps > maxSearchSteps && s.bestEvictions != nil {
		return
	}
	worker := s.firstUnmet()
	if worker < 0 {
		s.bestCost = cost
		s.bestEvictions = s.selectedEvictions()
		return
	}
	var tried []int
	for i, candidate := range s.candidates {
		if s.selected[i] || s.excluded[i] || !candidate.Work.Workers.Has(worker) {
			continue
		}
		s.setSelected(i, true)
		s.branch(cost + candidate.cost)
		s.setSelected(i, false)
		s.excluded[i] = true
		tried = append(tried, i)
	}
	for _, i := range tried {
		s.excluded[i] = false
	}
}

// firstUnmet returns the first worker that still requires accelerators, or -1.
func (s *search) firstUnmet() int {
	for worker := range 64 {
		if s.required[worker] > 0 {
			return worker
		}
	}
	return -1
}

func (s *search) setSelected(i int, taken bool) {
	s.selected[i] = taken
	n := s.candidates[i].Work.Shape.Accelerators
	if !taken {
		n = -n
	}
	for rest := s.candidates[i].Work.Workers; rest != 0; rest = rest.Rest() {
		s.required[rest.First()] -= n
	}
}

func (s *search) selectedEvictions() []Eviction {
	list := []Eviction{}
	for i, candidate := range s.candidates {
		if s.selected[i] {
			list = append(list, candidate.Eviction)
		}
	}
	return list
}
