package control

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/trust"
)

// evacuationState is what the planner has applied of the evacuations.
type evacuationState struct {
	set evacuation.Set
	// known is set while it is certain which data centres are evacuated.
	known bool
	// since is when each evacuation was first applied.
	since map[string]time.Time
	// lastMoveCheck is when runs to move were last searched for.
	lastMoveCheck time.Time
}

// checkStart returns an error if no task may start on the worker now: its data
// centre is being evacuated, or the worker is leaving. It reads the evacuations
// anew, since a start may have waited for the store or for the worker. The caller
// holds the lock.
func (p *Planner) checkStart(w *worker) error {
	if set, known := p.Evacuations(); !known || set.Contains(w.info.DataCentre) {
		return &platform.EvacuatedError{DataCentre: w.info.DataCentre}
	}
	if w.info.Leaving {
		return &LeavingError{Worker: w.info.ID}
	}
	return nil
}

// refreshEvacuations applies changes of the evacuations. The caller holds the
// lock.
func (p *Planner) refreshEvacuations(now time.Time) {
	set, known := p.Evacuations()
	state := &p.evacuations
	if known != state.known {
		state.known = known
		p.Log.Info("knowledge of evacuations changed, starts need it", "known", known, "version", set.Version())
	}
	if !set.SameDataCentres(state.set) {
		p.applyEvacuations(set, now)
	}
	state.set = set
	for _, w := range p.workers {
		w.evacuated = set.Contains(w.info.DataCentre)
	}
	if !set.Empty() {
		p.moveEvacuatedRuns(now)
	}
}

// applyEvacuations logs which evacuations have begun or ended, and drops the
// reservations in evacuated data centres.
func (p *Planner) applyEvacuations(set evacuation.Set, now time.Time) {
	state := &p.evacuations
	since := map[string]time.Time{}
	for _, name := range set.DataCentres() {
		since[name] = now
		if at, ok := state.since[name]; ok {
			since[name] = at
			continue
		}
		p.Log.Info("evacuating data centre", "datacentre", name, "runs", len(p.runsIn(name)), "version", set.Version())
	}
	for name, at := range state.since {
		if !set.Contains(name) {
			p.instruments.evacuatedRuns(name).Set(0)
			p.Log.Info("data centre is in use again", "datacentre", name, "after", now.Sub(at), "version", set.Version())
		}
	}
	state.since = since
	for j := range p.liveJobs() {
		for ref, r := range j.reservations {
			if slices.ContainsFunc(r.workers, func(id string) bool {
				w := p.workers[id]
				return w == nil || set.Contains(w.info.DataCentre)
			}) {
				delete(j.reservations, ref)
			}
		}
	}
	p.reportGuarantees(set, now)
}

// reportGuarantees logs and counts the accelerators that are guaranteed to teams
// but exceed those of the workers outside the evacuated data centres.
func (p *Planner) reportGuarantees(set evacuation.Set, now time.Time) {
	config := p.Config()
	if config == nil {
		return
	}
	capacity, guaranteed := int64(0), int64(0)
	for _, w := range p.workers {
		if w.listed && w.credible(now) && !w.info.Leaving && !set.Contains(w.info.DataCentre) {
			capacity += w.info.Capacity.Accelerators
		}
	}
	for name, team := range config.Teams {
		guaranteed += team.Guaranteed
		if team.Guaranteed > capacity {
			p.Log.Info("guarantee of a team exceeds the workers in use", "team", name, "guaranteed", team.Guaranteed, "capacity", capacity)
		}
	}
	missing := max(guaranteed-capacity, 0)
	p.instruments.guaranteeShortfall.Set(float64(missing))
	if missing > 0 {
		p.Log.Info("guarantees exceed the workers in use", "guaranteed", guaranteed, "capacity", capacity, "evacuated", set.DataCentres())
	}
}

// withdrawStart gives up a start that was not sent, or whose outcome is unknown,
// because it must not be sent any more. The caller holds the lock.
func (p *Planner) withdrawStart(pl *placement, cause error) {
	p.instruments.withdrawnStarts.Inc()
	p.handleRefusedStart(pl, cause)
}

// runsIn returns the runs in a data centre, gangs as a whole, in order of their
// names. The caller holds the lock.
func (p *Planner) runsIn(dataCentre string) [][]*placement {
	var all [][]*placement
	for _, w := range p.workers {
		if w.info.DataCentre != dataCentre {
			continue
		}
		for _, pl := range w.placements {
			members := []*placement{pl}
			if pl.step.Gang {
				members = p.gangMembers(pl)
			}
			if len(members) > 0 && members[0] == pl {
				all = append(all, members)
			}
		}
	}
	slices.SortFunc(all, func(a, b []*placement) int { return cmp.Compare(a[0].id.String(), b[0].id.String()) })
	return all
}

