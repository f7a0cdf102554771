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
	// urgentPause and lookPause are how long a call may wait for others that go
	// with it; looks last for a second, orders make work start.
	urgentPause = 5 * time.Millisecond
	lookPause   = 100 * time.Millisecond
	// collectTime is how long the other instance waits for an answer.
	collectTime = 500 * time.Millisecond
	// exchangeTimeout is the time for an exchange; a slow link fits in.
	exchangeTimeout = collectTime + 600*time.Millisecond
	// answerMargin is the part of a call's time that is left for its answer to
	// come back.
	answerMargin = 100 * time.Millisecond
	// maxExchanges bounds the exchanges with an instance at a time, so that
	// calls are put together when there are many.
	maxExchanges = 4
	// maxCalls bounds the calls of one exchange; with payloads of 4000 bytes they
	// stay below the size of a message.
	maxCalls = 200
)

// lane is the way to one instance that makes calls.
type lane struct {
	router   *Router
	instance string
	// distrusted is until when no calls go here, under the router's lock.
	distrusted time.Time

	mu     sync.Mutex
	serial uint64
	queue  []*waiter
	// pending are the calls that were sent.
	pending map[uint64]*waiter
	// due is when the queue is sent.
	due       time.Time
	timer     *time.Timer
	exchanges int
}

// waiter is a call that waits for its answer.
type waiter struct {
	call     *schema.RelayCall
	payload  string
	deadline time.Time
	done     chan outcome
}

type outcome struct {
	answer *schema.RelayAnswer
	err    error
}

func newLane(r *Router, instance string) *lane {
	return &lane{router: r, instance: instance, pending: map[uint64]*waiter{}}
}

// call sends a call after a pause at most and waits for its answer.
func (l *lane) call(ctx context.Context, c *schema.RelayCall, payload string, pause time.Duration) (*schema.RelayAnswer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(exchangeTimeout)
	}
	w := &waiter{call: c, payload: payload, deadline: deadline, done: make(chan outcome, 1)}
	l.enqueue(w, time.Now().Add(pause))
	select {
	case o := <-w.done:
		return o.answer, o.err
	case <-ctx.Done():
		return nil, l.abandon(w, ctx.Err())
	}
}

// enqueue adds a call that is to be sent at a time or earlier.
func (l *lane) enqueue(w *waiter, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serial++
	w.call.Id = l.serial
	l.queue = append(l.queue, w)
	if len(l.queue) >= maxCalls {
		l.flush()
		return
	}
	if !l.due.IsZero() && !due.Before(l.due) {
		return
	}
	l.due = due
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(time.Until(due), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.flush()
	})
}

// abandon gives up a call whose time has run out. One that was not sent has
// surely not been made.
func (l *lane) abandon(w *waiter, cause error) error {
	l.mu.Lock()
	_, sent := l.pending[w.call.GetId()]
	delete(l.pending, w.call.GetId())
	for i := range l.queue {
		if l.queue[i] == w {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	l.mu.Unlock()
	if !sent {
		return &platform.UnavailableError{Service: Service, Cause: cause}
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		// The instance answers before that, whatever the worker does.
		l.router.distrust(l, cause)
	}
	return &platform.UnknownOutcomeError{Service: "worker", Cause: cause}
}

// flush sends the queue, or asks for the answers that are missing. The caller
// holds the lock.
func (l *lane) flush() {
	l.due = time.Time{}
	if l.exchanges >= maxExchanges {
		// The end of an exchange sends the queue.
		return
	}
	now := time.Now()
	var batch []*waiter
	for len(l.queue) > 0 && len(batch) < maxCalls {
		w := l.queue[0]
		l.queue = l.queue[1:]
		budget := w.deadline.Sub(now) - answerMargin
		if budget <= 0 {
			w.done <- outcome{err: &platform.UnavailableError{Service: Service, Cause: context.DeadlineExceeded}}
			continue
		}
		w.call.Budget = budget.Milliseconds()
		l.pending[w.call.GetId()] = w
		batch = append(batch, w)
	}
	if len(batch) == 0 && (l.exchanges > 0 || len(l.pending) == 0) {
		return
	}
	l.exchanges++
	go l.exchange(batch)
}

// exchange sends calls and takes over the answers that are there.
func (l *lane) exchange(batch []*waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	reply := &schema.RelayReply{}
	err := l.router.group.Call(ctx, l.instance, Method, l.request(batch), reply)
	if err != nil {
		l.router.distrust(l, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges--
	if err != nil {
		l.fail(batch, err)
		return
	}
	for _, a := range reply.GetAnswers() {
		if w := l.pending[a.GetId()]; w != nil {
			delete(l.pending, a.GetId())
			w.done <- outcome{a, decodeFailure(a)}
		}
	}
	l.flush()
}

// request puts calls together; each payload goes once.
func (l *lane) request(batch []*waiter) *schema.RelayRequest {
	m := &schema.RelayRequest{Session: l.router.session}
	at := map[string]int32{}
	for _, w := range batch {
		if w.payload != "" {
			n, ok := at[w.payload]
			if !ok {
				m.Payloads = append(m.Payloads, w.payload)
				n = int32(len(m.Payloads))
				at[w.payload] = n
			}
			w.call.Payload = n
		}
		m.Calls = append(m.Calls, w.call)
	}
	return m
}

// fail ends all calls after an exchange without an answer. Those that were not
// sent, or refused as a whole, have surely not been made. The caller holds the
// lock.
func (l *lane) fail(batch []*waiter, cause error) {
	var notSent *member.NotExecutedError
	if errors.As(cause, &notSent) {
		for _, w := range batch {
			if l.pending[w.call.GetId()] == w {
				delete(l.pending, w.call.GetId())
				w.done <- outcome{err: &platform.UnavailableError{Service: Service, Cause: cause}}
			}
		}
	}
	for id, w := range l.pending {
		delete(l.pending, id)
		w.done <- outcome{err: &platform.UnknownOutcomeError{Service: "worker", Cause: cause}}
	}
	for _, w := range l.queue {
		w.done <- outcome{err: &platform.UnavailableError{Service: Service, Cause: cause}}
	}
	l.queue = nil
}
