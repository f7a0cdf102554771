package platform

import (
	"context"
	"fmt"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// Runner commands a worker that runs tasks under one lease. It obeys the
// highest generation that it has seen. Times of a lease are on the worker's
// own clock, which starts at an arbitrary value.
type Runner interface {
	// Start starts a run of a task. Starting a run that is there succeeds. The
	// errors are *FencedError, *OldRunError, *LateError, *FullError,
	// *SickError, *RebornError, *RejectedError and *UnknownError.
	Start(ctx context.Context, s StartRequest) (time.Duration, error)

	// Stop ends a run and bars all runs of the task up to this one. The room is
	// free when the end is listed.
	Stop(ctx context.Context, s StopRequest) (time.Duration, error)

	// Throttle lets a run work at a share of its speed.
	Throttle(ctx context.Context, o ThrottleRequest) (time.Duration, error)

	// RenewLease extends the lease and returns what runs and what has ended.
	RenewLease(ctx context.Context, h RenewLeaseRequest) (RunnerState, error)
}

// RunnerInfo describes a worker as it registered itself.
type RunnerInfo struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   batch.Resources
	Leaving    bool
	// Remaining is how long a leaving worker still runs at least, when it was
	// last heard of.
	Remaining time.Duration
	// HeartbeatVersion changes with each heartbeat of the worker.
	HeartbeatVersion int64
	// Incarnation identifies the process of the worker; it changes with a restart.
	Incarnation int64
}

// Run is one numbered start of a task.
type Run struct {
	Task   batch.TaskID
	Number int
}

// StartRequest starts a run.
type StartRequest struct {
	Run
	Generation uint64
	// LeaseDeadline is the end of the worker's lease, on its clock.
	LeaseDeadline time.Duration
	Payload       string
	Checkpoint    string
	// Ticket is the permit of the adviser, where the queue has one.
	Ticket string
}

// StopRequest stops a run.
type StopRequest struct {
	Run
	Generation uint64
}

// ThrottleRequest slows a run, or lets it go on at full speed.
type ThrottleRequest struct {
	Run
	Generation uint64
	// SpeedPercent is in percent of the full speed.
	SpeedPercent int
}

// RenewLeaseRequest extends a lease.
type RenewLeaseRequest struct {
	Generation uint64
	// LeaseDeadline is the end of the lease on the worker's clock; zero leaves it.
	LeaseDeadline time.Duration
	// AcknowledgedSequence is the number of the last end that is stored durably.
	AcknowledgedSequence int64
	// Wait is how long the answer may wait for another end.
	Wait time.Duration
}

// RunnerState is what a worker says of itself.
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

// RunningTask is a run in progress.
type RunningTask struct {
	Run
	Checkpoint string
	// Progress is the share of the work that is done, from 0 to 1.
	Progress float64
	// TailLatency is the latest tail response time of a task that serves users of its
	// own. Of other tasks it holds nothing of use.
	TailLatency time.Duration
}

// EndedTask is a run that has ended and is not acknowledged.
type EndedTask struct {
	// Sequence numbers the ends of one life of the worker.
	Sequence int64
	Run
	Outcome    RunOutcome
	Checkpoint string
}

// RunOutcome tells how a run ended.
type RunOutcome string

// Ends of a run.
const (
	RunDone         RunOutcome = "done"
	RunFailed       RunOutcome = "failed"
	RunStopped      RunOutcome = "stopped"
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the other members of the gang did not come.
	RunGangIncomplete RunOutcome = "alone"
)

// Adviser tells on which workers a step may run. What it says of a worker does
// not change while the worker's process lives.
type Adviser interface {
	// Advise returns the permits of those workers that may run the step. The
	// errors are *SickError if too many calls wait, and *UnknownError.
	Advise(ctx context.Context, step batch.TaskID, workers []string) (Advice, error)
}

// Advice is the answer of an adviser.
type Advice struct {
	// Tickets are the permits by worker.
	Tickets map[string]string
	// Validity is how long they may be used from the answer on.
	Validity time.Duration
}

// TicketError reports a start whose permit the worker does not accept. Nothing
// was started.
type TicketError struct{ Clock time.Duration }

func (e *TicketError) Error() string { return "worker does not accept the permit of the start" }

// FencedError reports an order under a generation that is no longer in force.
type FencedError struct{ Clock time.Duration }

func (e *FencedError) Error() string { return "worker obeys a higher generation" }

// StaleRunError reports a run that is not above one that was stopped or ended.
type StaleRunError struct{ Clock time.Duration }

func (e *StaleRunError) Error() string { return "a later run of the task has ended on the worker" }

// LeaseExpiredError reports a start whose lease had ended when it arrived.
type LeaseExpiredError struct{ Clock time.Duration }

func (e *LeaseExpiredError) Error() string { return "start arrived after the end of its lease" }

// NoCapacityError reports a worker without room. Nothing was started.
type NoCapacityError struct{ Clock time.Duration }

func (e *NoCapacityError) Error() string { return "worker has no room" }

// UnhealthyError reports a worker that takes no work at the moment. Nothing was
// done.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("worker is not healthy: status %d", e.Status)
}

// RestartedError reports that another process answers for the worker.
type RestartedError struct{}

func (e *RestartedError) Error() string { return "worker has restarted" }

// RejectedError reports an order that the worker does not understand.
type RejectedError struct {
	Status int
	Reason string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker rejected the order: status %d, reason %q", e.Status, e.Reason)
}
