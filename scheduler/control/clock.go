package control

import "time"

// storeClock converts times of this process into times on the store's clock,
// which goes on evenly and is the same for all planners. The time of day may
// jump, and differs between instances.
type storeClock struct {
	// zero is when the store's clock was zero; its own zero value means that the
	// store has not told.
	zero time.Time
}

// set notes what the store's clock showed at a time.
func (c *storeClock) set(shown time.Duration, at time.Time) {
	if shown > 0 {
		c.zero = at.Add(-shown)
	}
}

// stored returns a time in milliseconds on the store's clock, or 0 if that is
// not known.
func (c storeClock) stored(t time.Time) int64 {
	if c.zero.IsZero() || t.IsZero() {
		return 0
	}
	return t.Sub(c.zero).Milliseconds()
}

// local returns the time of this process for one on the store's clock.
func (c storeClock) local(stored int64) time.Time { return c.zero.Add(milliseconds(stored)) }
