package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// RPC methods that relay a store call through another instance.
const (
	methodApply = "store.apply"
	methodList  = "store.list"
	methodWatch = "store.watch"
)

const (
	// directTimeout is how long a direct call may be without an answer, in addition
	// to the requested wait, before it is sent another way in any case.
	directTimeout = 900 * time.Millisecond
	// relayTimeout is directTimeout of a relayed call.
	relayTimeout = 1200 * time.Millisecond
	// slowFactor is the multiple of the usual answer time to which the timeouts are
	// extended.
	slowFactor = 2
	// maxCallTime bounds a call on all its ways, in addition to the requested wait.
	// It covers the direct path and two relays that do not answer.
	maxCallTime = directTimeout + 2*relayTimeout
	// relayBackoff is how long an instance that failed to relay a call is asked after
	// all others. It covers the time until its announcement arrives.
	relayBackoff = 1 * time.Second
)

// RelayingStore accesses the platform's store directly, or through another
// instance if the store does not serve this one. A call may be executed more
// than once, which is safe because batches are guarded by the rows they write:
// an Apply that took effect may return *PreconditionFailedError, with the rows
// that it wrote.
type RelayingStore struct {
	direct      platform.Store
	peers       relayPeers
	log         klog.Logger
	instruments *storeInstruments
	// impaired receives a value when the direct path becomes impaired.
	impaired chan struct{}

	mu     sync.Mutex
	health pathHealth
	budget hedgeBudget
	// failedUntil is until when an instance that failed to relay a call is asked
	// last.
	failedUntil map[string]time.Time
}

var _ platform.Store = (*RelayingStore)(nil)

// relayPeers are the other instances. *member.Group implements it.
type relayPeers interface {
	Self() platform.Instance
	Peers() []member.Peer
	Call(ctx context.Context, instance, method string, request, response proto.Message) error
	SetValue(key string, content []byte)
	Handle(method string, h member.Handler)
}

// NewRelayingStore returns a store that calls direct. It relays calls only after
// joinGroup.
func NewRelayingStore(direct platform.Store, log klog.Logger) *RelayingStore {
	return &RelayingStore{
		direct: direct, log: log, impaired: make(chan struct{}, 1), failedUntil: map[string]time.Time{},
		instruments: newStoreInstruments(meter.NewSet()),
	}
}

// joinGroup lets other instances relay store calls through this one, and lets
// this one relay calls through them. A relayed call is never relayed again.
func (s *RelayingStore) joinGroup(g relayPeers, set *meter.Set) {
	s.peers, s.instruments = g, newStoreInstruments(set)
	handle := func(method string, f func(context.Context, *schema.StoreCall) (platform.Page, error)) {
		g.Handle(method, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
			if s.pathHealth().impaired() {
				s.instruments.refusals.Inc()
				return nil, &member.RefusedError{Kind: kindStorePath, Message: "the store does not serve this instance"}
			}
			wait, start := time.Duration(m.GetWait())*time.Millisecond, time.Now()
			page, err := s.callDirect(ctx, wait, func(ctx context.Context) (platform.Page, error) { return f(ctx, m) })
			if ctx.Err() != nil && !isStoreResponse(err) {
				s.updateHealth(func(h pathHealth) pathHealth {
					limit := directTimeout
					if errors.Is(ctx.Err(), context.Canceled) {
						// The caller was answered another way, which it took later.
						limit = h.hedgeDelay()
					}
					if time.Since(start) < wait+limit {
						return h
					}
					return h.withLoss(time.Now())
				}, "error", err)
			}
			return encodeResponse(page, err)
		}))
	}
	handle(methodApply, func(ctx context.Context, m *schema.StoreCall) (platform.Page, error) {
		version, err := s.direct.Apply(ctx, platform.Batch{
			Guards: decodeGuards(m.GetGuards()), Writes: decodeRows(m.GetWrites()), Removes: decodeKeys(m.GetRemoves()),
		})
		return platform.Page{Version: version}, err
	})
	handle(methodList, func(ctx context.Context, m *schema.StoreCall) (platform.Page, error) {
		return s.direct.List(ctx, platform.Range{
			Table: m.GetTable(), Part: m.GetPart(), From: m.GetFrom(), Limit: int(m.GetLimit()),
		})
	})
	handle(methodWatch, func(ctx context.Context, m *schema.StoreCall) (platform.Page, error) {
		return s.direct.Watch(ctx, m.GetTable(), m.GetAfter(), time.Duration(m.GetWait())*time.Millisecond)
	})
}

