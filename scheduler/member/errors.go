package member

import "fmt"

// NotExecutedError reports a call whose handler has not run and will not run.
type NotExecutedError struct {
	Instance string
	Method   string
	Cause    error
}

func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("call of %s on instance %s was not run: %v", e.Method, e.Instance, e.Cause)
}

func (e *NotExecutedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a call whose handler may or may not have run.
type UnknownOutcomeError struct {
	Instance string
	Method   string
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s on instance %s is unknown: %v", e.Method, e.Instance, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RemoteError reports a call whose handler ran and returned an error.
type RemoteError struct {
	Instance string
	Method   string
	// Kind is the result of the Kind method of the handler's error, or empty.
	Kind    string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s on instance %s failed: %s", e.Method, e.Instance, e.Message)
}

// RefusedError is the cause of a NotExecutedError if the called instance refused
// the call.
type RefusedError struct {
	Kind    string
	Message string
}

func (e *RefusedError) Error() string { return e.Message }

// UnreachableError reports that there is no session with an instance.
type UnreachableError struct {
	Instance string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no session with instance %s", e.Instance)
}

// SizeError reports a message or value that exceeds its size limit.
type SizeError struct {
	Size  int
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is above the limit of %d bytes", e.Size, e.Limit)
}

// HandshakeError reports a session whose remote side is not the expected
// instance.
type HandshakeError struct {
	Address string
	Reason  string
}

func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s failed: %s", e.Address, e.Reason)
}

// PanicError reports a handler that panicked.
type PanicError struct {
	Method string
	Cause  string
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %s", e.Method, e.Cause) }
