package depot

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts a limited number of connections and can silence the open
// ones.
type listener struct {
	net.Listener
	limit int // 0 means none
	mu    sync.Mutex
	open  map[*conn]struct{}
}

func listen(address string, limit int) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, limit: limit, open: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener. A connection beyond the limit is closed.
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

func (l *listener) add(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		return nil
	}
	accepted := &conn{Conn: c, listener: l, closed: make(chan struct{})}
	l.open[accepted] = struct{}{}
	return accepted
}

// silence makes a share of the open connections neither receive nor send from
// now on. It returns their number.
func (l *listener) silence(share float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := int(share*float64(len(l.open)) + 0.5)
	left := count
	for c := range l.open {
		if left == 0 {
			break
		}
		c.silent.Store(true)
		left--
	}
	return count
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
