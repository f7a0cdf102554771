package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// staticSource is a source and snapshot of a configuration that never changes.
type staticSource struct{ config *control.Config }

func (f staticSource) Config() *control.Config { return f.config }

func (f staticSource) Next(ctx context.Context, version int64, wait time.Duration) (Update, error) {
	if version >= f.config.Version {
		sleep(ctx, wait)
		return Update{}, nil
	}
	return Update{Snapshot: f}, nil
}

// workerPool is a registry and dialer of in-memory workers.
type workerPool struct{ runners map[string]*memory.Runner }

func (f workerPool) Workers(context.Context) ([]platform.RunnerInfo, error) {
	var all []platform.RunnerInfo
	for _, r := range f.runners {
		all = append(all, r.Info())
	}
	return all, nil
}

func (f workerPool) Runner(info platform.RunnerInfo) platform.Runner { return f.runners[info.ID] }

// starts returns the number of task starts of a job.
func (f workerPool) starts(id string) int {
	n := 0
	for _, r := range f.runners {
		for _, run := range r.Starts() {
			if run.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// cluster is a set of instances on loopback addresses that share a store.
type cluster struct {
	views   []*memory.Store
	servers []*Server
	stops   []func()
	pool    workerPool
}

const queue = "q"

func newCluster(t *testing.T, instances int) *cluster {
	t.Helper()
	s := &cluster{pool: workerPool{map[string]*memory.Runner{}}}
	for i := range 2 {
		id := fmt.Sprintf("w%d", i)
		s.pool.runners[id] = memory.NewRunner(platform.RunnerInfo{
			ID: id, Service: "s", Rack: "r", Address: id,
			Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 100000, Accelerators: 8},
		}, 1)
	}
	var seeds []string
	var transports []*member.TCP
	for range instances {
		tr, err := member.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		transports = append(transports, tr)
		seeds = append(seeds, tr.Addr())
	}
	store := memory.NewStore(1)
	source := staticSource{&control.Config{
		Version: 1, Queues: map[string]control.Queue{queue: {Name: queue, Service: "s", MaxAttempts: 2, Stretch: 2}},
		Teams: map[string]control.Team{"a": {Name: "a", Guaranteed: 8}},
	}}
	for i, tr := range transports {
		view := store.View(uint64(i))
		s.views = append(s.views, view)
		e := New(Settings{
			Name: seeds[i], DataCentre: "d", Seeds: seeds, MaxConfigAge: 2 * time.Second,
			Timing: control.Timing{Lease: 6 * time.Second, StopTimeout: time.Second, Retention: time.Minute},
		}, Services{
			Store: NewRelayingStore(view, klog.Background()), Registry: s.pool, Dialer: s.pool, Source: source, Peers: tr,
		}, meter.NewSet(), klog.Background())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := e.Run(ctx); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		}()
		stop := func() {
			cancel()
			_ = tr.Close()
			<-done
		}
		t.Cleanup(stop)
		s.servers = append(s.servers, e)
		s.stops = append(s.stops, stop)
	}
	return s
}

// waitFor waits up to 10 s until ok returns true, and fails the test otherwise.
func waitFor(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(failure)
}

func (s *cluster) submit(t *testing.T, e *Server, id, payload string) control.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	q := control.Queue{Name: queue, Service: "s", MaxAttempts: 2, Stretch: 2}
	return e.Submit(ctx, &batch.Job{
		ID: id, Queue: queue, Team: "a", Payload: payload, AcceptedAt: time.Now(),
		Steps: []batch.Step{{Tasks: 2, Gang: true, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}},
	}, q, 8)
}

func (s *cluster) state(t *testing.T, e *Server, id string) control.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return e.State(ctx, control.JobRef{ID: id, Queue: queue})
}

// plannerIndex returns the index of the instance that runs the planner, or -1.
func (s *cluster) plannerIndex() int {
	for i, e := range s.servers {
		if e.planner.Load() != nil {
			return i
		}
	}
	return -1
}

func (s *cluster) waitReady(t *testing.T) int {
	t.Helper()
	waitFor(t, "not all instances are ready", func() bool {
		for _, e := range s.servers {
			if !e.Ready() {
				return false
			}
		}
		return true
	})
	waitFor(t, "no job is accepted", func() bool {
		return s.submit(t, s.servers[0], "probe", "1ms").Outcome == control.OutcomeAccepted
	})
	return s.plannerIndex()
}

