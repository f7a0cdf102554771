// Package member keeps the membership of instances: heartbeats over one
// session per peer, suspicion, leaving, and calls between instances. It also
// holds the weighted rendezvous hash that assigns keys to instances.
package member

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
)

// Group is the membership of instances as one of them sees it.
type Group struct {
	dir platform.Directory
	tr  Transport
	log klog.Logger

	ready chan struct{}
	calls sync.Map // method to Handler

	mu   sync.Mutex
	self platform.Instance
	// incarnation grows when another instance doubts this one.
	incarnation uint64
	// started is the incarnation at the start; it makes session ids unique.
	started  uint64
	sessions uint64
	run      *running
	peers    map[string]*peer
	config   uint64
	values   map[string]*value
	// version numbers the changes of values, contacts those of the members.
	version  uint64
	contacts uint64
	listing  platform.Listing
	listed   bool
	ticked   time.Time
	begun    time.Time
	watchers map[chan struct{}]struct{}
	// whole makes all instances peers of one data centre.
	whole bool
	hubs  hubs
	// mute turns vouchers off, for the test that shows what they prevent.
	mute bool
}

// running holds what goroutines started by the group belong to.
type running struct {
	ctx    context.Context
	group  *errgroup.Group
	slots  chan struct{}
	closed bool
}

// value is an own application value.
type value struct {
	content []byte
	deleted bool
	version uint64
}

// New returns the group of the instance self. Run starts it.
func New(self platform.Instance, dir platform.Directory, tr Transport, options ...Option) *Group {
	if self.State == "" {
		self.State = platform.StateLive
	}
	g := &Group{
		dir:      dir,
		tr:       tr,
		self:     self,
		ready:    make(chan struct{}),
		peers:    map[string]*peer{},
		values:   map[string]*value{},
		watchers: map[chan struct{}]struct{}{},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Option changes a default of New.
type Option func(*Group)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l klog.Logger) Option {
	return func(g *Group) { g.log = l }
}

// WithWholeMesh keeps a session with every instance at the rate of the own data
// centre, for deployments in which any instance may have to reach any other at
// once.
func WithWholeMesh() Option {
	return func(g *Group) { g.whole = true }
}

// Run takes part in the group until ctx ends. It announces nothing when it
// ends; a graceful shutdown calls Leave first.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	g.begin(&running{ctx: ctx, group: eg, slots: make(chan struct{}, maxCalls)})
	eg.Go(func() error { return g.accept(ctx) })
	eg.Go(func() error { return g.watch(ctx) })
	eg.Go(func() error { return g.observe(ctx) })
	<-ctx.Done()
	g.end()
	return eg.Wait()
}

func (g *Group) begin(r *running) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	// The start time exceeds the incarnation of any former process of this
	// name, unless the clock went back; then the peers' doubt raises it.
	g.incarnation = uint64(now.UnixMilli())
	g.started = g.incarnation
	g.begun, g.ticked = now, now
	g.run = r
}

// end closes all sessions, so that their goroutines end.
func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.closed = true
	for _, p := range g.peers {
		if p.link != nil {
			p.link.close()
		}
	}
}

// spawn runs f as a part of the group, unless that has ended. The caller
// holds the lock.
func (g *Group) spawn(f func(ctx context.Context)) bool {
	r := g.run
	if r == nil || r.closed {
		return false
	}
	r.group.Go(func() error {
		f(r.ctx)
		return nil
	})
	return true
}

// accept takes the sessions that other instances open.
func (g *Group) accept(ctx context.Context) error {
	for {
		session, err := g.tr.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		g.mu.Lock()
		ok := g.spawn(func(ctx context.Context) { g.welcome(ctx, session) })
		g.mu.Unlock()
		if !ok {
			_ = session.Close()
		}
	}
}

// Self returns the own instance with its current state.
func (g *Group) Self() platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Members returns the live and leaving instances of all data centres that
// have been heard from, itself included, ordered by name. A suspected one is
// still a member. Before the group has settled it returns nothing.
func (g *Group) Members() []platform.Instance {
	return g.members(func(platform.Instance) bool { return true })
}

// Local returns the members in the own data centre.
func (g *Group) Local() []platform.Instance {
	self := g.Self()
	return g.members(func(i platform.Instance) bool { return i.DataCentre == self.DataCentre })
}

func (g *Group) members(keep func(platform.Instance) bool) []platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.settled() {
		return nil
	}
	all := []platform.Instance{g.self}
	for _, p := range g.peers {
		if p.member() && keep(p.inst) {
			all = append(all, p.inst)
		}
	}
	slices.SortFunc(all, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Peers returns the details of all known peers, ordered by name.
func (g *Group) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	all := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		all = append(all, p.snapshot(now))
	}
	slices.SortFunc(all, func(a, b Peer) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return all
}

// Listing returns the latest usable listing of the directory.
func (g *Group) Listing() (platform.Listing, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listing, g.listed
}

// Ready is closed when the group has settled: each listed peer of the data
// centre has been heard from, or would by now be considered dead.
func (g *Group) Ready() <-chan struct{} { return g.ready }

func (g *Group) settled() bool {
	select {
	case <-g.ready:
		return true
	default:
		return false
	}
}

// Subscribe returns a channel that receives a value after each change of the
// members, their application values or the listing. Changes that occur while
// a value is pending are merged into it. The function ends the subscription.
func (g *Group) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchers[c] = struct{}{}
	return c, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.watchers, c)
	}
}

// changed records a change of the members.
func (g *Group) changed() {
	g.contacts++
	g.notify()
}

func (g *Group) notify() {
	for c := range g.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// ensure returns the peer of an instance and creates it if it is unknown.
func (g *Group) ensure(i platform.Instance, now time.Time) *peer {
	p := g.peers[i.Name]
	if p == nil {
		p = newPeer(i, g.whole || i.DataCentre == g.self.DataCentre, now)
		g.peers[i.Name] = p
	}
	return p
}

// SetConfig sets the configuration version in the own heartbeats.
func (g *Group) SetConfig(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == version {
		return
	}
	g.config = version
	g.wake(func(*peer) bool { return true })
}

// SetValue sets an application value in the own heartbeats to the data
// centre; nil content deletes it. It is sent when it has changed. Content above
// 256 KiB is logged as an error and not sent; the former one stays.
func (g *Group) SetValue(key string, content []byte) {
	if len(content) > maxValue {
		g.log.Error(&SizeError{Size: len(content), Limit: maxValue}, "value is not sent", "key", key)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.values[key]
	if v == nil && content == nil || v != nil && v.deleted == (content == nil) && bytes.Equal(v.content, content) {
		return
	}
	g.version++
	g.values[key] = &value{content: slices.Clone(content), deleted: content == nil, version: g.version}
}

// Value returns the latest application value of a peer.
func (g *Group) Value(instance, key string) ([]byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[instance]
	if p == nil || !p.member() {
		return nil, false
	}
	content, ok := p.values[key]
	return content, ok
}

// wake sends a heartbeat at once to the chosen peers.
func (g *Group) wake(to func(*peer) bool) {
	for _, p := range g.peers {
		if p.link != nil && to(p) {
			p.link.wake()
		}
	}
}

func local(p *peer) bool { return p.local }
