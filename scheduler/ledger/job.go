package ledger

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	// maxOperationRows is the largest number of rows that one operation writes:
	// a claim that moves the index row to another data centre.
	maxOperationRows = 3

	// operationOverheadBytes is the assumed memory of an operation in addition
	// to its record.
	operationOverheadBytes = 512
)

// acceptResult is the result of an accept operation.
type acceptResult struct {
	job      *schema.Job
	existing bool
}

// Accept records job as queued and returns the record, which lacks a large payload. The index row is stored
// under the job's data centre. The same key with equal content returns the
// existing record; with different content, *IdempotencyConflictError.
func (l *Ledger) Accept(ctx context.Context, job *schema.Job) (record *schema.Job, existing bool, err error) {
	if err := validateJob(job); err != nil {
		return nil, false, err
	}
	job = proto.CloneOf(job)
	job.Id = ID(job.Team, job.Key)
	job.State = schema.State_STATE_QUEUED
	job.Attempt = 0
	if job.Accepted == nil {
		job.Accepted = timestamppb.Now()
	}
	if err := l.storePayload(ctx, job); err != nil {
		return nil, false, &NotWrittenError{ID: job.Id, Cause: err}
	}
	c := &change{
		id:       job.Id,
		key:      jobKey(job.Id),
		maxRows:  2,
		maxBytes: proto.Size(job) + operationOverheadBytes,
		skipRead: true,
		apply:    func(row platform.Row, operation string) (applyResult, error) { return applyAccept(row, job, operation) },
	}
	value, err := l.committer.do(ctx, c)
	if err != nil {
		return nil, false, err
	}
	a := value.(acceptResult)
	return a.job, a.existing, nil
}

func validateJob(job *schema.Job) error {
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

func applyAccept(row platform.Row, job *schema.Job, operation string) (applyResult, error) {
	if row.Version == 0 {
		record := proto.CloneOf(job)
		record.Origin = operation
		record.Operation = operation
		value, err := proto.Marshal(record)
		return applyResult{
			value: acceptResult{job: record},
			writes: []platform.Write{
				{Key: row.Key, Value: value},
				{Key: openKey(record.Centre, record.Id)},
			},
		}, err
	}
	record, err := decodeJob(row)
	if err != nil {
		return applyResult{}, err
	}
	if fields := differingFields(record, job); len(fields) > 0 {
		return applyResult{}, &IdempotencyConflictError{ID: job.Id, Team: job.Team, Key: job.Key, Fields: fields}
	}
	return applyResult{value: acceptResult{job: record, existing: record.Origin != operation}}, nil
}

// Claim moves a queued job to the claimed state for attempt on rack in centre.
// The attempt must be one more than the latest. Only the caller that gets no
// error may start the attempt.
func (l *Ledger) Claim(ctx context.Context, id string, attempt int32, rack, centre string) (*schema.Job, error) {
	return l.update(ctx, id, func(job *schema.Job, operation string) error {
		if job.State != schema.State_STATE_QUEUED || attempt != job.Attempt+1 {
			return refusalError("claim", job, attempt)
		}
		job.State = schema.State_STATE_CLAIMED
		job.Attempt = attempt
		job.Rack = rack
		job.Centre = centre
		job.Claim = operation
		return nil
	})
}

// Start records that a claimed attempt runs. It is optional. If it is used, a
// cancellation before Start is certain to prevent the run.
func (l *Ledger) Start(ctx context.Context, id string, attempt int32) (*schema.Job, error) {
	now := timestamppb.Now()
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if job.State != schema.State_STATE_CLAIMED || attempt != job.Attempt {
			return refusalError("start", job, attempt)
		}
		job.State = schema.State_STATE_RUNNING
		job.Started = now
		return nil
	})
}

// Cause is the reason why an attempt returns to the queue.
type Cause interface{ cause() }

