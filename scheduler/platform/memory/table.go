package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"daisylug.example/scheduler/platform"
)

// Table is a view of an in-memory platform.Table.
type Table struct {
	*Injector
	store *tableContent
}

// NewTable returns the first view of an empty table.
func NewTable(seed uint64) *Table {
	return &Table{
		Injector: NewInjector("table", seed),
		store:    &tableContent{byKey: map[string]platform.Row{}},
	}
}

// Read implements platform.Table.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return invoke(ctx, t.Injector, false, func() ([]platform.Row, error) {
		return t.store.read(keys), nil
	})
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return invoke(ctx, t.Injector, false, func() ([]platform.Row, error) {
		return t.store.scan(prefix, after, limit), nil
	})
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) error {
	return invokeWrite(ctx, t.Injector, func() error { return t.store.commit(tx) })
}

// Counts counts the operations on a table.
type Counts struct {
	Read    int `json:"read"`    // rows read
	Written int `json:"written"` // rows written
	Commits int `json:"commits"` // transactions that took effect
}

// Counts returns the number of operations on the table so far, over all views.
func (t *Table) Counts() Counts {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	return t.store.counts
}

// tableContent is the content of a table.
type tableContent struct {
	mu     sync.Mutex
	byKey  map[string]platform.Row
	keys   []string // sorted
	counts Counts
}

func (r *tableContent) read(keys []string) []platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []platform.Row
	for _, key := range keys {
		if row, ok := r.byKey[key]; ok {
			found = append(found, copyRow(row))
		}
	}
	r.counts.Read += len(found)
	return found
}

func (r *tableContent) scan(prefix, after string, limit int) []platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []platform.Row
	start, _ := slices.BinarySearch(r.keys, max(prefix, after))
	for _, key := range r.keys[start:] {
		if len(found) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			found = append(found, copyRow(r.byKey[key]))
		}
	}
	r.counts.Read += len(found)
	return found
}

func (r *tableContent) commit(tx platform.Transaction) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if keys := r.conflicts(tx.Writes); len(keys) > 0 {
		return &platform.ConflictError{Keys: keys}
	}
	for _, w := range tx.Writes {
		r.apply(tx.Operation, w)
	}
	r.counts.Commits++
	r.counts.Written += len(tx.Writes)
	return nil
}

// conflicts returns the keys of rows that are not at the expected version or that
// are written twice.
func (r *tableContent) conflicts(writes []platform.Write) []string {
	var keys []string
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if seen[w.Key] || r.byKey[w.Key].Version != w.Version {
			keys = append(keys, w.Key)
		}
		seen[w.Key] = true
	}
	return keys
}

func (r *tableContent) apply(operation string, w platform.Write) {
	i, exists := slices.BinarySearch(r.keys, w.Key)
	switch {
	case w.Delete && exists:
		r.keys = slices.Delete(r.keys, i, i+1)
		delete(r.byKey, w.Key)
	case w.Delete:
	default:
		if !exists {
			r.keys = slices.Insert(r.keys, i, w.Key)
		}
		r.byKey[w.Key] = copyRow(platform.Row{
			Key:       w.Key,
			Version:   w.Version + 1,
			Operation: operation,
			Value:     w.Value,
		})
	}
}

// copyRow returns a row that shares no memory with r.
func copyRow(r platform.Row) platform.Row {
	if len(r.Value) == 0 {
		r.Value = nil
		return r
	}
	r.Value = bytes.Clone(r.Value)
	return r
}
