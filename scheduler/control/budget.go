package control

import (
	"time"

	"daisylug.example/scheduler/batch"
)

// longRunningStep is a step of long-running tasks of which only a limited
// number may be interrupted at a time.
type longRunningStep struct {
	job  *job
	step stepRef
}

// disruptionBudget is the number of tasks of each such step that may be
// interrupted now.
type disruptionBudget map[longRunningStep]int

// newDisruptionBudget returns the budget of the live jobs. The caller holds the
// lock.
func (p *Planner) newDisruptionBudget() disruptionBudget {
	budget := disruptionBudget{}
	for j := range p.liveJobs() {
		for step := range j.spec.Steps {
			s := &j.spec.Steps[step]
			if !s.LongRunning || s.MaxUnavailable == 0 {
				continue
			}
			for occurrence := range j.spec.OccurrenceCount() {
				unavailable := 0
				for i := range s.Tasks {
					if !p.taskAvailable(j, batch.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: step, Index: i}) {
						unavailable++
					}
				}
				budget[longRunningStep{j, stepRef{occurrence, step}}] = s.MaxUnavailable - unavailable
			}
		}
	}
	return budget
}

// consume reports whether a run may be interrupted, and counts the
// interruption. A task that is certainly not available already counts as interrupted.
func (b disruptionBudget) consume(pl *placement, now time.Time) bool {
	if !pl.step.LongRunning || pl.step.MaxUnavailable == 0 || !pl.mayBeAvailable(now) {
		return true
	}
	k := longRunningStep{pl.job, stepRef{pl.id.Occurrence, pl.id.Step}}
	b[k]--
	return b[k] >= 0
}

// taskAvailable reports whether a task of a job is available. The caller holds
// the lock.
func (p *Planner) taskAvailable(j *job, id batch.TaskID) bool {
	t := j.progress.Task(j.spec, id)
	if t.State != batch.TaskPlaced {
		return false
	}
	w := p.workers[t.Worker]
	if w == nil {
		return false
	}
	pl := w.placements[id]
	return pl != nil && pl.available()
}

// startupReportAge is how old a report of a run that still starts up may be for the run
// to count as not available.
const startupReportAge = 300 * time.Millisecond

// mayBeAvailable reports whether a long-running run may have started up by now, although
// no report shows that yet.
func (pl *placement) mayBeAvailable(now time.Time) bool {
	if pl.phase != phaseRunning {
		return pl.sent && pl.phase == phaseStarting
	}
	return pl.reportedProgress >= 1 || pl.reportedAt.IsZero() || now.Sub(pl.reportedAt) > startupReportAge
}

// available reports whether a long-running run has started up; its worker then
// reports complete progress. A run on a worker that has missed a poll may be lost.
func (pl *placement) available() bool {
	return pl.phase == phaseRunning && pl.reportedProgress >= 1 && pl.worker.failedPolls == 0
}
