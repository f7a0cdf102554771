// Package rack runs racks as their owner: it claims the workers of a rack under
// a generation, starts, stops and evicts gangs in two steps, recovers running
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

// Owner runs one rack.
type Owner struct {
	rack  string
	self  string
	fleet platform.Fleet
	sink  OutcomeHandler
	log   klog.Logger
	ready chan struct{}

	mu         sync.Mutex
	generation platform.Generation
	// clock counts commands and claims, to order inventories among them.
	clock    uint64
	stations map[string]*station
	gangs    map[ref]*gang
	// closed holds the attempts that were settled here. What workers still
	// hold of them is removed.
	closed map[ref]bool
	// expiry lists the closed attempts in order of time.
	expiry []closing
	run    *running
	begun  time.Time
	lost   *platform.DeniedError
	// draining refuses new gangs during a hand-over.
	draining bool
	starts   sync.WaitGroup
}

// running holds what goroutines started by the owner belong to.
type running struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns an owner of rack that acts under the instance name self.
func New(rack, self string, workers []platform.WorkerInfo, fleet platform.Fleet, sink OutcomeHandler, options ...Option) *Owner {
	s := newSettings(options)
	o := &Owner{
		rack:     rack,
		self:     self,
		fleet:    fleet,
		sink:     sink,
		log:      s.log.WithValues("rack", rack),
		ready:    make(chan struct{}),
		stations: map[string]*station{},
		gangs:    map[ref]*gang{},
		closed:   map[ref]bool{},
	}
	o.SetWorkers(workers)
	return o
}

// Run claims the rack and keeps it until ctx ends or the rack is lost, which
// is reported as *LostError. An owner runs once.
func (o *Owner) Run(ctx context.Context) error {
	s, err := survey(ctx, o.rack, o.clients())
	if err != nil {
		return err
	}
	return o.runAfter(ctx, s)
}

// runAfter is Run with what a survey has found.
func (o *Owner) runAfter(ctx context.Context, s surveyed) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &running{ctx: ctx, cancel: cancel}
	o.begin(r, s.generation.Next(o.self))
	o.awaitClaims(ctx)
	o.recover()
	<-ctx.Done()
	o.stopRun(r)
	r.wait.Wait()
	return o.lostError()
}

func (o *Owner) begin(r *running, g platform.Generation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation = g
	o.begun = time.Now()
	o.run = r
	o.log.Info("claiming rack", "generation", g.Number)
	for _, st := range o.stations {
		st.renewed = o.begun
		o.spawn(func(ctx context.Context) { o.keep(ctx, st) })
	}
}

// stopRun prevents further goroutines and commands.
func (o *Owner) stopRun(r *running) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.cancel()
	o.run = nil
}

// spawn runs f as a part of the owner, unless that has ended. The caller holds
// the lock.
func (o *Owner) spawn(f func(ctx context.Context)) {
	r := o.run
	if r == nil {
		return
	}
	r.wait.Go(func() { f(r.ctx) })
}

// lose ends the owner, because a worker obeys a higher generation.
func (o *Owner) lose(d *platform.DeniedError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost != nil || d.Generation.Compare(o.generation) <= 0 {
		return
	}
	o.lost = d
	o.log.Info("rack is lost", "generation", o.generation.Number, "holder", d.Generation.Holder)
	if o.run != nil {
		o.run.cancel()
	}
}

func (o *Owner) lostError() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost == nil {
		return nil
	}
	return &OwnershipLostError{Rack: o.rack, Own: o.generation, Denied: o.lost}
}

// Ready is closed when the rack is claimed and the gangs on all workers that
// answered are recovered.
func (o *Owner) Ready() <-chan struct{} { return o.ready }

func (o *Owner) isReady() bool {
	select {
	case <-o.ready:
		return true
	default:
		return false
	}
}

// SetWorkers replaces the list of the rack's workers. A worker that is no
// longer listed is kept while it has tasks and answers, because the list lags.
func (o *Owner) SetWorkers(workers []platform.WorkerInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, st := range o.stations {
		st.listed = false
	}
	for _, w := range workers {
		if st := o.stations[w.Name]; st != nil {
			st.info, st.listed = w, true
			continue
		}
		client, err := o.fleet.Worker(w.Name)
		if err != nil {
			o.log.Error(err, "worker has no client", "worker", w.Name)
			continue
		}
		st := newStation(w, client)
		o.stations[w.Name] = st
		st.renewed = time.Now()
		o.spawn(func(ctx context.Context) { o.keep(ctx, st) })
	}
}

func (o *Owner) clients() map[string]platform.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := map[string]platform.Worker{}
	for name, st := range o.stations {
		all[name] = st.client
	}
	return all
}

// Release gives the rack up: it waits for starts under way, at most for a
// second, ends Run, and ends the leases, so that the next owner need not wait.
func (o *Owner) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
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

// Summary returns the state of the rack.
func (o *Owner) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	s := Summary{Rack: o.rack, Generation: o.generation}
	for _, st := range o.stations {
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
			s.Running = append(s.Running, g.running())
		}
	}
	slices.SortFunc(s.Workers, func(a, b WorkerSummary) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Running, func(a, b RunningGang) int { return strings.Compare(a.Job, b.Job) })
	return s
}

// free returns the accelerators of a worker that no gang uses or is about to
// use. The inventory may be older than the latest commands.
func (o *Owner) free(st *station) int {
	if !st.claimed {
		return 0
	}
	free := st.inventory.Free
	for _, t := range st.inventory.Tasks {
		holds := t.State == platform.TaskReserved || t.State == platform.TaskRunning
		if holds && o.gangs[refOf(t.Reservation.Task)] != nil {
			free += t.Reservation.Accelerators
		}
	}
	for _, g := range o.gangs {
		for _, p := range g.members {
			if p.worker == st.info.Name && !p.over() {
				free -= p.accelerators
			}
		}
	}
	return max(free, 0)
}
