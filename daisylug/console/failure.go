package console

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Exit codes of the command. They are part of its public interface.
const (
	ExitOK             = 0
	ExitFault          = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitUnknownOutcome = 4
	ExitConflict       = 5
	ExitUnreachable    = 6
	ExitFailed         = 7
	ExitTimeout        = 8
	ExitNotFound       = 9
	ExitDiffers        = 10
	ExitCancelled      = 11
	ExitInterrupted    = 130
)

// exitMeaning describes one exit code in the help text and the man page.
type exitMeaning struct {
	code int
	text string
}

var exitMeanings = []exitMeaning{
	{ExitOK, "success"},
	{ExitFault, "a fault in daisylug, or output that cannot be written"},
	{ExitUsage, "wrong arguments or an unreadable input file; nothing was sent"},
	{ExitRefused, "refused, and not run"},
	{ExitUnknownOutcome, "the outcome is unknown: the work or change may have been carried out"},
	{ExitConflict, "conflict: another change came first, or the key was used for other content"},
	{ExitUnreachable, "no server could be reached; nothing was run or changed"},
	{ExitFailed, "the work ran and failed"},
	{ExitTimeout, "still pending when the time to wait had passed"},
	{ExitNotFound, "no such job, team or template"},
	{ExitDiffers, "diff or config check found differences"},
	{ExitCancelled, "the job was cancelled"},
	{ExitInterrupted, "interrupted by a signal"},
}

// Values of the field ran of an error, which tells whether the work was run.
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// Error types of the HTTP API that the command handles specially.
const (
	typeConflict       = "conflict"
	typeNotFound       = "not_found"
	typeOverload       = "overload"
	typeUnavailable    = "unavailable"
	typeShuttingDown   = "shutting_down"
	typeOutcomeUnknown = "outcome_unknown"
	typeInternal       = "internal"
)

// Error types for failures that the command itself detects.
const (
	typeUsage       = "usage"
	typeUnreachable = "unreachable"
	typeWorkFailed  = "work_failed"
	typePending     = "pending"
	typeDiffers     = "differs"
	typeCancelled   = "cancelled"
	typeInterrupted = "interrupted"
)

// failure is an error that determines the exit code and the JSON error.
type failure interface {
	error
	exit() int
	// kind and ran return the fields type and ran of the JSON error.
	kind() string
	ran() string
}

// exitCode returns the exit code for err. An error that is not a failure is an
// internal fault.
func exitCode(err error) int {
	var f failure
	if errors.As(err, &f) {
		return f.exit()
	}
	return ExitFault
}

// UsageError reports invalid arguments or unreadable input.
type UsageError struct {
	Cause error
}

func usageError(cause error) *UsageError { return &UsageError{Cause: cause} }

func (e *UsageError) Error() string { return e.Cause.Error() }
func (e *UsageError) Unwrap() error { return e.Cause }
func (e *UsageError) exit() int     { return ExitUsage }
func (e *UsageError) kind() string  { return typeUsage }
func (e *UsageError) ran() string   { return ranNo }

// APIError is the error in the body of an instance's response.
type APIError struct {
	Status    int    `json:"-"`
	Type      string `json:"type"`
	Message   string `json:"message"`
	Field     string `json:"field,omitempty"`
	Execution string `json:"ran"`
	Version   int64  `json:"version,omitempty"`
}

func (e *APIError) Error() string {
	var b strings.Builder
	b.WriteString(e.Type + ": ")
	if e.Field != "" {
		b.WriteString(e.Field + " ")
	}
	b.WriteString(e.Message)
	if e.Version > 0 {
		fmt.Fprintf(&b, "; version %d is in force", e.Version)
	}
	if e.Execution != "" {
		b.WriteString(" (ran: " + e.Execution + ")")
	}
	return b.String()
}

func (e *APIError) kind() string { return e.Type }
func (e *APIError) ran() string  { return e.Execution }

func (e *APIError) exit() int {
	switch {
	case e.Type == typeWorkFailed:
		return ExitFailed
	case e.Type == typeOutcomeUnknown || e.Execution != ranNo:
		return ExitUnknownOutcome
	case e.Type == typeInternal:
		return ExitFault
	case e.Type == typeConflict:
		return ExitConflict
	case e.Type == typeNotFound:
		return ExitNotFound
	default:
		return ExitRefused
	}
}

// UnreachableError reports that no server answered and that nothing was changed.
type UnreachableError struct {
	Cause error
}

func (e *UnreachableError) Error() string { return "no server could be reached: " + e.Cause.Error() }
func (e *UnreachableError) Unwrap() error { return e.Cause }
func (e *UnreachableError) exit() int     { return ExitUnreachable }
func (e *UnreachableError) kind() string  { return typeUnreachable }
func (e *UnreachableError) ran() string   { return ranNo }

// UnknownOutcomeError reports a call that may have been executed and whose
// outcome is not known.
type UnknownOutcomeError struct {
	Cause error
}

func (e *UnknownOutcomeError) Error() string { return "the outcome is unknown: " + e.Cause.Error() }
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
func (e *UnknownOutcomeError) exit() int     { return ExitUnknownOutcome }
func (e *UnknownOutcomeError) kind() string  { return typeOutcomeUnknown }
func (e *UnknownOutcomeError) ran() string   { return ranUnknown }

// InterruptedError reports a command that was ended by a signal.
type InterruptedError struct {
	Cause error
}

func (e *InterruptedError) Error() string {
	if errors.Is(e.Cause, context.Canceled) {
		return "interrupted"
	}
	return "interrupted: " + e.Cause.Error()
}

func (e *InterruptedError) Unwrap() error { return e.Cause }
func (e *InterruptedError) exit() int     { return ExitInterrupted }
func (e *InterruptedError) kind() string  { return typeInterrupted }
func (e *InterruptedError) ran() string   { return ranUnknown }

// WaitTimeoutError reports that an awaited event did not occur within the time
// limit.
type WaitTimeoutError struct {
	What   string
	Waited time.Duration
}

func (e *WaitTimeoutError) Error() string {
	return fmt.Sprintf("%s after %v", e.What, e.Waited.Round(time.Millisecond))
}

func (e *WaitTimeoutError) exit() int    { return ExitTimeout }
func (e *WaitTimeoutError) kind() string { return typePending }
func (e *WaitTimeoutError) ran() string  { return ranUnknown }

// DiffersError reports that objects in a file differ from the configuration in
// force.
type DiffersError struct {
	Count int
}

func (e *DiffersError) Error() string {
	return fmt.Sprintf("objects in the file that differ from what is in force: %d", e.Count)
}
func (e *DiffersError) exit() int    { return ExitDiffers }
func (e *DiffersError) kind() string { return typeDiffers }
func (e *DiffersError) ran() string  { return ranNo }
