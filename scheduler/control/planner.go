// Package control implements the planner of a deployment. It keeps the accepted
// jobs, decides which tasks run where, commands the workers and stores every
// decision before it takes effect. One instance runs it at a time, for a term.
package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/adviser"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/interference"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/term"
)

// Registry lists the workers of the deployment.
type Registry interface {
	Workers(ctx context.Context) ([]platform.RunnerInfo, error)
}

// Dialer connects to a worker.
type Dialer interface {
	Runner(info platform.RunnerInfo) platform.Runner
}

// Timing holds the time limits of the deployment.
type Timing struct {
	// Lease is the longest lease of a worker.
	Lease time.Duration
	// StopTimeout is the longest time that stopping a run takes.
	StopTimeout time.Duration
	// CheckpointInterval is the longest time between two checkpoints of a run, and
	// RestoreTime the time to resume from one. 0 means that they are unknown.
	CheckpointInterval time.Duration
	RestoreTime        time.Duration
	// Heartbeat is the interval between two heartbeats of a worker.
	Heartbeat time.Duration
	// Retention is how long the state of an ended job stays readable.
	Retention time.Duration
	// Reclaim is the time within which guaranteed tasks must have started, or 0 if
	// the deployment sets none. If it is set, teams are balanced and jobs may be
	// refused under overload.
	Reclaim time.Duration
}

// Dependencies are the services that a planner uses.
type Dependencies struct {
	Term *term.Term
	// FormerLeasesEnd is when all leases of earlier planners have ended. It is zero if
	// there was none, or if only the start of this term bounds them.
	FormerLeasesEnd time.Time
	Store           platform.Store
	Registry        Registry
	Dialer          Dialer
	// Adviser is nil if the platform has none.
	Adviser platform.Adviser
	// Config returns the current configuration, or nil.
	Config func() *Config
	// Evacuations returns the data centres to evacuate, and false while it is not
	// known for certain which they are.
	Evacuations func() (evacuation.Set, bool)
	// LargeServiceWorkers is the number of workers from which a service tries failing
	// workers with one task at a time, shares its capacity between teams under
	// overload and refuses work that would be too late.
	LargeServiceWorkers int
	// MaxRowBytes is the longest value that the store accepts, or 0 for 64 KB.
	MaxRowBytes int
	// Memory is what the process may use, in bytes, or 0 for 256 MB. A part of it
	// bounds the accepted jobs.
	Memory  int64
	Timing  Timing
	Log     klog.Logger
	Metrics *meter.Set
}

const (
	// registryPollInterval is the time between two reads of the registry.
	// Together with the time of the read it stays well below the 2 s after
	// which leaving workers must get no more work.
	registryPollInterval = 500 * time.Millisecond
	// tickInterval is the time between two checks of leases and due times.
	tickInterval = 100 * time.Millisecond
	// maxTickGap is the longest time between two ticks of a process that was
	// not paused.
	maxTickGap = 400 * time.Millisecond
	// stallThreshold is how long a transaction may remain without a response
	// before new jobs are refused instead of waiting for it.
	stallThreshold = 700 * time.Millisecond
)

// Planner schedules the tasks of all workers during one term.
type Planner struct {
	Dependencies
	startedAt time.Time
	clock     storeClock
	group     *errgroup.Group
	ctx       context.Context

	mu sync.Mutex
	// jobs holds the jobs that have not ended, and those that have as long as their end
	// is not stored or runs of them are left. jobBytes is about what they take.
	jobs      map[string]*job
	jobBytes  int64
	endedJobs endedJobs
	// live holds the jobs that have not ended.
	live map[string]*job
	// unreadable contains the jobs whose records are damaged.
	unreadable map[string]bool
	workers    map[string]*worker
	// tokensUsed is the number of fencing tokens above the generation of the term that
	// were used.
	tokensUsed  uint64
	dataCentres map[string]*dataCentre
	evacuations evacuationState
	dirty       []*job
	// commitStart is when the transaction in progress started, or zero.
	commitStart time.Time
	// ended is set when the term is over, resigning when it is to be given up.
	ended     bool
	resigning bool
	estimator *queue.Estimator
	speeds    *pace.SpeedEstimator
	// interference learns which tasks slow each other down.
	interference *interference.Estimator
	// learned holds what earlier planners have learned.
	learned   learnedState
	inherited inheritedLeases
	demand    demand
	trust     trustState
	// loads holds the load of each service, loadsMeasuredAt when it was measured.
	loads           map[string]*serviceLoad
	loadsMeasuredAt time.Time
	// lastCleanup is when ended jobs were last searched for. obsoleteLeft is set if some
	// may be left to delete since.
	lastCleanup  time.Time
	obsoleteLeft bool
	// lastDecision is when the latest decision ended, decisionTime how long it
	// took.
	lastDecision time.Time
	decisionTime time.Duration
	// lastPanicLog is when a panic was last logged.
	lastPanicLog time.Time
	// isolated holds until when jobs are isolated after a panic. They are not live.
	isolated map[*job]time.Time
	// processing is the job that is being processed under the lock, or nil. A panic is
	// put down to it.
	processing *job
	// resumedAt is when the process resumed after a pause.
	resumedAt time.Time
	// registryReadAt is when the registry was last read.
	registryReadAt time.Time
	// registryRead is closed when the registry has been read for the first time.
	registryRead chan struct{}
	// adviserTimings holds how long calls to the adviser take, by queue.
	adviserTimings map[string]adviser.Timing
	// adviceRequests queues calls to the adviser.
	adviceRequests chan adviceRequest
	wakeups        chan struct{}
	instruments    *instruments
}

