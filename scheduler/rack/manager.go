package rack

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// AssignFunc returns the member that owns a key. member.Owner is an
// implementation.
type AssignFunc func(key string, members []platform.Instance) (platform.Instance, bool)

// Manager runs the owners of all racks that are assigned to one instance.
type Manager struct {
	self           platform.Instance
	fleet          platform.Fleet
	outcomeHandler OutcomeHandler
	assign         AssignFunc
	log            klog.Logger
	options        []Option

	mu sync.Mutex
	// ctx is the context of Run; nil while Run is not active.
	ctx     context.Context
	wait    sync.WaitGroup
	leaving bool
	members map[string]platform.Instance
	// assigned maps each rack of the data centre to its owner.
	assigned    map[string]string
	workers     map[string][]platform.WorkerInfo
	runners     map[string]*rackRunner
	subscribers map[chan struct{}]struct{}
	// holdDisabled lets an instance that was denied claim the rack again at once,
	// for the test that shows what the hold in mayClaim prevents.
	holdDisabled bool
}

// NewManager returns the manager of the instance self. It has no members until
// Update is called.
func NewManager(self platform.Instance, fleet platform.Fleet, outcomeHandler OutcomeHandler, assign AssignFunc, options ...Option) *Manager {
	return &Manager{
		self:           self,
		fleet:          fleet,
		outcomeHandler: outcomeHandler,
		assign:         assign,
		log:            newSettings(options).log,
		options:        options,
		members:        map[string]platform.Instance{},
		assigned:       map[string]string{},
		workers:        map[string][]platform.WorkerInfo{},
		runners:        map[string]*rackRunner{},
		subscribers:    map[chan struct{}]struct{}{},
	}
}

// Run runs the owners until ctx ends. It does not hand racks over; a graceful
// shutdown calls Leave first.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.reconcile()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.wait.Wait()
	return nil
}

// Update sets the current members and workers, and starts and stops owners
// accordingly. It ignores members and workers of other data centres. An empty list
// leaves the previous one in place, because it is a fault of its source.
func (m *Manager) Update(members []platform.Instance, workers []platform.WorkerInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if local := m.localMembers(members); len(local) > 0 {
		m.members = map[string]platform.Instance{}
		for _, member := range local {
			m.members[member.Name] = member
		}
	}
	if racks := m.localRacks(workers); len(racks) > 0 {
		m.workers = racks
	}
	m.reconcile()
}

func (m *Manager) localMembers(all []platform.Instance) []platform.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(i platform.Instance) bool {
		return i.DataCentre != m.self.DataCentre
	})
}

func (m *Manager) localRacks(all []platform.WorkerInfo) map[string][]platform.WorkerInfo {
	racks := map[string][]platform.WorkerInfo{}
	for _, w := range all {
		if w.DataCentre == m.self.DataCentre {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	return racks
}

// reconcile starts and releases runners so that they match the assignment of the
// racks. The caller holds the lock.
func (m *Manager) reconcile() {
	if m.ctx == nil {
		return
	}
	members := m.eligibleMembers()
	m.assigned = map[string]string{}
	for name, workers := range m.workers {
		owner, ok := m.assign(name, members)
		if !ok {
			continue
		}
		m.assigned[name] = owner.Name
		r := m.runners[name]
		switch mine := owner.Name == m.self.Name && !m.leaving; {
		case mine && r == nil:
			m.startRunner(name, workers)
		case mine:
			r.setWorkers(workers)
		case r != nil:
			r.release()
		}
	}
	for name, r := range m.runners {
		if m.workers[name] == nil {
			r.release()
		}
	}
	m.notify()
}

// eligibleMembers returns the members that may own racks, in no particular order.
func (m *Manager) eligibleMembers() []platform.Instance {
	var all []platform.Instance
	for _, member := range m.members {
		if member.State != platform.StateLeaving {
			all = append(all, member)
		}
	}
	return all
}

// startRunner starts the runner of a rack. The caller holds the lock.
func (m *Manager) startRunner(rack string, workers []platform.WorkerInfo) {
	r := newRackRunner(m, rack, workers)
	m.runners[rack] = r
	ctx := m.ctx
	m.wait.Go(func() {
		r.run(ctx)
		m.removeRunner(r)
	})
}

// removeRunner removes a runner that has ended, and starts a new one if the rack
// was assigned to the instance again in the meantime.
func (m *Manager) removeRunner(r *rackRunner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runners, r.rack)
	close(r.ended)
	if m.assigned[r.rack] == m.self.Name {
		m.reconcile()
	}
	m.notify()
}

// isMember reports whether the named instance is a live or leaving member of the
// data centre.
func (m *Manager) isMember(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.members[name]
	return ok
}

// Owner returns the owner of rack if it runs on this instance and is ready.
func (m *Manager) Owner(rack string) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.runners[rack]
	if r == nil || r.owner == nil || !r.owner.isReady() {
		return nil, false
	}
	return r.owner, true
}

// Assigned returns the name of the instance that should own rack.
func (m *Manager) Assigned(rack string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, ok := m.assigned[rack]
	return name, ok
}

// Racks returns the sorted names of the racks of the data centre.
func (m *Manager) Racks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	for name := range m.workers {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Summaries returns the summaries of all ready owners, ordered by rack.
func (m *Manager) Summaries() []Summary {
	var all []Summary
	for _, name := range m.Racks() {
		if o, ok := m.Owner(name); ok {
			all = append(all, o.Summary())
		}
	}
	return all
}

// Subscribe returns a channel that receives a value after an owner became ready or
// ended, or racks were reassigned. The returned function ends the subscription.
func (m *Manager) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[c] = struct{}{}
	return c, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscribers, c)
	}
}

func (m *Manager) notify() {
	for c := range m.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Leave hands all racks over and claims no further ones. It returns when all
// owners have ended their leases, or with an error when ctx ends.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	var pending []*rackRunner
	for _, r := range m.runners {
		r.release()
		pending = append(pending, r)
	}
	m.mu.Unlock()
	for _, r := range pending {
		select {
		case <-r.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// rackRunner runs the owner of a rack that is assigned to the instance.
type rackRunner struct {
	manager *Manager
	rack    string
	release func()
	// released is closed when the rack is no longer assigned to the instance,
	// ended when it is handed over.
	released chan struct{}
	ended    chan struct{}

	// The manager's lock protects the following fields.

	workers []platform.WorkerInfo
	owner   *Owner
	// latestDenial describes how the rack was last lost.
	latestDenial *denial
}

// denial is the generation with which another instance superseded this one.
type denial struct {
	generation platform.Generation
	at         time.Time
	// holderWasMember reports whether the holder of the generation was a member
	// at that time.
	holderWasMember bool
}

func newRackRunner(m *Manager, rack string, workers []platform.WorkerInfo) *rackRunner {
	r := &rackRunner{manager: m, rack: rack, workers: workers, released: make(chan struct{}), ended: make(chan struct{})}
	r.release = sync.OnceFunc(func() { close(r.released) })
	return r
}

// setWorkers replaces the workers of the rack. The caller holds the manager's lock.
func (r *rackRunner) setWorkers(workers []platform.WorkerInfo) {
	r.workers = workers
	if r.owner != nil {
		r.owner.SetWorkers(workers)
	}
}
