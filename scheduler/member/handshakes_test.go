package member

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against an instance that ends because it had no descriptor left for a
// moment.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newTCP(&failingListener{inner, 3})
	defer func() { _ = server.Close() }()
	client, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	session, err := client.Dial(ctx, server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = session.Close() }()
	accepted, err := server.Accept(ctx)
	if err != nil {
		t.Fatalf("no session after the failures: %v", err)
	}
	_ = accepted.Close()
	_ = server.Close()
	if _, err := server.Accept(ctx); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v after the listener was closed, want net.ErrClosed", err)
	}
}

// Guards against sessions that never complete their handshake and keep out others.
func TestHandshakesAreBounded(t *testing.T) {
	var h handshakes
	var sessions []*closingSession
	for range 3 * maxHandshakes {
		s := &closingSession{closed: make(chan struct{})}
		sessions = append(sessions, s)
		h.begin(s)
	}
	for i, s := range sessions[:2*maxHandshakes] {
		select {
		case <-s.closed:
		case <-time.After(10 * time.Second):
			t.Fatalf("session %d, one of the oldest, is still open", i)
		}
	}
	for i, s := range sessions[2*maxHandshakes:] {
		select {
		case <-s.closed:
			t.Errorf("session %d of the newest is closed", i)
		default:
		}
		h.end(s)
	}
	if len(h.sessions) != 0 {
		t.Errorf("%d sessions left", len(h.sessions))
	}
}

type closingSession struct {
	Session
	closed chan struct{}
}

func (s *closingSession) Close() error {
	close(s.closed)
	return nil
}
