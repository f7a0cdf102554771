package capacity

import (
	"bytes"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
)

// traffic is the bytes of both directions and the calls of one kind.
type traffic struct{ bytes, calls int64 }

// relay passes TCP connections on to a target and counts the bytes and HTTP
// requests by kind of call. Bytes include the headers of HTTP and not those of
// TCP and IP.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	kinds map[string]traffic
	conns map[net.Conn]bool
}

func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, kinds: make(map[string]traffic), conns: make(map[net.Conn]bool)}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// counts returns the traffic so far.
func (r *relay) counts() map[string]traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.kinds)
}

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
	r.mu.Lock()
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	kind := "other"
	go r.pass(far, near, &kind, false)
	r.pass(near, far, &kind, true)
}

// pass copies one direction until a side is closed. The kind of the connection
// is that of its latest request; requests on a connection do not overlap.
func (r *relay) pass(from, to net.Conn, kind *string, requests bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		r.count(buffer[:n], kind, requests)
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
}

func (r *relay) count(content []byte, kind *string, requests bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, called := kindOf(content)
	called = called && requests
	if called {
		*kind = k
	}
	t := r.kinds[*kind]
	t.bytes += int64(len(content))
	if called {
		t.calls++
	}
	r.kinds[*kind] = t
}

// kindOf returns the path of the request that begins in content, without the
// name of the worker.
func kindOf(content []byte) (string, bool) {
	line, _, ok := bytes.Cut(content, []byte(" HTTP/1.1\r\n"))
	if !ok {
		return "", false
	}
	method, path, ok := strings.Cut(string(line), " ")
	if !ok || (method != "POST" && method != "GET" && method != "PUT") {
		return "", false
	}
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if parts[0] == "worker" && len(parts) == 3 {
		return "worker " + parts[2], true
	}
	return strings.Join(parts, " "), true
}
