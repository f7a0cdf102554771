// Package rack implements the owner of a rack. An owner claims the workers under a
// generation, starts gangs in two steps, stops and evicts them, recovers running
// gangs on takeover, and delivers outcomes until they are committed.
package rack

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// Owner runs the gangs of one rack.
type Owner struct {
	rack           string
	self           string
	fleet          platform.Fleet
	outcomeHandler OutcomeHandler
	log            klog.Logger
	ready          chan struct{}

	mu         sync.Mutex
	generation platform.Generation
	// logicalClock counts commands and claims. It orders inventories relative to
	// commands.
	logicalClock uint64
	workerStates map[string]*workerState
	gangs        map[attemptID]*gang
	// closed holds the attempts that this owner has closed. Tasks of them that
	// are still on workers are removed.
	closed map[attemptID]bool
	// closedByAge lists the closed attempts, oldest first.
	closedByAge  []closedAttempt
	activeRun    *runScope
	startedAt    time.Time
	supersededBy *platform.DeniedError
	// draining is set while the rack is handed over and rejects new gangs.
	draining bool
	starts   sync.WaitGroup
}

// runScope holds the context and the goroutines of one call to Run.
type runScope struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns an owner of rack that claims workers under the instance name self.
func New(rack, self string, workers []platform.WorkerInfo, fleet platform.Fleet, outcomeHandler OutcomeHandler, options ...Option) *Owner {
	s := newSettings(options)
	o := &Owner{
		rack:           rack,
		self:           self,
		fleet:          fleet,
		outcomeHandler: outcomeHandler,
		log:            s.log.WithValues("rack", rack),
		ready:          make(chan struct{}),
		workerStates:   map[string]*workerState{},
		gangs:          map[attemptID]*gang{},
		closed:         map[attemptID]bool{},
	}
	o.SetWorkers(workers)
	return o
}

// Run claims the rack and keeps it until ctx ends or another owner claims it. In
// the latter case it returns *OwnershipLostError. Run must be called only once.
func (o *Owner) Run(ctx context.Context) error {
	result, err := survey(ctx, o.rack, o.clients())
	if err != nil {
		return err
	}
	return o.runAfterSurvey(ctx, result)
}

// runAfterSurvey is Run with the result of an earlier survey.
func (o *Owner) runAfterSurvey(ctx context.Context, result surveyResult) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runScope{ctx: ctx, cancel: cancel}
	o.startRenewals(r, result.generation.Next(o.self))
	o.awaitClaims(ctx)
	o.recover()
	<-ctx.Done()
	o.stopRun(r)
	r.wait.Wait()
	return o.ownershipError()
}

func (o *Owner) startRenewals(r *runScope, g platform.Generation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation = g
	o.startedAt = time.Now()
	o.activeRun = r
	o.log.Info("claiming rack", "generation", g.Number)
	for _, st := range o.workerStates {
		st.renewedAt = o.startedAt
		o.spawn(func(ctx context.Context) { o.renewLoop(ctx, st) })
	}
}

// stopRun cancels r and prevents further goroutines and commands.
func (o *Owner) stopRun(r *runScope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.cancel()
	o.activeRun = nil
}

// spawn runs f in a goroutine of the active run, or not at all if there is none.
// The caller holds the lock.
func (o *Owner) spawn(f func(ctx context.Context)) {
	r := o.activeRun
	if r == nil {
		return
	}
	r.wait.Go(func() { f(r.ctx) })
}

// loseOwnership ends the run if the denial shows that a worker obeys a higher
// generation.
func (o *Owner) loseOwnership(d *platform.DeniedError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy != nil || d.Generation.Compare(o.generation) <= 0 {
		return
	}
	o.supersededBy = d
	o.log.Info("lost ownership of rack to another instance", "generation", o.generation.Number, "holder", d.Generation.Holder)
	if o.activeRun != nil {
		o.activeRun.cancel()
	}
}

func (o *Owner) ownershipError() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy == nil {
		return nil
	}
	return &OwnershipLostError{Rack: o.rack, Own: o.generation, Denied: o.supersededBy}
}

// Ready returns a channel that is closed when the rack is claimed and the gangs on
// all workers that answered are recovered.
func (o *Owner) Ready() <-chan struct{} { return o.ready }

func (o *Owner) isReady() bool {
	select {
	case <-o.ready:
		return true
	default:
		return false
	}
}

// SetWorkers replaces the list of the rack's workers. A worker that is no longer
// listed is kept while it has tasks and answers, because the list may be out of
// date.
func (o *Owner) SetWorkers(workers []platform.WorkerInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, st := range o.workerStates {
		st.listed = false
	}
	for _, w := range workers {
		if st := o.workerStates[w.Name]; st != nil {
			st.info, st.listed = w, true
			continue
		}
		client, err := o.fleet.Worker(w.Name)
		if err != nil {
			o.log.Error(err, "failed to create client for worker", "worker", w.Name)
			continue
		}
		st := newWorkerState(w, client)
		o.workerStates[w.Name] = st
		st.renewedAt = time.Now()
		o.spawn(func(ctx context.Context) { o.renewLoop(ctx, st) })
	}
}

func (o *Owner) clients() map[string]platform.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]platform.Worker{}
	for name, st := range o.workerStates {
		all[name] = st.client
	}
	return all
}

// Release hands the rack over. It rejects new gangs, waits up to handOverTimeout
// for gang starts in progress, ends the leases, so that the next owner need not
// wait for them to expire, and ends Run.
func (o *Owner) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		o.starts.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	o.endLeases(context.WithoutCancel(ctx))
}

// Summary returns the current state of the rack.
func (o *Owner) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	s := Summary{Rack: o.rack, Generation: o.generation}
	for _, st := range o.workerStates {
		s.Workers = append(s.Workers, WorkerSummary{
			Name:         st.info.Name,
			Accelerators: st.info.Accelerators,
			Free:         o.free(st),
			Leaving:      st.inventory.Leaving,
			Reachable:    now.Before(st.deadline),
		})
	}
	for _, g := range o.gangs {
		if g.phase == phaseRunning {
			s.Running = append(s.Running, g.summary())
		}
	}
	slices.SortFunc(s.Workers, func(a, b WorkerSummary) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Running, func(a, b RunningGang) int { return strings.Compare(a.Job, b.Job) })
	return s
}

// free returns the number of accelerators of a worker that no gang uses or is
// about to use. It corrects the inventory, which may be older than the latest
// commands, by the known gangs.
func (o *Owner) free(st *workerState) int {
	if !st.claimed {
		return 0
	}
	free := st.inventory.Free
	for _, t := range st.inventory.Tasks {
		holds := t.State == platform.TaskReserved || t.State == platform.TaskRunning
		if holds && o.gangs[attemptOf(t.Reservation.Task)] != nil {
			free += t.Reservation.Accelerators
		}
	}
	for _, g := range o.gangs {
		for _, m := range g.members {
			if m.worker == st.info.Name && !m.finished() {
				free -= m.accelerators
			}
		}
	}
	return max(free, 0)
}
