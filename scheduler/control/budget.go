package control

import "daisylug.example/scheduler/batch"

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
// interruption. A task that is not available already counts as interrupted.
func (b disruptionBudget) consume(pl *placement) bool {
	if !pl.step.LongRunning || pl.step.MaxUnavailable == 0 || !pl.available() {
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

// available reports whether a long-running run has started up; its worker then
// reports complete progress.
func (pl *placement) available() bool {
	return pl.phase == phaseRunning && pl.reportedProgress >= 1
}
