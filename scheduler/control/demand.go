package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
)

const (
	// maxDemandSamples is the number of samples of urgent demand that are kept,
	// one for each tick: the latest 15 s.
	maxDemandSamples = 150
	// demandQuantile is the quantile of urgent demand for which capacity is
	// reserved.
	demandQuantile = 0.9
	// reserveLogInterval is the shortest time between two log lines about the
	// reserved workers.
	reserveLogInterval = 1 * time.Second
)

// demand tracks what urgent work needed recently.
type demand struct {
	// accelerators are those of urgent work that is not covered by gangs.
	accelerators samples[int64]
	// gangs is what urgent gangs needed, by service.
	gangs map[string]*gangDemand
	// dueSamples is the number of ticks since the latest decision. Only decisions
	// take samples, because they recover from panics.
	dueSamples int
	// loggedWorkers is the number of reserved workers that was last logged.
	loggedWorkers int
	loggedAt      time.Time
}

// gangDemand tracks what the urgent gangs of a service needed recently.
type gangDemand struct {
	workers samples[int]
	// largest are the workers of the largest gang, and speeds the highest speed that
	// a gang needed, at the ticks with any gang.
	largest samples[int]
	speeds  samples[float64]
	// perWorker is what the largest gang used on each worker at the latest tick with
	// any gang.
	perWorker batch.Resources
}

// samples keeps the latest samples of a value.
type samples[T cmp.Ordered] struct {
	recent []T
	next   int
	// quantile is the value that the share demandQuantile of the samples does not
	// exceed.
	quantile T
}

// add records the value at one tick.
func (s *samples[T]) add(v T) {
	if len(s.recent) < maxDemandSamples {
		s.recent = append(s.recent, v)
	} else {
		s.recent[s.next] = v
		s.next = (s.next + 1) % maxDemandSamples
	}
	sorted := slices.Clone(s.recent)
	slices.Sort(sorted)
	s.quantile = sorted[int(demandQuantile*float64(len(sorted)-1))]
}

// urgentNeed is what urgent work needs at one time.
type urgentNeed struct {
	accelerators int64
	gangs        map[string]gangNeed
}

// gangNeed is what the urgent gangs of a service need: the workers of all and of
// the largest gang, and the highest speed.
type gangNeed struct {
	workers, largest int
	speed            float64
	// perWorker is what the largest gang uses on each worker.
	perWorker batch.Resources
}

// add records the need at one tick.
func (d *demand) add(n urgentNeed) {
	d.accelerators.add(n.accelerators)
	for service, g := range n.gangs {
		if d.gangs == nil {
			d.gangs = map[string]*gangDemand{}
		}
		if d.gangs[service] == nil {
			d.gangs[service] = &gangDemand{}
		}
		d.gangs[service].largest.add(g.largest)
		d.gangs[service].speeds.add(g.speed)
		d.gangs[service].perWorker = g.perWorker
	}
	for service, g := range d.gangs {
		g.workers.add(n.gangs[service].workers)
	}
}

// reserve returns how many accelerators to keep free for urgent work in addition
// to the current need.
func (d *demand) reserve(current urgentNeed) int64 {
	return max(d.accelerators.quantile-current.accelerators, 0)
}

// shapes returns which workers to keep free for urgent gangs in addition to the
// current need.
func (d *demand) shapes(current urgentNeed) []assignment.ReservedShape {
	var all []assignment.ReservedShape
	for _, service := range slices.Sorted(maps.Keys(d.gangs)) {
		g := d.gangs[service]
		if n := g.workers.quantile - current.gangs[service].workers; n > 0 {
			all = append(all, assignment.ReservedShape{Service: service, Workers: n, Block: g.largest.quantile, MinSpeed: g.speeds.quantile, PerWorker: g.perWorker})
		}
	}
	return all
}

// setReserve sets the room that the decision keeps for urgent work. The caller
// holds the lock.
func (p *Planner) setReserve(v *decisionView, now time.Time) {
	current := p.urgentNeed(now)
	for range min(p.demand.dueSamples, maxDemandSamples) {
		p.demand.add(current)
	}
	p.demand.dueSamples = 0
	v.input.Reserve, v.input.ReservedShapes = p.demand.reserve(current), p.demand.shapes(current)
	workers := 0
	for _, s := range v.input.ReservedShapes {
		workers += s.Workers
	}
	p.instruments.reservedAccelerators.Set(float64(v.input.Reserve))
	p.instruments.reservedWorkers.Set(float64(workers))
	if workers != p.demand.loggedWorkers && now.Sub(p.demand.loggedAt) >= reserveLogInterval {
		p.demand.loggedWorkers, p.demand.loggedAt = workers, now
		p.Log.Info("workers reserved for urgent gangs changed", "workers", workers, "shapes", v.input.ReservedShapes, "accelerators", v.input.Reserve)
	}
}

