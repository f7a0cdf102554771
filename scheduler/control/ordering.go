package control

import (
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/overload"
)

// serviceLoad is what the planner knows of the load of a service.
type serviceLoad struct {
	detector overload.Detector
	// load is as of the latest measurement, with the jobs accepted since; inflow is
	// the work accepted recently.
	load   overload.Load
	inflow overload.Inflow
	// measuredAt is when the latest measurement was completed.
	measuredAt time.Time
	// returns holds the times for which refused callers are told to return, by
	// priority, budgets the refusals by queue.
	returns map[int]overload.Schedule
	budgets map[string]overload.Budget
}

// loadInterval is the time between two measurements of the load. It is well below
// the time for which a pressure must last to count, and saves work in the many
// decisions of a burst.
const loadInterval = 200 * time.Millisecond

// applyShares sets the order of the groups of a view while not all can be done in
// time. The caller holds the lock. If it panics, the groups are ordered by age.
func (p *Planner) applyShares(v *decisionView) {
	defer func() {
		if cause := recover(); cause != nil {
			p.handlePanic("order under overload", cause)
			for i := range v.input.Groups {
				v.input.Groups[i].Share = 0
			}
		}
	}()
	if p.Timing.Reclaim == 0 {
		return
	}
	if v.input.Now.Sub(p.loadsMeasuredAt) >= loadInterval {
		p.loadsMeasuredAt = v.input.Now
		p.measureLoads(v)
	}
	for service, s := range p.loads {
		if s.detector.Overloaded() {
			p.shareOut(v, service)
		}
	}
}

// measurement collects the load of a service.
type measurement struct {
	// free is what workers that accept tasks have free; capacity is that of all
	// workers that may be used again.
	free, capacity overload.Amount
	// size is the sum of the capacity of all workers, at speed 1.
	size    overload.Amount
	workers int
	running []overload.Running
	waiting []overload.Waiting
}

// measureLoads measures the load of each service. Resources count times the speed
// of their worker, so that they compare with run times on typical workers.
func (p *Planner) measureLoads(v *decisionView) {
	services := map[string]*measurement{}
	of := func(service string) *measurement {
		if services[service] == nil {
			services[service] = &measurement{}
		}
		return services[service]
	}
	for i, w := range v.workers {
		m, speed := of(w.info.Service), v.input.Workers[i].Speed
		if v.input.Workers[i].AcceptsTasks {
			m.free = m.free.Plus(overload.AmountOf(v.input.Workers[i].Free).Times(speed))
		}
		m.size, m.workers = m.size.Plus(overload.AmountOf(w.info.Capacity)), m.workers+1
		if w.evacuated || w.info.Leaving {
			continue
		}
		// Workers that do not respond or have just disappeared are expected to
		// return, so that a brief failure does not turn callers away.
		m.capacity = m.capacity.Plus(overload.AmountOf(w.info.Capacity).Times(speed))
		for _, pl := range w.placements {
			need := overload.AmountOf(pl.step.AllocatedResources()).Times(speed)
			if pl.step.LongRunning {
				m.capacity = m.capacity.Plus(need.Times(-1))
				continue
			}
			remaining := max(p.remainingTime(pl, v.input.Now), 0)
			if pl.phase == phaseStopping {
				remaining = 0
			}
			m.running = append(m.running, overload.Running{Need: need, Ends: v.input.Now.Add(remaining)})
		}
	}
	for i := range v.input.Groups {
		g := &v.input.Groups[i]
		if w, ok := p.waitingLoad(v.jobs[i], g, v.input.Now); ok {
			m := of(g.Service)
			if m.workers > 0 && g.Need != (batch.Resources{}) {
				need := overload.AmountOf(g.Need)
				occupied := need.Occupied(m.size.Times(1 / float64(m.workers)))
				w.Occupied = occupied.Times(w.Work.Dominant(need))
			}
			m.waiting = append(m.waiting, w)
		}
	}
	for service, m := range services {
		// In a small service one job is a large part of the load, so that shares and
		// forecasts, which are averages over many jobs, mislead.
		if m.workers >= p.LargeServiceWorkers {
			p.updateLoad(service, m, v.input.Now)
		}
	}
}

