package member

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"daisylug.example/scheduler/schema"
)

// link is a session with a peer after the handshake.
type link struct {
	peer    *peer
	session Session
	control net.Conn
	reader  *bufio.Reader
	// id and dialler are the same on both sides.
	id       string
	dialler  string
	replaces string
	// kick asks for a heartbeat before its time.
	kick chan struct{}
	done chan struct{}
	once sync.Once

	// Under the group's lock:

	opened time.Time
	// incarnation is the peer's latest one on this link.
	incarnation uint64
	// sent is the latest own sequence, echo the latest one the peer has
	// received, acked when echo last grew.
	sent  uint64
	echo  uint64
	acked time.Time
	// received is the peer's latest sequence.
	received uint64
	// What the peer has been told of.
	toldIncarnation uint64
	toldValues      uint64
	toldContacts    uint64
	toldLeaving     uint64
	// vouch holds the instances the peer has asked about.
	vouch map[string]bool
	// contacts are the members of the peer's data centre, in its own words.
	contacts []*schema.Peer
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		// Closing waits for the session's goroutines; no caller needs that.
		go func() { _ = l.session.Close() }()
	})
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// rest waits for a time, and reports whether the link is still open.
func (l *link) rest(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

// mute tells whether the link carries nothing in one of its directions.
func (l *link) mute(now time.Time) bool {
	c := l.peer.cadence()
	if now.Sub(l.opened) <= c.suspect {
		return false
	}
	return l.peer.silent(now) || now.Sub(l.acked) > c.suspect+c.interval
}

// dial opens a session with the peer and installs it.
func (g *Group) dial(ctx context.Context, p *peer, address, replaces string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := g.tr.Dial(ctx, address)
	if err != nil {
		return err
	}
	l, hello, err := g.greet(ctx, session, replaces)
	if err != nil {
		_ = session.Close()
		return err
	}
	if name := hello.GetSelf().GetName(); name != p.name {
		_ = session.Close()
		return &HandshakeError{Address: address, Reason: fmt.Sprintf("instance %q answers for %q", name, p.name)}
	}
	g.install(l, hello)
	return nil
}

// greet runs the dialling side of the handshake.
func (g *Group) greet(ctx context.Context, session Session, replaces string) (*link, *schema.Hello, error) {
	control, err := session.Open(ctx)
	if err != nil {
		return nil, nil, err
	}
	own := g.hello(g.nextSession(), replaces)
	hello, reader, err := g.exchange(ctx, control, func(*schema.Hello) *schema.Hello { return own }, true)
	if err != nil {
		return nil, nil, err
	}
	l := &link{session: session, control: control, reader: reader, id: own.GetSession(), dialler: g.self.Name, replaces: replaces}
	return l, hello, nil
}

// welcome runs the accepting side of the handshake.
func (g *Group) welcome(ctx context.Context, session Session) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	control, err := session.Accept(ctx)
	if err != nil {
		_ = session.Close()
		return
	}
	hello, reader, err := g.exchange(ctx, control, func(h *schema.Hello) *schema.Hello {
		return g.hello(h.GetSession(), h.GetReplaces())
	}, false)
	name := hello.GetSelf().GetName()
	if err != nil || name == "" || name == g.self.Name {
		_ = session.Close()
		return
	}
	g.install(&link{
		session: session, control: control, reader: reader,
		id: hello.GetSession(), dialler: name, replaces: hello.GetReplaces(),
	}, hello)
}

// exchange sends the own hello and receives the other one, in the order of
// the side.
func (g *Group) exchange(ctx context.Context, c net.Conn, own func(*schema.Hello) *schema.Hello, first bool) (*schema.Hello, *bufio.Reader, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	reader := bufio.NewReaderSize(c, frameBuffer)
	theirs := &schema.Hello{}
	if first {
		if err := writeFrame(c, own(nil)); err != nil {
			return nil, nil, err
		}
	}
	if err := readFrame(reader, theirs); err != nil {
		return nil, nil, err
	}
	if !first {
		if err := writeFrame(c, own(theirs)); err != nil {
			return nil, nil, err
		}
	}
	return theirs, reader, c.SetDeadline(time.Time{})
}

// frameBuffer is the size in bytes of a reader's buffer; heartbeats fit.
const frameBuffer = 512

func (g *Group) hello(session, replaces string) *schema.Hello {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := toPeer(g.self, g.incarnation)
	self.Joining = !g.settled()
	return &schema.Hello{Self: self, Session: session, Replaces: replaces}
}

// nextSession returns an id that no other session of any instance has.
func (g *Group) nextSession() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions++
	return fmt.Sprintf("%s/%d/%d", g.self.Name, g.started, g.sessions)
}

// install makes l the peer's link, or closes it if the present one is better.
func (g *Group) install(l *link, hello *schema.Hello) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ensure(fromPeer(hello.GetSelf()), now)
	l.peer = p
	l.incarnation = hello.GetSelf().GetIncarnation()
	l.opened, l.acked = now, now
	l.kick = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.vouch = map[string]bool{}
	if old := p.link; old != nil {
		if !l.supersedes(old, now) {
			l.close()
			return
		}
		old.close()
	}
	p.link = l
	p.failures = 0
	p.backoff.Reset()
	g.log.V(1).Info("session opened", "instance", p.name, "session", l.id)
	if l.incarnation > p.incarnation {
		// A restarted instance has none of its former values.
		p.values = map[string][]byte{}
	}
	if first := !p.known() || l.incarnation > p.incarnation; first && g.settled() {
		p.joining = hello.GetSelf().GetJoining()
	}
	changed := p.hear(l.incarnation, now)
	if l.incarnation >= p.incarnation {
		p.direct = now
		changed = p.adopt(hello.GetSelf()) || changed
	}
	if changed {
		g.changed()
	}
	g.serve(l)
}

// supersedes decides between two sessions with the same peer. Both sides come
// to the same decision.
func (l *link) supersedes(old *link, now time.Time) bool {
	switch {
	case l.replaces == old.id, l.incarnation > old.incarnation:
		return true
	case l.dialler == old.dialler:
		return true
	case l.replaces == "" && now.Sub(old.opened) > raceWindow:
		// The other side no longer has the old session.
		return true
	}
	return l.dialler < old.dialler
}

// drop forgets a link that has ended.
func (g *Group) drop(l *link) {
	l.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.peer.link != l {
		return
	}
	l.peer.link = nil
	l.peer.wanted = time.Now()
	g.log.V(1).Info("session closed", "instance", l.peer.name, "session", l.id)
}
