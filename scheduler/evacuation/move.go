package evacuation

import "time"

// Run is a run in an evacuated data centre, or a gang with all its members.
type Run struct {
	// Remaining is the expected time to the end of the run if it stays.
	Remaining time.Duration
	// Elsewhere is the expected time to the end on another worker, from the order
	// to stop the run on.
	Elsewhere time.Duration
	// Resumable is set if the run continues elsewhere from a checkpoint.
	Resumable bool
	// Fits is set if workers elsewhere have free capacity for the run that no
	// waiting task needs.
	Fits bool
}

// minGain is the least time by which a move must bring the end of a run forward.
// Expected run times are off by more than half a second.
const minGain = 1 * time.Second

// WorthMoving reports whether the caller of a run gets its result clearly earlier
// if the run is stopped and continued elsewhere. The request only forbids starts,
// so that a run which ends earlier where it is may stay.
func (r Run) WorthMoving() bool {
	return r.Resumable && r.Fits && r.Remaining-r.Elsewhere >= minGain
}
