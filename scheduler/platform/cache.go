package platform

import (
	"context"
	"errors"
)

// TableCache caches the rows of one table whose part is empty, as of the latest
// Update. Updates after the first one read only the changed rows. It is not
// safe for concurrent use.
type TableCache struct {
	store Store
	table string
	rows  map[string]StoredRow
	// version is the store version up to which changes have been read, or 0
	// before the first Update.
	version int64
}

// cachePageSize is the number of rows listed per call; the store returns at
// most 500.
const cachePageSize = 500

// NewTableCache returns an empty cache of a table.
func NewTableCache(s Store, table string) *TableCache { return &TableCache{store: s, table: table} }

// Rows returns the cached rows by key. Callers must not modify them.
func (c *TableCache) Rows() map[string]StoredRow { return c.rows }

// A store may return only a part of the changes at a time. While a page has at
// least fullWatchPage rows, Update reads on, at most maxWatchPages pages; otherwise
// a table of thousands of rows that change often is read more slowly than it
// changes.
const (
	fullWatchPage = 200
	maxWatchPages = 10
)

// Update applies the changes since the last Update and returns the changed
// rows; removed rows are marked as deleted. An error leaves the cache unchanged.
func (c *TableCache) Update(ctx context.Context) ([]StoredRow, error) {
	if c.version == 0 {
		return c.load(ctx)
	}
	var changed []StoredRow
	for range maxWatchPages {
		page, err := c.store.Watch(ctx, c.table, c.version, 0)
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			loaded, err := c.load(ctx)
			if err != nil && len(changed) > 0 {
				break
			}
			return append(changed, loaded...), err
		}
		if err != nil && len(changed) > 0 {
			// The next Update reports the failure if it lasts.
			break
		}
		if err != nil {
			return nil, err
		}
		for _, r := range page.Rows {
			if r.Deleted {
				delete(c.rows, r.Key)
			} else {
				c.rows[r.Key] = r
			}
		}
		changed = append(changed, page.Rows...)
		c.version = max(c.version, page.Version)
		if len(page.Rows) < fullWatchPage {
			break
		}
	}
	return changed, nil
}

// load reads all rows and returns those that differ from the cached ones.
func (c *TableCache) load(ctx context.Context) ([]StoredRow, error) {
	all := map[string]StoredRow{}
	var changed []StoredRow
	from, version := "", int64(0)
	for {
		page, err := c.store.List(ctx, Range{Table: c.table, From: from, Limit: cachePageSize})
		if err != nil {
			return nil, err
		}
		if version == 0 {
			// The first page's version is kept: later pages may include later
			// changes, which the next Update then reads again.
			version = page.Version
		}
		for _, r := range page.Rows {
			all[r.Key] = r
			if r.Version != c.rows[r.Key].Version {
				changed = append(changed, r)
			}
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		// Continue at the next possible key in byte order.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	for key, r := range c.rows {
		if _, ok := all[key]; !ok {
			r.Deleted = true
			changed = append(changed, r)
		}
	}
	c.rows, c.version = all, version
	return changed, nil
}
