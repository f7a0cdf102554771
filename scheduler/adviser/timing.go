// Package adviser estimates how long calls to an adviser take and for how long its
// tickets can be used, and so about how many workers one call should ask.
package adviser

import "time"

// Figures are what the operator states of an adviser. The zero value states nothing.
type Figures struct {
	// A call takes Decision and Period for each worker that it names.
	Decision, Period time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

const (
	// maxMargin is the part of a ticket's validity that is reserved for delivering the
	// start request, and minUse the time that must be left to make use of a response.
	// Of short validities at most a third and a tenth are.
	maxMargin     = 700 * time.Millisecond
	marginDivisor = 3
	minUse        = 300 * time.Millisecond
	minUseDivisor = 10
)

// Timing is an estimate from the figures and the latest call. The zero value knows
// nothing.
type Timing struct {
	figures Figures
	// workers is the number of workers of the latest call, took how long it took.
	workers  int
	took     time.Duration
	validity time.Duration
}

// WithFigures returns the timing with the figures of the operator. If they differ from
// those before, what was learned no longer holds.
func (t Timing) WithFigures(f Figures) Timing {
	if f == t.figures {
		return t
	}
	return Timing{figures: f, validity: f.Validity}
}

// WithTimeout returns the timing after a call about n workers that was given up after a
// time.
func (t Timing) WithTimeout(n int, after time.Duration) Timing {
	validity := t.validity
	if validity == 0 {
		validity = after
	}
	return t.WithCall(n, after, validity)
}

// WithCall returns the timing after a call about n workers whose tickets are valid for a
// time.
func (t Timing) WithCall(n int, took, validity time.Duration) Timing {
	t.workers, t.took, t.validity = max(n, 1), took, validity
	return t
}

// Usable returns for how long a ticket of the given validity is used.
func Usable(validity time.Duration) time.Duration {
	return validity - min(maxMargin, validity/marginDivisor)
}

// budget returns how long a call may take so that its tickets can still be used if they
// are valid from its start on.
func (t Timing) budget() time.Duration {
	return Usable(t.validity) - min(minUse, t.validity/minUseDivisor)
}

// stated returns how long a call takes by the figures, or 0 if they are unknown.
func (t Timing) stated(n int) time.Duration {
	if t.figures.Decision+t.figures.Period <= 0 {
		return 0
	}
	return t.figures.Decision + time.Duration(n)*t.figures.Period
}

// Expected returns how long a call about n workers takes, as far as is known. Without
// figures it is in proportion to the latest call, which for less workers may be too
// short.
func (t Timing) Expected(n int) time.Duration {
	stated := t.stated(n)
	switch {
	case t.workers == 0:
		return stated
	case stated > 0:
		// All calls are as much slower than stated as the latest one.
		return time.Duration(float64(stated) * max(1, float64(t.took)/float64(t.stated(t.workers))))
	}
	return time.Duration(float64(t.took) * float64(n) / float64(t.workers))
}

// Fits reports whether the tickets of a call about n workers can be used if they are
// valid from its start on. Unless something is known they can.
func (t Timing) Fits(n int) bool {
	return t.validity == 0 || t.Expected(n) <= t.budget()
}

// Workers returns about how many workers to ask in one call, from 1 to limit. After a
// call of unknown composition that took too long it is at most half of that.
func (t Timing) Workers(limit int) int {
	if t.validity == 0 || t.Fits(limit) {
		return limit
	}
	if t.workers > 0 && t.stated(1) == 0 {
		n := int(float64(t.workers) * float64(t.budget()) / float64(max(t.took, 1)))
		if t.took > t.budget() {
			n = min(n, t.workers/2)
		}
		return min(max(n, 1), limit)
	}
	n := 1
	for n < limit && t.Fits(n+1) {
		n++
	}
	return n
}
