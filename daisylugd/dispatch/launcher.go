package dispatch

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/rack"
	"daisylug.example/scheduler/schema"
)

const (
	// claimWait bounds the wait for the table before an idempotent job is
	// started without a claim. With the start itself it stays within the 4.8 s
	// in which urgent work starts.
	claimWait = 1500 * time.Millisecond
	// attemptsMax is the number of failed attempts after which an idempotent
	// job has failed.
	attemptsMax = 3
)

// launcher carries out decisions on the racks that this instance owns, and
// records how the attempts end.
type launcher struct {
	self   platform.Instance
	racks  *rack.Manager
	ledger *ledger.Ledger
	group  *member.Group
	notify func(*schema.Ended)
	meters *meters
	log    klog.Logger
}

func newLauncher(self platform.Instance, l *ledger.Ledger, group *member.Group, notify func(*schema.Ended), m *meters, log klog.Logger) *launcher {
	return &launcher{self: self, ledger: l, group: group, notify: notify, meters: m, log: log}
}

// own returns the owner of a rack, or *RoleError.
func (l *launcher) own(name string) (*rack.Owner, error) {
	owner, ok := l.racks.Owner(name)
	if !ok {
		return nil, &NotOwnerError{Role: "the owner of rack " + name}
	}
	return owner, nil
}

// launch claims the next attempt of a job and starts it. An error means that
// the attempt may have run.
func (l *launcher) launch(ctx context.Context, m *schema.Launch) (*schema.Launched, error) {
	owner, err := l.own(m.Rack)
	if err != nil {
		return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}, nil
	}
	attempt := m.Job.Attempt + 1
	if refused := l.claim(ctx, m, attempt); refused != nil {
		return refused, nil
	}
	err = owner.Start(ctx, gangRequest(m, attempt))
	if err == nil {
		l.meters.waited(m.Job.Team, className(m.Job.Class), time.Since(m.Job.Accepted.AsTime()))
		go l.recordStart(m.Job, attempt)
		return &schema.Launched{Started: true, Attempt: attempt}, nil
	}
	var duplicate *rack.DuplicateError
	if errors.As(err, &duplicate) {
		return &schema.Launched{Attempt: attempt, Stale: true, Reason: err.Error()}, nil
	}
	if startedNothing(err) {
		return l.unstarted(ctx, m.Job, attempt, err), nil
	}
	go l.recordLost(m.Job, attempt, err.Error())
	return nil, err
}

// claim claims an attempt in the table and returns nil if it may start. While
// the table is away an idempotent job goes on without a claim; its outcome is
// recorded later.
func (l *launcher) claim(ctx context.Context, m *schema.Launch, attempt int32) *schema.Launched {
	wait := claimWait
	if !m.Job.Idempotent {
		wait = launchWait / 2
	}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, err := l.ledger.Claim(call, m.Job.Id, attempt, m.Rack, l.self.DataCentre)
	if err == nil {
		return nil
	}
	if current, state, ok := refusal(err); ok {
		return &schema.Launched{Attempt: current, Stale: state != schema.State_STATE_QUEUED, Gone: ended(state), Reason: err.Error()}
	}
	if m.Job.Idempotent {
		l.log.V(1).Info(EventRetry, "what", "claim", "job", m.Job.Id, "err", err)
		return nil
	}
	if ledger.WriteStatus(err) == "unknown" {
		return l.unstarted(ctx, m.Job, attempt, err)
	}
	return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}
}

// unstarted gives an attempt back that did not start and never will. If the
// record cannot be settled in time, the planner has to read it later.
func (l *launcher) unstarted(ctx context.Context, job *schema.Job, attempt int32, cause error) *schema.Launched {
	m := &schema.Launched{Attempt: attempt, Reason: cause.Error()}
	current, state, settled := l.giveBack(ctx, job, attempt, cause)
	if !settled {
		m.Stale = true
		go l.recordUnstarted(job, attempt, cause)
		return m
	}
	m.Attempt = current
	m.Stale = state != schema.State_STATE_QUEUED
	m.Gone = ended(state)
	return m
}

