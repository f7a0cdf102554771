package control

import "time"

// storeClock converts times of this process to and from the store's clock,
// which is monotonic and the same for all planners. The wall clock may jump,
// and differs between instances.
type storeClock struct {
	// origin is when the store's clock was zero. It is zero while the store's
	// clock is unknown.
	origin time.Time
}

// set records a reading of the store's clock.
func (c *storeClock) set(reading time.Duration, at time.Time) {
	if reading > 0 {
		c.origin = at.Add(-reading)
	}
}

// toStore returns a time in milliseconds on the store's clock, or 0 if the
// clock or the time is unknown.
func (c storeClock) toStore(t time.Time) int64 {
	if c.origin.IsZero() || t.IsZero() {
		return 0
	}
	return t.Sub(c.origin).Milliseconds()
}

// fromStore returns the time in this process of a time on the store's clock.
func (c storeClock) fromStore(ms int64) time.Time { return c.origin.Add(milliseconds(ms)) }
