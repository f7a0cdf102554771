// Package queue orders the pending jobs of a data centre and estimates run times.
// Its results depend only on the calls made and the times passed to them.
package queue

import (
	"cmp"
	"fmt"
	"time"

	"daisylug.example/scheduler/gang"
)

// Class is the latency class of a job.
type Class int

// Classes, most urgent first.
const (
	ClassQuick Class = iota
	ClassPlanned
	ClassBackground
)

// Job is a pending job.
type Job struct {
	ID       string
	Team     string
	Template string
	Class    Class
	// Priority is the priority of the team; higher values go first.
	Priority int
	Shape    gang.Shape
	Accepted time.Time
	// Deadline is when the result becomes useless; zero means never.
	Deadline time.Time
	// Declared is the declared run time on a worker of speed 1.
	Declared time.Duration
	// Remaining is the share of the work that is not yet done, from 0 to 1. Zero
	// counts as 1. It is less than 1 after a checkpoint.
	Remaining float64
	// NonPreemptible marks a job that must not be run again and therefore should
	// not be evicted.
	NonPreemptible bool
	// AvoidWorkers lists the workers on which the job failed.
	AvoidWorkers []string
}

// remainingShare returns Remaining, or 1 if it is out of range.
func (j Job) remainingShare() float64 {
	if j.Remaining <= 0 || j.Remaining > 1 {
		return 1
	}
	return j.Remaining
}

func (j Job) olderThan(o Job) bool { return j.compareAge(o) < 0 }

func (j Job) compareAge(o Job) int {
	return cmp.Or(j.Accepted.Compare(o.Accepted), cmp.Compare(j.ID, o.ID))
}

// Reason is the reason for refusing a job.
type Reason string

// Reasons for a refusal.
const (
	// ReasonShape means that the shape is out of range.
	ReasonShape Reason = "shape"
	// ReasonRack means that no rack has enough workers of the required size.
	ReasonRack Reason = "rack"
	// ReasonGuarantee means that the job must not be evicted and all racks on
	// which it fits are guaranteed to other teams.
	ReasonGuarantee Reason = "guarantee"
	// ReasonDeadline means that the deadline of the job has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonFailing means that the job fails on healthy workers.
	ReasonFailing Reason = "failing"
)

// RefusedError is returned for a job that can never run.
type RefusedError struct {
	Job    string
	Reason Reason
	Shape  gang.Shape
	// MaxWorkersOnRack is the largest number of workers on one rack that are large enough.
	MaxWorkersOnRack int
}

func (e *RefusedError) Error() string {
	switch e.Reason {
	case ReasonShape:
		return fmt.Sprintf("job %s: shape %s is out of range", e.Job, e.Shape)
	case ReasonRack:
		return fmt.Sprintf("job %s: shape %s fits no rack, at most %d workers of a rack are large enough", e.Job, e.Shape, e.MaxWorkersOnRack)
	case ReasonGuarantee:
		return fmt.Sprintf("job %s: shape %s fits only racks promised to other teams", e.Job, e.Shape)
	case ReasonDeadline:
		return fmt.Sprintf("job %s: the deadline has passed", e.Job)
	default:
		return fmt.Sprintf("job %s: fails on healthy workers", e.Job)
	}
}
