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
	// dialTimeout lets a call move on to another server while most of its
	// time is left.
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	idlePerHost      = 1024
	answerBytesLimit = 64 << 20
)

// NewTransport returns the transport for connections to instances.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

// call is one request to the HTTP interface.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   any
	// repeatable marks a call that may be sent again after it may have been
	// carried out.
	repeatable bool
	// wait is the time that the instance is asked to wait.
	wait time.Duration
	// deadline ends the call, if it is set, in place of the client's timeout.
	deadline time.Time
}

func (q call) reads() bool { return q.method == http.MethodGet }

// answer is a complete answer with a status below 400.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// decode reads the body into v.
func (a *answer) decode(v any) error {
	decoder := json.NewDecoder(bytes.NewReader(a.body))
	decoder.UseNumber()
	if err := decoder.Decode(v); err != nil {
		return &InvalidResponseError{Status: a.status, Cause: err}
	}
	return nil
}

// client calls the HTTP interface of the instances.
type client struct {
	servers []server
	timeout time.Duration
	http    *http.Client
	// spread makes consecutive calls start at different servers.
	spread bool
	calls  atomic.Uint64
}

func newClient(servers []server, timeout time.Duration, transport http.RoundTripper) *client {
	keep := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		servers: servers,
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: keep},
	}
}

// get reads path.
func (c *client) get(ctx context.Context, path string, query url.Values) (*answer, error) {
	return c.do(ctx, call{method: http.MethodGet, path: path, query: query, repeatable: true})
}

// do sends q to one server after the other until one answers it.
func (c *client) do(ctx context.Context, q call) (*answer, error) {
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
	var failed AttemptsError
	for i, s := range c.order() {
		a, err := c.attempt(ctx, s, q, body, len(c.servers)-i)
		if err == nil {
			return a, nil
		}
		failed.add(s, err)
		if !q.another(err) {
			break
		}
	}
	return nil, failed.outcome(q)
}

// order returns the servers in the order in which to try them.
func (c *client) order() []server {
	if !c.spread {
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

// another reports whether q may be sent to another server after err.
func (q call) another(err error) bool {
	var refused *APIError
	if errors.As(err, &refused) {
		return refused.Type == typeLeaving && (refused.Execution == ranNo || q.repeatable)
	}
	var lost *NoResponseError
	if errors.As(err, &lost) {
		return !lost.Sent || q.repeatable
	}
	return false
}

// share returns the context of one attempt. An attempt of a repeatable call
// gets an equal part of the time left, so that a silent server does not use
// up the time of the others.
func (q call) share(ctx context.Context, left int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || !q.repeatable || left <= 1 {
		return context.WithCancel(ctx)
	}
	spare := time.Until(deadline) - q.wait
	return context.WithTimeout(ctx, q.wait+spare/time.Duration(left))
}

// attempt sends q to one server.
func (c *client) attempt(ctx context.Context, s server, q call, body []byte, left int) (*answer, error) {
	ctx, cancel := q.share(ctx, left)
	defer cancel()
	var connection connectionTrace
	request, err := q.request(connection.watch(ctx), s, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &NoResponseError{Sent: connection.sent(err), Cause: cause(err)}
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

func (q call) request(ctx context.Context, s server, body []byte) (*http.Request, error) {
	target := s.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, usageError(err)
	}
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Header.Set("Accept", "application/json")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// read returns the complete answer or the error in it.
func read(response *http.Response) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerBytesLimit+1))
	if err != nil {
		return nil, &NoResponseError{Sent: true, Cause: err}
	}
	if len(body) > answerBytesLimit {
		return nil, &InvalidResponseError{Status: response.StatusCode, Cause: errLarge}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, readError(response.StatusCode, body)
	}
	if !json.Valid(body) {
		return nil, &NoResponseError{Sent: true, Cause: errIncomplete}
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// readError returns the error of an answer. A 5xx without an error body comes
// from a balancer in between, which may have passed the request on.
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
		return &NoResponseError{Sent: true, Cause: &InvalidResponseError{Status: status, Cause: errForeign}}
	}
	return &InvalidResponseError{Status: status, Cause: errForeign}
}

// cause drops the URL that net/http puts before the cause.
func cause(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// connectionTrace observes whether a request was given a connection.
type connectionTrace struct {
	asked atomic.Bool
	given atomic.Bool
}

func (t *connectionTrace) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.given.Store(true) },
	})
}

// sent reports whether a part of the request may have left this machine.
func (t *connectionTrace) sent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return !t.asked.Load() || t.given.Load()
}
