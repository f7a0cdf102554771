package overload

import (
	"slices"
	"time"
)

// Waiting describes the waiting tasks of one step of a job.
type Waiting struct {
	Team     string
	Priority int
	// Work is what all the tasks need together times their run time. Occupied is the
	// same including what they leave unusable for others of their kind; zero means
	// that they leave nothing.
	Work     Amount
	Occupied Amount
	// Due is when the tasks must have ended.
	Due time.Time
	// Doubt is the share by which run times may be longer or shorter than expected.
	Doubt float64
	// Late is set if the objective cannot be met any more.
	Late bool
}

// Running describes a run in progress.
type Running struct {
	Need Amount
	// Ends is when the run is expected to end.
	Ends time.Time
}

// Pressure returns the largest ratio, over the times by which tasks are due, of the
// work that is due until then to the capacity that is free or becomes free until
// then. Above 1 the tasks cannot all be done in time in any order.
//
// The capacity counts as at least that of the whole service, the total, during
// enterDelay. A job that waits for stopped runs to end is no overload by itself.
func Pressure(now time.Time, total, free Amount, waiting []Waiting, running []Running) float64 {
	if len(waiting) == 0 {
		return 0
	}
	waiting, running = slices.Clone(waiting), slices.Clone(running)
	slices.SortFunc(waiting, func(a, b Waiting) int { return a.Due.Compare(b.Due) })
	slices.SortFunc(running, func(a, b Running) int { return a.Ends.Compare(b.Ends) })
	var work, capacity Amount
	pressure, at, next := 0.0, now, 0
	for _, w := range waiting {
		for ; next < len(running) && !running[next].Ends.After(w.Due); next++ {
			if end := running[next].Ends; end.After(at) {
				capacity, at = capacity.Plus(free.For(end.Sub(at))), end
			}
			free = free.Plus(running[next].Need)
		}
		if w.Due.After(at) {
			capacity, at = capacity.Plus(free.For(w.Due.Sub(at))), w.Due
		}
		work = work.Plus(w.Work.Max(w.Occupied))
		pressure = max(pressure, work.Dominant(capacity.Max(total.For(enterDelay))))
	}
	return pressure
}

const (
	// enterPressure and leavePressure are the pressures above which overload begins
	// and below which it ends. The distance keeps a service that is just full from
	// switching with each job.
	enterPressure = 1.0
	leavePressure = 0.8
	// enterDelay is how long the pressure must last. The shortest objectives leave
	// about 1.5 s between submission and the latest start, so that a delay of a third
	// still helps them, while one gang that waits for a run to end is no overload.
	enterDelay = 500 * time.Millisecond
	// leaveDelay is how long the pressure must be gone. Refused callers return after
	// 1 s or more, so that it includes the return of the first of them.
	leaveDelay = 3 * time.Second
)

// Detector tells whether a service is overloaded, with hysteresis in pressure and
// time. The zero value is not overloaded.
type Detector struct {
	overloaded bool
	// crossedAt is since when the pressure has called for the other state, or zero.
	crossedAt time.Time
}

// Overloaded reports whether the service is overloaded.
func (d Detector) Overloaded() bool { return d.overloaded }

// WithPressure returns the detector after a measurement.
func (d Detector) WithPressure(pressure float64, now time.Time) Detector {
	crossed, delay := pressure > enterPressure, enterDelay
	if d.overloaded {
		crossed, delay = pressure < leavePressure, leaveDelay
	}
	switch {
	case !crossed:
		d.crossedAt = time.Time{}
	case d.crossedAt.IsZero():
		d.crossedAt = now
	case now.Sub(d.crossedAt) >= delay:
		d = Detector{overloaded: !d.overloaded}
	}
	return d
}
