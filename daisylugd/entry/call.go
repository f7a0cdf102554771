package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// RPC methods of the planner.
const (
	methodSubmit  = "job.submit"
	methodCancel  = "job.cancel"
	methodState   = "job.state"
	methodPending = "job.pending"
)

const (
	// plannerTimeout is how long a call waits for a planner before the caller is
	// told to retry later.
	plannerTimeout = 1 * time.Second
	// plannerRetryDelay is the delay between two attempts to reach the planner.
	plannerRetryDelay = 60 * time.Millisecond
	// responseMargin is the part of the time of a caller that is left for the response
	// to a submission that cannot be forwarded.
	responseMargin = 100 * time.Millisecond
	// noPlannerRetryAfter is the retry delay sent to callers while there is no
	// planner.
	noPlannerRetryAfter = 1 * time.Second
	// stateTimeout is the timeout for reading a job state from the planner, after
	// which it is read from the store.
	stateTimeout = 500 * time.Millisecond
)

// registerHandlers registers the handlers of planner calls from other instances.
func (e *Server) registerHandlers() {
	e.group.Handle(methodSubmit, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.Submission) (proto.Message, error) {
		age := time.Duration(m.GetAge()) * time.Millisecond
		return e.callLocalPlanner(func(p *control.Planner) control.Response { return p.Submit(ctx, m.GetJob(), age) }), nil
	}))
	e.group.Handle(methodCancel, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.callLocalPlanner(func(p *control.Planner) control.Response { return p.Cancel(ctx, decodeJobRef(m)) }), nil
	}))
	e.group.Handle(methodState, member.Typed(func(_ context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.callLocalPlanner(func(p *control.Planner) control.Response { return p.State(decodeJobRef(m)) }), nil
	}))
	e.group.Handle(methodPending, member.Typed(func(_ context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.callLocalPlanner(func(p *control.Planner) control.Response { return p.Pending(decodeJobRef(m)) }), nil
	}))
}

// callLocalPlanner calls the planner of this instance and encodes the response.
func (e *Server) callLocalPlanner(f func(*control.Planner) control.Response) *schema.Verdict {
	response := control.Response{Outcome: control.OutcomeUnavailable, Reason: "not in office"}
	if p := e.planner.Load(); p != nil {
		response = f(p)
	}
	return &schema.Verdict{
		Outcome: int32(response.Outcome), State: int32(response.State), Wait: response.RetryAfter.Milliseconds(), Reason: response.Reason, Count: int64(response.Count),
	}
}

// Submit validates a job and submits it to the planner.
func (e *Server) Submit(ctx context.Context, j *batch.Job, q control.Queue, guaranteed int64) control.Response {
	if err := j.Validate(); err != nil {
		return control.Response{Outcome: control.OutcomeInvalid, Reason: err.Error()}
	}
	record := control.EncodeJob(j, q, guaranteed)
	if err := control.CheckSize(record, j, e.settings.MaxRowBytes); err != nil {
		return control.Response{Outcome: control.OutcomeInvalid, Reason: err.Error()}
	}
	request := func() proto.Message {
		return &schema.Submission{Job: record, Age: time.Since(j.AcceptedAt).Milliseconds()}
	}
	return e.callPlanner(ctx, methodSubmit, request, func(p *control.Planner) control.Response {
		return p.Submit(ctx, record, time.Since(j.AcceptedAt))
	})
}

// Cancel asks the planner to cancel a job.
func (e *Server) Cancel(ctx context.Context, ref control.JobRef) control.Response {
	return e.callPlanner(ctx, methodCancel, fixedRequest(encodeJobRef(ref)), func(p *control.Planner) control.Response {
		return p.Cancel(ctx, ref)
	})
}

// Pending counts the jobs of a queue that have not started.
func (e *Server) Pending(ctx context.Context, ref control.JobRef) control.Response {
	return e.callPlanner(ctx, methodPending, fixedRequest(encodeJobRef(ref)), func(p *control.Planner) control.Response {
		return p.Pending(ref)
	})
}

// State returns the state of a job. It reads the state from the store if the
// planner does not respond.
func (e *Server) State(ctx context.Context, ref control.JobRef) control.Response {
	callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	response := e.callPlanner(callCtx, methodState, fixedRequest(encodeJobRef(ref)), func(p *control.Planner) control.Response {
		return p.State(ref)
	})
	cancel()
	if response.Outcome == control.OutcomeOK || response.Outcome == control.OutcomeNotFound {
		return response
	}
	stored, err := control.ReadState(ctx, e.services.Store, ref)
	if err != nil {
		return control.Response{Outcome: control.OutcomeUnavailable, RetryAfter: noPlannerRetryAfter, Reason: err.Error()}
	}
	return stored
}

