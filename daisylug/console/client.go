package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout is short, so that a call can fail over to another server while
	// most of its time remains.
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdlePerHost   = 1024
	maxResponseBytes = 64 << 20
)

// NewTransport returns the HTTP transport for connections to instances.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// call is one request to the HTTP API.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   any
	// repeatable is set if the call may be sent again although an earlier
	// attempt may have been executed.
	repeatable bool
	// wait is the time for which the instance is asked to hold a long poll.
	wait time.Duration
	// deadline, if set, replaces the client's timeout.
	deadline time.Time
}

func (q call) readOnly() bool { return q.method == http.MethodGet }

// apiResponse is a complete response with a status below 300.
type apiResponse struct {
	status int
	header http.Header
	body   []byte
}

// decode unmarshals the body into v and keeps numbers as json.Number.
func (r *apiResponse) decode(v any) error {
	decoder := json.NewDecoder(bytes.NewReader(r.body))
	decoder.UseNumber()
	if err := decoder.Decode(v); err != nil {
		return &InvalidResponseError{Status: r.status, Cause: err}
	}
	return nil
}

// client calls the HTTP API of the instances.
type client struct {
	servers []server
	timeout time.Duration
	http    *http.Client
	// rotate makes consecutive calls start at different servers, round-robin.
	rotate bool
	calls  atomic.Uint64
}

func newClient(servers []server, timeout time.Duration, transport http.RoundTripper) *client {
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		servers: servers,
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirects},
	}
}

// get sends a repeatable GET request for path.
func (c *client) get(ctx context.Context, path string, query url.Values) (*apiResponse, error) {
	return c.do(ctx, call{method: http.MethodGet, path: path, query: query, repeatable: true})
}

// do sends q to one server after another until one succeeds or the error rules
// out a retry.
func (c *client) do(ctx context.Context, q call) (*apiResponse, error) {
	body, err := q.encode()
	if err != nil {
		return nil, err
	}
	deadline := q.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(c.timeout + q.wait)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var attempts AttemptsError
	for i, s := range c.order() {
		resp, err := c.attempt(ctx, s, q, body, len(c.servers)-i)
		if err == nil {
			return resp, nil
		}
		attempts.add(s, err)
		if !q.mayRetry(err) {
			break
		}
	}
	return nil, attempts.finalError(q)
}

// order returns the servers in the order in which a call tries them.
func (c *client) order() []server {
	if !c.rotate {
		return c.servers
	}
	first := int((c.calls.Add(1) - 1) % uint64(len(c.servers)))
	order := make([]server, 0, len(c.servers))
	order = append(order, c.servers[first:]...)
	return append(order, c.servers[:first]...)
}

func (q call) encode() ([]byte, error) {
	if q.body == nil {
		return nil, nil
	}
	return json.Marshal(q.body)
}

// mayRetry reports whether q may be sent to another server after err.
func (q call) mayRetry(err error) bool {
	var apiErr *APIError
	if errors.As(err, &apiErr) {
		return apiErr.Type == typeShuttingDown && (apiErr.Execution == ranNo || q.repeatable)
	}
	var noResponse *NoResponseError
	if errors.As(err, &noResponse) {
		return !noResponse.Sent || q.repeatable
	}
	return false
}

// attemptContext returns the context of one attempt. An attempt of a repeatable
// call gets an equal share of the remaining time, so that an unresponsive server
// does not use up the time of the others.
func (q call) attemptContext(ctx context.Context, serversLeft int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !q.repeatable || serversLeft <= 1 {
		return context.WithCancel(ctx)
	}
	remaining := time.Until(deadline) - q.wait
	return context.WithTimeout(ctx, q.wait+remaining/time.Duration(serversLeft))
}

// attempt sends q to one server.
func (c *client) attempt(ctx context.Context, s server, q call, body []byte, serversLeft int) (*apiResponse, error) {
	ctx, cancel := q.attemptContext(ctx, serversLeft)
	defer cancel()
	var trace connectionTrace
	request, err := q.newHTTPRequest(trace.withTrace(ctx), s, body)
	if err != nil {
		return nil, err
	}
	httpResp, err := c.http.Do(request)
	if err != nil {
		return nil, &NoResponseError{Sent: trace.mayHaveSent(err), Cause: unwrapURLError(err)}
	}
	defer func() { _ = httpResp.Body.Close() }()
	return readResponse(httpResp)
}

func (q call) newHTTPRequest(ctx context.Context, s server, body []byte) (*http.Request, error) {
	target := s.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, usageError(err)
	}
	for key, values := range q.header {
		r.Header[key] = values
	}
	r.Header.Set("Accept", "application/json")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// readResponse reads the whole body and returns the response, or the error that
// it reports.
func readResponse(httpResp *http.Response) (*apiResponse, error) {
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, &NoResponseError{Sent: true, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return nil, &InvalidResponseError{Status: httpResp.StatusCode, Cause: errTooLarge}
	}
	if httpResp.StatusCode >= http.StatusMultipleChoices {
		return nil, readError(httpResp.StatusCode, body)
	}
	if !json.Valid(body) {
		return nil, &NoResponseError{Sent: true, Cause: errIncomplete}
	}
	return &apiResponse{status: httpResp.StatusCode, header: httpResp.Header, body: body}, nil
}

// readError returns the error that a response reports. A 5xx status without an
// error body comes from a load balancer in between, which may have forwarded the
// request.
func readError(status int, body []byte) error {
	var reply struct {
		Error *APIError `json:"error"`
	}
	err := json.Unmarshal(body, &reply)
	if err == nil && reply.Error != nil && reply.Error.Type != "" {
		reply.Error.Status = status
		return reply.Error
	}
	if status >= http.StatusInternalServerError {
		return &NoResponseError{Sent: true, Cause: &InvalidResponseError{Status: status, Cause: errNoErrorBody}}
	}
	return &InvalidResponseError{Status: status, Cause: errNoErrorBody}
}

// unwrapURLError strips the method and URL that net/http adds to an error.
func unwrapURLError(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}

// connectionTrace records whether a request asked for a connection and got one.
type connectionTrace struct {
	requested atomic.Bool
	obtained  atomic.Bool
}

func (t *connectionTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.obtained.Store(true) },
	})
}

// mayHaveSent reports whether any part of the request may have been sent before
// it failed with err.
func (t *connectionTrace) mayHaveSent(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	return !t.requested.Load() || t.obtained.Load()
}
