package quote

import (
	"math/rand/v2"
	"time"
)

// choice is the input of a pick.
type choice struct {
	policy Policy
	// size is the number of workers that PolicyChoices compares.
	size     int
	template string
	// avoid names a worker that is used only if no other is free.
	avoid string
	now   time.Time
	// remaining is the time to the deadline.
	remaining time.Duration
}

// picker holds the workers among which requests are spread.
type picker struct {
	// workers are in no particular order.
	workers []*worker
	speeds  speeds
	random  *rand.Rand
	// turn is the next position of round robin.
	turn int
	// failures is the recent share of failed attempts of the fleet.
	failures float64
}

// pick returns a worker with a free slot, or nil.
func (p *picker) pick(c choice) *worker {
	switch c.policy {
	case PolicyRoundRobin:
		return p.roundRobin(c)
	case PolicyLeastOutstanding:
		return p.best(c, func(w *worker) float64 { return float64(w.running) })
	case PolicyBest:
		return p.best(c, p.cost(c))
	case PolicyTwoChoices:
		return p.sample(c, 2)
	default:
		return p.sample(c, c.size)
	}
}

func (p *picker) cost(c choice) func(*worker) float64 {
	return func(w *worker) float64 { return w.completion(&p.speeds, c.template, c.now) }
}

// fits tells whether w is a first choice.
func (c choice) fits(w *worker) bool {
	return w.free(c.now) && w.healthy(c.now) && w.name != c.avoid
}

// sample compares a few random workers. If none of them is free or expected to
// meet the deadline, it considers all.
func (p *picker) sample(c choice, size int) *worker {
	n := len(p.workers)
	cost := p.cost(c)
	if n <= size {
		return p.best(c, cost)
	}
	var best *worker
	lowest := 0.0
	for i := range size {
		// A partial shuffle draws each worker at most once.
		k := i + p.random.IntN(n-i)
		p.workers[i], p.workers[k] = p.workers[k], p.workers[i]
		w := p.workers[i]
		if !c.fits(w) {
			continue
		}
		if x := cost(w); best == nil || x < lowest {
			best, lowest = w, x
		}
	}
	if best == nil || lowest > float64(c.remaining) {
		return p.best(c, cost)
	}
	return best
}

// least returns the worker of least cost among those that fit, or nil.
func least(c choice, cost func(*worker) float64, workers ...*worker) *worker {
	var best *worker
	lowest := 0.0
	for _, w := range workers {
		if !c.fits(w) {
			continue
		}
		x := cost(w)
		if best == nil || x < lowest {
			best, lowest = w, x
		}
	}
	return best
}

// best returns the free worker of least cost; ties go to a random one. A
// worker to avoid is used when no other is free, and a failing one when there
// is no healthy worker at all.
func (p *picker) best(c choice, cost func(*worker) float64) *worker {
	n := len(p.workers)
	if n == 0 {
		return nil
	}
	start := p.random.IntN(n)
	if w := least(c, cost, p.workers[start:]...); w != nil {
		if other := least(c, cost, p.workers[:start]...); other != nil && cost(other) < cost(w) {
			return other
		}
		return w
	}
	if w := least(c, cost, p.workers[:start]...); w != nil {
		return w
	}
	return p.fallback(c)
}

// fallback returns a free worker that is no first choice.
func (p *picker) fallback(c choice) *worker {
	healthy := false
	var failing *worker
	for _, w := range p.workers {
		ok := w.healthy(c.now)
		if !w.isLeaving(c.now) && w.slots > 0 {
			healthy = healthy || ok
		}
		if !w.free(c.now) {
			continue
		}
		if ok {
			return w
		}
		failing = w
	}
	if healthy {
		return nil
	}
	return failing
}

// roundRobin returns the next free worker in turn, whatever its speed and
// failures.
func (p *picker) roundRobin(c choice) *worker {
	n := len(p.workers)
	for range n {
		w := p.workers[p.turn%n]
		p.turn++
		if w.free(c.now) {
			return w
		}
	}
	return nil
}

// slots returns the instance's slots on the workers that take work.
func (p *picker) slots(now time.Time) int {
	sum := 0
	for _, w := range p.workers {
		if !w.isLeaving(now) {
			sum += w.slots
		}
	}
	return sum
}
