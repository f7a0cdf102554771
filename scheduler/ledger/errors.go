package ledger

import (
	"errors"
	"fmt"
	"strings"

	"daisylug.example/scheduler/schema"
)

// NotWrittenError reports an operation that was abandoned before anything was
// written. None of it will be written later.
type NotWrittenError struct {
	ID    string
	Cause error
}

func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("%s was not written: %v", e.ID, e.Cause)
}

func (e *NotWrittenError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports an operation that may have been written already
// or may still be written.
type UnknownOutcomeError struct {
	ID string
	// Operation is the ID to compare with the operation IDs in the record.
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s on %s is unknown: %v", e.Operation, e.ID, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// FullError reports that too many operations, or too many bytes, wait for the
// table.
type FullError struct {
	Operations int
	Bytes      int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d operations with %d bytes already wait for the table", e.Operations, e.Bytes)
}

// IdempotencyConflictError reports an idempotency key that was used before with
// different content.
type IdempotencyConflictError struct {
	ID     string
	Team   string
	Key    string
	Fields []string
}

func (e *IdempotencyConflictError) Error() string {
	return fmt.Sprintf("key %q of team %s was used before with a different %s", e.Key, e.Team, strings.Join(e.Fields, ", "))
}

// FieldError reports a field whose value is missing or invalid.
type FieldError struct {
	Field string
	Cause string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s %s", e.Field, e.Cause)
}

// StaleAttemptError reports an operation for an attempt that has ended. A
// result that came with it is dropped and may be acknowledged to the worker.
type StaleAttemptError struct {
	ID      string
	Attempt int32
	// Current and State are those of the record.
	Current int32
	State   schema.State
}

func (e *StaleAttemptError) Error() string {
	return fmt.Sprintf("attempt %d of job %s is over: the job is %s in attempt %d", e.Attempt, e.ID, stateName(e.State), e.Current)
}

// StateError reports an operation that the state of the job does not allow.
type StateError struct {
	ID      string
	Action  string
	Attempt int32
	// Current and State are those of the record.
	Current int32
	State   schema.State
}

func (e *StateError) Error() string {
	return fmt.Sprintf("cannot %s attempt %d of job %s: it is %s in attempt %d", e.Action, e.Attempt, e.ID, stateName(e.State), e.Current)
}

// NotRetryableError refuses to requeue a job that is not idempotent and may
// have run.
type NotRetryableError struct {
	ID string
}

func (e *NotRetryableError) Error() string {
	return fmt.Sprintf("job %s is not idempotent and may have run", e.ID)
}

// ClaimedError reports a quick request that another call has claimed and not
// finished. It is unknown whether the request ran.
type ClaimedError struct {
	ID     string
	Holder string
}

func (e *ClaimedError) Error() string {
	return fmt.Sprintf("request %s is claimed by %s", e.ID, e.Holder)
}

// RecordError reports a stored record or object that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s is unreadable: %v", e.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// WriteStatus reports whether an operation that returned err was written:
// "yes", "no" or "unknown".
func WriteStatus(err error) string {
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		return "yes"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return "no"
	}
}

func stateName(s schema.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}
