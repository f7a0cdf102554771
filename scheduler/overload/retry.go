package overload

import "time"

const (
	// minRetry is the shortest delay after which a refused caller returns. Callers
	// read it in whole seconds.
	minRetry = 1 * time.Second
	// maxRetry is the longest delay. Overload ends sooner than expected when a burst
	// ends, and a caller that returns only 4 times should not miss that by minutes.
	maxRetry = 30 * time.Second
)

// Schedule spreads the return of refused callers of one priority, so that they do
// not return together and those refused first return first. The zero value expects
// nobody.
type Schedule struct {
	// next is when the latest refused caller has used the capacity that it returns
	// for.
	next time.Time
}

// WithRefusal returns the schedule after a refusal, and the delay to tell the caller.
// The caller returns at the earliest after the given delay and once those refused
// before could have been served; length is the time for which its job occupies the
// whole capacity. The delay is at most the limit, after which the caller has no use
// for the result.
func (s Schedule) WithRefusal(now time.Time, after, length, limit time.Duration) (Schedule, time.Duration) {
	limit = min(max(limit, minRetry), maxRetry)
	at := now.Add(min(max(after, minRetry), limit))
	if s.next.After(at) {
		at = s.next
	}
	if latest := now.Add(limit); at.After(latest) {
		return s, limit
	}
	return Schedule{next: at.Add(length)}, at.Sub(now)
}

const (
	// budgetPeriod is the time over which refusals are counted. It is several times
	// the run time of the work that is refused, so that the effect of the refusals
	// shows in the next period.
	budgetPeriod = 10 * time.Second
	// maxRefusedShare is the largest part of the submissions of a queue that is
	// refused. A caller submits up to 5 times: even if every forecast is wrong, one
	// that does so is accepted with a probability of about three quarters.
	maxRefusedShare = 0.75
)

// Budget bounds the refusals of a queue, so that wrong forecasts cannot turn most
// callers away. The zero value has seen no submission.
type Budget struct {
	since              time.Time
	submitted, refused int
}

// Allows reports whether the next submission may be refused.
func (b Budget) Allows(now time.Time) bool {
	b = b.at(now)
	return float64(b.refused+1) <= maxRefusedShare*float64(b.submitted+1)
}

// With returns the budget after a submission.
func (b Budget) With(refused bool, now time.Time) Budget {
	b = b.at(now)
	b.submitted++
	if refused {
		b.refused++
	}
	return b
}

// at returns the budget with the submissions of earlier periods removed.
func (b Budget) at(now time.Time) Budget {
	if now.Sub(b.since) >= budgetPeriod {
		return Budget{since: now}
	}
	return b
}
