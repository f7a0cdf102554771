// Package guarantee derives a plan from the teams' guarantees that reserves
// workers for each guaranteed shape, and selects the work to evict so that a
// team gets its shape. It consists of pure functions over immutable values.
package guarantee

import (
	"time"

	"daisylug.example/scheduler/gang"
)

// Guarantee is a number of shapes that a team can always run at the same time in
// a data centre.
type Guarantee struct {
	Team  string
	Shape gang.Shape
	Count int
}

// Kind indicates whether work can be evicted in favour of a guarantee.
type Kind string

// Kinds of running work.
const (
	// KindGuaranteed is work that uses one of its team's cells. It is never
	// evicted in favour of another team.
	KindGuaranteed Kind = "guaranteed"
	// KindBorrowed is all other work.
	KindBorrowed Kind = "borrowed"
)

// Work is a running gang.
type Work struct {
	Job   string
	Team  string
	Rack  string
	Shape gang.Shape
	// Workers are the positions of the gang's workers on the rack.
	Workers gang.Set
	Started time.Time
	// CheckpointedAt is the time of the last checkpoint; zero if there is none.
	CheckpointedAt time.Time
	// CheckpointDuration is the expected duration of a checkpoint; zero means that the
	// work cannot be checkpointed.
	CheckpointDuration time.Duration
	// NonPreemptible marks work that must not run again and therefore should
	// not be evicted. It is admitted only to its team's cells and to capacity
	// outside all guarantees.
	NonPreemptible bool
	// Stopping marks work that is being evicted.
	Stopping bool
}

// Lost returns the accelerator-seconds that are lost if the work is evicted
// now, and whether it can be checkpointed within the grace period.
func (w Work) Lost(now time.Time, grace time.Duration) (float64, bool) {
	size := float64(w.Shape.Total())
	if w.CheckpointDuration > 0 && w.CheckpointDuration <= grace {
		return size * w.CheckpointDuration.Seconds(), true
	}
	since := w.Started
	if w.CheckpointedAt.After(since) {
		since = w.CheckpointedAt
	}
	return size * max(0, now.Sub(since).Seconds()), false
}
