package queue

import (
	"cmp"
	"math"
	"time"
)

const (
	// plannedFactor is the weight of planned over background work.
	plannedFactor = 4
	// deadlineFactor is the weight of a job that must start now to meet its
	// deadline.
	deadlineFactor = 8
	// priorityFactor is the weight of one step of team priority.
	priorityFactor = 1.5
	// priorityLimit bounds the steps that count, so that no priority makes up
	// for any length of waiting.
	priorityLimit = 8
	// shortest bounds the response ratio of very short jobs.
	shortest = 10 * time.Second
)

// rank is the position of a job in the order. Quick jobs go first, by team
// priority and deadline. Other jobs go by their response ratio, which grows
// with waiting faster for short jobs and without limit for all, so no job
// starves in the order.
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

// Weight returns the weight of a planned or background job in the order at the
// given time.
func Weight(j Job, e *Estimator, now time.Time) float64 {
	return weightOf(&j, e.Estimate(j), now)
}

func weightOf(j *Job, est Estimate, now time.Time) float64 {
	expected := max(shortest, est.Median).Seconds()
	waited := max(0, now.Sub(j.Accepted).Seconds())
	weight := (waited + expected) / expected
	if j.Class == ClassPlanned {
		weight *= plannedFactor
	}
	weight *= math.Pow(priorityFactor, float64(min(max(j.Priority, -priorityLimit), priorityLimit)))
	if pressing(j, est, now) {
		weight *= deadlineFactor
	}
	return weight
}

// pressing reports whether the job may miss its deadline unless it starts now
// and has a chance to meet it.
func pressing(j *Job, est Estimate, now time.Time) bool {
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

// compareDeadline orders deadlines; none comes last.
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
