package rack

import "time"

// Timing of the command lease on a worker.
const (
	commandLeaseTTL = 10 * time.Second
	renewInterval   = 3 * time.Second
	retryInterval   = 500 * time.Millisecond
	renewTimeout    = 1 * time.Second
	// leaseMargin is the minimum time between sending a command and the end of
	// the lease, because the worker receives the command later.
	leaseMargin = 500 * time.Millisecond
	// workerLostTimeout is the time without an answer after which a worker is
	// lost. It is a whole command lease.
	workerLostTimeout = commandLeaseTTL
)

// Timing of a takeover. A rack is taken over without the workers that do not
// answer within surveyTimeout and claimTimeout, so that it has an owner within 3 s
// after the former owner died.
const (
	surveyTimeout   = 250 * time.Millisecond
	claimTimeout    = 250 * time.Millisecond
	handOverTimeout = 1 * time.Second
	releaseTimeout  = 500 * time.Millisecond
	surveyInterval  = 500 * time.Millisecond
	// maxHoldTime is the time for which a denied instance does not claim the
	// rack again if the platform does not report the end of the lease in
	// force. It is below the 120 s after which a worker stops tasks that nobody
	// renews.
	maxHoldTime = 60 * time.Second
)

// Timing of a gang start. Both steps together end before a reservation expires.
const (
	reservationTTL = 2 * time.Second
	stepTimeout    = 900 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
	callRetryDelay = 50 * time.Millisecond
)

// Timing of polls for ended tasks. The interval is the time since the start or the
// time to the expected end divided by pollDivisor, so the delay until an end is
// noticed stays a small share of the run time.
const (
	minPollInterval = 250 * time.Millisecond
	pollDivisor     = 8
)

// Timing of stops and outcome deliveries.
const (
	stopRetryInterval      = 200 * time.Millisecond
	stopGraceDivisor       = 4 // 1/4 of the grace period, at most maxStopTime, is kept for the stop
	maxStopTime            = 500 * time.Millisecond
	initialDeliveryBackoff = 100 * time.Millisecond
	maxDeliveryBackoff     = 5 * time.Second
	closedTTL              = 10 * time.Minute
)
