package depot

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// listener is a net.Listener that limits the number of open connections and can
// silence them.
type listener struct {
	net.Listener
	maxConnections int // 0 means no limit
	mu             sync.Mutex
	open           map[*conn]struct{}
}

func listen(address string, maxConnections int) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, maxConnections: maxConnections, open: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.add(c); accepted != nil {
			return accepted, nil
		}
		_ = c.Close()
	}
}

// add registers a connection, or returns nil if the limit is reached.
func (l *listener) add(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConnections > 0 && len(l.open) >= l.maxConnections {
		return nil
	}
	accepted := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.open[accepted] = struct{}{}
	return accepted
}

// silenceShare stops a share of the open connections from delivering data in
// either direction, without closing them, and returns their number.
func (l *listener) silenceShare(share float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := int(share*float64(len(l.open)) + 0.5)
	remaining := count
	for c := range l.open {
		if remaining == 0 {
			break
		}
		c.silent.Store(true)
		remaining--
	}
	return count
}

// conn is an accepted connection that can be silenced.
type conn struct {
	net.Conn
	listener  *listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. On a silent connection it discards data and blocks
// until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. On a silent connection it discards p.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It unblocks reads of a silent connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
