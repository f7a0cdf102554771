package quote

import (
	"math"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// learnRate is the weight of one new sample in a learned mean.
	learnRate = 0.15
	// fleetRate is the weight of one attempt in the fleet's failure share.
	fleetRate = 0.02
	// pairTrust is the number of samples at which a worker's own mean for a
	// template counts as much as the product of the two general ones.
	pairTrust = 4
	// maxTemplates bounds the templates remembered for each worker.
	maxTemplates = 256
	// forgetAfter is the time after which a worker that got no work is
	// believed to have come e times closer to the fleet's mean.
	forgetAfter = 30 * time.Second
	// reportLife is the time in which a reported load loses its weight.
	reportLife = time.Second

	// ejectStreak is the least streak of failures for which a worker is
	// ejected, and ejectChance the greatest probability of it at the fleet's
	// rate of failures, which is taken to be fleetFloor at least.
	ejectStreak   = 3
	ejectChance   = 1e-4
	fleetFloor    = 0.02
	ejectFirst    = time.Second
	ejectLimit    = 30 * time.Second
	leavingMemory = 10 * time.Second
	// shareHold is the time before a grown share is used: the others may
	// learn that much later that theirs has shrunk.
	shareHold = 3 * time.Second
	// fullPause is the time without new work for a worker that refused some.
	fullPause = 20 * time.Millisecond
)

// mean is an exponentially weighted mean that starts as a plain one.
type mean struct {
	value float64
	count float64
}

func (m *mean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(learnRate, 1/m.count)
}

// speeds learns the service times of templates on a worker of mean speed.
type speeds struct {
	fallback  time.Duration
	templates map[string]*mean
}

func newSpeeds(fallback time.Duration) speeds {
	return speeds{fallback: fallback, templates: map[string]*mean{}}
}

// base returns the service time of the template at mean speed.
func (s *speeds) base(template string) float64 {
	if m, ok := s.templates[template]; ok {
		return m.value
	}
	return float64(s.fallback)
}

// learn records a service time of the template on the worker. Templates beyond
// the bound teach nothing, since their times have no mean to compare with.
func (s *speeds) learn(w *worker, template string, took time.Duration, now time.Time) {
	sample := float64(max(took, time.Microsecond))
	slowness := w.slownessAt(now)
	m, ok := s.templates[template]
	if !ok && len(s.templates) < maxTemplates {
		m = &mean{}
		s.templates[template] = m
	}
	if m == nil {
		return
	}
	m.add(sample / slowness)
	w.slowness.value = slowness
	w.slowness.add(sample / s.base(template))
	w.sampled = now
	w.pair(template).add(sample)
}

// worker is what the router knows of one worker.
type worker struct {
	// name is read without the router's lock; the rest changes under it.
	name string
	info platform.WorkerInfo
	// slots is this instance's share.
	slots   int
	running int
	// grown and grownAt hold a larger share until shareHold has passed.
	grown   int
	grownAt time.Time
	listed  bool

	slowness mean
	sampled  time.Time
	pairs    map[string]*mean

	reported   platform.Load
	reportedAt time.Time
	// reportedOwn is this instance's part of the reported busy slots.
	reportedOwn int

	failures  float64
	streak    int
	ejections int
	ejected   time.Time
	full      time.Time
	leaving   time.Time
}

func newWorker(info platform.WorkerInfo) *worker {
	return &worker{
		name:     info.Name,
		info:     info,
		slowness: mean{value: 1},
		pairs:    map[string]*mean{},
	}
}

func (w *worker) pair(template string) *mean {
	m, ok := w.pairs[template]
	if ok {
		return m
	}
	m = &mean{}
	if len(w.pairs) < maxTemplates {
		w.pairs[template] = m
	}
	return m
}