// urgentNeed returns what the unfinished jobs of priority 0 need for which room is
// kept, except recurring ones. Where the deployment states the cost of a stop,
// adjacent gangs need workers of one rack rather than any accelerators. The caller
// holds the lock.
func (p *Planner) urgentNeed(now time.Time) urgentNeed {
	n := urgentNeed{gangs: map[string]gangNeed{}}
	capacity := map[string]batch.Resources{}
	for j := range p.liveJobs() {
		if j.queue.Priority != 0 || j.spec.Occurrences != 0 {
			continue
		}
		paths := p.criticalPaths(j)
		if p.hasLargeService() && !p.needsRoom(j, paths, now) {
			continue
		}
		service := p.service(j)
		if _, ok := capacity[service]; !ok {
			capacity[service] = p.largestWorker(service, now)
		}
		workers, perWorker := 0, batch.Resources{}
		if p.timing().statesCheapStops() {
			workers, perWorker = j.gangWorkers(capacity[service])
		}
		if workers == 0 {
			n.accelerators += j.peakAccelerators()
			continue
		}
		g := n.gangs[service]
		if workers > g.largest {
			g.perWorker = perWorker
		}
		g.workers += workers
		g.largest = max(g.largest, workers)
		g.speed = max(g.speed, j.neededSpeed(paths))
		n.gangs[service] = g
	}
	return n
}

// needsRoom reports whether room kept for an urgent job could still serve its
// objective: the objective has not passed, and no run of the job is in progress
// that will miss it. The critical paths are those of the job. The caller holds the
// lock.
func (p *Planner) needsRoom(j *job, paths []time.Duration, now time.Time) bool {
	objective := j.objectiveFor(paths, j.spec.Due(0))
	if now.After(objective) {
		return false
	}
	if j.placementCount == 0 {
		return true
	}
	for i := range j.progress.Steps {
		after := j.pathAfter(paths, i%len(j.spec.Steps))
		for index := range j.progress.Steps[i].Tasks {
			t := &j.progress.Steps[i].Tasks[index]
			w := p.workers[t.Worker]
			if t.State != batch.TaskPlaced || w == nil {
				continue
			}
			id := batch.TaskID{Job: j.spec.ID, Occurrence: i / len(j.spec.Steps), Step: i % len(j.spec.Steps), Index: index}
			if pl := w.placements[id]; pl != nil && p.expectedEnd(pl, now).Add(after).After(objective) {
				return false
			}
		}
	}
	return true
}

// largestWorker returns the capacity of the worker of a service with the most
// accelerators. The caller holds the lock.
func (p *Planner) largestWorker(service string, now time.Time) batch.Resources {
	largest := batch.Resources{}
	for _, w := range p.workers {
		if w.info.Service == service && w.info.Capacity.Accelerators > largest.Accelerators && w.credible(now) {
			largest = w.info.Capacity
		}
	}
	return largest
}

// gangWorkers returns how many idle workers of the given capacity the largest step
// of the job needs and what it uses on each, or 0 if no step is an adjacent gang
// that uses accelerators.
func (j *job) gangWorkers(capacity batch.Resources) (most int, used batch.Resources) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		need := s.AllocatedResources()
		if !s.Gang || !s.Adjacent || need.Accelerators == 0 || !need.Fits(capacity) {
			continue
		}
		perWorker := need.CountIn(capacity, s.Tasks)
		if n := (s.Tasks + perWorker - 1) / perWorker; n > most {
			most, used = n, need.Times(perWorker)
		}
	}
	return most, used
}

// neededSpeed returns the speed at which a job that starts at once meets its
// objective.
func (j *job) neededSpeed(paths []time.Duration) float64 {
	due := j.spec.Due(0)
	allowed := j.objectiveFor(paths, due).Sub(due)
	if allowed <= 0 {
		return 0
	}
	return longest(paths).Seconds() / allowed.Seconds()
}
