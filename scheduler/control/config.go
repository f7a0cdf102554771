package control

import (
	"time"

	"daisylug.example/scheduler/adviser"
)

// Config is the configuration of a deployment. It is immutable; a newer version
// replaces it.
type Config struct {
	Version  int64
	Queues   map[string]Queue
	Teams    map[string]Team
	Services map[string]Service
}

// Queue defines how the jobs of a queue are served.
type Queue struct {
	Name    string
	Service string
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails.
	MaxAttempts int
	// The objective of a job is Stretch times its shortest possible run time
	// plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is set if an adviser decides on which workers the steps of its
	// jobs may run.
	Advised bool
	// Adviser is what the operator states of it.
	Adviser adviser.Figures
}

// Team holds the guarantee of a team.
type Team struct {
	Name string
	// Guaranteed is the number of accelerators guaranteed to the team's jobs of
	// priority 0.
	Guaranteed int64
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is set if its workers reject tasks that do not fit.
	EnforcesCapacity bool
	// PoweredOff is set if its machines are switched off.
	PoweredOff bool
}
