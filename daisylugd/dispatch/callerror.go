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

// Types of errors that callers see. They are part of the HTTP interface.
const (
	TypeField       = "invalid_field"
	TypeSize        = "body_too_large"
	TypeNotFound    = "not_found"
	TypeConflict    = "conflict"
	TypeImpossible  = "impossible_shape"
	TypeGuarantee   = "guarantee_unavailable"
	TypeBalance     = "balance_spent"
	TypeOverload    = "overload"
	TypeDeadline    = "deadline"
	TypeUnavailable = "unavailable"
	TypeUnknown     = "outcome_unknown"
	TypeFailed      = "work_failed"
	TypeLeaving     = "shutting_down"
	TypeInternal    = "internal"
)

// CallError is an error that callers see.
type CallError struct {
	Type    string
	Message string
	// Field names the field of the request that is wrong, if one is.
	Field string
	Ran   Ran
	// Version is the version in force after a conflict.
	Version int64
	Cause   error
}

// NewCallError returns the error of work that was not run.
func NewCallError(kind, message string) *CallError {
	return &CallError{Type: kind, Message: message, Ran: RanNo}
}

// NewFieldError returns an error caused by one field of the request.
func NewFieldError(field, message string) *CallError {
	return &CallError{Type: TypeField, Message: message, Field: field, Ran: RanNo}
}

func (f *CallError) Error() string {
	if f.Field != "" {
		return f.Field + ": " + f.Message
	}
	return f.Message
}

func (f *CallError) Unwrap() error { return f.Cause }

// WithRan returns a copy that says whether the work was run.
func (f *CallError) WithRan(ran Ran) *CallError {
	c := *f
	c.Ran = ran
	return &c
}

// WithCause returns a copy that wraps cause.
func (f *CallError) WithCause(cause error) *CallError {
	c := *f
	c.Cause = cause
	return &c
}

// WithVersion returns a copy that carries the version in force.
func (f *CallError) WithVersion(version int64) *CallError {
	c := *f
	c.Version = version
	return &c
}

// status returns the HTTP status of the error.
func (f *CallError) status() int {
	switch f.Type {
	case TypeField, TypeImpossible:
		return http.StatusBadRequest
	case TypeSize:
		return http.StatusRequestEntityTooLarge
	case TypeNotFound:
		return http.StatusNotFound
	case TypeConflict:
		return http.StatusConflict
	case TypeGuarantee:
		return http.StatusUnprocessableEntity
	case TypeBalance:
		return http.StatusPaymentRequired
	case TypeOverload:
		return http.StatusTooManyRequests
	case TypeDeadline:
		return http.StatusGatewayTimeout
	case TypeUnavailable, TypeLeaving:
		return http.StatusServiceUnavailable
	case TypeUnknown, TypeFailed:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// errorReply is the body of every error answer.
type errorReply struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	Ran     Ran    `json:"ran"`
	Version int64  `json:"version,omitempty"`
}

// encodeError writes err as the answer to a request.
func encodeError(w http.ResponseWriter, _ *http.Request, err error) {
	var f *CallError
	if !errors.As(err, &f) {
		// The work may have been started by a call that failed in a way this
		// layer does not know, so it must not be reported as not run.
		f = &CallError{Type: TypeInternal, Message: err.Error(), Ran: RanUnknown}
	}
	status := merry.HTTPCode(merry.Wrap(err, merry.WithHTTPCode(f.status())))
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Error: errorBody{
		Type:    f.Type,
		Message: f.Message,
		Field:   f.Field,
		Ran:     f.Ran,
		Version: f.Version,
	}})
}
