package rack

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// Member describes where one member of a gang runs.
type Member struct {
	Worker       string
	Accelerators int
	// Checkpoint names the checkpoint to resume from, if any.
	Checkpoint string
}

// GangRequest describes a gang to start. The number of a member is its index in
// Members.
type GangRequest struct {
	Job      string
	Attempt  int
	Team     string
	Template string
	Payload  []byte
	Members  []Member
	Borrowed bool
	// ExpectedEnd is the time at which the gang is expected to end; zero if
	// unknown. Workers are polled more often around it.
	ExpectedEnd time.Time
}

// OutcomeKind indicates how an attempt of a gang ended.
type OutcomeKind string

// Kinds of outcomes.
const (
	// OutcomeDone means that all members ended with a result.
	OutcomeDone OutcomeKind = "done"
	// OutcomeFailed means that a member failed and the others were stopped.
	OutcomeFailed OutcomeKind = "failed"
	// OutcomeLost means that the gang could not run or finish as a whole for a
	// reason outside the job. The remaining members were stopped.
	OutcomeLost OutcomeKind = "lost"
)

// Outcome is the result of one attempt of a gang.
type Outcome struct {
	Rack    string
	Job     string
	Attempt int
	Team    string
	Kind    OutcomeKind
	// Results holds the result of each member, by member number; nil for a
	// member without a result.
	Results [][]byte
	// Member is the number of the first member that failed or was lost, or -1.
	Member int
	Reason string
	// Started is zero if no member is known to have started.
	Started time.Time
	Ended   time.Time
}

// OutcomeHandler commits the outcomes of gangs.
type OutcomeHandler interface {
	// HandleOutcome returns nil if the outcome is committed durably, or if the
	// attempt already has a committed outcome. Only then do the workers delete
	// their results. After an error the outcome is delivered again. A later
	// owner of the rack may also deliver the same outcome.
	HandleOutcome(ctx context.Context, o Outcome) error
}

// RunningGang describes a running gang in a Summary.
type RunningGang struct {
	Job      string
	Attempt  int
	Team     string
	Template string
	Borrowed bool
	// Accelerators is the number of accelerators in use on each worker.
	Accelerators map[string]int
	Started      time.Time
}

// WorkerSummary describes a worker in a Summary.
type WorkerSummary struct {
	Name         string
	Accelerators int
	Free         int
	Leaving      bool
	// Reachable reports whether the command lease is in force.
	Reachable bool
}

// Summary is the state of a rack as its owner sees it.
type Summary struct {
	Rack       string
	Generation platform.Generation
	Workers    []WorkerSummary
	Running    []RunningGang
}
