package console

import (
	"errors"
	"fmt"
	"strings"
)

var (
	errLarge      = errors.New("it is too large")
	errIncomplete = errors.New("the answer is incomplete")
	errForeign    = errors.New("it has no daisylug error body")
)

// NoResponseError reports an attempt without a complete answer.
type NoResponseError struct {
	// Sent is set if a part of the request may have been sent.
	Sent  bool
	Cause error
}

func (e *NoResponseError) Error() string { return e.Cause.Error() }
func (e *NoResponseError) Unwrap() error { return e.Cause }

// InvalidResponseError reports an answer that does not follow the HTTP interface.
type InvalidResponseError struct {
	Status int
	Cause  error
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("unexpected answer with status %d: %v", e.Status, e.Cause)
}

func (e *InvalidResponseError) Unwrap() error { return e.Cause }
func (e *InvalidResponseError) exit() int     { return ExitFault }
func (e *InvalidResponseError) kind() string  { return typeInternal }
func (e *InvalidResponseError) ran() string   { return ranUnknown }

// AttemptsError groups the errors of all servers that were tried.
type AttemptsError struct {
	servers []server
	errors  []error
	// uncertain is set if a failed attempt may have been carried out.
	uncertain bool
}

func (e *AttemptsError) add(s server, err error) {
	e.servers = append(e.servers, s)
	e.errors = append(e.errors, err)
	var lost *NoResponseError
	var refused *APIError
	switch {
	case errors.As(err, &lost):
		e.uncertain = e.uncertain || lost.Sent
	case errors.As(err, &refused):
		e.uncertain = e.uncertain || refused.Execution != ranNo
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

// outcome returns the error of the whole call. The answer of the last attempt
// decides, unless an earlier one may have been carried out.
func (e *AttemptsError) outcome(q call) error {
	last := e.errors[len(e.errors)-1]
	var lost *NoResponseError
	if errors.As(last, &lost) {
		return e.unanswered(q)
	}
	if q.reads() {
		return notRun(last)
	}
	if len(e.errors) > 1 && e.uncertain {
		return &UnknownOutcomeError{Cause: e}
	}
	return last
}

// notRun drops the doubt from the refusal of a read, which changes nothing.
func notRun(err error) error {
	var refused *APIError
	if !errors.As(err, &refused) {
		return err
	}
	c := *refused
	c.Execution = ranNo
	return &c
}

func (e *AttemptsError) unanswered(q call) error {
	if e.uncertain && !q.reads() {
		return &UnknownOutcomeError{Cause: e}
	}
	return &UnreachableError{Cause: e}
}
