package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// fixed is a configuration that does not change.
type fixed struct{ catalogue *control.Config }

func (f fixed) Config() *control.Config { return f.catalogue }

func (f fixed) Next(ctx context.Context, version int64, wait time.Duration) (Snapshot, error) {
	if version >= f.catalogue.Version {
		sleep(ctx, wait)
		return nil, nil
	}
	return f, nil
}

// floor is a registry of workers in memory.
type floor struct{ runners map[string]*memory.Runner }

func (f floor) Workers(context.Context) ([]platform.RunnerInfo, error) {
	var all []platform.RunnerInfo
	for _, r := range f.runners {
		all = append(all, r.Info())
	}
	return all, nil
}

func (f floor) Runner(info platform.RunnerInfo) platform.Runner { return f.runners[info.ID] }

// starts counts the starts of a job.
func (f floor) starts(id string) int {
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

// site is a few instances on loopback addresses with one store.
type site struct {
	views   []*memory.Store
	entries []*Server
	stops   []func()
	floor   floor
}

const queue = "q"

func newSite(t *testing.T, instances int) *site {
	t.Helper()
	s := &site{floor: floor{map[string]*memory.Runner{}}}
	for i := range 2 {
		id := fmt.Sprintf("w%d", i)
		s.floor.runners[id] = memory.NewRunner(platform.RunnerInfo{
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
	first := memory.NewStore(1)
	source := fixed{&control.Config{
		Version: 1, Queues: map[string]control.Queue{queue: {Name: queue, Service: "s", MaxAttempts: 2, Stretch: 2}},
		Teams: map[string]control.Team{"a": {Name: "a", Guaranteed: 8}},
	}}
	for i, tr := range transports {
		view := first.View(uint64(i))
		s.views = append(s.views, view)
		e := New(Settings{
			Name: seeds[i], DataCentre: "d", Seeds: seeds, MaxConfigAge: 2 * time.Second,
			Timing: control.Timing{Lease: 6 * time.Second, StopTimeout: time.Second, Retention: time.Minute},
		}, Services{
			Store: NewRelayingStore(view, klog.Background()), Registry: s.floor, Dialer: s.floor, Source: source, Peers: tr,
		}, metrics.NewSet(), klog.Background())
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
		s.entries = append(s.entries, e)
		s.stops = append(s.stops, stop)
	}
	return s
}

// within waits until ok, for at most 10 s.
func within(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

func (s *site) submit(t *testing.T, e *Server, id, payload string) control.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	q := control.Queue{Name: queue, Service: "s", MaxAttempts: 2, Stretch: 2}
	return e.Submit(ctx, &batch.Job{
		ID: id, Queue: queue, Team: "a", Payload: payload, Accepted: time.Now(),
		Steps: []batch.Step{{Tasks: 2, Gang: true, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}},
	}, q, 8)
}

func (s *site) state(t *testing.T, e *Server, id string) control.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return e.State(ctx, queue, id)
}

// office returns the position of the instance that plans, or -1.
func (s *site) office() int {
	for i, e := range s.entries {
		if e.planner.Load() != nil {
			return i
		}
	}
	return -1
}

func (s *site) settle(t *testing.T) int {
	t.Helper()
	within(t, "not all instances are ready", func() bool {
		for _, e := range s.entries {
			if !e.Ready() {
				return false
			}
		}
		return true
	})
	within(t, "the workers are not known", func() bool {
		return s.submit(t, s.entries[0], "probe", "1ms").Outcome == control.OutcomeAccepted
	})
	return s.office()
}

func TestAnyInstanceAnswers(t *testing.T) {
	s := newSite(t, 3)
	s.settle(t)
	for i, e := range s.entries {
		id := fmt.Sprintf("job%d", i)
		if v := s.submit(t, e, id, "50ms"); v.Outcome != control.OutcomeAccepted {
			t.Fatalf("instance %d: %+v", i, v)
		}
		if v := s.submit(t, s.entries[(i+1)%3], id, "50ms"); v.Outcome != control.OutcomeAccepted {
			t.Errorf("repeated at another instance: %+v", v)
		}
		within(t, "the job does not end", func() bool { return s.state(t, s.entries[(i+2)%3], id).State == batch.JobDone })
	}
	if v := s.state(t, s.entries[1], "nobody"); v.Outcome != control.OutcomeNotFound {
		t.Errorf("unknown job: %+v", v)
	}
}

func TestStoreTurnsOneInstanceAway(t *testing.T) {
	s := newSite(t, 3)
	s.settle(t)
	for i := range s.views {
		s.views[i].SetFaults(memory.Faults{Outage: true})
		id := fmt.Sprintf("job%d", i)
		if v := s.submit(t, s.entries[i], id, "20ms"); v.Outcome != control.OutcomeAccepted {
			t.Errorf("instance %d: %+v", i, v)
		}
		within(t, "the job does not end", func() bool { return s.state(t, s.entries[i], id).State == batch.JobDone })
		s.views[i].SetFaults(memory.Faults{})
	}
}

func TestStoreIsAwayForAll(t *testing.T) {
	s := newSite(t, 2)
	office := s.settle(t)
	for _, v := range s.views {
		v.SetFaults(memory.Faults{Silent: true})
	}
	v := s.submit(t, s.entries[1-office], "job", "20ms")
	if v.Outcome == control.OutcomeAccepted {
		t.Fatalf("accepted without the store: %+v", v)
	}
	if v.Outcome == control.OutcomeRefused && s.floor.starts("job") > 0 {
		t.Error("a refused job ran")
	}
	for _, v := range s.views {
		v.SetFaults(memory.Faults{})
	}
	within(t, "not accepted after the outage", func() bool {
		return s.submit(t, s.entries[office], "job", "20ms").Outcome == control.OutcomeAccepted
	})
}

func TestPlannerIsReplaced(t *testing.T) {
	ways := map[string]func(s *site, office int){
		"stopped": func(s *site, office int) { s.stops[office]() },
		"drained": func(s *site, office int) { s.entries[office].Drain() },
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			office := s.settle(t)
			other := s.entries[(office+1)%3]
			if v := s.submit(t, other, "before", "1500ms"); v.Outcome != control.OutcomeAccepted {
				t.Fatalf("%+v", v)
			}
			within(t, "the gang does not run", func() bool { return s.floor.starts("before") == 2 })
			way(s, office)
			within(t, "not accepted by the next planner", func() bool {
				return s.submit(t, other, "after", "20ms").Outcome == control.OutcomeAccepted
			})
			for _, id := range []string{"before", "after"} {
				within(t, id+" does not end", func() bool { return s.state(t, other, id).State == batch.JobDone })
			}
			if n := s.floor.starts("before"); n != 2 {
				t.Errorf("%d starts of a gang of 2", n)
			}
		})
	}
}

func TestSeedsCannotBeReached(t *testing.T) {
	s := newSite(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.entries[0].SetSeeds([]string{l.Addr().String()})
	_ = l.Close()
	s.settle(t)
	var unavailable *platform.UnavailableError
	s.views[0].SetFaults(memory.Faults{Outage: true})
	_, err = s.entries[0].services.Store.List(t.Context(), platform.Range{Table: "t"})
	if !errors.As(err, &unavailable) {
		t.Errorf("without the store and without others: %v", err)
	}
}
