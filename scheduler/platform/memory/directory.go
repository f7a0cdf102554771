package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Directory is one view of the directory.
type Directory struct {
	*Injector
	book *book
}

// List implements platform.Directory.
func (d *Directory) List(ctx context.Context) (platform.Listing, error) {
	return call(ctx, d.Injector, false, func() (platform.Listing, error) {
		return d.book.list(time.Now()), nil
	})
}

// SetLag changes the age of the answers.
func (d *Directory) SetLag(lag time.Duration) {
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	d.book.lag = lag
}

// PutInstance adds an instance or replaces the one of the same name.
func (d *Directory) PutInstance(i platform.Instance) {
	d.book.change(func(l *platform.Listing) {
		same := func(o platform.Instance) bool { return o.Name == i.Name }
		l.Instances = put(l.Instances, i, same)
	})
}

// RemoveInstance removes an instance.
func (d *Directory) RemoveInstance(name string) {
	d.book.change(func(l *platform.Listing) {
		same := func(o platform.Instance) bool { return o.Name == name }
		l.Instances = slices.DeleteFunc(l.Instances, same)
	})
}

// PutWorker adds a worker's entry or replaces the one of the same name.
func (d *Directory) PutWorker(w platform.WorkerInfo) { d.book.putWorker(w) }

// RemoveWorker removes a worker's entry.
func (d *Directory) RemoveWorker(name string) { d.book.removeWorker(name) }

// book holds the directory's truth and its recent past.
type book struct {
	mu    sync.Mutex
	lag   time.Duration
	pages []page // oldest first
}

// page is the directory's content from a time on.
type page struct {
	from    time.Time
	listing platform.Listing
}

// maxPages bounds the past that is kept in case the lag is raised.
const maxPages = 256

func newBook(c Config) *book {
	l := platform.Listing{Instances: slices.Clone(c.Instances)}
	for _, w := range c.Workers {
		l.Workers = append(l.Workers, w.Info)
	}
	return &book{lag: c.DirectoryLag, pages: []page{{listing: l}}}
}

func (b *book) list(now time.Time) platform.Listing {
	b.mu.Lock()
	defer b.mu.Unlock()
	asOf := now.Add(-b.lag)
	at := len(b.pages) - 1
	for at > 0 && b.pages[at].from.After(asOf) {
		at--
	}
	l := b.pages[at].listing
	return platform.Listing{
		AsOf:      asOf,
		Instances: slices.Clone(l.Instances),
		Workers:   slices.Clone(l.Workers),
	}
}

func (b *book) change(edit func(*platform.Listing)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.pages[len(b.pages)-1].listing
	l.Instances = slices.Clone(l.Instances)
	l.Workers = slices.Clone(l.Workers)
	edit(&l)
	b.pages = append(b.pages, page{from: time.Now(), listing: l})
	if len(b.pages) > maxPages {
		b.pages = slices.Delete(b.pages, 0, 1)
	}
}

func (b *book) putWorker(w platform.WorkerInfo) {
	b.change(func(l *platform.Listing) {
		same := func(o platform.WorkerInfo) bool { return o.Name == w.Name }
		l.Workers = put(l.Workers, w, same)
	})
}

func (b *book) removeWorker(name string) {
	b.change(func(l *platform.Listing) {
		same := func(o platform.WorkerInfo) bool { return o.Name == name }
		l.Workers = slices.DeleteFunc(l.Workers, same)
	})
}

func (b *book) setAddress(name, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pages {
		for i := range p.listing.Workers {
			if p.listing.Workers[i].Name == name {
				p.listing.Workers[i].Address = address
			}
		}
	}
}

func put[T any](all []T, item T, same func(T) bool) []T {
	if at := slices.IndexFunc(all, same); at >= 0 {
		all[at] = item
		return all
	}
	return append(all, item)
}
