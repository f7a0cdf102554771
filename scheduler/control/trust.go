package control

import (
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/trust"
)

// trustState is the planner's state of the trust in its workers beyond that of each
// worker.
type trustState struct {
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
	p.trust.spared = nil
	levels := map[trust.Level]int{}
	excluded := map[string][]*worker{}
	for _, w := range p.workers {
		if !w.trust.Limited() {
			continue
		}
		level := w.trust.Level(now)
		levels[level]++
		if level == trust.LevelExcluded && w.listed {
			excluded[w.info.Service] = append(excluded[w.info.Service], w)
		}
	}
	p.instruments.setTrustLevels(levels)
	for service, all := range excluded {
		excess := trust.ExcessExclusions(len(all), p.listedWorkers(service))
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

// listedWorkers returns the number of workers of a service in the registry.
func (p *Planner) listedWorkers(service string) int {
	n := 0
	for _, w := range p.workers {
		if w.listed && w.info.Service == service {
			n++
		}
	}
	return n
}

// available reports whether the worker may get new tasks and is not excluded.
func (w *worker) available(now time.Time) bool {
	return w.schedulable(now) && w.trust.Level(now) != trust.LevelExcluded
}

// workerTrust returns what may start on a worker.
func (p *Planner) workerTrust(w *worker, now time.Time) assignment.WorkerTrust {
	state := w.trust
	if !state.Limited() {
		return assignment.WorkerTrust{Unproven: state.Unproven()}
	}
	if p.trust.spared[w] {
		state = state.WithTrial()
	}
	inProgress := 0
	for _, pl := range w.placements {
		if pl.phase == phaseReserved || pl.phase == phaseStarting || pl.startedAt.After(state.Since()) {
			inProgress++
		}
	}
	limit, limited := state.Limits(now, inProgress)
	return assignment.WorkerTrust{Limited: limited, NewTasks: limit, Unproven: state.Unproven()}
}

// applyTrust sets which workers a group may use with respect to their failures.
func (p *Planner) applyTrust(j *job, g *assignment.Group, now time.Time) {
	failures := mostFailures(j, g)
	g.Trial = !g.Gang && g.Priority > 0 && failures+1 < j.queue.MaxAttempts
	if g.Gang || failures+1 >= j.queue.MaxAttempts {
		g.ProvenOnlyUntil = trust.ProvenOnlyUntil(g.ReadySince, g.Objective, g.ExpectedDuration, g.Guaranteed)
	}
	if g.Guaranteed && !now.Before(g.ReadySince.Add(trust.MaxGuaranteedWait)) {
		// The guarantee outweighs the risk of another failure.
		g.Trial = true
	}
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
func splitByRisk(j *job, g assignment.Group) []assignment.Group {
	if g.Gang || g.Priority == 0 || g.MaxPerWorker > 0 || mostFailures(j, &g) == 0 {
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
	since := now.Add(-trust.WaveWindow)
	for property, shared := range map[string]func(*worker) bool{
		"rack": func(w *worker) bool { return failed.info.Rack != "" && w.info.Rack == failed.info.Rack },
		"data centre": func(w *worker) bool {
			return failed.info.DataCentre != "" && w.info.DataCentre == failed.info.DataCentre
		},
	} {
		all, failures := 0, 0
		for _, w := range p.workers {
			if !w.listed || w.info.Service != failed.info.Service || !shared(w) {
				continue
			}
			all++
			if w.trust.Limited() && w.trust.LastFailure().After(since) {
				failures++
			}
		}
		if !trust.IsWave(failures, all) {
			continue
		}
		for _, w := range p.workers {
			if w.info.Service == failed.info.Service && shared(w) {
				p.setTrust(w, w.trust.WithSuspicion(since, now), "failures on other workers of the "+property)
			}
		}
	}
}

// checkGoodRun counts a run that has been in progress for some time and still
// advances. The caller holds the lock.
func (p *Planner) checkGoodRun(pl *placement, progress float64, now time.Time) {
	advances := progress > pl.reportedProgress || pl.step.LongRunning
	if !pl.startedAt.IsZero() && now.Sub(pl.startedAt) >= trust.GoodRunTime && advances {
		p.countGoodRun(pl)
	}
}

// countGoodRun counts a run for its worker, once. The caller holds the lock.
func (p *Planner) countGoodRun(pl *placement) {
	if pl.good {
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
		m.set.GetOrCreateGauge(`daisylug_planner_untrusted_workers{level="`+string(level)+`"}`, nil).Set(float64(n[level]))
	}
}

// countRunFailure counts a failed run by what it is attributed to.
func (m *instruments) countRunFailure(taskAtFault bool) {
	blamed := "worker"
	if taskAtFault {
		blamed = "task"
	}
	m.set.GetOrCreateCounter(`daisylug_planner_run_failures_total{blamed="` + blamed + `"}`).Inc()
}
