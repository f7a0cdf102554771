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

// disruptionBudgets holds how many tasks of each such step may be interrupted now,
// and the position of each step.
type disruptionBudgets struct {
	allowed   []int
	positions map[longRunningStep]int
}

// newDisruptionBudgets returns the budgets of the live jobs. The caller holds the
// lock.
func (p *Planner) newDisruptionBudgets() disruptionBudgets {
	budgets := disruptionBudgets{positions: map[longRunningStep]int{}}
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
				budgets.positions[longRunningStep{j, stepRef{occurrence, step}}] = len(budgets.allowed)
				budgets.allowed = append(budgets.allowed, s.MaxUnavailable-unavailable)
			}
		}
	}
	return budgets
}

// index returns the position of the budget against which a stop of the run counts, and
// false if there is none. A task that is certainly not available already counts as
// interrupted.
func (b disruptionBudgets) index(pl *placement, now time.Time) (int, bool) {
	if !pl.step.LongRunning || pl.step.MaxUnavailable == 0 || !pl.mayBeAvailable(now) {
		return 0, false
	}
	n, ok := b.positions[longRunningStep{pl.job, stepRef{pl.id.Occurrence, pl.id.Step}}]
	return n, ok
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
