package dispatch

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Execution tells whether refused work was run.
type Execution string

// Values of Ran.
const (
	NotExecuted      Execution = "no"
	Executed         Execution = "yes"
	ExecutionUnknown Execution = "unknown"
)

// Types of errors that callers see. They are part of the HTTP interface.
const (
	TypeField          = "invalid_field"
	TypeSize           = "body_too_large"
	TypeNotFound       = "not_found"
	TypeConflict       = "conflict"
	TypeImpossible     = "impossible_shape"
	TypeGuarantee      = "guarantee_unavailable"
	TypeBalance        = "balance_spent"
	TypeOverload       = "overload"
	TypeDeadline       = "deadline"
	TypeUnavailable    = "unavailable"
	TypeOutcomeUnknown = "outcome_unknown"
	TypeFailed         = "work_failed"
	TypeLeaving        = "shutting_down"
	TypeInternal       = "internal"
)

// APIError is an error that callers see.
type APIError struct {
	Type    string
	Message string
	// Field names the field of the request that is wrong, if one is.
	Field     string
	Execution Execution
	// Version is the version in force after a conflict.
	Version int64
	Cause   error
}

// NewAPIError returns the error of work that was not run.
func NewAPIError(kind, message string) *APIError {
	return &APIError{Type: kind, Message: message, Execution: NotExecuted}
}

// NewFieldError returns an error caused by one field of the request.
func NewFieldError(field, message string) *APIError {
	return &APIError{Type: TypeField, Message: message, Field: field, Execution: NotExecuted}
}

func (f *APIError) Error() string {
	if f.Field != "" {
		return f.Field + ": " + f.Message
	}
	return f.Message
}

func (f *APIError) Unwrap() error { return f.Cause }

// WithExecution returns a copy that says whether the work was run.
func (f *APIError) WithExecution(ran Execution) *APIError {
	c := *f
	c.Execution = ran
	return &c
}

// WithCause returns a copy that wraps cause.
func (f *APIError) WithCause(cause error) *APIError {
	c := *f
	c.Cause = cause
	return &c
}

// WithVersion returns a copy that carries the version in force.
func (f *APIError) WithVersion(version int64) *APIError {
	c := *f
	c.Version = version
	return &c
}

// status returns the HTTP status of the error.
func (f *APIError) status() int {
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
	case TypeOutcomeUnknown, TypeFailed:
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
	Type    string    `json:"type"`
	Message string    `json:"message"`
	Field   string    `json:"field,omitempty"`
	Ran     Execution `json:"ran"`
	Version int64     `json:"version,omitempty"`
}

// encodeError writes err as the answer to a request.
func encodeError(w http.ResponseWriter, _ *http.Request, err error) {
	var f *APIError
	if !errors.As(err, &f) {
		// The work may have been started by a call that failed in a way this
		// layer does not know, so it must not be reported as not run.
		f = &APIError{Type: TypeInternal, Message: err.Error(), Execution: ExecutionUnknown}
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
		Ran:     f.Execution,
		Version: f.Version,
	}})
}
