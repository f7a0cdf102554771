// Package quarantine attributes failures to workers and jobs. It reads no clock:
// its results depend only on the calls and the times passed to them.
package quarantine

import (
	"maps"
	"time"
)

// State indicates which tasks a worker may take.
type State string

// States of a worker.
const (
	// StateHealthy is a worker that takes tasks without limit.
	StateHealthy State = "healthy"
	// StateSuspect is a worker that takes one task at a time until one
	// succeeds.
	StateSuspect State = "suspect"
	// StateQuarantined is a worker that takes no tasks until its next probe.
	StateQuarantined State = "quarantined"
	// StateProbing is a quarantined worker that takes one task. The worker
	// leaves quarantine if the task succeeds.
	StateProbing State = "probing"
)

const (
	// quarantineThreshold is the suspicion at which a worker is quarantined.
	// Three failures of work that succeeds on other workers reach it.
	quarantineThreshold = 2.4
	// suspectThreshold is the suspicion at which a worker takes one task at a
	// time.
	suspectThreshold = 0.6
	// initialProbeInterval is the time from the quarantine to the first probe.
	// The interval doubles with each failed probe and each further quarantine,
	// up to maxProbeInterval.
	initialProbeInterval = time.Minute
	maxProbeInterval     = time.Hour
	// minFailedWorkers is the number of healthy workers on which a job must
	// fail to be at fault.
	minFailedWorkers = 3
	// outcomeHalfLife is the time after which a source's outcomes count half,
	// so that the failures of a program lose weight once it is corrected.
	outcomeHalfLife = 10 * time.Minute
	// priorWeight is the weight, in outcomes, of the prior assumption that the
	// work of a source succeeds.
	priorWeight = 1.0
	// maxQuarantineShare is the largest share of the known workers that may be
	// in quarantine. Failures on more workers have a common cause that
	// quarantine does not remove.
	maxQuarantineShare = 0.2
	// minQuarantineLimit is the number of workers that may be in quarantine
	// regardless of maxQuarantineShare.
	minQuarantineLimit = 2
	// cleanupInterval is the number of outcomes between two removals of
	// expired records.
	cleanupInterval = 4096
	// sourceTTL and jobTTL are the times after the last outcome of a source and
	// the last failure of a job at which their records expire.
	sourceTTL = 10 * outcomeHalfLife
	jobTTL    = 48 * time.Hour
)

// Outcome is the result of one task.
type Outcome struct {
	Worker string
	Job    string
	// Source identifies jobs that run the same code, for example by team and
	// template.
	Source string
	Failed bool
	At     time.Time
}

// Tracker records outcomes and derives the state of workers and jobs. It is not
// safe for concurrent use.
type Tracker struct {
	workers     map[string]*workerHealth
	sources     map[string]*sourceOutcomes
	jobs        map[string]*jobFailures
	quarantined int
	outcomes    int
	// attributionDisabled counts every failure fully against the worker and
	// lifts the limit on quarantined workers. Tests set it to show that
	// attribution is needed.
	attributionDisabled bool
}

// workerHealth is the record of one worker.
type workerHealth struct {
	// suspicion is the sum of the failures that are not explained by the work
	// itself.
	suspicion float64
	// quarantined is set until a probe succeeds.
	quarantined   bool
	nextProbe     time.Time
	probeInterval time.Duration
}

// jobFailures records the workers on which a job failed while they were healthy.
type jobFailures struct {
	failedWorkers map[string]bool
	lastFailure   time.Time
}

// New returns a tracker without records.
func New() *Tracker {
	return &Tracker{workers: map[string]*workerHealth{}, sources: map[string]*sourceOutcomes{}, jobs: map[string]*jobFailures{}}
}

// Record adds the outcome of a task. Tasks that were evicted, cancelled or
// stopped because another member failed must not be recorded.
func (t *Tracker) Record(o Outcome) {
	w := t.workerRecord(o.Worker)
	s := t.sourceRecord(o.Source)
	if o.Failed {
		t.recordFailure(w, s, o)
	} else {
		t.recordSuccess(w)
	}
	s.add(o)
	t.outcomes++
	if t.outcomes%cleanupInterval == 0 {
		t.removeExpired(o.At)
	}
}