// Apply implements platform.Store. Only a guarded batch is hedged.
func (s *RelayingStore) Apply(ctx context.Context, b platform.Batch) (int64, error) {
	page, err := s.call(ctx, storeCall{
		method: methodApply, write: true, hedged: len(b.Guards) > 0,
		direct: func(ctx context.Context) (platform.Page, error) {
			version, err := s.direct.Apply(ctx, b)
			return platform.Page{Version: version}, err
		},
		message: func() *schema.StoreCall { return encodeBatch(b) },
	})
	return page.Version, err
}

// List implements platform.Store.
func (s *RelayingStore) List(ctx context.Context, r platform.Range) (platform.Page, error) {
	return s.call(ctx, storeCall{
		method: methodList, hedged: true,
		direct: func(ctx context.Context) (platform.Page, error) { return s.direct.List(ctx, r) },
		message: func() *schema.StoreCall {
			return &schema.StoreCall{Table: r.Table, Part: r.Part, From: r.From, Limit: int32(r.Limit)}
		},
	})
}

// Watch implements platform.Store. It is not hedged within the wait.
func (s *RelayingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	return s.call(ctx, storeCall{
		method: methodWatch, wait: wait, hedged: true,
		direct: func(ctx context.Context) (platform.Page, error) { return s.direct.Watch(ctx, table, after, wait) },
		message: func() *schema.StoreCall {
			return &schema.StoreCall{Table: table, After: after, Wait: wait.Milliseconds()}
		},
	})
}

// callDirect calls the store directly and records an answer or a failure. Whether a
// call without an answer is a loss is recorded by its callers, once for all copies.
func (s *RelayingStore) callDirect(ctx context.Context, wait time.Duration, f func(context.Context) (platform.Page, error)) (platform.Page, error) {
	start := time.Now()
	page, err := f(ctx)
	took := time.Since(start)
	switch {
	case isStoreResponse(err):
		s.updateHealth(func(h pathHealth) pathHealth { return h.withAnswer(took, wait == 0) })
	case ctx.Err() == nil:
		s.updateHealth(func(h pathHealth) pathHealth { return h.withFailure(time.Now()) }, "error", err)
	}
	return page, err
}

// callRelay calls the store through another instance.
func (s *RelayingStore) callRelay(ctx context.Context, instance string, c storeCall) (platform.Page, error) {
	start := time.Now()
	m, a := c.message(), &schema.StoreAnswer{}
	if err := s.peers.Call(ctx, instance, c.method, m, a); err != nil {
		if ctx.Err() == nil {
			s.avoidRelay(instance)
		}
		return platform.Page{}, err
	}
	s.instruments.relayed.Inc()
	s.updateHealth(func(h pathHealth) pathHealth {
		return h.withRelayed(time.Now(), time.Since(start), c.wait == 0)
	})
	return decodeResponse(m, a)
}

// avoidRelay lets an instance be asked after all others for relayBackoff.
func (s *RelayingStore) avoidRelay(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedUntil[instance] = time.Now().Add(relayBackoff)
}

// relays returns the instances through which a call is relayed, best first.
func (s *RelayingStore) relays() []string {
	if s.peers == nil {
		return nil
	}
	peers := s.peers.Peers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, until := range s.failedUntil {
		if !now.Before(until) {
			delete(s.failedUntil, name)
		}
	}
	return selectRelays(s.peers.Self(), peers, func(name string) bool { return now.Before(s.failedUntil[name]) })
}

func (s *RelayingStore) pathHealth() pathHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// updateHealth changes what is known of the direct path, and logs and announces
// the change.
func (s *RelayingStore) updateHealth(change func(pathHealth) pathHealth, keysAndValues ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.health
	s.health = change(before)
	class := s.health.announced()
	switch {
	case s.health.impaired() && !before.impaired():
		s.log.Info("store not reachable directly, relaying calls through other instances", keysAndValues...)
		s.instruments.impaired.Set(1)
		select {
		case s.impaired <- struct{}{}:
		default:
		}
	case !s.health.impaired() && before.impaired():
		s.log.Info("store reachable directly again", "after", time.Since(before.impairedSince), "class", class)
		s.instruments.impaired.Set(0)
	}
	if class != before.announced() && s.peers != nil {
		s.peers.SetValue(valueStore, []byte(class))
	}
}

