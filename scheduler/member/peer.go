package member

import (
	"time"

	"daisylug.example/scheduler/platform"
)

// Health is the state of a peer as the own instance sees it.
type Health string

// States of health.
const (
	HealthUnknown   Health = "unknown"
	HealthAlive     Health = "alive"
	HealthSuspected Health = "suspected"
	HealthDead      Health = "dead"
)

// Peer is what the own instance knows about another one.
type Peer struct {
	Instance    platform.Instance
	Incarnation uint64
	Health      Health
	// Heard is when it was last heard from, directly or by another peer.
	Heard time.Time
	// Config is the configuration version in effect there.
	Config uint64
	// Values are its application values.
	Values map[string][]byte
	// Connected tells whether there is a session with it.
	Connected bool
}
