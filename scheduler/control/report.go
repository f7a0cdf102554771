package control

import (
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/throttle"
)

// handleReport processes the report of a worker in response to a poll that
// started at the given time. The caller holds the lock.
func (p *Planner) handleReport(w *worker, state platform.RunnerState, pollStart time.Time) {
	now := time.Now()
	w.setClock(state.Clock, now)
	if state.Incarnation != w.incarnation {
		p.handleRestart(w, state)
	}
	for _, e := range state.Ended {
		p.processEnd(w, e)
	}
	p.releaseHeldEnds(w, len(state.Ended))
	present := make(map[batch.TaskID]int, len(state.Running))
	for _, r := range state.Running {
		present[r.Task] = r.Number
		if j := p.jobs[r.Task.Job]; !p.isIsolated(j) {
			p.contain(j, "report of a run", func() { p.handleRunning(w, r, now) })
		}
	}
	if len(state.Ended) < maxReportedEnds {
		p.checkMissing(w, present, pollStart)
	}
	p.throttleBestEffort(w, now)
	if len(state.Ended) > 0 {
		p.wake()
	}
}

// handleRunning processes a running task; a run without a placement is stopped.
func (p *Planner) handleRunning(w *worker, r platform.RunningTask, now time.Time) {
	pl := w.placements[r.Task]
	if pl == nil || pl.run != r.Number {
		p.Log.Info("stopping unknown run", "task", r.Task, "run", r.Number, "worker", w.info.ID)
		p.spawn("stop of a run", func() { p.stopUnknown(w, r.Run) })
		return
	}
	pl.missedPolls = 0
	p.checkRun(pl, r.Progress, now)
	pl.reportedProgress, pl.tailLatency = r.Progress, r.TailLatency
	p.sampleSpeed(pl, r.Progress, now)
	pl.recordCheckpoint(r.Checkpoint, p.timing().unsavedTime(), now)
	p.sampleInterference(pl, r.Progress, now)
	if pl.phase == phaseStarting || pl.phase == phaseInherited {
		p.confirmRun(pl, now)
	}
	if pl.job.progress.State.Final() && pl.job.visibleState.Final() {
		p.stopFor(pl, stopForEndedJob)
	}
}

// minSampleProgress is the progress between two samples of a run.
const minSampleProgress = 0.08

// sampleSpeed compares the progress of a run with that of the step's other
// tasks. The members of a gang progress together, see sampleGang.
func (p *Planner) sampleSpeed(pl *placement, progress float64, now time.Time) {
	if pl.sampledAt.IsZero() {
		pl.sampledAt, pl.sampledProgress = now, progress
		return
	}
	done := progress - pl.sampledProgress
	if done < minSampleProgress {
		return
	}
	total := time.Duration(float64(now.Sub(pl.sampledAt)) / done)
	switch {
	case pl.step.Gang:
		p.sampleGang(pl, total, now)
	case pl.worker.cold(now):
		p.speeds.ObserveCold(pl.stepKey(), pl.worker.info.ID, total)
	case !pl.worker.cold(pl.sampledAt):
		p.speeds.Observe(pl.stepKey(), pl.worker.info.ID, total)
	}
	pl.sampledAt, pl.sampledProgress = now, progress
}

func (pl *placement) stepKey() pace.Step {
	return pace.Step{Job: pl.id.Job, Occurrence: pl.id.Occurrence, Step: pl.id.Step}
}

// confirmRun records that a run exists. The caller holds the lock.
func (p *Planner) confirmRun(pl *placement, now time.Time) {
	inherited := pl.phase == phaseInherited
	pl.phase = phaseRunning
	pl.confirmedAt, pl.respondedAt = now, now
	if pl.appliedShare == 0 {
		// Runs start at full speed. A run that an earlier planner has started
		// may be throttled; -1 makes the next report set its share.
		pl.appliedShare = throttle.Full
		if inherited {
			pl.appliedShare = -1
		}
	}
	p.setPresence(pl, pl.presenceWeight(), now)
	if !pl.job.started {
		p.instruments.waitTime(pl.job.spec.Team).Update(now.Sub(pl.job.spec.AcceptedAt).Seconds())
	}
	pl.job.begin()
}

// begin records that a task of the job has run. The state is stored with the next change
// of the job, before a run gets a higher number.
func (j *job) begin() {
	j.started = true
	if j.progress.State == batch.JobQueued {
		j.progress.State, j.visibleState = batch.JobRunning, batch.JobRunning
	}
}

// maxMissedPolls is the number of polls without a run after which it is
// considered lost; an end may be listed shortly after the run has disappeared.
const maxMissedPolls = 2

// checkMissing gives up runs that the worker does not list. An inherited run
// that is not listed is fenced by the generation and never starts.
func (p *Planner) checkMissing(w *worker, present map[batch.TaskID]int, pollStart time.Time) {
	for id, pl := range w.placements {
		if present[id] == pl.run || p.isIsolated(pl.job) {
			continue
		}
		p.processing = pl.job
		switch pl.phase {
		case phaseInherited:
			p.loseRun(pl, "never started")
		case phaseRunning, phaseStopping:
			if pl.respondedAt.IsZero() || pollStart.Before(pl.respondedAt) {
				continue
			}
			if pl.missedPolls++; pl.missedPolls >= maxMissedPolls {
				p.loseRun(pl, "not listed by worker")
			}
		}
	}
	p.processing = nil
}

// endJob ends a job; remaining runs are stopped once that is stored.
func (p *Planner) endJob(j *job, state batch.JobState) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State = state
	j.progress.Ended = time.Now()
	delete(p.live, j.spec.ID)
	for occurrence := range j.spec.OccurrenceCount() {
		for step := range j.spec.Steps {
			p.speeds.RemoveStep(pace.Step{Job: j.spec.ID, Occurrence: occurrence, Step: step})
		}
	}
	p.forgetFailures(j)
	p.instruments.jobDuration(j.spec.Team).Update(time.Since(j.spec.AcceptedAt).Seconds())
	p.Log.Info("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "state", int(state), "after", time.Since(j.spec.AcceptedAt))
	p.markDirty(j, func() { p.stopJob(j) })
}

// freePlacement removes a placement without changing its task. The caller holds
// the lock.
func (p *Planner) freePlacement(pl *placement) {
	w := pl.worker
	if w.placements[pl.id] != pl {
		return
	}
	p.setPresence(pl, 0, time.Now())
	delete(w.placements, pl.id)
	w.used = w.used.Minus(pl.step.AllocatedResources())
	pl.job.placementCount--
}

// requeue removes a placement and makes its task wait again. The caller holds
// the lock.
func (p *Planner) requeue(pl *placement) {
	if pl.worker.placements[pl.id] != pl {
		return
	}
	p.freePlacement(pl)
	t := pl.job.progress.Task(pl.job.spec, pl.id)
	if t.State != batch.TaskPlaced {
		return
	}
	t.State = batch.TaskWaiting
	if pl.checkpoint != "" {
		t.Checkpoint = pl.checkpoint
	}
	p.markDirty(pl.job, nil)
	p.wake()
}

// estimationJob returns the job from which the run time of a step is estimated.
func (j *job) estimationJob(s *batch.Step) queue.Job {
	return queue.Job{Template: j.spec.Queue, Declared: s.Estimate}
}
