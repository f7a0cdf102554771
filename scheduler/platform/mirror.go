package platform

import (
	"context"
	"errors"
)

// TableCache keeps the rows of one table, in the empty part, as of the latest
// Update. After the first one, only what has changed is read. It is not safe
// for concurrent use.
type TableCache struct {
	store Store
	table string
	rows  map[string]StoredRow
	// version is that of the store up to which changes were read, 0 before the
	// first reading.
	version int64
}

// mirrorPage is the number of rows that are listed at a time; the store returns
// at most 500.
const mirrorPage = 500

// NewTableCache returns the mirror of a table.
func NewTableCache(s Store, table string) *TableCache { return &TableCache{store: s, table: table} }

// Rows returns the rows by key. They must not be changed.
func (m *TableCache) Rows() map[string]StoredRow { return m.rows }

// Update reads what has changed and returns it; removed rows are marked as
// deleted. After an error the rows are as before.
func (m *TableCache) Update(ctx context.Context) ([]StoredRow, error) {
	if m.version == 0 {
		return m.load(ctx)
	}
	page, err := m.store.Watch(ctx, m.table, m.version, 0)
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		return m.load(ctx)
	}
	if err != nil {
		return nil, err
	}
	for _, r := range page.Rows {
		if r.Deleted {
			delete(m.rows, r.Key)
		} else {
			m.rows[r.Key] = r
		}
	}
	m.version = max(m.version, page.Version)
	return page.Rows, nil
}

// load reads all rows.
func (m *TableCache) load(ctx context.Context) ([]StoredRow, error) {
	all := map[string]StoredRow{}
	var changed []StoredRow
	from, version := "", int64(0)
	for {
		page, err := m.store.List(ctx, Range{Table: m.table, From: from, Limit: mirrorPage})
		if err != nil {
			return nil, err
		}
		if version == 0 {
			// Later pages may show later changes, which are then read twice.
			version = page.Version
		}
		for _, r := range page.Rows {
			all[r.Key] = r
			if r.Version != m.rows[r.Key].Version {
				changed = append(changed, r)
			}
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		// The next key in byte order.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	for key, r := range m.rows {
		if _, ok := all[key]; !ok {
			r.Deleted = true
			changed = append(changed, r)
		}
	}
	m.rows, m.version = all, version
	return changed, nil
}
