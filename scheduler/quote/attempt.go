package quote

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// outcome is the known outcome of one attempt.
type outcome int

const (
	// outcomeAnswered: the whole answer has arrived.
	outcomeAnswered outcome = iota
	// outcomeFailed: the whole answer has arrived and reports that the
	// request failed.
	outcomeFailed
	// outcomeBusy: the worker did not start the attempt for lack of a slot.
	outcomeBusy
	// outcomeLeaving: the worker is leaving and did not start the attempt.
	outcomeLeaving
	// outcomeUnsent: the attempt was not sent, or the worker will never start it.
	outcomeUnsent
	// outcomeExecuted: the attempt has started and its answer is lost.
	outcomeExecuted
	// outcomeUnknown: it is not known whether the attempt has started or will.
	outcomeUnknown
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome outcome
	answer  platform.Answer
	err     error
}

// neverRuns reports whether it is certain that the attempt has not started and
// never will.
func (r attemptResult) neverRuns() bool {
	return r.outcome == outcomeBusy || r.outcome == outcomeLeaving || r.outcome == outcomeUnsent
}

// refusalReason returns the reason to refuse a request that is not sent again
// after this attempt.
func (r attemptResult) refusalReason() Reason {
	if r.neverRuns() {
		return ReasonNoWorkers
	}
	return ReasonResponseLost
}

func (r attemptResult) execution() Execution {
	switch r.outcome {
	case outcomeBusy, outcomeLeaving, outcomeUnsent:
		return NotExecuted
	case outcomeUnknown:
		return ExecutionUnknown
	default:
		return Executed
	}
}

// classify converts the result of platform.Worker.Run.
func classify(ref platform.RequestRef, a platform.Answer, err error, verify bool) attemptResult {
	if err != nil {
		return attemptResult{outcome: classifyError(err), err: err}
	}
	if verify {
		err = verifyAnswer(ref, a)
	}
	var damaged *DamagedError
	switch {
	case errors.As(err, &damaged):
		return attemptResult{outcome: outcomeExecuted, err: err}
	case err != nil:
		return attemptResult{outcome: outcomeUnknown, err: err}
	case a.Failed:
		return attemptResult{outcome: outcomeFailed, answer: a}
	default:
		return attemptResult{outcome: outcomeAnswered, answer: a}
	}
}

func classifyError(err error) outcome {
	var (
		busy        *platform.BusyError
		leaving     *platform.LeavingError
		unavailable *platform.UnavailableError
		unknown     *platform.UnknownOutcomeError
	)
	switch {
	// An unknown outcome takes precedence over its cause, which may be of
	// another type.
	case errors.As(err, &unknown):
		return outcomeUnknown
	case errors.As(err, &busy):
		return outcomeBusy
	case errors.As(err, &leaving):
		return outcomeLeaving
	case errors.As(err, &unavailable):
		return outcomeUnsent
	default:
		return outcomeUnknown
	}
}

// send makes one attempt on the worker. The slot is freed once the attempt is
// known to have ended.
func (c *call) send(ctx context.Context, target *worker, w *waiter) attemptResult {
	r := c.router
	client, err := r.deps.Fleet.Worker(target.name)
	if err != nil {
		result := attemptResult{outcome: outcomeUnsent, err: err}
		r.recordAttempt(target, w, result, 0, nil)
		r.releaseSlot(target, w)
		return result
	}
	c.countAttempt()
	ref := platform.RequestRef{ID: c.request.ID, Attempt: c.baseAttempt + c.attempts}
	sent := time.Now()
	// The margin leaves time to query the outcome of the attempt.
	runCtx, cancel := context.WithDeadline(ctx, c.request.Deadline.Add(-deadlineMargin(c.request.Deadline.Sub(sent))))
	defer cancel()
	a, err := client.Run(runCtx, platform.Request{
		Ref:      ref,
		Team:     c.request.Team,
		Template: c.request.Template,
		Deadline: c.request.Deadline,
		Payload:  c.request.Payload,
	})
	result := classify(ref, a, err, !r.options.disabled.verify)
	took := time.Since(sent)
	c.histograms.service.Update(took.Seconds())
	r.recordAttempt(target, w, result, took, runCtx.Err())
	if result.outcome != outcomeUnknown {
		r.releaseSlot(target, w)
		c.mergeExecution(result.execution())
		return result
	}
	result = c.resolveOutcome(ctx, client, ref, target, w, result)
	c.mergeExecution(result.execution())
	return result
}

// countAttempt counts an attempt. Only requests that are sent add to the retry
// budget; those refused under overload do not.
func (c *call) countAttempt() {
	c.attempts++
	c.router.metrics.attempts.Inc()
	if c.attempts > 1 {
		return
	}
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.budget.deposit(c.request.Team)
}

// deadlineMargin returns how long before the deadline an attempt is cancelled.
func deadlineMargin(remaining time.Duration) time.Duration {
	return min(remaining/20, 20*time.Millisecond)
}

func (r *Router) releaseSlot(target *worker, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSlotLocked(target, w)
}

// recordAttempt updates the worker's state with the result of an attempt. ctxErr
// is the error of the attempt's context, set if the attempt reached its deadline
// or was cancelled by the caller.
func (r *Router) recordAttempt(target *worker, w *waiter, result attemptResult, took time.Duration, ctxErr error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.picker.serviceTimes
	switch result.outcome {
	case outcomeAnswered:
		s.record(target, w.template, took, now)
		r.meanSlotTime.add(float64(took))
		target.recordLoad(result.answer.Load, now)
		r.recordHealth(target, true, now)
	case outcomeBusy:
		target.recordLoad(busyLoad(result.err), now)
		target.fullUntil = now.Add(fullBackoff)
		r.dispatchAfter(fullBackoff)
	case outcomeLeaving:
		target.leavingUntil = now.Add(leavingTTL)
	default:
		expected := target.expectedService(s, w.template, now)
		if ctxErr != nil && float64(took) > expected {
			s.record(target, w.template, took, now)
		}
		if countsAsFailure(ctxErr, float64(took)/expected) {
			r.recordHealth(target, false, now)
		}
	}
}

// countsAsFailure reports whether an attempt without an answer counts as a
// failure of the worker, given the ratio of the time it took to the expected
// service time. An attempt that reached its deadline was sent because it seemed
// to have enough time; a caller may cancel at any time.
func countsAsFailure(ctxErr error, timeRatio float64) bool {
	switch {
	case ctxErr == nil:
		return true
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return timeRatio > 0.9
	default:
		return timeRatio > 2
	}
}

// recordHealth records a success or failure of the worker, and ejects it if
// necessary.
func (r *Router) recordHealth(target *worker, ok bool, now time.Time) {
	fleetFailureRate := &r.picker.failureRate
	if ok {
		*fleetFailureRate -= *fleetFailureRate * fleetSampleWeight
		target.recordSuccess()
		return
	}
	ejected := target.recordFailure(*fleetFailureRate, now)
	*fleetFailureRate += (1 - *fleetFailureRate) * fleetSampleWeight
	if r.options.disabled.ejection {
		target.failureRate, target.ejectedUntil = 0, time.Time{}
		return
	}
	if ejected {
		r.metrics.ejections.Inc()
		r.dispatchAfter(target.ejectedUntil.Sub(now))
	}
}

func busyLoad(err error) platform.Load {
	var busy *platform.BusyError
	if errors.As(err, &busy) {
		return busy.Load
	}
	return platform.Load{}
}
