package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// minWindow is the shortest time over which a pace is measured. Reports arrive
	// with a delay that varies by tens of milliseconds.
	minWindow = 400 * time.Millisecond
	// minProgress is the progress within a window. Tasks that last minutes are
	// measured over slowWindow with minSlowProgress instead.
	minProgress     = 0.04
	slowWindow      = 10 * time.Second
	minSlowProgress = 0.002
	// maxBaseline bounds the number of windows in the baseline of a run, so that
	// the baseline of a task that runs for hours follows its traffic.
	maxBaseline = 8
)

// Run is the pace of a run so far. It is immutable; the zero value is a run that
// has not been observed.
type Run struct {
	// since, progress and presences describe the start of the current window.
	since     time.Time
	progress  float64
	presences []Presence
	// level is the mean of the logarithm of the slowness over the earlier windows,
	// shares the mean presence, and windows their number.
	level   float64
	shares  []share
	windows float64
	// counted are the neighbours for which the run already counts as evidence.
	counted []Kind
}

// Sample is one report about a run.
type Sample struct {
	Kind   Kind
	Worker string
	At     time.Time
	// Progress is the completed share of the work.
	Progress float64
	// Latency is the tail latency, which is used instead of the progress if it is
	// not 0.
	Latency time.Duration
	// Presences describe the workers of the run; a gang has several.
	Presences []Presence
}

// withWindow starts a window at a sample.
func (r Run) withWindow(s Sample) Run {
	r.since, r.progress, r.presences = s.At, s.Progress, s.Presences
	return r
}

// slowness returns the logarithm of the time that the work would take at the pace
// of the window that ends with a sample, or false if the window is too short.
func (r Run) slowness(s Sample) (float64, bool) {
	elapsed, done := s.At.Sub(r.since), s.Progress-r.progress
	switch {
	case elapsed < minWindow:
		return 0, false
	case s.Latency > 0:
		return math.Log(s.Latency.Seconds()), true
	case done >= minProgress, done >= minSlowProgress && elapsed >= slowWindow:
		return math.Log(elapsed.Seconds() / done), true
	}
	return 0, false
}

// neighbours returns the mean presence during the window that ends with a sample.
// Of the workers of a gang, each kind counts where it is most present, because the
// slowest member sets the pace.
func (r Run) neighbours(s Sample) []share {
	var shares []share
	for i, p := range s.Presences {
		for _, n := range p.meanSince(r.presences[i], r.since, s.At) {
			if j := shareIndex(shares, n.kind); j >= 0 {
				shares[j].weight = max(shares[j].weight, n.weight)
			} else {
				shares = append(shares, n)
			}
		}
	}
	return shares
}

func shareIndex(shares []share, kind Kind) int {
	return slices.IndexFunc(shares, func(s share) bool { return s.kind == kind })
}

// difference returns the shares of a minus those of b, multiplied by a factor.
func difference(a, b []share, factor float64) []share {
	d := make([]share, 0, len(a)+len(b))
	for _, s := range a {
		if j := shareIndex(b, s.kind); j >= 0 {
			s.weight -= b[j].weight
		}
		d = append(d, share{s.kind, factor * s.weight})
	}
	for _, s := range b {
		if shareIndex(a, s.kind) < 0 {
			d = append(d, share{s.kind, -factor * s.weight})
		}
	}
	return d
}

// withObservation adds a window to the baseline.
func (r Run) withObservation(level float64, shares []share) Run {
	r.windows = min(r.windows+1, maxBaseline)
	r.level += (level - r.level) / r.windows
	mean := difference(shares, r.shares, 1/r.windows)
	for i := range mean {
		if j := shareIndex(r.shares, mean[i].kind); j >= 0 {
			mean[i].weight += r.shares[j].weight
		}
	}
	r.shares = mean
	return r
}
