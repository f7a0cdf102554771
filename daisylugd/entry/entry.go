// Package entry implements an entry instance for platforms whose workers run
// jobs made of steps. It serves callers, takes part in the election of the
// planner and runs the planner while it is the elected leader.
package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/relay"
	"daisylug.example/scheduler/uptime"
)

// Snapshot is a configuration decoded by the platform's adapter.
type Snapshot interface {
	Config() *control.Config
}

// Update is what a source has read.
type Update struct {
	// Snapshot is nil if there is no newer configuration.
	Snapshot Snapshot
	// Evacuations holds the data centres to evacuate.
	Evacuations evacuation.Set
}

// Source reads the configuration and the evacuations.
type Source interface {
	// Next returns a configuration newer than the given version, if there is one
	// within the wait, and the evacuations. It returns early when they change. The
	// evacuations of an update are valid also if the configuration is not and an
	// error is returned, unless their version is 0.
	Next(ctx context.Context, version int64, wait time.Duration) (Update, error)
}

// Services holds the platform services that an instance uses.
type Services struct {
	Store    *RelayingStore
	Registry control.Registry
	Dialer   control.Dialer
	// Adviser is nil if the platform has no adviser.
	Adviser platform.Adviser
	Source  Source
	Peers   member.Transport
	// ConfigApplied, if set, is called with each configuration that takes effect.
	ConfigApplied func(Snapshot)
}

// Settings configures an instance.
type Settings struct {
	// Name identifies the instance; it is the address at which other instances
	// reach it.
	Name       string
	Region     string
	DataCentre string
	// Cores is the number of processor cores that the instance may use. The
	// instance with the most cores is preferred as planner.
	Cores float64
	// LinkBytesPerSecond is the bandwidth of the network link, or 0 if it is
	// unknown.
	LinkBytesPerSecond float64
	// Seeds are the addresses of instances to contact first.
	Seeds []string
	// MaxConfigAge is the maximum time since the configuration was confirmed;
	// after it, callers are refused.
	MaxConfigAge time.Duration
	// EvacuationTimeout is the time within which the start of tasks in an evacuated
	// data centre must end, or 0 if the platform sets none.
	EvacuationTimeout time.Duration
	// LargeServiceWorkers is the number of workers from which a service tries failing
	// workers with one task at a time, shares its capacity between teams under
	// overload and refuses work that would be too late.
	LargeServiceWorkers int
	// MaxRowBytes is the longest value that the store accepts, or 0 for 64 KB.
	MaxRowBytes int
	// Memory is what the process may use, in bytes, or 0 for 256 MB.
	Memory int64
	Timing control.Timing
}

// Server is one entry instance.
type Server struct {
	settings    Settings
	services    Services
	log         klog.Logger
	metrics     *meter.Set
	group       *member.Group
	incarnation uint64
	snapshot    atomic.Pointer[Snapshot]
	// configConfirmedAt is when the configuration was last confirmed to be the
	// newest.
	configConfirmedAt atomic.Pointer[uptime.Stamp]
	evacuations       evacuationView
	succession        succession
	seeds             atomic.Pointer[[]string]
	planner           atomic.Pointer[control.Planner]
	router            *relay.Router
	submissions       submissionBudget
	// othersKnownAt is when the instances that have started with this one are known.
	othersKnownAt time.Time
	draining      atomic.Bool
}

// New returns an instance that Run starts.
func New(settings Settings, services Services, set *meter.Set, log klog.Logger) *Server {
	e := &Server{
		settings: settings, services: services, log: log, metrics: set,
		incarnation: uint64(time.Now().UnixMicro()), othersKnownAt: time.Now().Add(membershipTime),
	}
	e.SetSeeds(settings.Seeds)
	self := platform.Instance{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Peer: settings.Name,
		Weight: e.weight(),
	}
	e.group = member.New(self, newDirectory(e), services.Peers, member.WithLogger(log),
		member.WithFullMesh(), member.WithHubs(maxFullMeshInstances, hubsPerDataCentre))
	services.Store.joinGroup(e.group, set)
	e.router = relay.NewRouter(e.group, services.Dialer, e.incarnation, e.overloaded, log)
	e.group.Handle(relay.ExchangeMethod, member.Typed(relay.NewServer(services.Dialer, e.checkRelayedStart, log).Exchange))
	e.registerHandlers()
	return e
}

// SetSeeds replaces the addresses of the instances to contact first.
func (e *Server) SetSeeds(seeds []string) { e.seeds.Store(&seeds) }

// weightPerCore is the election weight of an instance with one core.
const weightPerCore = 1000

const (
	// maxFullMeshInstances is the maximum number of instances that form a full
	// mesh of sessions. In a larger mesh, heartbeats would take a tenth of a core
	// of the smallest instances.
	maxFullMeshInstances = 48
	// hubsPerDataCentre is the number of hub instances per data centre, with which
	// all instances of a larger deployment keep a session. Two of them may fail.
	hubsPerDataCentre = 3
)

const (
	// bytesPerWorker is the bandwidth that the calls to one worker take, in bytes
	// per second: a status poll with its headers, the response, and starts.
	bytesPerWorker = 1500
	// maxLinkShare is the maximum share of the link for calls to workers. The rest
	// is left for bursts of these calls, the store and the other instances.
	maxLinkShare = 0.2
	// workersPerCore is the maximum number of workers per core; the calls to that
	// many take less than half of the core.
	workersPerCore = 500
)

// overloaded reports whether the planner of this instance has more workers than
// its link or its processor can serve directly.
func (e *Server) overloaded() bool {
	p := e.planner.Load()
	if p == nil {
		return false
	}
	workers := float64(p.Workers())
	return workers > workersPerCore*e.settings.Cores || e.settings.LinkBytesPerSecond > 0 && workers*bytesPerWorker > maxLinkShare*e.settings.LinkBytesPerSecond
}

// weight returns the weight of the instance in the election of the planner.
func (e *Server) weight() int { return max(int(e.settings.Cores*weightPerCore), 1) }

// Run runs the instance until ctx is cancelled.
func (e *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.group.Run(ctx) })
	group.Go(func() error { return e.services.Store.probePath(ctx) })
	group.Go(func() error { return e.watchConfig(ctx) })
	group.Go(func() error { return e.runElection(ctx) })
	group.Go(func() error { return e.registerInstance(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain makes the instance unready and lets its planner, if any, resign.
func (e *Server) Drain() {
	e.draining.Store(true)
	e.group.SetValue(relay.DrainingKey, []byte{1})
	if p := e.planner.Load(); p != nil {
		p.Resign()
	}
}

// Draining reports whether the instance is shutting down.
func (e *Server) Draining() bool { return e.draining.Load() }

// Ready reports whether the instance can serve callers.
func (e *Server) Ready() bool {
	if e.draining.Load() || !e.ConfigFresh() {
		return false
	}
	_, ok := e.leaderInstance()
	return ok
}
