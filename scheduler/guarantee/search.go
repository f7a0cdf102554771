package guarantee

import (
	"cmp"
	"math"
	"slices"
)

const (
	// homePenalty exceeds the accelerator-seconds of any work.
	homePenalty = 1e12
	// fixedPenalty exceeds any number of home penalties on a rack.
	fixedPenalty = 1e15
	// searchSteps limits the search for the least lost work. A rack has at most
	// 64 gangs, and the first descent already gives a usable answer.
	searchSteps = 1024
)

var unlimited = math.Inf(1)

// item is work that may be evicted.
type item struct {
	Eviction
	cost float64
}

// search finds the cheapest set of items that frees the needed accelerators of
// each worker by branch and bound.
type search struct {
	items []item
	need  [64]int
	taken []bool
	// banned items were tried in an earlier branch.
	banned []bool
	steps  int
	best   float64
	chosen []Eviction
}

// run returns -1, or a worker whose need all items together do not meet.
func (s *search) run() int {
	slices.SortFunc(s.items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Work.Job, b.Work.Job))
	})
	s.taken = make([]bool, len(s.items))
	s.banned = make([]bool, len(s.items))
	if worker := s.short(); worker >= 0 {
		return worker
	}
	s.descend(0)
	return -1
}

// short returns the first worker whose need the items cannot meet, or -1.
func (s *search) short() int {
	for worker := range 64 {
		room := 0
		for i, it := range s.items {
			if !s.banned[i] && it.Work.Workers.Has(worker) {
				room += it.Work.Shape.Accelerators
			}
		}
		if s.need[worker] > room {
			return worker
		}
	}
	return -1
}

func (s *search) descend(cost float64) {
	s.steps++
	if cost >= s.best || s.steps > searchSteps && s.chosen != nil {
		return
	}
	worker := s.open()
	if worker < 0 {
		s.best = cost
		s.chosen = s.evictions()
		return
	}
	var tried []int
	for i, it := range s.items {
		if s.taken[i] || s.banned[i] || !it.Work.Workers.Has(worker) {
			continue
		}
		s.take(i, true)
		s.descend(cost + it.cost)
		s.take(i, false)
		s.banned[i] = true
		tried = append(tried, i)
	}
	for _, i := range tried {
		s.banned[i] = false
	}
}

// open returns the first worker whose need is not met, or -1.
func (s *search) open() int {
	for worker := range 64 {
		if s.need[worker] > 0 {
			return worker
		}
	}
	return -1
}

func (s *search) take(i int, taken bool) {
	s.taken[i] = taken
	n := s.items[i].Work.Shape.Accelerators
	if !taken {
		n = -n
	}
	for rest := s.items[i].Work.Workers; rest != 0; rest = rest.Rest() {
		s.need[rest.First()] -= n
	}
}

func (s *search) evictions() []Eviction {
	list := []Eviction{}
	for i, it := range s.items {
		if s.taken[i] {
			list = append(list, it.Eviction)
		}
	}
	return list
}