// giveBack writes once that an attempt did not start, and returns the attempt
// and state of the record.
func (l *launcher) giveBack(ctx context.Context, job *schema.Job, attempt int32, cause error) (current int32, state schema.State, settled bool) {
	record, err := l.ledger.Requeue(ctx, job.Id, attempt, ledger.Unstarted{Reason: cause.Error()})
	if err == nil {
		return record.Attempt, record.State, true
	}
	return refusal(err)
}

// refusal returns the attempt and state of a record that does not allow an
// operation.
func refusal(err error) (current int32, state schema.State, ok bool) {
	var late *ledger.StaleAttemptError
	if errors.As(err, &late) {
		return late.Current, late.State, true
	}
	var refused *ledger.StateError
	if errors.As(err, &refused) {
		return refused.Current, refused.State, true
	}
	return 0, 0, false
}

// ended reports whether a job in this state never runs again.
func ended(s schema.State) bool {
	switch s {
	case schema.State_STATE_QUEUED, schema.State_STATE_CLAIMED, schema.State_STATE_RUNNING:
		return false
	default:
		return true
	}
}

func gangRequest(m *schema.Launch, attempt int32) rack.GangRequest {
	r := rack.GangRequest{
		Job:      m.Job.Id,
		Attempt:  int(attempt),
		Team:     m.Job.Team,
		Template: m.Job.Template,
		Payload:  m.Job.Payload,
		Borrowed: m.Borrowed,
	}
	if m.Ends != nil {
		r.ExpectedEnd = m.Ends.AsTime()
	}
	for i, w := range m.Workers {
		one := rack.Member{Worker: w, Accelerators: int(m.Job.Shape.GetAccelerators())}
		if i < len(m.Job.Checkpoints) {
			one.Checkpoint = m.Job.Checkpoints[i]
		}
		r.Members = append(r.Members, one)
	}
	return r
}

// startedNothing reports whether a failed start is known not to have run.
func startedNothing(err error) bool {
	var start *rack.StartError
	if errors.As(err, &start) {
		return start.Ran == rack.NotExecuted
	}
	return true
}

func (l *launcher) recordStart(job *schema.Job, attempt int32) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	if _, err := l.ledger.Start(ctx, job.Id, attempt); err != nil {
		l.log.V(2).Info(EventRetry, "what", "record of start", "job", job.Id, "err", err)
	}
}

// recordUnstarted repeats giveBack until the record is settled, because only
// this instance knows that the attempt did not start.
func (l *launcher) recordUnstarted(job *schema.Job, attempt int32, cause error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), recordWait)
		_, _, settled := l.giveBack(ctx, job, attempt, cause)
		cancel()
		if settled {
			return
		}
		time.Sleep(time.Second)
	}
}

// recordLost ends an attempt that may have run.
func (l *launcher) recordLost(job *schema.Job, attempt int32, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	_, err := l.ledger.Requeue(ctx, job.Id, attempt, ledger.Lost{Reason: reason})
	var repeat *ledger.NotRetryableError
	if errors.As(err, &repeat) {
		_, err = l.ledger.MarkUnknown(ctx, job.Id, attempt, reason)
		l.log.Info(EventUnknown, "job", job.Id, "team", job.Team, "attempt", attempt, "reason", reason)
	}
	if err != nil {
		l.log.V(1).Info(EventRetry, "what", "lost attempt", "job", job.Id, "err", err)
	}
}

// evict checkpoints and stops a gang.
func (l *launcher) evict(ctx context.Context, m *schema.Evict) (*schema.Evicted, error) {
	owner, err := l.own(m.Rack)
	if err != nil {
		return nil, err
	}
	saved, err := owner.Evict(ctx, m.Job, time.Until(m.Deadline.AsTime()))
	if err != nil {
		return nil, err
	}
	reply := &schema.Evicted{Share: 1}
	for _, c := range saved {
		reply.Checkpoints = append(reply.Checkpoints, c.Name)
		reply.Share = min(reply.Share, c.Share)
	}
	return reply, nil
}

