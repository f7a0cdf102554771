// Package pace estimates the speed of workers by comparing the tasks of one
// step on different workers. Tasks of one step are alike. Declared run times
// are not used because they are far off.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorWeight is the weight of the prior assumption that a worker has speed
	// 1, in observations.
	priorWeight = 0.7
	// maxWeight bounds the weight of earlier observations, so that a worker
	// that becomes slow is noticed within a few observations.
	maxWeight = 6
	// priorColdSlowness is the assumed slowness of a cold worker before one has been
	// observed: half of the speed.
	priorColdSlowness = math.Ln2
	// maxResidual bounds the residual of one observation, as a natural
	// logarithm. It corresponds to a factor of 20, and the speeds of servers
	// differ by less than that.
	maxResidual = 3
)

// Step identifies a step of one occurrence of a job.
type Step struct {
	Job        string
	Occurrence int
	Step       int
}

// SpeedEstimator estimates the speed of each worker. It is not safe for
// concurrent use.
type SpeedEstimator struct {
	workers map[string]*mean
	steps   map[Step]map[string]*mean
	// median is the median slowness, valid unless stale. Comparisons between
	// workers do not determine the common level, so it drifts.
	median float64
	stale  bool
	// cold is the natural logarithm of the factor by which a worker is slower for a
	// while after its start.
	cold mean
}

// mean is a weighted mean.
type mean struct{ value, weight float64 }

func (m *mean) add(value, weight, limit float64) {
	m.value = (m.value*m.weight + value*weight) / (m.weight + weight)
	m.weight = min(m.weight+weight, limit)
}

// New returns an estimator without observations.
func New() *SpeedEstimator {
	return &SpeedEstimator{
		workers: map[string]*mean{}, steps: map[Step]map[string]*mean{}, cold: mean{value: priorColdSlowness, weight: priorWeight},
	}
}

// Observe records that a worker processes a task of a step at a rate at which
// the whole task takes the given time.
func (e *SpeedEstimator) Observe(s Step, worker string, total time.Duration) {
	if total <= 0 {
		return
	}
	observed := math.Log(total.Seconds())
	means := e.steps[s]
	if means == nil {
		means = map[string]*mean{}
		e.steps[s] = means
	}
	if means[worker] == nil {
		means[worker] = &mean{}
	}
	means[worker].add(observed, 1, maxWeight)
	others := e.expectedLength(s, worker)
	if others.weight == 0 {
		return
	}
	w := e.workers[worker]
	if w == nil {
		w = &mean{weight: priorWeight}
		e.workers[worker] = w
	}
	residual := min(max(observed-others.value, -maxResidual), maxResidual)
	w.add(residual, others.weight/(others.weight+1), maxWeight)
	e.stale = true
}

// expectedLength returns the natural logarithm of the time that a task of a step
// takes at speed 1, according to the tasks on the other workers. Its weight is 0
// if there are none.
func (e *SpeedEstimator) expectedLength(s Step, worker string) mean {
	others := mean{}
	for w, m := range e.steps[s] {
		if w != worker {
			others.add(m.value-e.slowness(w), 1, math.Inf(1))
		}
	}
	return others
}

// ObserveCold is like Observe for a worker that is cold, that is, slow for a while
// after its start. It leaves the speed of the worker unchanged.
func (e *SpeedEstimator) ObserveCold(s Step, worker string, total time.Duration) {
	others := e.expectedLength(s, worker)
	if total <= 0 || others.weight == 0 {
		return
	}
	residual := math.Log(total.Seconds()) - others.value - e.slowness(worker)
	e.cold.add(min(max(residual, 0), maxResidual), others.weight/(others.weight+1), maxWeight)
}

// ColdFactor returns the factor, at most 1, by which the speed of a worker is lower
// while it is cold.
func (e *SpeedEstimator) ColdFactor() float64 { return math.Exp(-e.cold.value) }

// slowness returns the natural logarithm of the factor by which a worker is
// slow.
func (e *SpeedEstimator) slowness(worker string) float64 {
	if m := e.workers[worker]; m != nil {
		return m.value
	}
	return 0
}

// Speed returns the speed of a worker relative to the median of the known
// workers. An unknown worker has speed 1.
func (e *SpeedEstimator) Speed(worker string) float64 {
	m := e.workers[worker]
	if m == nil {
		return 1
	}
	return math.Exp(e.typical() - m.value)
}

// Known reports whether there is an observation of a worker.
func (e *SpeedEstimator) Known(worker string) bool { return e.workers[worker] != nil }

// Estimate is the estimated speed of a worker.
type Estimate struct {
	Worker string
	// Slowness is the natural logarithm of the factor by which the worker is
	// slower than a typical one. Weight is the weight of the underlying
	// observations.
	Slowness float64
	Weight   float64
}

// Estimates returns the estimates of all workers, sorted by worker.
func (e *SpeedEstimator) Estimates() []Estimate {
	all := make([]Estimate, 0, len(e.workers))
	for name, m := range e.workers {
		all = append(all, Estimate{Worker: name, Slowness: m.value, Weight: m.weight})
	}
	slices.SortFunc(all, func(x, y Estimate) int { return cmp.Compare(x.Worker, y.Worker) })
	return all
}

// Restore sets the estimate of a worker to one from another estimator.
func (e *SpeedEstimator) Restore(estimate Estimate) {
	e.workers[estimate.Worker] = &mean{value: estimate.Slowness, weight: min(max(estimate.Weight, 0), maxWeight)}
	e.stale = true
}

// RemoveStep deletes the observations of a step that has ended.
func (e *SpeedEstimator) RemoveStep(s Step) { delete(e.steps, s) }

// RemoveWorker deletes the estimate of a worker that has left or restarted.
func (e *SpeedEstimator) RemoveWorker(worker string) {
	delete(e.workers, worker)
	e.stale = true
}
