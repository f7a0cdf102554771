package member

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// network is an in-memory transport for virtual time. A session that has lost one
// message delivers nothing more in that direction, as a TCP connection would.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[[2]string]bool
}

func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *network) add(name string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = &node{net: n, name: name, incoming: make(chan Session, 16)}
	return n.nodes[name]
}

// isolate disconnects a node from all others, or reconnects it.
func (n *network) isolate(name string, on bool) {
	for other := range n.nodes {
		n.cut(name, other, on)
		n.cut(other, name, on)
	}
}

// node is the transport of one instance; its address is its name.
type node struct {
	net      *network
	name     string
	incoming chan Session
}

func (n *node) Dial(ctx context.Context, address string) (Session, error) {
	n.net.mu.Lock()
	to := n.net.nodes[address]
	n.net.mu.Unlock()
	if to == nil {
		return nil, &net.AddrError{Err: "connection refused", Addr: address}
	}
	if n.net.isCut(n.name, address) || n.net.isCut(address, n.name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newSessionEnd(n.net, n.name, address), newSessionEnd(n.net, address, n.name)
	a.other, b.other = b, a
	select {
	case to.incoming <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *node) Accept(ctx context.Context) (Session, error) {
	select {
	case s := <-n.incoming:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sessionEnd is one end of a session.
type sessionEnd struct {
	net      *network
	from, to string
	other    *sessionEnd
	streams  chan net.Conn
	done     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	conns    []net.Conn
	silent   bool
}

func newSessionEnd(n *network, from, to string) *sessionEnd {
	return &sessionEnd{net: n, from: from, to: to, streams: make(chan net.Conn, 16), done: make(chan struct{})}
}

// dropsMessages tells whether a message sent now is lost.
func (s *sessionEnd) dropsMessages() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = s.silent || s.net.isCut(s.from, s.to)
	return s.silent
}

func (s *sessionEnd) addConn(c net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return &lossyConn{Conn: c, end: s}
}

func (s *sessionEnd) Open(context.Context) (net.Conn, error) {
	select {
	case <-s.done:
		return nil, net.ErrClosed
	default:
	}
	a, b := net.Pipe()
	if !s.dropsMessages() {
		s.other.streams <- s.other.addConn(b)
	}
	return s.addConn(a), nil
}

func (s *sessionEnd) Accept(ctx context.Context) (net.Conn, error) {
	select {
	case c := <-s.streams:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *sessionEnd) Close() error {
	s.once.Do(func() {
		close(s.done)
		lost := s.dropsMessages()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			if lost {
				_ = c.SetDeadline(time.Unix(1, 0))
			} else {
				_ = c.Close()
			}
		}
		if !lost {
			go func() { _ = s.other.Close() }()
		}
	})
	return nil
}

type lossyConn struct {
	net.Conn
	end *sessionEnd
}

func (p *lossyConn) Write(b []byte) (int, error) {
	if p.end.dropsMessages() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// cluster is a set of groups on an in-memory network.
type cluster struct {
	t              *testing.T
	net            *network
	memoryPlatform *memory.Platform
	groups         map[string]*Group
	directories    map[string]*memory.Directory
	stops          map[string]func()
}

func instance(name, centre string) platform.Instance {
	return platform.Instance{Name: name, DataCentre: centre, Peer: name, Weight: 1, State: platform.StateLive}
}

// newCluster registers n instances in one data centre and starts them.
func newCluster(t *testing.T, n int, options ...Option) *cluster {
	c := newEmptyCluster(t)
	for i := range n {
		c.register(instance(fmt.Sprintf("i%d", i), "x"))
	}
	for i := range n {
		c.start(instance(fmt.Sprintf("i%d", i), "x"), options...)
	}
	return c
}

func newEmptyCluster(t *testing.T) *cluster {
	return &cluster{
		t:              t,
		net:            &network{nodes: map[string]*node{}, cuts: map[[2]string]bool{}},
		memoryPlatform: memory.New(memory.Config{}),
		groups:         map[string]*Group{},
		directories:    map[string]*memory.Directory{},
		stops:          map[string]func(){},
	}
}

func (c *cluster) register(i platform.Instance) { c.memoryPlatform.Directory.PutInstance(i) }

func (c *cluster) start(i platform.Instance, options ...Option) *Group {
	n := c.net.add(i.Name)
	c.directories[i.Name] = c.memoryPlatform.View().Directory
	g := New(i, c.directories[i.Name], n, options...)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := g.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.groups[i.Name] = g
	c.stops[i.Name] = func() {
		cancel()
		<-ended
	}
	return g
}

// kill stops an instance without notice. Its peers detect it only by missing
// heartbeats.
func (c *cluster) kill(name string) {
	c.net.isolate(name, true)
	c.stops[name]()
	delete(c.stops, name)
	delete(c.groups, name)
}

func (c *cluster) close() {
	for _, stop := range c.stops {
		stop()
	}
	// The links of stopped groups close in the background.
	synctest.Wait()
}

// liveNames returns the names of the live members of g in one string.
func liveNames(g *Group) string {
	var names string
	for _, i := range g.Members() {
		if i.State == platform.StateLive {
			names += i.Name + " "
		}
	}
	return names
}

// timeUntil waits up to limit for a condition and returns the time it took.
func timeUntil(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() && time.Since(begin) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}
