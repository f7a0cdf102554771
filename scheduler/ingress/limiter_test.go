package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisylug.example/scheduler/meter"
)

const (
	testTimeout = 10 * time.Second
	maxTestBody = 64 << 10
)

// testServer is a limited server that answers with the size of the body.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	address string
}

func newTestServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	s := &testServer{t: t, limiter: New(limits, meter.NewSet(), "test")}
	l, err := s.limiter.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		content, err := ReadBody(w, r, maxTestBody, time.Time{})
		var refused *RefusedError
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &refused):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = fmt.Fprint(w, len(content))
		}
	})}
	s.limiter.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func testLimits() Limits { return DefaultLimits(256<<20, 1024).WithBody(maxTestBody) }

// client is a connection of a client.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

// send sends parts of a request. The server may have closed the connection.
func (c *client) send(parts ...string) {
	for _, p := range parts {
		_, _ = io.WriteString(c, p)
	}
}

// status returns the status of the next response, or 0 if the connection ends.
func (c *client) status() int {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.t.Errorf("no response and no end of the connection: %v", err)
		}
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, size)
}

// await waits until the limiter has as many connections and holds as many bytes.
func (s *testServer) await(open int, held int64) {
	s.t.Helper()
	var o int
	var h int64
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.limiter.mu.Lock()
		o, h = s.limiter.open, s.limiter.held
		s.limiter.mu.Unlock()
		if o == open && h == held {
			return
		}
	}
	s.t.Fatalf("%d connections and %d bytes, want %d and %d", o, h, open, held)
}

// awaitHeads waits until each of n connections has been refused or holds a whole head of
// the given charge.
func (s *testServer) awaitHeads(n int, charge int64) {
	s.t.Helper()
	var open, refused int
	var held int64
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		refused = int(s.limiter.refusals[reasonBytes].Get())
		s.limiter.mu.Lock()
		open, held = s.limiter.open, s.limiter.held
		s.limiter.mu.Unlock()
		if open+refused == n && held == int64(open)*charge {
			return
		}
	}
	s.t.Fatalf("%d connections hold %d bytes and %d are refused, want %d with %d bytes each", open, held, refused, n, charge)
}

func TestBodies(t *testing.T) {
	content := strings.Repeat("b", maxTestBody)
	tests := []struct {
		name, request string
		status        int
	}{
		{"none", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200},
		{"empty", post("/", 0), 200},
		{"largest", post("/", maxTestBody) + content, 200},
		{"too large", post("/", maxTestBody+1) + content + "b", 413},
		{"chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", maxTestBody) + "0\r\n\r\n", 200},
		{"too large in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", maxTestBody+1) + "0\r\n\r\n", 413},
		{"not read", post("/unread", maxTestBody) + content, 401},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, testLimits())
			c := s.dial()
			c.send(test.request)
			if status := c.status(); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			_ = c.Close()
			s.await(0, 0)
		})
	}
}

// Guards against a memory that is full of bodies whose clients send nothing more.
func TestOldestBodyMakesRoom(t *testing.T) {
	limits := testLimits()
	limits.Bytes = 4 * maxTestBody
	s := newTestServer(t, limits)
	var stalled []*client
	for range 8 {
		c := s.dial()
		c.send(post("/", maxTestBody), strings.Repeat("b", maxTestBody-1))
		stalled = append(stalled, c)
	}
	c := s.dial()
	c.send(post("/", maxTestBody), strings.Repeat("b", maxTestBody))
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d of a whole body, want 200", status)
	}
	if status := stalled[0].status(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of the oldest body, want 503", status)
	}
	for _, c := range append(stalled, c) {
		_ = c.Close()
	}
	s.await(0, 0)
}