func encodeJobRef(r control.JobRef) *schema.JobRef {
	return &schema.JobRef{Id: r.ID, Queue: r.Queue, Path: r.Path}
}

func decodeJobRef(m *schema.JobRef) control.JobRef {
	return control.JobRef{ID: m.GetId(), Queue: m.GetQueue(), Path: m.GetPath()}
}

// fixedRequest returns a request builder that returns m at each attempt.
func fixedRequest(m proto.Message) func() proto.Message { return func() proto.Message { return m } }

// callPlanner calls the planner, local or remote, and retries on failure, also
// when the planner moves to another instance. If no attempt can have been executed,
// it gives up after plannerTimeout, and a submission in time for the response to
// reach the caller; otherwise it retries until the outcome is known or ctx ends.
func (e *Server) callPlanner(ctx context.Context, method string, request func() proto.Message, local func(*control.Planner) control.Response) control.Response {
	giveUpAt := time.Now().Add(plannerTimeout)
	if deadline, ok := ctx.Deadline(); ok && method == methodSubmit && deadline.Add(-responseMargin).Before(giveUpAt) {
		giveUpAt = deadline.Add(-responseMargin)
	}
	a := attempts{reason: "no planner is known"}
	for ctx.Err() == nil {
		response, err := e.callPlannerOnce(ctx, method, request(), local)
		a = a.with(response, err)
		if err == nil && a.settles(response) {
			return a.response(response)
		}
		if !a.unknown && time.Now().Add(plannerRetryDelay).After(giveUpAt) {
			break
		}
		sleep(ctx, plannerRetryDelay)
	}
	return a.failure()
}

// attempts sums up the attempts of one call of the planner. Values are immutable.
type attempts struct {
	// unknown is set if an attempt may have been executed, or may be later.
	unknown bool
	reason  string
}

// with returns the attempts with another one.
func (a attempts) with(response control.Response, err error) attempts {
	var notExecuted *member.NotExecutedError
	switch {
	case err == nil && response.Outcome == control.OutcomeUnknown:
		a.unknown = true
	case err != nil:
		a.unknown = a.unknown || !errors.As(err, &notExecuted)
		a.reason = err.Error()
	case response.Outcome == control.OutcomeUnavailable:
		a.reason = response.Reason
	}
	return a
}

// settles reports whether a response of the planner ends the call.
func (a attempts) settles(response control.Response) bool {
	return response.Outcome != control.OutcomeUnknown && response.Outcome != control.OutcomeUnavailable
}

// response returns the response of the planner to the caller. A refusal does not
// tell what became of an earlier attempt.
func (a attempts) response(response control.Response) control.Response {
	if response.Outcome == control.OutcomeRefused && a.unknown {
		return control.Response{Outcome: control.OutcomeUnknown, Reason: response.Reason}
	}
	return response
}

// failure returns the response to the caller if no attempt has succeeded. A
// submission is not refused, because an earlier call with the same job may have been
// executed, and a refused job never runs.
func (a attempts) failure() control.Response {
	outcome := control.OutcomeUnavailable
	if a.unknown {
		outcome = control.OutcomeUnknown
	}
	return control.Response{Outcome: outcome, RetryAfter: noPlannerRetryAfter, Reason: a.reason}
}

func (e *Server) callPlannerOnce(ctx context.Context, method string, request proto.Message, local func(*control.Planner) control.Response) (control.Response, error) {
	if p := e.planner.Load(); p != nil {
		return local(p), nil
	}
	name, ok := e.leaderInstance()
	if !ok {
		return control.Response{Outcome: control.OutcomeUnavailable, Reason: "no planner is known"}, nil
	}
	if method == methodSubmit {
		size := int64(proto.Size(request))
		waitCtx, cancel := context.WithTimeout(ctx, submissionTimeout)
		ok = e.submissions.acquire(waitCtx, size, e.submissionLimit())
		cancel()
		if !ok {
			return control.Response{Outcome: control.OutcomeUnavailable, Reason: "too many submissions at a time"}, nil
		}
		defer e.submissions.release(size)
	}
	m := &schema.Verdict{}
	if err := e.group.Call(ctx, name, method, request, m); err != nil {
		return control.Response{}, err
	}
	return control.Response{
		Outcome: control.Outcome(m.GetOutcome()), State: batch.JobState(m.GetState()),
		RetryAfter: time.Duration(m.GetWait()) * time.Millisecond, Reason: m.GetReason(), Count: int(m.GetCount()),
	}, nil
}
