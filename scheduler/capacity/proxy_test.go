package capacity

import (
	"bytes"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
)

// traffic counts the bytes in both directions and the calls of one kind.
type traffic struct{ bytes, calls int64 }

// tcpProxy forwards TCP connections to a target and counts bytes and HTTP
// requests by kind of call. The bytes include HTTP headers, but not those of TCP
// and IP.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	trafficByKind map[string]traffic
	conns         map[net.Conn]bool
}

func newTCPProxy(t *testing.T, address, target string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: l, target: target, trafficByKind: make(map[string]traffic), conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// counts returns the traffic so far by kind of call.
func (p *tcpProxy) counts() map[string]traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.trafficByKind)
}

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(client)
	}
}

func (p *tcpProxy) serveConn(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	kind := "other"
	go p.forward(upstream, client, &kind, false)
	p.forward(client, upstream, &kind, true)
}

// forward copies one direction until either side is closed. Traffic counts
// towards the kind of the latest request on the connection, since requests on a
// connection do not overlap.
func (p *tcpProxy) forward(from, to net.Conn, kind *string, requests bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.countTraffic(buffer[:n], kind, requests)
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
}

func (p *tcpProxy) countTraffic(content []byte, kind *string, requests bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, called := kindOf(content)
	called = called && requests
	if called {
		*kind = k
	}
	t := p.trafficByKind[*kind]
	t.bytes += int64(len(content))
	if called {
		t.calls++
	}
	p.trafficByKind[*kind] = t
}

// kindOf returns the kind of the request that begins in content: the elements of
// its path without the name of the worker, separated by spaces.
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
