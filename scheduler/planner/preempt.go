package planner

import (
	"cmp"
	"math"
	"slices"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// cellsTried limits the cells that are compared for one reclaim.
const cellsTried = 8

// triesByWeight limits the jobs of a round for which work of less weight is
// searched. Jobs are tried in order of weight, so later ones seldom succeed.
const triesByWeight = 8

// makeRoom evicts work or drains workers for a job that does not fit now.
func (r *round) makeRoom(j queue.Job) bool {
	if len(r.result.Preemptions) < r.MaxEvictions {
		if r.reclaim(j) || r.evictFor(j) {
			return true
		}
	}
	return r.drain(j)
}

// reclaim frees the unused cell of the job's team and shape that loses the
// least work.
func (r *round) reclaim(j queue.Job) bool {
	least := math.Inf(1)
	var cell guarantee.Cell
	var evictions []guarantee.Eviction
	tried := 0
	for _, c := range r.in.Plan.OfTeam(j.Team) {
		i, ok := r.index[c.Rack]
		if !ok || c.Shape != j.Shape || !r.isUnused(i, c) || tried == cellsTried {
			continue
		}
		tried++
		e, err := r.in.Plan.Reclaim(r.unheld(i), c, r.works(i), r.in.Now, r.Grace)
		if err != nil {
			continue
		}
		if lost := sumLost(e); lost < least {
			least, cell, evictions = lost, c, e
		}
	}
	if math.IsInf(least, 1) {
		return false
	}
	rack := r.index[cell.Rack]
	r.yield(rack, cell.Workers)
	r.preemptAndHold(j, rack, cell.Workers, guarantee.KindGuaranteed, evictions)
	return true
}

func sumLost(evictions []guarantee.Eviction) float64 {
	sum := 0.0
	for _, e := range evictions {
		sum += e.Lost
	}
	return sum
}

// evictFor evicts borrowed work that gives way to the job, where that loses the
// least.
func (r *round) evictFor(j queue.Job) bool {
	if j.Class != queue.ClassQuick {
		r.tries++
		if r.tries > triesByWeight {
			return false
		}
	}
	allowed := r.givesWay(j)
	best := math.Inf(1)
	rack := -1
	var workers gang.Set
	for i := range r.racks {
		set, cost, ok := r.cheapest(i, j, allowed)
		if ok && cost < best {
			best, rack, workers = cost, i, set
		}
	}
	if rack < 0 {
		return false
	}
	evictions, ok := r.evictions(j, rack, workers, allowed)
	if !ok {
		return false
	}
	r.preemptAndHold(j, rack, workers, guarantee.KindBorrowed, evictions)
	return true
}

// givesWay returns which running work may be evicted for the job. For quick
// jobs that is all work of other classes; for others, work that has had its
// stint and has far less weight in the order.
func (r *round) givesWay(j queue.Job) func(*Running) bool {
	if j.Class == queue.ClassQuick {
		return func(w *Running) bool { return w.Request.Class != queue.ClassQuick }
	}
	if r.PreemptionRatio == 0 {
		return func(*Running) bool { return false }
	}
	limit := queue.Weight(j, r.in.Estimator, r.in.Now) / r.PreemptionRatio
	return func(w *Running) bool {
		return w.Request.Class != queue.ClassQuick &&
			r.saveable(w) &&
			r.in.Now.Sub(w.Started) >= r.MinRunTime &&
			r.startWeight(w) <= limit
	}
}

// startWeight returns the weight that running work had when it started.
func (r *round) startWeight(w *Running) float64 {
	if w.weight == 0 {
		w.weight = queue.Weight(w.Request, r.in.Estimator, w.Started)
	}
	return w.weight
}

// saveable reports whether work can be checkpointed within the grace.
func (r *round) saveable(w *Running) bool {
	return w.Checkpoint > 0 && w.Checkpoint <= r.Grace
}

// cheapest returns the workers of a rack that the job gets with the least lost
// work, counting work on several workers once for each.
func (r *round) cheapest(rack int, j queue.Job, allowed func(*Running) bool) (gang.Set, float64, bool) {
	type option struct {
		worker int
		cost   float64
	}
	var options []option
	for i := range r.racks[rack].Len() {
		if r.capacity(rack, i, j) < j.Shape.Accelerators {
			continue
		}
		if cost, ok := r.costOf(rack, i, j.Shape.Accelerators, allowed); ok {
			options = append(options, option{i, cost})
		}
	}
	if len(options) < j.Shape.Workers {
		return 0, 0, false
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var set gang.Set
	sum := 0.0
	for _, o := range options[:j.Shape.Workers] {
		set = set.With(o.worker)
		sum += o.cost
	}
	return set, sum, true
}

// capacity returns the accelerators of a worker that the job may use if no
// other work is there.
func (r *round) capacity(rack, worker int, j queue.Job) int {
	k := r.racks[rack].Worker(worker)
	switch {
	case k.Down || slices.Contains(j.Avoid, k.Name):
		return 0
	case j.NonPreemptible:
		return r.in.Plan.NonPreemptibleCapacity(r.racks[rack], worker, r.works(rack))
	default:
		return k.Accelerators
	}
}

// costOf returns the work lost to free n accelerators of a worker.
func (r *round) costOf(rack, worker, n int, allowed func(*Running) bool) (float64, bool) {
	k := r.racks[rack].Worker(worker)
	short := n - k.Free
	cost := 0.0
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		switch {
		case short <= 0:
			return cost, true
		case !w.Workers.Has(worker):
		case w.Stopping:
			short -= w.Shape.Accelerators
		case !w.guaranteed && !w.NonPreemptible && allowed(w):
			lost, _ := w.Lost(r.in.Now, r.Grace)
			cost += lost
			short -= w.Shape.Accelerators
		}
	}
	return cost, short <= 0
}

// evictions returns the allowed work to evict so that the workers can hold the
// job.
func (r *round) evictions(j queue.Job, rack int, workers gang.Set, allowed func(*Running) bool) ([]guarantee.Eviction, bool) {
	var works []guarantee.Work
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		if w.Stopping || !w.NonPreemptible && allowed(w) || w.guaranteed {
			works = append(works, w.Work)
		}
	}
	target := guarantee.Cell{Team: j.Team, Shape: j.Shape, Rack: r.racks[rack].Name(), Workers: workers}
	e, err := r.in.Plan.Reclaim(r.racks[rack], target, works, r.in.Now, r.Grace)
	return e, err == nil
}

