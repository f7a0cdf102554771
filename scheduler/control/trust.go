package control

import (
	"maps"
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/trust"
)

// trustState is the planner's state of the trust in its workers beyond that of each
// worker.
type trustState struct {
	// listed counts the workers of each service in the registry.
	listed map[string]int
	// unproven is set if there is an unproven worker.
	unproven bool
	// levels counts the workers at each level below the highest.
	levels map[trust.Level]int
	// spared are the workers that get a trial because too many of their service
	// are excluded. It is derived anew for each decision.
	spared map[*worker]bool
	// failedOn holds the workers on which each task of a live job has failed.
	// Members of a gang share the entry of the first.
	failedOn map[batch.TaskID][]*worker
	// inherited are the records of an earlier planner of workers that have not
	// responded in this term.
	inherited map[string]*schema.WorkerTrust
}

// refreshTrust derives which workers may not be excluded. The caller holds the lock.
func (p *Planner) refreshTrust(now time.Time) {
	p.trust.spared, p.trust.unproven = nil, false
	p.trust.listed = map[string]int{}
	levels := map[trust.Level]int{}
	excluded := map[string][]*worker{}
	for _, w := range p.workers {
		if w.listed && w.credible(now) {
			p.trust.listed[w.info.Service]++
		}
		p.trust.unproven = p.trust.unproven || w.trust.Unproven()
		if !w.trust.Limited() {
			continue
		}
		level := w.trust.Level(now)
		levels[level]++
		if level == trust.LevelExcluded && w.listed {
			excluded[w.info.Service] = append(excluded[w.info.Service], w)
		}
	}
	if p.trust.levels == nil || !maps.Equal(levels, p.trust.levels) {
		p.trust.levels = levels
		p.instruments.setTrustLevels(levels)
	}
	for service, all := range excluded {
		excess := trust.ExcessExclusions(len(all), p.trust.listed[service])
		if excess == 0 {
			continue
		}
		slices.SortFunc(all, func(a, b *worker) int { return a.trust.LastFailure().Compare(b.trust.LastFailure()) })
		if p.trust.spared == nil {
			p.trust.spared = map[*worker]bool{}
		}
		for _, w := range all[:excess] {
			p.trust.spared[w] = true
		}
	}
}

// hasLargeService reports whether a service has at least LargeServiceWorkers workers.
func (p *Planner) hasLargeService() bool {
	for _, n := range p.trust.listed {
		if n >= p.LargeServiceWorkers {
			return true
		}
	}
	return p.LargeServiceWorkers == 0
}

// usesTrials reports whether workers of the service get trials, and work waits for
// proven ones. In a small service the workers on trial are a large part of each rack,
// so that gangs would wait longer than the failures cost; there workers are only
// excluded for a while.
func (p *Planner) usesTrials(service string) bool {
	return p.trust.listed[service] >= p.LargeServiceWorkers
}

// workerTrust returns what may start on a worker.
func (p *Planner) workerTrust(w *worker, now time.Time) assignment.WorkerTrust {
	state := w.trust
	if !state.Limited() {
		return assignment.WorkerTrust{Unproven: state.Unproven() && p.usesTrials(w.info.Service)}
	}
	if p.trust.spared[w] {
		state = state.WithTrial()
	}
	others, failing := state.ForOthers()
	excluded := others.Level(now) == trust.LevelExcluded
	if excluded || state.Level(now) != trust.LevelExcluded {
		failing = ""
	}
	if !p.usesTrials(w.info.Service) {
		return assignment.WorkerTrust{Limited: excluded, Excluded: excluded, ExcludedJob: failing}
	}
	inProgress := 0
	for _, pl := range w.placements {
		if pl.step.BestEffort {
			// It is no trial, and may be throttled to no progress.
			continue
		}
		if pl.phase == phaseReserved || pl.phase == phaseStarting || pl.startedAt.After(state.Since()) {
			inProgress++
		}
	}
	limit, limited := others.Limits(now, inProgress)
	return assignment.WorkerTrust{Limited: limited, NewTasks: limit, Excluded: excluded, ExcludedJob: failing, Unproven: state.Unproven()}
}

// applyTrust sets which workers a group may use with respect to their failures.
func (p *Planner) applyTrust(j *job, g *assignment.Group, now time.Time) {
	if !p.usesTrials(g.Service) {
		return
	}
	failures := mostFailures(j, g)
	// Best-effort tasks may be throttled to no progress and long-running ones do not
	// end, so that neither proves a worker soon.
	step := &j.spec.Steps[g.Step]
	g.Trial = !g.Gang && g.Priority > 0 && failures+1 < j.queue.MaxAttempts && !step.BestEffort && !step.LongRunning
	if p.trust.unproven && (g.Gang || failures+1 >= j.queue.MaxAttempts) {
		g.ProvenOnlyUntil = j.provenOnlyUntil(g, now)
	}
	if !g.Guaranteed {
		return
	}
	end := g.ReadySince.Add(trust.GuaranteedWaitTimeout)
	if g.ProvenOnlyUntil.After(end) {
		g.ProvenOnlyUntil = end
	}
	// The guarantee outweighs the risk of another failure.
	g.IgnoreTrust = !now.Before(end)
}

