package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// Methods of the calls that pass a store call through another instance.
const (
	methodApply = "store.apply"
	methodList  = "store.list"
	methodWatch = "store.watch"
)

const (
	// directTimeout is the time for a direct answer of the store beyond the
	// wait asked for, before another instance is asked as well.
	directTimeout = 900 * time.Millisecond
	// relayTimeout is the time for the answer of another instance.
	relayTimeout = 1200 * time.Millisecond
	// relays is the number of instances that are asked for one call.
	relays = 2
	// avoidTime is how long other instances are asked first after the store
	// has turned this one away.
	avoidTime = 1 * time.Second
)

// RelayingStore is the platform's store as an instance reaches it: directly, or through
// another instance where the store does not serve this one. All calls may be
// repeated: batches are guarded by what they write.
type RelayingStore struct {
	direct platform.Store
	group  *member.Group
	log    klog.Logger
	// avoided is until when the direct way is tried last, or nil.
	avoided atomic.Pointer[time.Time]
	relayed atomic.Bool
}

var _ platform.Store = (*RelayingStore)(nil)

// NewRelayingStore returns the store for a direct way to it.
func NewRelayingStore(direct platform.Store, log klog.Logger) *RelayingStore {
	return &RelayingStore{direct: direct, log: log}
}

// serve lets other instances use the direct way of this one.
func (s *RelayingStore) serve(g *member.Group) {
	s.group = g
	g.Handle(methodApply, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		version, err := s.direct.Apply(ctx, platform.Batch{
			Guards: guards(m.GetGuards()), Writes: rows(m.GetWrites()), Removes: keys(m.GetRemoves()),
		})
		return answer(platform.Page{Version: version}, err)
	}))
	g.Handle(methodList, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		return answer(s.direct.List(ctx, platform.Range{
			Table: m.GetTable(), Part: m.GetPart(), From: m.GetFrom(), Limit: int(m.GetLimit()),
		}))
	}))
	g.Handle(methodWatch, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		return answer(s.direct.Watch(ctx, m.GetTable(), m.GetAfter(), time.Duration(m.GetWait())*time.Millisecond))
	}))
}

// Apply implements platform.Store.
func (s *RelayingStore) Apply(ctx context.Context, b platform.Batch) (int64, error) {
	page, err := s.call(ctx, 0, methodApply,
		func(ctx context.Context) (platform.Page, error) {
			version, err := s.direct.Apply(ctx, b)
			return platform.Page{Version: version}, err
		},
		func() *schema.StoreCall {
			m := &schema.StoreCall{}
			for _, g := range b.Guards {
				m.Guards = append(m.Guards, encodeRow(platform.StoredRow{RowKey: g.RowKey, Version: g.Version}))
			}
			for _, r := range b.Writes {
				m.Writes = append(m.Writes, encodeRow(r))
			}
			for _, k := range b.Removes {
				m.Removes = append(m.Removes, encodeRow(platform.StoredRow{RowKey: k}))
			}
			return m
		})
	return page.Version, err
}

// List implements platform.Store.
func (s *RelayingStore) List(ctx context.Context, r platform.Range) (platform.Page, error) {
	return s.call(ctx, 0, methodList,
		func(ctx context.Context) (platform.Page, error) { return s.direct.List(ctx, r) },
		func() *schema.StoreCall {
			return &schema.StoreCall{Table: r.Table, Part: r.Part, From: r.From, Limit: int32(r.Limit)}
		})
}

// Watch implements platform.Store.
func (s *RelayingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	return s.call(ctx, wait, methodWatch,
		func(ctx context.Context) (platform.Page, error) { return s.direct.Watch(ctx, table, after, wait) },
		func() *schema.StoreCall {
			return &schema.StoreCall{Table: table, After: after, Wait: wait.Milliseconds()}
		})
}

