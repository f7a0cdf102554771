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
	// maxCalls bounds the calls from other instances that run at a time.
	maxCalls       = 512
	requestTimeout = 5 * time.Second
	callBuffer     = 4096
)

// Handler serves one method of calls from other instances. An error with a
// method Kind() string passes its kind to the caller; a *RefusedError tells
// the caller that nothing was done.
type Handler func(ctx context.Context, from platform.Instance, request []byte) (proto.Message, error)

// Typed returns a handler that decodes its request.
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

// Kinds of refusal by the called instance.
const (
	KindMalformed = "malformed"
	KindMethod    = "method"
	KindExpired   = "expired"
	KindBusy      = "busy"
)

// Handle sets the handler of a method. It replaces an earlier one.
func (g *Group) Handle(method string, h Handler) { g.calls.Store(method, h) }

// Call runs a method on another instance and stores its answer in response.
// The deadline of ctx goes along. The error is *NotSentError if the handler
// did not run, *RemoteError if it failed, otherwise *UnknownError.
func (g *Group) Call(ctx context.Context, instance, method string, request, response proto.Message) error {
	notSent := func(cause error) error {
		return &NotExecutedError{Instance: instance, Method: method, Cause: cause}
	}
	unknown := func(cause error) error {
		return &UnknownOutcomeError{Instance: instance, Method: method, Cause: cause}
	}
	message, err := encode(ctx, method, request)
	if err != nil {
		return notSent(err)
	}
	stream, err := g.open(ctx, instance)
	if err != nil {
		return notSent(err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeFrame(stream, message); err != nil {
		return unknown(cause(ctx, err))
	}
	answer := &schema.CallResponse{}
	if err := readFrame(bufio.NewReaderSize(stream, callBuffer), answer); err != nil {
		return unknown(cause(ctx, err))
	}
	if f := answer.GetFault(); f != nil {
		if f.GetRefused() {
			return notSent(&RefusedError{Kind: f.GetCode(), Message: f.GetMessage()})
		}
		return &RemoteError{Instance: instance, Method: method, Kind: f.GetCode(), Message: f.GetMessage()}
	}
	if err := proto.Unmarshal(answer.GetBody(), response); err != nil {
		return unknown(err)
	}
	return nil
}

// cause prefers the end of the caller's context over the error it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// encode builds the request message and checks its size.
func encode(ctx context.Context, method string, request proto.Message) (*schema.CallRequest, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	m := &schema.CallRequest{Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		// The remaining time, because the clocks of instances differ.
		m.Budget = uint64(max(time.Until(deadline).Microseconds(), 1))
	}
	if size := proto.Size(m); size > maxMessage {
		return nil, &SizeError{Size: size, Limit: maxMessage}
	}
	return m, nil
}

// open starts a stream to an instance.
func (g *Group) open(ctx context.Context, instance string) (net.Conn, error) {
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

// answer serves the streams that the peer opens on a link.
func (g *Group) answer(ctx context.Context, l *link) {
	defer g.drop(l)
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
	reader := bufio.NewReaderSize(stream, callBuffer)
	request := &schema.CallRequest{}
	if err := readFrame(reader, request); err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The stream ends when the caller gives up or the session fails.
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
	case g.run.slots <- struct{}{}:
		defer func() { <-g.run.slots }()
	default:
		return refuse(KindBusy, "too many calls at a time")
	}
	h, ok := g.calls.Load(r.GetMethod())
	if !ok {
		return refuse(KindMethod, "unknown method "+r.GetMethod())
	}
	if r.GetBudget() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.GetBudget())*time.Microsecond)
		defer cancel()
	}
	if ctx.Err() != nil {
		return refuse(KindExpired, "the caller no longer waits")
	}
	g.mu.Lock()
	from := l.peer.inst
	g.mu.Unlock()
	return g.handle(ctx, h.(Handler), from, r)
}

// handle runs a handler. One that panics fails the call, not the process.
func (g *Group) handle(ctx context.Context, h Handler, from platform.Instance, r *schema.CallRequest) (answer *schema.CallResponse) {
	defer func() {
		if cause := recover(); cause != nil {
			err := &PanicError{Method: r.GetMethod(), Cause: fmt.Sprint(cause)}
			g.log.Error(err, "call failed", "instance", from.Name, "stack", string(debug.Stack()))
			answer = fail(err)
		}
	}()
	m, err := h(ctx, from, r.GetBody())
	return respond(m, err)
}

func respond(m proto.Message, err error) *schema.CallResponse {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refuse(refused.Kind, refused.Message)
	}
	if err != nil {
		return fail(err)
	}
	if m == nil {
		return &schema.CallResponse{}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return fail(err)
	}
	if limit := maxMessage - callBuffer; len(body) > limit {
		return fail(&SizeError{Size: len(body), Limit: limit})
	}
	return &schema.CallResponse{Body: body}
}

func fail(err error) *schema.CallResponse {
	f := &schema.Fault{Message: err.Error()}
	var kind interface{ Kind() string }
	if errors.As(err, &kind) {
		f.Code = kind.Kind()
	}
	return &schema.CallResponse{Fault: f}
}

func refuse(kind, message string) *schema.CallResponse {
	return &schema.CallResponse{Fault: &schema.Fault{Code: kind, Message: message, Refused: true}}
}
