package control

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/relay"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// testCluster is a store and workers in memory. Tests run in a bubble of
// package synctest, so time is virtual.
type testCluster struct {
	t       *testing.T
	store   *memory.Store
	mu      sync.Mutex
	runners map[string]*memory.Runner
	// unlisted workers are missing from the registry, leaving ones are about to
	// exit.
	unlisted map[string]bool
	leaving  map[string]bool
	// frozenHeartbeats holds the last heartbeat version of workers that have
	// stopped sending heartbeats.
	frozenHeartbeats map[string]int64
	config           *Config
	// evacuations are the data centres to evacuate; evacuationsUnknown is set while
	// the planner cannot know them.
	evacuations        evacuation.Set
	evacuationsUnknown bool
	lastIncarnation    uint64
	// wrapRunner replaces the connection to a worker, if it is not nil.
	wrapRunner func(platform.Runner) platform.Runner
	adviser    platform.Adviser
	// router reaches the workers, if it is not nil.
	router *relay.Router
	// registryDelay is how long a read of the registry takes.
	registryDelay time.Duration
	// maxRowBytes is what the planner knows of the store, or 0.
	maxRowBytes int
	// foreign lists and reaches the workers, if it is not nil.
	foreign *foreignEntries
}

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 1500 * time.Millisecond

// leaseDuration is the longest lease of a worker.
const leaseDuration = 6 * time.Second

// stopTimeout is the longest time that stopping a run takes.
const stopTimeout = 900 * time.Millisecond

// newTestCluster returns a cluster with racks of 8 workers, each with 64 cores
// and 8 accelerators.
func newTestCluster(t *testing.T, workers int) *testCluster {
	f := &testCluster{
		t: t, store: memory.NewStore(1), runners: map[string]*memory.Runner{},
		unlisted: map[string]bool{}, leaving: map[string]bool{}, frozenHeartbeats: map[string]int64{},
		config: &Config{
			Version: 1,
			Queues: map[string]Queue{
				"urgent": {Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 2, Target: time.Second},
				"later":  {Name: "later", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second},
			},
			Teams: map[string]Team{"a": {Name: "a", Guaranteed: 32}, "b": {Name: "b", Guaranteed: 32}},
		},
	}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		f.runners[id] = memory.NewRunner(platform.RunnerInfo{
			ID: id, Service: "s", Address: id, Rack: fmt.Sprintf("r%d", i/8),
			Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8},
		}, uint64(i))
	}
	return f
}

// Workers implements Registry.
func (f *testCluster) Workers(context.Context) ([]platform.RunnerInfo, error) {
	time.Sleep(f.registryDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []platform.RunnerInfo
	for id, r := range f.runners {
		if f.unlisted[id] {
			continue
		}
		info := r.Info()
		info.Leaving = f.leaving[id]
		info.HeartbeatVersion = time.Now().UnixNano() / int64(heartbeatInterval)
		if version, ok := f.frozenHeartbeats[id]; ok {
			info.HeartbeatVersion = version
		}
		all = append(all, info)
	}
	return all, nil
}

// Runner implements Dialer.
func (f *testCluster) Runner(info platform.RunnerInfo) platform.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.runners[info.Address]; r != nil {
		if f.wrapRunner != nil {
			return f.wrapRunner(r)
		}
		return r
	}
	unreachable := memory.NewRunner(info, 0)
	unreachable.SetFaults(memory.Faults{Outage: true})
	return unreachable
}

