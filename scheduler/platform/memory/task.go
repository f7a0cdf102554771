package memory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// task is a reservation and the state of its task.
type task struct {
	platform.Task
	execution
	leaseDeadline time.Time // the task is stopped at this time unless renewed
	reportedUntil time.Time // usage up to this time has been reported
	speedShare    float64
	// Progress grows linearly from baseProgress at baseTime to 1 at end.
	baseProgress float64
	baseTime     time.Time
	end          time.Time
}

// farFuture is added to the current time for a task that makes no progress; it
// exceeds any simulated time.
const farFuture = 100 * 365 * 24 * time.Hour

func (t *task) start(now time.Time, exec execution, base float64) {
	t.State = platform.TaskRunning
	t.Started = now
	t.reportedUntil = now
	t.execution = exec
	t.speedShare = 1
	t.baseProgress = base
}

// reschedule recomputes the end of the task after a change of speed.
func (t *task) reschedule(now time.Time, speed float64) {
	t.baseProgress = t.progress(now)
	t.baseTime = now
	t.end = now.Add(farFuture)
	if remaining := (1 - t.baseProgress) * t.Seconds; remaining <= 0 {
		t.end = now
	} else if rate := speed * t.speedShare; rate > 0 {
		seconds := min(remaining/rate, farFuture.Seconds())
		t.end = now.Add(time.Duration(seconds * float64(time.Second)))
	}
}

func (t *task) progress(now time.Time) float64 {
	if t.baseTime.IsZero() || !now.After(t.baseTime) {
		return t.baseProgress
	}
	elapsedShare := now.Sub(t.baseTime).Seconds() / t.end.Sub(t.baseTime).Seconds()
	return t.baseProgress + (1-t.baseProgress)*min(elapsedShare, 1)
}

// advance ends a running task that is due by now. It returns the time up to which
// the task has run.
func (t *task) advance(now time.Time) time.Time {
	switch {
	case now.Before(t.end) && now.Before(t.leaseDeadline):
		return now
	case t.end.After(t.leaseDeadline):
		t.finish(t.leaseDeadline, platform.TaskStopped, "lease lapsed")
	case t.failureReason != "":
		t.finish(t.end, platform.TaskFailed, t.failureReason)
	default:
		t.Result = t.result()
		t.Checksum = xxhash.Sum64(t.Result)
		t.finish(t.end, platform.TaskDone, "")
	}
	return t.Ended
}

func (t *task) finish(at time.Time, s platform.TaskState, reason string) {
	t.State = s
	t.Ended = at
	t.Reason = reason
}

// occupiesAccelerators reports whether the task is reserved or running.
func (t *task) occupiesAccelerators() bool {
	return t.State == platform.TaskReserved || t.State == platform.TaskRunning
}
