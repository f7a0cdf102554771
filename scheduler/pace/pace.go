// Package pace learns how fast workers are by comparing the tasks of one step
// on different workers. Declared run times play no part, because they are far
// off; tasks of one step are alike.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// trust is the weight of the assumption that a worker has speed 1, in
	// observations.
	trust = 0.7
	// memory bounds the weight of former observations, so that a worker that
	// turns slow is noticed within a few.
	memory = 6
	// limit bounds one observation, as a natural logarithm; servers differ by
	// less than this factor of 20.
	limit = 3
)

// Step names a step of one occurrence of a job.
type Step struct {
	Job        string
	Occurrence int
	Step       int
}

// SpeedEstimator holds what is known of the workers. It is not safe for concurrent use.
type SpeedEstimator struct {
	workers map[string]*mean
	steps   map[Step]map[string]*mean
	// typical is the median slowness, valid unless stale. Comparisons between
	// workers leave the common level open, so that it drifts.
	typical float64
	stale   bool
}

// mean is a weighted mean.
type mean struct{ value, weight float64 }

func (m *mean) add(value, weight, most float64) {
	m.value = (m.value*m.weight + value*weight) / (m.weight + weight)
	m.weight = min(m.weight+weight, most)
}

// New returns a book without observations.
func New() *SpeedEstimator {
	return &SpeedEstimator{workers: map[string]*mean{}, steps: map[Step]map[string]*mean{}}
}

// Observe records that a worker works on a task of a step at a rate at which
// the whole task takes the given time.
func (b *SpeedEstimator) Observe(s Step, worker string, whole time.Duration) {
	if whole <= 0 {
		return
	}
	seen := math.Log(whole.Seconds())
	at := b.steps[s]
	if at == nil {
		at = map[string]*mean{}
		b.steps[s] = at
	}
	if at[worker] == nil {
		at[worker] = &mean{}
	}
	at[worker].add(seen, 1, memory)
	// The step's own length follows from its tasks on other workers.
	others := mean{}
	for w, m := range at {
		if w != worker {
			others.add(m.value-b.slowness(w), 1, math.Inf(1))
		}
	}
	if others.weight == 0 {
		return
	}
	w := b.workers[worker]
	if w == nil {
		w = &mean{weight: trust}
		b.workers[worker] = w
	}
	residual := min(max(seen-others.value, -limit), limit)
	w.add(residual, others.weight/(others.weight+1), memory)
	b.stale = true
}

// slowness is the logarithm of the factor by which a worker is slow.
func (b *SpeedEstimator) slowness(worker string) float64 {
	if m := b.workers[worker]; m != nil {
		return m.value
	}
	return 0
}

// Speed returns the speed of a worker relative to the median of those known,
// which has 1, as has a worker of which nothing is known.
func (b *SpeedEstimator) Speed(worker string) float64 {
	m := b.workers[worker]
	if m == nil {
		return 1
	}
	if b.stale {
		all := b.Estimates()
		slices.SortFunc(all, func(x, y Estimate) int { return cmp.Compare(x.Slowness, y.Slowness) })
		b.typical, b.stale = all[len(all)/2].Slowness, false
	}
	return math.Exp(b.typical - m.value)
}

// Known reports whether anything has been learned of a worker.
func (b *SpeedEstimator) Known(worker string) bool { return b.workers[worker] != nil }

// Estimate is what is known of the speed of a worker.
type Estimate struct {
	Worker string
	// Slowness is the natural logarithm of the factor by which the worker is
	// slower than a typical one, Weight that of the observations behind it.
	Slowness float64
	Weight   float64
}

// Estimates returns what is known of all workers, in order of their names.
func (b *SpeedEstimator) Estimates() []Estimate {
	all := make([]Estimate, 0, len(b.workers))
	for name, m := range b.workers {
		all = append(all, Estimate{Worker: name, Slowness: m.value, Weight: m.weight})
	}
	slices.SortFunc(all, func(x, y Estimate) int { return cmp.Compare(x.Worker, y.Worker) })
	return all
}

// Restore takes over what another book has learned of a worker.
func (b *SpeedEstimator) Restore(l Estimate) {
	b.workers[l.Worker] = &mean{value: l.Slowness, weight: min(max(l.Weight, 0), memory)}
	b.stale = true
}

// RemoveStep drops the observations of a step that has ended.
func (b *SpeedEstimator) RemoveStep(s Step) { delete(b.steps, s) }

// RemoveWorker forgets a worker that has left or restarted.
func (b *SpeedEstimator) RemoveWorker(worker string) {
	delete(b.workers, worker)
	b.stale = true
}