// halt stops gangs without a result.
func (l *launcher) halt(ctx context.Context, m *schema.Halt) error {
	owner, err := l.own(m.Rack)
	if err != nil {
		return err
	}
	var failed error
	for _, job := range m.Jobs {
		err := owner.Stop(ctx, job)
		var missing *platform.NotFoundError
		var over *rack.EndedError
		if err != nil && !errors.As(err, &missing) && !errors.As(err, &over) {
			failed = err
		}
	}
	return failed
}

// HandleOutcome records the end of an attempt. It implements rack.Sink.
func (l *launcher) HandleOutcome(ctx context.Context, o rack.Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	again, err := l.record(ctx, o)
	if err != nil {
		return err
	}
	event := EventFinish
	if again {
		event = EventRequeue
	}
	l.log.V(1).Info(event, "job", o.Job, "team", o.Team, "rack", o.Rack, "attempt", o.Attempt, "outcome", o.Kind, "reason", o.Reason)
	l.meters.ended(o)
	l.notify(endedMessage(o, again))
	return nil
}

// record writes an outcome and reports whether the job waits again.
func (l *launcher) record(ctx context.Context, o rack.Outcome) (again bool, err error) {
	again, err = l.write(ctx, o)
	current, state, refused := refusal(err)
	if !refused {
		return again, err
	}
	if ended(state) || current >= int32(o.Attempt) {
		return false, nil
	}
	if err := l.catchUp(ctx, o, current, state); err != nil {
		_, _, refused := refusal(err)
		if refused {
			return false, nil
		}
		return false, err
	}
	return l.write(ctx, o)
}

// catchUp brings the record up to an attempt that was started while the table
// was away, by way of the attempts that were not recorded.
func (l *launcher) catchUp(ctx context.Context, o rack.Outcome, current int32, state schema.State) error {
	const reason = "followed by an attempt while the table was away"
	for {
		if state != schema.State_STATE_QUEUED {
			if _, err := l.ledger.Requeue(ctx, o.Job, current, ledger.Lost{Reason: reason}); err != nil {
				return err
			}
		}
		current++
		if _, err := l.ledger.Claim(ctx, o.Job, current, o.Rack, l.self.DataCentre); err != nil {
			return err
		}
		if current == int32(o.Attempt) {
			return nil
		}
		state = schema.State_STATE_CLAIMED
	}
}

// write writes an outcome once.
func (l *launcher) write(ctx context.Context, o rack.Outcome) (again bool, err error) {
	attempt := int32(o.Attempt)
	switch o.Kind {
	case rack.OutcomeDone:
		_, err = l.ledger.Finish(ctx, o.Job, attempt, ledger.Outcome{}, o.Results)
		return false, err
	case rack.OutcomeFailed:
		if o.Attempt < attemptsMax {
			_, err = l.ledger.Requeue(ctx, o.Job, attempt, ledger.Lost{Reason: o.Reason})
			var repeat *ledger.NotRetryableError
			if !errors.As(err, &repeat) {
				return err == nil, err
			}
		}
		_, err = l.ledger.Finish(ctx, o.Job, attempt, ledger.Outcome{Failed: true, Reason: o.Reason}, o.Results)
		return false, err
	default:
		_, err = l.ledger.Requeue(ctx, o.Job, attempt, ledger.Lost{Reason: o.Reason})
		var repeat *ledger.NotRetryableError
		if !errors.As(err, &repeat) {
			return err == nil, err
		}
		_, err = l.ledger.MarkUnknown(ctx, o.Job, attempt, o.Reason)
		return false, err
	}
}

func endedMessage(o rack.Outcome, again bool) *schema.Ended {
	m := &schema.Ended{
		Job:     o.Job,
		Attempt: int32(o.Attempt),
		Done:    o.Kind == rack.OutcomeDone,
		Again:   again,
		Member:  int32(o.Member) + 1,
		Ended:   timestamppb.New(o.Ended),
	}
	if !o.Started.IsZero() {
		m.Started = timestamppb.New(o.Started)
	}
	return m
}

// reply returns m as the answer of a handler, or err.
func reply[M proto.Message](m M, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return m, nil
}
