package rack

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// Member is the place of one member of a gang.
type Member struct {
	Worker       string
	Accelerators int
	// Checkpoint names the checkpoint to resume from, if any.
	Checkpoint string
}

// GangRequest describes a gang to start. A member's number is its position.
type GangRequest struct {
	Job      string
	Attempt  int
	Team     string
	Template string
	Payload  []byte
	Members  []Member
	Borrowed bool
	// ExpectedEnd is when the gang is expected to end; zero if unknown. Workers are
	// polled more often around it.
	ExpectedEnd time.Time
}

// OutcomeKind is the kind of an outcome.
type OutcomeKind string

// Kinds of outcome.
const (
	// OutcomeDone means that all members ended with a result.
	OutcomeDone OutcomeKind = "done"
	// OutcomeFailed means that a member failed; the others were stopped.
	OutcomeFailed OutcomeKind = "failed"
	// OutcomeLost means that the gang could not run or finish as a whole for
	// a reason outside the job; what was left of it was stopped.
	OutcomeLost OutcomeKind = "lost"
)

// Outcome is the end of one attempt of a gang.
type Outcome struct {
	Rack    string
	Job     string
	Attempt int
	Team    string
	Kind    OutcomeKind
	// Results holds the result of each member, by position; nil if it has none.
	Results [][]byte
	// Member is the first member that failed or was lost, or -1.
	Member int
	Reason string
	// Started is zero if no member is known to have started.
	Started time.Time
	Ended   time.Time
}

// OutcomeHandler receives outcomes.
type OutcomeHandler interface {
	// HandleOutcome returns nil when the outcome is committed durably, or when the
	// attempt already has a committed end. Only then do the workers drop
	// their results. After an error the outcome is delivered again. The same
	// outcome may also be delivered by a later owner of the rack.
	HandleOutcome(ctx context.Context, o Outcome) error
}

// RunningGang is a running gang in a summary.
type RunningGang struct {
	Job      string
	Attempt  int
	Team     string
	Template string
	Borrowed bool
	// Accelerators is the number in use on each worker.
	Accelerators map[string]int
	Started      time.Time
}

// WorkerSummary is the state of a worker in a summary.
type WorkerSummary struct {
	Name         string
	Accelerators int
	Free         int
	Leaving      bool
	// Reachable tells whether the command lease is in force.
	Reachable bool
}

// Summary is the state of a rack as its owner sees it.
type Summary struct {
	Rack       string
	Generation platform.Generation
	Workers    []WorkerSummary
	Running    []RunningGang
}
