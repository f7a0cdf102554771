package queue

import (
	"cmp"
	"math"
	"time"
)

const (
	// plannedFactor is the weight of planned relative to background jobs.
	plannedFactor = 4
	// deadlineFactor is the weight factor of a job that must start now to meet
	// its deadline.
	deadlineFactor = 8
	// priorityFactor is the weight factor of one step of team priority.
	priorityFactor = 1.5
	// maxPrioritySteps limits the steps of priority that count, so that no
	// priority can outweigh every waiting time.
	maxPrioritySteps = 8
	// minExpected is the minimum expected run time, which limits the response
	// ratio of very short jobs.
	minExpected = 10 * time.Second
)

// rank is the sort key of a job. Quick jobs go first, by team priority and
// deadline. Other jobs are ordered by their weighted response ratio. It grows with
// the waiting time, faster for short jobs and without limit for all, so that no
// job starves.
type rank struct {
	quick    bool
	priority int
	deadline time.Time
	weight   float64
	accepted time.Time
	id       string
}

func rankOf(j *Job, e *Estimator, now time.Time) rank {
	r := rank{accepted: j.Accepted, id: j.ID}
	if j.Class == ClassQuick {
		r.quick = true
		r.priority = j.Priority
		r.deadline = j.Deadline
		return r
	}
	r.weight = weightOf(j, e.Estimate(*j), now)
	return r
}

// Weight returns the weight that orders planned and background jobs, at the given
// time.
func Weight(j Job, e *Estimator, now time.Time) float64 {
	return weightOf(&j, e.Estimate(j), now)
}

func weightOf(j *Job, est Estimate, now time.Time) float64 {
	expected := max(minExpected, est.Median).Seconds()
	waited := max(0, now.Sub(j.Accepted).Seconds())
	weight := (waited + expected) / expected
	if j.Class == ClassPlanned {
		weight *= plannedFactor
	}
	weight *= math.Pow(priorityFactor, float64(min(max(j.Priority, -maxPrioritySteps), maxPrioritySteps)))
	if deadlineAtRisk(j, est, now) {
		weight *= deadlineFactor
	}
	return weight
}

// deadlineAtRisk reports whether the job may miss its deadline unless it starts
// now, and still has a chance to meet it.
func deadlineAtRisk(j *Job, est Estimate, now time.Time) bool {
	if j.Deadline.IsZero() {
		return false
	}
	left := j.Deadline.Sub(now)
	return left < est.High+est.Median && left > est.Median/2
}

func (r rank) compare(o rank) int {
	if r.quick != o.quick {
		if r.quick {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(o.priority, r.priority),
		compareDeadline(r.deadline, o.deadline),
		cmp.Compare(o.weight, r.weight),
		r.accepted.Compare(o.accepted),
		cmp.Compare(r.id, o.id),
	)
}

// compareDeadline orders deadlines. No deadline comes last.
func compareDeadline(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}
