package quote

import (
	"context"

	"daisylug.example/scheduler/platform"
)

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
