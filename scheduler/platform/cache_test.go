package platform

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// pagedStore is a store that returns at most fullWatchPage changes at a time. After
// failAfter pages it is unavailable.
type pagedStore struct {
	Store
	rows             []StoredRow
	pages, failAfter int
}

func (s *pagedStore) List(context.Context, Range) (Page, error) { return Page{Version: 1}, nil }

func (s *pagedStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (Page, error) {
	if s.pages++; s.failAfter > 0 && s.pages > s.failAfter {
		return Page{}, &UnavailableError{Service: "store"}
	}
	page := Page{Version: after}
	for _, r := range s.rows {
		if r.Version > after && len(page.Rows) < fullWatchPage {
			page.Rows = append(page.Rows, r)
			page.Version = r.Version
		}
	}
	return page, nil
}

// TestUpdateReadsAllChanges guards against a cache that falls behind a table that
// changes faster than one page for each update, and that loses the pages read before
// a failure.
func TestUpdateReadsAllChanges(t *testing.T) {
	for name, c := range map[string]struct {
		rows, failAfter int
		updates, want   int
	}{
		"few rows":                 {rows: 10, updates: 1, want: 10},
		"several pages":            {rows: 3*fullWatchPage + 5, updates: 1, want: 3*fullWatchPage + 5},
		"failure after two pages":  {rows: 5 * fullWatchPage, failAfter: 2, updates: 1, want: 2 * fullWatchPage},
		"more than one update has": {rows: (maxWatchPages + 1) * fullWatchPage, updates: 2, want: (maxWatchPages + 1) * fullWatchPage},
	} {
		t.Run(name, func(t *testing.T) {
			s := &pagedStore{failAfter: c.failAfter}
			for i := range c.rows {
				s.rows = append(s.rows, StoredRow{RowKey: RowKey{Table: "t", Key: fmt.Sprint(i)}, Version: int64(i + 2)})
			}
			cache := NewTableCache(s, "t")
			if _, err := cache.Update(t.Context()); err != nil {
				t.Fatal(err)
			}
			n := 0
			for range c.updates {
				changed, err := cache.Update(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				n += len(changed)
			}
			if n != c.want || len(cache.Rows()) != c.want {
				t.Errorf("%d changes and %d rows, want %d", n, len(cache.Rows()), c.want)
			}
		})
	}
}
