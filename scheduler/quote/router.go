package quote

import (
	"context"

	"daisylug.example/scheduler/platform"
)

// Router answers quick requests on the workers of its data centre.
type Router struct {
	deps    Dependencies
	options Options
}

// New returns a router. It starts no goroutine; Run keeps its view current
// while no requests arrive.
func New(d Dependencies, o Options) *Router {
	return &Router{deps: d, options: o.withDefaults()}
}

// Do answers a request or returns *RefusedError. It returns by the request's
// deadline.
func (r *Router) Do(_ context.Context, _ Request) (Answer, error) {
	return Answer{}, &RefusedError{Reason: ReasonWorkers, Ran: RanNo}
}

// Run reads the view at intervals until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Refresh reads the view now.
func (r *Router) Refresh() {}

// Drain refuses new requests and returns when all others are answered and
// their claims are finished, or when ctx is done.
func (r *Router) Drain(_ context.Context) error { return nil }

// Status returns a snapshot of the queue, the limiter and the workers.
func (r *Router) Status() Status { return Status{} }

// Pool is a platform.Fleet whose quick requests use replaceable connections.
type Pool struct {
	options PoolOptions
}

// NewPool returns a pool of connections within the instance's share of each
// worker's connections. Calls other than Run, Revoke and Probe go to commands,
// which may be nil.
func NewPool(_ string, _ Dialer, _ View, _ platform.Fleet, o PoolOptions) *Pool {
	return &Pool{options: o.withDefaults()}
}

// Worker returns the worker's client, or *platform.NotFoundError.
func (p *Pool) Worker(name string) (platform.Worker, error) {
	return nil, &platform.NotFoundError{Kind: "worker", Name: name}
}

// Run probes idle connections and replaces silent ones until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Close closes all connections.
func (p *Pool) Close() {}

// Status returns a snapshot of the pool.
func (p *Pool) Status() PoolStatus { return PoolStatus{} }
