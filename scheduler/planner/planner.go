// Package planner combines the decision packages into the decisions for one
// data centre. Decide reads its input and the time in it, and nothing else.
package planner

import (
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
)

// Input is what decisions depend on. Decide changes none of it.
type Input struct {
	Now     time.Time
	Pending *queue.Queue
	// Racks hold the state of all workers: Free as reported by the workers and
	// adjusted for starts under way. Guaranteed and drains are set by Decide.
	Racks []gang.Rack
	// Running is all running work, including work that is starting or being
	// evicted.
	Running []Running
	// Plan is derived again, with the guaranteed running work pinned, whenever
	// the guarantees or the workers change or a worker enters or leaves
	// quarantine; quarantined workers count as down for it.
	Plan guarantee.Plan
	// Estimator and Book may be nil.
	Estimator  *queue.Estimator
	Quarantine *quarantine.Tracker
	// Reservations are those of the previous result, without jobs that have started or
	// were cancelled.
	Reservations []Reservation
}

// Running is a running gang and the job it runs.
type Running struct {
	guarantee.Work
	Request queue.Job

	// guaranteed and weight are derived once in a round.
	guaranteed bool
	weight     float64
}

// Start tells to start a job on free workers.
type Start struct {
	Job     queue.Job
	Rack    string
	Workers []string
	Kind    guarantee.Kind
}

// Preemption tells to checkpoint and stop gangs so that a job can start.
type Preemption struct {
	// Job is the one that needs the room. It starts in a later round through
	// its hold.
	Job       string
	Rack      string
	Evictions []guarantee.Eviction
	// Deadline is when the evicted gangs must have stopped, whether their
	// checkpoint has ended or not.
	Deadline time.Time
}

// Reservation keeps workers of a rack for a waiting job.
type Reservation struct {
	Job     string
	Rack    string
	Workers []string
	Shape   gang.Shape
	Kind    guarantee.Kind
	// Since is when the hold began.
	Since time.Time
	// Until is when the job is expected to start. Work that ends before then
	// may still start on the held workers.
	Until time.Time
	// Preempting is set once the running work was told to stop.
	Preempting bool
}

// Refusal is a pending job that can never run.
type Refusal struct {
	Job   queue.Job
	Error *queue.RefusedError
}

// Result is the decisions of one round, to be carried out in the order of the
// fields.
type Result struct {
	Refusals    []Refusal
	Preemptions []Preemption
	Starts      []Start
	// Reservations are the holds in force, to be passed to the next round.
	Reservations []Reservation
}

// Options sets the policy of a site.
type Options struct {
	Weights gang.Weights
	// Grace is the time that evicted work has for its checkpoint.
	Grace time.Duration
	// DrainDelay is how long a job waits before workers are drained for it.
	DrainDelay time.Duration
	// MaxDrains is the largest number of jobs for which workers are drained at a
	// time.
	MaxDrains int
	// MaxStarts and Evictions limit the decisions of one round.
	MaxStarts    int
	MaxEvictions int
	// PreemptionRatio is how many times the weight of running work a waiting job
	// needs to have it evicted. Zero disables eviction by weight.
	PreemptionRatio float64
	// MinRunTime is how long work runs at least before it is evicted by weight.
	MinRunTime time.Duration
}

// DefaultOptions returns the options for the given weights.
func DefaultOptions(w gang.Weights) Options {
	return Options{
		Weights: w, Grace: 2 * time.Second, DrainDelay: 2 * time.Minute, MaxDrains: 4,
		MaxStarts: 256, MaxEvictions: 32, PreemptionRatio: 2, MinRunTime: 10 * time.Minute,
	}
}

// Planner makes the decisions for one data centre.
type Planner struct {
	options Options
}

// New returns a planner with the given options.
func New(o Options) *Planner {
	return &Planner{options: o}
}

// Decide returns the decisions of one round. The caller carries them out and
// calls it again when work arrives, ends or is cancelled, when a worker
// changes, and at least once a second while anything is pending. A started or
// refused job must be removed from the queue before the next round.
func (p *Planner) Decide(in Input) Result {
	r := newRound(p.options, in)
	r.keepHolds()
	r.schedule()
	return r.result
}
