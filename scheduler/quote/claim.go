package quote

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// maxClaimFraction is the fraction of the slots that may wait for a claim,
	// so that a slow table does not block idempotent requests.
	maxClaimFraction  = 0.25
	maxFinishAttempts = 3
	finishRetryDelay  = 200 * time.Millisecond
	finishTimeout     = 2 * time.Second
)

// claim records a non-idempotent request before it is first sent. It frees the
// slot if the request is refused.
func (c *call) claim(ctx context.Context, target *worker, w *waiter) *RefusedError {
	if !c.needsClaim() {
		return nil
	}
	refused := c.recordClaim(c.router.claim(ctx, c.request.ID))
	if refused != nil {
		c.router.releaseSlot(target, w)
	}
	return refused
}

// needsClaim reports whether the request must be claimed before it is sent.
func (c *call) needsClaim() bool {
	return !c.request.Idempotent && !c.claimed && !c.router.options.disabled.claim
}

// recordClaim notes the result of a claim and returns the refusal that follows from
// it, or nil.
func (c *call) recordClaim(err error) *RefusedError {
	if err == nil {
		c.claimed = true
		return nil
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// An earlier call with this ID may have executed the request.
		c.mergeExecution(ExecutionUnknown)
		return c.refuse(ReasonDuplicate, err)
	}
	return c.refuse(ReasonClaim, err)
}

// claim claims a request while a slot is held for it.
func (r *Router) claim(ctx context.Context, id string) error {
	if !r.startClaim() {
		return &platform.UnavailableError{Service: "claims"}
	}
	defer r.endClaim()
	return r.callClaimer(ctx, id)
}

func (r *Router) callClaimer(ctx context.Context, id string) error {
	if r.deps.Claimer == nil {
		return &platform.UnavailableError{Service: "claims"}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.ClaimTimeout)
	defer cancel()
	return r.deps.Claimer.Claim(ctx, id)
}

func (r *Router) startClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maxClaims := maxClaimFraction * float64(r.picker.slots(time.Now()))
	if r.activeClaims >= max(int(maxClaims), 1) {
		return false
	}
	r.activeClaims++
	return true
}

func (r *Router) endClaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeClaims--
}

// finish records the outcome of a claimed request. The caller waits for it
// only if the claim is released, since it may then repeat the request.
func (c *call) finish(ctx context.Context, refused *RefusedError) {
	if !c.claimed {
		return
	}
	execution := Executed
	if refused != nil {
		execution = refused.Execution
	}
	r := c.router
	r.mu.Lock()
	r.activeCalls++
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer r.endCall()
		defer close(done)
		r.finish(c.request.ID, execution)
	}()
	if execution != NotExecuted {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *Router) finish(id string, execution Execution) {
	for range maxFinishAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := r.deps.Claimer.Finish(ctx, id, execution)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(finishRetryDelay)
	}
	r.metrics.claimsUnfinished.Inc()
}
