package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/term"
)

// usualDelay is the answer time of the store in the tests, that of the platform.
const usualDelay = 4 * time.Millisecond

// countingStore counts the calls that reach the store.
type countingStore struct {
	*memory.Store
	calls *atomic.Int64
}

func (s countingStore) Apply(ctx context.Context, b platform.Batch) (int64, error) {
	s.calls.Add(1)
	return s.Store.Apply(ctx, b)
}

func (s countingStore) List(ctx context.Context, r platform.Range) (platform.Page, error) {
	s.calls.Add(1)
	return s.Store.List(ctx, r)
}

func (s countingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	s.calls.Add(1)
	return s.Store.Watch(ctx, table, after, wait)
}

// relayNetwork connects the stores of several instances without a network.
// Announcements arrive at once.
type relayNetwork struct {
	calls atomic.Int64
	mu    sync.Mutex
	nodes []*relayNode
}

// relayNode implements relayPeers.
type relayNode struct {
	network  *relayNetwork
	name     string
	view     *memory.Store
	store    *RelayingStore
	handlers sync.Map
	// stuck lets calls of this instance remain without an answer.
	stuck  atomic.Bool
	values map[string][]byte
}

// newRelayNetwork returns instances whose paths have been measured.
func newRelayNetwork(t *testing.T, instances int) *relayNetwork {
	t.Helper()
	n := &relayNetwork{}
	store := memory.NewStore(1)
	for i := range instances {
		node := &relayNode{network: n, name: fmt.Sprintf("i%02d", i), view: store.View(uint64(i)), values: map[string][]byte{}}
		node.view.SetFaults(memory.Faults{Delay: usualDelay})
		node.store = NewRelayingStore(countingStore{node.view, &n.calls}, klog.Background())
		n.nodes = append(n.nodes, node)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for _, node := range n.nodes {
		node.store.joinGroup(node, meter.NewSet())
		wg.Go(func() { _ = node.store.probePath(ctx) })
		for range 4 {
			if _, err := node.store.List(t.Context(), platform.Range{Table: "t"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	n.calls.Store(0)
	return n
}

func (n *relayNode) Self() platform.Instance {
	return platform.Instance{Name: n.name, DataCentre: "d", Region: "r"}
}

func (n *relayNode) Peers() []member.Peer {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	var all []member.Peer
	for _, other := range n.network.nodes {
		if other != n {
			values := map[string][]byte{}
			for k, v := range other.values {
				values[k] = v
			}
			all = append(all, member.Peer{Instance: other.Self(), Health: member.HealthAlive, Connected: true, Values: values})
		}
	}
	return all
}

func (n *relayNode) SetValue(key string, content []byte) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.values[key] = content
}

func (n *relayNode) Handle(method string, h member.Handler) { n.handlers.Store(method, h) }

func (n *relayNode) Call(ctx context.Context, instance, method string, request, response proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(n.network.nodes, func(o *relayNode) bool { return o.name == instance })
	h, _ := n.network.nodes[i].handlers.Load(method)
	sleep(ctx, time.Millisecond)
	if n.network.nodes[i].stuck.Load() {
		<-ctx.Done()
		return &member.UnknownOutcomeError{Instance: instance, Method: method, Cause: ctx.Err()}
	}
	m, err := h.(member.Handler)(ctx, n.Self(), body)
	var refused *member.RefusedError
	switch {
	case errors.As(err, &refused):
		return &member.NotExecutedError{Instance: instance, Method: method, Cause: err}
	case ctx.Err() != nil:
		return &member.UnknownOutcomeError{Instance: instance, Method: method, Cause: ctx.Err()}
	case err != nil:
		return &member.RemoteError{Instance: instance, Method: method, Message: err.Error()}
	}
	content, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return proto.Unmarshal(content, response)
}

// setFaults sets the faults of the views of some instances.
func (n *relayNetwork) setFaults(f memory.Faults, indexes ...int) {
	for _, i := range indexes {
		n.nodes[i].view.SetFaults(f)
	}
}

func (n *relayNetwork) all() []int {
	var all []int
	for i := range n.nodes {
		all = append(all, i)
	}
	return all
}

// commitTimes makes transactions of a term and returns their sorted durations. It
// fails the test if one fails, because a copy of a transaction that is executed
// late must not disturb the term.
func commitTimes(t *testing.T, m *term.Term, n int) []time.Duration {
	t.Helper()
	var times []time.Duration
	for range n {
		start := time.Now()
		if err := m.Commit(t.Context(), nil, nil); err != nil {
			t.Fatal(err)
		}
		times = append(times, time.Since(start))
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(times)
	return times
}

// acquire starts a term of the first instance.
func (n *relayNetwork) acquire(t *testing.T) *term.Term {
	t.Helper()
	m, err := term.New(n.nodes[0].store, n.nodes[0].name, 1).Acquire(t.Context(), term.Leader{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

var harmedPaths = map[string]memory.Faults{
	"silent":   {Silent: true},
	"refusing": {Outage: true},
	"slow":     {Delay: 700 * time.Millisecond},
}

// Guards against transactions that wait for a harmed direct path, or for relays
// that the store has turned away as well.
func TestThirdOfInstancesTurnedAway(t *testing.T) {
	for name, faults := range harmedPaths {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 12)
				m := n.acquire(t)
				n.setFaults(faults, 0, 1, 2, 3)
				times := commitTimes(t, m, 100)
				if p90, longest := times[90], times[99]; p90 > 20*time.Millisecond || longest > 800*time.Millisecond {
					t.Errorf("transactions took %v at the 90th percentile, %v at most", p90, longest)
				}
				n.setFaults(memory.Faults{Delay: usualDelay}, 0, 1, 2, 3)
				time.Sleep(3 * time.Second)
				n.calls.Store(0)
				times = commitTimes(t, m, 20)
				if times[19] > usualDelay || n.calls.Load() != 20 {
					t.Errorf("after the outage transactions take up to %v, %d calls for 20", times[19], n.calls.Load())
				}
			})
		})
	}
}

// Guards against the first transactions on a harmed path being late.
func TestOwnPathHarmed(t *testing.T) {
	for name, faults := range harmedPaths {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 3)
				m := n.acquire(t)
				n.setFaults(faults, 0)
				times := commitTimes(t, m, 20)
				if times[19] > minHedgeDelay+20*time.Millisecond || times[17] > 20*time.Millisecond {
					t.Errorf("transactions took %v, and %v without the first two", times[19], times[17])
				}
				if !n.nodes[0].store.pathHealth().impaired() {
					t.Error("the path does not count as impaired")
				}
			})
		})
	}
}

