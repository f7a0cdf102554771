package trial

import (
	"net"
	"sync"
	"testing"
)

// mode is what a relay does with connections.
type mode int

const (
	modePass mode = iota
	// modeCut closes all connections and refuses new ones.
	modeCut
	// modeSilent keeps the open connections but passes nothing on; new ones
	// work.
	modeSilent
)

// relay passes TCP connections on to a target.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	links map[*link]bool
}

// link is one relayed connection.
type link struct {
	near, far net.Conn
	silent    chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, links: make(map[*link]bool)}
	go r.accept()
	t.Cleanup(func() {
		_ = l.Close()
		r.set(modeCut)
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(near)
	}
}

func (r *relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far, silent: make(chan struct{})}
	r.mu.Lock()
	if r.mode == modeCut {
		r.mu.Unlock()
		l.close()
		return
	}
	r.links[l] = true
	r.mu.Unlock()
	go r.pass(l, near, far)
	r.pass(l, far, near)
}

// pass copies one direction until the link is closed or goes silent.
func (r *relay) pass(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
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
	delete(r.links, l)
	r.mu.Unlock()
	l.close()
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// set changes what the relay does.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m == modeSilent {
		r.mode = modePass
	}
	for l := range r.links {
		switch m {
		case modeCut:
			l.close()
		case modeSilent:
			close(l.silent)
		}
		delete(r.links, l)
	}
}
