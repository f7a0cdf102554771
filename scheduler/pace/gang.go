package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// gangWeight is the weight of the observation of a gang: that of a comparison
	// with one other task, since the expected time comes from one queue.
	gangWeight = 0.5
	// gangMargin is the difference, as a natural logarithm, within which two
	// observations agree. Tasks of a step vary by about 15 %.
	gangMargin = 0.15
	// maxGangSpread bounds the spread of the run times of a queue, as the natural
	// logarithm of the 90th percentile to the median, up to which they reveal the
	// speed of a gang: more is the ratio of two speeds, so that work and workers
	// cannot be told apart.
	maxGangSpread = 0.3
)

// ObserveGang records that a gang progresses at a rate at which its whole work
// takes the given time. It is as fast as its slowest worker. Expected is the time
// on workers of speed 1 and spread the natural logarithm of the factor by which
// that varies. It returns the number of workers about which that reveals something:
//   - no worker is slower than the gang, so estimates that say so are corrected;
//   - if the gang is not slower than typical, neither is any of its workers, and
//     those without an estimate get one;
//   - if it is slower than all members with an estimate and one has none, that one is
//     the slowest.
func (e *SpeedEstimator) ObserveGang(workers []string, total, expected time.Duration, spread float64) int {
	if total <= 0 || expected <= 0 || spread > maxGangSpread {
		return 0
	}
	relative := min(max(math.Log(total.Seconds()/expected.Seconds()), -maxResidual), maxResidual)
	observed := relative + e.typical()
	margin := gangMargin + max(spread, 0)
	var unknown []string
	explained := false
	revealed := 0
	for _, w := range workers {
		m := e.workers[w]
		switch {
		case m == nil:
			if !slices.Contains(unknown, w) {
				unknown = append(unknown, w)
			}
		case m.value > observed+margin:
			m.add(observed, gangWeight, maxWeight)
			explained, e.stale = true, true
			revealed++
		case m.value >= observed-margin:
			explained = true
		}
	}
	if relative > margin && (explained || len(unknown) != 1) {
		return revealed
	}
	for _, w := range unknown {
		m := &mean{value: e.typical(), weight: priorWeight}
		m.add(observed, gangWeight, maxWeight)
		e.workers[w] = m
		revealed++
	}
	e.stale = e.stale || len(unknown) > 0
	return revealed
}

// minQuantileWorkers is the number of known workers below which a quantile of
// their speeds says nothing about others.
const minQuantileWorkers = 5

// Quantile returns the speed that the share q of the known workers does not exceed,
// relative to their median, or false if too few are known.
func (e *SpeedEstimator) Quantile(q float64) (float64, bool) {
	if len(e.workers) < minQuantileWorkers {
		return 0, false
	}
	speeds := make([]float64, 0, len(e.workers))
	for _, m := range e.workers {
		speeds = append(speeds, math.Exp(e.typical()-m.value))
	}
	slices.Sort(speeds)
	return speeds[min(int(q*float64(len(speeds))), len(speeds)-1)], true
}

// typical returns the slowness of the typical worker, the median of the known ones.
func (e *SpeedEstimator) typical() float64 {
	if e.stale && len(e.workers) > 0 {
		all := make([]float64, 0, len(e.workers))
		for _, m := range e.workers {
			all = append(all, m.value)
		}
		slices.Sort(all)
		e.median, e.stale = all[len(all)/2], false
	}
	return e.median
}
