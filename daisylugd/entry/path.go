package entry

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
)

// valueStore is the key of the heartbeat value that holds the pathClass of an
// instance.
const valueStore = "store"

// pathClass tells whether the store serves an instance directly, and how fast.
// Lower classes of those that serve are better.
type pathClass string

const (
	pathUnknown  pathClass = ""
	pathFast     pathClass = "fast"
	pathModerate pathClass = "moderate"
	pathSlow     pathClass = "slow"
	pathNone     pathClass = "none"
)

// rank orders classes from the best to the worst. An instance that announces
// nothing comes after those that the store is known to serve.
func (c pathClass) rank() int {
	return slices.Index([]pathClass{pathFast, pathModerate, pathSlow, pathUnknown, pathNone}, c)
}

// decodePathClass returns the announced class of a peer. Unknown content counts
// as no announcement.
func decodePathClass(p member.Peer) pathClass {
	c := pathClass(p.Values[valueStore])
	if c.rank() < 0 {
		return pathUnknown
	}
	return c
}

const (
	// fastAnswer and moderateAnswer are the upper limits of the usual answer time of
	// the first two classes. The store of the platform answers within 4 to 5 ms; a
	// planner whose transactions take 100 ms delays previews, which have 250 ms.
	fastAnswer     = 25 * time.Millisecond
	moderateAnswer = 100 * time.Millisecond
	// classMargin is the fraction by which the usual answer time must exceed or fall
	// below a limit before the class changes.
	classMargin = 0.25
	// usualWeight is the weight of a new answer in the usual answer time.
	usualWeight = 0.125
	// maxAnswerFactor is the multiple of the usual answer time as which a slower
	// answer counts. Otherwise one answer of 0.7 s, instead of 4 ms, would delay
	// hedges by more than that, and a slow path would count as usual.
	maxAnswerFactor = 8
	// hedgeFactor is the multiple of the usual answer time after which a call is sent
	// a second way.
	hedgeFactor = 8
	// minHedgeDelay is the shortest time before a call is hedged. The processor share
	// of a small instance is granted anew every 100 ms; a shorter delay would hedge
	// calls whose answer waits only to be read.
	minHedgeDelay = 100 * time.Millisecond
	// maxHedgeDelay is the longest time before a call is hedged. Hedges show whether
	// only the own path is slow; if all are, the budget bounds them.
	maxHedgeDelay = 300 * time.Millisecond
	// maxPathLosses is the number of successive calls that must be answered another
	// way first before the direct path counts as impaired. A single slow answer does
	// not suffice.
	maxPathLosses = 2
	// recoveryProbes is the number of successive good probes after which the path
	// counts as good again.
	recoveryProbes = 2
)

// pathHealth is what an instance knows of its direct path to the store. The zero
// value is a path that has not been measured. Values are immutable.
type pathHealth struct {
	// usual is the usual answer time of calls that do not wait, relayed that of
	// relayed calls, or 0.
	usual, relayed time.Duration
	class          pathClass
	// losses counts successive calls that were answered another way first, goodProbes
	// successive good probes.
	losses, goodProbes int
	// impairedSince is when the path became impaired, or zero.
	impairedSince time.Time
	// relayedAt is when a relayed call was last answered.
	relayedAt time.Time
}

func (h pathHealth) impaired() bool { return !h.impairedSince.IsZero() }

// announced returns the class to announce to other instances.
func (h pathHealth) announced() pathClass {
	if h.impaired() {
		return pathNone
	}
	return h.class
}

// withAnswer records an answer on the direct path, and its answer time if the
// call did not wait. An impaired path remains impaired.
func (h pathHealth) withAnswer(took time.Duration, measured bool) pathHealth {
	h.losses = 0
	if measured {
		h.usual = average(h.usual, took)
		h.class = h.nextClass()
	}
	return h
}

// withRecovery records that the direct path answered when no other way did.
func (h pathHealth) withRecovery() pathHealth {
	h.losses, h.goodProbes, h.impairedSince = 0, 0, time.Time{}
	return h
}

// withFailure records a direct call that failed.
func (h pathHealth) withFailure(now time.Time) pathHealth {
	h.goodProbes = 0
	if !h.impaired() {
		h.impairedSince = now
	}
	return h
}

// withLoss records a direct call that had no answer when another way had one, or
// none for directTimeout.
func (h pathHealth) withLoss(now time.Time) pathHealth {
	if h.losses++; h.losses < maxPathLosses {
		return h
	}
	return h.withFailure(now)
}

// withRelayed records the answer of a relayed call, and its answer time if the
// call did not wait.
func (h pathHealth) withRelayed(now time.Time, took time.Duration, measured bool) pathHealth {
	h.relayedAt = now
	if measured {
		h.relayed = average(h.relayed, took)
	}
	return h
}

