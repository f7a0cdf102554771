package dispatch

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Execution tells whether the work of a failed request was run.
type Execution string

// Values of Execution.
const (
	NotExecuted      Execution = "no"
	Executed         Execution = "yes"
	ExecutionUnknown Execution = "unknown"
)

// Error types in HTTP responses. They are part of the HTTP interface.
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

// APIError is an error that is returned to HTTP clients.
type APIError struct {
	Type    string
	Message string
	// Field names the invalid field of the request, if any.
	Field     string
	Execution Execution
	// Version is the current version, after a conflict.
	Version int64
	Cause   error
}

// NewAPIError returns an error for work that was not run.
func NewAPIError(kind, message string) *APIError {
	return &APIError{Type: kind, Message: message, Execution: NotExecuted}
}

// NewFieldError returns an error for an invalid field of the request.
func NewFieldError(field, message string) *APIError {
	return &APIError{Type: TypeField, Message: message, Field: field, Execution: NotExecuted}
}

func (e *APIError) Error() string {
	if e.Field != "" {
		return e.Field + ": " + e.Message
	}
	return e.Message
}

func (e *APIError) Unwrap() error { return e.Cause }

// WithExecution returns a copy that says whether the work was run.
func (e *APIError) WithExecution(execution Execution) *APIError {
	c := *e
	c.Execution = execution
	return &c
}

// WithCause returns a copy that wraps cause.
func (e *APIError) WithCause(cause error) *APIError {
	c := *e
	c.Cause = cause
	return &c
}

// WithVersion returns a copy that carries the current version.
func (e *APIError) WithVersion(version int64) *APIError {
	c := *e
	c.Version = version
	return &c
}

// status returns the HTTP status code of the error.
func (e *APIError) status() int {
	switch e.Type {
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

// errorReply is the body of every error response.
type errorReply struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Type      string    `json:"type"`
	Message   string    `json:"message"`
	Field     string    `json:"field,omitempty"`
	Execution Execution `json:"ran"`
	Version   int64     `json:"version,omitempty"`
}

// encodeError writes err as the HTTP response.
func encodeError(w http.ResponseWriter, _ *http.Request, err error) {
	var apiErr *APIError
	if !errors.As(err, &apiErr) {
		// An error of unknown type may come from a call that started the work,
		// so it must not be reported as not run.
		apiErr = &APIError{Type: TypeInternal, Message: err.Error(), Execution: ExecutionUnknown}
	}
	status := merry.HTTPCode(merry.Wrap(err, merry.WithHTTPCode(apiErr.status())))
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Error: errorBody{
		Type:      apiErr.Type,
		Message:   apiErr.Message,
		Field:     apiErr.Field,
		Execution: apiErr.Execution,
		Version:   apiErr.Version,
	}})
}
