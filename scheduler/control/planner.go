// Package control is the planner of a deployment: it keeps the accepted jobs,
// decides which tasks run where, commands the workers and stores what must
// last before anybody acts on it. One instance runs it at a time, for a term.
package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
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

// Timing is what the deployment prescribes.
type Timing struct {
	// Lease is the longest lease of a worker.
	Lease time.Duration
	// StopTimeout is the longest time that stopping a run takes.
	StopTimeout time.Duration
	// Heartbeat is the time between two heartbeats of a worker.
	Heartbeat time.Duration
	// Retention is how long the state of an ended job stays readable.
	Retention time.Duration
}

// Dependencies are the services that a planner uses.
type Dependencies struct {
	Term     *term.Term
	Store    platform.Store
	Registry Registry
	Dialer   Dialer
	// Adviser is nil where the platform has none.
	Adviser platform.Adviser
	// Config returns the configuration in force, or nil.
	Config  func() *Config
	Timing  Timing
	Log     klog.Logger
	Metrics *metrics.Set
}

// LeaseRenewalGracePeriod is how long leases are still renewed without a transaction that
// confirms the term; with it, work survives a cut of the length that the
// deployments see.
const LeaseRenewalGracePeriod = 8 * time.Second

const (
	// registryInterval is the time between two readings of the registry; with
	// the reading it stays well below the 2 s in which leaving workers must get
	// no more work.
	registryInterval = 500 * time.Millisecond
	// tickInterval is the time between two checks of leases and due times.
	tickInterval = 100 * time.Millisecond
	// pauseTolerance is the longest time between two ticks of a process that was
	// not paused.
	pauseTolerance = 400 * time.Millisecond
	// batchBytes bounds the values of one transaction; the store takes 1 MB
	// after encoding.
	batchBytes = 512 << 10
	// stalled is how long a transaction may be without an answer before new
	// jobs are refused instead of waiting behind it.
	stalled = 700 * time.Millisecond
)

// Planner decides for all workers during one term.
type Planner struct {
	Dependencies
	begun time.Time
	clock storeClock
	group *errgroup.Group
	ctx   context.Context

	mu   sync.Mutex
	jobs map[string]*job
	live map[string]*job
	// unreadable are the jobs whose records are damaged.
	unreadable map[string]bool
	workers    map[string]*worker
	centres    map[string]*centre
	dirty      []*job
	// committing is when the transaction in progress began, or zero.
	committing time.Time
	// lost is set when the term is over, resigning when it should end.
	lost      bool
	resigning bool
	estimator *queue.Estimator
	paces     *pace.SpeedEstimator
	// experience is what earlier planners have learned.
	experience experience
	demand     demand
	// searched is when obsolete jobs were last searched for.
	searched time.Time
	// decided is when the latest decision ended, deciding how long it took.
	decided  time.Time
	deciding time.Duration
	// faulted is when a failed decision was last logged.
	faulted time.Time
	// resumed is when the process went on after a pause.
	resumed time.Time
	// listed is when the registry was last read.
	listed time.Time
	// questions are the calls of the adviser that wait.
	questions chan question
	kick      chan struct{}
	meters    *meters
}

// job is an accepted job.
type job struct {
	spec       *batch.Job
	queue      Queue
	guaranteed int64
	progress   *batch.Progress
	// shown is the stored state.
	shown  batch.JobState
	stored bool
	dirty  bool
	// after are called when the changes so far are stored.
	after []func()
	// placed counts the job's placements.
	placed  int
	started bool
	// ready is when the waiting tasks of a step became ready to start.
	ready map[stepRef]time.Time
	// seats are the workers on which room is being made, by step, until held.
	seats map[stepRef]seats
	// advice is what the adviser has said, by step.
	advice map[stepRef]*advice
}

// stepRef names a step of an occurrence of a job.
type stepRef struct{ occurrence, step int }

// newJob returns a job with the given progress.
func newJob(spec *batch.Job, q Queue, guaranteed int64, progress *batch.Progress) *job {
	return &job{
		spec: spec, queue: q, guaranteed: guaranteed, progress: progress,
		ready: map[stepRef]time.Time{}, seats: map[stepRef]seats{}, advice: map[stepRef]*advice{},
	}
}

// seats is room that is being made for a step.
type seats struct {
	workers []string
	until   time.Time
}

// New returns the planner of a term.
func New(d Dependencies) *Planner {
	return &Planner{
		Dependencies: d,
		begun:        time.Now(),
		jobs:         map[string]*job{},
		live:         map[string]*job{},
		unreadable:   map[string]bool{},
		workers:      map[string]*worker{},
		centres:      map[string]*centre{},
		estimator:    queue.NewEstimator(),
		paces:        pace.New(),
		questions:    make(chan question, maxQuestions),
		kick:         make(chan struct{}, 1),
		meters:       newMeters(d.Metrics),
	}
}

// Run plans until the term or ctx ends. Load comes first.
func (p *Planner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.group, p.ctx = group, ctx
	p.adopt()
	p.mu.Unlock()
	group.Go(func() error { return p.commit(ctx) })
	group.Go(func() error { return p.follow(ctx) })
	group.Go(func() error { return p.watch(ctx) })
	group.Go(func() error { return p.ask(ctx) })
	err := group.Wait()
	p.mu.Lock()
	p.lost = true
	p.mu.Unlock()
	return err
}