// preemptAndHold evicts the work and holds its workers, or starts the job if
// that was not necessary.
func (r *round) preemptAndHold(j queue.Job, rack int, workers gang.Set, kind guarantee.Kind, evictions []guarantee.Eviction) {
	evictions = slices.DeleteFunc(evictions, func(e guarantee.Eviction) bool { return r.withdraw(rack, e.Work.Job) })
	if r.racks[rack].Holds(workers, j.Shape.Accelerators) {
		r.begin(j, rack, workers)
		return
	}
	r.preempt(j, rack, evictions)
	r.hold(j, rack, workers, kind, r.in.Now.Add(r.Grace), true)
}

// withdraw takes back a start decided earlier in this round. The job stays
// pending.
func (r *round) withdraw(rack int, job string) bool {
	at := slices.IndexFunc(r.result.Starts, func(s Start) bool { return s.Job.ID == job })
	if at < 0 {
		return false
	}
	r.result.Starts = slices.Delete(r.result.Starts, at, at+1)
	i := slices.IndexFunc(r.running[rack], func(w Running) bool { return w.Job == job })
	w := r.running[rack][i]
	r.running[rack] = slices.Concat(r.running[rack][:i], r.running[rack][i+1:])
	r.racks[rack] = r.racks[rack].WithUse(w.Workers, -w.Shape.Accelerators)
	return true
}

// preempt decides evictions and marks the work as stopping.
func (r *round) preempt(j queue.Job, rack int, evictions []guarantee.Eviction) {
	if len(evictions) == 0 {
		return
	}
	r.running[rack] = slices.Clone(r.running[rack])
	for _, e := range evictions {
		for i := range r.running[rack] {
			if r.running[rack][i].Job == e.Work.Job {
				r.running[rack][i].Stopping = true
			}
		}
	}
	r.result.Preemptions = append(r.result.Preemptions, Preemption{
		Job: j.ID, Rack: r.racks[rack].Name(), Evictions: evictions, Deadline: r.in.Now.Add(r.Grace),
	})
}
