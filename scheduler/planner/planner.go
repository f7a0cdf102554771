// Package planner plans starts, preemptions and reservations for one data centre.
// Its decisions depend only on their input, which includes the time.
package planner

import (
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
)

// Input is the input of a round. Decide does not change it.
type Input struct {
	Now     time.Time
	Pending *queue.Queue
	// Racks hold the state of all workers. Free is as reported by the workers and
	// adjusted for starts in progress. Decide itself accounts for guaranteed and
	// reserved accelerators and for quarantined workers.
	Racks []gang.Rack
	// Running is all running work, including work that is starting or being
	// evicted.
	Running []Running
	// Plan must be recomputed, with the guaranteed running work pinned, whenever
	// the guarantees or the workers change or a worker enters or leaves
	// quarantine. Quarantined workers count as down in it.
	Plan guarantee.Plan
	// Estimator and Quarantine may be nil.
	Estimator  *queue.Estimator
	Quarantine *quarantine.Tracker
	// Reservations are those of the previous result, except those of jobs that
	// have started or were cancelled.
	Reservations []Reservation
}

// Running is a running gang and the job it runs.
type Running struct {
	guarantee.Work
	Request queue.Job

	// guaranteed and weight are computed once per round.
	guaranteed bool
	weight     float64
}

// Start is the decision to start a job on free workers.
type Start struct {
	Job     queue.Job
	Rack    string
	Workers []string
	Kind    guarantee.Kind
}

// Preemption is the decision to checkpoint and stop gangs so that a job can start.
type Preemption struct {
	// Job is the job that needs the capacity. It starts in a later round, on its
	// reserved workers.
	Job       string
	Rack      string
	Evictions []guarantee.Eviction
	// Deadline is when the evicted gangs must have stopped, even if their
	// checkpoints are incomplete.
	Deadline time.Time
}

// Reservation keeps workers of a rack for a waiting job.
type Reservation struct {
	Job     string
	Rack    string
	Workers []string
	Shape   gang.Shape
	Kind    guarantee.Kind
	// Since is when the reservation was made.
	Since time.Time
	// Until is when the job is expected to start. Work that ends before then may
	// still start on the reserved workers.
	Until time.Time
	// Preempting is set once the running work has been told to stop.
	Preempting bool
}

// Refusal is a pending job that can never run.
type Refusal struct {
	Job   queue.Job
	Error *queue.RefusedError
}

// Result holds the decisions of one round, to be carried out in the order of the
// fields.
type Result struct {
	Refusals    []Refusal
	Preemptions []Preemption
	Starts      []Start
	// Reservations are the reservations in force, to be passed to the next round.
	Reservations []Reservation
}

// Options sets the planning policy of a data centre.
type Options struct {
	Weights gang.Weights
	// GracePeriod is the grace period of evicted work to write its checkpoint.
	GracePeriod time.Duration
	// DrainDelay is how long a job waits before workers are drained for it, and
	// how long they are drained before the work left on them is evicted.
	DrainDelay time.Duration
	// MaxDrains limits the number of jobs for which workers are drained at a time.
	MaxDrains int
	// MaxStarts and MaxPreemptions limit the decisions of one round.
	MaxStarts      int
	MaxPreemptions int
	// PreemptionRatio is how many times the weight of running work a waiting job
	// must have to evict it. Zero disables eviction by weight.
	PreemptionRatio float64
	// MinRunTime is the minimum run time of work before it is evicted by weight.
	MinRunTime time.Duration
}

// DefaultOptions returns the options for the given weights.
func DefaultOptions(w gang.Weights) Options {
	return Options{
		Weights: w, GracePeriod: 2 * time.Second, DrainDelay: 2 * time.Minute, MaxDrains: 4,
		MaxStarts: 256, MaxPreemptions: 32, PreemptionRatio: 2, MinRunTime: 10 * time.Minute,
	}
}

// Planner makes the planning decisions for one data centre.
type Planner struct {
	options Options
}

// New returns a planner with the given options.
func New(o Options) *Planner {
	return &Planner{options: o}
}

// Decide returns the decisions of one round. The caller carries them out and calls
// Decide again when work arrives, ends or is cancelled, when a worker changes, and
// at least once a second while any job is pending. Started and refused jobs must
// be removed from the queue before the next round.
func (p *Planner) Decide(in Input) Result {
	r := newRound(p.options, in)
	r.renewReservations()
	r.schedule()
	return r.result
}