// Guards against heads that take more memory than their size.
func TestHeadsMakeRoom(t *testing.T) {
	limits := testLimits()
	limits.Bytes = 256 << 10
	s := newTestServer(t, limits)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 1000)
	var stalled []*client
	for range 20 {
		c := s.dial()
		c.send(head)
		stalled = append(stalled, c)
	}
	// A request that arrives before these heads have been read is among the oldest when
	// they need room.
	s.awaitHeads(len(stalled), int64(len(head)+lineBytes*strings.Count(head, "\n")))
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if status := stalled[0].status(); status != 0 {
		t.Errorf("status %d of the oldest head, want none", status)
	}
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.limiter.held > limits.Bytes {
		t.Errorf("%d bytes are held, want at most %d", s.limiter.held, limits.Bytes)
	}
}

func TestHeadLimitFollowsTheLimits(t *testing.T) {
	s := newTestServer(t, testLimits().WithHeader(8<<10, 0))
	request := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("v", 30<<10) + "\r\n\r\n"
	c := s.dial()
	c.send(request)
	if status := c.status(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", status)
	}
	s.limiter.SetLimits(testLimits().WithHeader(32<<10, 0))
	c = s.dial()
	for range 3 {
		c.send(request)
		if status := c.status(); status != http.StatusOK {
			t.Errorf("status %d below a higher limit, want 200", status)
		}
	}
}

func TestTimeouts(t *testing.T) {
	short := 200 * time.Millisecond
	tests := []struct {
		name, request string
		adapt         func(*Limits)
		status        int
	}{
		// The server takes what has arrived for a malformed head.
		{"head", "GET / HT", func(l *Limits) { l.HeaderTimeout = short }, 400},
		{"body", post("/", 10) + "b", func(l *Limits) { l.BodyTimeout = short }, 400},
		{"body that is not read", post("/unread", 10) + "b", func(l *Limits) { l.BodyTimeout = short }, 401},
		{"idle", "", func(l *Limits) { l.IdleTimeout = short }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := testLimits()
			test.adapt(&limits)
			s := newTestServer(t, limits)
			c := s.dial()
			c.send(test.request)
			if status := c.status(); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			s.await(0, 0)
		})
	}
}

// Guards against a timeout of an earlier phase that ends a later one.
func TestTimeoutsEndWithTheirPhase(t *testing.T) {
	limits := testLimits()
	limits.HeaderTimeout, limits.BodyTimeout = 300*time.Millisecond, 300*time.Millisecond
	s := newTestServer(t, limits)
	c := s.dial()
	for range 3 {
		c.send(post("/", 4))
		time.Sleep(100 * time.Millisecond)
		c.send("body")
		if status := c.status(); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// Guards against connections without requests that keep out other clients.
func TestConnectionsMakeRoom(t *testing.T) {
	tests := []struct {
		name, sent string
		stay       time.Duration
	}{
		{"idle", "", 0},
		{"incomplete heads", "G", stalledAge},
		{"incomplete bodies", post("/", 10) + "b", stalledAge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, testLimits().WithConnections(10))
			active := s.dial()
			for range 3 * 10 {
				c := s.dial()
				c.send(test.sent)
			}
			time.Sleep(test.stay)
			c := s.dial()
			c.send(post("/", 4), "body")
			if status := c.status(); status != http.StatusOK {
				t.Errorf("status %d of a new connection, want 200", status)
			}
			_ = active.Close()
			s.limiter.mu.Lock()
			defer s.limiter.mu.Unlock()
			if s.limiter.open > 10 {
				t.Errorf("%d connections are open, want at most 10", s.limiter.open)
			}
		})
	}
}

// BenchmarkRequests measures requests with a body on one connection, with a limiter
// and without.
func BenchmarkRequests(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		_, _ = w.Write(content)
	})
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited=", limited), func(b *testing.B) {
			limiter := New(testLimits(), meter.NewSet(), "test")
			server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if limited {
				_ = l.Close()
				l, err = limiter.Listen("127.0.0.1:0")
				limiter.Attach(server)
			}
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader, request := bufio.NewReader(c), []byte(post("/", 1000)+strings.Repeat("b", 1000))
			for b.Loop() {
				_, _ = c.Write(request)
				r, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				var content bytes.Buffer
				_, _ = content.ReadFrom(r.Body)
				if content.Len() != 1000 {
					b.Fatalf("%d bytes", content.Len())
				}
			}
		})
	}
}
