package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Directory is a view of an in-memory platform.Directory.
type Directory struct {
	*Injector
	history *directoryHistory
}

// List implements platform.Directory.
func (d *Directory) List(ctx context.Context) (platform.Listing, error) {
	return invoke(ctx, d.Injector, false, func() (platform.Listing, error) {
		return d.history.list(time.Now()), nil
	})
}

// SetLag sets the age of the listings that List returns.
func (d *Directory) SetLag(lag time.Duration) {
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	d.history.lag = lag
}

// PutInstance adds an instance or replaces the one with the same name.
func (d *Directory) PutInstance(i platform.Instance) {
	d.history.update(func(l *platform.Listing) {
		sameName := func(o platform.Instance) bool { return o.Name == i.Name }
		l.Instances = upsert(l.Instances, i, sameName)
	})
}

// RemoveInstance removes an instance.
func (d *Directory) RemoveInstance(name string) {
	d.history.update(func(l *platform.Listing) {
		sameName := func(o platform.Instance) bool { return o.Name == name }
		l.Instances = slices.DeleteFunc(l.Instances, sameName)
	})
}

// PutWorker adds a worker's entry or replaces the one with the same name.
func (d *Directory) PutWorker(w platform.WorkerInfo) { d.history.putWorker(w) }

// RemoveWorker removes a worker's entry.
func (d *Directory) RemoveWorker(name string) { d.history.removeWorker(name) }

// directoryHistory holds the current and recent contents of the directory, so
// that listings can lag.
type directoryHistory struct {
	mu        sync.Mutex
	lag       time.Duration
	snapshots []directorySnapshot // oldest first
}

// directorySnapshot is the directory's content from a time on.
type directorySnapshot struct {
	from    time.Time
	listing platform.Listing
}

// maxSnapshots limits the snapshots that are kept in case the lag is raised.
const maxSnapshots = 256

func newDirectoryHistory(c Config) *directoryHistory {
	l := platform.Listing{Instances: slices.Clone(c.Instances)}
	for _, w := range c.Workers {
		l.Workers = append(l.Workers, w.Info)
	}
	return &directoryHistory{lag: c.DirectoryLag, snapshots: []directorySnapshot{{listing: l}}}
}

func (h *directoryHistory) list(now time.Time) platform.Listing {
	h.mu.Lock()
	defer h.mu.Unlock()
	asOf := now.Add(-h.lag)
	i := len(h.snapshots) - 1
	for i > 0 && h.snapshots[i].from.After(asOf) {
		i--
	}
	l := h.snapshots[i].listing
	return platform.Listing{
		AsOf:      asOf,
		Instances: slices.Clone(l.Instances),
		Workers:   slices.Clone(l.Workers),
	}
}

func (h *directoryHistory) update(edit func(*platform.Listing)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.snapshots[len(h.snapshots)-1].listing
	l.Instances = slices.Clone(l.Instances)
	l.Workers = slices.Clone(l.Workers)
	edit(&l)
	h.snapshots = append(h.snapshots, directorySnapshot{from: time.Now(), listing: l})
	if len(h.snapshots) > maxSnapshots {
		h.snapshots = slices.Delete(h.snapshots, 0, 1)
	}
}

func (h *directoryHistory) putWorker(w platform.WorkerInfo) {
	h.update(func(l *platform.Listing) {
		sameName := func(o platform.WorkerInfo) bool { return o.Name == w.Name }
		l.Workers = upsert(l.Workers, w, sameName)
	})
}

func (h *directoryHistory) removeWorker(name string) {
	h.update(func(l *platform.Listing) {
		sameName := func(o platform.WorkerInfo) bool { return o.Name == name }
		l.Workers = slices.DeleteFunc(l.Workers, sameName)
	})
}

func (h *directoryHistory) setAddress(name, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, snapshot := range h.snapshots {
		for i := range snapshot.listing.Workers {
			if snapshot.listing.Workers[i].Name == name {
				snapshot.listing.Workers[i].Address = address
			}
		}
	}
}

func upsert[T any](items []T, item T, matches func(T) bool) []T {
	if i := slices.IndexFunc(items, matches); i >= 0 {
		items[i] = item
		return items
	}
	return append(items, item)
}