// Guards against additional calls to the store while no path is harmed.
func TestUnharmedPathsNeedNoMoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNetwork(t, 3)
		m := n.acquire(t)
		n.calls.Store(0)
		commitTimes(t, m, 200)
		if _, err := n.nodes[0].store.Watch(t.Context(), "none", 1000, 800*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := n.calls.Load(); got != 201 {
			t.Errorf("%d calls to the store, want 201", got)
		}
		if c := decodePathClass(n.nodes[1].Peers()[0]); c != pathFast {
			t.Errorf("announced class %q", c)
		}
	})
}

// Guards against twice the calls to a store that is slow for everybody, and against
// calls that fail although the store answers.
func TestAllPathsSlowAlike(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 6)
				n.setFaults(memory.Faults{Delay: delay}, n.all()...)
				const perInstance = 60
				calls := int64(perInstance * len(n.nodes))
				// The limits of the first calls include those from which the new answer
				// time is learned.
				for i, limit := range []int64{calls * 5 / 3, calls * 6 / 5} {
					n.calls.Store(0)
					var wg sync.WaitGroup
					for _, node := range n.nodes {
						wg.Go(func() {
							for range perInstance {
								if _, err := node.store.List(t.Context(), platform.Range{Table: "t"}); err != nil {
									t.Error(err)
								}
							}
						})
					}
					wg.Wait()
					t.Logf("%d calls to the store for %d calls", n.calls.Load(), calls)
					if got := n.calls.Load(); got > limit {
						t.Errorf("part %d: %d calls to the store for %d calls, want at most %d", i, got, calls, limit)
					}
				}
			})
		})
	}
}

