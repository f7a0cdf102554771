package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
)

// attempt is the result of one attempt of a call.
type attempt struct {
	response control.Response
	err      error
}

// Guards against a refusal of a job that may run, also because of an earlier call, and
// against an unknown outcome of a call that certainly had no effect.
func TestOutcomeOfAttempts(t *testing.T) {
	outcome := func(o control.Outcome) attempt { return attempt{response: control.Response{Outcome: o}} }
	notExecuted := attempt{err: &member.NotExecutedError{Cause: &member.UnreachableError{}}}
	lost := attempt{err: &member.UnknownOutcomeError{Cause: context.DeadlineExceeded}}
	failed := attempt{err: &member.RemoteError{Message: "panic"}}
	tests := []struct {
		name     string
		attempts []attempt
		want     control.Outcome
	}{
		{"no planner", nil, control.OutcomeUnavailable},
		{"not in office", []attempt{outcome(control.OutcomeUnavailable)}, control.OutcomeUnavailable},
		{"not sent", []attempt{notExecuted, outcome(control.OutcomeUnavailable)}, control.OutcomeUnavailable},
		{"lost", []attempt{lost}, control.OutcomeUnknown},
		{"lost, then not sent", []attempt{lost, notExecuted}, control.OutcomeUnknown},
		{"handler failed", []attempt{failed, notExecuted}, control.OutcomeUnknown},
		{"store has not answered", []attempt{outcome(control.OutcomeUnknown), outcome(control.OutcomeUnavailable)}, control.OutcomeUnknown},
		{"lost, then refused", []attempt{lost, outcome(control.OutcomeRefused)}, control.OutcomeUnknown},
		{"not sent, then refused", []attempt{notExecuted, outcome(control.OutcomeRefused)}, control.OutcomeRefused},
		{"lost, then accepted", []attempt{lost, outcome(control.OutcomeAccepted)}, control.OutcomeAccepted},
		{"cancellation not sent", []attempt{notExecuted}, control.OutcomeUnavailable},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var a attempts
			got := control.Response{}
			for _, r := range c.attempts {
				a = a.with(r.response, r.err)
				if r.err == nil && a.settles(r.response) {
					got = a.response(r.response)
				}
			}
			if got.Outcome == 0 {
				got = a.failure()
			}
			if got.Outcome != c.want {
				t.Errorf("outcome %d, want %d", got.Outcome, c.want)
			}
			if got.Outcome == control.OutcomeUnavailable && got.RetryAfter == 0 {
				t.Error("unavailable without a retry delay")
			}
		})
	}
}

// Guards against a response that is ready only when the caller no longer waits.
func TestSubmissionEndsInTime(t *testing.T) {
	s := newCluster(t, 2)
	planner := s.waitReady(t)
	s.stops[planner]()
	e := s.servers[1-planner]
	e.draining.Store(true)
	waitFor(t, "the planner is still known", func() bool {
		_, ok := e.leaderInstance()
		return !ok
	})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	response := e.callPlanner(ctx, methodSubmit, fixedRequest(nil), nil)
	if response.Outcome != control.OutcomeUnavailable || response.RetryAfter == 0 || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Errorf("%+v, context error %v", response, ctx.Err())
	}
}
