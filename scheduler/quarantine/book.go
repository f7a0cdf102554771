// Package quarantine attributes failures to workers and jobs. Its results
// depend only on the calls made and the times passed to them.
package quarantine

import (
	"maps"
	"time"
)

// State is the state of a worker.
type State string

// States of a worker.
const (
	// StateHealthy takes work without limit.
	StateHealthy State = "healthy"
	// StateSuspect takes one task at a time until one succeeds.
	StateSuspect State = "suspect"
	// StateQuarantined takes no work until its next probe.
	StateQuarantined State = "quarantined"
	// StateProbing takes one task, whose outcome decides.
	StateProbing State = "probing"
)

const (
	// suspicionLimit is the suspicion at which a worker is quarantined. It is
	// reached by three failures of work that succeeds elsewhere.
	suspicionLimit = 2.4
	// suspectLimit is the suspicion at which a worker takes one task at a time.
	suspectLimit = 0.6
	// probeFirst is the first interval until a probe; it doubles with each
	// failed probe up to probeLast.
	probeFirst = time.Minute
	probeLast  = time.Hour
	// faultWorkers is the number of healthy workers on which a job fails before
	// it is at fault.
	faultWorkers = 3
	// memory is the time after which a source's outcomes count half, so that a
	// corrected program is trusted again.
	memory = 10 * time.Minute
	// prior is the weight of the assumption that work of a source succeeds.
	prior = 1.0
	// quarantineShare is the largest share of the known workers in quarantine.
	// Failures beyond it have a common cause that quarantine does not cure.
	quarantineShare = 0.2
	// quarantineLeast is the number of workers that may always be in quarantine.
	quarantineLeast = 2
	// sweepEvery is the number of outcomes between removals of old records.
	sweepEvery = 4096
	// sourceAge and jobAge are the ages at which records are removed.
	sourceAge = 10 * memory
	jobAge    = 48 * time.Hour
)

// Outcome is the end of one task.
type Outcome struct {
	Worker string
	Job    string
	// Source groups jobs that run the same code, such as team and template.
	Source string
	Failed bool
	At     time.Time
}

// Tracker records outcomes and derives the state of workers and jobs. It is not
// safe for concurrent use.
type Tracker struct {
	workers     map[string]*worker
	sources     map[string]*source
	jobs        map[string]*job
	quarantined int
	outcomes    int
	// unattributed counts every failure against the worker, for tests that show
	// the need for attribution.
	unattributed bool
}

// worker is the record of one worker.
type worker struct {
	// suspicion adds up failures that the failing work does not explain.
	suspicion float64
	// quarantined is set until a probe succeeds.
	quarantined bool
	probe       time.Time
	interval    time.Duration
}

// job lists the workers on which a job failed while they were healthy.
type job struct {
	failed map[string]bool
	last   time.Time
}

// New returns a book without records.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, sources: map[string]*source{}, jobs: map[string]*job{}}
}

// Record adds the outcome of a task. Tasks that were evicted, cancelled or
// stopped because another member failed must not be recorded.
func (b *Tracker) Record(o Outcome) {
	w := b.worker(o.Worker)
	s := b.source(o.Source)
	if o.Failed {
		b.fail(w, s, o)
	} else {
		b.succeed(w)
	}
	s.add(o)
	b.outcomes++
	if b.outcomes%sweepEvery == 0 {
		b.sweep(o.At)
	}
}

// sweep removes records that no longer matter and that the caller has not
// dropped.
func (b *Tracker) sweep(now time.Time) {
	maps.DeleteFunc(b.sources, func(_ string, s *source) bool { return now.Sub(s.total.at) > sourceAge })
	maps.DeleteFunc(b.jobs, func(_ string, j *job) bool { return now.Sub(j.last) > jobAge })
}

func (b *Tracker) succeed(w *worker) {
	w.suspicion = 0
	if w.quarantined {
		w.quarantined = false
		b.quarantined--
	}
}

// fail attributes a failure. It counts against the worker as far as work of
// the same source succeeds on other workers, and against the job if the worker
// was not suspect before.
func (b *Tracker) fail(w *worker, s *source, o Outcome) {
	if w.quarantined {
		w.interval = min(2*w.interval, probeLast)
		w.probe = o.At.Add(w.interval)
		return
	}
	if w.suspicion < suspectLimit {
		b.blame(o)
	}
	w.suspicion++
	if !b.unattributed {
		w.suspicion -= s.failureRate(o.Worker, o.At)
	}
	if w.suspicion >= suspicionLimit && b.mayQuarantine() {
		w.quarantined = true
		w.interval = max(probeFirst, min(2*w.interval, probeLast))
		w.probe = o.At.Add(w.interval)
		b.quarantined++
	}
}

func (b *Tracker) mayQuarantine() bool {
	if b.unattributed {
		return true
	}
	limit := max(quarantineLeast, int(quarantineShare*float64(len(b.workers))))
	return b.quarantined < limit
}

func (b *Tracker) blame(o Outcome) {
	j := b.jobs[o.Job]
	if j == nil {
		j = &job{failed: map[string]bool{}}
		b.jobs[o.Job] = j
	}
	j.failed[o.Worker] = true
	j.last = o.At
}

func (b *Tracker) worker(name string) *worker {
	w := b.workers[name]
	if w == nil {
		w = &worker{}
		b.workers[name] = w
	}
	return w
}

func (b *Tracker) source(name string) *source {
	s := b.sources[name]
	if s == nil {
		s = &source{workers: map[string]*tally{}}
		b.sources[name] = s
	}
	return s
}

// WorkerState returns the state of a worker.
func (b *Tracker) WorkerState(name string, now time.Time) State {
	w := b.workers[name]
	switch {
	case w == nil:
		return StateHealthy
	case w.quarantined && now.Before(w.probe):
		return StateQuarantined
	case w.quarantined:
		return StateProbing
	case w.suspicion >= suspectLimit:
		return StateSuspect
	}
	return StateHealthy
}

// Allows reports whether a worker with the given number of running tasks may
// start another one.
func (b *Tracker) Allows(name string, running int, now time.Time) bool {
	switch b.WorkerState(name, now) {
	case StateHealthy:
		return true
	case StateSuspect, StateProbing:
		return running == 0
	default:
		return false
	}
}

// Probe returns when a quarantined worker may be tried again, or zero.
func (b *Tracker) Probe(name string) time.Time {
	w := b.workers[name]
	if w == nil || !w.quarantined {
		return time.Time{}
	}
	return w.probe
}

// Faulty reports whether a job failed on enough healthy workers to be at fault.
func (b *Tracker) Faulty(job string) bool {
	j := b.jobs[job]
	return j != nil && len(j.failed) >= faultWorkers
}

// Forget drops the records of a job that has ended for good.
func (b *Tracker) Forget(job string) { delete(b.jobs, job) }

// Drop drops the records of a worker that has left.
func (b *Tracker) Drop(name string) {
	if w := b.workers[name]; w != nil && w.quarantined {
		b.quarantined--
	}
	delete(b.workers, name)
	for _, s := range b.sources {
		s.drop(name)
	}
}
