package quote

import (
	"context"
	"time"
)

// call is one request on its way through the router.
type call struct {
	router *Router
	quote  Request
	start  time.Time
	meter  *meter
	// base is the attempt number before the first. It is random, so that two
	// calls with the same id, on one instance or two, share no attempt.
	base     int
	attempts int
	claimed  bool
	ran      Execution
	// avoid is the worker of the last attempt.
	avoid string
}

func newCall(r *Router, q Request, now time.Time) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &call{
		router: r,
		quote:  q,
		start:  now,
		meter:  r.metrics.meter(q.Class, r.label(q.Team)),
		base:   int(r.random.Int64N(1<<40)) << 4,
		ran:    NotExecuted,
	}
}

// label bounds the number of metrics: teams that are not listed share one.
func (r *Router) label(team string) string {
	if r.listed[team] {
		return team
	}
	return "other"
}

// do sends the request until it is answered or may not be sent again.
func (c *call) do(ctx context.Context) (Answer, *RefusedError) {
	for {
		w := c.waiter()
		target, reason := c.router.acquire(ctx, w)
		if reason != "" {
			c.refund()
			return Answer{}, c.refuse(reason, nil)
		}
		c.meter.wait.UpdateDuration(w.enqueued)
		if refused := c.claim(ctx, target, w); refused != nil {
			return Answer{}, refused
		}
		if ctx.Err() != nil {
			c.router.free(target, w)
			c.refund()
			return Answer{}, c.refuse(endReason(ctx), ctx.Err())
		}
		t := c.send(ctx, target, w)
		if t.outcome == outcomeAnswered {
			return c.answer(target, t), nil
		}
		if reason := c.retry(ctx, t); reason != "" {
			if t.outcome == outcomeFailed {
				return c.answer(target, t), nil
			}
			return Answer{}, c.refuse(reason, t.err)
		}
		c.avoid = target.name
	}
}

func (c *call) waiter() *waiter {
	team := c.quote.Team
	if c.router.options.off.fairness {
		team = ""
	}
	return &waiter{
		team:     team,
		template: c.quote.Template,
		class:    c.quote.Class,
		avoid:    c.avoid,
		deadline: c.quote.Deadline,
		retry:    c.attempts > 0,
		grant:    make(chan grant, 1),
	}
}

func (c *call) answer(target *worker, t try) Answer {
	return Answer{
		Worker:   target.name,
		Failed:   t.answer.Failed,
		Content:  t.answer.Content,
		Attempts: c.attempts,
	}
}

func (c *call) refuse(reason Reason, cause error) *RefusedError {
	return &RefusedError{Reason: reason, Execution: c.ran, Cause: cause}
}

// merge adds what is known of one attempt to what is known of the request.
func (c *call) merge(ran Execution) {
	if c.ran == Executed || ran == NotExecuted {
		return
	}
	c.ran = ran
}

// retry waits until the request may be sent again, or returns the reason why
// it may not.
func (c *call) retry(ctx context.Context, t try) Reason {
	r := c.router
	if !c.quote.Idempotent && !t.unstarted() {
		return ReasonResponseLost
	}
	if c.attempts >= r.options.MaxAttempts {
		return t.reason()
	}
	r.mu.Lock()
	delay := backoff(c.attempts, r.random)
	service := time.Duration(r.picker.speeds.base(c.quote.Template))
	late := time.Now().Add(delay + service).After(c.quote.Deadline)
	allowed := !late && (r.options.off.budget || r.budget.take(c.quote.Team))
	r.mu.Unlock()
	if late {
		return ReasonDeadline
	}
	if !allowed {
		return ReasonBudget
	}
	if !sleep(ctx, delay) {
		c.refund()
		return endReason(ctx)
	}
	r.metrics.retries.Inc()
	return ""
}

// refund returns the budget of a retry that was not sent.
func (c *call) refund() {
	if c.attempts == 0 {
		return
	}
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.budget.refund(c.quote.Team)
}

// sleep returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