// removeExpired removes the records of sources and jobs that the caller has not
// removed after they became irrelevant.
func (t *Tracker) removeExpired(now time.Time) {
	maps.DeleteFunc(t.sources, func(_ string, s *sourceOutcomes) bool { return now.Sub(s.total.at) > sourceTTL })
	maps.DeleteFunc(t.jobs, func(_ string, j *jobFailures) bool { return now.Sub(j.lastFailure) > jobTTL })
}

func (t *Tracker) recordSuccess(w *workerHealth) {
	w.suspicion = 0
	if w.quarantined {
		w.quarantined = false
		t.quarantined--
	}
}

// recordFailure attributes a failure. The failure counts against the worker to
// the extent that work of the same source succeeds on other workers, and against
// the job if the worker was not suspect before.
func (t *Tracker) recordFailure(w *workerHealth, s *sourceOutcomes, o Outcome) {
	if w.quarantined {
		w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
		w.nextProbe = o.At.Add(w.probeInterval)
		return
	}
	if w.suspicion < suspectThreshold {
		t.countAgainstJob(o)
	}
	w.suspicion++
	if !t.attributionDisabled {
		w.suspicion -= s.failureRate(o.Worker, o.At)
	}
	if w.suspicion >= quarantineThreshold && t.mayQuarantine() {
		w.quarantined = true
		w.probeInterval = max(initialProbeInterval, min(2*w.probeInterval, maxProbeInterval))
		w.nextProbe = o.At.Add(w.probeInterval)
		t.quarantined++
	}
}

func (t *Tracker) mayQuarantine() bool {
	if t.attributionDisabled {
		return true
	}
	limit := max(minQuarantineLimit, int(maxQuarantineShare*float64(len(t.workers))))
	return t.quarantined < limit
}

func (t *Tracker) countAgainstJob(o Outcome) {
	j := t.jobs[o.Job]
	if j == nil {
		j = &jobFailures{failedWorkers: map[string]bool{}}
		t.jobs[o.Job] = j
	}
	j.failedWorkers[o.Worker] = true
	j.lastFailure = o.At
}

func (t *Tracker) workerRecord(name string) *workerHealth {
	w := t.workers[name]
	if w == nil {
		w = &workerHealth{}
		t.workers[name] = w
	}
	return w
}

func (t *Tracker) sourceRecord(name string) *sourceOutcomes {
	s := t.sources[name]
	if s == nil {
		s = &sourceOutcomes{workers: map[string]*decayingCount{}}
		t.sources[name] = s
	}
	return s
}

// WorkerState returns the state of a worker.
func (t *Tracker) WorkerState(name string, now time.Time) State {
	w := t.workers[name]
	switch {
	case w == nil:
		return StateHealthy
	case w.quarantined && now.Before(w.nextProbe):
		return StateQuarantined
	case w.quarantined:
		return StateProbing
	case w.suspicion >= suspectThreshold:
		return StateSuspect
	}
	return StateHealthy
}

// Allows reports whether a worker with the given number of running tasks may
// start another one.
func (t *Tracker) Allows(name string, running int, now time.Time) bool {
	switch t.WorkerState(name, now) {
	case StateHealthy:
		return true
	case StateSuspect, StateProbing:
		return running == 0
	default:
		return false
	}
}

// NextProbe returns the time of the next probe of a quarantined worker; zero if the
// worker is not quarantined.
func (t *Tracker) NextProbe(name string) time.Time {
	w := t.workers[name]
	if w == nil || !w.quarantined {
		return time.Time{}
	}
	return w.nextProbe
}

// Faulty reports whether a job is at fault because it failed on enough healthy
// workers.
func (t *Tracker) Faulty(job string) bool {
	j := t.jobs[job]
	return j != nil && len(j.failedWorkers) >= minFailedWorkers
}

// RemoveJob removes the record of a job that will not run again.
func (t *Tracker) RemoveJob(job string) { delete(t.jobs, job) }

// RemoveWorker removes the records of a worker that has left.
func (t *Tracker) RemoveWorker(name string) {
	if w := t.workers[name]; w != nil && w.quarantined {
		t.quarantined--
	}
	delete(t.workers, name)
	for _, s := range t.sources {
		s.removeWorker(name)
	}
}
