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
)

// group is a group of instances in one process; each has a desk.
type group struct {
	mu    sync.Mutex
	peers []member.Peer
	desks map[string]*Server
	// delay is the time that a message takes in one direction.
	delay time.Duration
	// frozen instances answer when they go on, absent ones have no session, and
	// mute ones lose their answers.
	frozen, absent, mute map[string]bool
	exchanges, calls     int
	payloads             int
}

func newGroup(dialer Dialer, names ...string) *group {
	g := &group{
		desks: map[string]*Server{}, frozen: map[string]bool{}, absent: map[string]bool{}, mute: map[string]bool{},
		delay: time.Millisecond,
	}
	for _, n := range names {
		g.desks[n] = NewServer(dialer, klog.Background())
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
	absent, mute := g.absent[instance], g.mute[instance]
	g.mu.Unlock()
	if absent {
		return &member.NotExecutedError{Instance: instance, Method: method, Cause: &member.UnreachableError{Instance: instance}}
	}
	answer := make(chan proto.Message, 1)
	go func() {
		time.Sleep(g.delay)
		for g.is(g.frozen, instance) {
			time.Sleep(10 * time.Millisecond)
		}
		a, err := g.desks[instance].Exchange(context.WithoutCancel(ctx), platform.Instance{Name: "planner"}, m)
		if err == nil && !mute {
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

func (g *group) is(set map[string]bool, instance string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return set[instance]
}

func (g *group) set(set map[string]bool, instance string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	set[instance] = on
}

// workers are workers in memory.
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

// always sends all calls through other instances.
func always() bool { return true }

func TestCallsThroughAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(1)
		g := newGroup(w, "a")
		r := NewRouter(g, workers{}, 7, always, klog.Background()).Runner(w["w0"].Info())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if at, err := r.Start(ctx, start(run(0), "300ms")); err != nil || at <= 0 {
			t.Fatalf("start: clock %v, error %v", at, err)
		}
		began := time.Now()
		state, err := r.RenewLease(ctx, platform.RenewLeaseRequest{Generation: 1, LeaseDeadline: time.Hour, Wait: time.Second})
		if err != nil || len(state.Ended) != 1 || state.Ended[0].Run != run(0) || state.Ended[0].Outcome != platform.RunDone {
			t.Errorf("look: %+v, error %v", state, err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("the end is known after %v", took)
		}
		var old *platform.StaleRunError
		if _, err := r.Start(ctx, start(run(0), "1s")); !errors.As(err, &old) || old.Clock <= 0 {
			t.Errorf("a start of a run that has ended: %v", err)
		}
		var fenced *platform.FencedError
		if _, err := r.Stop(ctx, platform.StopRequest{Run: run(1)}); !errors.As(err, &fenced) {
			t.Errorf("an order of an earlier generation: %v", err)
		}
	})
}

// TestManyCallsInFewMessages plays the load of a wide step: its starts go
// together and its payload once.
func TestManyCallsInFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(50)
		g := newGroup(w, "a")
		router := NewRouter(g, workers{}, 7, always, klog.Background())
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

// TestFailingInstance harms the instance that makes the calls. The planner must
// not take a call for surely not made that was, and another instance makes the
// next ones.
func TestFailingInstance(t *testing.T) {
	for name, c := range map[string]struct {
		harm func(g *group, instance string, on bool)
		// unsent is set if the first call is surely not made.
		unsent bool
		starts int
	}{
		"no session":      {func(g *group, i string, on bool) { g.set(g.absent, i, on) }, true, 1},
		"answers lost":    {func(g *group, i string, on bool) { g.set(g.mute, i, on) }, false, 1},
		"frozen for long": {func(g *group, i string, on bool) { g.set(g.frozen, i, on) }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorkers(1)
				g := newGroup(w, "a", "b")
				router := NewRouter(g, workers{}, 7, always, klog.Background())
				r := router.Runner(w["w0"].Info())
				first := router.lane(w["w0"].Info()).instance
				c.harm(g, first, true)
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
				c.harm(g, first, false)
				time.Sleep(time.Second)
				if n := len(w["w0"].Starts()); n != c.starts {
					t.Errorf("%d starts of one run", n)
				}
				if again := router.lane(w["w0"].Info()).instance; again != first {
					t.Errorf("calls go through %s after %s is back", again, first)
				}
			})
		})
	}
}

// TestWholeDataCentreFails makes calls directly when no instance makes them.
func TestWholeDataCentreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorkers(1)
		g := newGroup(w, "a")
		g.set(g.absent, "a", true)
		r := NewRouter(g, w, 7, always, klog.Background()).Runner(w["w0"].Info())
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

// TestPausedDesk lets the time of a call run out before it is made.
func TestPausedDesk(t *testing.T) {
	w := newWorkers(1)
	d := NewServer(w, klog.Background())
	c := &schema.RelayCall{Worker: "w0", Order: schema.RelayOrder_RELAY_ORDER_START, Run: encodeRun(run(0)), Generation: 1, Budget: 400}
	a := d.serve(c, "10s", -time.Hour)
	var unavailable *platform.UnavailableError
	if err := decodeFailure(a); !errors.As(err, &unavailable) || len(w["w0"].Starts()) != 0 {
		t.Errorf("error %v, %d starts", err, len(w["w0"].Starts()))
	}
}

func TestAnswersOfAnySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession()
		for i := range 2*maxAnswers + 1 {
			s.put(&schema.RelayAnswer{Id: uint64(i + 1)})
		}
		n := 0
		for range 3 {
			n += len(s.collect(t.Context(), time.Second))
		}
		if n != 2*maxAnswers+1 {
			t.Errorf("%d answers", n)
		}
	})
}
