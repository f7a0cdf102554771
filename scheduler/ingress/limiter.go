package ingress

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/meter"
)

// Reasons for which a request is refused or a connection closed.
const (
	reasonConnections = "connections"
	reasonBytes       = "bytes"
	reasonHead        = "head"
)

// RefusedError reports a request that was given up while it arrived.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "request given up, limit reached: " + e.Reason }

// stalledAge is the age from which a request that still arrives makes room before
// an idle connection does.
const stalledAge = time.Second

// receiveBufferBytes is the size of the kernel's receive buffer of a connection.
// What a client sends beyond it waits at the client.
const receiveBufferBytes = 32 << 10

// Limiter holds the connections of a server within limits.
type Limiter struct {
	refusals map[string]*metrics.Counter

	mu     sync.Mutex
	limits Limits
	// open is the number of connections, held what is charged for their requests.
	open int
	held int64
	// idle and arriving are the connections in these phases, the longest first.
	idle, arriving list.List
}

// New returns a limiter for one server.
func New(limits Limits, set *meter.Set, server string) *Limiter {
	l := &Limiter{limits: limits, refusals: map[string]*metrics.Counter{}}
	for _, reason := range []string{reasonConnections, reasonBytes, reasonHead} {
		l.refusals[reason] = set.Counter("daisylug_ingress_refused_total", meter.L("server", server), meter.L("reason", reason))
	}
	return l
}

// Limits returns the limits.
func (l *Limiter) Limits() Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits
}

// SetLimits replaces the limits. They apply to what arrives from now on.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Listen returns a listener whose connections are limited.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Accepted connections inherit the size. Without it they have more.
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{inner, l}, nil
}

// Attach lets a server report the states of its connections. The server must use
// the limiter's listener.
func (l *Limiter) Attach(server *http.Server) {
	server.ConnState = l.onStateChange
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = &bodyHandler{next: server.Handler}
}

// onStateChange follows the state that the server sees a connection in.
func (l *Limiter) onStateChange(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		l.enter(c, phaseServing)
	case http.StateIdle:
		l.enter(c, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		l.enter(c, phaseClosed)
	case http.StateNew:
	}
}

// received accounts for a part of a head.
func (l *Limiter) received(c *conn, part []byte) error {
	l.mu.Lock()
	if c.phase == phaseIdle {
		l.move(c, phaseHead)
	}
	if c.phase != phaseHead {
		l.mu.Unlock()
		return nil
	}
	c.received += int64(len(part))
	if c.received > int64(l.limits.HeaderBytes)+headerSlack {
		l.mu.Unlock()
		l.count(reasonHead)
		_, _ = c.Write([]byte(tooLarge))
		return &RefusedError{Reason: reasonHead}
	}
	err := l.charge(c, int64(len(part)+lineBytes*bytes.Count(part, []byte{'\n'})))
	l.mu.Unlock()
	return err
}

// admit adds a connection, and reports false if there is no room for it.
func (l *Limiter) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limits.Connections {
		l.count(reasonConnections)
		if !l.makeRoom() {
			return false
		}
	}
	l.open++
	l.move(c, phaseIdle)
	return true
}

// makeRoom closes the connection whose client has kept it waiting for the longest
// time, and reports false if all are being served. The caller holds the lock.
func (l *Limiter) makeRoom() bool {
	arriving, idle := front(&l.arriving), front(&l.idle)
	victim := idle
	if arriving != nil && (idle == nil || time.Since(arriving.since) > stalledAge) {
		victim = arriving
	}
	if victim == nil {
		return false
	}
	l.move(victim, phaseClosed)
	_ = victim.Conn.Close()
	return true
}

// charge accounts for bytes that a request is about to hold. Requests that have
// been arriving for longer make room. The caller holds the lock.
func (l *Limiter) charge(c *conn, n int64) error {
	for !c.evicted && l.held+n > l.limits.Bytes {
		victim := l.oldestHolder()
		if victim == nil {
			victim = c
		}
		l.evict(victim)
	}
	if c.evicted {
		return &RefusedError{Reason: reasonBytes}
	}
	c.charged += n
	l.held += n
	return nil
}

// oldestHolder returns the arriving request that has been holding bytes for the
// longest time, or nil. The caller holds the lock.
func (l *Limiter) oldestHolder() *conn {
	for e := l.arriving.Front(); e != nil; e = e.Next() {
		if c, ok := e.Value.(*conn); ok && c.charged > 0 {
			return c
		}
	}
	return nil
}

// evict gives up an arriving request. A body fails to be read, so that its handler
// answers; for a head there is none. The caller holds the lock.
func (l *Limiter) evict(c *conn) {
	l.count(reasonBytes)
	c.evicted = true
	l.release(c)
	l.unlist(c)
	_ = c.applyDeadline()
}

// release returns what is charged for a request. The caller holds the lock.
func (l *Limiter) release(c *conn) {
	l.held -= c.charged
	c.charged = 0
}

// enter moves a connection to a phase.
func (l *Limiter) enter(c *conn, p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.move(c, p)
}

// move is enter for callers that hold the lock.
func (l *Limiter) move(c *conn, p phase) {
	if c.phase == phaseClosed {
		return
	}
	now := time.Now()
	l.unlist(c)
	c.phase = p
	switch p {
	case phaseIdle:
		l.release(c)
		c.received = 0
		c.since, c.deadline = now, now.Add(l.limits.IdleTimeout)
		c.element = l.idle.PushBack(c)
	case phaseHead:
		c.since, c.deadline = now, now.Add(l.limits.HeaderTimeout)
		c.element = l.arriving.PushBack(c)
	case phaseBody:
		c.since, c.deadline = now, now.Add(l.limits.BodyTimeout)
		c.element = l.arriving.PushBack(c)
	case phaseServing:
		c.deadline = time.Time{}
	case phaseClosed:
		l.release(c)
		l.open--
		return
	}
	_ = c.applyDeadline()
}

// unlist removes a connection from the list of its phase. The caller holds the
// lock.
func (l *Limiter) unlist(c *conn) {
	if c.element == nil {
		return
	}
	if c.phase == phaseIdle {
		l.idle.Remove(c.element)
	} else {
		l.arriving.Remove(c.element)
	}
	c.element = nil
}

func (l *Limiter) count(reason string) { l.refusals[reason].Inc() }

// setBodyDeadline sets when the body of a request must have arrived, if that is
// earlier than its timeout.
func (l *Limiter) setBodyDeadline(c *conn, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseBody && deadline.Before(c.deadline) {
		c.deadline = deadline
		_ = c.applyDeadline()
	}
}

// chargeBody is charge for callers that do not hold the lock.
func (l *Limiter) chargeBody(c *conn, n int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.charge(c, n)
}

// refund returns a part of what is charged for a request.
func (l *Limiter) refund(c *conn, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, c.charged)
	c.charged -= n
	l.held -= n
}

// isEvicted reports whether the request of a connection has made room for others.
func (l *Limiter) isEvicted(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.evicted
}

// front returns the first connection of a list, or nil.
func front(connections *list.List) *conn {
	if e := connections.Front(); e != nil {
		c, _ := e.Value.(*conn)
		return c
	}
	return nil
}