// call tries the direct way and then other instances, or the other way round
// shortly after the store has turned this instance away.
func (s *RelayingStore) call(ctx context.Context, wait time.Duration, method string,
	direct func(context.Context) (platform.Page, error), message func() *schema.StoreCall,
) (platform.Page, error) {
	until := s.avoided.Load()
	avoiding := until != nil && time.Now().Before(*until)
	if avoiding {
		if page, err := s.relay(ctx, wait, method, message()); isAnswer(err) {
			return page, err
		}
	}
	one, cancel := context.WithTimeout(ctx, wait+directTimeout)
	page, err := direct(one)
	cancel()
	if isAnswer(err) {
		if s.relayed.CompareAndSwap(true, false) {
			s.log.Info("store serves this instance again")
		}
		return page, err
	}
	if ctx.Err() != nil || avoiding {
		return page, err
	}
	relayed, relayErr := s.relay(ctx, wait, method, message())
	if !isAnswer(relayErr) {
		return page, err
	}
	again := time.Now().Add(avoidTime)
	s.avoided.Store(&again)
	if s.relayed.CompareAndSwap(false, true) {
		s.log.Info("store does not serve this instance, others do", "error", err)
	}
	return relayed, relayErr
}

// isAnswer reports whether the store itself has answered.
func isAnswer(err error) bool {
	var changed *platform.PreconditionFailedError
	var compacted *platform.CompactedError
	return err == nil || errors.As(err, &changed) || errors.As(err, &compacted)
}

// relay asks other instances one after the other.
func (s *RelayingStore) relay(ctx context.Context, wait time.Duration, method string, m *schema.StoreCall) (platform.Page, error) {
	var err error = &platform.UnavailableError{Service: "store"}
	if s.group == nil {
		return platform.Page{}, err
	}
	asked := 0
	peers := s.group.Peers()
	// The instances that are turned away do not all ask the same ones.
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	for _, p := range peers {
		if !p.Connected || p.Health != member.HealthAlive {
			continue
		}
		if asked++; asked > relays {
			break
		}
		a := &schema.StoreAnswer{}
		one, cancel := context.WithTimeout(ctx, wait+relayTimeout)
		err = s.group.Call(one, p.Instance.Name, method, m, a)
		cancel()
		if err != nil {
			continue
		}
		switch {
		case a.GetChanged():
			return platform.Page{}, &platform.PreconditionFailedError{Rows: rows(a.GetRows())}
		case a.GetCompacted():
			return platform.Page{}, &platform.CompactedError{Table: m.GetTable(), After: m.GetAfter()}
		}
		now := time.Duration(a.GetNow()) * time.Millisecond
		return platform.Page{Rows: rows(a.GetRows()), More: a.GetMore(), Version: a.GetVersion(), Now: now}, nil
	}
	return platform.Page{}, err
}

// answer encodes what the store has answered. Other errors go back as faults
// of the call.
func answer(page platform.Page, err error) (proto.Message, error) {
	var changed *platform.PreconditionFailedError
	var compacted *platform.CompactedError
	a := &schema.StoreAnswer{Version: page.Version, More: page.More, Now: page.Now.Milliseconds()}
	switch {
	case errors.As(err, &changed):
		a.Changed = true
		page.Rows = changed.Rows
	case errors.As(err, &compacted):
		a.Compacted = true
	case err != nil:
		return nil, err
	}
	for _, r := range page.Rows {
		a.Rows = append(a.Rows, encodeRow(r))
	}
	return a, nil
}

func encodeRow(r platform.StoredRow) *schema.StoredRow {
	return &schema.StoredRow{
		Table: r.Table, Part: r.Part, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted,
	}
}

func decodeKey(m *schema.StoredRow) platform.RowKey {
	return platform.RowKey{Table: m.GetTable(), Part: m.GetPart(), Key: m.GetKey()}
}

func rows(ms []*schema.StoredRow) []platform.StoredRow {
	all := make([]platform.StoredRow, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.StoredRow{
			RowKey: decodeKey(m), Version: m.GetVersion(), Value: m.GetValue(), Deleted: m.GetDeleted(),
		})
	}
	return all
}

func keys(ms []*schema.StoredRow) []platform.RowKey {
	all := make([]platform.RowKey, 0, len(ms))
	for _, m := range ms {
		all = append(all, decodeKey(m))
	}
	return all
}

func guards(ms []*schema.StoredRow) []platform.Guard {
	all := make([]platform.Guard, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.Guard{RowKey: decodeKey(m), Version: m.GetVersion()})
	}
	return all
}