// isStoreResponse reports whether err is a response of the store itself, that
// is, nil, a failed precondition, a rejected batch or a compacted history.
func isStoreResponse(err error) bool {
	var preconditionFailed *platform.PreconditionFailedError
	var rejected *platform.RejectedBatchError
	var compacted *platform.CompactedError
	return err == nil || errors.As(err, &preconditionFailed) || errors.As(err, &rejected) || errors.As(err, &compacted)
}

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes of an
	// impaired path. It doubles while they fail, so that an outage costs few calls.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
	// probeCallTimeout is how long the next probe waits for the answer of one, and
	// maxProbeCallTimeout the timeout of a probe. A later answer still shows whether the
	// path is as slow as all others.
	probeCallTimeout    = 400 * time.Millisecond
	maxProbeCallTimeout = 3 * time.Second
	// comparisonAge is the age up to which the answer time of relayed calls is compared
	// with that of a slow probe.
	comparisonAge = 2 * time.Second
)

// probePath probes the direct path while it is impaired, until ctx ends.
func (s *RelayingStore) probePath(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.impaired:
		}
		for interval := minProbeInterval; s.pathHealth().impaired() && ctx.Err() == nil; {
			sleep(ctx, interval)
			if s.probe(ctx) {
				interval = minProbeInterval
			} else {
				interval = min(2*interval, maxProbeInterval)
			}
		}
	}
}

// probe makes a small read on the direct path and reports whether it was answered
// within probeCallTimeout. A later answer counts when it arrives.
func (s *RelayingStore) probe(ctx context.Context) bool {
	s.instruments.probes.Inc()
	answered := make(chan bool, 1)
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, maxProbeCallTimeout)
		defer cancel()
		start := time.Now()
		_, err := s.direct.List(probeCtx, probeRange)
		took := time.Since(start)
		if ctx.Err() == nil {
			s.recordProbe(ctx, took, err == nil)
		}
		answered <- err == nil
	}()
	timer := time.NewTimer(probeCallTimeout)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		return false
	}
}

// probeRange is the read of a probe.
var probeRange = platform.Range{Table: instanceTable, Limit: 1}

// recordProbe records the result of a probe. A slow answer is compared with that of
// a relayed read. If no instance relays it, the path is as good as any.
func (s *RelayingStore) recordProbe(ctx context.Context, took time.Duration, answered bool) {
	alone := false
	if h := s.pathHealth(); answered && h.impaired() && took > h.hedgeDelay() && time.Since(h.relayedAt) > comparisonAge {
		alone = !s.compareRelays(ctx)
	}
	s.updateHealth(func(h pathHealth) pathHealth {
		switch {
		case !h.impaired():
			return h
		case alone:
			h.relayed = max(h.relayed, took)
		}
		return h.withProbe(took, answered)
	})
}

// confirmClass reads through an instance and reports whether that took about as long as
// its class allows.
func (s *RelayingStore) confirmClass(ctx context.Context, name string, class pathClass) bool {
	ctx, cancel := context.WithTimeout(ctx, maxProbeCallTimeout)
	defer cancel()
	start := time.Now()
	_, err := s.callRelay(ctx, name, probeCall())
	if err != nil || ctx.Err() != nil {
		return false
	}
	// The call to the instance and back takes time as well.
	return class.rank() > pathModerate.rank() || time.Since(start) <= maxConfirmationTime
}

// maxConfirmationTime bounds a read through an instance whose path is not slow.
const maxConfirmationTime = 2 * moderateAnswer

// probeCall returns a small read.
func probeCall() storeCall {
	return storeCall{
		method: methodList,
		message: func() *schema.StoreCall {
			return &schema.StoreCall{Table: probeRange.Table, Limit: int32(probeRange.Limit)}
		},
	}
}

// compareRelays reads through another instance, which measures relayed calls. It
// returns false if no instance answers.
func (s *RelayingStore) compareRelays(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxProbeCallTimeout)
	defer cancel()
	// An old measurement, of a time when the store was slow for all, would let a slow
	// path count as good.
	s.updateHealth(func(h pathHealth) pathHealth {
		h.relayed = 0
		return h
	})
	for _, name := range s.relays() {
		if _, err := s.callRelay(ctx, name, probeCall()); err == nil {
			return true
		}
	}
	return false
}
