package ledger

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	// rowsMax is the largest number of rows that one operation writes: a claim
	// that moves the index row to another data centre.
	rowsMax = 3

	// changeBytes is the assumed memory of an operation beside its record.
	changeBytes = 512
)

// accepted is the value of an accept operation.
type accepted struct {
	job      *schema.Job
	existing bool
}

// Accept records job as queued and returns the record. Its data centre is the
// home of the index row. The same key with equal content returns the record
// that exists; with different content, *ContentError.
func (l *Ledger) Accept(ctx context.Context, job *schema.Job) (record *schema.Job, existing bool, err error) {
	if err := check(job); err != nil {
		return nil, false, err
	}
	job = proto.CloneOf(job)
	job.Id = ID(job.Team, job.Key)
	job.State = schema.State_STATE_QUEUED
	job.Attempt = 0
	if job.Accepted == nil {
		job.Accepted = timestamppb.Now()
	}
	c := &change{
		id:    job.Id,
		key:   jobKey(job.Id),
		rows:  2,
		size:  proto.Size(job) + changeBytes,
		known: true,
		apply: func(row platform.Row, operation string) (step, error) { return accept(row, job, operation) },
	}
	value, err := l.group.do(ctx, c)
	if err != nil {
		return nil, false, err
	}
	a := value.(accepted)
	return a.job, a.existing, nil
}

func check(job *schema.Job) error {
	switch {
	case job.Team == "":
		return &FieldError{Field: "team", Cause: "is empty"}
	case job.Key == "":
		return &FieldError{Field: "key", Cause: "is empty"}
	case job.Centre == "":
		return &FieldError{Field: "centre", Cause: "is empty"}
	default:
		return nil
	}
}

func accept(row platform.Row, job *schema.Job, operation string) (step, error) {
	if row.Version == 0 {
		record := proto.CloneOf(job)
		record.Origin = operation
		record.Operation = operation
		value, err := proto.Marshal(record)
		return step{
			value: accepted{job: record},
			writes: []platform.Write{
				{Key: row.Key, Value: value},
				{Key: openKey(record.Centre, record.Id)},
			},
		}, err
	}
	record, err := decodeJob(row)
	if err != nil {
		return step{}, err
	}
	if fields := differences(record, job); len(fields) > 0 {
		return step{}, &IdempotencyConflictError{ID: job.Id, Team: job.Team, Key: job.Key, Fields: fields}
	}
	return step{value: accepted{job: record, existing: record.Origin != operation}}, nil
}

// Claim moves a queued job to the claimed state for attempt, which must be one
// more than the latest, on rack in centre. Only the caller that gets no error
// may start the attempt.
func (l *Ledger) Claim(ctx context.Context, id string, attempt int32, rack, centre string) (*schema.Job, error) {
	return l.update(ctx, id, func(job *schema.Job, operation string) error {
		if job.State != schema.State_STATE_QUEUED || attempt != job.Attempt+1 {
			return refuse("claim", job, attempt)
		}
		job.State = schema.State_STATE_CLAIMED
		job.Attempt = attempt
		job.Rack = rack
		job.Centre = centre
		job.Claim = operation
		return nil
	})
}

// Start records that a claimed attempt runs. It is optional: it makes a
// cancellation before it certain to prevent the run.
func (l *Ledger) Start(ctx context.Context, id string, attempt int32) (*schema.Job, error) {
	now := timestamppb.Now()
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if job.State != schema.State_STATE_CLAIMED || attempt != job.Attempt {
			return refuse("start", job, attempt)
		}
		job.State = schema.State_STATE_RUNNING
		job.Started = now
		return nil
	})
}

// Cause is why an attempt goes back to the queue.
type Cause interface{ cause() }

type (
	// Evicted means the attempt was stopped after its members saved their
	// checkpoints, by position.
	Evicted struct{ Checkpoints []string }

	// Lost means the attempt may have run.
	Lost struct{ Reason string }

	// Unstarted means the attempt did not start and never will.
	Unstarted struct{ Reason string }
)

func (Evicted) cause()   {}
func (Lost) cause()      {}
func (Unstarted) cause() {}

// Requeue moves a claimed or running attempt back to the queue. A job that is
// not idempotent is requeued only if the attempt never started or every member
// has a checkpoint; otherwise *RepeatError is returned.
func (l *Ledger) Requeue(ctx context.Context, id string, attempt int32, cause Cause) (*schema.Job, error) {
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if !active(job) || attempt != job.Attempt {
			return refuse("requeue", job, attempt)
		}
		if !repeatable(job, cause) {
			return &NotRetryableError{ID: id}
		}
		switch c := cause.(type) {
		case Evicted:
			job.Checkpoints = c.Checkpoints
			job.Reason = "evicted"
		case Lost:
			job.Reason = c.Reason
		case Unstarted:
			job.Reason = c.Reason
		}
		job.State = schema.State_STATE_QUEUED
		job.Rack = ""
		return nil
	})
}

