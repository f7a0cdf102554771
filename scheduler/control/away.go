package control

import "daisylug.example/scheduler/batch"

// lastingStep is a step of lasting tasks of which only some may be interrupted
// at a time.
type lastingStep struct {
	job  *job
	step stepRef
}

// allowance counts how many tasks of such steps may be interrupted now.
type allowance map[lastingStep]int

// interruptible returns the allowance of the live jobs. The caller holds the
// lock.
func (p *Planner) interruptible() allowance {
	left := allowance{}
	for _, j := range p.live {
		for step := range j.spec.Steps {
			s := &j.spec.Steps[step]
			if !s.LongRunning || s.MaxUnavailable == 0 {
				continue
			}
			for occurrence := range j.spec.Rounds() {
				away := 0
				for i := range s.Tasks {
					if !p.atWork(j, batch.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: step, Index: i}) {
						away++
					}
				}
				left[lastingStep{j, stepRef{occurrence, step}}] = s.MaxUnavailable - away
			}
		}
	}
	return left
}

// take reports whether a run may be interrupted, and counts it. A task that is
// not at work is away already.
func (a allowance) take(pl *placement) bool {
	if !pl.step.LongRunning || pl.step.MaxUnavailable == 0 || !pl.atWork() {
		return true
	}
	k := lastingStep{pl.job, stepRef{pl.id.Occurrence, pl.id.Step}}
	a[k]--
	return a[k] >= 0
}

// atWork reports whether a task of a job is at work. The caller holds the lock.
func (p *Planner) atWork(j *job, id batch.TaskID) bool {
	t := j.progress.Task(j.spec, id)
	if t.State != batch.TaskPlaced {
		return false
	}
	w := p.workers[t.Worker]
	if w == nil {
		return false
	}
	pl := w.placements[id]
	return pl != nil && pl.atWork()
}

// atWork reports whether a lasting run has started up; its worker then reports
// all of its progress.
func (pl *placement) atWork() bool {
	return pl.phase == phaseRunning && pl.latest >= 1
}
