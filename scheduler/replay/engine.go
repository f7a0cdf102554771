package replay

import (
	"container/heap"
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
)

const (
	// roundInterval is the granularity of decisions. It represents the time in
	// which the daemon detects a change and carries out a decision.
	roundInterval = 200 * time.Millisecond
	// idleRoundInterval is the time between rounds without events.
	idleRoundInterval = time.Minute
	// preemptionRoundInterval is the time between rounds while evicted work
	// stops.
	preemptionRoundInterval = time.Second
	// failureDelay is the run time of an attempt that fails.
	failureDelay = 5 * time.Second
	// maxFailures is the number of failures after which a job is abandoned.
	maxFailures = 5
	// maxOvertime limits the time after the end of the arrivals.
	maxOvertime = 48 * time.Hour
)

// Policy makes the decisions of one round.
type Policy interface {
	Decide(in planner.Input) planner.Result
}

// jobState is the state of a job in the replay.
type jobState struct {
	arrival
	// remaining is the fraction of the work that is not done.
	remaining float64
	// savedRunTime is the run time preserved from before evictions, scaled by
	// the learned speed.
	savedRunTime time.Duration
	attempt      int
	failures     int
	running      *planner.Running
	// eviction is the eviction in progress, if any, and reclaimedAt the time at
	// which a cell was first reclaimed for the job.
	eviction    *guarantee.Eviction
	reclaimedAt time.Time
	startedAt   time.Time
	endedAt     time.Time
	succeeded   bool
	finished    bool
}

// engine replays one scenario under one policy.
type engine struct {
	scenario
	policy       Policy
	clock        func() time.Duration
	now          time.Time
	racks        []gang.Rack
	rackIndex    map[string]int
	jobs         []*jobState
	jobIndex     map[string]int
	eventQueue   eventHeap
	nextSequence int
	pending      *queue.Queue
	running      []*jobState
	plan         guarantee.Plan
	down         map[string]bool
	estimator    *queue.Estimator
	speeds       *gang.Speeds
	tracker      *quarantine.Tracker
	reservations []planner.Reservation
	meter        meter
}

func newEngine(s scenario, p Policy, clock func() time.Duration) *engine {
	e := &engine{
		scenario: s, policy: p, clock: clock, now: epoch,
		racks: slices.Clone(s.racks), rackIndex: map[string]int{}, jobIndex: map[string]int{}, pending: queue.New(),
		down: map[string]bool{}, estimator: queue.NewEstimator(), speeds: gang.NewSpeeds(), tracker: quarantine.New(),
	}
	for i, r := range e.racks {
		e.rackIndex[r.Name()] = i
	}
	e.plan = guarantee.NewPlan(e.racks, s.guarantees)
	for i, a := range s.arrivals {
		e.jobs = append(e.jobs, &jobState{arrival: a, remaining: 1})
		e.jobIndex[a.job.ID] = i
		e.push(a.job.Accepted, eventArrive, i)
		if !a.cancel.IsZero() {
			e.push(a.cancel, eventCancel, i)
		}
	}
	return e
}

func (e *engine) push(at time.Time, k eventKind, job int) {
	ev := event{at: at, kind: k, job: job, sequence: e.nextSequence}
	if k == eventEnd || k == eventStopped {
		ev.attempt = e.jobs[job].attempt
	}
	e.nextSequence++
	heap.Push(&e.eventQueue, ev)
}

// run replays until all jobs have ended or maxOvertime has passed. It returns
// an error if the policy makes a decision that cannot be carried out.
func (e *engine) run() error {
	limit := e.arrivalsEnd.Add(maxOvertime)
	for len(e.eventQueue) > 0 && e.now.Before(limit) {
		at := e.eventQueue[0].at.Add(roundInterval - 1).Truncate(roundInterval)
		e.meter.addElapsed(e, at.Sub(e.now))
		e.now = at
		for len(e.eventQueue) > 0 && !e.eventQueue[0].at.After(at) {
			e.handleEvent(heap.Pop(&e.eventQueue).(event))
		}
		if err := e.round(); err != nil {
			return err
		}
	}
	return nil
}

func (e *engine) handleEvent(ev event) {
	j := e.jobs[max(0, ev.job)]
	switch ev.kind {
	case eventArrive:
		e.enqueue(j)
	case eventCancel:
		e.cancelJob(j)
	case eventEnd:
		if j.attempt == ev.attempt && j.running != nil && j.eviction == nil {
			e.finishAttempt(j, ev.at)
		}
	case eventStopped:
		if j.attempt == ev.attempt && j.running != nil {
			e.finishEviction(j)
		}
	case eventRound:
	}
}

func (e *engine) enqueue(j *jobState) {
	j.job.Remaining = j.remaining
	e.pending.Add(j.job)
}

func (e *engine) cancelJob(j *jobState) {
	e.pending.Remove(j.job.ID)
	if j.running != nil {
		e.releaseWorkers(j)
	}
	j.finished = true
}

