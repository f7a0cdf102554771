package remote

import (
	"context"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// lookupTimeout bounds the look-up of a worker that is not known yet.
const lookupTimeout = 2 * time.Second

// Fleet gives access to workers at the addresses that the directory lists.
type Fleet struct {
	directory platform.Directory
	options   Options
	mu        sync.Mutex
	workers   map[string]*Worker
}

// NewFleet returns a fleet that learns addresses from the directory.
func NewFleet(d platform.Directory, o Options) *Fleet {
	return &Fleet{directory: d, options: o, workers: map[string]*Worker{}}
}

// Directory returns the directory. Each of its answers also renews the fleet's
// addresses.
func (f *Fleet) Directory() platform.Directory { return observer{fleet: f} }

type observer struct{ fleet *Fleet }

func (o observer) List(ctx context.Context) (platform.Listing, error) {
	l, err := o.fleet.directory.List(ctx)
	if err == nil {
		o.fleet.Update(l)
	}
	return l, err
}

// Update adopts the addresses of a listing. A worker that is not listed keeps
// its address, since the directory lags.
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

// Worker implements platform.Fleet. A worker that is not known yet is looked
// up in the directory.
func (f *Fleet) Worker(name string) (platform.Worker, error) {
	if w := f.known(name); w != nil {
		return w, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	if _, err := f.Directory().List(ctx); err != nil {
		return nil, err
	}
	if w := f.known(name); w != nil {
		return w, nil
	}
	return nil, &platform.NotFoundError{Kind: "worker", Name: name}
}

func (f *Fleet) known(name string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name]
}
