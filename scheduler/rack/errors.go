package rack

import (
	"fmt"

	"daisylug.example/scheduler/platform"
)

// Execution indicates whether a rejected or failed gang has run.
type Execution string

// Values of Execution.
const (
	NotExecuted      Execution = "no"
	Executed         Execution = "yes"
	ExecutionUnknown Execution = "unknown"
)

// NotOwnerError reports an action on a rack that the instance does not own.
// Nothing was sent to a worker.
type NotOwnerError struct {
	Rack string
	// Generation is the generation in force, if known.
	Generation platform.Generation
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("instance does not own rack %s, generation %d of %s is in force",
		e.Rack, e.Generation.Number, e.Generation.Holder)
}

// OwnershipLostError is returned by Owner.Run when a worker obeys a higher
// generation.
type OwnershipLostError struct {
	Rack string
	Own  platform.Generation
	// Denied is the error with which the worker denied the command or claim.
	Denied *platform.DeniedError
}

func (e *OwnershipLostError) Error() string {
	return fmt.Sprintf("rack %s is lost under generation %d: %v", e.Rack, e.Own.Number, e.Denied)
}

func (e *OwnershipLostError) Unwrap() error { return e.Denied }

// UnreachableError reports a rack none of whose workers answers.
type UnreachableError struct {
	Rack string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no worker of rack %s answers", e.Rack)
}

// LeaseError reports a command to a worker whose command lease has ended. Nothing
// was sent to the worker.
type LeaseError struct {
	Worker string
}

func (e *LeaseError) Error() string {
	return fmt.Sprintf("command lease on worker %s has ended", e.Worker)
}

// StartError reports a gang that is not running after a call to Start.
type StartError struct {
	Job     string
	Attempt int
	Worker  string
	// Execution is NotExecuted if no member has run, Executed if some have, and
	// ExecutionUnknown if some may have run. Members that may run are stopped
	// by this owner or, after it lost the rack, by the next owner, unless the
	// next owner finds the gang complete and adopts it.
	Execution Execution
	Cause     error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("attempt %d of job %s did not start on worker %s (ran: %s): %v",
		e.Attempt, e.Job, e.Worker, e.Execution, e.Cause)
}

func (e *StartError) Unwrap() error { return e.Cause }

// StopError reports a gang with members that could not be stopped yet. The owner
// continues to stop them.
type StopError struct {
	Job   string
	Cause error
}

func (e *StopError) Error() string {
	return fmt.Sprintf("job %s is not stopped yet: %v", e.Job, e.Cause)
}

func (e *StopError) Unwrap() error { return e.Cause }

// EndedError reports a gang that completed with all results before it could be
// stopped. Its outcome is delivered.
type EndedError struct {
	Job     string
	Attempt int
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("attempt %d of job %s has ended by itself", e.Attempt, e.Job)
}

// RequestError reports an invalid gang request.
type RequestError struct {
	Field  string
	Reason string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("gang request: %s %s", e.Field, e.Reason)
}

// DuplicateError reports a job that already has an attempt on the rack.
type DuplicateError struct {
	Job     string
	Attempt int
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("attempt %d of job %s is on the rack", e.Attempt, e.Job)
}
