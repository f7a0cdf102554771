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
	// claimTimeout is how long the launcher waits for the table before it
	// starts an idempotent job without a claim. Together with the start it
	// stays within the 4.8 s in which urgent work must start.
	claimTimeout = 1500 * time.Millisecond
	// maxAttempts is the number of failed attempts after which an idempotent
	// job fails.
	maxAttempts = 3
)

// launcher starts and stops gangs on the racks that this instance owns, and
// records the outcomes of attempts.
type launcher struct {
	self        platform.Instance
	racks       *rack.Manager
	ledger      *ledger.Ledger
	group       *member.Group
	notifyEnded func(*schema.Ended)
	metrics     *instanceMetrics
	log         klog.Logger
}

func newLauncher(self platform.Instance, l *ledger.Ledger, group *member.Group, notify func(*schema.Ended), m *instanceMetrics, log klog.Logger) *launcher {
	return &launcher{self: self, ledger: l, group: group, notifyEnded: notify, metrics: m, log: log}
}

// ownedRack returns the owner of a rack, or *NotOwnerError if this instance
// does not own it.
func (l *launcher) ownedRack(name string) (*rack.Owner, error) {
	owner, ok := l.racks.Owner(name)
	if !ok {
		return nil, &NotOwnerError{Role: "the owner of rack " + name}
	}
	return owner, nil
}

// launch claims the next attempt of a job and starts it. An error means that
// the attempt may have run.
func (l *launcher) launch(ctx context.Context, m *schema.Launch) (*schema.Launched, error) {
	owner, err := l.ownedRack(m.Rack)
	if err != nil {
		return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}, nil
	}
	payload, err := l.payload(ctx, m.Job)
	if err != nil {
		return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}, nil
	}
	attempt := m.Job.Attempt + 1
	if refused := l.claim(ctx, m, attempt); refused != nil {
		return refused, nil
	}
	err = owner.Start(ctx, gangRequest(m, attempt, payload))
	if err == nil {
		l.metrics.observeWait(m.Job.Team, className(m.Job.Class), time.Since(m.Job.Accepted.AsTime()))
		go l.recordStart(m.Job, attempt)
		return &schema.Launched{Started: true, Attempt: attempt}, nil
	}
	var duplicate *rack.DuplicateError
	if errors.As(err, &duplicate) {
		return &schema.Launched{Attempt: attempt, Stale: true, Reason: err.Error()}, nil
	}
	if knownNotStarted(err) {
		return l.handleUnstarted(ctx, m.Job, attempt, err), nil
	}
	go l.recordLost(m.Job, attempt, err.Error())
	return nil, err
}

// payload returns the payload of a job, which a record names if it is large.
func (l *launcher) payload(ctx context.Context, job *schema.Job) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, launchTimeout/2)
	defer cancel()
	return l.ledger.Payload(ctx, job)
}

// claim claims an attempt in the table and returns nil if it may start. While
// the table is unavailable, an idempotent job starts without a claim and its
// outcome is recorded later.
func (l *launcher) claim(ctx context.Context, m *schema.Launch, attempt int32) *schema.Launched {
	wait := claimTimeout
	if !m.Job.Idempotent {
		wait = launchTimeout / 2
	}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, err := l.ledger.Claim(call, m.Job.Id, attempt, m.Rack, l.self.DataCentre)
	if err == nil {
		return nil
	}
	if current, state, ok := recordConflict(err); ok {
		return &schema.Launched{Attempt: current, Stale: state != schema.State_STATE_QUEUED, Gone: isTerminal(state), Reason: err.Error()}
	}
	if m.Job.Idempotent {
		l.log.V(1).Info(EventRetry, "what", "claim", "job", m.Job.Id, "err", err)
		return nil
	}
	if ledger.WriteStatus(err) == "unknown" {
		return l.handleUnstarted(ctx, m.Job, attempt, err)
	}
	return &schema.Launched{Attempt: m.Job.Attempt, Reason: err.Error()}
}

