package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// bodyHandler notes when the body of a request begins and ends to arrive.
type bodyHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *bodyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c != nil && r.Body != nil && r.Body != http.NoBody {
		c.limiter.enter(c, phaseBody)
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request on a limited connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case b.conn.limiter.isEvicted(b.conn):
		// The error is that of a deadline in the past, or the end of the body came at
		// the same moment.
		err = &RefusedError{Reason: reasonBytes}
	case errors.Is(err, io.EOF):
		b.conn.limiter.enter(b.conn, phaseServing)
	}
	return n, err
}

// minBodyBytes is the size of the first buffer of a body.
const minBodyBytes = 1 << 10

// ReadBody reads a body of at most maxBytes, until the deadline at the latest,
// unless it is zero. The error is an *http.MaxBytesError if the body is longer,
// and a *RefusedError if it has made room for others. What is held counts until
// the answer is complete, or until Retain.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	c := connOf(r)
	if c != nil && !deadline.IsZero() {
		c.limiter.setBodyDeadline(c, deadline)
	}
	reader := http.MaxBytesReader(w, r.Body, maxBytes)
	// One byte more than the limit, so that a body of the limit ends within it.
	limit := maxBytes + 1
	if r.ContentLength >= 0 {
		limit = min(limit, r.ContentLength+1)
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			var err error
			if content, err = grow(c, content, limit); err != nil {
				return nil, err
			}
		}
		n, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns the content in a buffer of twice the size, but at most limit, and
// charges the connection for it.
func grow(c *conn, content []byte, limit int64) ([]byte, error) {
	size := min(max(2*int64(cap(content)), minBodyBytes), max(limit, int64(len(content))+1))
	if c != nil {
		if err := c.limiter.chargeBody(c, size); err != nil {
			return nil, err
		}
		defer c.limiter.refund(c, int64(cap(content)))
	}
	larger := make([]byte, len(content), size)
	copy(larger, content)
	return larger, nil
}

// Retain sets what is held for a request from now on, in bytes.
func Retain(r *http.Request, size int64) {
	c := connOf(r)
	if c == nil {
		return
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.charged > size {
		l.held -= c.charged - size
		c.charged = size
	}
}
