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
	// roundStep is the granularity of decisions. It stands for the time in which
	// the daemon notices a change and carries out a decision.
	roundStep = 200 * time.Millisecond
	// idleStep is the time between rounds without events.
	idleStep = time.Minute
	// holdStep is the time between rounds while evicted work stops.
	holdStep = time.Second
	// failAfter is how long a task runs that fails.
	failAfter = 5 * time.Second
	// attempts is the number of failures after which a job is given up.
	attempts = 5
	// overtime bounds the time after the last arrival.
	overtime = 48 * time.Hour
)

// Policy makes the decisions of one round.
type Policy interface {
	Decide(in planner.Input) planner.Result
}

// life is the state of a job in the replay.
type life struct {
	arrival
	// left is the share of the work that is not done.
	left float64
	// saved is the run time before evictions, as learned.
	saved    time.Duration
	attempt  int
	failures int
	running  *planner.Running
	// evicted is the running eviction, if any, and reclaimed the time at which
	// the job's cell was first reclaimed.
	evicted   *guarantee.Eviction
	reclaimed time.Time
	started   time.Time
	ended     time.Time
	done      bool
	over      bool
}

// engine replays one scenario under one policy.
type engine struct {
	scenario
	policy    Policy
	clock     func() time.Duration
	now       time.Time
	racks     []gang.Rack
	index     map[string]int
	jobs      []*life
	byID      map[string]int
	heap      events
	order     int
	pending   *queue.Queue
	running   []*life
	plan      guarantee.Plan
	down      map[string]bool
	estimator *queue.Estimator
	speeds    *gang.Speeds
	book      *quarantine.Tracker
	holds     []planner.Reservation
	meter     meter
}

func newEngine(s scenario, p Policy, clock func() time.Duration) *engine {
	e := &engine{
		scenario: s, policy: p, clock: clock, now: epoch,
		racks: slices.Clone(s.racks), index: map[string]int{}, byID: map[string]int{}, pending: queue.New(),
		down: map[string]bool{}, estimator: queue.NewEstimator(), speeds: gang.NewSpeeds(), book: quarantine.New(),
	}
	for i, r := range e.racks {
		e.index[r.Name()] = i
	}
	e.plan = guarantee.NewPlan(e.racks, s.guarantees)
	for i, a := range s.arrivals {
		e.jobs = append(e.jobs, &life{arrival: a, left: 1})
		e.byID[a.job.ID] = i
		e.push(a.job.Accepted, eventArrive, i)
		if !a.cancel.IsZero() {
			e.push(a.cancel, eventCancel, i)
		}
	}
	return e
}

func (e *engine) push(at time.Time, k kind, job int) {
	ev := event{at: at, kind: k, job: job, order: e.order}
	if k == eventEnd || k == eventStopped {
		ev.attempt = e.jobs[job].attempt
	}
	e.order++
	heap.Push(&e.heap, ev)
}

// run replays until all jobs have ended or the overtime is over. It returns an
// error if the policy makes a decision that cannot be carried out.
func (e *engine) run() error {
	limit := e.end.Add(overtime)
	for len(e.heap) > 0 && e.now.Before(limit) {
		at := e.heap[0].at.Add(roundStep - 1).Truncate(roundStep)
		e.meter.pass(e, at.Sub(e.now))
		e.now = at
		for len(e.heap) > 0 && !e.heap[0].at.After(at) {
			e.apply(heap.Pop(&e.heap).(event))
		}
		if err := e.round(); err != nil {
			return err
		}
	}
	return nil
}

func (e *engine) apply(ev event) {
	l := e.jobs[max(0, ev.job)]
	switch ev.kind {
	case eventArrive:
		e.enqueue(l)
	case eventCancel:
		e.cancelJob(l)
	case eventEnd:
		if l.attempt == ev.attempt && l.running != nil && l.evicted == nil {
			e.finish(l, ev.at)
		}
	case eventStopped:
		if l.attempt == ev.attempt && l.running != nil {
			e.stopped(l)
		}
	case eventRound:
	}
}

func (e *engine) enqueue(l *life) {
	l.job.Remaining = l.left
	e.pending.Add(l.job)
}

func (e *engine) cancelJob(l *life) {
	e.pending.Remove(l.job.ID)
	if l.running != nil {
		e.vacate(l)
	}
	l.over = true
}

