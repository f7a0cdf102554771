package member

import "time"

// Timing within a data centre.
const (
	heartbeatInterval = 500 * time.Millisecond
	suspectAfter      = 1 * time.Second
	deadAfter         = 2 * time.Second
)

// Timing between data centres. Nothing there takes part in ownership, so the
// lower rate costs only a later detection.
const (
	remoteInterval     = 2 * time.Second
	remoteSuspectAfter = 4 * time.Second
	remoteDeadAfter    = 8 * time.Second
	// remotePeers is the number of instances of each other data centre to
	// which an instance keeps a session.
	remotePeers = 2
)

// Timing of the group's own work.
const (
	tickInterval      = 100 * time.Millisecond
	directoryInterval = 2 * time.Second
	directoryTimeout  = 5 * time.Second
	dialTimeout       = 1 * time.Second
	// The instance with the higher name dials later, so that two instances
	// that find each other at once do not open two sessions.
	dialDelay      = 300 * time.Millisecond
	dialRetryFirst = 200 * time.Millisecond
	dialRetryLast  = 2 * time.Second
	// kickGap is the shortest time between two heartbeats of a session that are
	// sent before their time.
	kickGap = 10 * time.Millisecond
	// A pause of the own process longer than this is added to the time since
	// peers were last heard from: the silence was its own.
	pauseTolerance = 300 * time.Millisecond
	forgetAfter    = 1 * time.Minute
	// A session younger than this may have been opened by both sides at once.
	raceWindow = 1 * time.Second
	// deadReminder is the number of heartbeats between two suspicions of an
	// instance that is already considered dead.
	deadReminder = 4
)

// cadence is the timing of a peer's heartbeats.
type cadence struct {
	interval time.Duration
	suspect  time.Duration
	dead     time.Duration
}

var (
	localCadence  = cadence{heartbeatInterval, suspectAfter, deadAfter}
	remoteCadence = cadence{remoteInterval, remoteSuspectAfter, remoteDeadAfter}
)
