package quote

import (
	"context"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Pool is a platform.Fleet whose quick requests use replaceable connections.
type Pool struct {
	self     string
	dialer   Dialer
	view     View
	commands platform.Fleet
	options  PoolOptions

	mu    sync.Mutex
	hosts map[string]*host
	// alarmed is when all idle connections were last probed on suspicion.
	alarmed time.Time
}

// NewPool returns a pool of connections within the instance's share of each
// worker's connections. Calls other than Run, Revoke and Probe go to commands.
// It starts no goroutine; Run keeps the connections probed.
func NewPool(self string, dialer Dialer, view View, commands platform.Fleet, o PoolOptions) *Pool {
	return &Pool{
		self:     self,
		dialer:   dialer,
		view:     view,
		commands: commands,
		options:  o.withDefaults(),
		hosts:    map[string]*host{},
	}
}

// Worker returns the worker's client, or *platform.NotFoundError.
func (p *Pool) Worker(name string) (platform.Worker, error) {
	h := p.host(name)
	if h == nil {
		p.refresh()
		h = p.host(name)
	}
	if h == nil {
		return nil, &platform.NotFoundError{Kind: "worker", Name: name}
	}
	commands, err := p.commands.Worker(name)
	if err != nil {
		return nil, err
	}
	return &client{Worker: commands, host: h}, nil
}

func (p *Pool) host(name string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[name]
}

func (p *Pool) all() []*host {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		list = append(list, h)
	}
	return list
}

// refresh adopts the view's workers and the shares of their connections.
func (p *Pool) refresh() {
	workers := p.view.Workers()
	instances := p.view.Instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	gone := p.hosts
	p.hosts = make(map[string]*host, len(workers))
	for _, info := range workers {
		h, ok := gone[info.Name]
		if !ok {
			h = newHost(p)
		}
		delete(gone, info.Name)
		h.configure(info, Share(info.Name, connections(info), p.self, instances))
		p.hosts[info.Name] = h
	}
	for _, h := range gone {
		h.configure(h.worker(), 0)
	}
}

// connections returns the number of connections the worker accepts. One that
// states none is given two for each slot, one to run and one to ask.
func connections(info platform.WorkerInfo) int {
	if info.Connections > 0 {
		return info.Connections
	}
	return 2 * info.Slots
}

// Run probes idle connections and replaces silent ones until ctx is done.
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
		for _, h := range p.all() {
			h.trim(now)
			h.probeIdle(now.Add(-p.options.ProbeInterval))
		}
	}
}

// alarmPause bounds how often one silent connection makes the pool probe all
// idle ones.
const alarmPause = time.Second

// alarm probes all idle connections after one was found silent: often many go
// silent together.
func (p *Pool) alarm() {
	now := time.Now()
	p.mu.Lock()
	recent := now.Sub(p.alarmed) < alarmPause
	if !recent {
		p.alarmed = now
	}
	p.mu.Unlock()
	if recent {
		return
	}
	for _, h := range p.all() {
		h.probeIdle(now)
	}
}

// Close closes all idle connections and refuses new ones. Calls in hand end
// first. Run has to have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.configure(h.worker(), 0)
	}
}

// Status returns a snapshot of the pool.
func (p *Pool) Status() PoolStatus {
	var s PoolStatus
	for _, h := range p.all() {
		h.mu.Lock()
		s.Open += h.open
		s.Idle += len(h.idle)
		s.Replaced += h.replaced
		h.mu.Unlock()
	}
	return s
}
