package ingress

import (
	"container/list"
	"net"
	"net/http"
	"time"
)

const (
	// headerSlack is added to the limit of a head, because its end may arrive in one
	// read with the beginning of the body.
	headerSlack = 4 << 10
	// lineBytes is what a header field takes in memory beside its text.
	lineBytes = 128
	// tooLarge is the answer to a head above the limit.
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseHead and phaseBody receive a request.
	phaseHead
	phaseBody
	// phaseServing waits for the handler, or for the client to read the answer.
	phaseServing
	phaseClosed
)

// conn is a connection to a client. Its fields are guarded by the limiter's lock.
type conn struct {
	net.Conn
	limiter *Limiter

	phase phase
	// element is the position in the limiter's list of the phase, or nil.
	element *list.Element
	// since is when the request began to arrive, or the connection to be idle.
	since time.Time
	// received is the size of the head so far, and charged what is held for the
	// request.
	received, charged int64
	// deadline is when the phase must have ended, serverDeadline the read deadline
	// that the server has set. Zero means none.
	deadline, serverDeadline time.Time
	// evicted is set if the request has made room for others.
	evicted bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if limitErr := c.limiter.received(c, b[:n]); limitErr != nil {
			return 0, limitErr
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.limiter.Limits().WriteTimeout))
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. The deadline of the phase holds as well.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.enter(c, phaseClosed)
	return c.Conn.Close()
}

// CloseWrite lets the server close its direction first.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// applyDeadline sets the earliest deadline. The caller holds the limiter's lock.
func (c *conn) applyDeadline() error {
	t := c.serverDeadline
	if !c.deadline.IsZero() && (t.IsZero() || c.deadline.Before(t)) {
		t = c.deadline
	}
	if c.evicted {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// connOf returns the connection of a request, or nil if it is not limited.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
