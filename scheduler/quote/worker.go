package quote

import (
	"math"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.15
	// fleetSampleWeight is the weight of an attempt in the fleet's failure rate.
	fleetSampleWeight = 0.02
	// pairPriorCount is the number of samples at which the mean of a template on
	// one worker weighs as much as the product of the template's mean and the
	// worker's slowness.
	pairPriorCount = 4
	// maxTemplates is the maximum number of templates tracked for the fleet and
	// for each worker.
	maxTemplates = 256
	// slownessTimeConstant is the time constant with which the slowness of a
	// worker without new samples decays to the fleet's mean.
	slownessTimeConstant = 30 * time.Second
	// loadTimeConstant is the time constant with which the weight of a reported
	// load decays.
	loadTimeConstant = time.Second

	// minEjectStreak is the minimum number of consecutive failures for which a
	// worker is ejected, and maxEjectProbability the maximum probability of such
	// a streak at the fleet's failure rate. That rate is taken to be at least
	// minFleetFailureRate.
	minEjectStreak      = 3
	maxEjectProbability = 1e-4
	minFleetFailureRate = 0.02
	minEjectTime        = time.Second
	maxEjectTime        = 30 * time.Second
	leavingTTL          = 10 * time.Second
	// shareGrowthDelay is the delay before a larger share is used, since other
	// instances may learn that much later that theirs is smaller.
	shareGrowthDelay = 3 * time.Second
	// fullBackoff is how long a worker that refused a request for lack of a slot
	// gets no new work.
	fullBackoff = 20 * time.Millisecond
)

// movingAverage is an exponentially weighted moving average that starts as an
// arithmetic mean.
type movingAverage struct {
	value float64
	count float64
}

func (m *movingAverage) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(sampleWeight, 1/m.count)
}

// serviceTimes estimates the service times of templates on a worker of mean
// speed.
type serviceTimes struct {
	initialEstimate time.Duration
	templates       map[string]*movingAverage
}

func newServiceTimes(initialEstimate time.Duration) serviceTimes {
	return serviceTimes{initialEstimate: initialEstimate, templates: map[string]*movingAverage{}}
}

// mean returns the estimated service time of the template at mean speed.
func (s *serviceTimes) mean(template string) float64 {
	if m, ok := s.templates[template]; ok {
		return m.value
	}
	return float64(s.initialEstimate)
}

// record adds a sample of the template's service time on the worker. Templates
// beyond maxTemplates are ignored, since there is no mean to compare their times
// with.
func (s *serviceTimes) record(w *worker, template string, took time.Duration, now time.Time) {
	sample := float64(max(took, time.Microsecond))
	slowness := w.slownessAt(now)
	m, ok := s.templates[template]
	if !ok && len(s.templates) < maxTemplates {
		m = &movingAverage{}
		s.templates[template] = m
	}
	if m == nil {
		return
	}
	m.add(sample / slowness)
	w.slowness.value = slowness
	w.slowness.add(sample / s.mean(template))
	w.lastSample = now
	w.templateTime(template).add(sample)
}

// worker is the router's state of one worker.
type worker struct {
	// name does not change and is read without the router's lock, which guards
	// the other fields.
	name string
	info platform.WorkerInfo
	// slots is this instance's share.
	slots   int
	running int
	// pendingSlots is a larger share that applies from pendingUntil on.
	pendingSlots int
	pendingUntil time.Time
	listed       bool

	slowness      movingAverage
	lastSample    time.Time
	templateTimes map[string]*movingAverage

	lastLoad   platform.Load
	lastLoadAt time.Time
	// lastLoadOwn is the number of busy slots in lastLoad that this instance
	// occupied.
	lastLoadOwn int

	failureRate   float64
	failureStreak int
	ejections     int
	ejectedUntil  time.Time
	fullUntil     time.Time
	leavingUntil  time.Time
}

func newWorker(info platform.WorkerInfo) *worker {
	return &worker{
		name:          info.Name,
		info:          info,
		slowness:      movingAverage{value: 1},
		templateTimes: map[string]*movingAverage{},
	}
}

func (w *worker) templateTime(template string) *movingAverage {
	m, ok := w.templateTimes[template]
	if ok {
		return m
	}
	m = &movingAverage{}
	if len(w.templateTimes) < maxTemplates {
		w.templateTimes[template] = m
	}
	return m
}

// slownessAt returns the service time relative to the fleet's mean. Without new
// samples it decays to 1, so that a worker that has recovered gets work again.
func (w *worker) slownessAt(now time.Time) float64 {
	idle := now.Sub(w.lastSample)
	if w.lastSample.IsZero() || idle <= 0 {
		return w.slowness.value
	}
	return 1 + (w.slowness.value-1)*math.Exp(-idle.Seconds()/slownessTimeConstant.Seconds())
}

