package control

import "time"

// Config is the configuration of a deployment. It does not change; a newer
// one replaces it.
type Config struct {
	Version  int64
	Queues   map[string]Queue
	Teams    map[string]Team
	Services map[string]Service
}

// Queue is how the jobs of a queue are served.
type Queue struct {
	Name    string
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch times the shortest possible run time of a job plus Target is its
	// objective.
	Stretch float64
	Target  time.Duration
	// Advised is set if an adviser tells on which workers its steps may run.
	Advised bool
}

// Team is a team's guarantee.
type Team struct {
	Name string
	// Guaranteed accelerators belong to the team's jobs of priority 0.
	Guaranteed int64
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded is set if its workers refuse what does not fit.
	Guarded bool
	// Standby is set if its machines are off.
	Standby bool
}
