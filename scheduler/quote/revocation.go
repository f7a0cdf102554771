package quote

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// maxSlotHold is the maximum time a slot is held for an attempt that is not
	// known to have ended.
	maxSlotHold       = 10 * time.Second
	minRevokeInterval = 50 * time.Millisecond
	maxRevokeInterval = 500 * time.Millisecond
	// revokeTimeout is the timeout of one call to Revoke.
	revokeTimeout = time.Second
)

// resolveOutcome revokes an attempt of unknown outcome to learn its outcome,
// within the request's deadline. If the request can be retried anyway, the
// revocation is done in the background. The slot is held until the attempt is
// known to have ended, for at most maxSlotHold.
func (c *call) resolveOutcome(
	ctx context.Context,
	client platform.Worker,
	ref platform.RequestRef,
	target *worker,
	w *waiter,
	result attemptResult,
) attemptResult {
	r := c.router
	if c.canRetry() || ctx.Err() != nil {
		go r.releaseWhenEnded(client, ref, target, w)
		return result
	}
	if r.options.disabled.revoke {
		r.releaseSlot(target, w)
		return attemptResult{outcome: outcomeUnsent, err: result.err}
	}
	switch outcome, err := client.Revoke(ctx, ref); {
	case err != nil:
		go r.releaseWhenEnded(client, ref, target, w)
	case outcome == platform.OutcomeNotStarted:
		r.releaseSlot(target, w)
		result.outcome = outcomeUnsent
	case outcome == platform.OutcomeDone:
		r.releaseSlot(target, w)
		result.outcome = outcomeExecuted
	case outcome == platform.OutcomeRunning:
		go r.releaseWhenEnded(client, ref, target, w)
		result.outcome = outcomeExecuted
	default:
		go r.releaseWhenEnded(client, ref, target, w)
	}
	return result
}

// canRetry reports whether a request whose last attempt has an unknown outcome
// may be sent again before its deadline.
func (c *call) canRetry() bool {
	r := c.router
	if !c.request.Idempotent || c.attempts >= r.options.MaxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	service := time.Duration(r.picker.serviceTimes.mean(c.request.Template))
	return time.Until(c.request.Deadline) > service+maxBackoff
}

// releaseWhenEnded frees the slot once the worker reports that the attempt has
// ended or will never start, or after maxSlotHold.
func (r *Router) releaseWhenEnded(client platform.Worker, ref platform.RequestRef, target *worker, w *waiter) {
	defer r.releaseSlot(target, w)
	ctx, cancel := context.WithTimeout(context.Background(), maxSlotHold)
	defer cancel()
	for interval := minRevokeInterval; ; interval = min(2*interval, maxRevokeInterval) {
		revokeCtx, cancelRevoke := context.WithTimeout(ctx, revokeTimeout)
		outcome, err := client.Revoke(revokeCtx, ref)
		cancelRevoke()
		if err == nil && outcome != platform.OutcomeRunning {
			return
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}
