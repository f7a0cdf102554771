package control

import (
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/throttle"
)

// observe takes over what a worker said in answer to a look begun at the given
// time. The caller holds the lock.
func (p *Planner) observe(w *worker, state platform.RunnerState, begun time.Time) {
	now := time.Now()
	w.setClock(state.Clock, now)
	if state.Incarnation != w.life {
		p.reborn(w, state)
	}
	for _, e := range state.Ended {
		if e.Sequence > w.seen {
			w.seen = e.Sequence
			p.ended(w, e)
		}
	}
	present := make(map[batch.TaskID]int, len(state.Running))
	for _, r := range state.Running {
		present[r.Task] = r.Number
		p.runs(w, r, now)
	}
	if len(state.Ended) < endsPage {
		p.checkMissing(w, present, begun)
	}
	p.throttle(w, now)
	if len(state.Ended) > 0 {
		p.wake()
	}
}

// reborn notes a new process of a worker. What an earlier one ran is lost, but
// orders since then have reached the new one.
func (p *Planner) reborn(w *worker, state platform.RunnerState) {
	if w.life != 0 {
		p.Log.Info("worker has restarted", "worker", w.info.ID, "life", state.Incarnation)
	}
	w.life = state.Incarnation
	p.wake()
	p.recall(w, state.Incarnation)
	// From here on the worker obeys no earlier planner.
	w.lapse = time.Now().Add(p.leaseTime())
	w.seen, w.told = 0, 0
	clear(w.outstanding)
	for id, pl := range w.placements {
		t := pl.job.progress.Task(pl.job.spec, id)
		switch {
		case t.WorkerIncarnation == state.Incarnation:
		case pl.phase == phaseReserved, pl.phase == phaseOrdered, state.Lists(platform.Run{Task: id, Number: pl.run}):
			t.WorkerIncarnation = state.Incarnation
			p.touch(pl.job, nil)
		default:
			p.lose(pl, "worker restarted")
		}
	}
}

// runs takes over a running entry; a run that nobody wants is stopped.
func (p *Planner) runs(w *worker, r platform.RunningTask, now time.Time) {
	pl := w.placements[r.Task]
	if pl == nil || pl.run != r.Number {
		p.Log.Info("stopping unknown run", "task", r.Task, "run", r.Number, "worker", w.info.ID)
		p.group.Go(func() error {
			p.stopUnknown(w, r.Run)
			return nil
		})
		return
	}
	pl.missing = 0
	pl.latest, pl.tail = r.Progress, r.TailLatency
	p.sample(pl, r.Progress, now)
	if r.Checkpoint != "" {
		pl.checkpoint = r.Checkpoint
	}
	if pl.phase == phaseOrdered || pl.phase == phaseInherited {
		p.confirm(pl, now)
	}
	if pl.job.progress.State.Final() && pl.job.shown.Final() {
		p.stop(pl)
	}
}

// sampleShare is the progress between two samples of a run.
const sampleShare = 0.08

// sample compares the progress of a run with that of the step's other tasks.
// The members of a gang progress together and tell nothing of their workers.
func (p *Planner) sample(pl *placement, progress float64, now time.Time) {
	if pl.sampled.IsZero() {
		pl.sampled, pl.progress = now, progress
		return
	}
	done := progress - pl.progress
	if done < sampleShare {
		return
	}
	if !pl.step.Gang {
		p.paces.Observe(pl.stepKey(), pl.worker.info.ID, time.Duration(float64(now.Sub(pl.sampled))/done))
	}
	pl.sampled, pl.progress = now, progress
}

func (pl *placement) stepKey() pace.Step {
	return pace.Step{Job: pl.id.Job, Occurrence: pl.id.Occurrence, Step: pl.id.Step}
}

