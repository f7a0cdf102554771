package control

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
)

// buildView collects the input of a decision.
func (p *Planner) buildView(now time.Time) *decisionView {
	v := newDecisionView(now)
	p.checkDataCentres(now)
	p.refreshEvacuations(now)
	p.refreshTrust(now)
	p.addWorkers(v, now)
	p.setReserve(v, now)
	v.input.IgnoreMemory = !p.hasLargeService()
	v.input.Stopping = p.timing().stopPolicy()
	live := p.liveByAcceptance()
	covered := p.coveredJobs(live)
	for _, j := range live {
		p.processing = j
		p.addGroups(v, j, covered[j], now)
	}
	p.processing = nil
	p.addRuns(v, covered, now)
	p.applyShares(v)
	p.applyInterference(v, now)
	return v
}

// addWorkers adds the workers, in the order of their IDs.
func (p *Planner) addWorkers(v *decisionView, now time.Time) {
	for _, w := range p.workers {
		if w.credible(now) {
			v.workers = append(v.workers, w)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	cautious := p.unknownSpeed()
	for i, w := range v.workers {
		v.workerIndex[w.info.ID] = i
		v.input.Workers = append(v.input.Workers, assignment.Worker{
			ID: w.info.ID, Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: w.info.Capacity.Minus(w.used), LongRunning: p.longRunningUse(w, now),
			Speed:      p.currentSpeed(w, now),
			SpeedKnown: p.speeds.Known(w.info.ID), CautiousSpeed: p.cautiousSpeed(w, cautious, now),
			AcceptsTasks: p.evacuations.known && w.schedulable(now) && !p.dataCentreOf(w).unresponsive,
			Trust:        p.workerTrust(w, now),
		})
	}
}

// longRunningUse returns the resources of the tasks on a worker that end only if their
// job is cancelled, without those that are being stopped.
func (p *Planner) longRunningUse(w *worker, now time.Time) batch.Resources {
	var used batch.Resources
	for _, pl := range w.placements {
		if pl.step.LongRunning && !p.endsByStop(pl, now) {
			used = used.Plus(pl.step.AllocatedResources())
		}
	}
	return used
}

// liveByAcceptance returns the live jobs in order of acceptance.
func (p *Planner) liveByAcceptance() []*job {
	live := make([]*job, 0, len(p.live))
	for _, j := range p.live {
		live = append(live, j)
	}
	slices.SortFunc(live, func(a, b *job) int {
		return cmp.Or(a.spec.AcceptedAt.Compare(b.spec.AcceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return live
}

// coveredJobs returns the jobs that are covered by the guarantees of their
// teams: those of priority 0, in order of acceptance, that fit into the
// guarantee together.
func (p *Planner) coveredJobs(live []*job) map[*job]bool {
	remaining := map[string]int64{}
	covered := map[*job]bool{}
	config := p.Config()
	for _, j := range live {
		if j.queue.Priority != 0 {
			continue
		}
		p.processing = j
		team := j.spec.Team
		if _, ok := remaining[team]; !ok {
			remaining[team] = j.guaranteed
			if config != nil {
				remaining[team] = config.Teams[team].Guaranteed
			}
		}
		need := j.peakAccelerators()
		if need <= remaining[team] {
			remaining[team] -= need
			covered[j] = true
		}
	}
	p.processing = nil
	return covered
}

// peakAccelerators returns the largest number of accelerators that a step of
// the job needs.
func (j *job) peakAccelerators() int64 {
	peak := int64(0)
	for i := range j.spec.Steps {
		peak = max(peak, j.spec.Steps[i].Need.Times(j.spec.Steps[i].Tasks).Accelerators)
	}
	return peak
}

// addGroups adds the waiting tasks of a job.
func (p *Planner) addGroups(v *decisionView, j *job, covered bool, now time.Time) {
	for occurrence := range j.spec.OccurrenceCount() {
		due := j.spec.Due(occurrence)
		if due.After(now) {
			break
		}
		for step := range j.spec.Steps {
			s := j.progress.Step(j.spec, occurrence, step)
			if s.Done() || !j.progress.Ready(j.spec, occurrence, step) {
				continue
			}
			waiting := waitingTasks(s)
			if len(waiting) == 0 || j.spec.Steps[step].Gang && len(waiting) < len(s.Tasks) {
				continue
			}
			if j.spec.Steps[step].LongRunning {
				// Those that fail more often leave a turn to the others.
				slices.SortStableFunc(waiting, func(a, b int) int { return cmp.Compare(s.Tasks[a].Run, s.Tasks[b].Run) })
			}
			g := p.newGroup(v, j, occurrence, step, due)
			g.Indexes = waiting
			ref := stepRef{occurrence, step}
			if _, ok := j.readySince[ref]; !ok {
				j.readySince[ref] = now
			}
			g.ReadySince = j.readySince[ref]
			g.Guaranteed = covered
			g.NeverStarted = !j.started
			g.Idle = j.placementCount == 0
			g.LongRunning = j.spec.Steps[step].LongRunning
			g.Restarts = g.LongRunning && slices.ContainsFunc(waiting, func(i int) bool { return s.Tasks[i].Run > 0 })
			parts := p.splitByRisk(j, g)
			for i := range parts {
				p.applyTrust(j, &parts[i], now)
			}
			advised := p.needsAdvice(j)
			for _, part := range parts {
				if advised {
					p.applyAdvice(j, &part, now)
				}
				v.input.Groups = append(v.input.Groups, part)
				v.jobs = append(v.jobs, j)
			}
		}
	}
}

func waitingTasks(s *batch.StepProgress) []int {
	var waiting []int
	for i := range s.Tasks {
		if s.Tasks[i].State == batch.TaskWaiting {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// currentQueue returns the queue of a job as it is now, or as it was when the job was
// accepted if it is gone.
func (p *Planner) currentQueue(j *job) Queue {
	if c := p.Config(); c != nil {
		if q, ok := c.Queues[j.spec.Queue]; ok {
			return q
		}
	}
	return j.queue
}

// service returns the service whose workers run the queue of a job.
func (p *Planner) service(j *job) string { return p.currentQueue(j).Service }

func (p *Planner) newGroup(v *decisionView, j *job, occurrence, step int, due time.Time) assignment.Group {
	s := &j.spec.Steps[step]
	length := p.criticalPath(j, step)
	g := assignment.Group{
		Job: j.spec.ID, Occurrence: occurrence, Step: step,
		Need: s.AllocatedResources(), Gang: s.Gang, Adjacent: s.Adjacent, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker,
		Service: p.service(j), Priority: j.queue.Priority, Accepted: due, ExpectedDuration: length,
		Objective: p.objective(j, due),
	}
	if s.MaxPerWorker > 0 {
		g.RunningPerWorker = p.tasksPerWorker(j, occurrence, step)
	}
	if reserved, ok := j.reservations[stepRef{occurrence, step}]; ok && v.input.Now.Before(reserved.expiresAt) {
		for _, id := range reserved.workers {
			if i, ok := v.workerIndex[id]; ok {
				g.ReservedWorkers = append(g.ReservedWorkers, i)
			}
		}
	}
	return g
}

// tasksPerWorker counts the tasks of a step on each worker.
func (p *Planner) tasksPerWorker(j *job, occurrence, step int) map[string]int {
	n := map[string]int{}
	stepProgress := j.progress.Step(j.spec, occurrence, step)
	for i := range stepProgress.Tasks {
		if stepProgress.Tasks[i].State == batch.TaskPlaced {
			n[stepProgress.Tasks[i].Worker]++
		}
	}
	return n
}

// criticalPath returns the expected time from the start of a step to the end of
// the job.
func (p *Planner) criticalPath(j *job, step int) time.Duration {
	return p.criticalPaths(j)[step]
}

// criticalPaths returns the critical path of each step. The steps of a job depend
// on earlier ones only.
func (p *Planner) criticalPaths(j *job) []time.Duration {
	paths := make([]time.Duration, len(j.spec.Steps))
	for step := len(paths) - 1; step >= 0; step-- {
		s := &j.spec.Steps[step]
		paths[step] = p.estimator.Estimate(j.estimationJob(s)).Median + j.pathAfter(paths, step)
	}
	return paths
}

// pathAfter returns the longest critical path of the steps that depend on a step.
func (j *job) pathAfter(paths []time.Duration, step int) time.Duration {
	after := time.Duration(0)
	for i := step + 1; i < len(paths); i++ {
		if slices.Contains(j.spec.Steps[i].DependsOn, step) {
			after = max(after, paths[i])
		}
	}
	return after
}

// addRuns adds the runs that may be stopped.
func (p *Planner) addRuns(v *decisionView, covered map[*job]bool, now time.Time) {
	type key struct {
		job              *job
		occurrence, step int
		index            int
		stopping         bool
	}
	indexes := map[key]int{}
	budgets := p.newDisruptionBudgets()
	v.input.Budgets = budgets.allowed
	for i, w := range v.workers {
		for _, pl := range w.placements {
			if p.isIsolated(pl.job) {
				continue
			}
			p.processing = pl.job
			stopping := p.endsByStop(pl, now)
			if !stopping && pl.phase != phaseStarting && pl.phase != phaseRunning {
				continue
			}
			k := key{pl.job, pl.id.Occurrence, pl.id.Step, pl.id.Index, stopping}
			if pl.step.Gang {
				k.index = 0
			}
			n, ok := indexes[k]
			if !ok {
				n = len(v.runs)
				indexes[k] = n
				v.runs = append(v.runs, nil)
				v.input.Running = append(v.input.Running, assignment.Running{
					Job: pl.job.spec.ID, Priority: pl.job.queue.Priority, Borrowed: !covered[pl.job],
					Stopping: stopping, StoppedBefore: pl.job.stoppedRecently(now),
				})
			}
			v.runs[n] = append(v.runs[n], pl)
			r := &v.input.Running[n]
			r.Allocations = append(r.Allocations, assignment.Allocation{Worker: i, Need: pl.step.AllocatedResources()})
			if stopping {
				continue
			}
			if n, ok := budgets.index(pl, now); ok {
				r.Interrupts++
				r.Budget = n
			}
			r.LostWork += p.lostWork(pl, now)
			r.EndsSoon = p.endsSoon(pl, now)
			if end := p.expectedEnd(pl, now); !pl.step.LongRunning && end.After(r.ExpectedEnd) {
				r.ExpectedEnd = end
			}
		}
	}
	p.processing = nil
}
