package control

import (
	"math"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
)

// applyStarts creates the placements and starts the runs once they are stored.
func (p *Planner) applyStarts(v *decisionView, starts []assignment.Start) {
	for _, s := range starts {
		g, j, w := &v.input.Groups[s.Group], v.jobs[s.Group], v.workers[s.Worker]
		p.processing = j
		id := batch.TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: s.Index}
		t := j.progress.Task(j.spec, id)
		pl := &placement{
			job: j, id: id, step: &j.spec.Steps[g.Step], run: j.nextRun(g, t), worker: w,
			phase: phaseReserved, checkpoint: j.checkpoint(g, t), ticket: j.ticket(g, w),
		}
		w.placements[id] = pl
		w.used = w.used.Plus(pl.step.AllocatedResources())
		j.placementCount++
		delete(j.reservations, stepRef{g.Occurrence, g.Step})
		delete(j.readySince, stepRef{g.Occurrence, g.Step})
		p.markDirty(j, func() { p.beginStart(pl) })
	}
	// The tasks change only after the loop, because the run number and the
	// checkpoint of a gang depend on all of its tasks.
	for _, s := range starts {
		g, j, w := &v.input.Groups[s.Group], v.jobs[s.Group], v.workers[s.Worker]
		p.processing = j
		id := batch.TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: s.Index}
		t := j.progress.Task(j.spec, id)
		pl := w.placements[id]
		t.State, t.Run, t.Worker, t.WorkerIncarnation, t.Checkpoint = batch.TaskPlaced, pl.run, w.info.ID, w.incarnation, pl.checkpoint
	}
	p.processing = nil
}

// logStarts writes one line for each group that starts.
func (p *Planner) logStarts(v *decisionView, starts []assignment.Start) {
	for i := 0; i < len(starts); {
		group := starts[i].Group
		slowest, unknown := math.Inf(1), 0
		var workers []string
		for ; i < len(starts) && starts[i].Group == group; i++ {
			w := &v.input.Workers[starts[i].Worker]
			slowest = min(slowest, w.Speed)
			if !w.SpeedKnown {
				unknown++
			}
			if len(workers) == 0 || workers[len(workers)-1] != w.ID {
				workers = append(workers, w.ID)
			}
		}
		g, j := &v.input.Groups[group], v.jobs[group]
		p.Log.Info("tasks placed", "job", g.Job, "occurrence", g.Occurrence, "step", g.Step, "tasks", len(g.Indexes),
			"run", j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks[starts[i-1].Index].Run, "workers", workers, "slowest", slowest,
			"covered", g.Guaranteed, "ready", v.input.Now.Sub(g.ReadySince), "age", v.input.Now.Sub(g.Accepted), "reserve", v.input.Reserve, "unknownspeed", unknown)
		p.instruments.countUnknownSpeed(j.spec.Queue, unknown)
	}
}

// nextRun returns the number of the next run, which is the same for all members
// of a gang.
func (j *job) nextRun(g *assignment.Group, t *batch.Task) int {
	if !g.Gang {
		return t.Run + 1
	}
	latest := 0
	for _, m := range j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks {
		latest = max(latest, m.Run)
	}
	return latest + 1
}

// checkpoint returns where the next run resumes; one member's checkpoint is
// valid for its whole gang.
func (j *job) checkpoint(g *assignment.Group, t *batch.Task) string {
	if !g.Gang {
		return t.Checkpoint
	}
	tasks := j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks
	best := batch.Task{}
	for _, m := range tasks {
		if m.Checkpoint != "" && (best.Checkpoint == "" || m.Run > best.Run) {
			best = m
		}
	}
	return best.Checkpoint
}

// beginStart starts a run that is now stored. The caller holds the lock.
func (p *Planner) beginStart(pl *placement) {
	if pl.phase != phaseReserved || pl.worker.placements[pl.id] != pl {
		return
	}
	if pl.job.progress.State.Final() {
		p.requeue(pl)
		return
	}
	pl.phase = phaseStarting
	p.recordLease(pl.worker, time.Now())
	p.spawn("start of a run", func() { p.startUntilAnswered(pl) })
}
