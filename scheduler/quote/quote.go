// Package quote serves quick requests: admission, queueing, routing to workers,
// retries within a budget, replacement of unresponsive connections, and
// draining.
//
// Router assigns requests to workers and works with any platform.Fleet. Pool is
// a platform.Fleet over connections that it probes and replaces.
package quote

import (
	"context"
	"fmt"
	"time"

	"daisylug.example/scheduler/platform"
)

// Class is the latency class of a request.
type Class string

// Classes, most urgent first.
const (
	ClassQuick      Class = "quick"
	ClassPlanned    Class = "planned"
	ClassBackground Class = "background"
)

// Request is a quick request from a caller.
type Request struct {
	// ID identifies the request in claims and answers.
	ID       string
	Team     string
	Template string
	// Class defaults to ClassQuick.
	Class Class
	// Deadline is the time after which an answer is of no use. The context's
	// deadline applies if it is earlier or if this one is zero. No request
	// takes more than a minute.
	Deadline time.Time
	// Idempotent marks a request that may run more than once.
	Idempotent bool
	// Forwarded marks a request from another data centre's router. It is not
	// forwarded again.
	Forwarded bool
	Payload   []byte
}

// Answer is the verified answer to a request.
type Answer struct {
	// Worker is the name of the worker that ran the request.
	Worker string
	// Failed is set if the request ran and failed.
	Failed  bool
	Content []byte
	// Attempts is the number of times the request was sent.
	Attempts int
}

// Execution states whether a refused request has run.
type Execution string

// Values of Execution.
const (
	NotExecuted      Execution = "no"
	Executed         Execution = "yes"
	ExecutionUnknown Execution = "unknown"
)

// Reason states why a request was refused.
type Reason string

// Values of Reason.
const (
	// ReasonInvalid: the request lacks an id or names an unknown class.
	ReasonInvalid Reason = "invalid"
	// ReasonDraining: the instance is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonOverload: requests of the class or team are shed.
	ReasonOverload Reason = "overload"
	// ReasonDeadline: the deadline cannot be met or has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoWorkers: no worker is available to this instance.
	ReasonNoWorkers Reason = "workers"
	// ReasonClaim: the claim of a non-idempotent request was not recorded.
	ReasonClaim Reason = "claim"
	// ReasonDuplicate: a non-idempotent request was claimed before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonBudget: the retry budget of the team or instance is used up.
	ReasonBudget Reason = "budget"
	// ReasonResponseLost: the answer was lost and the request is not sent again.
	ReasonResponseLost Reason = "lost"
	// ReasonCancelled: the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
	// ReasonForward: the other data centre did not answer.
	ReasonForward Reason = "forward"
)

// RefusedError reports a request that ended without an answer.
type RefusedError struct {
	Reason Reason
	// Execution is NotExecuted only if nothing was sent, or if each worker that
	// the request was sent to has confirmed that the attempt has not started
	// and never will.
	Execution Execution
	Cause     error
}

func (e *RefusedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("request refused: %s (ran: %s)", e.Reason, e.Execution)
	}
	return fmt.Sprintf("request refused: %s (ran: %s): %v", e.Reason, e.Execution, e.Cause)
}

func (e *RefusedError) Unwrap() error { return e.Cause }

// Team holds the scheduling settings of a team.
type Team struct {
	Name string
	// Weight is the share of capacity relative to other teams; at least 1.
	Weight int
	// Guarantee is the number of quick slots in the data centre that are always
	// available to the team, over all instances.
	Guarantee int
}

// View is the instance's current view of its data centre. Its methods do not
// block; they are called every Options.RefreshInterval. The returned slices are
// not modified afterwards.
type View interface {
	// Workers returns the live and leaving workers of the instance's data
	// centre.
	Workers() []platform.WorkerInfo

	// Instances returns the live instances that share these workers,
	// including this one.
	Instances() []platform.Instance

	// Teams returns the teams with their weights and guarantees. A team that
	// is not listed has weight 1 and no guarantee.
	Teams() []Team
}

// Claimer keeps a durable record of non-idempotent requests.
type Claimer interface {
	// Claim records that the request is about to be sent. It returns
	// *platform.ConflictError if the request was claimed before. After any
	// error the request is not sent.
	Claim(ctx context.Context, id string) error

	// Finish records the outcome of a claimed request. NotExecuted releases the
	// claim; ExecutionUnknown keeps it permanently.
	Finish(ctx context.Context, id string, ran Execution) error
}

// Forwarder sends a request to the router of another data centre.
type Forwarder interface {
	// Forward returns the other router's answer or its *RefusedError. It
	// returns *platform.UnavailableError if nothing was sent. It does not
	// retry.
	Forward(ctx context.Context, r Request) (Answer, error)
}

// Dialer opens connections to workers.
type Dialer interface {
	Dial(ctx context.Context, worker platform.WorkerInfo) (Conn, error)
}

// Conn is one connection to a worker; it carries one call at a time. Calls
// return soon after their context is done or Close is called. The methods
// follow the contract of platform.Worker.
type Conn interface {
	Run(ctx context.Context, r platform.Request) (platform.Answer, error)
	Revoke(ctx context.Context, ref platform.RequestRef) (platform.Outcome, error)
	Probe(ctx context.Context) (platform.Load, error)
	Close() error
}