// handleUnstarted requeues an attempt that did not start and never will. If the
// record cannot be written in time, the reply is marked stale and the planner
// has to read the record later.
func (l *launcher) handleUnstarted(ctx context.Context, job *schema.Job, attempt int32, cause error) *schema.Launched {
	m := &schema.Launched{Attempt: attempt, Reason: cause.Error()}
	current, state, known := l.requeueUnstarted(ctx, job, attempt, cause)
	if !known {
		m.Stale = true
		go l.recordUnstarted(job, attempt, cause)
		return m
	}
	m.Attempt = current
	m.Stale = state != schema.State_STATE_QUEUED
	m.Gone = isTerminal(state)
	return m
}

// requeueUnstarted tries once to record that an attempt did not start, and
// returns the attempt and state of the record. known is false if the write
// failed in a way that does not tell them.
func (l *launcher) requeueUnstarted(ctx context.Context, job *schema.Job, attempt int32, cause error) (current int32, state schema.State, known bool) {
	record, err := l.ledger.Requeue(ctx, job.Id, attempt, ledger.Unstarted{Reason: cause.Error()})
	if err == nil {
		return record.Attempt, record.State, true
	}
	return recordConflict(err)
}

// recordConflict returns the attempt and state of a record that rejected an
// operation.
func recordConflict(err error) (current int32, state schema.State, ok bool) {
	var stale *ledger.StaleAttemptError
	if errors.As(err, &stale) {
		return stale.Current, stale.State, true
	}
	var refused *ledger.StateError
	if errors.As(err, &refused) {
		return refused.Current, refused.State, true
	}
	return 0, 0, false
}

// isTerminal reports whether a job in this state never runs again.
func isTerminal(s schema.State) bool {
	switch s {
	case schema.State_STATE_QUEUED, schema.State_STATE_CLAIMED, schema.State_STATE_RUNNING:
		return false
	default:
		return true
	}
}

func gangRequest(m *schema.Launch, attempt int32, payload []byte) rack.GangRequest {
	r := rack.GangRequest{
		Job:      m.Job.Id,
		Attempt:  int(attempt),
		Team:     m.Job.Team,
		Template: m.Job.Template,
		Payload:  payload,
		Borrowed: m.Borrowed,
	}
	if m.Ends != nil {
		r.ExpectedEnd = m.Ends.AsTime()
	}
	for i, w := range m.Workers {
		gangMember := rack.Member{Worker: w, Accelerators: int(m.Job.Shape.GetAccelerators())}
		if i < len(m.Job.Checkpoints) {
			gangMember.Checkpoint = m.Job.Checkpoints[i]
		}
		r.Members = append(r.Members, gangMember)
	}
	return r
}

// knownNotStarted reports whether a failed start is known not to have run.
func knownNotStarted(err error) bool {
	var start *rack.StartError
	if errors.As(err, &start) {
		return start.Execution == rack.NotExecuted
	}
	return true
}

func (l *launcher) recordStart(job *schema.Job, attempt int32) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if _, err := l.ledger.Start(ctx, job.Id, attempt); err != nil {
		l.log.V(2).Info(EventRetry, "what", "record of start", "job", job.Id, "err", err)
	}
}

// recordUnstarted retries requeueUnstarted until the requeue is written or the
// ledger rejects it, because only this instance knows that the attempt did not
// start.
func (l *launcher) recordUnstarted(job *schema.Job, attempt int32, cause error) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
		_, _, known := l.requeueUnstarted(ctx, job, attempt, cause)
		cancel()
		if known {
			return
		}
		time.Sleep(time.Second)
	}
}

// recordLost records the end of an attempt that may have run.
func (l *launcher) recordLost(job *schema.Job, attempt int32, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	_, err := l.ledger.Requeue(ctx, job.Id, attempt, ledger.Lost{Reason: reason})
	var notRetryable *ledger.NotRetryableError
	if errors.As(err, &notRetryable) {
		_, err = l.ledger.MarkUnknown(ctx, job.Id, attempt, reason)
		l.log.Info(EventUnknown, "job", job.Id, "team", job.Team, "attempt", attempt, "reason", reason)
	}
	if err != nil {
		l.log.V(1).Info(EventRetry, "what", "lost attempt", "job", job.Id, "err", err)
	}
}

