// Package depot is the stand-in program: it serves the in-memory platform over
// HTTP and lets faults be injected while it runs. It schedules nothing.
package depot

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kratos/kratos/v2/log"
	transport "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/platform/remote"
)

// Exit codes.
const (
	exitOK     = 0
	exitError  = 1
	exitOption = 2
)

// stopTimeout bounds the wait for calls in progress when the program stops.
const stopTimeout = 2 * time.Second

// Main runs the program and returns its exit code.
func Main(args []string) int {
	var o Options
	parser := kong.Must(&o, kong.Name("standin"), kong.Description(usage))
	if _, err := parser.Parse(args); err != nil {
		parser.Errorf("%s", err)
		return exitOption
	}
	quiet()
	d, err := New(&o)
	if err != nil {
		klog.ErrorS(err, "Could not start")
		return exitError
	}
	klog.InfoS("Serving", "address", d.Address(), "workers", len(d.platform.Fleet.Names()))
	var signal run.SignalError
	if err := d.Run(context.Background()); err != nil && !errors.As(err, &signal) {
		klog.ErrorS(err, "Stopped")
		return exitError
	}
	return exitOK
}

// quiet drops the transport's line for each server that starts or stops.
func quiet() {
	log.SetLogger(log.NewFilter(log.DefaultLogger, log.FilterLevel(log.LevelWarn)))
}

// Server serves one in-memory platform.
type Server struct {
	platform *memory.Platform
	main     *listener
	workers  map[string]*listener // none if all share the main address
	servers  []*transport.Server
}

// New listens on all addresses.
func New(o *Options) (*Server, error) {
	d := &Server{platform: memory.New(o.config()), workers: map[string]*listener{}}
	var err error
	if d.main, err = listen(o.Listen, 0); err != nil {
		return nil, err
	}
	if err := d.listenWorkers(o); err != nil {
		d.close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", remote.Handler(d.platform.Services()))
	mux.Handle("/control/", d.control())
	d.serve(d.main, mux)
	return d, nil
}

func (d *Server) listenWorkers(o *Options) error {
	host, _, err := net.SplitHostPort(d.Address())
	if err != nil {
		return err
	}
	for _, name := range d.platform.Fleet.Names() {
		if o.Shared {
			d.platform.Fleet.SetAddress(name, d.Address()+"/worker/"+name)
			continue
		}
		l, err := listen(net.JoinHostPort(host, "0"), o.Connections)
		if err != nil {
			return err
		}
		d.workers[name] = l
		d.platform.Fleet.SetAddress(name, l.Addr().String())
		d.serve(l, remote.WorkerHandler(d.platform.Fleet.Get(name)))
	}
	return nil
}

func (d *Server) serve(l *listener, h http.Handler) {
	s := transport.NewServer(
		transport.Address(l.Addr().String()),
		transport.Listener(l),
		transport.Timeout(0),
	)
	s.HandlePrefix("/", h)
	d.servers = append(d.servers, s)
}

// Address returns the main address.
func (d *Server) Address() string { return d.main.Addr().String() }

// Run serves until ctx ends or the process is told to stop.
func (d *Server) Run(ctx context.Context) error {
	calls, cancel := context.WithCancel(ctx)
	deadline := sync.OnceValue(func() time.Time {
		cancel()
		return time.Now().Add(stopTimeout)
	})
	var group run.Group
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	for _, s := range d.servers {
		group.Add(
			func() error { return s.Start(calls) },
			func(error) { stop(s, deadline()) },
		)
	}
	return group.Run()
}

func stop(s *transport.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if s.Stop(ctx) != nil {
		_ = s.Close()
	}
}

func (d *Server) close() {
	_ = d.main.Close()
	for _, l := range d.workers {
		_ = l.Close()
	}
}