// withProbe records a probe of an impaired path. It is good if it was answered
// before a call would have been hedged, or about as fast as relayed calls are.
func (h pathHealth) withProbe(took time.Duration, answered bool) pathHealth {
	asRelayed := h.relayed + time.Duration(classMargin*float64(h.relayed))
	if !answered || took > max(h.hedgeDelay(), asRelayed) {
		h.goodProbes = 0
		return h
	}
	h = h.withAnswer(took, true)
	if took > h.hedgeDelay() {
		// The store is slow for others as well, which must not be announced as fast.
		h.usual = took
		h.class = h.nextClass()
	}
	if h.goodProbes++; h.goodProbes < recoveryProbes {
		return h
	}
	return h.withRecovery()
}

// hedgeDelay returns the time after which a direct call without an answer is sent
// another way: several times the usual answer time of the faster path, so that a
// slow direct path does not raise it. Before there is a measurement it is
// directTimeout.
func (h pathHealth) hedgeDelay() time.Duration {
	if h.usual > 0 && h.relayed > 0 {
		return hedgeDelay(min(h.usual, h.relayed))
	}
	return hedgeDelay(h.usual)
}

// relayHedgeDelay is hedgeDelay of a relayed call.
func (h pathHealth) relayHedgeDelay() time.Duration { return hedgeDelay(cmp.Or(h.relayed, h.usual)) }

func hedgeDelay(usual time.Duration) time.Duration {
	if usual == 0 {
		return directTimeout
	}
	return min(max(hedgeFactor*usual, minHedgeDelay), maxHedgeDelay)
}

// nextClass returns the class for the usual answer time. A class is left only when
// its limit is passed by classMargin.
func (h pathHealth) nextClass() pathClass {
	margin := func(limit time.Duration, better bool) time.Duration {
		if h.class == pathUnknown {
			return limit
		}
		if better {
			return limit + time.Duration(classMargin*float64(limit))
		}
		return limit - time.Duration(classMargin*float64(limit))
	}
	switch {
	case h.usual <= margin(fastAnswer, h.class == pathFast):
		return pathFast
	case h.usual <= margin(moderateAnswer, h.class == pathFast || h.class == pathModerate):
		return pathModerate
	}
	return pathSlow
}

// average returns the moving average after a new value.
func average(before, value time.Duration) time.Duration {
	if before == 0 {
		return max(value, 1)
	}
	value = min(value, maxAnswerFactor*before)
	return before + time.Duration(usualWeight*float64(value-before))
}

const (
	// maxHedges is the number of calls that may be hedged in a row without success.
	maxHedges = 8
	// hedgeShare is the share of the calls that may be hedged without success for
	// long. The store limits the rate of calls, and all are priced.
	hedgeShare = 0.05
)

// hedgeBudget limits the calls that are hedged without success. The zero value is
// a full budget. Values are immutable.
type hedgeBudget struct{ spent float64 }

// withCall records a call.
func (b hedgeBudget) withCall() hedgeBudget { return hedgeBudget{max(b.spent-hedgeShare, 0)} }

// withHedge records a hedge. It returns false, and the budget unchanged, if the
// budget is spent.
func (b hedgeBudget) withHedge() (hedgeBudget, bool) {
	if b.spent+1 > maxHedges {
		return b, false
	}
	return hedgeBudget{b.spent + 1}, true
}

// withSuccess records that a hedge was answered first, which costs nothing.
func (b hedgeBudget) withSuccess() hedgeBudget { return hedgeBudget{max(b.spent-1, 0)} }

const (
	// maxRandomRelays is the maximum number of instances that are tried for one call
	// while none announces a class.
	maxRandomRelays = 2
	// maxRelays is the maximum number of instances that are tried for one call. An
	// instance that the store has just turned away may still announce a good class,
	// and refuses within a round trip.
	maxRelays = 4
)

// selectRelays returns the names of the instances through which a call is relayed,
// best first: those that have not failed lately, by class, in the data centre and
// then in the region of this instance. Peers must be in random order, which spreads
// the calls over equal ones.
func selectRelays(self platform.Instance, peers []member.Peer, failedLately func(name string) bool) []string {
	limit := maxRandomRelays
	var usable []member.Peer
	for _, p := range peers {
		class := decodePathClass(p)
		if class != pathUnknown {
			limit = maxRelays
		}
		if p.Connected && p.Health == member.HealthAlive && class != pathNone {
			usable = append(usable, p)
		}
	}
	distance := func(i platform.Instance) int {
		switch {
		case i.DataCentre == self.DataCentre:
			return 0
		case i.Region == self.Region:
			return 1
		}
		return 2
	}
	failed := func(p member.Peer) int {
		if failedLately(p.Instance.Name) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(usable, func(a, b member.Peer) int {
		return cmp.Or(
			cmp.Compare(failed(a), failed(b)),
			cmp.Compare(decodePathClass(a).rank(), decodePathClass(b).rank()),
			cmp.Compare(distance(a.Instance), distance(b.Instance)),
		)
	})
	var names []string
	for _, p := range usable[:min(len(usable), limit)] {
		names = append(names, p.Instance.Name)
	}
	return names
}
