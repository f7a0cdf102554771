package memory

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Store is a view of an in-memory platform.Store.
type Store struct {
	*Injector
	content *rowContent
}

var _ platform.Store = (*Store)(nil)

// rowContent is what all views of a store share.
type rowContent struct {
	begun   time.Time
	mu      sync.Mutex
	version int64
	// compacted is the version up to which the history is gone.
	compacted int64
	rows      map[platform.RowKey]platform.StoredRow
	changed   chan struct{}
}

// storeAge is how long a new store has been up.
const storeAge = 1 * time.Hour

// NewStore returns the first view of an empty store.
func NewStore(seed uint64) *Store {
	return &Store{
		Injector: NewInjector("store", seed),
		content:  &rowContent{begun: time.Now().Add(-storeAge), rows: map[platform.RowKey]platform.StoredRow{}, changed: make(chan struct{})},
	}
}

// View returns another view of the store, with faults of its own.
func (r *Store) View(seed uint64) *Store {
	return &Store{Injector: NewInjector("store", seed), content: r.content}
}

// Compact forgets the history up to now.
func (r *Store) Compact() {
	r.content.mu.Lock()
	defer r.content.mu.Unlock()
	r.content.compacted = r.content.version
}

// Apply implements platform.Store.
func (r *Store) Apply(ctx context.Context, b platform.Batch) (int64, error) {
	return call(ctx, r.Injector, true, func() (int64, error) { return r.content.apply(b) })
}

// List implements platform.Store.
func (r *Store) List(ctx context.Context, q platform.Range) (platform.Page, error) {
	return call(ctx, r.Injector, false, func() (platform.Page, error) { return r.content.list(q), nil })
}

// Watch implements platform.Store.
func (r *Store) Watch(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, err := call(ctx, r.Injector, false, func() (platform.Page, error) {
			return r.content.since(table, after)
		})
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		r.content.mu.Lock()
		changed := r.content.changed
		r.content.mu.Unlock()
		select {
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-changed:
		}
	}
}

func (c *rowContent) apply(b platform.Batch) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var current []platform.StoredRow
	holds := true
	for _, g := range b.Guards {
		row, ok := c.rows[g.RowKey]
		ok = ok && !row.Deleted
		if ok {
			current = append(current, row)
		}
		holds = holds && (ok && row.Version == g.Version || !ok && g.Version == 0)
	}
	if !holds {
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

func (c *rowContent) list(q platform.Range) platform.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := platform.Page{Version: c.version, Now: time.Since(c.begun)}
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

func (c *rowContent) since(table string, after int64) (platform.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.compacted {
		return platform.Page{}, &platform.CompactedError{Table: table, After: after}
	}
	page := platform.Page{Version: c.version, Now: time.Since(c.begun)}
	for _, r := range c.rows {
		if r.Table == table && r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b platform.StoredRow) int { return cmp.Compare(a.Version, b.Version) })
	return page, nil
}
