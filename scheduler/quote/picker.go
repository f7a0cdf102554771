package quote

import (
	"math/rand/v2"
	"time"
)

// pickParams holds the parameters of a pick.
type pickParams struct {
	policy Policy
	// sampleSize is the number of workers that PolicyChoices compares.
	sampleSize int
	template   string
	// avoidWorker is the name of a worker that is used only if no other is free.
	avoidWorker string
	now         time.Time
	// remaining is the time to the deadline.
	remaining time.Duration
}

// picker selects workers for requests.
type picker struct {
	// workers are in no particular order.
	workers      []*worker
	serviceTimes serviceTimes
	random       *rand.Rand
	// nextIndex is the position at which round robin continues.
	nextIndex int
	// failureRate is the fleet's recent fraction of failed attempts.
	failureRate float64
}

// pick returns a worker with a free slot, or nil.
func (p *picker) pick(params pickParams) *worker {
	switch params.policy {
	case PolicyRoundRobin:
		return p.roundRobin(params)
	case PolicyLeastOutstanding:
		return p.best(params, func(w *worker) float64 { return float64(w.running) })
	case PolicyBest:
		return p.best(params, p.cost(params))
	case PolicyTwoChoices:
		return p.sample(params, 2)
	default:
		return p.sample(params, params.sampleSize)
	}
}

func (p *picker) cost(params pickParams) func(*worker) float64 {
	return func(w *worker) float64 { return w.expectedCompletion(&p.serviceTimes, params.template, params.now) }
}

// isCandidate reports whether w has a free slot, is healthy and is not to be
// avoided.
func (c pickParams) isCandidate(w *worker) bool {
	return w.hasFreeSlot(c.now) && w.healthy(c.now) && w.name != c.avoidWorker
}

// sample returns the candidate of least cost among a few random workers. If none
// of them is a candidate or expected to meet the deadline, it considers all
// workers.
func (p *picker) sample(params pickParams, size int) *worker {
	n := len(p.workers)
	cost := p.cost(params)
	if n <= size {
		return p.best(params, cost)
	}
	var best *worker
	lowest := 0.0
	for i := range size {
		// A partial shuffle draws each worker at most once.
		k := i + p.random.IntN(n-i)
		p.workers[i], p.workers[k] = p.workers[k], p.workers[i]
		w := p.workers[i]
		if !params.isCandidate(w) {
			continue
		}
		if x := cost(w); best == nil || x < lowest {
			best, lowest = w, x
		}
	}
	if best == nil || lowest > float64(params.remaining) {
		return p.best(params, cost)
	}
	return best
}

// cheapest returns the candidate of least cost, or nil.
func cheapest(params pickParams, cost func(*worker) float64, workers ...*worker) *worker {
	var best *worker
	lowest := 0.0
	for _, w := range workers {
		if !params.isCandidate(w) {
			continue
		}
		x := cost(w)
		if best == nil || x < lowest {
			best, lowest = w, x
		}
	}
	return best
}

// best returns the free worker of least cost; ties are broken at random. The
// worker to avoid is used only if no other is free, and an unhealthy one only if
// there is no healthy worker at all.
func (p *picker) best(params pickParams, cost func(*worker) float64) *worker {
	n := len(p.workers)
	if n == 0 {
		return nil
	}
	start := p.random.IntN(n)
	if w := cheapest(params, cost, p.workers[start:]...); w != nil {
		if other := cheapest(params, cost, p.workers[:start]...); other != nil && cost(other) < cost(w) {
			return other
		}
		return w
	}
	if w := cheapest(params, cost, p.workers[:start]...); w != nil {
		return w
	}
	return p.fallback(params)
}

// fallback returns a free worker that is not a candidate, or nil.
func (p *picker) fallback(params pickParams) *worker {
	healthy := false
	var failing *worker
	for _, w := range p.workers {
		ok := w.healthy(params.now)
		if !w.isLeaving(params.now) && w.slots > 0 {
			healthy = healthy || ok
		}
		if !w.hasFreeSlot(params.now) {
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

// roundRobin returns the next free worker in turn, regardless of its speed and
// failures.
func (p *picker) roundRobin(params pickParams) *worker {
	n := len(p.workers)
	for range n {
		w := p.workers[p.nextIndex%n]
		p.nextIndex++
		if w.hasFreeSlot(params.now) {
			return w
		}
	}
	return nil
}

// slots returns the instance's slots on the workers that accept work.
func (p *picker) slots(now time.Time) int {
	sum := 0
	for _, w := range p.workers {
		if !w.isLeaving(now) {
			sum += w.slots
		}
	}
	return sum
}
