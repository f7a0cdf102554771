package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"k8s.io/klog/v2"

	"daisylug.example/daisylugd/loop"
	"daisylug.example/scheduler/balance"
	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quote"
	"daisylug.example/scheduler/rack"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

// Daemon is one entry instance.
type Daemon struct {
	settings       Settings
	self           platform.Instance
	services       platform.Platform
	log            klog.Logger
	group          *member.Group
	ledger         *ledger.Ledger
	catalogue      *template.Catalogue
	account        *balance.Account
	publishedRacks *publishedRacks
	topology       topologyTracker
	racks          *rack.Manager
	launcher       *launcher
	scheduler      *scheduler
	pool           *quote.Pool
	router         *quote.Router
	claims         *claims
	plans          *plans
	metrics        *instanceMetrics
	decoder        *decoder
	ready          atomic.Bool
	draining       atomic.Bool
	// lastRequest is the arrival time of the latest request, in Unix
	// nanoseconds.
	lastRequest atomic.Int64
}

// New returns an instance that uses the given services and transport.
func New(settings Settings, services platform.Platform, peers member.Transport, dialer quote.Dialer, log klog.Logger) *Daemon {
	d := &Daemon{
		settings: settings,
		self: platform.Instance{
			Name:       settings.Name,
			Region:     settings.Region,
			DataCentre: settings.Centre,
			API:        settings.API,
			Peer:       settings.Peer,
			Weight:     settings.Weight,
			State:      platform.StateLive,
		},
		services:       services,
		log:            log,
		publishedRacks: newPublishedRacks(),
		metrics:        newInstanceMetrics(),
		plans:          newPlans(),
		decoder:        &decoder{maxBytes: int64(settings.BodyBytes)},
	}
	d.group = member.New(d.self, services.Directory, peers, member.WithLogger(log))
	d.initStorage()
	d.initScheduling()
	d.initQuickRequests(dialer)
	d.registerHandlers()
	return d
}

// initStorage creates the components that keep durable state.
func (d *Daemon) initStorage() {
	options := ledger.DefaultOptions()
	options.Instance = d.settings.Name
	options.Rate = float64(d.settings.WritesPerSecond)
	d.ledger = ledger.New(d.services.Table, d.services.Objects, options)
	d.catalogue = template.New(d.services.Table, d.checkGuarantees, template.DefaultOptions())
	accountOptions := balance.DefaultOptions(d.settings.Centre)
	accountOptions.OutageTolerance = d.settings.Outage
	accountOptions.Interval = d.settings.Settle
	d.account = balance.New(d.services.Table, accountOptions)
}

// initScheduling creates the components that own racks and schedule jobs.
func (d *Daemon) initScheduling() {
	d.launcher = newLauncher(d.self, d.ledger, d.group, d.notifyEnded, d.metrics, d.log)
	d.racks = rack.NewManager(d.self, d.services.Fleet, d.launcher, member.Owner, rack.WithLogger(d.log))
	d.launcher.racks = d.racks
	weights := gang.Completion()
	if d.settings.Objective == "fragmentation" {
		weights = gang.Fragmentation()
	}
	options := planner.DefaultOptions(weights)
	options.GracePeriod = d.settings.Grace
	d.scheduler = newScheduler(d.self, d.group, d.ledger, d.catalogue, d.publishedRacks, planner.New(options), d.account, d, d.settings.Grace, d.log)
}

// initQuickRequests creates the components that serve quick requests.
func (d *Daemon) initQuickRequests(dialer quote.Dialer) {
	d.claims = newClaims(d.ledger)
	view := &routerView{daemon: d}
	d.pool = quote.NewPool(d.settings.Name, dialer, view, d.services.Fleet, quote.PoolOptions{})
	d.router = quote.New(quote.Dependencies{
		Self:      d.settings.Name,
		Fleet:     d.pool,
		View:      view,
		Claimer:   d.claims,
		Forwarder: &forwarder{daemon: d},
		Metrics:   d.metrics.set,
	}, quote.Options{QueuePerSlot: d.settings.QueuePerSlot})
}

// checkGuarantees returns an error if the workers cannot hold the guarantees of
// all teams.
func (d *Daemon) checkGuarantees(teams []*schema.Team) error {
	listing, ok := d.group.Listing()
	if !ok {
		return &platform.UnavailableError{Service: "directory"}
	}
	return checkGuarantees(teams, listing.Workers)
}

// Run serves until a signal or a fatal error, then shuts down gracefully.
func (d *Daemon) Run() error {
	server, err := d.server()
	if err != nil {
		return err
	}
	app := kratos.New(
		kratos.Name("daisylugd"),
		kratos.Version(Version),
		kratos.Logger(loop.NewKratosLogger(d.log)),
		kratos.StopTimeout(d.settings.Patience),
		kratos.Server(
			loop.New(d.group.Run),
			loop.New(d.catalogue.Run),
			loop.New(d.account.Run),
			loop.New(d.racks.Run),
			loop.New(d.propagateChanges),
			loop.New(d.scheduler.run),
			loop.New(d.scheduler.scan),
			loop.New(d.collectUsage),
			loop.New(d.pool.Run),
			loop.New(d.router.Run),
			server,
		),
		kratos.BeforeStop(func(context.Context) error { return d.shutDown(server) }),
	)
	d.log.Info(EventStart, "instance", d.self.Name, "centre", d.self.DataCentre, "api", d.self.API)
	err = app.Run()
	d.log.Info(EventStop, "instance", d.self.Name)
	return err
}

// shutDown withdraws readiness, waits for requests in flight and hands over the
// racks. New requests are still answered during the drain time, because the
// load balancer notices the withdrawal with a delay.
func (d *Daemon) shutDown(server transport.Server) error {
	d.log.Info(EventDrain, "instance", d.self.Name)
	d.draining.Store(true)
	d.awaitQuietPeriod()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Patience)
	defer cancel()
	err := server.Stop(ctx)
	if drainErr := d.router.Drain(ctx); err == nil {
		err = drainErr
	}
	if leaveErr := d.racks.Leave(ctx); err == nil {
		err = leaveErr
	}
	if leaveErr := d.group.Leave(ctx); err == nil {
		err = leaveErr
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error(err, "graceful shutdown incomplete", "instance", d.self.Name)
	}
	return nil
}

// quietPeriod is how long no new request must arrive before the listener
// closes.
const quietPeriod = 250 * time.Millisecond

// awaitQuietPeriod waits for the drain time, and longer while requests still
// arrive, because closing the listener cuts connections that the kernel has
// already accepted.
func (d *Daemon) awaitQuietPeriod() {
	end := time.Now().Add(d.settings.Patience)
	time.Sleep(d.settings.Drain)
	for time.Now().Before(end) {
		idle := time.Since(time.Unix(0, d.lastRequest.Load()))
		if idle >= quietPeriod {
			return
		}
		time.Sleep(quietPeriod - idle)
	}
}

// isReady reports whether the instance should receive new requests.
func (d *Daemon) isReady() bool {
	return d.ready.Load() && !d.draining.Load()
}