// Guards against a call that waits for a relay that the store turns away while the
// call is in progress.
func TestRelayTurnedAwayInMidCall(t *testing.T) {
	for name, faults := range harmedPaths {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 4)
				m := n.acquire(t)
				n.setFaults(memory.Faults{Outage: true}, 0)
				commitTimes(t, m, 10)
				n.setFaults(faults, 1, 2)
				times := commitTimes(t, m, 40)
				if times[39] > 2*minHedgeDelay+20*time.Millisecond || times[34] > 20*time.Millisecond {
					t.Errorf("transactions took up to %v, %v without the first", times[39], times[34])
				}
			})
		})
	}
}

// Guards against asking an instance again and again that does not answer but still
// announces a good path.
func TestStuckRelayIsAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNetwork(t, 3)
		m := n.acquire(t)
		n.setFaults(memory.Faults{Outage: true}, 0)
		n.nodes[1].stuck.Store(true)
		times := commitTimes(t, m, 40)
		if times[37] > 20*time.Millisecond {
			t.Errorf("more than two of 40 transactions were late: %v", times[35:])
		}
	})
}

// Guards against a slow path that counts as usual because the first slow calls could
// not be hedged.
func TestSlowPathIsNoticedLate(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 3)
				m := n.acquire(t)
				n.setFaults(memory.Faults{Delay: delay}, 0)
				n.nodes[1].stuck.Store(true)
				n.nodes[2].stuck.Store(true)
				commitTimes(t, m, 2)
				n.nodes[1].stuck.Store(false)
				n.nodes[2].stuck.Store(false)
				times := commitTimes(t, m, 20)
				if times[15] > 20*time.Millisecond {
					t.Errorf("transactions take %v", times[10:])
				}
			})
		})
	}
}

// Guards against a relayed call that is relayed again.
func TestRelayedCallIsNotRelayedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNetwork(t, 3)
		n.setFaults(memory.Faults{Outage: true}, 1)
		if _, err := n.nodes[1].store.List(t.Context(), platform.Range{Table: "t"}); err != nil {
			t.Fatal(err)
		}
		n.calls.Store(0)
		message := encodeBatch(platform.Batch{Guards: []platform.Guard{{RowKey: platform.RowKey{Table: "t"}}}})
		err := n.nodes[0].Call(t.Context(), "i01", methodApply, message, message)
		var notExecuted *member.NotExecutedError
		if !errors.As(err, &notExecuted) || n.calls.Load() != 0 {
			t.Errorf("error %v with %d calls to the store, want *member.NotExecutedError", err, n.calls.Load())
		}
	})
}

// Guards against an outcome that is reported as known although a copy of the
// transaction may still be executed.
func TestOutcomeWhenStoreIsAway(t *testing.T) {
	batch := platform.Batch{Guards: []platform.Guard{{RowKey: platform.RowKey{Table: "t", Key: "k"}}}}
	for name, faults := range harmedPaths {
		if name == "slow" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 4)
				n.setFaults(faults, n.all()...)
				for range 3 {
					_, err := n.nodes[0].store.Apply(t.Context(), batch)
					var unknown *platform.UnknownOutcomeError
					if errors.As(err, &unknown) != (name == "silent") || err == nil {
						t.Errorf("error %T %v", err, err)
					}
					var unavailable *platform.UnavailableError
					if errors.As(err, &unavailable) == (name == "silent") {
						t.Errorf("error %v: reported as unavailable: %t", err, name != "silent")
					}
				}
				n.setFaults(memory.Faults{Delay: usualDelay}, n.all()...)
				time.Sleep(2 * time.Second)
				start := time.Now()
				if _, err := n.nodes[0].store.Apply(t.Context(), batch); err != nil || time.Since(start) > usualDelay {
					t.Errorf("after the outage: error %v after %v", err, time.Since(start))
				}
			})
		})
	}
}

// Guards against a call that waits on lost connections after the store is back.
func TestCallInProgressWhenStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNetwork(t, 4)
		// Calls in progress keep their faults.
		n.setFaults(memory.Faults{Silent: true}, n.all()...)
		time.AfterFunc(500*time.Millisecond, func() {
			n.setFaults(memory.Faults{Delay: usualDelay}, n.all()...)
		})
		start := time.Now()
		_, err := n.nodes[0].store.List(t.Context(), platform.Range{Table: "t"})
		if took := time.Since(start); err != nil || took > 500*time.Millisecond+relayTimeout {
			t.Errorf("error %v after %v", err, took)
		}
	})
}