// provenWait is until when a task waits for proven workers before a run.
type provenWait struct {
	run   int
	until time.Time
}

// provenOnlyUntil returns until when the group waits for proven workers. The end of
// the wait is fixed when a task is first seen to wait for its next run, so that
// starts of other tasks of the step do not extend it.
func (j *job) provenOnlyUntil(g *assignment.Group, now time.Time) time.Time {
	if j.provenWaits == nil {
		j.provenWaits = map[batch.TaskID]provenWait{}
	}
	tasks := j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks
	latest := time.Time{}
	for _, i := range g.Indexes {
		id := batch.TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: i}
		wait, ok := j.provenWaits[id]
		if !ok || wait.run != tasks[i].Run {
			wait = provenWait{tasks[i].Run, trust.ProvenOnlyUntil(now, g.Objective, g.ExpectedDuration, g.Guaranteed)}
			j.provenWaits[id] = wait
		}
		if wait.until.After(latest) {
			latest = wait.until
		}
		if g.Gang {
			break
		}
	}
	return latest
}

// mostFailures returns the largest number of failed runs of a waiting task of the
// group. Those of a gang are counted at its first task.
func mostFailures(j *job, g *assignment.Group) int {
	tasks := j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks
	if g.Gang {
		return tasks[0].Failures
	}
	most := 0
	for _, i := range g.Indexes {
		most = max(most, tasks[i].Failures)
	}
	return most
}

// splitByRisk separates the tasks whose next failure ends the job from the others,
// so that these need not wait for proven workers as well. Groups of priority 0 and
// those with a limit for each worker stay whole, because reservations and limits
// apply to all tasks of a step.
func (p *Planner) splitByRisk(j *job, g assignment.Group) []assignment.Group {
	if !p.usesTrials(g.Service) || g.Gang || g.Priority == 0 || g.MaxPerWorker > 0 || mostFailures(j, &g) == 0 {
		return []assignment.Group{g}
	}
	tasks := j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks
	last, other := g, g
	last.Indexes, other.Indexes = nil, nil
	for _, i := range g.Indexes {
		if tasks[i].Failures+1 >= j.queue.MaxAttempts {
			last.Indexes = append(last.Indexes, i)
		} else {
			other.Indexes = append(other.Indexes, i)
		}
	}
	switch {
	case len(last.Indexes) == 0:
		return []assignment.Group{other}
	case len(other.Indexes) == 0:
		return []assignment.Group{last}
	}
	return []assignment.Group{last, other}
}

// setTrust sets the trust in a worker and logs a change of its level. The caller
// holds the lock.
func (p *Planner) setTrust(w *worker, next trust.State, reason string) {
	now := time.Now()
	before, after := w.trust.Level(now), next.Level(now)
	if before != after {
		p.Log.Info("trust in worker changed", "worker", w.info.ID, "from", string(before), "to", string(after), "reason", reason,
			"failures", next.Failures(), "for", max(next.ExcludedUntil().Sub(now), 0))
	}
	w.trust = next
}

// countWorkerFailure attributes a failed run to its task or its worker. The caller
// holds the lock.
func (p *Planner) countWorkerFailure(pl *placement) {
	w, now := pl.worker, time.Now()
	task := pl.id
	if pl.step.Gang {
		task.Index = 0
	}
	var others []trust.State
	for _, o := range p.trust.failedOn[task] {
		if o != w {
			others = append(others, o.trust)
		}
	}
	atFault := trust.TaskAtFault(task, w.trust, others)
	p.instruments.countRunFailure(atFault)
	if atFault {
		p.Log.Info("failure attributed to task", "task", pl.id, "run", pl.run, "worker", w.info.ID, "workers", len(others)+1)
		w.trust = w.trust.WithoutFailures(task)
		for _, o := range p.trust.failedOn[task] {
			o.trust = o.trust.WithoutFailures(task)
		}
		p.recordFailedOn(task, w)
		return
	}
	p.recordFailedOn(task, w)
	before := w.trust.Since()
	p.setTrust(w, w.trust.WithFailure(trust.Failure{Task: task, Started: pl.startedAt, At: now}), "failed runs")
	if w.trust.Since() != before {
		p.checkWave(w, now)
	}
}

// recordFailedOn records that a task has failed on a worker.
func (p *Planner) recordFailedOn(task batch.TaskID, w *worker) {
	if p.trust.failedOn == nil {
		p.trust.failedOn = map[batch.TaskID][]*worker{}
	}
	if !slices.Contains(p.trust.failedOn[task], w) {
		p.trust.failedOn[task] = append(p.trust.failedOn[task], w)
	}
}

// forgetFailures removes the records of a job that has ended.
func (p *Planner) forgetFailures(j *job) {
	for task := range p.trust.failedOn {
		if task.Job == j.spec.ID {
			delete(p.trust.failedOn, task)
		}
	}
}

