package quote

import "time"

// Parts of the queue's bound up to which a class is queued for a team beyond
// its share.
const (
	quickPart      = 0.75
	plannedPart    = 0.5
	backgroundPart = 0.25
)

// conditions is the load that admission depends on.
type conditions struct {
	// usable is false when no worker takes work.
	usable bool
	// idle is set when a slot is free and nobody waits for one.
	idle       bool
	overloaded bool
	queued     int
	limit      int
	slots      int
	// holding is the mean time a request occupies a slot.
	holding time.Duration
}

// applicant is the request whose admission is decided.
type applicant struct {
	class Class
	// within is set when the team is within its guarantee or share.
	within bool
	// ahead is the number of waiting requests of the team that go first.
	ahead int
	// share is the team's number of slots.
	share float64
	// remaining is the time to the deadline.
	remaining time.Duration
	service   time.Duration
	// trial requests are admitted to correct an estimate that keeps all
	// others out.
	trial bool
}

// admit returns the reason to refuse a request, or "" to admit it. A request
// that is admitted to a full queue displaces another one.
func admit(c conditions, a applicant) Reason {
	if !c.usable || c.slots == 0 {
		return ReasonNoWorkers
	}
	if a.remaining <= 0 {
		return ReasonDeadline
	}
	late := waitTime(c, a)+a.service > a.remaining
	if late && !a.trial {
		return ReasonDeadline
	}
	if c.idle {
		return ""
	}
	if c.overloaded && a.class == ClassBackground {
		return ReasonOverload
	}
	if c.queued >= queuePart(c, a) {
		return ReasonOverload
	}
	return ""
}

// queuePart returns the length of the queue at which the request is shed.
func queuePart(c conditions, a applicant) int {
	limit := float64(c.limit)
	switch {
	case a.class == ClassBackground:
		limit *= backgroundPart
	case a.within:
		// The queue's hard bound holds by displacing others.
		return c.limit + 1
	case a.class == ClassPlanned:
		limit *= plannedPart
	default:
		limit *= quickPart
	}
	return max(int(limit), 1)
}

// waitTime returns the expected time in the queue. A team's own requests
// drain at the rate of its share at least, and the whole queue at the rate of
// all slots.
func waitTime(c conditions, a applicant) time.Duration {
	if c.idle {
		return 0
	}
	all := float64(c.queued+1) / float64(c.slots)
	own := float64(a.ahead+1) / max(a.share, 0.01)
	return time.Duration(min(all, own) * float64(c.holding))
}

// standing detects a queue that never drains, as CoDel does: it has not been
// empty for an interval. The delay of served requests is no sign of it, since
// the age bound keeps that delay low.
type standing struct {
	interval time.Duration
	// empty is when the queue was last empty.
	empty time.Time
}

func (s *standing) drained(now time.Time) { s.empty = now }

func (s *standing) overloaded(queued int, now time.Time) bool {
	return queued > 0 && now.Sub(s.empty) > s.interval
}

// gap returns four times the mean time between two free slots. An age bound
// below it would empty the queue between them.
func gap(holding time.Duration, slots int) time.Duration {
	return 4 * holding / time.Duration(max(slots, 1))
}