// Guards against an unguarded write that is sent twice while it may succeed.
func TestUnguardedWriteIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNetwork(t, 3)
		n.setFaults(memory.Faults{Delay: 700 * time.Millisecond}, 0)
		n.calls.Store(0)
		if _, err := n.nodes[0].store.Apply(t.Context(), platform.Batch{}); err != nil {
			t.Fatal(err)
		}
		if got := n.calls.Load(); got != 1 {
			t.Errorf("%d calls to the store, want 1", got)
		}
	})
}

// Guards against an unknown outcome that counts as a call without effect, because the
// direct attempt failed while a relayed one had no answer.
func TestUnknownOutcomeIsNotUnavailable(t *testing.T) {
	r := &race{
		call: storeCall{write: true}, ways: []storeWay{{}, {relay: "i01"}}, started: 2,
		failed: map[int]error{0: &platform.UnavailableError{Service: "store"}},
	}
	err := r.failure(nil)
	var unknown *platform.UnknownOutcomeError
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unknown) || errors.As(err, &unavailable) {
		t.Errorf("error %T %v, want only *platform.UnknownOutcomeError", err, err)
	}
	if _, err := encodeResponse(platform.Page{}, err); errors.As(err, new(*member.RefusedError)) {
		t.Errorf("relayed as not executed: %v", err)
	}
}

// Guards against one slow call that makes a path impaired, at its caller and at an
// instance that relayed it.
func TestSlowCallCountsOnce(t *testing.T) {
	t.Run("caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newRelayNetwork(t, 3)
			n.setFaults(memory.Faults{Silent: true}, 0)
			if _, err := n.nodes[0].store.Apply(t.Context(), platform.Batch{}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if h := n.nodes[0].store.pathHealth(); h.losses != 1 || h.impaired() {
				t.Errorf("one slow call: %+v", h)
			}
		})
	})
	t.Run("caller without an answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newRelayNetwork(t, 1)
			n.setFaults(memory.Faults{Silent: true}, 0)
			if _, err := n.nodes[0].store.List(t.Context(), platform.Range{Table: "t"}); err == nil {
				t.Fatal("no error")
			}
			synctest.Wait()
			if h := n.nodes[0].store.pathHealth(); h.losses != 1 || h.impaired() {
				t.Errorf("one slow call: %+v", h)
			}
		})
	})
	for _, after := range []time.Duration{500 * time.Millisecond, directTimeout, 2 * directTimeout} {
		t.Run("relay, cancelled after "+after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 2)
				n.setFaults(memory.Faults{Silent: true}, 1)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(after+time.Millisecond, cancel)
				message := encodeBatch(platform.Batch{})
				_ = n.nodes[0].Call(ctx, "i01", methodApply, message, message)
				synctest.Wait()
				if h := n.nodes[1].store.pathHealth(); h.losses != 1 || h.impaired() {
					t.Errorf("one slow call: %+v", h)
				}
			})
		})
	}
}

// Guards against instances without calls of their own whose paths stay impaired, and
// are probed without end, only because the store is slow for all.
func TestIdlePathsRecoverIfAllAreSlow(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRelayNetwork(t, 12)
				m := n.acquire(t)
				n.setFaults(memory.Faults{Delay: delay}, n.all()...)
				n.calls.Store(0)
				impaired := 0
				for range 100 {
					if err := m.Commit(t.Context(), nil, nil); err != nil {
						t.Fatal(err)
					}
					for _, node := range n.nodes {
						if node.store.pathHealth().impaired() {
							impaired++
						}
					}
				}
				t.Logf("%d calls, %d of 1200 times impaired", n.calls.Load(), impaired)
				if got := n.calls.Load(); got > 250 || impaired > 120 {
					t.Errorf("%d calls to the store for 100 transactions, %d of 1200 times impaired", got, impaired)
				}
				time.Sleep(15 * time.Second)
				for _, node := range n.nodes {
					if h := node.store.pathHealth(); h.impaired() {
						t.Errorf("%s: %+v", node.name, h)
					}
				}
			})
		})
	}
}
