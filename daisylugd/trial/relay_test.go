package trial

import (
	"net"
	"sync"
	"testing"
)

// mode selects how a relay treats connections.
type mode int

const (
	modeForward mode = iota
	// modeDisconnect closes all connections and refuses new ones.
	modeDisconnect
	// modeBlackhole keeps the open connections but forwards nothing on them;
	// new connections work.
	modeBlackhole
)

// relay forwards TCP connections to a target.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[*relayedConn]bool
}

// relayedConn is one relayed connection.
type relayedConn struct {
	client, upstream net.Conn
	stalled          chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: make(map[*relayedConn]bool)}
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.setMode(modeDisconnect)
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(client)
	}
}

func (r *relay) handle(client net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &relayedConn{client: client, upstream: upstream, stalled: make(chan struct{})}
	r.mu.Lock()
	if r.mode == modeDisconnect {
		r.mu.Unlock()
		conn.close()
		return
	}
	r.conns[conn] = true
	r.mu.Unlock()
	go r.forward(conn, client, upstream)
	r.forward(conn, upstream, client)
}

// forward copies one direction until the connection is closed or stalled.
func (r *relay) forward(conn *relayedConn, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-conn.stalled:
			return
		default:
		}
		if _, failed := to.Write(buffer[:n]); failed != nil {
			break
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	conn.close()
}

func (c *relayedConn) close() {
	_ = c.client.Close()
	_ = c.upstream.Close()
}

// setMode changes the mode and applies it to the open connections.
func (r *relay) setMode(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == modeBlackhole {
		r.mode = modeForward
	}
	for conn := range r.conns {
		switch m {
		case modeDisconnect:
			conn.close()
		case modeBlackhole:
			close(conn.stalled)
		}
		delete(r.conns, conn)
	}
}
