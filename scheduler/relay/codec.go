package relay

import (
	"errors"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeRun(r platform.Run) *schema.RelayRun {
	return &schema.RelayRun{
		Job: r.Task.Job, Occurrence: int32(r.Task.Occurrence), Step: int32(r.Task.Step), Index: int32(r.Task.Index),
		Number: int32(r.Number),
	}
}

func decodeRun(m *schema.RelayRun) platform.Run {
	return platform.Run{
		Task: batch.TaskID{
			Job: m.GetJob(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex()),
		},
		Number: int(m.GetNumber()),
	}
}

func encodeState(a *schema.RelayAnswer, s platform.RunnerState) {
	a.Life = s.Incarnation
	for _, r := range s.Running {
		a.Running = append(a.Running, &schema.RelayRunning{
			Run: encodeRun(r.Run), Checkpoint: r.Checkpoint, Progress: float32(r.Progress), Tail: r.TailLatency.Milliseconds(),
		})
	}
	for _, e := range s.Ended {
		a.Ended = append(a.Ended, &schema.RelayEnd{
			Run: encodeRun(e.Run), Sequence: e.Sequence, How: string(e.Outcome), Checkpoint: e.Checkpoint,
		})
	}
}

func decodeState(a *schema.RelayAnswer) platform.RunnerState {
	s := platform.RunnerState{Clock: milliseconds(a.GetClock()), Incarnation: a.GetLife()}
	for _, r := range a.GetRunning() {
		s.Running = append(s.Running, platform.RunningTask{
			Run: decodeRun(r.GetRun()), Checkpoint: r.GetCheckpoint(), Progress: float64(r.GetProgress()),
			TailLatency: milliseconds(r.GetTail()),
		})
	}
	for _, e := range a.GetEnded() {
		s.Ended = append(s.Ended, platform.EndedTask{
			Sequence: e.GetSequence(), Run: decodeRun(e.GetRun()), Outcome: platform.RunOutcome(e.GetHow()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return s
}

// encodeFailure returns the answer that reports the error of a call.
func encodeFailure(c *schema.RelayCall, err error) *schema.RelayAnswer {
	a := &schema.RelayAnswer{Id: c.GetId(), Reason: err.Error()}
	var (
		fenced      *platform.FencedError
		stale       *platform.StaleRunError
		expired     *platform.LeaseExpiredError
		noCapacity  *platform.NoCapacityError
		unhealthy   *platform.UnhealthyError
		restarted   *platform.RestartedError
		rejected    *platform.RejectedError
		ticket      *platform.TicketError
		evacuated   *platform.EvacuatedError
		unavailable *platform.UnavailableError
	)
	workerClock := time.Duration(0)
	switch {
	case errors.As(err, &fenced):
		a.Failure, workerClock = schema.RelayFailure_RELAY_FAILURE_FENCED, fenced.Clock
	case errors.As(err, &stale):
		a.Failure, workerClock = schema.RelayFailure_RELAY_FAILURE_OLD, stale.Clock
	case errors.As(err, &expired):
		a.Failure, workerClock = schema.RelayFailure_RELAY_FAILURE_LATE, expired.Clock
	case errors.As(err, &noCapacity):
		a.Failure, workerClock = schema.RelayFailure_RELAY_FAILURE_FULL, noCapacity.Clock
	case errors.As(err, &ticket):
		a.Failure, workerClock = schema.RelayFailure_RELAY_FAILURE_TICKET, ticket.Clock
	case errors.As(err, &unhealthy):
		a.Failure, a.Status = schema.RelayFailure_RELAY_FAILURE_SICK, int32(unhealthy.Status)
	case errors.As(err, &restarted):
		a.Failure = schema.RelayFailure_RELAY_FAILURE_REBORN
	case errors.As(err, &rejected):
		a.Failure, a.Status, a.Reason = schema.RelayFailure_RELAY_FAILURE_REJECTED, int32(rejected.Status), rejected.Reason
	case errors.As(err, &evacuated):
		a.Failure, a.Reason = schema.RelayFailure_RELAY_FAILURE_EVACUATED, evacuated.DataCentre
	case errors.As(err, &unavailable):
		a.Failure = schema.RelayFailure_RELAY_FAILURE_UNAVAILABLE
	default:
		a.Failure = schema.RelayFailure_RELAY_FAILURE_UNKNOWN
	}
	a.Clock = workerClock.Milliseconds()
	return a
}

// RemoteError is the error text of a call that another instance executed.
type RemoteError struct{ Reason string }

func (e *RemoteError) Error() string { return e.Reason }

// decodeFailure returns the error that an answer reports, or nil.
func decodeFailure(a *schema.RelayAnswer) error {
	workerClock := milliseconds(a.GetClock())
	switch a.GetFailure() {
	case schema.RelayFailure_RELAY_FAILURE_UNSPECIFIED:
		return nil
	case schema.RelayFailure_RELAY_FAILURE_FENCED:
		return &platform.FencedError{Clock: workerClock}
	case schema.RelayFailure_RELAY_FAILURE_OLD:
		return &platform.StaleRunError{Clock: workerClock}
	case schema.RelayFailure_RELAY_FAILURE_LATE:
		return &platform.LeaseExpiredError{Clock: workerClock}
	case schema.RelayFailure_RELAY_FAILURE_FULL:
		return &platform.NoCapacityError{Clock: workerClock}
	case schema.RelayFailure_RELAY_FAILURE_TICKET:
		return &platform.TicketError{Clock: workerClock}
	case schema.RelayFailure_RELAY_FAILURE_SICK:
		return &platform.UnhealthyError{Status: int(a.GetStatus())}
	case schema.RelayFailure_RELAY_FAILURE_REBORN:
		return &platform.RestartedError{}
	case schema.RelayFailure_RELAY_FAILURE_REJECTED:
		return &platform.RejectedError{Status: int(a.GetStatus()), Reason: a.GetReason()}
	case schema.RelayFailure_RELAY_FAILURE_EVACUATED:
		return &platform.EvacuatedError{DataCentre: a.GetReason()}
	case schema.RelayFailure_RELAY_FAILURE_UNAVAILABLE:
		return &platform.UnavailableError{Service: "worker", Cause: &RemoteError{a.GetReason()}}
	}
	// The outcome of a failure code that a later version has added is unknown.
	return &platform.UnknownOutcomeError{Service: "worker", Cause: &RemoteError{a.GetReason()}}
}
