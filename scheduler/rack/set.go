package rack

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// AssignFunc returns the member that owns a key; member.Owner is one.
type AssignFunc func(key string, members []platform.Instance) (platform.Instance, bool)

// Manager runs the owners of all racks that are assigned to one instance.
type Manager struct {
	self    platform.Instance
	fleet   platform.Fleet
	sink    OutcomeHandler
	assign  AssignFunc
	log     klog.Logger
	options []Option

	mu sync.Mutex
	// ctx is that of Run; nil while it does not run.
	ctx     context.Context
	wait    sync.WaitGroup
	leaving bool
	members map[string]platform.Instance
	// assigned maps each rack of the data centre to its owner.
	assigned map[string]string
	workers  map[string][]platform.WorkerInfo
	slots    map[string]*slot
	watchers map[chan struct{}]struct{}
	// eager turns the hold after a denial off, for the test that shows what
	// it prevents.
	eager bool
}

// NewManager returns the set of the instance self. Update tells it the members.
func NewManager(self platform.Instance, fleet platform.Fleet, sink OutcomeHandler, assign AssignFunc, options ...Option) *Manager {
	return &Manager{
		self:     self,
		fleet:    fleet,
		sink:     sink,
		assign:   assign,
		log:      newSettings(options).log,
		options:  options,
		members:  map[string]platform.Instance{},
		assigned: map[string]string{},
		workers:  map[string][]platform.WorkerInfo{},
		slots:    map[string]*slot{},
		watchers: map[chan struct{}]struct{}{},
	}
}

// Run runs the owners until ctx ends. It hands nothing over when it ends; a
// graceful shutdown calls Leave first.
func (s *Manager) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.adjust()
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.wait.Wait()
	return nil
}

// Update sets the members and workers as now known; those of other data
// centres are ignored. Owners start and stop accordingly. Without a member or
// without a worker the former ones stay, because an empty list is a fault of
// its source.
func (s *Manager) Update(members []platform.Instance, workers []platform.WorkerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if local := s.localMembers(members); len(local) > 0 {
		s.members = map[string]platform.Instance{}
		for _, m := range local {
			s.members[m.Name] = m
		}
	}
	if racks := s.localRacks(workers); len(racks) > 0 {
		s.workers = racks
	}
	s.adjust()
}

func (s *Manager) localMembers(all []platform.Instance) []platform.Instance {
	return slices.DeleteFunc(slices.Clone(all), func(i platform.Instance) bool {
		return i.DataCentre != s.self.DataCentre
	})
}

func (s *Manager) localRacks(all []platform.WorkerInfo) map[string][]platform.WorkerInfo {
	racks := map[string][]platform.WorkerInfo{}
	for _, w := range all {
		if w.DataCentre == s.self.DataCentre {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	return racks
}

// adjust starts and stops slots as the assignment asks for.
func (s *Manager) adjust() {
	if s.ctx == nil {
		return
	}
	members := s.candidates()
	s.assigned = map[string]string{}
	for name, workers := range s.workers {
		owner, ok := s.assign(name, members)
		if !ok {
			continue
		}
		s.assigned[name] = owner.Name
		sl := s.slots[name]
		switch mine := owner.Name == s.self.Name && !s.leaving; {
		case mine && sl == nil:
			s.open(name, workers)
		case mine:
			sl.setWorkers(workers)
		case sl != nil:
			sl.release()
		}
	}
	for name, sl := range s.slots {
		if s.workers[name] == nil {
			sl.release()
		}
	}
	s.notify()
}

// candidates returns the members that may own racks, in no order.
func (s *Manager) candidates() []platform.Instance {
	var all []platform.Instance
	for _, m := range s.members {
		if m.State != platform.StateLeaving {
			all = append(all, m)
		}
	}
	return all
}

// open starts a slot. The caller holds the lock.
func (s *Manager) open(rack string, workers []platform.WorkerInfo) {
	sl := newSlot(s, rack, workers)
	s.slots[rack] = sl
	ctx := s.ctx
	s.wait.Go(func() {
		sl.run(ctx)
		s.closed(sl)
	})
}

// closed removes a slot that has ended, and opens a new one if the rack was
// assigned again meanwhile.
func (s *Manager) closed(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots, sl.rack)
	close(sl.ended)
	if s.assigned[sl.rack] == s.self.Name {
		s.adjust()
	}
	s.notify()
}

// isMember tells whether an instance of the data centre is live or leaving.
func (s *Manager) isMember(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.members[name]
	return ok
}

// Owner returns the owner of rack if it is ready on this instance.
func (s *Manager) Owner(rack string) (*Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl := s.slots[rack]
	if sl == nil || sl.owner == nil || !sl.owner.isReady() {
		return nil, false
	}
	return sl.owner, true
}

// Assigned returns the name of the instance that should own rack.
func (s *Manager) Assigned(rack string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.assigned[rack]
	return name, ok
}

// Racks returns the names of the racks of the data centre, in order.
func (s *Manager) Racks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for name := range s.workers {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Summaries returns the summaries of all ready owners, ordered by rack.
func (s *Manager) Summaries() []Summary {
	var all []Summary
	for _, name := range s.Racks() {
		if o, ok := s.Owner(name); ok {
			all = append(all, o.Summary())
		}
	}
	return all
}

// Subscribe returns a channel that receives a value after an owner has become
// ready or has ended, or racks were assigned anew. The function ends the
// subscription.
func (s *Manager) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, c)
	}
}

func (s *Manager) notify() {
	for c := range s.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Leave hands all racks over and claims no further one. It returns when the
// leases of all owners are given up, at the latest when ctx ends.
func (s *Manager) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	var open []*slot
	for _, sl := range s.slots {
		sl.release()
		open = append(open, sl)
	}
	s.mu.Unlock()
	for _, sl := range open {
		select {
		case <-sl.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// slot is a rack that is assigned to the instance.
type slot struct {
	set     *Manager
	rack    string
	release func()
	// released is closed when the rack is no longer assigned, ended when it
	// is handed over.
	released chan struct{}
	ended    chan struct{}

	// Under the set's lock:

	workers []platform.WorkerInfo
	owner   *Owner
	// denial is how the rack was last lost.
	denial *denial
}

// denial is a generation that another instance has put in place of the own one.
type denial struct {
	generation platform.Generation
	at         time.Time
	// member tells whether its holder was a member then.
	member bool
}

func newSlot(s *Manager, rack string, workers []platform.WorkerInfo) *slot {
	sl := &slot{set: s, rack: rack, workers: workers, released: make(chan struct{}), ended: make(chan struct{})}
	sl.release = sync.OnceFunc(func() { close(sl.released) })
	return sl
}

// setWorkers is called with the set's lock.
func (sl *slot) setWorkers(workers []platform.WorkerInfo) {
	sl.workers = workers
	if sl.owner != nil {
		sl.owner.SetWorkers(workers)
	}
}