// startPlanner acquires a term and runs a planner until the returned function
// is called.
func (f *testCluster) startPlanner() (*Planner, func()) {
	f.t.Helper()
	f.lastIncarnation++
	ctx, cancel := context.WithCancel(f.t.Context())
	elector := term.New(f.store, fmt.Sprintf("p%d", f.lastIncarnation), f.lastIncarnation)
	last, err := elector.Leader(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	timing := Timing{Lease: leaseDuration, StopTimeout: stopTimeout, Heartbeat: heartbeatInterval, Retention: time.Minute}
	former := FormerLeases(last, time.Now(), timing)
	planningTerm, err := elector.Acquire(ctx, last, timing.LeaseTail(former, time.Now()))
	if err != nil {
		f.t.Fatal(err)
	}
	var dialer Dialer = f
	var registry Registry = f
	switch {
	case f.router != nil:
		dialer = f.router
	case f.foreign != nil:
		dialer, registry = f.foreign, f.foreign
	}
	p := New(Dependencies{
		Term: planningTerm, Store: f.store, Registry: registry, Dialer: dialer, Adviser: f.adviser, Config: f.currentConfig,
		Evacuations: f.knownEvacuations,
		Timing:      timing, FormerLeasesEnd: former, MaxRowBytes: f.maxRowBytes,
		Log: klog.Background(), Metrics: meter.NewSet(),
	})
	if err := p.Load(ctx); err != nil {
		f.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	return p, func() {
		cancel()
		<-done
	}
}

// currentConfig implements Dependencies.Config.
func (f *testCluster) currentConfig() *Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// removeQueue replaces the configuration by one without the queue.
func (f *testCluster) removeQueue(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.config
	next.Queues = maps.Clone(next.Queues)
	delete(next.Queues, name)
	f.config = &next
}

// knownEvacuations implements Dependencies.Evacuations.
func (f *testCluster) knownEvacuations() (evacuation.Set, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations, !f.evacuationsUnknown
}

// evacuate replaces the data centres to evacuate.
func (f *testCluster) evacuate(dataCentres ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = evacuation.New(f.evacuations.Version()+1, dataCentres...)
}

// batchJob returns a job with one step in a team's queue.
func batchJob(id, queue, team, payload string, step batch.Step) *batch.Job {
	return &batch.Job{
		ID: id, Queue: queue, Team: team, Payload: payload, Steps: []batch.Step{step}, AcceptedAt: time.Now(),
	}
}

// gang returns a step whose tasks start together.
func gang(tasks int, accelerators int64) batch.Step {
	return batch.Step{
		Tasks: tasks, Gang: true, Adjacent: true, Estimate: time.Second,
		Need: batch.Resources{MilliCPU: 7000, MemoryMB: 11000, Accelerators: accelerators},
	}
}

// submit submits a job and requires that it is accepted.
func (f *testCluster) submit(p *Planner, j *batch.Job) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer cancel()
	if v := p.Submit(ctx, EncodeJob(j, f.config.Queues[j.Queue], f.config.Teams[j.Team].Guaranteed), 0); v.Outcome != OutcomeAccepted {
		f.t.Fatalf("job %s: outcome %d, %s", j.ID, v.Outcome, v.Reason)
	}
}

// expectState checks the visible state of a job.
func (f *testCluster) expectState(p *Planner, queue, id string, want batch.JobState) {
	f.t.Helper()
	if v := p.State(JobRef{ID: id, Queue: queue}); v.Outcome != OutcomeOK || v.State != want {
		f.t.Errorf("job %s at %v: outcome %d, state %d, want %d", id, time.Now().Format("05.000"), v.Outcome, v.State, want)
	}
}

// countStarts counts the starts of a job on all workers.
func (f *testCluster) countStarts(id string) int {
	n := 0
	for _, r := range f.runners {
		for _, s := range r.Starts() {
			if s.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// runnerOf returns a worker that runs a task of a job.
func (f *testCluster) runnerOf(id string) *memory.Runner {
	for _, r := range f.runners {
		for _, s := range r.Running() {
			if s.Task.Job == id {
				return r
			}
		}
	}
	f.t.Fatalf("no worker runs job %s", id)
	return nil
}

// announceLeaving makes a worker announce that it will exit after its runs.
func (f *testCluster) announceLeaving(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[r.Info().ID] = true
}

// stopHeartbeats stops the heartbeats of a worker.
func (f *testCluster) stopHeartbeats(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozenHeartbeats[r.Info().ID] = time.Now().UnixNano() / int64(heartbeatInterval)
}

// unlist removes the registry entry of a worker.
func (f *testCluster) unlist(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[r.Info().ID] = true
}

// awaitRegistry waits until a planner has read the registry.
func (f *testCluster) awaitRegistry() { time.Sleep(registryPollInterval + 10*time.Millisecond) }

// list restores the registry entry of a worker.
func (f *testCluster) list(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unlisted, r.Info().ID)
}

// relayGroup is a group of instances through which a planner reaches the
// workers.
type relayGroup struct {
	servers map[string]*relay.Server
	mu      sync.Mutex
	// resumeAt is when a frozen instance resumes.
	resumeAt map[string]time.Time
}

// addRelays makes n instances relay the calls to the workers.
func (f *testCluster) addRelays(n int) *relayGroup {
	g := &relayGroup{servers: map[string]*relay.Server{}, resumeAt: map[string]time.Time{}}
	for i := range n {
		g.servers[string(rune('a'+i))] = relay.NewServer(f, func() error { return nil }, klog.Background())
	}
	// Calls in progress end by themselves.
	f.t.Cleanup(func() { time.Sleep(5 * time.Second) })
	f.router = relay.NewRouter(g, f, 1, func() bool { return true }, klog.Background())
	return g
}

// freeze pauses an instance for a while.
func (g *relayGroup) freeze(name string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumeAt[name] = time.Now().Add(d)
}

// Peers implements relay.Group.
func (g *relayGroup) Peers() []member.Peer {
	var all []member.Peer
	for name := range g.servers {
		all = append(all, member.Peer{
			Instance: platform.Instance{Name: name, Weight: 1, State: platform.StateLive}, Connected: true, Health: member.HealthAlive,
		})
	}
	return all
}

// Call implements relay.Group.
func (g *relayGroup) Call(ctx context.Context, name, method string, request, response proto.Message) error {
	answer := make(chan proto.Message, 1)
	go func() {
		g.mu.Lock()
		resumes := g.resumeAt[name]
		g.mu.Unlock()
		time.Sleep(max(time.Until(resumes), time.Millisecond))
		a, err := g.servers[name].Exchange(context.WithoutCancel(ctx), platform.Instance{Name: "planner"}, request.(*schema.RelayRequest))
		if err == nil {
			answer <- a
		}
	}()
	select {
	case a := <-answer:
		proto.Merge(response, a)
		return nil
	case <-ctx.Done():
		return &member.UnknownOutcomeError{Instance: name, Method: method, Cause: ctx.Err()}
	}
}