// vacate frees the job's workers.
func (e *engine) vacate(l *life) {
	i := e.index[l.running.Rack]
	e.racks[i] = e.racks[i].WithUse(l.running.Workers, -l.job.Shape.Accelerators)
	e.running = slices.DeleteFunc(e.running, func(o *life) bool { return o == l })
	l.running = nil
	l.evicted = nil
	l.attempt++
}

// speed is the true speed of a gang, that of its slowest worker.
func (e *engine) speed(rack int, s gang.Set) float64 {
	slowest := 100.0
	for _, n := range e.racks[rack].Names(s) {
		slowest = min(slowest, e.scenario.speeds[n])
	}
	return slowest
}

// failing returns the first bad worker of a gang.
func (e *engine) failing(rack int, s gang.Set) (string, bool) {
	for _, n := range e.racks[rack].Names(s) {
		if e.bad[n] {
			return n, true
		}
	}
	return "", false
}

// finish ends a job's attempt in success or failure.
func (e *engine) finish(l *life, at time.Time) {
	i := e.index[l.running.Rack]
	names := e.racks[i].Names(l.running.Workers)
	source := l.job.Team + "/" + l.job.Template
	worker, bad := e.failing(i, l.running.Workers)
	ran := at.Sub(l.started)
	size := float64(l.job.Shape.Total())
	if bad || l.bad {
		e.meter.work += size * ran.Seconds()
		if !bad {
			worker = names[0]
		}
		e.vacate(l)
		e.book.Record(quarantine.Outcome{Worker: worker, Job: l.job.ID, Source: source, Failed: true, At: e.now})
		e.meter.failures++
		e.retry(l, worker)
		return
	}
	for _, n := range names {
		e.book.Record(quarantine.Outcome{Worker: n, Job: l.job.ID, Source: source, At: e.now})
	}
	e.learn(l, i, names, ran)
	e.meter.work += size * ran.Seconds()
	e.vacate(l)
	e.book.Forget(l.job.ID)
	l.done, l.over, l.ended = true, true, at
}

// learn records the whole run time of a job, and the speed of its workers if it
// ran without interruption.
func (e *engine) learn(l *life, rack int, names []string, ran time.Duration) {
	if est := e.estimator.Estimate(l.job); est.Samples > 0 && l.saved == 0 {
		e.speeds.Observe(est.Median.Seconds()/ran.Seconds(), names...)
	}
	whole := l.saved + scale(ran, e.learnedSpeed(names))
	e.estimator.Observe(l.job.Team, l.job.Template, whole)
	e.racks[rack] = e.learned(e.racks[rack])
}

func (e *engine) learnedSpeed(names []string) float64 {
	slowest := 100.0
	for _, n := range names {
		slowest = min(slowest, e.speeds.Speed(n))
	}
	return slowest
}

func (e *engine) learned(r gang.Rack) gang.Rack {
	for i := range r.Len() {
		s := e.speeds.Speed(r.Worker(i).Name)
		if s != r.Worker(i).Speed {
			r = r.WithSpeed(gang.Set(0).With(i), s)
		}
	}
	return r
}

// retry queues a failed job again, away from the worker, unless it has failed
// too often or must not run again.
func (e *engine) retry(l *life, worker string) {
	l.failures++
	if l.failures >= attempts || l.job.NonPreemptible {
		l.over = true
		return
	}
	l.job.Avoid = append(slices.Clone(l.job.Avoid), worker)
	e.enqueue(l)
}

// stopped ends an eviction and queues the job again with the work it saved.
func (e *engine) stopped(l *life) {
	i := e.index[l.running.Rack]
	size := float64(l.job.Shape.Total())
	ran := e.now.Sub(l.started)
	e.meter.work += size * ran.Seconds()
	lost := ran
	if l.evicted.Checkpoint {
		lost = min(ran, l.checkpoint)
	}
	e.meter.lost += size * lost.Seconds()
	e.meter.evictions++
	l.saved += scale(ran-lost, e.learnedSpeed(e.racks[i].Names(l.running.Workers)))
	progress := (ran - lost).Seconds() * e.speed(i, l.running.Workers) / l.work.Seconds()
	l.left = max(0.001, l.left-progress)
	e.vacate(l)
	if l.job.NonPreemptible {
		e.meter.fixed++
		l.over = true
		return
	}
	e.enqueue(l)
}
