package quote

import "time"

// Fractions of the queue limit up to which requests of a class are queued. Those
// of quick and planned requests apply to teams beyond their share.
const (
	quickQueueFraction      = 0.75
	plannedQueueFraction    = 0.5
	backgroundQueueFraction = 0.25
)

// queueState is the load on which admission depends.
type queueState struct {
	// hasWorkers is false when no worker accepts work.
	hasWorkers bool
	// slotFree is set when a slot is free and the queue is empty.
	slotFree   bool
	overloaded bool
	queued     int
	limit      int
	slots      int
	// meanSlotTime is the mean time a request occupies a slot.
	meanSlotTime time.Duration
}

// admissionRequest describes the request that is to be admitted or refused.
type admissionRequest struct {
	class Class
	// withinShare is set when the team is within its guarantee or share.
	withinShare bool
	// teamAhead is the number of the team's queued requests that are served
	// first.
	teamAhead int
	// teamShare is the team's number of slots.
	teamShare float64
	// remaining is the time to the deadline.
	remaining time.Duration
	service   time.Duration
	// probesEstimate is set if no other request of the template is running or
	// queued. Such a request is admitted even if it is expected to be late, to
	// correct an estimate that would otherwise keep all of them out.
	probesEstimate bool
}

// admit returns the reason to refuse a request, or "" to admit it. If a request
// is admitted to a full queue, another one is shed.
func admit(state queueState, request admissionRequest) Reason {
	if !state.hasWorkers || state.slots == 0 {
		return ReasonNoWorkers
	}
	if request.remaining <= 0 {
		return ReasonDeadline
	}
	late := expectedWait(state, request)+request.service > request.remaining
	if late && !request.probesEstimate {
		return ReasonDeadline
	}
	if state.slotFree {
		return ""
	}
	if state.overloaded && request.class == ClassBackground {
		return ReasonOverload
	}
	if state.queued >= shedLength(state, request) {
		return ReasonOverload
	}
	return ""
}

// shedLength returns the queue length from which on the request is refused.
func shedLength(state queueState, request admissionRequest) int {
	limit := float64(state.limit)
	switch {
	case request.class == ClassBackground:
		limit *= backgroundQueueFraction
	case request.withinShare:
		// The queue limit is enforced by shedding other requests.
		return state.limit + 1
	case request.class == ClassPlanned:
		limit *= plannedQueueFraction
	default:
		limit *= quickQueueFraction
	}
	return max(int(limit), 1)
}

// expectedWait returns the expected queueing delay. The team's requests are
// served at least at the rate of its share, and the whole queue at the rate of
// all slots.
func expectedWait(state queueState, request admissionRequest) time.Duration {
	if state.slotFree {
		return 0
	}
	all := float64(state.queued+1) / float64(state.slots)
	own := float64(request.teamAhead+1) / max(request.teamShare, 0.01)
	return time.Duration(min(all, own) * float64(state.meanSlotTime))
}

// standingQueue detects a standing queue, in the sense of CoDel: one that has
// not been empty for an interval. The queueing delay of served requests does not
// indicate it, since the age limit keeps that delay low.
type standingQueue struct {
	interval time.Duration
	// lastEmpty is when the queue was last empty.
	lastEmpty time.Time
}

func (s *standingQueue) markEmpty(now time.Time) { s.lastEmpty = now }

func (s *standingQueue) overloaded(queued int, now time.Time) bool {
	return queued > 0 && now.Sub(s.lastEmpty) > s.interval
}

// minAgeLimit returns four times the mean time between two slots becoming free.
// A lower age limit would empty the queue between them.
func minAgeLimit(meanSlotTime time.Duration, slots int) time.Duration {
	return 4 * meanSlotTime / time.Duration(max(slots, 1))
}
