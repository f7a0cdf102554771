package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/relay"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// floor is a store and workers in memory. Tests run in a bubble of package
// synctest, so its time is virtual.
type floor struct {
	t       *testing.T
	store   *memory.Store
	mu      sync.Mutex
	runners map[string]*memory.Runner
	// unlisted workers are missing from the registry, leaving ones are about
	// to exit.
	unlisted map[string]bool
	leaving  map[string]bool
	// silent workers send no heartbeat any more.
	silent    map[string]int64
	catalogue *Config
	serial    uint64
	// wrap changes how workers are reached, if it is not nil.
	wrap    func(platform.Runner) platform.Runner
	adviser platform.Adviser
	// router reaches the workers, if it is not nil.
	router *relay.Router
}

// heartbeat is the time between two heartbeats of a worker of the floor.
const heartbeat = 1500 * time.Millisecond

// lease is the longest lease of a worker of the floor.
const lease = 6 * time.Second

// stopTime is the longest time that the end of a run takes.
const stopTime = 900 * time.Millisecond

// newFloor returns a floor of racks with 8 workers of 64 cores and 8
// accelerators each.
func newFloor(t *testing.T, workers int) *floor {
	f := &floor{
		t: t, store: memory.NewStore(1), runners: map[string]*memory.Runner{},
		unlisted: map[string]bool{}, leaving: map[string]bool{}, silent: map[string]int64{},
		catalogue: &Config{
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
func (f *floor) Workers(context.Context) ([]platform.RunnerInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []platform.RunnerInfo
	for id, r := range f.runners {
		if f.unlisted[id] {
			continue
		}
		info := r.Info()
		info.Leaving = f.leaving[id]
		info.HeartbeatVersion = time.Now().UnixNano() / int64(heartbeat)
		if beat, ok := f.silent[id]; ok {
			info.HeartbeatVersion = beat
		}
		all = append(all, info)
	}
	return all, nil
}

// Runner implements Dialer.
func (f *floor) Runner(info platform.RunnerInfo) platform.Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.runners[info.Address]; r != nil {
		if f.wrap != nil {
			return f.wrap(r)
		}
		return r
	}
	gone := memory.NewRunner(info, 0)
	gone.SetFaults(memory.Faults{Outage: true})
	return gone
}

// planner seizes the office and runs a planner until stop is called.
func (f *floor) planner() (*Planner, func()) {
	f.t.Helper()
	f.serial++
	ctx, cancel := context.WithCancel(f.t.Context())
	office := term.New(f.store, fmt.Sprintf("p%d", f.serial), f.serial)
	last, err := office.Leader(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	seized, err := office.Acquire(ctx, last)
	if err != nil {
		f.t.Fatal(err)
	}
	var dialer Dialer = f
	if f.router != nil {
		dialer = f.router
	}
	p := New(Dependencies{
		Term: seized, Store: f.store, Registry: f, Dialer: dialer, Adviser: f.adviser, Config: func() *Config { return f.catalogue },
		Timing: Timing{Lease: lease, StopTimeout: stopTime, Heartbeat: heartbeat, Retention: time.Minute},
		Log:    klog.Background(), Metrics: metrics.NewSet(),
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

// batchJob returns a job of one step in the queue of a team.
func batchJob(id, queue, team, payload string, step batch.Step) *batch.Job {
	return &batch.Job{
		ID: id, Queue: queue, Team: team, Payload: payload, Steps: []batch.Step{step}, Accepted: time.Now(),
	}
}

// gang is a step of tasks that start together.
func gang(tasks int, accelerators int64) batch.Step {
	return batch.Step{
		Tasks: tasks, Gang: true, Adjacent: true, Estimate: time.Second,
		Need: batch.Resources{MilliCPU: 7000, MemoryMB: 11000, Accelerators: accelerators},
	}
}

// submit hands a job in and expects its acceptance.
func (f *floor) submit(p *Planner, j *batch.Job) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer cancel()
	if v := p.Submit(ctx, EncodeJob(j, f.catalogue.Queues[j.Queue], f.catalogue.Teams[j.Team].Guaranteed), 0); v.Outcome != OutcomeAccepted {
		f.t.Fatalf("job %s: outcome %d, %s", j.ID, v.Outcome, v.Reason)
	}
}

// expect checks the shown state of a job.
func (f *floor) expect(p *Planner, queue, id string, want batch.JobState) {
	f.t.Helper()
	if v := p.State(queue, id); v.Outcome != OutcomeOK || v.State != want {
		f.t.Errorf("job %s at %v: outcome %d, state %d, want %d", id, time.Now().Format("05.000"), v.Outcome, v.State, want)
	}
}

// starts counts the starts of a job on all workers.
func (f *floor) starts(id string) int {
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

// on returns a worker that runs a task of a job.
func (f *floor) on(id string) *memory.Runner {
	for _, r := range f.runners {
		for _, s := range r.Running() {
			if s.Task.Job == id {
				return r
			}
		}
	}
	f.t.Fatalf("job %s runs nowhere", id)
	return nil
}

// leave makes a worker announce that it will exit after its runs.
func (f *floor) leave(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[r.Info().ID] = true
}

// silence ends the heartbeats of a worker.
func (f *floor) silence(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[r.Info().ID] = time.Now().UnixNano() / int64(heartbeat)
}

// drop removes the entry of a worker.
func (f *floor) drop(r *memory.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[r.Info().ID] = true
}

// relays are instances through which a planner reaches the workers.
type relays struct {
	desks map[string]*relay.Server
	mu    sync.Mutex
	// resumes is when a frozen instance goes on.
	resumes map[string]time.Time
}

// relay lets n instances make the calls to the workers.
func (f *floor) relay(n int) *relays {
	g := &relays{desks: map[string]*relay.Server{}, resumes: map[string]time.Time{}}
	for i := range n {
		g.desks[string(rune('a'+i))] = relay.NewServer(f, klog.Background())
	}
	// Calls that were begun end by themselves.
	f.t.Cleanup(func() { time.Sleep(5 * time.Second) })
	f.router = relay.NewRouter(g, f, 1, func() bool { return true }, klog.Background())
	return g
}

// freeze stops an instance for a while.
func (g *relays) freeze(name string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumes[name] = time.Now().Add(d)
}

// Peers implements relay.Group.
func (g *relays) Peers() []member.Peer {
	var all []member.Peer
	for name := range g.desks {
		all = append(all, member.Peer{
			Instance: platform.Instance{Name: name, Weight: 1, State: platform.StateLive}, Connected: true, Health: member.HealthAlive,
		})
	}
	return all
}

// Call implements relay.Group.
func (g *relays) Call(ctx context.Context, name, method string, request, response proto.Message) error {
	answer := make(chan proto.Message, 1)
	go func() {
		g.mu.Lock()
		resumes := g.resumes[name]
		g.mu.Unlock()
		time.Sleep(max(time.Until(resumes), time.Millisecond))
		a, err := g.desks[name].Exchange(context.WithoutCancel(ctx), platform.Instance{Name: "planner"}, request.(*schema.RelayRequest))
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
