package member

import (
	"context"
	"errors"
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
	// A write that blocks for this long means that the connection is stalled
	// and its buffers are full.
	connectionWriteTimeout = 2 * time.Second
	streamOpenTimeout      = 2 * time.Second
	streamCloseTimeout     = 5 * time.Second
	acceptBacklog          = 64
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
)

// TCP is a Transport that runs one yamux session on each TCP connection.
type TCP struct {
	listener      net.Listener
	incoming      chan Session
	done          chan struct{}
	closeOnce     sync.Once
	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
	writes        atomic.Uint64
}

// Listen returns a transport that accepts connections on address.
func Listen(address string) (*TCP, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return newTCP(l), nil
}

// newTCP returns a transport that accepts connections of a listener.
func newTCP(l net.Listener) *TCP {
	t := &TCP{
		listener: l,
		incoming: make(chan Session, acceptBacklog),
		done:     make(chan struct{}),
	}
	go t.acceptLoop()
	return t
}

// Addr returns the listen address.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Close stops accepting connections. Sessions stay open.
func (t *TCP) Close() error {
	t.closeOnce.Do(func() { close(t.done) })
	return t.listener.Close()
}

// Traffic returns the total number of bytes sent and received on all connections
// and the number of writes. TCP and IP headers are not included.
func (t *TCP) Traffic() (sent, received, writes uint64) {
	return t.bytesSent.Load(), t.bytesReceived.Load(), t.writes.Load()
}

// Dial implements Transport.
func (t *TCP) Dial(ctx context.Context, address string) (Session, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := yamux.Client(&countingConn{Conn: c, transport: t}, sessionConfig())
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

// acceptLoop accepts connections until the listener is closed.
func (t *TCP) acceptLoop() {
	for {
		c, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			_ = t.Close()
			return
		}
		if err != nil {
			// The process has no descriptor left, or the peer has disconnected.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s, err := yamux.Server(&countingConn{Conn: c, transport: t}, sessionConfig())
		if err != nil {
			_ = c.Close()
			continue
		}
		select {
		case t.incoming <- tcpSession{s}:
		default:
			// The accept queue is full; the peer dials again later.
			_ = s.Close()
		}
	}
}

// sessionConfig returns the yamux configuration. Keep-alive is disabled because
// heartbeats detect stalled connections faster.
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

// countingConn counts the traffic and joins the header and body of a yamux frame,
// which yamux writes separately, into one write.
type countingConn struct {
	net.Conn
	transport *TCP
	// pendingHeader is the header of a data frame whose body has not been written
	// yet. It needs no lock because only the sending goroutine of the session
	// writes.
	pendingHeader []byte
}

// Layout of a yamux frame header.
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

func (c *countingConn) Write(b []byte) (int, error) {
	if c.pendingHeader == nil && isDataHeader(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	out := b
	if c.pendingHeader != nil {
		out = slices.Concat(c.pendingHeader, b)
		c.pendingHeader = nil
	}
	n, err := c.Conn.Write(out)
	c.transport.bytesSent.Add(uint64(n))
	c.transport.writes.Add(1)
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader tells whether b is the header of a non-empty data frame.
func isDataHeader(b []byte) bool {
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

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.bytesReceived.Add(uint64(n))
	return n, err
}
