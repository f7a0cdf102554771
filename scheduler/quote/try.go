package quote

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// outcome is what is known of one attempt.
type outcome int

const (
	// outcomeAnswered: the whole answer has arrived.
	outcomeAnswered outcome = iota
	// outcomeFailed: the whole answer has arrived and says that the request
	// failed.
	outcomeFailed
	// outcomeBusy: the worker did not start it for lack of a slot.
	outcomeBusy
	// outcomeLeaving: the worker did not start it because it is leaving.
	outcomeLeaving
	// outcomeUnsent: it was not sent, or the worker will never start it.
	outcomeUnsent
	// outcomeRan: it has started and its answer is lost.
	outcomeRan
	// outcomeUncertain: nothing is known.
	outcomeUncertain
)

// try is the result of one attempt.
type try struct {
	outcome outcome
	answer  platform.Answer
	err     error
}

// unstarted tells whether the attempt certainly never runs.
func (t try) unstarted() bool {
	return t.outcome == outcomeBusy || t.outcome == outcomeLeaving || t.outcome == outcomeUnsent
}

// reason returns the reason to refuse a request that is not sent again.
func (t try) reason() Reason {
	if t.unstarted() {
		return ReasonNoWorkers
	}
	return ReasonResponseLost
}

func (t try) ran() Execution {
	switch t.outcome {
	case outcomeBusy, outcomeLeaving, outcomeUnsent:
		return NotExecuted
	case outcomeUncertain:
		return ExecutionUnknown
	default:
		return Executed
	}
}

// classify tells what the result of platform.Worker.Run means for the attempt.
func classify(ref platform.RequestRef, a platform.Answer, err error, verify bool) try {
	if err != nil {
		return try{outcome: classifyError(err), err: err}
	}
	if verify {
		err = check(ref, a)
	}
	var damaged *DamagedError
	switch {
	case errors.As(err, &damaged):
		return try{outcome: outcomeRan, err: err}
	case err != nil:
		return try{outcome: outcomeUncertain, err: err}
	case a.Failed:
		return try{outcome: outcomeFailed, answer: a}
	default:
		return try{outcome: outcomeAnswered, answer: a}
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
	// An unknown outcome wins over its cause, which may be of another type.
	case errors.As(err, &unknown):
		return outcomeUncertain
	case errors.As(err, &busy):
		return outcomeBusy
	case errors.As(err, &leaving):
		return outcomeLeaving
	case errors.As(err, &unavailable):
		return outcomeUnsent
	default:
		return outcomeUncertain
	}
}

// send makes one attempt on the worker and frees its slot.
func (c *call) send(ctx context.Context, target *worker, w *waiter) try {
	r := c.router
	client, err := r.deps.Fleet.Worker(target.name)
	if err != nil {
		t := try{outcome: outcomeUnsent, err: err}
		r.learn(target, w, t, 0, nil)
		r.free(target, w)
		return t
	}
	c.begin()
	ref := platform.RequestRef{ID: c.quote.ID, Attempt: c.base + c.attempts}
	sent := time.Now()
	// The margin leaves time to ask what became of the attempt.
	run, cancel := context.WithDeadline(ctx, c.quote.Deadline.Add(-margin(c.quote.Deadline.Sub(sent))))
	defer cancel()
	a, err := client.Run(run, platform.Request{
		Ref:      ref,
		Team:     c.quote.Team,
		Template: c.quote.Template,
		Deadline: c.quote.Deadline,
		Payload:  c.quote.Payload,
	})
	t := classify(ref, a, err, !r.options.off.verify)
	took := time.Since(sent)
	c.meter.service.Update(took.Seconds())
	r.learn(target, w, t, took, run.Err())
	if t.outcome != outcomeUncertain {
		r.free(target, w)
		c.merge(t.ran())
		return t
	}
	t = c.settle(ctx, client, ref, target, w, t)
	c.merge(t.ran())
	return t
}

// begin counts an attempt. Only what is sent earns retries; requests that are
// refused under overload do not.
func (c *call) begin() {
	c.attempts++
	c.router.metrics.attempts.Inc()
	if c.attempts > 1 {
		return
	}
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.budget.deposit(c.quote.Team)
}

// margin returns the time before the deadline at which an attempt is given up.
func margin(remaining time.Duration) time.Duration {
	return min(remaining/20, 20*time.Millisecond)
}

func (r *Router) free(target *worker, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(target, w)
}

// learn updates what is known of the worker. End tells whether the attempt was
// given up at its deadline or by its caller.
func (r *Router) learn(target *worker, w *waiter, t try, took time.Duration, end error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.picker.speeds
	switch t.outcome {
	case outcomeAnswered:
		s.learn(target, w.template, took, now)
		r.holding.add(float64(took))
		target.report(t.answer.Load, now)
		r.judge(target, true, now)
	case outcomeBusy:
		target.report(busyLoad(t.err), now)
		target.full = now.Add(fullPause)
		r.wake(fullPause)
	case outcomeLeaving:
		target.leaving = now.Add(leavingMemory)
	default:
		expected := target.service(s, w.template, now)
		if end != nil && float64(took) > expected {
			s.learn(target, w.template, took, now)
		}
		if blames(end, float64(took)/expected) {
			r.judge(target, false, now)
		}
	}
}

// blames tells whether an attempt without an answer counts against the worker,
// given the time it was granted relative to what was expected. An attempt
// given up at its deadline was sent because it seemed to have enough time; a
// caller may give up at any time.
func blames(end error, granted float64) bool {
	switch {
	case end == nil:
		return true
	case errors.Is(end, context.DeadlineExceeded):
		return granted > 0.9
	default:
		return granted > 2
	}
}

// judge records a success or failure of the worker.
func (r *Router) judge(target *worker, ok bool, now time.Time) {
	fleet := &r.picker.failures
	if ok {
		*fleet -= *fleet * fleetRate
		target.succeed()
		return
	}
	ejected := target.fail(*fleet, now)
	*fleet += (1 - *fleet) * fleetRate
	if r.options.off.ejection {
		target.failures, target.ejected = 0, time.Time{}
		return
	}
	if ejected {
		r.metrics.ejections.Inc()
		r.wake(target.ejected.Sub(now))
	}
}

func busyLoad(err error) platform.Load {
	var busy *platform.BusyError
	if errors.As(err, &busy) {
		return busy.Load
	}
	return platform.Load{}
}
