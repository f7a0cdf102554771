package quote

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// lingerLimit bounds how long a slot is held for an attempt whose end is
	// not known.
	lingerLimit = 10 * time.Second
	lingerPause = 50 * time.Millisecond
	lingerMost  = 500 * time.Millisecond
	// revokeWait bounds one call to Revoke.
	revokeWait = time.Second
)

// settle finds out what became of an attempt, within the request's deadline.
// If the request can be repeated anyway, that is done in the background. The
// slot is held until the attempt is known to have ended.
func (c *call) settle(
	ctx context.Context,
	client platform.Worker,
	ref platform.RequestRef,
	target *worker,
	w *waiter,
	t try,
) try {
	r := c.router
	if c.mayRepeat() || ctx.Err() != nil {
		go r.linger(client, ref, target, w)
		return t
	}
	if r.options.off.revoke {
		r.free(target, w)
		return try{outcome: outcomeUnsent, err: t.err}
	}
	switch outcome, err := client.Revoke(ctx, ref); {
	case err != nil:
		go r.linger(client, ref, target, w)
	case outcome == platform.OutcomeNotStarted:
		r.free(target, w)
		t.outcome = outcomeUnsent
	case outcome == platform.OutcomeDone:
		r.free(target, w)
		t.outcome = outcomeRan
	case outcome == platform.OutcomeRunning:
		go r.linger(client, ref, target, w)
		t.outcome = outcomeRan
	default:
		go r.linger(client, ref, target, w)
	}
	return t
}

// mayRepeat tells whether a request whose last attempt is uncertain may be
// sent again in time.
func (c *call) mayRepeat() bool {
	r := c.router
	if !c.quote.Idempotent || c.attempts >= r.options.MaxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	service := time.Duration(r.picker.speeds.base(c.quote.Template))
	return time.Until(c.quote.Deadline) > service+backoffLimit
}

// linger frees the slot once the worker says that the attempt has ended or
// will never start.
func (r *Router) linger(client platform.Worker, ref platform.RequestRef, target *worker, w *waiter) {
	defer r.free(target, w)
	ctx, cancel := context.WithTimeout(context.Background(), lingerLimit)
	defer cancel()
	for pause := lingerPause; ; pause = min(2*pause, lingerMost) {
		call, done := context.WithTimeout(ctx, revokeWait)
		outcome, err := client.Revoke(call, ref)
		done()
		if err == nil && outcome != platform.OutcomeRunning {
			return
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}
