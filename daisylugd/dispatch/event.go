package dispatch

import "fmt"

// Messages of log lines that report events.
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

// Names of the methods that instances call on each other.
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

// MessageError reports a message from another instance that cannot be decoded.
type MessageError struct {
	Kind  string
	Cause error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("message %s: %v", e.Kind, e.Cause)
}

func (e *MessageError) Unwrap() error { return e.Cause }

// NotOwnerError reports a call to an instance that does not hold the required
// role.
type NotOwnerError struct {
	Role string
}

func (e *NotOwnerError) Error() string { return "this instance is not " + e.Role }

// Kind returns the error code that is sent to the calling instance.
func (e *NotOwnerError) Kind() string { return "role" }