func TestAnyInstanceAnswers(t *testing.T) {
	s := newCluster(t, 3)
	s.waitReady(t)
	for i, e := range s.servers {
		id := fmt.Sprintf("job%d", i)
		if v := s.submit(t, e, id, "50ms"); v.Outcome != control.OutcomeAccepted {
			t.Fatalf("instance %d: %+v", i, v)
		}
		if v := s.submit(t, s.servers[(i+1)%3], id, "50ms"); v.Outcome != control.OutcomeAccepted {
			t.Errorf("repeated submission to another instance: %+v", v)
		}
		waitFor(t, "the job does not complete", func() bool { return s.state(t, s.servers[(i+2)%3], id).State == batch.JobDone })
	}
	if v := s.state(t, s.servers[1], "nobody"); v.Outcome != control.OutcomeNotFound {
		t.Errorf("unknown job: %+v", v)
	}
}

func TestStoreTurnsOneInstanceAway(t *testing.T) {
	s := newCluster(t, 3)
	s.waitReady(t)
	for i := range s.views {
		s.views[i].SetFaults(memory.Faults{Outage: true})
		id := fmt.Sprintf("job%d", i)
		if v := s.submit(t, s.servers[i], id, "20ms"); v.Outcome != control.OutcomeAccepted {
			t.Errorf("instance %d: %+v", i, v)
		}
		waitFor(t, "the job does not complete", func() bool { return s.state(t, s.servers[i], id).State == batch.JobDone })
		s.views[i].SetFaults(memory.Faults{})
	}
}

func TestStoreIsAwayForAll(t *testing.T) {
	s := newCluster(t, 2)
	planner := s.waitReady(t)
	for _, v := range s.views {
		v.SetFaults(memory.Faults{Silent: true})
	}
	v := s.submit(t, s.servers[1-planner], "job", "20ms")
	if v.Outcome == control.OutcomeAccepted {
		t.Fatalf("accepted while the store is unavailable: %+v", v)
	}
	if v.Outcome == control.OutcomeRefused && s.pool.starts("job") > 0 {
		t.Error("a refused job was started")
	}
	for _, v := range s.views {
		v.SetFaults(memory.Faults{})
	}
	waitFor(t, "job not accepted after the outage", func() bool {
		return s.submit(t, s.servers[planner], "job", "20ms").Outcome == control.OutcomeAccepted
	})
}

func TestPlannerIsReplaced(t *testing.T) {
	shutdowns := map[string]func(s *cluster, planner int){
		"stopped": func(s *cluster, planner int) { s.stops[planner]() },
		"drained": func(s *cluster, planner int) { s.servers[planner].Drain() },
	}
	for name, shutDown := range shutdowns {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t, 3)
			planner := s.waitReady(t)
			other := s.servers[(planner+1)%3]
			if v := s.submit(t, other, "before", "1500ms"); v.Outcome != control.OutcomeAccepted {
				t.Fatalf("%+v", v)
			}
			waitFor(t, "the gang does not start", func() bool { return s.pool.starts("before") == 2 })
			shutDown(s, planner)
			waitFor(t, "job not accepted by the next planner", func() bool {
				return s.submit(t, other, "after", "20ms").Outcome == control.OutcomeAccepted
			})
			for _, id := range []string{"before", "after"} {
				waitFor(t, id+" does not complete", func() bool { return s.state(t, other, id).State == batch.JobDone })
			}
			if n := s.pool.starts("before"); n != 2 {
				t.Errorf("%d starts of a gang of 2", n)
			}
		})
	}
}

func TestSeedsCannotBeReached(t *testing.T) {
	s := newCluster(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.servers[0].SetSeeds([]string{l.Addr().String()})
	_ = l.Close()
	s.waitReady(t)
	var unavailable *platform.UnavailableError
	s.views[0].SetFaults(memory.Faults{Outage: true})
	_, err = s.servers[0].services.Store.List(t.Context(), platform.Range{Table: "t"})
	if !errors.As(err, &unavailable) {
		t.Errorf("without the store and without peers: error %v, want *platform.UnavailableError", err)
	}
}
