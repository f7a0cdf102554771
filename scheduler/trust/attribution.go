package trust

import (
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// TaskAtFault reports whether a failure is the task's own and not the worker's. It
// is if the task has failed before on another healthy worker, and this worker is
// healthy too. A worker is healthy if it is trusted and no other task has failed
// there since its latest good run. The states are those before this failure; other
// holds those of the other workers on which the task has failed.
func TaskAtFault(task batch.TaskID, worker State, other []State) bool {
	healthy := func(s State) bool { return s.allowance == 0 && s.FailedOnly(task) }
	return healthy(worker) && slices.ContainsFunc(other, healthy)
}

// StallTime is how long a run makes no progress while its siblings do before it
// counts as stalled. Workers report at least once a second, and restoring a
// checkpoint takes less than a second.
const StallTime = 3 * time.Second

const (
	// WaveWindow is the time within which failures on several workers count as a
	// wave. A common cause shows within the run time of a short task.
	WaveWindow = 3 * time.Second
	// minWaveWorkers and waveShare are the number and the share of the workers
	// with a common property that must have failed in a wave. Single faulty
	// workers, a fifth of all, seldom reach half of a rack.
	minWaveWorkers = 3
	waveShare      = 0.5
)

// IsWave reports whether the failed ones among the workers with a common property
// are so many that the property is the likely cause.
func IsWave(failed, all int) bool {
	return failed >= minWaveWorkers && float64(failed) >= waveShare*float64(all)
}

// maxExcludedShare is the largest share of a service's workers that is excluded at
// a time. If more fail, the cause is probably elsewhere.
const maxExcludedShare = 1.0 / 3

// ExcessExclusions returns how many of the excluded workers of a service get a
// trial instead. One worker may always be excluded.
func ExcessExclusions(excluded, all int) int {
	return max(excluded-max(int(maxExcludedShare*float64(all)), 1), 0)
}

const (
	// waitShare is the share of the slack up to the objective for which a group
	// waits for proven workers. The rest is left for the delays of the start and
	// for a run that takes longer than expected.
	waitShare = 0.5
	// GuaranteedWaitTimeout bounds the wait of guaranteed groups, which have to start
	// within a few seconds of their acceptance.
	GuaranteedWaitTimeout = 1 * time.Second
)

// ProvenOnlyUntil returns until when tasks that became ready at the given time wait
// for proven workers, or zero if the objective leaves no slack.
func ProvenOnlyUntil(ready, objective time.Time, expected time.Duration, guaranteed bool) time.Time {
	slack := objective.Sub(ready) - expected
	if slack <= 0 {
		return time.Time{}
	}
	wait := time.Duration(waitShare * float64(slack))
	if guaranteed {
		wait = min(wait, GuaranteedWaitTimeout)
	}
	return ready.Add(wait)
}
