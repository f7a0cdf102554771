package memory

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Store is a view of an in-memory platform.Store.
type Store struct {
	*Injector
	content *storeContent
}

var _ platform.Store = (*Store)(nil)

// storeContent is the state that all views of a store share.
type storeContent struct {
	started time.Time
	mu      sync.Mutex
	version int64
	// compacted is the version up to which the history has been discarded.
	compacted int64
	rows      map[platform.RowKey]platform.StoredRow
	changed   chan struct{}
	// maxValueBytes limits the value of a row, or is 0.
	maxValueBytes int
}

// initialUptime is the uptime of a new store, on the clock in Page.Now.
const initialUptime = 1 * time.Hour

// NewStore returns the first view of an empty store.
func NewStore(seed uint64) *Store {
	return &Store{
		Injector: NewInjector("store", seed),
		content:  &storeContent{started: time.Now().Add(-initialUptime), rows: map[platform.RowKey]platform.StoredRow{}, changed: make(chan struct{})},
	}
}

// View returns another view of the store, with its own faults.
func (s *Store) View(seed uint64) *Store {
	return &Store{Injector: NewInjector("store", seed), content: s.content}
}

// LimitValues makes the store reject batches with a value of more than n bytes.
func (s *Store) LimitValues(n int) {
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	s.content.maxValueBytes = n
}

// Compact discards the history up to the current version.
func (s *Store) Compact() {
	s.content.mu.Lock()
	defer s.content.mu.Unlock()
	s.content.compacted = s.content.version
}

// Apply implements platform.Store.
func (s *Store) Apply(ctx context.Context, b platform.Batch) (int64, error) {
	return invoke(ctx, s.Injector, true, func() (int64, error) { return s.content.apply(b) })
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, q platform.Range) (platform.Page, error) {
	return invoke(ctx, s.Injector, false, func() (platform.Page, error) { return s.content.list(q), nil })
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, err := invoke(ctx, s.Injector, false, func() (platform.Page, error) {
			return s.content.changesSince(table, after)
		})
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		s.content.mu.Lock()
		changed := s.content.changed
		s.content.mu.Unlock()
		select {
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-changed:
		}
	}
}

func (c *storeContent) apply(b platform.Batch) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range b.Writes {
		if c.maxValueBytes > 0 && len(w.Value) > c.maxValueBytes {
			return 0, &platform.RejectedBatchError{Reason: fmt.Sprintf("row %s/%s has %d bytes", w.Table, w.Key, len(w.Value))}
		}
	}
	var current []platform.StoredRow
	satisfied := true
	for _, g := range b.Guards {
		row, ok := c.rows[g.RowKey]
		ok = ok && !row.Deleted
		if ok {
			current = append(current, row)
		}
		satisfied = satisfied && (ok && row.Version == g.Version || !ok && g.Version == 0)
	}
	if !satisfied {
		return 0, &platform.PreconditionFailedError{Rows: current}
	}
	c.version++
	for _, w := range b.Writes {
		c.rows[w.RowKey] = platform.StoredRow{RowKey: w.RowKey, Version: c.version, Value: bytes.Clone(w.Value)}
	}
	for _, k := range b.Removes {
		c.rows[k] = platform.StoredRow{RowKey: k, Version: c.version, Deleted: true}
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.version, nil
}

func (c *storeContent) list(q platform.Range) platform.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := platform.Page{Version: c.version, Now: time.Since(c.started)}
	for _, r := range c.rows {
		if r.Table == q.Table && r.Part == q.Part && r.Key >= q.From && !r.Deleted {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.StoredRow) int { return cmp.Compare(a.Key, b.Key) })
	if q.Limit > 0 && len(page.Rows) > q.Limit {
		page.Rows, page.More = page.Rows[:q.Limit], true
	}
	return page
}

func (c *storeContent) changesSince(table string, after int64) (platform.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.compacted {
		return platform.Page{}, &platform.CompactedError{Table: table, After: after}
	}
	page := platform.Page{Version: c.version, Now: time.Since(c.started)}
	for _, r := range c.rows {
		if r.Table == table && r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.StoredRow) int { return cmp.Compare(a.Version, b.Version) })
	return page, nil
}