func repeatable(job *schema.Job, cause Cause) bool {
	if job.Idempotent {
		return true
	}
	switch c := cause.(type) {
	case Unstarted:
		return job.State == schema.State_STATE_CLAIMED
	case Evicted:
		return complete(c.Checkpoints, int(job.GetShape().GetWorkers()))
	default:
		return false
	}
}

func complete(checkpoints []string, members int) bool {
	for _, name := range checkpoints {
		if name == "" {
			return false
		}
	}
	return len(checkpoints) > 0 && len(checkpoints) >= members
}

// MarkUnknown ends a claimed or running attempt whose outcome cannot be found
// out. A result of the same attempt that turns up later replaces this state.
func (l *Ledger) MarkUnknown(ctx context.Context, id string, attempt int32, reason string) (*schema.Job, error) {
	now := timestamppb.Now()
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if !active(job) || attempt != job.Attempt {
			return refuse("mark unknown", job, attempt)
		}
		job.State = schema.State_STATE_UNKNOWN
		job.Reason = reason
		job.Ended = now
		return nil
	})
}

// update changes the job record with f and returns it.
func (l *Ledger) update(ctx context.Context, id string, f func(job *schema.Job, operation string) error) (*schema.Job, error) {
	a, err := l.amend(ctx, id, changeBytes, f)
	return a.job, err
}

// amended is the value of an update.
type amended struct {
	job *schema.Job
	// was is the state before.
	was schema.State
}

func (l *Ledger) amend(ctx context.Context, id string, size int, f func(job *schema.Job, operation string) error) (amended, error) {
	var was schema.State
	c := &change{id: id, key: jobKey(id), rows: rowsMax, size: size}
	c.apply = func(row platform.Row, operation string) (step, error) {
		s, err := amend(row, id, operation, func(job *schema.Job) error {
			was = job.State
			return f(job, operation)
		})
		job, _ := s.value.(*schema.Job)
		s.value = amended{job: job, was: was}
		return s, err
	}
	value, err := l.group.do(ctx, c)
	if err != nil {
		return amended{}, err
	}
	return value.(amended), nil
}

// amend judges an update of an existing job row.
func amend(row platform.Row, id, operation string, f func(job *schema.Job) error) (step, error) {
	if row.Version == 0 {
		return step{}, &platform.NotFoundError{Kind: "job", Name: id}
	}
	job, err := decodeJob(row)
	if err != nil {
		return step{}, err
	}
	if job.Operation == operation || job.Claim == operation {
		return step{value: job}, nil
	}
	before := proto.CloneOf(job)
	if err := f(job); err != nil {
		return step{}, err
	}
	if proto.Equal(before, job) {
		return step{value: job}, nil
	}
	job.Operation = operation
	value, err := proto.Marshal(job)
	writes := []platform.Write{{Key: row.Key, Version: row.Version, Value: value}}
	return step{value: job, writes: append(writes, index(before, job)...)}, err
}

// index returns the writes that keep the index row in step with the record.
// An index row is written once, so its version is 1.
func index(before, after *schema.Job) []platform.Write {
	if terminal(before.State) {
		return nil
	}
	old := platform.Write{Key: openKey(before.Centre, before.Id), Version: 1, Delete: true}
	switch {
	case terminal(after.State):
		return []platform.Write{old}
	case before.Centre != after.Centre:
		return []platform.Write{old, {Key: openKey(after.Centre, after.Id)}}
	default:
		return nil
	}
}

func active(job *schema.Job) bool {
	return job.State == schema.State_STATE_CLAIMED || job.State == schema.State_STATE_RUNNING
}

// refuse returns the error for an operation that the record does not allow.
func refuse(action string, job *schema.Job, attempt int32) error {
	over := attempt < job.Attempt || attempt == job.Attempt && !active(job)
	if over && attempt > 0 {
		return &StaleAttemptError{ID: job.Id, Attempt: attempt, Current: job.Attempt, State: job.State}
	}
	return &StateError{ID: job.Id, Action: action, Attempt: attempt, Current: job.Attempt, State: job.State}
}

func decodeJob(row platform.Row) (*schema.Job, error) {
	job := new(schema.Job)
	if err := proto.Unmarshal(row.Value, job); err != nil {
		return nil, &RecordError{Key: row.Key, Cause: err}
	}
	return job, nil
}
