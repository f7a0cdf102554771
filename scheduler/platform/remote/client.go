package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// Headers of the protocol.
const (
	// sumHeader carries the xxhash64 of a body. An answer without it is not
	// complete.
	sumHeader = "X-Content-Xxhash64"
	// idHeader carries a random id that the answer repeats.
	idHeader = "X-Request-Id"
)

// maxBody bounds requests and answers.
const maxBody = 128 << 20

// Bounds of connections.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
)

// effect tells whether a call changes state. The outcome of a call that does
// may become unknown.
type effect bool

const (
	reading effect = false
	writing effect = true
)

// none is an empty request or answer.
type none struct{}

// SumError reports a body that is not the one that was sent.
type SumError struct{ Length int }

func (e *SumError) Error() string {
	return fmt.Sprintf("checksum does not match the %d bytes received", e.Length)
}

// StatusError reports an answer that is not of this protocol.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return "unexpected answer with status " + strconv.Itoa(e.Status)
}

// causeError is the cause of an error of the platform.
type causeError string

func (e causeError) Error() string { return string(e) }

const (
	errTooLarge    causeError = "body is too large"
	errMisdirected causeError = "answer belongs to another request"
)

// client calls one service.
type client struct {
	service   string
	base      string
	http      *http.Client
	transport *http.Transport
}

func newClient(service, base string, connections int) *client {
	t := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	// A redirect would send a request twice.
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		service:   service,
		base:      base,
		http:      &http.Client{Transport: t, CheckRedirect: refuse},
		transport: t,
	}
}

// failed returns the error of a call without a complete answer.
func (c *client) failed(sent bool, cause error) error {
	if sent {
		return &platform.UnknownOutcomeError{Service: c.service, Cause: cause}
	}
	return &platform.UnavailableError{Service: c.service, Cause: cause}
}

// send sends one request and returns the body of a complete answer.
func (c *client) send(ctx context.Context, e effect, method, path string, body []byte) ([]byte, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, traceSent(&sent))
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, c.failed(false, err)
	}
	r.Header.Set(sumHeader, sum(body))
	r.Header.Set(idHeader, strconv.FormatUint(rand.Uint64(), 16))
	if e == reading {
		r.Header["Idempotency-Key"] = nil // lets the transport send it again
	}
	status, answer, err := c.exchange(r)
	if err != nil {
		if sent.Load() && !errors.Is(err, context.Canceled) {
			c.transport.CloseIdleConnections() // they may be silent too
		}
		return nil, c.failed(sent.Load() && bool(e), err)
	}
	if status == http.StatusOK {
		return answer, nil
	}
	if err := decodeError(c.service, answer); err != nil {
		return nil, err
	}
	return nil, c.failed(bool(e), &StatusError{Status: status})
}

// traceSent sets sent once a connection has been taken for the request. The
// transport begins again with another connection only if it wrote nothing to
// the previous one, or if the request changes no state.
func traceSent(sent *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
}

func (c *client) exchange(r *http.Request) (int, []byte, error) {
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body, response.Header)
	if err == nil && response.Header.Get(idHeader) != r.Header.Get(idHeader) {
		err = errMisdirected
	}
	return response.StatusCode, body, err
}

func readBody(r io.Reader, h http.Header) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBody:
		return nil, errTooLarge
	case h.Get(sumHeader) != sum(body):
		return nil, &SumError{Length: len(body)}
	}
	return body, nil
}

func sum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// call sends a question as JSON and decodes the answer.
func call[A any](ctx context.Context, c *client, e effect, path string, question any) (A, error) {
	var answer A
	body, err := json.Marshal(question)
	if err != nil {
		return answer, c.failed(false, err)
	}
	raw, err := c.send(ctx, e, http.MethodPost, path, body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		var zero A
		return zero, c.failed(bool(e), err)
	}
	return answer, nil
}

// order is call for a request that changes state and is answered with nothing.
func order(ctx context.Context, c *client, path string, question any) error {
	_, err := call[none](ctx, c, writing, path, question)
	return err
}
