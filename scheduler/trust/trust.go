// Package trust derives what may start on a worker from the ends of its runs. It
// reads no clock: the results depend only on the events and the times passed to
// it.
package trust

import (
	"time"

	"daisylug.example/scheduler/batch"
)

// Level is how far a worker is trusted.
type Level string

// Levels of a worker.
const (
	// LevelTrusted is a worker that takes tasks without limit.
	LevelTrusted Level = "trusted"
	// LevelExcluded is a worker that takes no tasks for a while.
	LevelExcluded Level = "excluded"
	// LevelTrial is a worker that takes one task at a time.
	LevelTrial Level = "trial"
	// LevelRecovering is a worker whose limit doubles with each good run.
	LevelRecovering Level = "recovering"
)

const (
	// MinExclusion is how long a worker takes no tasks after failed runs. The time
	// doubles with each failed trial.
	MinExclusion = 500 * time.Millisecond
	// MaxExclusion bounds the time that doubles.
	MaxExclusion = 8 * time.Second
	// toleratedFailures is the number of consecutive failed runs that may be
	// caused by the runs themselves.
	toleratedFailures = 1
	// ImmediateFailure is the run time up to which a failure counts as immediate.
	// It is well below the run times of tasks, which take seconds.
	ImmediateFailure = 500 * time.Millisecond
	// probationPeriod is how long after a restart or a silence an immediate
	// failure is not tolerated. A task placed at once has ended by then.
	probationPeriod = 5 * time.Second
	// GoodRunTime is how long a run must have been in progress to raise the limit of
	// its worker before it ends: somewhat less than the shortest tasks take.
	GoodRunTime = 2 * time.Second
	// trialTimeout is how long a worker waits for a task that may serve as a
	// trial. Without this limit a worker whose callers submit only gangs would
	// never be used again. It exceeds GoodRunTime and the time between two
	// reports, so that it does not cut a trial short.
	trialTimeout = 4 * time.Second
	// fullAllowance is the number of tasks from which a worker is not limited any
	// more: one for each accelerator of the usual worker.
	fullAllowance = 8
)

// State is the trust in a worker process. It is immutable; the zero value is a
// trusted worker.
type State struct {
	// failures counts the failed runs since the latest good one.
	failures int
	// task is the task whose run failed first of these; several is set if runs of
	// other tasks have failed as well, severalJobs if runs of other jobs have.
	task                 batch.TaskID
	several, severalJobs bool
	// allowance is the number of tasks that may be in progress, or 0 for no limit.
	allowance int
	// since is when the limit was set or lowered. Runs that started earlier are no
	// evidence for or against the worker.
	since time.Time
	// exclusion is the duration of the latest exclusion, excludedUntil its end.
	exclusion     time.Duration
	excludedUntil time.Time
	// openFrom is when a limited worker without new tasks may take any work.
	openFrom time.Time
	// lastFailure is when a run failed last, provenAt when a good one ended.
	lastFailure time.Time
	provenAt    time.Time
	// probationUntil is until when an immediate failure is not tolerated.
	probationUntil time.Time
	// refusal is the duration of the latest backoff after a refused start,
	// refusedUntil its end.
	refusal      time.Duration
	refusedUntil time.Time
}

// Failure is a failed run.
type Failure struct {
	// Task identifies the task; members of a gang share one identifier.
	Task batch.TaskID
	// Started is when the run was started, or zero if an earlier planner did that.
	Started time.Time
	At      time.Time
}

// WithFailure returns the state after a failed run that counts against the worker.
func (s State) WithFailure(f Failure) State {
	immediate := !f.Started.IsZero() && f.At.Sub(f.Started) <= ImmediateFailure
	counts := s.allowance > 0 || s.failures >= toleratedFailures || immediate && f.At.Before(s.probationUntil)
	earlier := s.allowance > 0 && !f.Started.After(s.since)
	if s.failures == 0 {
		s.task, s.several, s.severalJobs = f.Task, false, false
	}
	s.several = s.several || s.task != f.Task
	s.severalJobs = s.severalJobs || s.task.Job != f.Task.Job
	s.failures++
	s.lastFailure = f.At
	if !counts || earlier && s.exclusion > 0 {
		// Runs that started before the exclusion fail for the same reason, however
		// late they do.
		return s
	}
	s.exclusion = min(max(2*s.exclusion, MinExclusion), MaxExclusion)
	s.allowance, s.since = 1, f.At
	s.excludedUntil = f.At.Add(s.exclusion)
	s.openFrom = s.excludedUntil.Add(trialTimeout)
	return s
}

// WithoutFailures returns the state after the failures of a task turned out to be
// the task's own. It is unchanged if runs of other tasks failed too.
func (s State) WithoutFailures(task batch.TaskID) State {
	if s.allowance == 0 && s.FailedOnly(task) {
		s.failures = 0
	}
	return s
}

