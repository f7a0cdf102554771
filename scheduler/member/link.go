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

// link is a session with a peer that has completed the handshake.
type link struct {
	peer    *peer
	session Session
	control net.Conn
	reader  *bufio.Reader
	// id and diallerName are equal on both sides.
	id          string
	diallerName string
	replacesID  string
	// heartbeatNow requests an immediate heartbeat.
	heartbeatNow chan struct{}
	done         chan struct{}
	closeOnce    sync.Once

	// The fields below are guarded by the group's lock.

	openedAt time.Time
	// incarnation is the latest incarnation of the peer on this link.
	incarnation uint64
	// sentSequence is the sequence number of the latest heartbeat sent,
	// ackedSequence the latest one that the peer has acknowledged, and ackedAt
	// the time at which ackedSequence last increased.
	sentSequence  uint64
	ackedSequence uint64
	ackedAt       time.Time
	// receivedSequence is the latest sequence number received from the peer.
	receivedSequence uint64
	// The state last announced to the peer; leavingSequence is the first
	// heartbeat that announced leaving, or 0.
	announcedIncarnation uint64
	announcedValues      uint64
	announcedContacts    uint64
	leavingSequence      uint64
	// vouchFor holds the instances that the peer suspects.
	vouchFor map[string]bool
	// contacts are the members of the peer's data centre as it announced them.
	contacts []*schema.Peer
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		// Close waits for the goroutines of the session, which no caller needs.
		go func() { _ = l.session.Close() }()
	})
}

func (l *link) triggerHeartbeat() {
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
}

// wait blocks for d and reports whether the link is still open.
func (l *link) wait(d time.Duration) bool {
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

// stalled tells whether the link delivers nothing in one of its directions.
func (l *link) stalled(now time.Time) bool {
	timing := l.peer.timing()
	if now.Sub(l.openedAt) <= timing.suspectTimeout {
		return false
	}
	return l.peer.silent(now) || now.Sub(l.ackedAt) > timing.suspectTimeout+timing.interval
}

// dial opens a session with the peer, runs the handshake and installs the link.
func (g *Group) dial(ctx context.Context, p *peer, address, replacesID string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := g.transport.Dial(ctx, address)
	if err != nil {
		return err
	}
	l, hello, err := g.dialHandshake(ctx, session, replacesID)
	if err != nil {
		_ = session.Close()
		return err
	}
	if name := hello.GetSelf().GetName(); name != p.name {
		_ = session.Close()
		return &HandshakeError{Address: address, Reason: fmt.Sprintf("connected to instance %q instead of %q", name, p.name)}
	}
	g.installLink(l, hello)
	return nil
}

// dialHandshake runs the handshake on a session that this instance has dialled.
func (g *Group) dialHandshake(ctx context.Context, session Session, replacesID string) (*link, *schema.Hello, error) {
	control, err := session.Open(ctx)
	if err != nil {
		return nil, nil, err
	}
	own := g.buildHello(g.nextSessionID(), replacesID)
	hello, reader, err := g.exchangeHellos(ctx, control, func(*schema.Hello) *schema.Hello { return own }, true)
	if err != nil {
		return nil, nil, err
	}
	l := &link{session: session, control: control, reader: reader, id: own.GetSession(), diallerName: g.self.Name, replacesID: replacesID}
	return l, hello, nil
}

// acceptHandshake runs the handshake on a session that another instance has
// dialled, and installs the link.
func (g *Group) acceptHandshake(ctx context.Context, session Session) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	control, err := session.Accept(ctx)
	if err != nil {
		_ = session.Close()
		return
	}
	hello, reader, err := g.exchangeHellos(ctx, control, func(h *schema.Hello) *schema.Hello {
		return g.buildHello(h.GetSession(), h.GetReplaces())
	}, false)
	name := hello.GetSelf().GetName()
	if err != nil || name == "" || name == g.self.Name {
		_ = session.Close()
		return
	}
	g.installLink(&link{
		session: session, control: control, reader: reader,
		id: hello.GetSession(), diallerName: name, replacesID: hello.GetReplaces(),
	}, hello)
}

// exchangeHellos sends the own hello and receives that of the peer. The dialling
// side sends first.
func (g *Group) exchangeHellos(ctx context.Context, c net.Conn, own func(*schema.Hello) *schema.Hello, sendFirst bool) (*schema.Hello, *bufio.Reader, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	reader := bufio.NewReaderSize(c, frameBufferSize)
	theirs := &schema.Hello{}
	if sendFirst {
		if err := writeFrame(c, own(nil)); err != nil {
			return nil, nil, err
		}
	}
	if err := readFrame(reader, theirs); err != nil {
		return nil, nil, err
	}
	if !sendFirst {
		if err := writeFrame(c, own(theirs)); err != nil {
			return nil, nil, err
		}
	}
	return theirs, reader, c.SetDeadline(time.Time{})
}

// frameBufferSize is the size in bytes of a read buffer; a typical heartbeat fits.
const frameBufferSize = 512

func (g *Group) buildHello(session, replacesID string) *schema.Hello {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := encodePeer(g.self, g.incarnation)
	self.Joining = !g.settled()
	return &schema.Hello{Self: self, Session: session, Replaces: replacesID}
}

// nextSessionID returns an id that is unique among the sessions of all instances.
func (g *Group) nextSessionID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessionCount++
	return fmt.Sprintf("%s/%d/%d", g.self.Name, g.startIncarnation, g.sessionCount)
}

// installLink makes l the link of its peer, or closes it if the existing link
// takes precedence.
func (g *Group) installLink(l *link, hello *schema.Hello) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.ensurePeer(decodePeer(hello.GetSelf()), now)
	l.peer = p
	l.incarnation = hello.GetSelf().GetIncarnation()
	l.openedAt, l.ackedAt = now, now
	l.heartbeatNow = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.vouchFor = map[string]bool{}
	if old := p.link; old != nil {
		if !l.supersedes(old, now) {
			l.close()
			return
		}
		old.close()
	}
	p.link = l
	p.dialFailures = 0
	p.backoff.Reset()
	g.log.V(1).Info("session opened", "instance", p.name, "session", l.id)
	if l.incarnation > p.incarnation {
		// A restarted instance has lost its previous values.
		p.values = map[string][]byte{}
	}
	if isNew := !p.known() || l.incarnation > p.incarnation; isNew && g.settled() {
		p.joining = hello.GetSelf().GetJoining()
	}
	changed := p.recordAlive(l.incarnation, now)
	if l.incarnation >= p.incarnation {
		p.lastDirect = now
		changed = p.updateInstance(hello.GetSelf()) || changed
	}
	if changed {
		g.membersChanged()
	}
	g.startLink(l)
}

// supersedes tells whether l replaces old, another session with the same peer.
// Both sides reach the same decision.
func (l *link) supersedes(old *link, now time.Time) bool {
	switch {
	case l.replacesID == old.id, l.incarnation > old.incarnation:
		return true
	case l.diallerName == old.diallerName:
		return true
	case l.replacesID == "" && now.Sub(old.openedAt) > dialRaceWindow:
		// The peer no longer has the old session.
		return true
	}
	return l.diallerName < old.diallerName
}

// removeLink closes a link and detaches it from its peer.
func (g *Group) removeLink(l *link) {
	l.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.peer.link != l {
		return
	}
	l.peer.link = nil
	l.peer.disconnectedSince = time.Now()
	g.log.V(1).Info("session closed", "instance", l.peer.name, "session", l.id)
}
