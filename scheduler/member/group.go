// Package member implements the membership of instances: heartbeats over one
// session per peer, failure detection by suspicion, graceful leaving, and calls
// between instances. It also implements the weighted rendezvous hashing that
// assigns keys to instances.
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

// Group is the membership of instances as seen by one of them.
type Group struct {
	directory platform.Directory
	transport Transport
	log       klog.Logger

	ready    chan struct{}
	handlers sync.Map // Handler by method name
	// handshakes are those of sessions that other instances have opened.
	handshakes handshakes

	mu   sync.Mutex
	self platform.Instance
	// incarnation increases when another instance suspects this one.
	incarnation uint64
	// startIncarnation is the incarnation at the start; it makes session ids
	// unique across restarts.
	startIncarnation uint64
	sessionCount     uint64
	run              *runState
	peers            map[string]*peer
	configVersion    uint64
	values           map[string]*value
	// valuesVersion counts the changes of values, contactsVersion those of the
	// members.
	valuesVersion   uint64
	contactsVersion uint64
	listing         platform.Listing
	hasListing      bool
	lastTick        time.Time
	startedAt       time.Time
	subscribers     map[chan struct{}]struct{}
	// fullMesh treats all instances as peers in the own data centre.
	fullMesh bool
	hubs     hubState
	// vouchersDisabled is set by the test that shows what vouchers prevent.
	vouchersDisabled bool
}

// runState holds the context, the goroutines and the call slots of Run.
type runState struct {
	ctx       context.Context
	group     *errgroup.Group
	callSlots chan struct{}
	closed    bool
}

// value is an application value of the own instance.
type value struct {
	content []byte
	deleted bool
	version uint64
}

// New returns the group of the instance self. It is inactive until Run is called.
func New(self platform.Instance, directory platform.Directory, transport Transport, options ...Option) *Group {
	if self.State == "" {
		self.State = platform.StateLive
	}
	g := &Group{
		directory:   directory,
		transport:   transport,
		self:        self,
		ready:       make(chan struct{}),
		peers:       map[string]*peer{},
		values:      map[string]*value{},
		subscribers: map[chan struct{}]struct{}{},
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Option configures a group created by New.
type Option func(*Group)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l klog.Logger) Option {
	return func(g *Group) { g.log = l }
}

// WithFullMesh keeps a session with every instance, with the heartbeat interval
// used in the own data centre, for deployments in which any instance may have to
// reach any other without delay.
func WithFullMesh() Option {
	return func(g *Group) { g.fullMesh = true }
}

// Run participates in the group until ctx ends. It does not announce its end; a
// graceful shutdown calls Leave first.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	g.start(&runState{ctx: ctx, group: eg, callSlots: make(chan struct{}, maxConcurrentCalls)})
	eg.Go(func() error { return g.acceptSessions(ctx) })
	eg.Go(func() error { return g.watchDirectory(ctx) })
	eg.Go(func() error { return g.monitorPeers(ctx) })
	<-ctx.Done()
	g.closeSessions()
	return eg.Wait()
}

func (g *Group) start(r *runState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	// The start time exceeds the incarnation of any previous process with this
	// name, unless the clock was set back; in that case the suspicion of the
	// peers raises the incarnation.
	g.incarnation = uint64(now.UnixMilli())
	g.startIncarnation = g.incarnation
	g.startedAt, g.lastTick = now, now
	g.run = r
}

// closeSessions closes all sessions, so that their goroutines end.
func (g *Group) closeSessions() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.closed = true
	for _, p := range g.peers {
		if p.link != nil {
			p.link.close()
		}
	}
}

// spawn runs f in a goroutine of the group. It returns false if the group has
// ended or was not started. The caller holds the lock.
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

