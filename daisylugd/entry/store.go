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

// RPC methods that relay a store call through another instance.
const (
	methodApply = "store.apply"
	methodList  = "store.list"
	methodWatch = "store.watch"
)

const (
	// directTimeout is the timeout of a direct call to the store, in addition to
	// the requested wait. After it, the call is relayed through another instance.
	directTimeout = 900 * time.Millisecond
	// relayTimeout is the timeout of a relayed call, in addition to the requested
	// wait.
	relayTimeout = 1200 * time.Millisecond
	// maxRelayPeers is the maximum number of instances that are tried for one
	// call.
	maxRelayPeers = 2
	// directBackoff is how long calls are relayed first after a direct call has
	// failed and a relayed one has succeeded.
	directBackoff = 1 * time.Second
)

// RelayingStore accesses the platform's store directly, or through another
// instance if the store does not serve this one. A call may be executed more
// than once, which is safe because batches are guarded by the rows they write.
type RelayingStore struct {
	direct platform.Store
	group  *member.Group
	log    klog.Logger
	// directBackoffEnd is when direct calls are tried first again, or nil.
	directBackoffEnd atomic.Pointer[time.Time]
	relaying         atomic.Bool
}

var _ platform.Store = (*RelayingStore)(nil)

// NewRelayingStore returns a store that calls direct. It relays calls only after
// joinGroup.
func NewRelayingStore(direct platform.Store, log klog.Logger) *RelayingStore {
	return &RelayingStore{direct: direct, log: log}
}

// joinGroup lets other instances relay store calls through this one, and lets
// this one relay calls through them.
func (s *RelayingStore) joinGroup(g *member.Group) {
	s.group = g
	g.Handle(methodApply, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		version, err := s.direct.Apply(ctx, platform.Batch{
			Guards: decodeGuards(m.GetGuards()), Writes: decodeRows(m.GetWrites()), Removes: decodeKeys(m.GetRemoves()),
		})
		return encodeResponse(platform.Page{Version: version}, err)
	}))
	g.Handle(methodList, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		return encodeResponse(s.direct.List(ctx, platform.Range{
			Table: m.GetTable(), Part: m.GetPart(), From: m.GetFrom(), Limit: int(m.GetLimit()),
		}))
	}))
	g.Handle(methodWatch, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.StoreCall) (proto.Message, error) {
		return encodeResponse(s.direct.Watch(ctx, m.GetTable(), m.GetAfter(), time.Duration(m.GetWait())*time.Millisecond))
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

// call calls the store directly and then through other instances. During the
// backoff after a failed direct call it tries the other instances first.
func (s *RelayingStore) call(ctx context.Context, wait time.Duration, method string,
	direct func(context.Context) (platform.Page, error), message func() *schema.StoreCall,
) (platform.Page, error) {
	backoffEnd := s.directBackoffEnd.Load()
	inBackoff := backoffEnd != nil && time.Now().Before(*backoffEnd)
	if inBackoff {
		if page, err := s.relay(ctx, wait, method, message()); isStoreResponse(err) {
			return page, err
		}
	}
	directCtx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	page, err := direct(directCtx)
	cancel()
	if isStoreResponse(err) {
		if s.relaying.CompareAndSwap(true, false) {
			s.log.Info("store reachable directly again")
		}
		return page, err
	}
	if ctx.Err() != nil || inBackoff {
		return page, err
	}
	relayedPage, relayErr := s.relay(ctx, wait, method, message())
	if !isStoreResponse(relayErr) {
		return page, err
	}
	newBackoffEnd := time.Now().Add(directBackoff)
	s.directBackoffEnd.Store(&newBackoffEnd)
	if s.relaying.CompareAndSwap(false, true) {
		s.log.Info("store not reachable directly, relaying calls through other instances", "error", err)
	}
	return relayedPage, relayErr
}

// isStoreResponse reports whether err is a response of the store itself, that
// is, nil, a failed precondition or a compacted history.
func isStoreResponse(err error) bool {
	var preconditionFailed *platform.PreconditionFailedError
	var compacted *platform.CompactedError
	return err == nil || errors.As(err, &preconditionFailed) || errors.As(err, &compacted)
}

// relay sends a store call through up to maxRelayPeers other instances, one
// after the other, until one responds.
func (s *RelayingStore) relay(ctx context.Context, wait time.Duration, method string, m *schema.StoreCall) (platform.Page, error) {
	var err error = &platform.UnavailableError{Service: "store"}
	if s.group == nil {
		return platform.Page{}, err
	}
	asked := 0
	peers := s.group.Peers()
	// The random order spreads the relayed calls over the peers.
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	for _, p := range peers {
		if !p.Connected || p.Health != member.HealthAlive {
			continue
		}
		if asked++; asked > maxRelayPeers {
			break
		}
		a := &schema.StoreAnswer{}
		relayCtx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
		err = s.group.Call(relayCtx, p.Instance.Name, method, m, a)
		cancel()
		if err != nil {
			continue
		}
		switch {
		case a.GetChanged():
			return platform.Page{}, &platform.PreconditionFailedError{Rows: decodeRows(a.GetRows())}
		case a.GetCompacted():
			return platform.Page{}, &platform.CompactedError{Table: m.GetTable(), After: m.GetAfter()}
		}
		now := time.Duration(a.GetNow()) * time.Millisecond
		return platform.Page{Rows: decodeRows(a.GetRows()), More: a.GetMore(), Version: a.GetVersion(), Now: now}, nil
	}
	return platform.Page{}, err
}

// encodeResponse encodes a response of the store. It returns other errors, which
// fail the call.
func encodeResponse(page platform.Page, err error) (proto.Message, error) {
	var preconditionFailed *platform.PreconditionFailedError
	var compacted *platform.CompactedError
	a := &schema.StoreAnswer{Version: page.Version, More: page.More, Now: page.Now.Milliseconds()}
	switch {
	case errors.As(err, &preconditionFailed):
		a.Changed = true
		page.Rows = preconditionFailed.Rows
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

func decodeRows(ms []*schema.StoredRow) []platform.StoredRow {
	all := make([]platform.StoredRow, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.StoredRow{
			RowKey: decodeKey(m), Version: m.GetVersion(), Value: m.GetValue(), Deleted: m.GetDeleted(),
		})
	}
	return all
}

func decodeKeys(ms []*schema.StoredRow) []platform.RowKey {
	all := make([]platform.RowKey, 0, len(ms))
	for _, m := range ms {
		all = append(all, decodeKey(m))
	}
	return all
}

func decodeGuards(ms []*schema.StoredRow) []platform.Guard {
	all := make([]platform.Guard, 0, len(ms))
	for _, m := range ms {
		all = append(all, platform.Guard{RowKey: decodeKey(m), Version: m.GetVersion()})
	}
	return all
}
