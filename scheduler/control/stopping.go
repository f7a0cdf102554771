package control

import (
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
)

const (
	// maxUnsavedTime is the longest time between two checkpoints of a run where the
	// deployment does not state it.
	maxUnsavedTime = 1 * time.Second
	// defaultRestartTime is the usual time from stopping a run until its work
	// continues elsewhere, the time to stop it and to restore it, where the
	// deployment does not state them.
	defaultRestartTime = 1200 * time.Millisecond
	// stopSparingTime is how long after a stop the other runs of the job are stopped
	// only if there are no others. It is limited so that one stop does not spare a
	// large or recurring job for the rest of its life.
	stopSparingTime = 30 * time.Second
	// maxOverrun is how long after its expected end a run still counts as about to
	// end.
	maxOverrun = 300 * time.Millisecond
)

// maxStatedStopCost is the stated unsaved time and restore time up to which stops are
// taken to be cheap. Above it the constants that are assumed where nothing is stated
// are about right.
const maxStatedStopCost = 1 * time.Second

// statesCheapStops reports whether the deployment states that a stop costs clearly
// less than is assumed otherwise.
func (t Timing) statesCheapStops() bool {
	stated := t.CheckpointInterval > 0 || t.RestoreTime > 0
	return stated && t.CheckpointInterval+t.RestoreTime <= maxStatedStopCost
}

// timing returns the time limits of the deployment. Without a large service they
// state no cost of stops: where a job takes a large part of all workers, sparing stops
// and keeping whole workers free cost more than they gain.
func (p *Planner) timing() Timing {
	t := p.Timing
	if !p.hasLargeService() {
		t.CheckpointInterval, t.RestoreTime = 0, 0
	}
	return t
}

// unsavedTime returns the longest time for which the work of a run may be unsaved.
func (t Timing) unsavedTime() time.Duration {
	if t.statesCheapStops() && t.CheckpointInterval > 0 {
		return t.CheckpointInterval
	}
	return maxUnsavedTime
}

// restartTime returns the time from stopping a run until its work continues
// elsewhere.
func (t Timing) restartTime() time.Duration {
	if t.statesCheapStops() && t.RestoreTime > 0 {
		return t.StopTimeout + t.RestoreTime
	}
	return defaultRestartTime
}

// stopPolicy returns which runs may be stopped. Where the deployment states the
// cost of a stop, a stop must also be of use.
func (t Timing) stopPolicy() assignment.StopPolicy {
	if !t.statesCheapStops() {
		return assignment.StopPolicy{}
	}
	return assignment.StopPolicy{Sparing: true, Delay: t.StopTimeout}
}

// stopReason is why a run is stopped, as counted: an assignment.StopReason or one
// of the following.
type stopReason string

const (
	stopForEvacuation stopReason = "evacuation"
	stopForLeaving    stopReason = "leaving"
	// stopForGang means that another member of the gang has ended.
	stopForGang stopReason = "gang"
	// stopForEndedJob means that the job has ended, stopForDoneWork that an earlier
	// run has done the work.
	stopForEndedJob stopReason = "ended"
	stopForDoneWork stopReason = "done"
)

// resumes reports whether the work of a run stopped for the reason is resumed.
func (r stopReason) resumes() bool { return r != stopForEndedJob && r != stopForDoneWork }

// stopFor stops a run and counts that. The caller holds the lock.
func (p *Planner) stopFor(pl *placement, reason stopReason) {
	if pl.phase == phaseInherited || pl.phase == phaseRunning || pl.phase == phaseStarting && pl.sent {
		now := time.Now()
		p.instruments.countStop(reason, reason.resumes() && p.endsInTime(pl, now))
		if reason.resumes() {
			pl.job.stoppedAt = now
		}
	}
	p.stop(pl)
}

// stoppedRecently reports whether a run of the job was stopped within
// stopSparingTime.
func (j *job) stoppedRecently(now time.Time) bool {
	return !j.stoppedAt.IsZero() && now.Sub(j.stoppedAt) < stopSparingTime
}

