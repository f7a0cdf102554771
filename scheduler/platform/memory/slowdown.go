package memory

import (
	"time"

	"daisylug.example/scheduler/batch"
)

// pace is the progress of a run that others on the worker slow down.
type pace struct {
	// work is the run time without others, done the part of it that was done at the
	// time since. From then on the run takes factor times as long.
	work, done, since time.Duration
	factor            float64
}

func (p *pace) doneAt(now time.Duration) time.Duration {
	return p.done + time.Duration(float64(now-p.since)/p.factor)
}

// adjustPaces applies Slowdown after a run has started or ended.
func (r *Runner) adjustPaces(at time.Duration) {
	if r.Slowdown == nil {
		return
	}
	for _, active := range r.running {
		var others []batch.TaskID
		for _, o := range r.running {
			if o != active {
				others = append(others, o.run.Task)
			}
		}
		p := &active.pace
		if p.factor == 0 {
			p.work, p.since, p.factor = active.endsAt-active.startedAt, active.startedAt, 1
		}
		p.done, p.since, p.factor = p.doneAt(at), at, r.Slowdown(active.run.Task, others)
		active.endsAt = at + time.Duration(float64(p.work-p.done)*p.factor)
	}
}

// progress returns the completed share of a run.
func (r *Runner) progress(active *activeRun, now time.Duration) float64 {
	if p := &active.pace; p.factor > 0 {
		return float64(p.doneAt(now)) / float64(max(p.work, 1))
	}
	return float64(now-active.startedAt) / float64(max(active.endsAt-active.startedAt, 1))
}
