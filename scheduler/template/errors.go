package template

import "fmt"

// FieldError reports a field whose value is missing or invalid.
type FieldError struct {
	Field string
	Cause string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s %s", e.Field, e.Cause)
}

// ConflictError reports a change based on a version that is not current.
type ConflictError struct {
	Kind string
	Name string
	// ExpectedVersion is the version that the change was based on.
	ExpectedVersion int64
	// Version is the current version; 0 if there is none.
	Version int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s is at version %d, not %d", e.Kind, e.Name, e.Version, e.ExpectedVersion)
}

// InfeasibleError reports guarantees that exceed the capacity of the machines.
type InfeasibleError struct {
	Cause error
}

func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("guarantees cannot be held: %v", e.Cause)
}

func (e *InfeasibleError) Unwrap() error { return e.Cause }

// NotWrittenError reports a change that was abandoned and never takes effect.
type NotWrittenError struct {
	Key   string
	Cause error
}

func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("%s was not written: %v", e.Key, e.Cause)
}

func (e *NotWrittenError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a change that may have taken effect.
type UnknownOutcomeError struct {
	Key       string
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s on %s is unknown: %v", e.Operation, e.Key, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RecordError reports a stored record that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s is unreadable: %v", e.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// StaleError reports a read that is older than an earlier read or inconsistent
// with it.
type StaleError struct {
	Key string
	// Version is the version read, Known a version known to exist.
	Version int64
	Known   int64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("read of %s at version %d does not fit version %d", e.Key, e.Version, e.Known)
}
