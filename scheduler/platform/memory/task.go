package memory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// task is a reservation and what became of it.
type task struct {
	platform.Task
	run
	lease    time.Time // stopped at this time unless renewed
	reported time.Time // use until this time is in the usage reports
	throttle float64
	// Progress grows linearly from base at since until it is 1 at end.
	base  float64
	since time.Time
	end   time.Time
}

// never is later than any time a worker meets.
const never = 100 * 365 * 24 * time.Hour

func (t *task) start(now time.Time, r run, base float64) {
	t.State = platform.TaskRunning
	t.Started = now
	t.reported = now
	t.run = r
	t.throttle = 1
	t.base = base
}

// retime sets the end after a change of the speed.
func (t *task) retime(now time.Time, speed float64) {
	t.base = t.progress(now)
	t.since = now
	t.end = now.Add(never)
	if left := (1 - t.base) * t.Seconds; left <= 0 {
		t.end = now
	} else if rate := speed * t.throttle; rate > 0 {
		seconds := min(left/rate, never.Seconds())
		t.end = now.Add(time.Duration(seconds * float64(time.Second)))
	}
}

func (t *task) progress(now time.Time) float64 {
	if t.since.IsZero() || !now.After(t.since) {
		return t.base
	}
	passed := now.Sub(t.since).Seconds() / t.end.Sub(t.since).Seconds()
	return t.base + (1-t.base)*min(passed, 1)
}

// advance ends a running task that is due by now. It returns the time until
// which the task has run.
func (t *task) advance(now time.Time) time.Time {
	switch {
	case now.Before(t.end) && now.Before(t.lease):
		return now
	case t.end.After(t.lease):
		t.finish(t.lease, platform.TaskStopped, "lease lapsed")
	case t.reason != "":
		t.finish(t.end, platform.TaskFailed, t.reason)
	default:
		t.Result = t.result()
		t.Sum = xxhash.Sum64(t.Result)
		t.finish(t.end, platform.TaskDone, "")
	}
	return t.Ended
}

func (t *task) finish(at time.Time, s platform.TaskState, reason string) {
	t.State = s
	t.Ended = at
	t.Reason = reason
}

// holds tells whether the task occupies accelerators.
func (t *task) holds() bool {
	return t.State == platform.TaskReserved || t.State == platform.TaskRunning
}
