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
	settings  Settings
	self      platform.Instance
	services  platform.Platform
	log       klog.Logger
	group     *member.Group
	ledger    *ledger.Ledger
	catalogue *template.Catalogue
	account   *balance.Account
	board     *board
	layout    layoutCheck
	racks     *rack.Manager
	launcher  *launcher
	scheduler *scheduler
	pool      *quote.Pool
	router    *quote.Router
	claims    *claims
	plans     *plans
	metrics   *meters
	ready     atomic.Bool
	draining  atomic.Bool
	// latest is when the latest request arrived, in nanoseconds.
	latest atomic.Int64
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
		services: services,
		log:      log,
		board:    newBoard(),
		metrics:  newMeters(),
		plans:    newPlans(),
	}
	d.group = member.New(d.self, services.Directory, peers, member.WithLogger(log))
	d.state()
	d.control()
	d.requests(dialer)
	d.handlers()
	return d
}

// state creates the parts that keep durable state.
func (d *Daemon) state() {
	options := ledger.DefaultOptions()
	options.Instance = d.settings.Name
	options.Rate = float64(d.settings.WritesPerSecond)
	d.ledger = ledger.New(d.services.Table, d.services.Objects, options)
	d.catalogue = template.New(d.services.Table, d.feasible, template.DefaultOptions())
	accounts := balance.DefaultOptions(d.settings.Centre)
	accounts.OutageTolerance = d.settings.Outage
	accounts.Interval = d.settings.Settle
	d.account = balance.New(d.services.Table, accounts)
}

// control creates the parts that own racks and decide.
func (d *Daemon) control() {
	d.launcher = newLauncher(d.self, d.ledger, d.group, d.notifyEnded, d.metrics, d.log)
	d.racks = rack.NewManager(d.self, d.services.Fleet, d.launcher, member.Owner, rack.WithLogger(d.log))
	d.launcher.racks = d.racks
	weights := gang.Completion()
	if d.settings.Objective == "fragmentation" {
		weights = gang.Fragmentation()
	}
	options := planner.DefaultOptions(weights)
	options.Grace = d.settings.Grace
	d.scheduler = newScheduler(d.self, d.group, d.ledger, d.catalogue, d.board, planner.New(options), d.account, d, d.settings.Grace, d.log)
}

// requests creates the path of quick requests.
func (d *Daemon) requests(dialer quote.Dialer) {
	d.claims = newClaims(d.ledger)
	v := &view{daemon: d}
	d.pool = quote.NewPool(d.settings.Name, dialer, v, d.services.Fleet, quote.PoolOptions{})
	d.router = quote.New(quote.Dependencies{
		Self:      d.settings.Name,
		Fleet:     d.pool,
		View:      v,
		Claimer:   d.claims,
		Forwarder: &forwarder{daemon: d},
		Metrics:   d.metrics.set,
	}, quote.Options{QueuePerSlot: d.settings.QueuePerSlot})
}

// feasible returns an error if the machines cannot hold the guarantees.
func (d *Daemon) feasible(teams []*schema.Team) error {
	listing, ok := d.group.Listing()
	if !ok {
		return &platform.UnavailableError{Service: "directory"}
	}
	return feasible(teams, listing.Workers)
}

// Run serves until a signal or a fault, then stops in order.
func (d *Daemon) Run() error {
	server := d.server()
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
			loop.New(d.follow),
			loop.New(d.scheduler.run),
			loop.New(d.scheduler.scan),
			loop.New(d.collect),
			loop.New(d.pool.Run),
			loop.New(d.router.Run),
			server,
		),
		kratos.BeforeStop(func(context.Context) error { return d.shutDown(server) }),
	)
	d.log.Info(EventStart, "instance", d.self.Name, "centre", d.self.DataCentre, "api", d.self.API)
	err := app.Run()
	d.log.Info(EventStop, "instance", d.self.Name)
	return err
}

// shutDown withdraws readiness, finishes the requests in hand and hands the
// racks over. New requests are still answered during the drain time, because
// the balancer learns of the withdrawal late.
func (d *Daemon) shutDown(server transport.Server) error {
	d.log.Info(EventDrain, "instance", d.self.Name)
	d.draining.Store(true)
	d.awaitQuiet()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Patience)
	defer cancel()
	err := server.Stop(ctx)
	if drained := d.router.Drain(ctx); err == nil {
		err = drained
	}
	if left := d.racks.Leave(ctx); err == nil {
		err = left
	}
	if left := d.group.Leave(ctx); err == nil {
		err = left
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error(err, "shutdown was not complete", "instance", d.self.Name)
	}
	return nil
}

// quietFor is the time without a new request after which the listener may
// close.
const quietFor = 250 * time.Millisecond

// awaitQuiet waits for the drain time, and longer while requests still arrive:
// a connection that the kernel has accepted when the listener closes is cut.
func (d *Daemon) awaitQuiet() {
	end := time.Now().Add(d.settings.Patience)
	time.Sleep(d.settings.Drain)
	for time.Now().Before(end) {
		idle := time.Since(time.Unix(0, d.latest.Load()))
		if idle >= quietFor {
			return
		}
		time.Sleep(quietFor - idle)
	}
}

// isReady reports whether the instance should get new requests.
func (d *Daemon) isReady() bool {
	return d.ready.Load() && !d.draining.Load()
}