// evict checkpoints and stops a gang.
func (l *launcher) evict(ctx context.Context, m *schema.Evict) (*schema.Evicted, error) {
	owner, err := l.ownedRack(m.Rack)
	if err != nil {
		return nil, err
	}
	checkpoints, err := owner.Evict(ctx, m.Job, time.Until(m.Deadline.AsTime()))
	if err != nil {
		return nil, err
	}
	reply := &schema.Evicted{Share: 1}
	for _, c := range checkpoints {
		reply.Checkpoints = append(reply.Checkpoints, c.Name)
		reply.Share = min(reply.Share, c.Progress)
	}
	return reply, nil
}

// halt stops gangs without recording a result.
func (l *launcher) halt(ctx context.Context, m *schema.Halt) error {
	owner, err := l.ownedRack(m.Rack)
	if err != nil {
		return err
	}
	var lastErr error
	for _, job := range m.Jobs {
		err := owner.Stop(ctx, job)
		var missing *platform.NotFoundError
		var alreadyEnded *rack.EndedError
		if err != nil && !errors.As(err, &missing) && !errors.As(err, &alreadyEnded) {
			lastErr = err
		}
	}
	return lastErr
}

// HandleOutcome records the outcome of an attempt. It implements rack.Sink.
func (l *launcher) HandleOutcome(ctx context.Context, o rack.Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	requeued, err := l.recordOutcome(ctx, o)
	if err != nil {
		return err
	}
	event := EventFinish
	if requeued {
		event = EventRequeue
	}
	l.log.V(1).Info(event, "job", o.Job, "team", o.Team, "rack", o.Rack, "attempt", o.Attempt, "outcome", o.Kind, "reason", o.Reason)
	l.metrics.observeEnded(o)
	l.notifyEnded(endedMessage(o, requeued))
	return nil
}

// recordOutcome writes an outcome and reports whether the job was requeued.
func (l *launcher) recordOutcome(ctx context.Context, o rack.Outcome) (requeued bool, err error) {
	requeued, err = l.writeOutcome(ctx, o)
	current, state, refused := recordConflict(err)
	if !refused {
		return requeued, err
	}
	if isTerminal(state) || current >= int32(o.Attempt) {
		return false, nil
	}
	if err := l.recordMissingAttempts(ctx, o, current, state); err != nil {
		_, _, refused := recordConflict(err)
		if refused {
			return false, nil
		}
		return false, err
	}
	return l.writeOutcome(ctx, o)
}

// recordMissingAttempts advances the record to an attempt that was started
// while the table was unavailable, through all attempts that were not recorded.
func (l *launcher) recordMissingAttempts(ctx context.Context, o rack.Outcome, current int32, state schema.State) error {
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

// writeOutcome writes an outcome once.
func (l *launcher) writeOutcome(ctx context.Context, o rack.Outcome) (requeued bool, err error) {
	attempt := int32(o.Attempt)
	switch o.Kind {
	case rack.OutcomeDone:
		_, err = l.ledger.Finish(ctx, o.Job, attempt, ledger.Outcome{}, o.Results)
		return false, err
	case rack.OutcomeFailed:
		if o.Attempt < maxAttempts {
			_, err = l.ledger.Requeue(ctx, o.Job, attempt, ledger.Lost{Reason: o.Reason})
			var notRetryable *ledger.NotRetryableError
			if !errors.As(err, &notRetryable) {
				return err == nil, err
			}
		}
		_, err = l.ledger.Finish(ctx, o.Job, attempt, ledger.Outcome{Failed: true, Reason: o.Reason}, o.Results)
		return false, err
	default:
		_, err = l.ledger.Requeue(ctx, o.Job, attempt, ledger.Lost{Reason: o.Reason})
		var notRetryable *ledger.NotRetryableError
		if !errors.As(err, &notRetryable) {
			return err == nil, err
		}
		_, err = l.ledger.MarkUnknown(ctx, o.Job, attempt, o.Reason)
		return false, err
	}
}

func endedMessage(o rack.Outcome, requeued bool) *schema.Ended {
	m := &schema.Ended{
		Job:     o.Job,
		Attempt: int32(o.Attempt),
		Done:    o.Kind == rack.OutcomeDone,
		Again:   requeued,
		Member:  int32(o.Member) + 1,
		Ended:   timestamppb.New(o.Ended),
	}
	if !o.Started.IsZero() {
		m.Started = timestamppb.New(o.Started)
	}
	return m
}

// handlerReply returns m as the reply of a handler, or err.
func handlerReply[M proto.Message](m M, err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return m, nil
}
