package quote

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// claimPart is the part of the slots that may wait for a claim, so that a
	// slow table does not hold up idempotent requests.
	claimPart   = 0.25
	finishTries = 3
	finishPause = 200 * time.Millisecond
	finishWait  = 2 * time.Second
)

// claim records a non-idempotent request before it is first sent. It frees the
// slot if the request is refused.
func (c *call) claim(ctx context.Context, target *worker, w *waiter) *RefusedError {
	r := c.router
	if c.quote.Idempotent || c.claimed || r.options.off.claim {
		return nil
	}
	err := r.claim(ctx, c.quote.ID)
	if err == nil {
		c.claimed = true
		return nil
	}
	r.free(target, w)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// An earlier call with this id may have run it.
		c.merge(ExecutionUnknown)
		return c.refuse(ReasonDuplicate, err)
	}
	return c.refuse(ReasonClaim, err)
}

func (r *Router) claim(ctx context.Context, id string) error {
	if r.deps.Claimer == nil {
		return &platform.UnavailableError{Service: "claims"}
	}
	if !r.startClaim() {
		return &platform.UnavailableError{Service: "claims"}
	}
	defer r.endClaim()
	ctx, cancel := context.WithTimeout(ctx, r.options.ClaimTimeout)
	defer cancel()
	return r.deps.Claimer.Claim(ctx, id)
}

func (r *Router) startClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := claimPart * float64(r.picker.slots(time.Now()))
	if r.claiming >= max(int(most), 1) {
		return false
	}
	r.claiming++
	return true
}

func (r *Router) endClaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claiming--
}

// finish records the outcome of a claimed request. The caller waits for it
// only if the claim is released, since it may then repeat the request.
func (c *call) finish(ctx context.Context, refused *RefusedError) {
	if !c.claimed {
		return
	}
	ran := Executed
	if refused != nil {
		ran = refused.Execution
	}
	r := c.router
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer r.leave()
		defer close(done)
		r.finish(c.quote.ID, ran)
	}()
	if ran != NotExecuted {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *Router) finish(id string, ran Execution) {
	for range finishTries {
		ctx, cancel := context.WithTimeout(context.Background(), finishWait)
		err := r.deps.Claimer.Finish(ctx, id, ran)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(finishPause)
	}
	r.metrics.unfinished.Inc()
}