// expectedService returns the expected service time of the template on the
// worker.
func (w *worker) expectedService(s *serviceTimes, template string, now time.Time) float64 {
	general := s.mean(template) * w.slownessAt(now)
	m, ok := w.templateTimes[template]
	if !ok {
		return general
	}
	ownWeight := m.count / (m.count + pairPriorCount)
	own := m.value * w.slownessAt(now) / w.slowness.value
	return own*ownWeight + general*(1-ownWeight)
}

// expectedCompletion returns the expected time to completion of a new request,
// with retries taken into account.
func (w *worker) expectedCompletion(s *serviceTimes, template string, now time.Time) float64 {
	success := max(1-w.failureRate, 0.05)
	return w.expectedService(s, template, now) * w.overcommitment(now) * w.explorationFactor() / success
}

// explorationFactor lowers the cost of workers with few samples. Otherwise a fast
// one would not be found while a known one of mean speed is free.
func (w *worker) explorationFactor() float64 {
	return (w.slowness.count + 0.5) / (w.slowness.count + 1)
}

// overcommitment returns the ratio of occupied to existing slots of the worker
// with one more request, at least 1. The other instances' part of the last
// reported load loses weight with age.
func (w *worker) overcommitment(now time.Time) float64 {
	if w.info.Slots == 0 {
		return 1
	}
	others := float64(max(w.lastLoad.Busy-w.lastLoadOwn, 0))
	others *= math.Exp(-now.Sub(w.lastLoadAt).Seconds() / loadTimeConstant.Seconds())
	busy := others + float64(w.running) + 1
	return max(busy/float64(w.info.Slots), 1)
}

// recordLoad records a load reported by the worker.
func (w *worker) recordLoad(l platform.Load, now time.Time) {
	w.lastLoad = l
	w.lastLoadAt = now
	w.lastLoadOwn = w.running
	if l.Leaving {
		w.leavingUntil = now.Add(leavingTTL)
	}
}

// isLeaving reports whether the worker is leaving or no longer listed, and so
// gets no new work.
func (w *worker) isLeaving(now time.Time) bool {
	return !w.listed || w.info.State == platform.StateLeaving || now.Before(w.leavingUntil)
}

// healthy reports whether the worker may get work in view of its failures: none
// while it is ejected, and afterwards one request at a time until one succeeds.
func (w *worker) healthy(now time.Time) bool {
	if w.ejectedUntil.IsZero() {
		return true
	}
	return w.running == 0 && !now.Before(w.ejectedUntil)
}

// hasFreeSlot reports whether the worker has a free slot for this instance.
func (w *worker) hasFreeSlot(now time.Time) bool {
	return w.running < w.slots && !w.isLeaving(now) && !now.Before(w.fullUntil)
}

// recordSuccess records an attempt that did not fail.
func (w *worker) recordSuccess() {
	w.failureRate *= 1 - sampleWeight
	w.failureStreak = 0
	w.ejections = 0
	w.ejectedUntil = time.Time{}
}

// recordFailure records a failed attempt and returns true if the worker is
// ejected. A worker is ejected only for a streak of failures that is unlikely at
// the fleet's failure rate; otherwise the requests or the network are at fault.
func (w *worker) recordFailure(fleetFailureRate float64, now time.Time) bool {
	w.failureRate += (1 - w.failureRate) * sampleWeight
	w.failureStreak++
	wasEjected := !w.ejectedUntil.IsZero()
	probability := math.Pow(max(fleetFailureRate, minFleetFailureRate), float64(w.failureStreak))
	if !wasEjected && (w.failureStreak < minEjectStreak || probability > maxEjectProbability) {
		return false
	}
	duration := min(minEjectTime<<min(w.ejections, 10), maxEjectTime)
	w.ejectedUntil = now.Add(duration)
	w.ejections++
	return true
}

// resize sets the share of slots. A smaller share, or the first one of a new
// worker, applies immediately, and a larger one after shareGrowthDelay.
func (w *worker) resize(slots int, isNew bool, now time.Time) {
	if isNew || slots <= w.slots {
		w.slots = slots
		w.pendingSlots = slots
		return
	}
	if w.pendingSlots != slots {
		w.pendingSlots = slots
		w.pendingUntil = now.Add(shareGrowthDelay)
	}
	if !now.Before(w.pendingUntil) {
		w.slots = slots
	}
}
