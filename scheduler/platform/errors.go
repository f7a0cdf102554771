package platform

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError reports rows that are not at the expected version.
type ConflictError struct {
	Keys []string `json:"keys"`
}

func (e *ConflictError) Error() string {
	return "version conflict on " + strings.Join(e.Keys, ", ")
}

// UnavailableError reports a call that the service did not carry out.
type UnavailableError struct {
	Service string `json:"service"`
	Cause   error  `json:"-"`
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return e.Service + " is unavailable"
	}
	return fmt.Sprintf("%s is unavailable: %v", e.Service, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a call that may or may not have taken effect.
type UnknownOutcomeError struct {
	Service string `json:"service"`
	Cause   error  `json:"-"`
}

func (e *UnknownOutcomeError) Error() string {
	if e.Cause == nil {
		return "outcome of the call to " + e.Service + " is unknown"
	}
	return fmt.Sprintf("outcome of the call to %s is unknown: %v", e.Service, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotFoundError reports an object of some kind that does not exist.
type NotFoundError struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q not found", e.Kind, e.Name)
}

// DeniedError reports a command under a superseded generation.
type DeniedError struct {
	Worker string `json:"worker"`
	// Generation is the generation that the worker has adopted.
	Generation Generation `json:"generation"`
	// Deadline is the end of the lease in force, or zero if unknown. It shows
	// whether the holder still renews the lease.
	Deadline time.Time `json:"deadline,omitzero"`
}

func (e *DeniedError) Error() string {
	return fmt.Sprintf("worker %s obeys generation %d of %s", e.Worker, e.Generation.Number, e.Generation.Holder)
}

// BusyError reports a worker without free capacity for the work. Nothing was
// started.
type BusyError struct {
	Worker string `json:"worker"`
	Load   Load   `json:"load"`
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("worker %s is full", e.Worker)
}

// LeavingError reports a worker that takes no new work. Nothing was started.
type LeavingError struct {
	Worker string `json:"worker"`
}

func (e *LeavingError) Error() string {
	return fmt.Sprintf("worker %s is leaving", e.Worker)
}
