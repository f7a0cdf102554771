package member

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Limits of the TCP transport.
const (
	// A write that blocks this long means that the connection is silent and
	// its buffers are full.
	connectionWriteTimeout = 2 * time.Second
	streamOpenTimeout      = 2 * time.Second
	streamCloseTimeout     = 5 * time.Second
	acceptBacklog          = 64
)

// TCP is the transport with one yamux session on each TCP connection.
type TCP struct {
	listener net.Listener
	incoming chan Session
	done     chan struct{}
	once     sync.Once
	sent     atomic.Uint64
	received atomic.Uint64
	writes   atomic.Uint64
}

// Listen returns a transport that accepts connections on address.
func Listen(address string) (*TCP, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &TCP{
		listener: l,
		incoming: make(chan Session, acceptBacklog),
		done:     make(chan struct{}),
	}
	go t.accept()
	return t, nil
}

// Addr returns the address on which connections are accepted.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Close stops accepting connections. Sessions stay open.
func (t *TCP) Close() error {
	t.once.Do(func() { close(t.done) })
	return t.listener.Close()
}

// Traffic returns the bytes sent and received on all connections so far and
// the number of writes to them. Headers of TCP and IP are not included.
func (t *TCP) Traffic() (sent, received, writes uint64) {
	return t.sent.Load(), t.received.Load(), t.writes.Load()
}

// Dial implements Transport.
func (t *TCP) Dial(ctx context.Context, address string) (Session, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := yamux.Client(&countedConn{Conn: c, transport: t}, sessionConfig())
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return tcpSession{s}, nil
}

// Accept implements Transport.
func (t *TCP) Accept(ctx context.Context) (Session, error) {
	select {
	case s := <-t.incoming:
		return s, nil
	case <-t.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *TCP) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			_ = t.Close()
			return
		}
		s, err := yamux.Server(&countedConn{Conn: c, transport: t}, sessionConfig())
		if err != nil {
			_ = c.Close()
			continue
		}
		select {
		case t.incoming <- tcpSession{s}:
		default:
			// The group does not keep up; the other side dials again.
			_ = s.Close()
		}
	}
}

// sessionConfig turns the library's keep-alive off, because heartbeats detect
// silent connections faster.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = connectionWriteTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// tcpSession implements Session.
type tcpSession struct {
	session *yamux.Session
}

func (s tcpSession) Open(ctx context.Context) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return s.session.Open()
}

func (s tcpSession) Accept(ctx context.Context) (net.Conn, error) {
	return s.session.AcceptStreamWithContext(ctx)
}

func (s tcpSession) Close() error { return s.session.Close() }

// countedConn counts bytes and joins the header and the body of a yamux frame,
// which the library writes separately, into one packet.
type countedConn struct {
	net.Conn
	transport *TCP
	// header is a data frame's header that waits for its body. Only the
	// session's sending goroutine writes.
	header []byte
}

// Layout of a yamux frame header.
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

func (c *countedConn) Write(b []byte) (int, error) {
	if c.header == nil && opensBody(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	out := b
	if c.header != nil {
		out = slices.Concat(c.header, b)
		c.header = nil
	}
	n, err := c.Conn.Write(out)
	c.transport.sent.Add(uint64(n))
	c.transport.writes.Add(1)
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// opensBody tells whether b is the header of a data frame with a body.
func opensBody(b []byte) bool {
	if len(b) != headerSize || b[headerType] != typeData {
		return false
	}
	for _, x := range b[headerLength:] {
		if x != 0 {
			return true
		}
	}
	return false
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.received.Add(uint64(n))
	return n, err
}
