package control

import (
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/overload"
)

// loadWarmUp is how long after its start, or after a pause of its process, a planner
// refuses nothing for load. Within it the workers respond and the runs of an earlier
// planner are found, which take a poll of up to 2 s and its repetition.
const loadWarmUp = 5 * time.Second

// maxLoadAge is the age of a measurement above which nothing is refused for load.
// Accepted jobs add to the load until the next measurement, so that without one the
// load only grows. Decisions measure it about every 200 ms.
const maxLoadAge = 2 * time.Second

// checkLoad returns a refusal if the result of a job would come too late to be of
// use. The caller holds the lock. It uses the backlog that the latest decision has
// summed up, because it runs for each submission of a burst. Timed and long-running
// jobs are never refused. If the forecast panics, the job is accepted.
func (p *Planner) checkLoad(spec *batch.Job, q Queue) (resp Response) {
	defer func() {
		if cause := recover(); cause != nil {
			p.handlePanic("forecast of job "+spec.ID, cause)
			resp = Response{}
		}
	}()
	j := &job{spec: spec, queue: q}
	s := p.loads[q.Service]
	if s == nil || spec.Occurrences > 0 || slices.ContainsFunc(spec.Steps, func(step batch.Step) bool { return step.LongRunning }) {
		return Response{}
	}
	now := time.Now()
	w := overload.Waiting{Team: spec.Team, Priority: q.Priority}
	for i := range spec.Steps {
		step := p.stepLoad(j, &spec.Steps[i], spec.Steps[i].Tasks)
		w.Work, w.Doubt = w.Work.Plus(step.Work), max(w.Doubt, step.Doubt)
	}
	if s.detector.Overloaded() && now.Sub(s.measuredAt) < maxLoadAge && p.refusable(j, now) {
		if resp := p.refuseLate(s, j, w, now); resp.Outcome != 0 {
			return resp
		}
	}
	s.load, s.inflow = s.load.With(w), s.inflow.With(q.Priority, spec.Team, w.Work, now)
	return Response{}
}

// refuseLate returns a refusal if the job is expected to end too late to be of use
// and the refusals of its queue are within their budget.
func (p *Planner) refuseLate(s *serviceLoad, j *job, w overload.Waiting, now time.Time) Response {
	q, team := j.queue, j.spec.Team
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		longest = max(longest, p.criticalPath(j, i))
	}
	allowed := time.Duration(q.Stretch*float64(longest)) + q.Target
	useful := assignment.LateFactor * allowed
	f := s.load.Forecast(overload.Job{
		Team: team, Priority: q.Priority, Work: w.Work, Later: s.inflow.Later(q.Priority, team, now),
		Duration: longest, Allowed: allowed, Useful: useful, Doubt: w.Doubt,
	})
	budget := s.budgets[q.Name]
	refused := !f.Useful && budget.Allows(now)
	s.budgets[q.Name] = budget.With(refused, now)
	if !f.Useful {
		p.instruments.countLoadRefusal(q.Name, refused)
	}
	if !refused {
		return Response{}
	}
	schedule, retry := s.returns[q.Priority].WithRefusal(now, f.Return, s.load.Length(w.Work), useful)
	s.returns[q.Priority] = schedule
	p.Log.V(1).Info("job refused for load", "job", j.spec.ID, "queue", q.Name, "team", team, "wait", f.Wait, "run", longest,
		"useful", useful, "retry", retry)
	return Response{Outcome: OutcomeRefused, RetryAfter: retry, Reason: "the result would come too late under the current load"}
}

// refusable reports whether a job may be refused for load: the planner has had time
// to learn the load, and the job is not of priority 0. Such jobs may preempt runs of
// lower priority or be covered by a guarantee, so that the forecast does not apply.
func (p *Planner) refusable(j *job, now time.Time) bool {
	return j.queue.Priority > 0 && now.Sub(p.startedAt) >= loadWarmUp && now.Sub(p.resumedAt) >= loadWarmUp
}