type (
	// Evicted means the attempt was stopped after its members saved their
	// checkpoints, which are listed by position.
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
// has a checkpoint; otherwise it returns *NotRetryableError.
func (l *Ledger) Requeue(ctx context.Context, id string, attempt int32, cause Cause) (*schema.Job, error) {
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if !active(job) || attempt != job.Attempt {
			return refusalError("requeue", job, attempt)
		}
		if !retryable(job, cause) {
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

func retryable(job *schema.Job, cause Cause) bool {
	if job.Idempotent {
		return true
	}
	switch c := cause.(type) {
	case Unstarted:
		return job.State == schema.State_STATE_CLAIMED
	case Evicted:
		return allCheckpointsSaved(c.Checkpoints, int(job.GetShape().GetWorkers()))
	default:
		return false
	}
}

func allCheckpointsSaved(checkpoints []string, members int) bool {
	for _, name := range checkpoints {
		if name == "" {
			return false
		}
	}
	return len(checkpoints) > 0 && len(checkpoints) >= members
}

// MarkUnknown ends a claimed or running attempt whose outcome cannot be
// determined. A later result of the same attempt replaces this state.
func (l *Ledger) MarkUnknown(ctx context.Context, id string, attempt int32, reason string) (*schema.Job, error) {
	now := timestamppb.Now()
	return l.update(ctx, id, func(job *schema.Job, _ string) error {
		if !active(job) || attempt != job.Attempt {
			return refusalError("mark unknown", job, attempt)
		}
		job.State = schema.State_STATE_UNKNOWN
		job.Reason = reason
		job.Ended = now
		return nil
	})
}

// update changes the job record with f and returns it.
func (l *Ledger) update(ctx context.Context, id string, f func(job *schema.Job, operation string) error) (*schema.Job, error) {
	updated, err := l.updateSized(ctx, id, operationOverheadBytes, f)
	return updated.job, err
}

// updateResult is the result of an update.
type updateResult struct {
	job *schema.Job
	// previousState is the state before the update.
	previousState schema.State
}

func (l *Ledger) updateSized(ctx context.Context, id string, size int, f func(job *schema.Job, operation string) error) (updateResult, error) {
	var previous schema.State
	c := &change{id: id, key: jobKey(id), maxRows: maxOperationRows, maxBytes: size}
	c.apply = func(row platform.Row, operation string) (applyResult, error) {
		result, err := applyUpdate(row, id, operation, func(job *schema.Job) error {
			previous = job.State
			return f(job, operation)
		})
		job, _ := result.value.(*schema.Job)
		result.value = updateResult{job: job, previousState: previous}
		return result, err
	}
	value, err := l.committer.do(ctx, c)
	if err != nil {
		return updateResult{}, err
	}
	return value.(updateResult), nil
}

// applyUpdate applies f to an existing job row and returns the writes.
func applyUpdate(row platform.Row, id, operation string, f func(job *schema.Job) error) (applyResult, error) {
	if row.Version == 0 {
		return applyResult{}, &platform.NotFoundError{Kind: "job", Name: id}
	}
	job, err := decodeJob(row)
	if err != nil {
		return applyResult{}, err
	}
	if job.Operation == operation || job.Claim == operation {
		return applyResult{value: job}, nil
	}
	before := proto.CloneOf(job)
	if err := f(job); err != nil {
		return applyResult{}, err
	}
	if proto.Equal(before, job) {
		return applyResult{value: job}, nil
	}
	job.Operation = operation
	value, err := proto.Marshal(job)
	writes := []platform.Write{{Key: row.Key, Version: row.Version, Value: value}}
	return applyResult{value: job, writes: append(writes, indexWrites(before, job)...)}, err
}

// indexWrites returns the writes that keep the index row consistent with the
// record. An index row is written only once, so its version is 1.
func indexWrites(before, after *schema.Job) []platform.Write {
	if terminal(before.State) {
		return nil
	}
	deletion := platform.Write{Key: openKey(before.Centre, before.Id), Version: 1, Delete: true}
	switch {
	case terminal(after.State):
		return []platform.Write{deletion}
	case before.Centre != after.Centre:
		return []platform.Write{deletion, {Key: openKey(after.Centre, after.Id)}}
	default:
		return nil
	}
}

func active(job *schema.Job) bool {
	return job.State == schema.State_STATE_CLAIMED || job.State == schema.State_STATE_RUNNING
}

// refusalError returns the error for an operation that the record does not
// allow.
func refusalError(action string, job *schema.Job, attempt int32) error {
	stale := attempt < job.Attempt || attempt == job.Attempt && !active(job)
	if stale && attempt > 0 {
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
