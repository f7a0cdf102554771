package replay

import (
	"fmt"
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/quarantine"
)

// round makes and carries out the decisions of one round.
func (e *engine) round() error {
	e.replan()
	in := planner.Input{
		Now: e.now, Pending: e.pending, Racks: slices.Clone(e.racks), Plan: e.plan,
		Estimator: e.estimator, Quarantine: e.tracker, Reservations: e.reservations,
	}
	for _, j := range e.running {
		in.Running = append(in.Running, *j.running)
	}
	began := e.clock()
	result := e.policy.Decide(in)
	e.meter.addRound(result, e.clock()-began)
	return e.execute(result)
}

// replan computes a new plan if a worker has entered or left quarantine.
func (e *engine) replan() {
	changed := false
	racks := slices.Clone(e.racks)
	for i, r := range racks {
		for k := range r.Len() {
			name := r.Worker(k).Name
			s := e.tracker.WorkerState(name, e.now)
			down := s == quarantine.StateQuarantined || s == quarantine.StateProbing
			changed = changed || down != e.down[name]
			e.down[name] = down
			if down {
				racks[i] = racks[i].WithDown(gang.Set(0).With(k), true)
			}
		}
	}
	if changed {
		var pinned []guarantee.Work
		for _, j := range e.running {
			if slices.ContainsFunc(e.plan.OfTeam(j.job.Team), func(c guarantee.Cell) bool { return c.Matches(j.running.Work) }) {
				pinned = append(pinned, j.running.Work)
			}
		}
		e.plan = guarantee.NewPlan(racks, e.guarantees, pinned...)
	}
}

func (e *engine) execute(result planner.Result) error {
	for _, f := range result.Refusals {
		e.pending.Remove(f.Job.ID)
		e.jobs[e.jobIndex[f.Job.ID]].finished = true
		e.meter.refusals++
	}
	for _, p := range result.Preemptions {
		e.evict(p)
	}
	for _, reservation := range result.Reservations {
		j := e.jobs[e.jobIndex[reservation.Job]]
		if reservation.Kind == guarantee.KindGuaranteed && j.reclaimedAt.IsZero() {
			j.reclaimedAt = e.now
		}
	}
	for _, s := range result.Starts {
		if err := e.start(s); err != nil {
			return err
		}
	}
	e.reservations = result.Reservations
	e.meter.checkGuarantees(e)
	if slices.ContainsFunc(e.reservations, func(reservation planner.Reservation) bool { return reservation.Preempting }) {
		e.push(e.now.Add(preemptionRoundInterval), eventRound, -1)
		return nil
	}
	if e.pending.Len() > 0 && (len(e.eventQueue) == 0 || e.eventQueue[0].at.Sub(e.now) > idleRoundInterval) {
		e.push(e.now.Add(idleRoundInterval), eventRound, -1)
	}
	return nil
}

func (e *engine) evict(p planner.Preemption) {
	for _, eviction := range p.Evictions {
		j := e.jobs[e.jobIndex[eviction.Work.Job]]
		if j.running == nil || j.eviction != nil {
			continue
		}
		j.running.Stopping = true
		j.eviction = &eviction
		after := time.Duration(0)
		if eviction.Checkpointable {
			after = j.checkpoint
		}
		e.push(e.now.Add(after+1), eventStopped, e.jobIndex[eviction.Work.Job])
	}
}

func (e *engine) start(s planner.Start) error {
	i := e.rackIndex[s.Rack]
	set, ok := e.racks[i].Set(s.Workers...)
	if !ok || set.Len() != s.Job.Shape.Workers || !e.racks[i].Holds(set, s.Job.Shape.Accelerators) || !e.pending.Remove(s.Job.ID) {
		return fmt.Errorf("job %s is not pending or does not fit on workers %v of rack %s", s.Job.ID, s.Workers, s.Rack)
	}
	index := e.jobIndex[s.Job.ID]
	j := e.jobs[index]
	e.racks[i] = e.racks[i].WithUse(set, j.job.Shape.Accelerators)
	j.startedAt = e.now
	j.running = &planner.Running{Request: j.job, Work: guarantee.Work{
		Job: j.job.ID, Team: j.job.Team, Rack: s.Rack, Shape: j.job.Shape, Workers: set,
		Started: e.now, CheckpointDuration: j.checkpoint, NonPreemptible: j.job.NonPreemptible,
	}}
	e.running = append(e.running, j)
	e.meter.addStart(j, e.now)
	runTime := scale(j.work, j.remaining/e.speed(i, set))
	if _, bad := e.firstBadWorker(i, set); bad || j.alwaysFails {
		runTime = min(runTime, failureDelay)
	}
	e.push(e.now.Add(runTime), eventEnd, index)
	return nil
}

func (e *engine) worksByRack() [][]guarantee.Work {
	works := make([][]guarantee.Work, len(e.racks))
	for _, j := range e.running {
		i := e.rackIndex[j.running.Rack]
		works[i] = append(works[i], j.running.Work)
	}
	return works
}
