package rack

import "time"

// Timing of the lease on a worker.
const (
	commandLease  = 10 * time.Second
	renewInterval = 3 * time.Second
	retryInterval = 500 * time.Millisecond
	renewTimeout  = 1 * time.Second
	// leaseMargin is kept between an action and the end of the lease, because
	// the worker receives the action later.
	leaseMargin = 500 * time.Millisecond
	// A worker that could not be reached for a whole command lease is lost.
	lostAfter = commandLease
)

// Timing of a takeover. A rack of which some workers do not answer is taken
// over without them after both limits, so that it has an owner within 3 s of
// the death of the former one.
const (
	surveyLimit  = 250 * time.Millisecond
	claimLimit   = 250 * time.Millisecond
	handOverTime = 1 * time.Second
	releaseLimit = 500 * time.Millisecond
	holdInterval = 500 * time.Millisecond
	// holdLimit ends the hold on a platform that does not report the end of
	// the lease in force; it is below the 120 s after which a worker stops
	// tasks that nobody renews.
	holdLimit = 60 * time.Second
)

// Timing of a gang start. Both steps together end before a reservation lapses.
const (
	reservationTime = 2 * time.Second
	stepTime        = 900 * time.Millisecond
	callTimeout     = 400 * time.Millisecond
	callRetry       = 50 * time.Millisecond
)

// Timing of polls for ended tasks. The interval is a share of the time since
// the start and of the time to the expected end, so the delay with which an
// end is seen stays a small share of the run time.
const (
	pollFirst = 250 * time.Millisecond
	pollShare = 8
)

// Timing of stops and deliveries.
const (
	stopRetry     = 200 * time.Millisecond
	stopShare     = 4 // part of the grace that is kept for the stop
	stopLimit     = 500 * time.Millisecond
	deliveryFirst = 100 * time.Millisecond
	deliveryLast  = 5 * time.Second
	closedTime    = 10 * time.Minute
)