// checkWave lowers the trust in the workers of a rack or data centre if so many
// others there have failed that they probably have a common cause. The caller holds
// the lock.
func (p *Planner) checkWave(failed *worker, now time.Time) {
	p.lowerSharing(failed, "rack", failed.info.Rack, func(w *worker) string { return w.info.Rack }, now)
	p.lowerSharing(failed, "datacentre", failed.info.DataCentre, func(w *worker) string { return w.info.DataCentre }, now)
}

// lowerSharing lowers the trust in the workers of the service that have the value
// of a property if that is the likely cause of their failures.
func (p *Planner) lowerSharing(failed *worker, property, value string, of func(*worker) string, now time.Time) {
	if value == "" {
		return
	}
	since := now.Add(-trust.WaveWindow)
	var sharing []*worker
	failures := 0
	for _, w := range p.workers {
		if !w.listed || !w.credible(now) || w.info.Service != failed.info.Service || of(w) != value {
			continue
		}
		sharing = append(sharing, w)
		if w.trust.Limited() && w.trust.LastFailure().After(since) {
			failures++
		}
	}
	if !trust.IsWave(failures, len(sharing)) {
		return
	}
	lowered := 0
	for _, w := range sharing {
		if before := w.trust; !before.Limited() {
			w.trust = before.WithSuspicion(since, now)
			if w.trust.Limited() {
				lowered++
			}
		}
	}
	if lowered > 0 {
		p.Log.Info("trust lowered by failures on other workers", property, value, "failed", failures, "workers", len(sharing), "lowered", lowered)
	}
}

// checkRun counts a run in progress for or against its worker, given the progress
// that the worker reports now. The caller holds the lock.
func (p *Planner) checkRun(pl *placement, progress float64, now time.Time) {
	if progress > pl.reportedProgress || pl.progressedAt.IsZero() || pl.step.LongRunning {
		pl.progressedAt = now
	}
	w := pl.worker
	switch {
	case pl.progressedAt.Equal(now):
		if w.trust.Limited() && !pl.good && !pl.startedAt.IsZero() && now.Sub(pl.startedAt) >= trust.GoodRunTime {
			pl.good = true
			p.setTrust(w, w.trust.WithLongRun(pl.startedAt, now), "run in progress")
		}
	case !pl.stalled && now.Sub(pl.progressedAt) >= trust.StallTime && p.siblingsProgress(pl):
		pl.stalled = true
		p.Log.Info("run stalled", "task", pl.id, "run", pl.run, "worker", w.info.ID, "progress", progress, "for", now.Sub(pl.progressedAt))
		p.setTrust(w, w.trust.WithSuspicion(pl.progressedAt, now), "run stalled")
	}
}

// siblingsProgress reports whether a task of the same step on another worker has
// advanced since this one did. The members of a gang wait for each other, and
// best-effort tasks are throttled, so that these reveal nothing.
func (p *Planner) siblingsProgress(pl *placement) bool {
	if pl.step.Gang || pl.step.BestEffort {
		return false
	}
	s := pl.job.progress.Step(pl.job.spec, pl.id.Occurrence, pl.id.Step)
	for i := range s.Tasks {
		id := pl.id
		id.Index = i
		w := p.workers[s.Tasks[i].Worker]
		if w == nil || w == pl.worker {
			continue
		}
		if o := w.placements[id]; o != nil && o.progressedAt.Sub(pl.progressedAt) >= trust.StallTime {
			return true
		}
	}
	return false
}

// countGoodRun counts a run that ended well. The caller holds the lock.
func (p *Planner) countGoodRun(pl *placement) {
	if pl.good && pl.worker.trust.Limited() {
		// It has raised the limit before.
		return
	}
	pl.good = true
	p.setTrust(pl.worker, pl.worker.trust.WithGoodRun(pl.startedAt, time.Now()), "good run")
}

// backOffWorker keeps new tasks off a worker that refused a start, for a time that
// doubles up to a limit. The caller holds the lock.
func (p *Planner) backOffWorker(w *worker, reason string) {
	now := time.Now()
	w.trust = w.trust.WithRefusal(now)
	p.Log.Info("backing off from worker", "worker", w.info.ID, "reason", reason, "for", w.trust.RefusedUntil().Sub(now))
}

// setTrustLevels sets the number of workers at each level below the highest.
func (m *instruments) setTrustLevels(n map[trust.Level]int) {
	for _, level := range []trust.Level{trust.LevelExcluded, trust.LevelTrial, trust.LevelRecovering} {
		m.set.Gauge("daisylug_planner_untrusted_workers", meter.L("level", string(level))).Set(float64(n[level]))
	}
}

// countRunFailure counts a failed run by what it is attributed to.
func (m *instruments) countRunFailure(taskAtFault bool) {
	blamed := "worker"
	if taskAtFault {
		blamed = "task"
	}
	m.set.Counter("daisylug_planner_run_failures_total", meter.L("blamed", blamed)).Inc()
}