// slownessAt returns the service time relative to the fleet's mean. Without
// new samples it returns to 1, so that a worker that has recovered is tried.
func (w *worker) slownessAt(now time.Time) float64 {
	idle := now.Sub(w.sampled)
	if w.sampled.IsZero() || idle <= 0 {
		return w.slowness.value
	}
	return 1 + (w.slowness.value-1)*math.Exp(-idle.Seconds()/forgetAfter.Seconds())
}

// service returns the expected service time of the template.
func (w *worker) service(s *speeds, template string, now time.Time) float64 {
	general := s.base(template) * w.slownessAt(now)
	m, ok := w.pairs[template]
	if !ok {
		return general
	}
	trust := m.count / (m.count + pairTrust)
	own := m.value * w.slownessAt(now) / w.slowness.value
	return own*trust + general*(1-trust)
}

// completion returns the expected time to completion of a new request.
func (w *worker) completion(s *speeds, template string, now time.Time) float64 {
	success := max(1-w.failures, 0.05)
	return w.service(s, template, now) * w.crowding(now) * w.optimism() / success
}

// optimism makes workers with few samples attractive, since a fast one would
// otherwise stay unknown while a known one of mean speed is free.
func (w *worker) optimism() float64 {
	return (w.slowness.count + 0.5) / (w.slowness.count + 1)
}

// crowding returns how far the worker's slots are overcommitted, at least 1.
// The others' part of the last report loses weight as it ages.
func (w *worker) crowding(now time.Time) float64 {
	if w.info.Slots == 0 {
		return 1
	}
	others := float64(max(w.reported.Busy-w.reportedOwn, 0))
	others *= math.Exp(-now.Sub(w.reportedAt).Seconds() / reportLife.Seconds())
	busy := others + float64(w.running) + 1
	return max(busy/float64(w.info.Slots), 1)
}

// report records the load that the worker states.
func (w *worker) report(l platform.Load, now time.Time) {
	w.reported = l
	w.reportedAt = now
	w.reportedOwn = w.running
	if l.Leaving {
		w.leaving = now.Add(leavingMemory)
	}
}

// isLeaving tells whether the worker takes no new work.
func (w *worker) isLeaving(now time.Time) bool {
	return !w.listed || w.info.State == platform.StateLeaving || now.Before(w.leaving)
}

// healthy tells whether a worker that failed may get work: none while it is
// ejected, and afterwards one request at a time until one succeeds.
func (w *worker) healthy(now time.Time) bool {
	if w.ejected.IsZero() {
		return true
	}
	return w.running == 0 && !now.Before(w.ejected)
}

// free tells whether the worker has a slot for this instance.
func (w *worker) free(now time.Time) bool {
	return w.running < w.slots && !w.isLeaving(now) && !now.Before(w.full)
}

// succeed records an attempt that did not fail.
func (w *worker) succeed() {
	w.failures *= 1 - learnRate
	w.streak = 0
	w.ejections = 0
	w.ejected = time.Time{}
}

// fail records a failed attempt and returns true if the worker is ejected. A
// worker is ejected only for a streak of failures that is unlikely at the
// fleet's rate; otherwise the requests or the network are at fault.
func (w *worker) fail(fleet float64, now time.Time) bool {
	w.failures += (1 - w.failures) * learnRate
	w.streak++
	again := !w.ejected.IsZero()
	chance := math.Pow(max(fleet, fleetFloor), float64(w.streak))
	if !again && (w.streak < ejectStreak || chance > ejectChance) {
		return false
	}
	pause := min(ejectFirst<<min(w.ejections, 10), ejectLimit)
	w.ejected = now.Add(pause)
	w.ejections++
	return true
}

// resize sets the share of slots. A smaller share counts at once, a larger
// one after shareHold.
func (w *worker) resize(slots int, first bool, now time.Time) {
	if first || slots <= w.slots {
		w.slots = slots
		w.grown = slots
		return
	}
	if w.grown != slots {
		w.grown = slots
		w.grownAt = now.Add(shareHold)
	}
	if !now.Before(w.grownAt) {
		w.slots = slots
	}
}
