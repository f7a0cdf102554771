package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/uptime"
)

// group is an in-process group of instances, each with a server.
type group struct {
	mu      sync.Mutex
	peers   []member.Peer
	servers map[string]*Server
	// delay is the one-way latency of a message.
	delay time.Duration
	// frozen instances answer only once they are unfrozen, unreachable ones have
	// no session, and the answers of those in dropAnswers are lost.
	frozen, unreachable, dropAnswers map[string]bool
	exchanges, calls                 int
	payloads                         int
}

func newGroup(dialer Dialer, names ...string) *group {
	g := &group{
		servers: map[string]*Server{}, frozen: map[string]bool{}, unreachable: map[string]bool{}, dropAnswers: map[string]bool{},
		delay: time.Millisecond,
	}
	for _, n := range names {
		g.servers[n] = NewServer(dialer, allowStarts, klog.Background())
		g.peers = append(g.peers, member.Peer{
			Instance:  platform.Instance{Name: n, DataCentre: "x", Weight: 1, State: platform.StateLive},
			Connected: true, Health: member.HealthAlive, Values: map[string][]byte{},
		})
	}
	return g
}

// Peers implements Group.
func (g *group) Peers() []member.Peer { return g.peers }

// Call implements Group.
func (g *group) Call(ctx context.Context, instance, method string, request, response proto.Message) error {
	g.mu.Lock()
	m := request.(*schema.RelayRequest)
	g.exchanges++
	g.calls += len(m.GetCalls())
	g.payloads += len(m.GetPayloads())
	unreachable, dropAnswers := g.unreachable[instance], g.dropAnswers[instance]
	g.mu.Unlock()
	if unreachable {
		return &member.NotExecutedError{Instance: instance, Method: method, Cause: &member.UnreachableError{Instance: instance}}
	}
	answer := make(chan proto.Message, 1)
	go func() {
		time.Sleep(g.delay)
		for g.isSet(g.frozen, instance) {
			time.Sleep(10 * time.Millisecond)
		}
		a, err := g.servers[instance].Exchange(context.WithoutCancel(ctx), platform.Instance{Name: "planner"}, m)
		if err == nil && !dropAnswers {
			time.Sleep(g.delay)
			answer <- a
		}
	}()
	select {
	case a := <-answer:
		proto.Merge(response, a)
		return nil
	case <-ctx.Done():
		return &member.UnknownOutcomeError{Instance: instance, Method: method, Cause: ctx.Err()}
	}
}

func (g *group) isSet(faults map[string]bool, instance string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return faults[instance]
}

func (g *group) setFault(faults map[string]bool, instance string, enabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	faults[instance] = enabled
}

// workers is a dialer that returns in-memory runners by worker id.
type workers map[string]*memory.Runner

func (w workers) Runner(info platform.RunnerInfo) platform.Runner { return w[info.ID] }

func newWorkers(n int) workers {
	w := workers{}
	for i := range n {
		id := fmt.Sprint("w", i)
		w[id] = memory.NewRunner(platform.RunnerInfo{
			ID: id, Address: id, DataCentre: "x", Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 1 << 17, Accelerators: 8},
		}, uint64(i))
	}
	return w
}

func run(index int) platform.Run {
	return platform.Run{Task: batch.TaskID{Job: "j", Index: index}, Number: 1}
}

func start(r platform.Run, payload string) platform.StartRequest {
	return platform.StartRequest{Run: r, Generation: 1, LeaseDeadline: time.Hour, Payload: payload}
}

// alwaysRelay makes a router send all calls through relays.
func alwaysRelay() bool { return true }

func TestCallsThroughAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(1)
		g := newGroup(w, "a")
		r := NewRouter(g, workers{}, 7, alwaysRelay, klog.Background()).Runner(w["w0"].Info())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if at, err := r.Start(ctx, start(run(0), "300ms")); err != nil || at <= 0 {
			t.Fatalf("start: clock %v, error %v", at, err)
		}
		began := time.Now()
		state, err := r.RenewLease(ctx, platform.RenewLeaseRequest{Generation: 1, LeaseDeadline: time.Hour, Wait: time.Second})
		if err != nil || len(state.Ended) != 1 || state.Ended[0].Run != run(0) || state.Ended[0].Outcome != platform.RunDone {
			t.Errorf("lease renewal: %+v, error %v", state, err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("the ended task was reported after %v", took)
		}
		var stale *platform.StaleRunError
		if _, err := r.Start(ctx, start(run(0), "1s")); !errors.As(err, &stale) || stale.Clock <= 0 {
			t.Errorf("start of a run that has ended: error %v", err)
		}
		var fenced *platform.FencedError
		if _, err := r.Stop(ctx, platform.StopRequest{Run: run(1)}); !errors.As(err, &fenced) {
			t.Errorf("stop with an earlier generation: error %v", err)
		}
	})
}

