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

// Restore returns the state of a record. Values out of range, which another version
// may have written, are limited.
func Restore(r Record) State {
	return State{
		failures: max(r.Failures, 0), several: true, allowance: min(max(r.Allowance, 0), fullAllowance-1),
		since: r.Since, exclusion: min(max(r.Exclusion, 0), MaxExclusion),
		excludedUntil: r.ExcludedUntil, openFrom: r.OpenFrom, lastFailure: r.LastFailure,
	}
}
