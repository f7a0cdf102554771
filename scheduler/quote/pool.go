package quote

import (
	"context"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Pool is a platform.Fleet that sends quick requests over connections that it
// probes and replaces.
type Pool struct {
	self     string
	dialer   Dialer
	view     View
	commands platform.Fleet
	options  PoolOptions

	mu            sync.Mutex
	connsByWorker map[string]*workerConns
	// lastProbeAll is when all idle connections were last probed because one
	// was found unresponsive.
	lastProbeAll time.Time
}

// NewPool returns a pool of connections within the instance's share of each
// worker's connections. Calls other than Run, Revoke and Probe go to commands.
// It starts no goroutine; Run probes the connections.
func NewPool(self string, dialer Dialer, view View, commands platform.Fleet, o PoolOptions) *Pool {
	return &Pool{
		self:          self,
		dialer:        dialer,
		view:          view,
		commands:      commands,
		options:       o.withDefaults(),
		connsByWorker: map[string]*workerConns{},
	}
}

// Worker returns the worker's client, or *platform.NotFoundError.
func (p *Pool) Worker(name string) (platform.Worker, error) {
	conns := p.workerConns(name)
	if conns == nil {
		p.refresh()
		conns = p.workerConns(name)
	}
	if conns == nil {
		return nil, &platform.NotFoundError{Kind: "worker", Name: name}
	}
	commands, err := p.commands.Worker(name)
	if err != nil {
		return nil, err
	}
	return &client{Worker: commands, conns: conns}, nil
}

func (p *Pool) workerConns(name string) *workerConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connsByWorker[name]
}

func (p *Pool) allWorkerConns() []*workerConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*workerConns, 0, len(p.connsByWorker))
	for _, conns := range p.connsByWorker {
		list = append(list, conns)
	}
	return list
}

// refresh updates the workers and the limits on their connections from the view.
func (p *Pool) refresh() {
	workers := p.view.Workers()
	instances := p.view.Instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.connsByWorker
	p.connsByWorker = make(map[string]*workerConns, len(workers))
	for _, info := range workers {
		conns, ok := previous[info.Name]
		if !ok {
			conns = newWorkerConns(p)
		}
		delete(previous, info.Name)
		conns.configure(info, Share(info.Name, maxConnections(info), p.self, instances))
		p.connsByWorker[info.Name] = conns
	}
	for _, conns := range previous {
		conns.configure(conns.workerInfo(), 0)
	}
}

// maxConnections returns the number of connections that the worker accepts. If
// none is listed, it is two for each slot: one to run a request and one to query
// its outcome.
func maxConnections(info platform.WorkerInfo) int {
	if info.Connections > 0 {
		return info.Connections
	}
	return 2 * info.Slots
}

// Run probes idle connections and replaces unresponsive ones until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.ProbeInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		p.refresh()
		now := time.Now()
		for _, conns := range p.allWorkerConns() {
			conns.trim(now)
			conns.probeIdle(now.Add(-p.options.ProbeInterval))
		}
	}
}

// minProbeAllInterval is the minimum interval between probes of all idle
// connections that are triggered by an unresponsive one.
const minProbeAllInterval = time.Second

// probeAll probes all idle connections after one was found unresponsive, since
// many connections often fail together.
func (p *Pool) probeAll() {
	now := time.Now()
	p.mu.Lock()
	recent := now.Sub(p.lastProbeAll) < minProbeAllInterval
	if !recent {
		p.lastProbeAll = now
	}
	p.mu.Unlock()
	if recent {
		return
	}
	for _, conns := range p.allWorkerConns() {
		conns.probeIdle(now)
	}
}

// Close closes all idle connections and prevents new ones. Connections in use
// are closed when their calls end. Run must have returned before.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.connsByWorker {
		conns.configure(conns.workerInfo(), 0)
	}
}

// Status returns a snapshot of the pool.
func (p *Pool) Status() PoolStatus {
	var s PoolStatus
	for _, conns := range p.allWorkerConns() {
		conns.mu.Lock()
		s.Open += conns.open
		s.Idle += len(conns.idle)
		s.Replaced += conns.replaced
		conns.mu.Unlock()
	}
	return s
}
