package quote

import (
	"context"
	"time"
)

// call is the state of one request in the router.
type call struct {
	router     *Router
	request    Request
	start      time.Time
	histograms *histograms
	// baseAttempt is the number from which attempts are counted. It is random,
	// so that two calls with the same ID, on one instance or two, share no
	// attempt number.
	baseAttempt int
	attempts    int
	claimed     bool
	execution   Execution
	// avoidWorker is the name of the worker of the last attempt.
	avoidWorker string
}

func newCall(r *Router, q Request, now time.Time) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &call{
		router:      r,
		request:     q,
		start:       now,
		histograms:  r.metrics.histograms(q.Class, r.teamLabel(q.Team)),
		baseAttempt: int(r.random.Int64N(1<<40)) << 4,
		execution:   NotExecuted,
	}
}

// teamLabel returns the value of the team label in metrics. Teams that are not
// listed share one value, which limits the number of metrics.
func (r *Router) teamLabel(team string) string {
	if r.listedTeams[team] {
		return team
	}
	return "other"
}

// do sends the request, with retries, until it is answered or must not be sent
// again.
func (c *call) do(ctx context.Context) (Answer, *RefusedError) {
	for {
		w := c.newWaiter()
		target, reason := c.router.acquire(ctx, w)
		if reason != "" {
			c.refundRetry()
			return Answer{}, c.refuse(reason, nil)
		}
		c.histograms.wait.UpdateDuration(w.enqueued)
		if refused := c.claim(ctx, target, w); refused != nil {
			return Answer{}, refused
		}
		if ctx.Err() != nil {
			c.router.releaseSlot(target, w)
			c.refundRetry()
			return Answer{}, c.refuse(doneReason(ctx), ctx.Err())
		}
		result := c.send(ctx, target, w)
		if result.outcome == outcomeAnswered {
			return c.newAnswer(target, result), nil
		}
		if reason := c.awaitRetry(ctx, result); reason != "" {
			if result.outcome == outcomeFailed {
				return c.newAnswer(target, result), nil
			}
			return Answer{}, c.refuse(reason, result.err)
		}
		c.avoidWorker = target.name
	}
}

func (c *call) newWaiter() *waiter {
	team := c.request.Team
	if c.router.options.disabled.fairness {
		team = ""
	}
	return &waiter{
		team:        team,
		template:    c.request.Template,
		class:       c.request.Class,
		avoidWorker: c.avoidWorker,
		deadline:    c.request.Deadline,
		isRetry:     c.attempts > 0,
		assignment:  make(chan waitResult, 1),
	}
}

func (c *call) newAnswer(target *worker, result attemptResult) Answer {
	return Answer{
		Worker:   target.name,
		Failed:   result.answer.Failed,
		Content:  result.answer.Content,
		Attempts: c.attempts,
	}
}

func (c *call) refuse(reason Reason, cause error) *RefusedError {
	return &RefusedError{Reason: reason, Execution: c.execution, Cause: cause}
}

// mergeExecution updates the request's execution state with that of one attempt.
func (c *call) mergeExecution(execution Execution) {
	if c.execution == Executed || execution == NotExecuted {
		return
	}
	c.execution = execution
}

// awaitRetry waits for the backoff before the next attempt, or returns the
// reason not to make one.
func (c *call) awaitRetry(ctx context.Context, result attemptResult) Reason {
	r := c.router
	if !c.request.Idempotent && !result.neverRuns() {
		return ReasonResponseLost
	}
	if c.attempts >= r.options.MaxAttempts {
		return result.refusalReason()
	}
	r.mu.Lock()
	delay := backoff(c.attempts, r.random)
	service := time.Duration(r.picker.serviceTimes.mean(c.request.Template))
	late := time.Now().Add(delay + service).After(c.request.Deadline)
	allowed := !late && (r.options.disabled.budget || r.budget.take(c.request.Team))
	r.mu.Unlock()
	if late {
		return ReasonDeadline
	}
	if !allowed {
		return ReasonBudget
	}
	if !sleep(ctx, delay) {
		c.refundRetry()
		return doneReason(ctx)
	}
	r.metrics.retries.Inc()
	return ""
}

// refundRetry returns the token of a retry that was not sent to the budget.
func (c *call) refundRetry() {
	if c.attempts == 0 {
		return
	}
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.budget.refund(c.request.Team)
}

// sleep waits for d. It returns false if ctx is done first.
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
