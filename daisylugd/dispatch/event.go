package dispatch

import "fmt"

// Events in the log.
const (
	EventStart           = "instance started"
	EventReady           = "instance ready"
	EventDrain           = "instance draining"
	EventStop            = "instance stopped"
	EventAccept          = "job accepted"
	EventLaunch          = "job started"
	EventRefuse          = "job refused"
	EventEvict           = "job evicted"
	EventRequeue         = "job queued again"
	EventFinish          = "job ended"
	EventUnknown         = "job outcome unknown"
	EventCancel          = "jobs cancelled"
	EventOrphan          = "claimed job is on no worker"
	EventPlannerAcquired = "planner role taken"
	EventPlannerReleased = "planner role given up"
	EventConfig          = "configuration in force"
	EventQuarantine      = "worker state changed"
	EventBalance         = "balance changed"
	EventRetry           = "will try again"
)

// Methods of calls between instances.
const (
	MethodOffer    = "offer"
	MethodLaunch   = "launch"
	MethodEvict    = "evict"
	MethodHalt     = "halt"
	MethodWithdraw = "withdraw"
	MethodEnded    = "ended"
	MethodSnapshot = "snapshot"
	MethodStatus   = "status"
	MethodQuote    = "quote"
)

// MessageError reports a message from another instance that cannot be read.
type MessageError struct {
	Kind  string
	Cause error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("message %s: %v", e.Kind, e.Cause)
}

func (e *MessageError) Unwrap() error { return e.Cause }

// NotOwnerError reports a call to an instance that does not hold the role.
type NotOwnerError struct {
	Role string
}

func (e *NotOwnerError) Error() string { return "this instance is not " + e.Role }

// Kind names the error to the calling instance.
func (e *NotOwnerError) Kind() string { return "role" }
