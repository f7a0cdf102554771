package control

import "time"

// storeClock converts times of this process to and from the store's clock,
// which is monotonic and the same for all planners. The wall clock may jump,
// and differs between instances.
type storeClock struct {
	// earliest and latest bound when the store's clock was zero. Both are zero
	// while the store's clock is unknown.
	earliest, latest time.Time
}

// set records a reading of the store's clock, made between the start and the end of
// a call.
func (c *storeClock) set(reading time.Duration, start, end time.Time) {
	if reading <= 0 {
		return
	}
	// Readings are in whole milliseconds.
	earliest, latest := start.Add(-reading-time.Millisecond), end.Add(-reading)
	if c.latest.IsZero() || latest.Sub(earliest) < c.latest.Sub(c.earliest) {
		c.earliest, c.latest = earliest, latest
	}
}

// toStore returns a time in milliseconds on the store's clock, or 0 if the
// clock or the time is unknown.
func (c storeClock) toStore(t time.Time) int64 {
	if c.latest.IsZero() || t.IsZero() {
		return 0
	}
	return t.Sub(c.latest).Milliseconds()
}

// latestToStore is like toStore, but returns the latest possible reading.
func (c storeClock) latestToStore(t time.Time) int64 {
	if c.latest.IsZero() || t.IsZero() {
		return 0
	}
	return t.Sub(c.earliest).Milliseconds() + 1
}

// fromStore returns the latest possible time in this process of a time on the
// store's clock.
func (c storeClock) fromStore(ms int64) time.Time { return c.latest.Add(milliseconds(ms)) }

// earliestFromStore is like fromStore, but returns the earliest possible time.
func (c storeClock) earliestFromStore(ms int64) time.Time { return c.earliest.Add(milliseconds(ms)) }