// moveInterval is the time between two moves out of evacuated data centres, one
// run or gang each. It
// is about the time after which a moved run occupies its new workers, so that the
// capacity elsewhere is known again.
const moveInterval = 300 * time.Millisecond

// moveEvacuatedRuns stops a run of an evacuated data centre that ends clearly
// earlier elsewhere, such as one on slow workers, so that it continues there from
// its checkpoint. The caller holds the lock.
func (p *Planner) moveEvacuatedRuns(now time.Time) {
	state := &p.evacuations
	if now.Sub(state.lastMoveCheck) < moveInterval {
		return
	}
	state.lastMoveCheck = now
	spare := map[string]batch.Resources{}
	for name := range state.since {
		runs := p.runsIn(name)
		p.instruments.evacuatedRuns(name).Set(float64(len(runs)))
		for _, members := range runs {
			r := p.evacuatedRun(members, spare, now)
			if !r.WorthMoving() {
				continue
			}
			p.Log.Info("moving run from an evacuated data centre", "task", members[0].id, "run", members[0].run, "datacentre", name,
				"remaining", r.Remaining, "elsewhere", r.Elsewhere)
			for _, m := range members {
				p.stopFor(m, stopForEvacuation)
			}
			return
		}
	}
}

// evacuatedRun describes a run, or a gang with all its members, for the decision
// whether to move it. spare caches the spare capacity of services. The caller
// holds the lock.
func (p *Planner) evacuatedRun(members []*placement, spare map[string]batch.Resources, now time.Time) evacuation.Run {
	pl := members[0]
	r := evacuation.Run{Resumable: pl.step.Checkpoints && pl.checkpoint != "" && !pl.step.LongRunning}
	slowest := p.currentSpeed(pl.worker, now)
	for _, m := range members {
		if m.phase != phaseRunning {
			r.Resumable = false
		}
		r.Remaining = max(r.Remaining, p.remainingTime(m, now))
		slowest = min(slowest, p.currentSpeed(m.worker, now))
	}
	r.Elsewhere = p.timing().restartTime() + p.timing().unsavedTime() + time.Duration(float64(r.Remaining)*slowest)
	if r.Resumable && r.Remaining > r.Elsewhere {
		service := p.service(pl.job)
		if _, ok := spare[service]; !ok {
			spare[service] = p.spareCapacity(service, now)
		}
		r.Fits = pl.step.AllocatedResources().Times(len(members)).Fits(spare[service]) && p.fitsElsewhere(members, now)
	}
	return r
}

// fitsElsewhere reports whether a run, or a gang with all its members, could start
// on other workers now, near its data and in one rack if that matters to it. Of the
// workers of an advised step only approved ones count. The caller holds the lock.
func (p *Planner) fitsElsewhere(members []*placement, now time.Time) bool {
	v := newDecisionView(now)
	p.addWorkers(v, now)
	pl := members[0]
	g := p.newGroup(v, pl.job, pl.id.Occurrence, pl.id.Step, pl.job.spec.Due(pl.id.Occurrence))
	for _, m := range members {
		g.Indexes = append(g.Indexes, m.id.Index)
	}
	if p.needsAdvice(pl.job) {
		g.Allowed = map[string]bool{}
		if a := pl.job.advice[stepRef{pl.id.Occurrence, pl.id.Step}]; a != nil {
			for _, w := range p.workers {
				g.Allowed[w.info.ID] = a.verdicts[workerIncarnation{w.info.ID, w.incarnation}]
			}
		}
	}
	return v.input.FitsNow(&g)
}

// spareCapacity returns the free capacity of the workers of a service that accept
// tasks, less what its waiting tasks need.
func (p *Planner) spareCapacity(service string, now time.Time) batch.Resources {
	spare := batch.Resources{}
	for _, w := range p.workers {
		if w.info.Service == service && w.schedulable(now) && w.trust.Level(now) != trust.LevelExcluded {
			spare = spare.Plus(w.info.Capacity.Minus(w.used))
		}
	}
	for j := range p.liveJobs() {
		if p.service(j) == service {
			spare = spare.Minus(j.waitingNeed())
		}
	}
	return spare
}

// waitingNeed returns the resources that the waiting tasks of a job need.
func (j *job) waitingNeed() batch.Resources {
	need := batch.Resources{}
	for i := range j.progress.Steps {
		step := &j.spec.Steps[i%len(j.spec.Steps)]
		need = need.Plus(step.AllocatedResources().Times(len(waitingTasks(&j.progress.Steps[i]))))
	}
	return need
}