// releaseWorkers frees the workers of the job.
func (e *engine) releaseWorkers(j *jobState) {
	i := e.rackIndex[j.running.Rack]
	e.racks[i] = e.racks[i].WithUse(j.running.Workers, -j.job.Shape.Accelerators)
	e.running = slices.DeleteFunc(e.running, func(o *jobState) bool { return o == j })
	j.running = nil
	j.eviction = nil
	j.attempt++
}

// speed is the true speed of a gang, which is that of its slowest worker.
func (e *engine) speed(rack int, s gang.Set) float64 {
	slowest := 100.0
	for _, n := range e.racks[rack].Names(s) {
		slowest = min(slowest, e.scenario.speeds[n])
	}
	return slowest
}

// firstBadWorker returns the first bad worker of a gang.
func (e *engine) firstBadWorker(rack int, s gang.Set) (string, bool) {
	for _, n := range e.racks[rack].Names(s) {
		if e.badWorkers[n] {
			return n, true
		}
	}
	return "", false
}

// finishAttempt ends an attempt of a job in success or failure.
func (e *engine) finishAttempt(j *jobState, at time.Time) {
	i := e.rackIndex[j.running.Rack]
	names := e.racks[i].Names(j.running.Workers)
	source := j.job.Team + "/" + j.job.Template
	worker, bad := e.firstBadWorker(i, j.running.Workers)
	ran := at.Sub(j.startedAt)
	size := float64(j.job.Shape.Total())
	if bad || j.alwaysFails {
		e.meter.executedWork += size * ran.Seconds()
		if !bad {
			worker = names[0]
		}
		e.releaseWorkers(j)
		e.tracker.Record(quarantine.Outcome{Worker: worker, Job: j.job.ID, Source: source, Failed: true, At: e.now})
		e.meter.failures++
		e.retry(j, worker)
		return
	}
	for _, n := range names {
		e.tracker.Record(quarantine.Outcome{Worker: n, Job: j.job.ID, Source: source, At: e.now})
	}
	e.learn(j, i, names, ran)
	e.meter.executedWork += size * ran.Seconds()
	e.releaseWorkers(j)
	e.tracker.RemoveJob(j.job.ID)
	j.succeeded, j.finished, j.endedAt = true, true, at
}

// learn records the total run time of a job, and the speed of its workers if it
// ran without interruption.
func (e *engine) learn(j *jobState, rack int, names []string, ran time.Duration) {
	if est := e.estimator.Estimate(j.job); est.Samples > 0 && j.savedRunTime == 0 {
		e.speeds.Observe(est.Median.Seconds()/ran.Seconds(), names...)
	}
	totalRunTime := j.savedRunTime + scale(ran, e.learnedSpeed(names))
	e.estimator.Observe(j.job.Team, j.job.Template, totalRunTime)
	e.racks[rack] = e.withLearnedSpeeds(e.racks[rack])
}

func (e *engine) learnedSpeed(names []string) float64 {
	slowest := 100.0
	for _, n := range names {
		slowest = min(slowest, e.speeds.Speed(n))
	}
	return slowest
}

func (e *engine) withLearnedSpeeds(r gang.Rack) gang.Rack {
	for i := range r.Len() {
		s := e.speeds.Speed(r.Worker(i).Name)
		if s != r.Worker(i).Speed {
			r = r.WithSpeed(gang.Set(0).With(i), s)
		}
	}
	return r
}

// retry queues a failed job again, to run without the given worker, unless it
// has failed too often or must not run again.
func (e *engine) retry(j *jobState, worker string) {
	j.failures++
	if j.failures >= maxFailures || j.job.NonPreemptible {
		j.finished = true
		return
	}
	j.job.AvoidWorkers = append(slices.Clone(j.job.AvoidWorkers), worker)
	e.enqueue(j)
}

// finishEviction ends an eviction and queues the job again with the work it
// saved.
func (e *engine) finishEviction(j *jobState) {
	i := e.rackIndex[j.running.Rack]
	size := float64(j.job.Shape.Total())
	ran := e.now.Sub(j.startedAt)
	e.meter.executedWork += size * ran.Seconds()
	lost := ran
	if j.eviction.Checkpointable {
		lost = min(ran, j.checkpoint)
	}
	e.meter.lostWork += size * lost.Seconds()
	e.meter.evictions++
	j.savedRunTime += scale(ran-lost, e.learnedSpeed(e.racks[i].Names(j.running.Workers)))
	progress := (ran - lost).Seconds() * e.speed(i, j.running.Workers) / j.work.Seconds()
	j.remaining = max(0.001, j.remaining-progress)
	e.releaseWorkers(j)
	if j.job.NonPreemptible {
		e.meter.nonPreemptibleLost++
		j.finished = true
		return
	}
	e.enqueue(j)
}
