package platform

import (
	"context"
	"fmt"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// Runner is the client of a worker that runs tasks under one lease. The worker
// accepts only orders under the highest generation that it has seen. Lease
// deadlines are on the worker's own clock, which starts at an arbitrary value.
// The durations that the methods return are readings of that clock.
type Runner interface {
	// Start starts a run of a task. It succeeds if the run is already in
	// progress. The errors are *FencedError, *StaleRunError,
	// *LeaseExpiredError, *NoCapacityError, *TicketError, *UnhealthyError,
	// *RestartedError, *RejectedError, *UnavailableError and
	// *UnknownOutcomeError.
	Start(ctx context.Context, s StartRequest) (time.Duration, error)

	// Stop ends a run and prevents any run of the task up to this number from
	// starting. The resources are free when the run is listed as ended.
	Stop(ctx context.Context, s StopRequest) (time.Duration, error)

	// Throttle limits a run to a percentage of its full speed.
	Throttle(ctx context.Context, t ThrottleRequest) (time.Duration, error)

	// RenewLease extends the lease and returns the runs in progress and those
	// that have ended.
	RenewLease(ctx context.Context, r RenewLeaseRequest) (RunnerState, error)
}

// RunnerInfo is a worker's own registration.
type RunnerInfo struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   batch.Resources
	Leaving    bool
	// Remaining is the minimum time that a leaving worker keeps running, as of
	// its last heartbeat.
	Remaining time.Duration
	// HeartbeatVersion changes with each heartbeat of the worker.
	HeartbeatVersion int64
	// Incarnation identifies the worker process; it changes with each restart.
	Incarnation int64
	// ColdRemaining is how long the worker remains slow after its start, as of its
	// last heartbeat.
	ColdRemaining time.Duration
}

// Run identifies one start of a task. Later runs have higher numbers.
type Run struct {
	Task   batch.TaskID
	Number int
}

// StartRequest is the argument of Runner.Start.
type StartRequest struct {
	Run
	Generation uint64
	// LeaseDeadline is the end of the worker's lease, on the worker's clock.
	LeaseDeadline time.Duration
	Payload       string
	Checkpoint    string
	// Ticket is the adviser's ticket for the worker, if the queue has an adviser.
	Ticket string
}

// StopRequest is the argument of Runner.Stop.
type StopRequest struct {
	Run
	Generation uint64
}

// ThrottleRequest sets the speed of a run.
type ThrottleRequest struct {
	Run
	Generation uint64
	// SpeedPercent is the speed as a percentage of full speed.
	SpeedPercent int
}

// RenewLeaseRequest is the argument of Runner.RenewLease.
type RenewLeaseRequest struct {
	Generation uint64
	// LeaseDeadline is the end of the lease on the worker's clock; zero leaves
	// the lease unchanged.
	LeaseDeadline time.Duration
	// AcknowledgedSequence is the sequence number of the last ended run whose
	// outcome the caller has stored durably.
	AcknowledgedSequence int64
	// Wait is the maximum time that the worker may delay its answer until
	// another run ends.
	Wait time.Duration
}

// RunnerState is the state that a worker reports.
type RunnerState struct {
	Clock       time.Duration
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedTask
}

// Lists reports whether a run is in progress or has ended.
func (s RunnerState) Lists(r Run) bool {
	return slices.ContainsFunc(s.Running, func(t RunningTask) bool { return t.Run == r }) ||
		slices.ContainsFunc(s.Ended, func(t EndedTask) bool { return t.Run == r })
}

// RunningTask reports a run in progress.
type RunningTask struct {
	Run
	Checkpoint string
	// Progress is the completed share of the work, from 0 to 1.
	Progress float64
	// TailLatency is the latest tail latency of a task that serves requests. It
	// is meaningless for other tasks.
	TailLatency time.Duration
}

// EndedTask reports a run that has ended and is not yet acknowledged.
type EndedTask struct {
	// Sequence numbers the ended runs within one incarnation of the worker.
	Sequence int64
	Run
	Outcome    RunOutcome
	Checkpoint string
}

// RunOutcome is the way in which a run ended.
type RunOutcome string

// Outcomes of a run.
const (
	RunDone         RunOutcome = "done"
	RunFailed       RunOutcome = "failed"
	RunStopped      RunOutcome = "stopped"
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another member of the gang ended first.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the other members of the gang did not start.
	RunGangIncomplete RunOutcome = "alone"
)

// Adviser decides on which workers a step may run. Its decision for a worker
// does not change during the lifetime of the worker process.
type Adviser interface {
	// Configured reports whether the platform has an adviser at present.
	Configured() bool

	// Advise returns tickets for those workers that may run the step. The
	// errors are *UnhealthyError if too many calls are waiting, and
	// *UnknownOutcomeError.
	Advise(ctx context.Context, step batch.TaskID, workers []string) (Advice, error)
}

// Advice is the answer of an adviser.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[string]string
	// Validity is how long the tickets may be used after the answer arrives.
	Validity time.Duration
}

// TicketError reports a start with a missing or invalid ticket. Nothing was
// started.
type TicketError struct{ Clock time.Duration }

func (e *TicketError) Error() string { return "worker does not accept the permit of the start" }

// EvacuatedError reports a start that was not sent because the worker's data
// centre is being evacuated.
type EvacuatedError struct{ DataCentre string }

func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("data centre %s is being evacuated", e.DataCentre)
}

// FencedError reports an order under a superseded generation.
type FencedError struct{ Clock time.Duration }

func (e *FencedError) Error() string { return "worker obeys a higher generation" }

// StaleRunError reports a run whose number is not above that of a run of the
// same task that was stopped or has ended.
type StaleRunError struct{ Clock time.Duration }

func (e *StaleRunError) Error() string { return "a later run of the task has ended on the worker" }

// LeaseExpiredError reports a start that arrived after the end of its lease.
type LeaseExpiredError struct{ Clock time.Duration }

func (e *LeaseExpiredError) Error() string { return "start arrived after the end of its lease" }

// NoCapacityError reports a worker without enough free resources. Nothing was
// started.
type NoCapacityError struct{ Clock time.Duration }

func (e *NoCapacityError) Error() string { return "worker has no room" }

// UnhealthyError reports a worker that temporarily accepts no work. The call had
// no effect.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("worker is not healthy: status %d", e.Status)
}

// RestartedError reports that the worker has restarted: another process answers
// for it.
type RestartedError struct{}

func (e *RestartedError) Error() string { return "worker has restarted" }

// RejectedError reports an order that the worker does not understand or rejects
// for any other reason.
type RejectedError struct {
	Status int
	Reason string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker rejected the order: status %d, reason %q", e.Status, e.Reason)
}
