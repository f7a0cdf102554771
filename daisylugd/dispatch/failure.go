package dispatch

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Ran tells whether refused work was run.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Types of failures that callers see. They are part of the HTTP interface.
const (
	FailureField       = "invalid_field"
	FailureSize        = "body_too_large"
	FailureNotFound    = "not_found"
	FailureConflict    = "conflict"
	FailureImpossible  = "impossible_shape"
	FailureGuarantee   = "guarantee_unavailable"
	FailureBalance     = "balance_spent"
	FailureOverload    = "overload"
	FailureDeadline    = "deadline"
	FailureUnavailable = "unavailable"
	FailureUnknown     = "outcome_unknown"
	FailureFailed      = "work_failed"
	FailureLeaving     = "shutting_down"
	FailureInternal    = "internal"
)

// Failure is an error that callers see.
type Failure struct {
	Type    string
	Message string
	// Field names the field of the request that is wrong, if one is.
	Field string
	Ran   Ran
	// Version is the version in force after a conflict.
	Version int64
	Cause   error
}

// NewFailure returns a failure of work that was not run.
func NewFailure(kind, message string) *Failure {
	return &Failure{Type: kind, Message: message, Ran: RanNo}
}

// NewFieldFailure returns a failure caused by one field of the request.
func NewFieldFailure(field, message string) *Failure {
	return &Failure{Type: FailureField, Message: message, Field: field, Ran: RanNo}
}

func (f *Failure) Error() string {
	if f.Field != "" {
		return f.Field + ": " + f.Message
	}
	return f.Message
}

func (f *Failure) Unwrap() error { return f.Cause }

// WithRan returns a copy that says whether the work was run.
func (f *Failure) WithRan(ran Ran) *Failure {
	c := *f
	c.Ran = ran
	return &c
}

// WithCause returns a copy that wraps cause.
func (f *Failure) WithCause(cause error) *Failure {
	c := *f
	c.Cause = cause
	return &c
}

// WithVersion returns a copy that carries the version in force.
func (f *Failure) WithVersion(version int64) *Failure {
	c := *f
	c.Version = version
	return &c
}

// status returns the HTTP status of a failure type.
func (f *Failure) status() int {
	switch f.Type {
	case FailureField, FailureImpossible:
		return http.StatusBadRequest
	case FailureSize:
		return http.StatusRequestEntityTooLarge
	case FailureNotFound:
		return http.StatusNotFound
	case FailureConflict:
		return http.StatusConflict
	case FailureGuarantee:
		return http.StatusUnprocessableEntity
	case FailureBalance:
		return http.StatusPaymentRequired
	case FailureOverload:
		return http.StatusTooManyRequests
	case FailureDeadline:
		return http.StatusGatewayTimeout
	case FailureUnavailable, FailureLeaving:
		return http.StatusServiceUnavailable
	case FailureUnknown, FailureFailed:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// failureReply is the body of every error answer.
type failureReply struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	Ran     Ran    `json:"ran"`
	Version int64  `json:"version,omitempty"`
}

// encodeFailure writes err as the answer to a request.
func encodeFailure(w http.ResponseWriter, _ *http.Request, err error) {
	var f *Failure
	if !errors.As(err, &f) {
		// The work may have been started by a call that failed in a way this
		// layer does not know, so it must not be reported as not run.
		f = &Failure{Type: FailureInternal, Message: err.Error(), Ran: RanUnknown}
	}
	status := merry.HTTPCode(merry.Wrap(err, merry.WithHTTPCode(f.status())))
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failureReply{Error: failureBody{
		Type:    f.Type,
		Message: f.Message,
		Field:   f.Field,
		Ran:     f.Ran,
		Version: f.Version,
	}})
}