// TestManyCallsInFewMessages checks that the starts of a step with many tasks are
// batched and that their common payload is sent once per request.
func TestManyCallsInFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(50)
		g := newGroup(w, "a")
		router := NewRouter(g, workers{}, 7, alwaysRelay, klog.Background())
		var group sync.WaitGroup
		for _, worker := range w {
			for n := range 4 {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					if _, err := router.Runner(worker.Info()).Start(ctx, start(run(n), "10s")); err != nil {
						t.Error(err)
					}
				})
			}
		}
		group.Wait()
		if g.calls != 200 || g.exchanges > 8 || g.payloads > g.exchanges {
			t.Errorf("%d calls in %d messages with %d payloads", g.calls, g.exchanges, g.payloads)
		}
	})
}

// TestFailingInstance makes the relay fail. A call that was executed must not be
// reported as not executed, and later calls must go through another relay.
func TestFailingInstance(t *testing.T) {
	for name, c := range map[string]struct {
		injectFault func(g *group, instance string, on bool)
		// unsent is set if the first call is certainly not executed.
		unsent bool
		starts int
	}{
		"no session with relay": {func(g *group, i string, enabled bool) { g.setFault(g.unreachable, i, enabled) }, true, 1},
		"answers are lost":      {func(g *group, i string, enabled bool) { g.setFault(g.dropAnswers, i, enabled) }, false, 1},
		"relay is frozen":       {func(g *group, i string, enabled bool) { g.setFault(g.frozen, i, enabled) }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkers(1)
				g := newGroup(w, "a", "b")
				router := NewRouter(g, workers{}, 7, alwaysRelay, klog.Background())
				r := router.Runner(w["w0"].Info())
				first := router.clientFor(w["w0"].Info()).instance
				c.injectFault(g, first, true)
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err := r.Start(ctx, start(run(0), "10s"))
				cancel()
				var unknown *platform.UnknownOutcomeError
				var unavailable *platform.UnavailableError
				if c.unsent && !errors.As(err, &unavailable) || !c.unsent && !errors.As(err, &unknown) {
					t.Errorf("first start: %v", err)
				}
				ctx, cancel = context.WithTimeout(t.Context(), 500*time.Millisecond)
				if _, err := r.Start(ctx, start(run(0), "10s")); err != nil {
					t.Errorf("second start: %v", err)
				}
				cancel()
				time.Sleep(4 * time.Second)
				c.injectFault(g, first, false)
				time.Sleep(time.Second)
				if n := len(w["w0"].Starts()); n != c.starts {
					t.Errorf("the run was started %d times", n)
				}
				if again := router.clientFor(w["w0"].Info()).instance; again != first {
					t.Errorf("calls go through %s after %s has recovered", again, first)
				}
			})
		})
	}
}

// TestWholeDataCentreFails checks that calls are made directly when no relay is
// available.
func TestWholeDataCentreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(1)
		g := newGroup(w, "a")
		g.setFault(g.unreachable, "a", true)
		r := NewRouter(g, w, 7, alwaysRelay, klog.Background()).Runner(w["w0"].Info())
		for try := range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			_, err := r.RenewLease(ctx, platform.RenewLeaseRequest{Generation: 1})
			cancel()
			if (err == nil) != (try == 1) {
				t.Errorf("try %d: %v", try, err)
			}
		}
	})
}

// TestPausedDesk checks that a call whose budget ran out while the process was
// paused is not executed.
func TestPausedDesk(t *testing.T) {
	w := newWorkers(1)
	srv := NewServer(w, allowStarts, klog.Background())
	c := &schema.RelayCall{Worker: "w0", Order: schema.RelayOrder_RELAY_ORDER_START, Run: encodeRun(run(0)), Generation: 1, Budget: 400}
	a := srv.execute(c, "10s", -time.Hour)
	var unavailable *platform.UnavailableError
	if err := decodeFailure(a); !errors.As(err, &unavailable) || len(w["w0"].Starts()) != 0 {
		t.Errorf("error %v, %d starts", err, len(w["w0"].Starts()))
	}
}

func TestAnswersOfAnySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession()
		for i := range 2*maxAnswersPerReply + 1 {
			s.add(&schema.RelayAnswer{Id: uint64(i + 1)})
		}
		n := 0
		for range 3 {
			n += len(s.collect(t.Context(), time.Second))
		}
		if n != 2*maxAnswersPerReply+1 {
			t.Errorf("%d answers were collected", n)
		}
	})
}

func allowStarts() error { return nil }

// TestRelayChecksStarts guards against a relay that sends a start which it may no
// longer send, while it still forwards other orders.
func TestRelayChecksStarts(t *testing.T) {
	w := newWorkers(1)
	refusal := &platform.EvacuatedError{DataCentre: "a"}
	srv := NewServer(w, func() error { return refusal }, klog.Background())
	for _, order := range []schema.RelayOrder{schema.RelayOrder_RELAY_ORDER_START, schema.RelayOrder_RELAY_ORDER_HOLD} {
		c := &schema.RelayCall{Worker: "w0", Order: order, Run: encodeRun(run(0)), Generation: 1, Budget: 400}
		err := decodeFailure(srv.execute(c, "10s", uptime.Now()))
		var evacuated *platform.EvacuatedError
		if isStart := order == schema.RelayOrder_RELAY_ORDER_START; errors.As(err, &evacuated) != isStart || !isStart && err != nil {
			t.Errorf("%s: error %v", order, err)
		}
	}
	if n := len(w["w0"].Starts()); n != 0 {
		t.Errorf("%d starts", n)
	}
}
