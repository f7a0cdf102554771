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
		Estimator: e.estimator, Quarantine: e.book, Reservations: e.holds,
	}
	for _, l := range e.running {
		in.Running = append(in.Running, *l.running)
	}
	began := e.clock()
	result := e.policy.Decide(in)
	e.meter.decided(result, e.clock()-began)
	return e.carryOut(result)
}

// replan derives the plan again when a worker enters or leaves quarantine.
func (e *engine) replan() {
	changed := false
	racks := slices.Clone(e.racks)
	for i, r := range racks {
		for k := range r.Len() {
			name := r.Worker(k).Name
			s := e.book.WorkerState(name, e.now)
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
		for _, l := range e.running {
			if slices.ContainsFunc(e.plan.OfTeam(l.job.Team), func(c guarantee.Cell) bool { return c.Matches(l.running.Work) }) {
				pinned = append(pinned, l.running.Work)
			}
		}
		e.plan = guarantee.NewPlan(racks, e.guarantees, pinned...)
	}
}

func (e *engine) carryOut(result planner.Result) error {
	for _, f := range result.Refusals {
		e.pending.Remove(f.Job.ID)
		e.jobs[e.byID[f.Job.ID]].over = true
		e.meter.refusals++
	}
	for _, p := range result.Preemptions {
		e.evict(p)
	}
	for _, h := range result.Reservations {
		l := e.jobs[e.byID[h.Job]]
		if h.Kind == guarantee.KindGuaranteed && l.reclaimed.IsZero() {
			l.reclaimed = e.now
		}
	}
	for _, s := range result.Starts {
		if err := e.start(s); err != nil {
			return err
		}
	}
	e.holds = result.Reservations
	e.meter.verify(e)
	if slices.ContainsFunc(e.holds, func(h planner.Reservation) bool { return h.Preempting }) {
		e.push(e.now.Add(holdStep), eventRound, -1)
		return nil
	}
	if e.pending.Len() > 0 && (len(e.heap) == 0 || e.heap[0].at.Sub(e.now) > idleStep) {
		e.push(e.now.Add(idleStep), eventRound, -1)
	}
	return nil
}

func (e *engine) evict(p planner.Preemption) {
	for _, v := range p.Evictions {
		l := e.jobs[e.byID[v.Work.Job]]
		if l.running == nil || l.evicted != nil {
			continue
		}
		l.running.Stopping = true
		l.evicted = &v
		after := time.Duration(0)
		if v.Checkpoint {
			after = l.checkpoint
		}
		e.push(e.now.Add(after+1), eventStopped, e.byID[v.Work.Job])
	}
}

func (e *engine) start(s planner.Start) error {
	i := e.index[s.Rack]
	set, ok := e.racks[i].Set(s.Workers...)
	if !ok || set.Len() != s.Job.Shape.Workers || !e.racks[i].Holds(set, s.Job.Shape.Accelerators) || !e.pending.Remove(s.Job.ID) {
		return fmt.Errorf("job %s cannot start on %v of %s", s.Job.ID, s.Workers, s.Rack)
	}
	at := e.byID[s.Job.ID]
	l := e.jobs[at]
	e.racks[i] = e.racks[i].WithUse(set, l.job.Shape.Accelerators)
	l.started = e.now
	l.running = &planner.Running{Request: l.job, Work: guarantee.Work{
		Job: l.job.ID, Team: l.job.Team, Rack: s.Rack, Shape: l.job.Shape, Workers: set,
		Started: e.now, Checkpoint: l.checkpoint, NonPreemptible: l.job.NonPreemptible,
	}}
	e.running = append(e.running, l)
	e.meter.startOf(l, e.now)
	runs := scale(l.work, l.left/e.speed(i, set))
	if _, bad := e.failing(i, set); bad || l.bad {
		runs = min(runs, failAfter)
	}
	e.push(e.now.Add(runs), eventEnd, at)
	return nil
}

func (e *engine) worksByRack() [][]guarantee.Work {
	works := make([][]guarantee.Work, len(e.racks))
	for _, l := range e.running {
		i := e.index[l.running.Rack]
		works[i] = append(works[i], l.running.Work)
	}
	return works
}
