// Package entry is an entry instance for platforms whose workers run jobs of
// steps: it answers callers, takes part in the election of the planner and
// runs the planner while it is in office.
package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/relay"
	"daisylug.example/scheduler/uptime"
)

// Snapshot is a configuration as the platform's adapter decoded it.
type Snapshot interface {
	Config() *control.Config
}

// Source reads the configuration.
type Source interface {
	// Next returns the configuration when it differs from the one with the
	// given version, or nil when the wait has passed without a change.
	Next(ctx context.Context, version int64, wait time.Duration) (Snapshot, error)
}

// Services are what an instance uses of its platform.
type Services struct {
	Store    *RelayingStore
	Registry control.Registry
	Dialer   control.Dialer
	// Adviser is nil where the platform has none.
	Adviser platform.Adviser
	Source  Source
	Peers   member.Transport
}

// Settings of an instance.
type Settings struct {
	// Name is the address for other instances.
	Name       string
	Region     string
	DataCentre string
	// Cores is the instance's share of processors; the planner runs where it
	// is largest.
	Cores float64
	// Link is the speed of the instance's link in bytes a second, or 0 if it is
	// not known.
	Link float64
	// Seeds are addresses of instances to begin with.
	Seeds []string
	// MaxConfigAge is the age up to which a configuration is acted on.
	MaxConfigAge time.Duration
	Timing       control.Timing
}

// Server is one entry instance.
type Server struct {
	settings    Settings
	services    Services
	log         klog.Logger
	metrics     *metrics.Set
	group       *member.Group
	incarnation uint64
	snapshot    atomic.Pointer[Snapshot]
	// confirmed is when the configuration was last known to be the newest.
	confirmed atomic.Pointer[uptime.Stamp]
	seeds     atomic.Pointer[[]string]
	planner   atomic.Pointer[control.Planner]
	router    *relay.Router
	draining  atomic.Bool
}

// New returns an instance. Run starts it.
func New(settings Settings, services Services, set *metrics.Set, log klog.Logger) *Server {
	e := &Server{
		settings: settings, services: services, log: log, metrics: set,
		incarnation: uint64(time.Now().UnixMicro()),
	}
	e.SetSeeds(settings.Seeds)
	self := platform.Instance{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Peer: settings.Name,
		Weight: e.weight(),
	}
	e.group = member.New(self, newDirectory(e), services.Peers, member.WithLogger(log),
		member.WithWholeMesh(), member.WithHubs(meshLimit, hubsPerCentre))
	services.Store.serve(e.group)
	e.router = relay.NewRouter(e.group, services.Dialer, e.incarnation, e.busy, log)
	e.group.Handle(relay.Method, member.Typed(relay.NewServer(services.Dialer, log).Exchange))
	e.handle()
	return e
}

// SetSeeds replaces the addresses of the instances to begin with.
func (e *Server) SetSeeds(seeds []string) { e.seeds.Store(&seeds) }

// weightPerCore is the weight of an instance with one core.
const weightPerCore = 1000

const (
	// meshLimit is the number of instances up to which each keeps a session with
	// each other one; above it, their heartbeats would take a tenth of a core of
	// the smallest instances.
	meshLimit = 48
	// hubsPerCentre is the number of instances of each data centre with which
	// all keep a session in larger deployments; two of them may be lost.
	hubsPerCentre = 3
)

const (
	// lookBytes is what the calls to one worker take of the link each second: a
	// look with its headers, the answer, and starts.
	lookBytes = 1500
	// linkShare is the part of the link that calls to workers may take, so that
	// bursts of them, the store and the other instances find room.
	linkShare = 0.2
	// workersPerCore is the number of workers whose calls take less than half of
	// a core.
	workersPerCore = 500
)

// busy reports whether the planner of this instance has more workers than its
// link and processor carry.
func (e *Server) busy() bool {
	p := e.planner.Load()
	if p == nil {
		return false
	}
	workers := float64(p.Workers())
	return workers > workersPerCore*e.settings.Cores || e.settings.Link > 0 && workers*lookBytes > linkShare*e.settings.Link
}

// weight returns the weight of the instance in the choice of the planner.
func (e *Server) weight() int { return max(int(e.settings.Cores*weightPerCore), 1) }

// Run takes part until ctx ends.
func (e *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.group.Run(ctx) })
	group.Go(func() error { return e.follow(ctx) })
	group.Go(func() error { return e.elect(ctx) })
	group.Go(func() error { return e.announce(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain withdraws readiness and hands the planning over.
func (e *Server) Drain() {
	e.draining.Store(true)
	e.group.SetValue(relay.Draining, []byte{1})
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
	_, ok := e.inOffice()
	return ok
}