// acceptSessions accepts the sessions that other instances open.
func (g *Group) acceptSessions(ctx context.Context) error {
	for {
		session, err := g.transport.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		g.handshakes.begin(session)
		g.mu.Lock()
		ok := g.spawn(func(ctx context.Context) {
			defer g.handshakes.end(session)
			g.acceptHandshake(ctx, session)
		})
		g.mu.Unlock()
		if !ok {
			g.handshakes.end(session)
			_ = session.Close()
		}
	}
}

// Self returns this instance with its current state.
func (g *Group) Self() platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Members returns the live and leaving instances of all data centres that
// have been heard from, including this one, ordered by name. A suspected
// instance is still a member. Until the group has settled, the result is empty.
func (g *Group) Members() []platform.Instance {
	return g.filterMembers(func(platform.Instance) bool { return true })
}

// Local returns the members in the data centre of this instance.
func (g *Group) Local() []platform.Instance {
	self := g.Self()
	return g.filterMembers(func(i platform.Instance) bool { return i.DataCentre == self.DataCentre })
}

func (g *Group) filterMembers(keep func(platform.Instance) bool) []platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.settled() {
		return nil
	}
	all := []platform.Instance{g.self}
	for _, p := range g.peers {
		if p.isMember() && keep(p.instance) {
			all = append(all, p.instance)
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

// Listing returns the latest usable listing of the directory, and false if there
// is none yet.
func (g *Group) Listing() (platform.Listing, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listing, g.hasListing
}

// Ready returns a channel that is closed when the group has settled: each listed
// peer of the data centre has been heard from, or deadTimeout has passed since
// the start.
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
// members, their application values or the listing. Changes that occur while a
// value is pending are merged into it. The returned function ends the
// subscription.
func (g *Group) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[c] = struct{}{}
	return c, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.subscribers, c)
	}
}

// membersChanged records a change of the members and notifies the subscribers.
func (g *Group) membersChanged() {
	g.contactsVersion++
	g.notifySubscribers()
}

func (g *Group) notifySubscribers() {
	for c := range g.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// ensurePeer returns the peer of an instance and creates it if necessary.
func (g *Group) ensurePeer(i platform.Instance, now time.Time) *peer {
	p := g.peers[i.Name]
	if p == nil {
		p = newPeer(i, g.fullMesh || i.DataCentre == g.self.DataCentre, now)
		g.peers[i.Name] = p
	}
	return p
}

// SetConfigVersion sets the configuration version that is announced in heartbeats.
func (g *Group) SetConfigVersion(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configVersion == version {
		return
	}
	g.configVersion = version
	g.triggerHeartbeats(func(*peer) bool { return true })
}

// SetValue sets an application value that heartbeats announce within the data
// centre; nil content deletes it. It is sent only when it has changed. Content
// above 256 KiB is logged as an error and not sent; the previous value is kept.
func (g *Group) SetValue(key string, content []byte) {
	if len(content) > maxValueSize {
		g.log.Error(&SizeError{Size: len(content), Limit: maxValueSize}, "rejected application value", "key", key)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.values[key]
	if v == nil && content == nil || v != nil && v.deleted == (content == nil) && bytes.Equal(v.content, content) {
		return
	}
	g.valuesVersion++
	g.values[key] = &value{content: slices.Clone(content), deleted: content == nil, version: g.valuesVersion}
}

// PushValue is SetValue for a value that must not wait for the next heartbeat: it
// is announced to all peers at once.
func (g *Group) PushValue(key string, content []byte) {
	g.SetValue(key, content)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.triggerHeartbeats(func(*peer) bool { return true })
}

// Value returns the latest application value that a peer has announced.
func (g *Group) Value(instance, key string) ([]byte, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[instance]
	if p == nil || !p.isMember() {
		return nil, false
	}
	content, ok := p.values[key]
	return content, ok
}

// triggerHeartbeats sends an immediate heartbeat to the selected peers.
func (g *Group) triggerHeartbeats(selected func(*peer) bool) {
	for _, p := range g.peers {
		if p.link != nil && selected(p) {
			p.link.triggerHeartbeat()
		}
	}
}

func isLocal(p *peer) bool { return p.local }