// Resign ends the term after the transaction in progress and leaves the office
// vacant.
func (p *Planner) Resign() {
	p.mu.Lock()
	p.resigning = true
	p.mu.Unlock()
	p.wake()
}

// Workers returns the number of workers that the planner commands.
func (p *Planner) Workers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.workers)
}

// Wake makes the planner decide again.
func (p *Planner) Wake() { p.wake() }

// wake asks for a decision and a transaction.
func (p *Planner) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// touch marks a job as changed; after is called once the change is stored.
// The caller holds the lock.
func (p *Planner) touch(j *job, after func()) {
	if after != nil {
		j.after = append(j.after, after)
	}
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// commit decides, stores the changes and lets their effects happen, until the
// term ends.
func (p *Planner) commit(ctx context.Context) error {
	renew := time.NewTimer(term.RenewInterval)
	defer renew.Stop()
	for {
		renewing := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.kick:
		case <-renew.C:
			renewing = true
		}
		p.mu.Lock()
		if p.resigning {
			p.lost = true
			p.mu.Unlock()
			return p.Term.Resign(ctx)
		}
		p.decideSafely(time.Now())
		writes, after := p.collect()
		removes, forget := p.obsolete(time.Now(), term.MaxChanges-len(writes))
		if len(writes)+len(removes) == 0 && !renewing {
			p.mu.Unlock()
			continue
		}
		if len(writes)+len(removes) < term.MaxChanges {
			writes = append(writes, p.experienceRow(time.Now())...)
		}
		p.committing = time.Now()
		p.mu.Unlock()
		err := p.Term.Commit(ctx, writes, removes)
		p.mu.Lock()
		p.meters.commit.UpdateDuration(p.committing)
		p.committing = time.Time{}
		if err == nil {
			for _, f := range after {
				f()
			}
			for _, j := range forget {
				delete(p.jobs, j.spec.ID)
			}
		}
		more := len(p.dirty) > 0
		p.mu.Unlock()
		if err != nil {
			var deposed *term.SupersededError
			if errors.As(err, &deposed) {
				p.Log.Info("term ended", "successor", deposed.By.Name, "successorgeneration", deposed.By.Generation)
			}
			return err
		}
		if more || len(after) > 0 {
			p.wake()
		}
		renew.Reset(term.RenewInterval)
	}
}

// collect takes the changed jobs, as many as one transaction holds. The caller
// holds the lock.
func (p *Planner) collect() ([]platform.StoredRow, []func()) {
	var writes []platform.StoredRow
	var after []func()
	size, taken := 0, 0
	for _, j := range p.dirty {
		rows, err := j.writes(p.clock)
		if err != nil {
			p.Log.Error(err, "job cannot be encoded", "job", j.spec.ID)
			taken++
			continue
		}
		for i := range rows {
			size += len(rows[i].Value)
		}
		if len(writes)+len(rows) > term.MaxChanges || size > batchBytes && len(writes) > 0 {
			break
		}
		taken++
		writes = append(writes, rows...)
		state := j.progress.State
		after = append(after, func() {
			j.stored = true
			j.shown = state
		})
		after = append(after, j.after...)
		j.after, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, taken)
	return writes, after
}

const (
	// obsoleteFactor is how many times the time for which an ended job must
	// stay known it is kept.
	obsoleteFactor = 2
	// obsoleteInterval is the time between two searches for obsolete jobs.
	obsoleteInterval = 1 * time.Second
	// rowsPerJob is the number of rows of a job.
	rowsPerJob = 2
)

// obsolete returns the rows of jobs that ended long ago, up to a number, and
// the jobs. The caller holds the lock.
func (p *Planner) obsolete(now time.Time, most int) ([]platform.RowKey, []*job) {
	if now.Sub(p.searched) < obsoleteInterval {
		return nil, nil
	}
	p.searched = now
	var removes []platform.RowKey
	var jobs []*job
	for id, j := range p.jobs {
		if len(removes)+rowsPerJob > most {
			break
		}
		old := j.shown.Final() && now.Sub(j.progress.Ended) > obsoleteFactor*p.Timing.Retention
		if old && !j.dirty && j.placed == 0 {
			removes = append(removes, jobKey(id), progressKey(id))
			jobs = append(jobs, j)
		}
	}
	return removes, jobs
}

// follow reads the registry until ctx ends.
func (p *Planner) follow(ctx context.Context) error {
	tick := time.NewTicker(registryInterval)
	defer tick.Stop()
	failing := false
	for {
		list, err := p.Registry.Workers(ctx)
		if err == nil {
			p.register(list)
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			p.Log.Info("registry of workers", "available", !failing, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// watch checks leases and due times until ctx ends.
func (p *Planner) watch(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		p.mu.Lock()
		now := time.Now()
		if now.Sub(last) > pauseTolerance {
			p.Log.Info("planner was paused", "pause", now.Sub(last))
			p.resumed = now
		}
		last = now
		p.expire(now)
		p.demand.add(p.urgent())
		p.mu.Unlock()
		p.wake()
	}
}