// job is an accepted job.
type job struct {
	spec       *batch.Job
	queue      Queue
	guaranteed int64
	progress   *batch.Progress
	// visibleState is the state reported to clients. A final state is visible
	// only once it is stored.
	visibleState batch.JobState
	stored       bool
	dirty        bool
	// onStored are called when the changes so far are stored.
	onStored []func()
	// waiters are the calls that wait for that, each with room for a response.
	waiters []chan<- Response
	// reduced is set if the store has rejected the progress, so that only the state is
	// stored.
	reduced bool
	// placementCount is the number of the job's placements.
	placementCount int
	started        bool
	// stoppedAt is when this planner last stopped a run whose work had to be
	// resumed, or zero.
	stoppedAt time.Time
	// readySince is when the waiting tasks of a step became ready to start.
	readySince map[stepRef]time.Time
	// reservations are the workers reserved for a step while runs on them are
	// being stopped.
	reservations map[stepRef]reservation
	// advice holds the adviser's responses, by step.
	advice map[stepRef]*advice
	// provenWaits holds until when tasks wait for proven workers.
	provenWaits map[batch.TaskID]provenWait
}

// stepRef identifies a step of an occurrence of a job.
type stepRef struct{ occurrence, step int }

// newJob returns a job with the given progress.
func newJob(spec *batch.Job, q Queue, guaranteed int64, progress *batch.Progress) *job {
	return &job{
		spec: spec, queue: q, guaranteed: guaranteed, progress: progress,
		readySince: map[stepRef]time.Time{}, reservations: map[stepRef]reservation{}, advice: map[stepRef]*advice{},
	}
}

// reservation is capacity that is being freed for a step.
type reservation struct {
	workers   []string
	expiresAt time.Time
}

// New returns the planner of a term.
func New(d Dependencies) *Planner {
	return &Planner{
		Dependencies:   d,
		startedAt:      time.Now(),
		jobs:           map[string]*job{},
		endedJobs:      newEndedJobs(),
		live:           map[string]*job{},
		isolated:       map[*job]time.Time{},
		unreadable:     map[string]bool{},
		workers:        map[string]*worker{},
		loads:          map[string]*serviceLoad{},
		dataCentres:    map[string]*dataCentre{},
		adviserTimings: map[string]adviser.Timing{},
		estimator:      queue.NewEstimator(),
		speeds:         pace.New(),
		interference:   interference.New(),
		adviceRequests: make(chan adviceRequest, maxAdviceRequests),
		registryRead:   make(chan struct{}),
		wakeups:        make(chan struct{}, 1),
		instruments:    newInstruments(d.Metrics),
	}
}

// Run plans until the term or ctx ends. Load must be called first.
func (p *Planner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.group, p.ctx = group, ctx
	p.adoptRuns()
	p.mu.Unlock()
	for activity, loop := range map[string]func(context.Context) error{
		"committing": p.commitLoop, "reading the registry": p.pollRegistry, "checking leases": p.tickLoop, "asking the adviser": p.processAdviceRequests,
	} {
		group.Go(func() error { return p.protect(activity, func() error { return loop(ctx) }) })
	}
	err := group.Wait()
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	return err
}

// Resign ends the term after the transaction in progress and clears the name of
// the leader in the store.
func (p *Planner) Resign() {
	p.mu.Lock()
	p.resigning = true
	p.mu.Unlock()
	p.wake()
}

// Workers returns the number of workers that the planner knows.
func (p *Planner) Workers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countWorkers(time.Now())
}

// countWorkers counts the credible workers. The caller holds the lock.
func (p *Planner) countWorkers(now time.Time) int {
	n := 0
	for _, w := range p.workers {
		if w.credible(now) {
			n++
		}
	}
	return n
}

// Wake triggers another decision.
func (p *Planner) Wake() { p.wake() }

// wake triggers a decision and a transaction.
func (p *Planner) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// markDirty marks a job as changed; onStored is called once the change is
// stored. The caller holds the lock.
func (p *Planner) markDirty(j *job, onStored func()) {
	if onStored != nil {
		j.onStored = append(j.onStored, onStored)
	}
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// pollRegistry reads the registry until ctx ends.
func (p *Planner) pollRegistry(ctx context.Context) error {
	ticker := time.NewTicker(registryPollInterval)
	defer ticker.Stop()
	failing := false
	for {
		list, err := p.Registry.Workers(ctx)
		if err == nil {
			p.updateWorkers(list)
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			p.Log.Info("worker registry availability changed", "available", !failing, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// tickLoop checks leases and due times until ctx ends.
func (p *Planner) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		p.locked("checking leases", func() {
			now := time.Now()
			if now.Sub(last) > maxTickGap {
				p.Log.Info("planner process was paused", "pause", now.Sub(last))
				p.resumedAt = now
			}
			last = now
			p.expireLeases(now)
			p.demand.dueSamples++
		})
		p.wake()
	}
}