// WithGoodRun returns the state after a run ended well. The run was started at the
// given time; it is zero if an earlier planner started it.
func (s State) WithGoodRun(started, now time.Time) State {
	if s.allowance > 0 && !started.After(s.since) {
		return s
	}
	s.failures, s.provenAt = 0, now
	s.refusal = 0
	if s.allowance == 0 {
		return s
	}
	s.allowance *= 2
	s.excludedUntil, s.openFrom = time.Time{}, now.Add(trialTimeout)
	if s.allowance >= fullAllowance {
		s.allowance, s.exclusion = 0, 0
	}
	return s
}

// WithLongRun returns the state after a run has been in progress for GoodRunTime. It
// raises the limit like a run that ended well, but failures of a worker without a
// limit still count, since runs may fail late.
func (s State) WithLongRun(started, now time.Time) State {
	if s.allowance == 0 {
		return s
	}
	return s.WithGoodRun(started, now)
}

// WithRestart returns the state of the next process of the worker. A worker that
// was not trusted begins with a trial.
func (s State) WithRestart(now time.Time) State {
	s.probationUntil = now.Add(probationPeriod)
	if s.allowance > 0 {
		s.allowance, s.since = 1, now
		s.excludedUntil, s.openFrom = time.Time{}, now.Add(trialTimeout)
	}
	return s
}

// WithSilence returns the state after the worker responds again.
func (s State) WithSilence(now time.Time) State {
	s.probationUntil = now.Add(probationPeriod)
	return s
}

// WithSuspicion returns the state after other workers with a common property have
// failed: a trusted worker gets a trial, unless a run has ended well there since
// the failures began.
func (s State) WithSuspicion(failuresSince, now time.Time) State {
	if s.allowance > 0 || s.provenAt.After(failuresSince) {
		return s
	}
	s.allowance, s.since = 1, now
	s.openFrom = now.Add(trialTimeout)
	return s
}

// WithRefusal returns the state after the worker refused a start.
func (s State) WithRefusal(now time.Time) State {
	s.refusal = min(max(2*s.refusal, MinExclusion), MaxExclusion)
	s.refusedUntil = now.Add(s.refusal)
	return s
}

// Level returns how far the worker is trusted.
func (s State) Level(now time.Time) Level {
	switch {
	case s.allowance == 0:
		return LevelTrusted
	case now.Before(s.excludedUntil):
		return LevelExcluded
	case s.allowance == 1:
		return LevelTrial
	}
	return LevelRecovering
}

// Limits returns how many more tasks may start while the given number is in
// progress that started after Since, and false if there is no limit.
func (s State) Limits(now time.Time, inProgress int) (int, bool) {
	switch {
	case s.allowance == 0, !now.Before(s.openFrom) && inProgress == 0:
		return 0, false
	case now.Before(s.excludedUntil):
		return 0, true
	}
	return max(s.allowance-inProgress, 0), true
}

// WithTrial returns the state with its exclusion shortened to MinExclusion after
// the latest failure, for a worker that may not be excluded because too many
// others are. The rest keeps a worker that fails everything from using up one task
// after the other.
func (s State) WithTrial() State {
	if end := s.lastFailure.Add(MinExclusion); end.Before(s.excludedUntil) {
		s.excludedUntil = end
	}
	return s
}

// ForOthers returns the state for jobs other than the only one whose runs have failed
// since the latest good run, and that one. A job that fails wherever it runs must not keep
// others away for longer and longer, so that only MinExclusion holds for them. If several
// jobs have failed, the state is unchanged and the job empty.
func (s State) ForOthers() (State, string) {
	if s.failures == 0 || s.severalJobs {
		return s, ""
	}
	return s.WithTrial(), s.task.Job
}

// Since returns when the worker was limited.
func (s State) Since() time.Time { return s.since }

// Limited reports whether the number of tasks on the worker may be limited.
func (s State) Limited() bool { return s.allowance > 0 }

// Unproven reports whether no good run has followed the latest failures.
func (s State) Unproven() bool { return s.failures > 0 || s.allowance == 1 }

// LastFailure returns when a run failed last.
func (s State) LastFailure() time.Time { return s.lastFailure }

// Failures returns the number of failed runs since the latest good one.
func (s State) Failures() int { return s.failures }

// ExcludedUntil returns the end of the latest exclusion.
func (s State) ExcludedUntil() time.Time { return s.excludedUntil }

// RefusedUntil returns until when the worker gets no tasks because it refused a
// start.
func (s State) RefusedUntil() time.Time { return s.refusedUntil }

// FailedOnly reports whether all failures since the latest good run are of the
// task.
func (s State) FailedOnly(task batch.TaskID) bool {
	return s.failures == 0 || !s.several && s.task == task
}
