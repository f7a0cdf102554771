package entry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// handOverInterval is the interval at which a planner checks for an instance
	// with more than handOverFactor times its weight, to which it hands over.
	handOverInterval = 3 * time.Second
	handOverFactor   = 1.5
	// handOverCheckInterval is the interval at which a planner checks its path to the
	// store and the time of its decisions.
	handOverCheckInterval = 250 * time.Millisecond
	// impairedTolerance is how long the path of a planner may be impaired. A hand-over
	// costs callers some 0.3 s, a relayed transaction a round trip between instances.
	impairedTolerance = 1 * time.Second
	// slowDecision is the time above which a decision is too slow: with a transaction
	// it takes most of the 250 ms that previews may wait. slowTolerance is how long
	// decisions may be that slow.
	slowDecision  = 150 * time.Millisecond
	slowTolerance = 3 * time.Second
	// fasterFactor is the factor of the weight from which on an instance decides
	// clearly faster.
	fasterFactor = 1.2
	// handOverBackoff is the time between a hand-over because of the path or slow
	// decisions, and the next hand-over of any kind. It is about the length of the
	// outages of paths that were seen.
	handOverBackoff = 10 * time.Second
	// relayedFreshness is the age up to which an answer of a relayed call shows that
	// the store serves others. Renewals are made every 400 ms.
	relayedFreshness = 1 * time.Second
)

// handOverState is what a planner's instance knows for the decision whether to hand
// over.
type handOverState struct {
	weight int
	path   pathHealth
	// slowSince is since when decisions take too long, or zero.
	slowSince time.Time
	// pausedUntil is the end of the pause after the latest hand-over, or zero.
	pausedUntil time.Time
	// checkLarger is set when larger instances are to be considered.
	checkLarger bool
	draining    bool
	candidates  []candidate
}

// candidate is a connected, live instance that does not drain.
type candidate struct {
	name   string
	weight int
	class  pathClass
}

// Reasons to resign. They are also the values of a label of a metric.
const (
	reasonLarger   = "larger"
	reasonPath     = "path"
	reasonDecision = "decisions"
)

// handOver is the decision of a planner to stay, or to resign for a reason. The
// successor is empty if it is to be elected.
type handOver struct {
	resign    bool
	successor string
	reason    string
}

// decide decides whether the planner hands over, and to which instance.
func (s handOverState) decide(now time.Time) handOver {
	if s.draining || now.Before(s.pausedUntil) {
		return handOver{}
	}
	if s.checkLarger && slices.ContainsFunc(s.candidates, func(c candidate) bool {
		return c.class != pathNone && float64(c.weight) > handOverFactor*float64(s.weight)
	}) {
		return handOver{resign: true, reason: reasonLarger}
	}
	if s.pathHarmful(now) {
		// A slow path is not clearly better than a relayed one.
		if c, ok := s.best(func(c candidate) bool { return c.class == pathFast || c.class == pathModerate }); ok {
			return handOver{resign: true, successor: c.name, reason: reasonPath}
		}
	}
	if !s.slowSince.IsZero() && now.Sub(s.slowSince) >= slowTolerance {
		if c, ok := s.best(func(c candidate) bool {
			return c.class != pathNone && float64(c.weight) >= fasterFactor*float64(s.weight)
		}); ok {
			return handOver{resign: true, successor: c.name, reason: reasonDecision}
		}
	}
	return handOver{}
}

// pathHarmful reports whether the path has been impaired for long while the store
// serves others.
func (s handOverState) pathHarmful(now time.Time) bool {
	return s.path.impaired() && now.Sub(s.path.impairedSince) >= impairedTolerance &&
		now.Sub(s.path.relayedAt) <= relayedFreshness
}

// best returns the largest of the suitable candidates, and of several the one with
// the best path.
func (s handOverState) best(suitable func(candidate) bool) (candidate, bool) {
	var all []candidate
	for _, c := range s.candidates {
		if suitable(c) {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.class.rank(), b.class.rank()), cmp.Compare(a.name, b.name))
	}), true
}

const (
	// rankDelay is the delay before a takeover for each larger connected
	// instance, of which at most maxRank count.
	rankDelay = 80 * time.Millisecond
	maxRank   = 5
	// smallInstanceDelay is the additional delay of an instance with fewer than
	// smallInstanceCores cores.
	smallInstanceDelay = 400 * time.Millisecond
	smallInstanceCores = 0.3
	// impairedDelay is the additional delay of an instance that the store does not
	// serve while it serves others.
	impairedDelay = 400 * time.Millisecond
	// successorDelay is the additional delay of all instances but the named
	// successor. It covers two checks of the row and a relayed transaction.
	successorDelay = 600 * time.Millisecond
)

// takeover is what the delay of an instance before it takes over depends on.
type takeover struct {
	larger int
	cores  float64
	// impaired is set if the store does not serve this instance but others.
	impaired bool
	// named is set if the former planner has named this instance as its successor,
	// otherNamed if it has named another one that is alive.
	named, otherNamed bool
}

// delay returns how long the instance leaves the takeover to others.
func (t takeover) delay() time.Duration {
	if t.named {
		return 0
	}
	delay := time.Duration(min(t.larger, maxRank)) * rankDelay
	if t.cores < smallInstanceCores {
		delay += smallInstanceDelay
	}
	if t.impaired {
		delay += impairedDelay
	}
	if t.otherNamed {
		delay += successorDelay
	}
	return delay
}
