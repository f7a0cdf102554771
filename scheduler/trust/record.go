package trust

import "time"

// Record is what a successor needs to know of a state. The task whose run failed
// is not part of it: a later failure counts as one of another task.
type Record struct {
	Failures      int
	Allowance     int
	Since         time.Time
	Exclusion     time.Duration
	ExcludedUntil time.Time
	OpenFrom      time.Time
	LastFailure   time.Time
}

// Record returns the record of the state, and false if the worker is trusted and
// proven, so that there is nothing to keep.
func (s State) Record() (Record, bool) {
	return Record{
		Failures: s.failures, Allowance: s.allowance, Since: s.since, Exclusion: s.exclusion,
		ExcludedUntil: s.excludedUntil, OpenFrom: s.openFrom, LastFailure: s.lastFailure,
	}, s.failures > 0 || s.allowance > 0
}

// Restore returns the state of a record. Values out of range, which a damaged row
// or another version may contain, are limited.
func Restore(r Record, now time.Time) State {
	return State{
		failures: max(r.Failures, 0), several: true, severalJobs: true, allowance: min(max(r.Allowance, 0), fullAllowance-1),
		since: earlier(r.Since, now), exclusion: min(max(r.Exclusion, 0), MaxExclusion),
		excludedUntil: earlier(r.ExcludedUntil, now.Add(MaxExclusion)),
		openFrom:      earlier(r.OpenFrom, now.Add(MaxExclusion+trialTimeout)),
		lastFailure:   earlier(r.LastFailure, now),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
