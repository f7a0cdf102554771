package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	// urgentDelay and pollDelay are how long a call may wait to be sent together
	// with others. Lease renewals that wait for changes last up to a second
	// anyway, whereas a delay of other calls delays the start of tasks.
	urgentDelay = 5 * time.Millisecond
	pollDelay   = 100 * time.Millisecond
	// collectTimeout is how long the relay waits for answers before it replies.
	collectTimeout = 500 * time.Millisecond
	// exchangeTimeout limits one exchange and leaves time for a slow link.
	exchangeTimeout = collectTimeout + 600*time.Millisecond
	// answerMargin is the part of a call's time that is reserved for returning
	// its answer.
	answerMargin = 100 * time.Millisecond
	// maxConcurrentExchanges limits the exchanges with one relay at a time, so
	// that calls are batched under load.
	maxConcurrentExchanges = 4
	// maxCallsPerExchange limits the calls of one request. With payloads of 4000
	// bytes each, the request stays below the maximum message size.
	maxCallsPerExchange = 200
)

// client batches calls to workers and sends them to one relay.
type client struct {
	router   *Router
	instance string
	// suspendedUntil is the time until which the relay gets no calls; it is
	// guarded by the router's lock.
	suspendedUntil time.Time

	mu     sync.Mutex
	lastID uint64
	queue  []*pendingCall
	// inFlight holds the calls that were sent and not yet answered, by id.
	inFlight map[uint64]*pendingCall
	// flushAt is when the queue is sent; zero if no flush is scheduled.
	flushAt         time.Time
	timer           *time.Timer
	activeExchanges int
}

// pendingCall is a call that waits to be sent or answered.
type pendingCall struct {
	call     *schema.RelayCall
	payload  string
	deadline time.Time
	result   chan callResult
}

type callResult struct {
	answer *schema.RelayAnswer
	err    error
}

func newClient(r *Router, instance string) *client {
	return &client{router: r, instance: instance, inFlight: map[uint64]*pendingCall{}}
}

// call sends a call within maxDelay and waits for its answer.
func (cl *client) call(ctx context.Context, c *schema.RelayCall, payload string, maxDelay time.Duration) (*schema.RelayAnswer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(exchangeTimeout)
	}
	pending := &pendingCall{call: c, payload: payload, deadline: deadline, result: make(chan callResult, 1)}
	cl.enqueue(pending, time.Now().Add(maxDelay))
	select {
	case res := <-pending.result:
		return res.answer, res.err
	case <-ctx.Done():
		return nil, cl.abandon(pending, ctx.Err())
	}
}

// enqueue adds a call that is to be sent at due or earlier.
func (cl *client) enqueue(pending *pendingCall, due time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastID++
	pending.call.Id = cl.lastID
	cl.queue = append(cl.queue, pending)
	if len(cl.queue) >= maxCallsPerExchange {
		cl.flush()
		return
	}
	if !cl.flushAt.IsZero() && !due.Before(cl.flushAt) {
		return
	}
	cl.flushAt = due
	if cl.timer != nil {
		cl.timer.Stop()
	}
	cl.timer = time.AfterFunc(time.Until(due), func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.flush()
	})
}

// abandon gives up a call whose context has ended. A call that was never sent
// has certainly not been executed.
func (cl *client) abandon(pending *pendingCall, cause error) error {
	cl.mu.Lock()
	_, sent := cl.inFlight[pending.call.GetId()]
	delete(cl.inFlight, pending.call.GetId())
	for i := range cl.queue {
		if cl.queue[i] == pending {
			cl.queue = append(cl.queue[:i], cl.queue[i+1:]...)
			break
		}
	}
	cl.mu.Unlock()
	if !sent {
		return &platform.UnavailableError{Service: ServiceName, Cause: cause}
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		// The relay stops waiting for the worker answerMargin earlier, so a
		// missing answer is a fault of the relay or of the link to it.
		cl.router.suspend(cl, cause)
	}
	return &platform.UnknownOutcomeError{Service: "worker", Cause: cause}
}

// flush sends the queued calls, or an empty request that collects outstanding
// answers. The caller holds the lock.
func (cl *client) flush() {
	cl.flushAt = time.Time{}
	if cl.activeExchanges >= maxConcurrentExchanges {
		// The queue is flushed when an exchange ends.
		return
	}
	now := time.Now()
	var batch []*pendingCall
	for len(cl.queue) > 0 && len(batch) < maxCallsPerExchange {
		pending := cl.queue[0]
		cl.queue = cl.queue[1:]
		budget := pending.deadline.Sub(now) - answerMargin
		if budget <= 0 {
			pending.result <- callResult{err: &platform.UnavailableError{Service: ServiceName, Cause: context.DeadlineExceeded}}
			continue
		}
		pending.call.Budget = budget.Milliseconds()
		cl.inFlight[pending.call.GetId()] = pending
		batch = append(batch, pending)
	}
	if len(batch) == 0 && (cl.activeExchanges > 0 || len(cl.inFlight) == 0) {
		return
	}
	cl.activeExchanges++
	go cl.exchange(batch)
}

// exchange sends a batch of calls and delivers the answers of the reply.
func (cl *client) exchange(batch []*pendingCall) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	reply := &schema.RelayReply{}
	err := cl.router.group.Call(ctx, cl.instance, ExchangeMethod, cl.buildRequest(batch), reply)
	if err != nil {
		cl.router.suspend(cl, err)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.activeExchanges--
	if err != nil {
		cl.failAll(batch, err)
		return
	}
	for _, a := range reply.GetAnswers() {
		if pending := cl.inFlight[a.GetId()]; pending != nil {
			delete(cl.inFlight, a.GetId())
			pending.result <- callResult{a, decodeFailure(a)}
		}
	}
	cl.flush()
}

// buildRequest returns the request for a batch, with each distinct payload once.
func (cl *client) buildRequest(batch []*pendingCall) *schema.RelayRequest {
	m := &schema.RelayRequest{Session: cl.router.session}
	payloadNumbers := map[string]int32{}
	for _, pending := range batch {
		if pending.payload != "" {
			n, ok := payloadNumbers[pending.payload]
			if !ok {
				m.Payloads = append(m.Payloads, pending.payload)
				n = int32(len(m.Payloads))
				payloadNumbers[pending.payload] = n
			}
			pending.call.Payload = n
		}
		m.Calls = append(m.Calls, pending.call)
	}
	return m
}

// failAll ends all calls after an exchange has failed. Queued calls, and those of
// a batch that the relay did not execute, have certainly not been made. The
// caller holds the lock.
func (cl *client) failAll(batch []*pendingCall, cause error) {
	var notExecuted *member.NotExecutedError
	if errors.As(cause, &notExecuted) {
		for _, pending := range batch {
			if cl.inFlight[pending.call.GetId()] == pending {
				delete(cl.inFlight, pending.call.GetId())
				pending.result <- callResult{err: &platform.UnavailableError{Service: ServiceName, Cause: cause}}
			}
		}
	}
	for id, pending := range cl.inFlight {
		delete(cl.inFlight, id)
		pending.result <- callResult{err: &platform.UnknownOutcomeError{Service: "worker", Cause: cause}}
	}
	for _, pending := range cl.queue {
		pending.result <- callResult{err: &platform.UnavailableError{Service: ServiceName, Cause: cause}}
	}
	cl.queue = nil
}
