package member

import "time"

// Heartbeat timing within a data centre.
const (
	heartbeatInterval = 500 * time.Millisecond
	suspectTimeout    = 1 * time.Second
	deadTimeout       = 2 * time.Second
)

// Heartbeat timing between data centres. Ownership does not depend on instances
// of other data centres, so the lower rate only delays failure detection.
const (
	remoteHeartbeatInterval = 2 * time.Second
	remoteSuspectTimeout    = 4 * time.Second
	remoteDeadTimeout       = 8 * time.Second
	// remotePeersPerDataCentre is the number of instances of each other data
	// centre with which an instance keeps a session.
	remotePeersPerDataCentre = 2
)

// Timing of periodic work and dials.
const (
	tickInterval      = 100 * time.Millisecond
	directoryInterval = 2 * time.Second
	directoryTimeout  = 5 * time.Second
	dialTimeout       = 1 * time.Second
	// dialDelay is how long the instance with the higher name waits before it
	// dials, so that two instances that discover each other at the same time do
	// not open two sessions.
	dialDelay          = 300 * time.Millisecond
	initialDialBackoff = 200 * time.Millisecond
	maxDialBackoff     = 2 * time.Second
	// minHeartbeatGap is the minimum time between a heartbeat and a triggered one
	// on the same session.
	minHeartbeatGap = 10 * time.Millisecond
	// pauseThreshold is the pause of the own process above which the timestamps
	// of peers are shifted, because it was this process that did not receive.
	pauseThreshold = 300 * time.Millisecond
	deadPeerTTL    = 1 * time.Minute
	// dialRaceWindow is the age up to which a session may be the result of both
	// sides dialling at the same time.
	dialRaceWindow = 1 * time.Second
	// deadSuspectPeriod is the number of heartbeats between two reports of a
	// suspect that has already been declared dead.
	deadSuspectPeriod = 4
)

// heartbeatTiming holds the heartbeat interval and timeouts of a peer.
type heartbeatTiming struct {
	interval       time.Duration
	suspectTimeout time.Duration
	deadTimeout    time.Duration
}

var (
	localTiming  = heartbeatTiming{heartbeatInterval, suspectTimeout, deadTimeout}
	remoteTiming = heartbeatTiming{remoteHeartbeatInterval, remoteSuspectTimeout, remoteDeadTimeout}
)
