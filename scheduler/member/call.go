package member

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// Limits of calls.
const (
	// maxConcurrentCalls limits the calls from other instances in progress at a
	// time.
	maxConcurrentCalls = 512
	requestTimeout     = 5 * time.Second
	callBufferSize     = 4096
)

// Handler serves calls of one method from other instances. If the error has a
// method Kind() string, the kind is passed to the caller. A *RefusedError tells
// the caller that the call had no effect.
type Handler func(ctx context.Context, from platform.Instance, request []byte) (proto.Message, error)

// Typed returns a handler that decodes the request before it calls f.
func Typed[T any, M interface {
	*T
	proto.Message
}](f func(ctx context.Context, from platform.Instance, request M) (proto.Message, error)) Handler {
	return func(ctx context.Context, from platform.Instance, request []byte) (proto.Message, error) {
		m := M(new(T))
		if err := proto.Unmarshal(request, m); err != nil {
			return nil, &RefusedError{Kind: KindMalformed, Message: err.Error()}
		}
		return f(ctx, from, m)
	}
}

// Kinds of a RefusedError that are reported by the called instance itself.
const (
	KindMalformed = "malformed"
	KindMethod    = "method"
	KindExpired   = "expired"
	KindBusy      = "busy"
)

// Handle registers the handler of a method and replaces any previous one.
func (g *Group) Handle(method string, h Handler) { g.handlers.Store(method, h) }

// Call calls a method on another instance and decodes the answer into response.
// The remaining time until the deadline of ctx is passed on. The error is a
// *NotExecutedError if the handler did not run, a *RemoteError if it returned an
// error, and an *UnknownOutcomeError otherwise.
func (g *Group) Call(ctx context.Context, instance, method string, request, response proto.Message) error {
	notExecuted := func(cause error) error {
		return &NotExecutedError{Instance: instance, Method: method, Cause: cause}
	}
	unknownOutcome := func(cause error) error {
		return &UnknownOutcomeError{Instance: instance, Method: method, Cause: cause}
	}
	message, err := encodeRequest(ctx, method, request)
	if err != nil {
		return notExecuted(err)
	}
	stream, err := g.openStream(ctx, instance)
	if err != nil {
		return notExecuted(err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeFrame(stream, message); err != nil {
		return unknownOutcome(contextError(ctx, err))
	}
	answer := &schema.CallResponse{}
	if err := readFrame(bufio.NewReaderSize(stream, callBufferSize), answer); err != nil {
		return unknownOutcome(contextError(ctx, err))
	}
	if f := answer.GetFault(); f != nil {
		if f.GetRefused() {
			return notExecuted(&RefusedError{Kind: f.GetCode(), Message: f.GetMessage()})
		}
		return &RemoteError{Instance: instance, Method: method, Kind: f.GetCode(), Message: f.GetMessage()}
	}
	if err := proto.Unmarshal(answer.GetBody(), response); err != nil {
		return unknownOutcome(err)
	}
	return nil
}

// contextError returns the error of ctx if it has ended, otherwise err.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// encodeRequest returns the request message after a check of its size.
func encodeRequest(ctx context.Context, method string, request proto.Message) (*schema.CallRequest, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	m := &schema.CallRequest{Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		// The remaining time is sent because the clocks of instances differ.
		m.Budget = uint64(max(time.Until(deadline).Microseconds(), 1))
	}
	if size := proto.Size(m); size > maxMessageSize {
		return nil, &SizeError{Size: size, Limit: maxMessageSize}
	}
	return m, nil
}

// openStream opens a stream on the session with an instance.
func (g *Group) openStream(ctx context.Context, instance string) (net.Conn, error) {
	g.mu.Lock()
	p := g.peers[instance]
	if p == nil || p.link == nil {
		g.mu.Unlock()
		return nil, &UnreachableError{Instance: instance}
	}
	session := p.link.session
	g.mu.Unlock()
	return session.Open(ctx)
}

// serveStreams accepts and serves the streams that the peer opens on a link.
func (g *Group) serveStreams(ctx context.Context, l *link) {
	defer g.removeLink(l)
	for {
		stream, err := l.session.Accept(ctx)
		if err != nil {
			return
		}
		g.mu.Lock()
		ok := g.spawn(func(ctx context.Context) { g.serveCall(ctx, l, stream) })
		g.mu.Unlock()
		if !ok {
			_ = stream.Close()
		}
	}
}

// serveCall reads one request, runs its handler and writes the response.
func (g *Group) serveCall(ctx context.Context, l *link, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	reader := bufio.NewReaderSize(stream, callBufferSize)
	request := &schema.CallRequest{}
	if err := readFrame(reader, request); err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The read returns when the caller closes the stream or the session fails.
		_, _ = reader.ReadByte()
		cancel()
	}()
	answer := g.dispatch(ctx, l, request)
	_ = stream.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = writeFrame(stream, answer)
}

// dispatch runs the handler of a request.
func (g *Group) dispatch(ctx context.Context, l *link, r *schema.CallRequest) *schema.CallResponse {
	select {
	case g.run.callSlots <- struct{}{}:
		defer func() { <-g.run.callSlots }()
	default:
		return refusalResponse(KindBusy, "too many calls at a time")
	}
	h, ok := g.handlers.Load(r.GetMethod())
	if !ok {
		return refusalResponse(KindMethod, "unknown method "+r.GetMethod())
	}
	if r.GetBudget() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.GetBudget())*time.Microsecond)
		defer cancel()
	}
	if ctx.Err() != nil {
		return refusalResponse(KindExpired, "the caller no longer waits")
	}
	g.mu.Lock()
	from := l.peer.instance
	g.mu.Unlock()
	return g.runHandler(ctx, h.(Handler), from, r)
}

// runHandler runs a handler. A panic of the handler fails the call, not the
// process.
func (g *Group) runHandler(ctx context.Context, h Handler, from platform.Instance, r *schema.CallRequest) (answer *schema.CallResponse) {
	defer func() {
		if cause := recover(); cause != nil {
			err := &PanicError{Method: r.GetMethod(), Cause: fmt.Sprint(cause)}
			g.log.Error(err, "call handler panicked", "instance", from.Name, "stack", string(debug.Stack()))
			answer = failureResponse(err)
		}
	}()
	m, err := h(ctx, from, r.GetBody())
	return encodeResponse(m, err)
}

func encodeResponse(m proto.Message, err error) *schema.CallResponse {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refusalResponse(refused.Kind, refused.Message)
	}
	if err != nil {
		return failureResponse(err)
	}
	if m == nil {
		return &schema.CallResponse{}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return failureResponse(err)
	}
	if limit := maxMessageSize - callBufferSize; len(body) > limit {
		return failureResponse(&SizeError{Size: len(body), Limit: limit})
	}
	return &schema.CallResponse{Body: body}
}

func failureResponse(err error) *schema.CallResponse {
	f := &schema.Fault{Message: err.Error()}
	var kind interface{ Kind() string }
	if errors.As(err, &kind) {
		f.Code = kind.Kind()
	}
	return &schema.CallResponse{Fault: f}
}

func refusalResponse(kind, message string) *schema.CallResponse {
	return &schema.CallResponse{Fault: &schema.Fault{Code: kind, Message: message, Refused: true}}
}
