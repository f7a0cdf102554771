package quote

import (
	"context"
	"errors"
)

// mayForward reports whether the request may be sent to another data centre:
// only if this one lacks the capacity to serve it in time, and nothing was sent
// or claimed.
func (c *call) mayForward(refused *RefusedError) bool {
	if c.router.deps.Forwarder == nil || c.request.Forwarded || c.request.Class == ClassBackground {
		return false
	}
	if c.attempts > 0 || c.claimed {
		return false
	}
	switch refused.Reason {
	case ReasonDeadline, ReasonOverload, ReasonNoWorkers:
		return true
	default:
		return false
	}
}

// forward sends the request to another data centre once. The router there makes
// the retries. A request that is not idempotent is claimed here, because its caller
// repeats it here; the other data centre does not claim it again.
func (c *call) forward(ctx context.Context, own *RefusedError) (Answer, *RefusedError) {
	r := c.router
	if ctx.Err() != nil || !r.startForward() {
		return Answer{}, own
	}
	defer r.endForward()
	if c.needsClaim() {
		if refused := c.recordClaim(r.callClaimer(ctx, c.request.ID)); refused != nil {
			return Answer{}, refused
		}
	}
	r.metrics.forwards.Inc()
	q := c.request
	q.Forwarded = true
	a, err := r.deps.Forwarder.Forward(ctx, q)
	if err == nil {
		return a, nil
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return Answer{}, refused
	}
	if classifyError(err) == outcomeUnsent {
		return Answer{}, own
	}
	return Answer{}, &RefusedError{Reason: ReasonForward, Execution: ExecutionUnknown, Cause: err}
}

// startForward limits the number of requests that wait for another data centre
// to the number of this instance's slots, or to minForwards if that is greater.
func (r *Router) startForward() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, w := range r.picker.workers {
		total += w.slots
	}
	if r.activeForwards >= max(total, minForwards) {
		return false
	}
	r.activeForwards++
	return true
}

func (r *Router) endForward() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeForwards--
}

// minForwards is the limit on forwarded requests if the instance has few slots
// or none.
const minForwards = 16