// waitingLoad returns the load of a waiting group, and false if none of it counts:
// its result is of no use any more, so that it comes last, or it has no objective.
func (p *Planner) waitingLoad(j *job, g *assignment.Group, now time.Time) (overload.Waiting, bool) {
	step, usefulness := &j.spec.Steps[g.Step], g.Usefulness(now)
	if step.LongRunning || usefulness == assignment.Expired {
		return overload.Waiting{}, false
	}
	w := p.stepLoad(j, step, len(g.Indexes))
	w.Due = g.Objective
	if w.Late = usefulness == assignment.Late; w.Late {
		w.Due = g.Accepted.Add(assignment.LateFactor * g.Objective.Sub(g.Accepted))
	}
	return w, true
}

// stepLoad returns the load of some tasks of a step.
func (p *Planner) stepLoad(j *job, step *batch.Step, tasks int) overload.Waiting {
	e := p.estimator.Estimate(j.estimationJob(step))
	need := overload.AmountOf(step.AllocatedResources()).Times(float64(tasks))
	w := overload.Waiting{Team: j.spec.Team, Priority: j.queue.Priority, Work: need.For(e.Median)}
	switch {
	case e.Median > 0:
		w.Doubt = float64(e.High-e.Median) / float64(e.Median)
	case e.Samples == 0:
		w.Doubt = overload.UnknownDoubt
	}
	return w
}

// updateLoad applies a measurement.
func (p *Planner) updateLoad(service string, m *measurement, now time.Time) {
	s := p.loads[service]
	if s == nil {
		s = &serviceLoad{returns: map[int]overload.Schedule{}, budgets: map[string]overload.Budget{}}
		p.loads[service] = s
	}
	pressure := overload.Pressure(now, m.size, m.free, m.waiting, m.running)
	before := s.detector.Overloaded()
	s.detector = s.detector.WithPressure(pressure, now)
	s.measuredAt = now
	s.load = overload.NewLoad(now, m.capacity, m.running, m.waiting)
	p.instruments.pressure(service).Set(pressure)
	if after := s.detector.Overloaded(); after != before {
		state := 0.0
		if after {
			state = 1
		}
		p.instruments.overloaded(service).Set(state)
		p.Log.Info("overload of service changed", "service", service, "overloaded", after, "pressure", pressure, "waiting", len(m.waiting))
	}
}

// shareOut sets the shares of the groups of a service.
func (p *Planner) shareOut(v *decisionView, service string) {
	total := overload.Amount{}
	used := map[*job]overload.Amount{}
	for i, w := range v.workers {
		if w.info.Service != service {
			continue
		}
		if v.input.Workers[i].AcceptsTasks {
			total = total.Plus(overload.AmountOf(w.info.Capacity))
		}
		for _, pl := range w.placements {
			used[pl.job] = used[pl.job].Plus(overload.AmountOf(pl.step.AllocatedResources()))
		}
	}
	classes := p.sizeClasses(service)
	usages := make([]overload.Usage, 0, len(used))
	for j, u := range used {
		usages = append(usages, overload.Usage{
			Team: j.spec.Team, Priority: j.queue.Priority, Class: classes[j.queue.Priority].Of(j.size()), Used: u,
		})
	}
	var claims []overload.Claim
	var positions []int
	for i := range v.input.Groups {
		g, j := &v.input.Groups[i], v.jobs[i]
		if g.Service != service {
			continue
		}
		positions = append(positions, i)
		unit := g.Need
		if g.Gang {
			unit = g.Need.Times(len(g.Indexes))
		}
		claims = append(claims, overload.Claim{
			Team: j.spec.Team, Priority: g.Priority, Tier: int(g.Usefulness(v.input.Now)), Class: classes[g.Priority].Of(j.size()),
			Accepted: g.Accepted, Need: overload.AmountOf(g.Need.Times(len(g.Indexes))), Used: used[j], Unit: overload.AmountOf(unit),
		})
	}
	for i, share := range overload.Shares(claims, usages, total) {
		v.input.Groups[positions[i]].Share = share
	}
}

// sizeClasses returns the size classes of the live jobs of a service, by priority.
func (p *Planner) sizeClasses(service string) map[int]overload.Classes {
	sizes := map[int][]float64{}
	for j := range p.liveJobs() {
		if p.service(j) == service {
			sizes[j.queue.Priority] = append(sizes[j.queue.Priority], j.size())
		}
	}
	classes := map[int]overload.Classes{}
	for priority, all := range sizes {
		classes[priority] = overload.NewClasses(all)
	}
	return classes
}

// size returns the largest number of cores that a step of the job needs.
func (j *job) size() float64 {
	size := 0.0
	for i := range j.spec.Steps {
		size = max(size, j.spec.Steps[i].Need.Times(j.spec.Steps[i].Tasks).Cores())
	}
	return size
}
