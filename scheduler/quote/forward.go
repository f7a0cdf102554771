package quote

import (
	"context"
	"errors"
)

// mayForward tells whether another data centre may be asked: only if the own
// one cannot meet the deadline and nothing was sent or claimed.
func (c *call) mayForward(refused *RefusedError) bool {
	if c.router.deps.Forwarder == nil || c.quote.Forwarded || c.quote.Class == ClassBackground {
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

// forward asks another data centre once. Its router makes the retries.
func (c *call) forward(ctx context.Context, own *RefusedError) (Answer, *RefusedError) {
	r := c.router
	if ctx.Err() != nil || !r.startForward() {
		return Answer{}, own
	}
	defer r.endForward()
	r.metrics.forwards.Inc()
	q := c.quote
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

// startForward bounds the requests that wait for another data centre to the
// number of own slots, or to a few when there is none.
func (r *Router) startForward() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, w := range r.picker.workers {
		total += w.slots
	}
	if r.forwards >= max(total, minForwards) {
		return false
	}
	r.forwards++
	return true
}

func (r *Router) endForward() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwards--
}

// minForwards is the number of forwarded requests without own workers.
const minForwards = 16
