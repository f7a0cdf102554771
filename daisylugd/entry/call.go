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

// Methods of the calls to the planner.
const (
	methodSubmit  = "job.submit"
	methodCancel  = "job.cancel"
	methodState   = "job.state"
	methodPending = "job.pending"
)

const (
	// plannerWait is how long a call waits for a planner before the caller is
	// told to come back.
	plannerWait = 1 * time.Second
	// plannerRetry is the time between two tries to reach the planner.
	plannerRetry = 60 * time.Millisecond
	// comeBack is the wait for callers that come while there is no planner.
	comeBack = 1 * time.Second
	// stateTimeout is the time for the planner to tell a state before the
	// stored one is read.
	stateTimeout = 500 * time.Millisecond
)

// handle serves the calls of other instances to the planner.
func (e *Server) handle() {
	e.group.Handle(methodSubmit, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.Submission) (proto.Message, error) {
		age := time.Duration(m.GetAge()) * time.Millisecond
		return e.local(func(p *control.Planner) control.Response { return p.Submit(ctx, m.GetJob(), age) }), nil
	}))
	e.group.Handle(methodCancel, member.Typed(func(ctx context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.local(func(p *control.Planner) control.Response { return p.Cancel(ctx, m.GetQueue(), m.GetId()) }), nil
	}))
	e.group.Handle(methodState, member.Typed(func(_ context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.local(func(p *control.Planner) control.Response { return p.State(m.GetQueue(), m.GetId()) }), nil
	}))
	e.group.Handle(methodPending, member.Typed(func(_ context.Context, _ platform.Instance, m *schema.JobRef) (proto.Message, error) {
		return e.local(func(p *control.Planner) control.Response { return p.Pending(m.GetQueue()) }), nil
	}))
}

// local runs a call on the planner of this instance.
func (e *Server) local(f func(*control.Planner) control.Response) *schema.Verdict {
	v := control.Response{Outcome: control.OutcomeUnavailable, Reason: "not in office"}
	if p := e.planner.Load(); p != nil {
		v = f(p)
	}
	return &schema.Verdict{
		Outcome: int32(v.Outcome), State: int32(v.State), Wait: v.RetryAfter.Milliseconds(), Reason: v.Reason, Count: int64(v.Count),
	}
}

// Submit hands a job in.
func (e *Server) Submit(ctx context.Context, j *batch.Job, q control.Queue, guaranteed int64) control.Response {
	if err := j.Validate(); err != nil {
		return control.Response{Outcome: control.OutcomeInvalid, Reason: err.Error()}
	}
	record := control.EncodeJob(j, q, guaranteed)
	request := func() proto.Message {
		return &schema.Submission{Job: record, Age: time.Since(j.Accepted).Milliseconds()}
	}
	return e.ask(ctx, methodSubmit, request, func(p *control.Planner) control.Response {
		return p.Submit(ctx, record, time.Since(j.Accepted))
	})
}

// Cancel cancels a job.
func (e *Server) Cancel(ctx context.Context, queue, id string) control.Response {
	return e.ask(ctx, methodCancel, same(&schema.JobRef{Id: id, Queue: queue}), func(p *control.Planner) control.Response {
		return p.Cancel(ctx, queue, id)
	})
}

// Pending counts the jobs of a queue that have not started.
func (e *Server) Pending(ctx context.Context, queue string) control.Response {
	return e.ask(ctx, methodPending, same(&schema.JobRef{Queue: queue}), func(p *control.Planner) control.Response {
		return p.Pending(queue)
	})
}

// State returns the state of a job, from the store if the planner does not
// answer.
func (e *Server) State(ctx context.Context, queue, id string) control.Response {
	one, cancel := context.WithTimeout(ctx, stateTimeout)
	v := e.ask(one, methodState, same(&schema.JobRef{Id: id, Queue: queue}), func(p *control.Planner) control.Response {
		return p.State(queue, id)
	})
	cancel()
	if v.Outcome == control.OutcomeOK || v.Outcome == control.OutcomeNotFound {
		return v
	}
	stored, err := control.ReadState(ctx, e.services.Store, queue, id)
	if err != nil {
		return control.Response{Outcome: control.OutcomeUnavailable, RetryAfter: comeBack, Reason: err.Error()}
	}
	return stored
}

// same is a request that is alike at each try.
func same(m proto.Message) func() proto.Message { return func() proto.Message { return m } }

// ask calls the planner and finds it again when it has changed. Once a call
// may have arrived, its failure leaves the outcome in doubt.
func (e *Server) ask(ctx context.Context, method string, request func() proto.Message, own func(*control.Planner) control.Response) control.Response {
	begun := time.Now()
	doubt := false
	last := control.Response{Outcome: control.OutcomeUnavailable, RetryAfter: comeBack, Reason: "no planner is known"}
	for ctx.Err() == nil {
		v, err := e.askOnce(ctx, method, request(), own)
		var unsent *member.NotExecutedError
		switch {
		case err == nil && v.Outcome == control.OutcomeUnknown:
			doubt = true
		case err == nil && v.Outcome == control.OutcomeRefused && doubt:
			return control.Response{Outcome: control.OutcomeUnknown, Reason: v.Reason}
		case err == nil && v.Outcome != control.OutcomeUnavailable:
			return v
		case err == nil:
			last.Reason = v.Reason
		case !errors.As(err, &unsent):
			doubt = true
			last.Reason = err.Error()
		default:
			last.Reason = err.Error()
		}
		if !doubt && time.Since(begun) > plannerWait {
			break
		}
		sleep(ctx, plannerRetry)
	}
	if doubt {
		last.Outcome = control.OutcomeUnknown
	}
	return last
}

func (e *Server) askOnce(ctx context.Context, method string, request proto.Message, own func(*control.Planner) control.Response) (control.Response, error) {
	if p := e.planner.Load(); p != nil {
		return own(p), nil
	}
	name, ok := e.inOffice()
	if !ok {
		return control.Response{Outcome: control.OutcomeUnavailable, Reason: "no planner is known"}, nil
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
