// Package depot implements the standin program: it serves the in-memory platform
// over HTTP and has a control interface that injects faults at run time. It does
// no scheduling.
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

// stopTimeout limits the wait for calls in progress when the program stops.
const stopTimeout = 2 * time.Second

// Main runs the program and returns its exit code.
func Main(args []string) int {
	var o Options
	parser := kong.Must(&o, kong.Name("standin"), kong.Description(usage))
	if _, err := parser.Parse(args); err != nil {
		parser.Errorf("%s", err)
		return exitOption
	}
	hideTransportInfoLogs()
	srv, err := New(&o)
	if err != nil {
		klog.ErrorS(err, "Failed to start")
		return exitError
	}
	klog.InfoS("Serving", "address", srv.Address(), "workers", len(srv.platform.Fleet.Names()))
	var signal run.SignalError
	if err := srv.Run(context.Background()); err != nil && !errors.As(err, &signal) {
		klog.ErrorS(err, "Server stopped with an error")
		return exitError
	}
	return exitOK
}

// hideTransportInfoLogs hides the log line that the transport writes for each
// server that starts or stops.
func hideTransportInfoLogs() {
	log.SetLogger(log.NewFilter(log.DefaultLogger, log.FilterLevel(log.LevelWarn)))
}

// Server serves one in-memory platform and its control interface.
type Server struct {
	platform *memory.Platform
	main     *listener
	workers  map[string]*listener // by name; empty if all workers share the main address
	servers  []*transport.Server
}

// New creates the platform and listens on the main address and on those of the
// workers. Run serves them.
func New(o *Options) (*Server, error) {
	srv := &Server{platform: memory.New(o.config()), workers: map[string]*listener{}}
	var err error
	if srv.main, err = listen(o.Listen, 0); err != nil {
		return nil, err
	}
	if err := srv.listenWorkers(o); err != nil {
		srv.close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", remote.Handler(srv.platform.Services()))
	mux.Handle("/control/", srv.controlHandler())
	srv.addServer(srv.main, mux)
	return srv, nil
}

// listenWorkers gives each worker an address: a listener of its own, or a path at
// the main address if all workers share it.
func (srv *Server) listenWorkers(o *Options) error {
	host, _, err := net.SplitHostPort(srv.Address())
	if err != nil {
		return err
	}
	for _, name := range srv.platform.Fleet.Names() {
		if o.Shared {
			srv.platform.Fleet.SetAddress(name, srv.Address()+"/worker/"+name)
			continue
		}
		l, err := listen(net.JoinHostPort(host, "0"), o.Connections)
		if err != nil {
			return err
		}
		srv.workers[name] = l
		srv.platform.Fleet.SetAddress(name, l.Addr().String())
		srv.addServer(l, remote.WorkerHandler(srv.platform.Fleet.Get(name)))
	}
	return nil
}

// addServer creates the HTTP server for a listener. Run starts it.
func (srv *Server) addServer(l *listener, h http.Handler) {
	s := transport.NewServer(
		transport.Address(l.Addr().String()),
		transport.Listener(l),
		transport.Timeout(0),
	)
	s.HandlePrefix("/", h)
	srv.servers = append(srv.servers, s)
}

// Address returns the host and port of the main listener.
func (srv *Server) Address() string { return srv.main.Addr().String() }

// Run serves until ctx ends or the process receives SIGTERM or SIGINT.
func (srv *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(ctx)
	stopDeadline := sync.OnceValue(func() time.Time {
		cancel()
		return time.Now().Add(stopTimeout)
	})
	var group run.Group
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	for _, s := range srv.servers {
		group.Add(
			func() error { return s.Start(serveCtx) },
			func(error) { stopServer(s, stopDeadline()) },
		)
	}
	return group.Run()
}

func stopServer(s *transport.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if s.Stop(ctx) != nil {
		_ = s.Close()
	}
}

func (srv *Server) close() {
	_ = srv.main.Close()
	for _, l := range srv.workers {
		_ = l.Close()
	}
}
