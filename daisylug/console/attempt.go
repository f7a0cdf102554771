package console

import (
	"errors"
	"fmt"
	"strings"
)

var (
	errTooLarge    = errors.New("the body is too large")
	errIncomplete  = errors.New("the body is incomplete or not valid JSON")
	errNoErrorBody = errors.New("the body is not a daisylug error")
)

// NoResponseError reports an attempt that received no complete response.
type NoResponseError struct {
	// Sent is set if any part of the request may have been sent.
	Sent  bool
	Cause error
}

func (e *NoResponseError) Error() string { return e.Cause.Error() }
func (e *NoResponseError) Unwrap() error { return e.Cause }

// InvalidResponseError reports a response that does not conform to the HTTP API.
type InvalidResponseError struct {
	Status int
	Cause  error
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("unexpected response with status %d: %v", e.Status, e.Cause)
}

func (e *InvalidResponseError) Unwrap() error { return e.Cause }
func (e *InvalidResponseError) exit() int     { return ExitFault }
func (e *InvalidResponseError) kind() string  { return typeInternal }
func (e *InvalidResponseError) ran() string   { return ranUnknown }

// AttemptsError collects the error of each server that was tried.
type AttemptsError struct {
	servers []server
	errors  []error
	// mayHaveRun is set if the server may have executed a failed attempt.
	mayHaveRun bool
}

func (e *AttemptsError) add(s server, err error) {
	e.servers = append(e.servers, s)
	e.errors = append(e.errors, err)
	var noResponse *NoResponseError
	var apiErr *APIError
	switch {
	case errors.As(err, &noResponse):
		e.mayHaveRun = e.mayHaveRun || noResponse.Sent
	case errors.As(err, &apiErr):
		e.mayHaveRun = e.mayHaveRun || apiErr.Execution != ranNo
	}
}

func (e *AttemptsError) Error() string {
	lines := make([]string, len(e.errors))
	for i, err := range e.errors {
		lines[i] = e.servers[i].base + ": " + err.Error()
	}
	return strings.Join(lines, "; ")
}

func (e *AttemptsError) Unwrap() []error { return e.errors }

// finalError returns the error of the whole call. The last attempt decides,
// unless the server may have executed an earlier one.
func (e *AttemptsError) finalError(q call) error {
	last := e.errors[len(e.errors)-1]
	var noResponse *NoResponseError
	if errors.As(last, &noResponse) {
		return e.unansweredError(q)
	}
	if q.readOnly() {
		return markNotRun(last)
	}
	if len(e.errors) > 1 && e.mayHaveRun {
		return &UnknownOutcomeError{Cause: e}
	}
	return last
}

// markNotRun sets the execution of a refused read to no, because a read changes
// nothing.
func markNotRun(err error) error {
	var apiErr *APIError
	if !errors.As(err, &apiErr) {
		return err
	}
	result := *apiErr
	result.Execution = ranNo
	return &result
}

func (e *AttemptsError) unansweredError(q call) error {
	if e.mayHaveRun && !q.readOnly() {
		return &UnknownOutcomeError{Cause: e}
	}
	return &UnreachableError{Cause: e}
}