// applyStops stops the runs of a decision. The caller holds the lock.
func (p *Planner) applyStops(v *decisionView, d assignment.Decision, now time.Time) {
	for n, i := range d.Stops {
		cause := d.StopCauses[n]
		reason := stopReason(cause.Reason)
		for _, pl := range v.runs[i] {
			p.Log.Info("preempting run for urgent work", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID,
				"loss", v.input.Running[i].LostWork, "reason", reason, "for", v.input.Groups[cause.Group].Job,
				"stoppedbefore", v.input.Running[i].StoppedBefore, "timely", p.endsInTime(pl, now), "unneeded", cause.Unneeded)
			if cause.Unneeded {
				p.instruments.countUnneededStop(reason)
			}
			p.stopFor(pl, reason)
		}
	}
}

// objective returns the time by which an occurrence of a job that is due at the
// given time must be done to count in full.
func (p *Planner) objective(j *job, due time.Time) time.Time {
	return j.objectiveFor(p.criticalPaths(j), due)
}

// longest returns the longest of the critical paths of a job. The steps of a
// damaged job may be missing.
func longest(paths []time.Duration) time.Duration {
	if len(paths) == 0 {
		return 0
	}
	return slices.Max(paths)
}

// objectiveFor is like Planner.objective for known critical paths.
func (j *job) objectiveFor(paths []time.Duration, due time.Time) time.Time {
	return due.Add(time.Duration(j.queue.Stretch*float64(longest(paths))) + j.queue.Target)
}

// endsInTime reports whether the job is expected to meet its objective as far as
// that depends on the run. The caller holds the lock.
func (p *Planner) endsInTime(pl *placement, now time.Time) bool {
	j, paths := pl.job, p.criticalPaths(pl.job)
	objective := j.objectiveFor(paths, j.spec.Due(pl.id.Occurrence))
	return !p.expectedEnd(pl, now).Add(j.pathAfter(paths, pl.id.Step)).After(objective)
}

// expectedEnd returns when the run is expected to end by itself. A run that is
// overdue is expected to take as long again as it has taken.
func (p *Planner) expectedEnd(pl *placement, now time.Time) time.Time {
	remaining := p.remainingTime(pl, now)
	if remaining < -maxOverrun {
		remaining = pl.runTime(now)
	}
	return now.Add(max(remaining, 0))
}

// endsByStop reports whether the run is being stopped and its resources are about
// to become free. A stop that exceeds its time limit does not count, since the
// worker may not respond.
func (p *Planner) endsByStop(pl *placement, now time.Time) bool {
	return p.timing().statesCheapStops() && pl.phase == phaseStopping && now.Sub(pl.stoppedAt) < p.Timing.StopTimeout
}

// endsSoon reports whether a run will end by itself about as soon as it could
// be stopped.
func (p *Planner) endsSoon(pl *placement, now time.Time) bool {
	const minProgress = 0.5
	remaining := p.remainingTime(pl, now)
	return pl.sampledProgress > minProgress && remaining > -maxOverrun && remaining <= p.Timing.StopTimeout
}

// lostWork returns the work that stopping the run would lose, in core-seconds.
func (p *Planner) lostWork(pl *placement, now time.Time) float64 {
	lost := pl.runTime(now)
	if pl.step.Checkpoints {
		lost = min(lost, p.timing().unsavedTime())
		if p.timing().statesCheapStops() && !pl.checkpointAt.IsZero() {
			lost = min(lost, now.Sub(pl.checkpointAt))
		}
	}
	return (lost + p.timing().restartTime()).Seconds() * pl.step.Need.Cores()
}

// recordCheckpoint records the checkpoint in a report of the run. A new one was
// saved since the report before, or within the latest interval between two
// checkpoints if that is shorter; the middle of that time is assumed.
func (pl *placement) recordCheckpoint(name string, interval time.Duration, now time.Time) {
	if name != "" && name != pl.checkpoint {
		window := interval
		if !pl.reportedAt.IsZero() {
			window = min(window, now.Sub(pl.reportedAt))
		}
		pl.checkpoint, pl.checkpointAt = name, now.Add(-window/2)
	}
	pl.reportedAt = now
}