// confirm notes that a run is there. The caller holds the lock.
func (p *Planner) confirm(pl *placement, now time.Time) {
	inherited := pl.phase == phaseInherited
	pl.phase = phaseRunning
	pl.since, pl.settled = now, now
	if pl.share == 0 {
		// Runs begin at full speed. One that an earlier planner has ordered may
		// be slowed; -1 makes the next report set its share.
		pl.share = throttle.Full
		if inherited {
			pl.share = -1
		}
	}
	if !pl.job.started {
		pl.job.started = true
		p.meters.wait(pl.job.spec.Team).Update(now.Sub(pl.job.spec.Accepted).Seconds())
	}
	if pl.job.progress.State == batch.JobQueued {
		pl.job.progress.State = batch.JobRunning
		pl.job.shown = batch.JobRunning
	}
}

// missingLimit is the number of looks without a run after which it is
// considered gone; an end can be listed a moment after the run has left.
const missingLimit = 2

// checkMissing releases runs that the worker does not list. An inherited run
// that is not listed is fenced by the generation and never starts.
func (p *Planner) checkMissing(w *worker, present map[batch.TaskID]int, begun time.Time) {
	for id, pl := range w.placements {
		if present[id] == pl.run {
			continue
		}
		switch pl.phase {
		case phaseInherited:
			p.lose(pl, "never started")
		case phaseRunning, phaseStopping:
			if pl.settled.IsZero() || begun.Before(pl.settled) {
				continue
			}
			if pl.missing++; pl.missing >= missingLimit {
				p.lose(pl, "not there")
			}
		}
	}
}

// Distrust of workers on which runs fail.
const (
	// penaltyFirst and penaltyLast bound how long a worker gets no tasks after
	// runs failed on it one after the other.
	penaltyFirst = 500 * time.Millisecond
	penaltyLast  = 8 * time.Second
	// failsFree is the number of failed runs in a row that may be the fault of
	// the runs themselves.
	failsFree = 1
)

// blame counts a failed run against its worker.
func (p *Planner) blame(pl *placement) {
	w := pl.worker
	w.fails++
	if w.fails > failsFree {
		p.bar(w, "failed runs")
	}
}

// bar gives a worker no tasks for a growing time. The caller holds the lock.
func (p *Planner) bar(w *worker, reason string) {
	w.penalty = min(max(2*w.penalty, penaltyFirst), penaltyLast)
	w.distrust = time.Now().Add(w.penalty)
	p.Log.Info("worker gets no tasks", "worker", w.info.ID, "reason", reason, "for", w.penalty)
}

// conclude ends a job; runs that are left are stopped once that is stored.
func (p *Planner) conclude(j *job, state batch.JobState) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State = state
	j.progress.Ended = time.Now()
	delete(p.live, j.spec.ID)
	for occurrence := range j.spec.Rounds() {
		for step := range j.spec.Steps {
			p.paces.RemoveStep(pace.Step{Job: j.spec.ID, Occurrence: occurrence, Step: step})
		}
	}
	p.meters.duration(j.spec.Team).Update(time.Since(j.spec.Accepted).Seconds())
	p.Log.Info("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "state", int(state), "after", time.Since(j.spec.Accepted))
	p.touch(j, func() { p.stopAll(j) })
}

// free removes a placement without a change of its task. The caller holds the
// lock.
func (p *Planner) free(pl *placement) {
	w := pl.worker
	if w.placements[pl.id] != pl {
		return
	}
	delete(w.placements, pl.id)
	w.used = w.used.Minus(pl.step.AllocatedResources())
	pl.job.placed--
}

// release removes a placement; its task waits again. The caller holds the
// lock.
func (p *Planner) release(pl *placement) {
	if pl.worker.placements[pl.id] != pl {
		return
	}
	p.free(pl)
	t := pl.job.progress.Task(pl.job.spec, pl.id)
	if t.State != batch.TaskPlaced {
		return
	}
	t.State = batch.TaskWaiting
	if pl.checkpoint != "" {
		t.Checkpoint = pl.checkpoint
	}
	p.touch(pl.job, nil)
	p.wake()
}

// template returns the job for estimates of its run time.
func (j *job) template(s *batch.Step) queue.Job {
	return queue.Job{Template: j.spec.Queue, Declared: s.Estimate}
}
