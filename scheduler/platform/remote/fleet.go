package remote

import (
	"context"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// lookupTimeout is the timeout for looking up an unknown worker in the
// directory.
const lookupTimeout = 2 * time.Second

// Fleet creates and caches clients of the workers that the directory lists.
type Fleet struct {
	directory platform.Directory
	options   Options
	mu        sync.Mutex
	workers   map[string]*Worker
}

// NewFleet returns a fleet that takes the workers' addresses from the directory.
func NewFleet(d platform.Directory, o Options) *Fleet {
	return &Fleet{directory: d, options: o, workers: map[string]*Worker{}}
}

// Directory returns a view of the directory whose listings also update the
// fleet's addresses.
func (f *Fleet) Directory() platform.Directory { return refreshingDirectory{fleet: f} }

type refreshingDirectory struct{ fleet *Fleet }

func (o refreshingDirectory) List(ctx context.Context) (platform.Listing, error) {
	l, err := o.fleet.directory.List(ctx)
	if err == nil {
		o.fleet.Update(l)
	}
	return l, err
}

// Update takes over the addresses of a listing. A worker that is not listed
// keeps its address, since the directory lags.
func (f *Fleet) Update(l platform.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, info := range l.Workers {
		known := f.workers[info.Name]
		if known != nil && known.address == info.Address {
			continue
		}
		if known != nil {
			known.Reset()
		}
		f.workers[info.Name] = newWorker(info, f.options)
	}
}

// Worker implements platform.Fleet. It looks up an unknown worker in the
// directory.
func (f *Fleet) Worker(name string) (platform.Worker, error) {
	if w := f.cachedWorker(name); w != nil {
		return w, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	if _, err := f.Directory().List(ctx); err != nil {
		return nil, err
	}
	if w := f.cachedWorker(name); w != nil {
		return w, nil
	}
	return nil, &platform.NotFoundError{Kind: "worker", Name: name}
}

func (f *Fleet) cachedWorker(name string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name]
}
