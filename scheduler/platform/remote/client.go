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
	// checksumHeader carries the xxhash64 of a body. An answer without it is
	// treated as incomplete.
	checksumHeader = "X-Content-Xxhash64"
	// idHeader carries a random request ID that the server echoes.
	idHeader = "X-Request-Id"
)

// maxBodySize limits the bodies of requests and answers, in bytes.
const maxBodySize = 128 << 20

// Timeouts of connections.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
)

// effect states whether a call changes state. Only the outcome of a call that
// does can be unknown.
type effect bool

const (
	readOnly effect = false
	mutating effect = true
)

// empty is the body of a request or answer without content.
type empty struct{}

// ChecksumError reports a body whose length or checksum differs from the one
// sent.
type ChecksumError struct{ Length int }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("checksum does not match the %d bytes received", e.Length)
}

// StatusError reports an error answer that does not follow the protocol.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return "unexpected answer with status " + strconv.Itoa(e.Status)
}

// causeError is the cause of a platform error, as text.
type causeError string

func (e causeError) Error() string { return string(e) }

const (
	errTooLarge    causeError = "body is too large"
	errMisdirected causeError = "answer belongs to another request"
)

// client sends requests to one service.
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
	// Following a redirect would send the request twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		service:   service,
		base:      base,
		http:      &http.Client{Transport: t, CheckRedirect: noRedirect},
		transport: t,
	}
}

// callError returns the error of a call that got no complete answer. The
// outcome is unknown if the request may have been sent.
func (c *client) callError(sent bool, cause error) error {
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
		return nil, c.callError(false, err)
	}
	r.Header.Set(checksumHeader, checksum(body))
	r.Header.Set(idHeader, strconv.FormatUint(rand.Uint64(), 16))
	if e == readOnly {
		r.Header["Idempotency-Key"] = nil // lets the transport retry the request
	}
	status, answer, err := c.exchange(r)
	if err != nil {
		if sent.Load() && !errors.Is(err, context.Canceled) {
			c.transport.CloseIdleConnections() // may be unresponsive too
		}
		return nil, c.callError(sent.Load() && bool(e), err)
	}
	if status == http.StatusOK {
		return answer, nil
	}
	if err := decodeError(c.service, answer); err != nil {
		return nil, err
	}
	return nil, c.callError(bool(e), &StatusError{Status: status})
}

// traceSent sets sent when the request has obtained a connection, and resets it
// when the transport asks for another one. The transport does that only if it
// wrote nothing to the previous connection, or if the request changes no state.
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
	body, err := io.ReadAll(io.LimitReader(r, maxBodySize+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBodySize:
		return nil, errTooLarge
	case h.Get(checksumHeader) != checksum(body):
		return nil, &ChecksumError{Length: len(body)}
	}
	return body, nil
}

func checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// call sends a request as JSON and decodes the answer.
func call[A any](ctx context.Context, c *client, e effect, path string, request any) (A, error) {
	var answer A
	body, err := json.Marshal(request)
	if err != nil {
		return answer, c.callError(false, err)
	}
	raw, err := c.send(ctx, e, http.MethodPost, path, body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		var zero A
		return zero, c.callError(bool(e), err)
	}
	return answer, nil
}

// callNoResult is call for a request that changes state and has an empty answer.
func callNoResult(ctx context.Context, c *client, path string, request any) error {
	_, err := call[empty](ctx, c, mutating, path, request)
	return err
}
