package planner

import (
	"cmp"
	"math"
	"slices"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// maxCellsTried limits the cells that one call of reclaim compares.
const maxCellsTried = 8

// maxWeightAttempts limits the jobs per round for which preemptFor looks for work of
// less weight. Jobs are tried in order of weight, so later ones seldom succeed.
const maxWeightAttempts = 8

// preemptOrDrain evicts work or drains workers for a job that does not fit now and
// reports whether it did.
func (r *round) preemptOrDrain(j queue.Job) bool {
	if len(r.result.Preemptions) < r.MaxPreemptions {
		if r.reclaim(j) || r.preemptFor(j) {
			return true
		}
	}
	return r.reserveForDrain(j)
}

// reclaim evicts the work on an unused cell of the job's team and shape, on the
// cell where that loses the least work.
func (r *round) reclaim(j queue.Job) bool {
	least := math.Inf(1)
	var cell guarantee.Cell
	var evictions []guarantee.Eviction
	tried := 0
	for _, c := range r.input.Plan.OfTeam(j.Team) {
		i, ok := r.rackIndex[c.Rack]
		if !ok || c.Shape != j.Shape || !r.isUnused(i, c) || tried == maxCellsTried {
			continue
		}
		tried++
		e, err := r.input.Plan.Reclaim(r.withoutBorrowedReservations(i), c, r.work(i), r.input.Now, r.GracePeriod)
		if err != nil {
			continue
		}
		if lost := totalLost(e); lost < least {
			least, cell, evictions = lost, c, e
		}
	}
	if math.IsInf(least, 1) {
		return false
	}
	rack := r.rackIndex[cell.Rack]
	r.dropBorrowedReservations(rack, cell.Workers)
	r.preemptAndReserve(j, rack, cell.Workers, guarantee.KindGuaranteed, evictions)
	return true
}

func totalLost(evictions []guarantee.Eviction) float64 {
	sum := 0.0
	for _, e := range evictions {
		sum += e.Lost
	}
	return sum
}

// preemptFor evicts borrowed work that is evictable for the job, on the workers
// where that loses the least work.
func (r *round) preemptFor(j queue.Job) bool {
	if j.Class != queue.ClassQuick {
		r.weightAttempts++
		if r.weightAttempts > maxWeightAttempts {
			return false
		}
	}
	evictable := r.evictableFor(j)
	best := math.Inf(1)
	rack := -1
	var workers gang.Set
	for i := range r.racks {
		set, cost, ok := r.cheapestWorkers(i, j, evictable)
		if ok && cost < best {
			best, rack, workers = cost, i, set
		}
	}
	if rack < 0 {
		return false
	}
	evictions, ok := r.evictions(j, rack, workers, evictable)
	if !ok {
		return false
	}
	r.preemptAndReserve(j, rack, workers, guarantee.KindBorrowed, evictions)
	return true
}

// evictableFor returns a predicate for the running work that may be evicted for the
// job. For quick jobs that is all work of other classes. For other jobs it is work
// that can be checkpointed, has run for MinRunTime and has less weight by
// PreemptionRatio.
func (r *round) evictableFor(j queue.Job) func(*Running) bool {
	if j.Class == queue.ClassQuick {
		return func(w *Running) bool { return w.Request.Class != queue.ClassQuick }
	}
	if r.PreemptionRatio == 0 {
		return func(*Running) bool { return false }
	}
	limit := queue.Weight(j, r.input.Estimator, r.input.Now) / r.PreemptionRatio
	return func(w *Running) bool {
		return w.Request.Class != queue.ClassQuick &&
			r.canCheckpoint(w) &&
			r.input.Now.Sub(w.Started) >= r.MinRunTime &&
			r.startWeight(w) <= limit
	}
}

// startWeight returns the weight of running work at the time it started.
func (r *round) startWeight(w *Running) float64 {
	if w.weight == 0 {
		w.weight = queue.Weight(w.Request, r.input.Estimator, w.Started)
	}
	return w.weight
}

// canCheckpoint reports whether work can be checkpointed within the grace period.
func (r *round) canCheckpoint(w *Running) bool {
	return w.CheckpointDuration > 0 && w.CheckpointDuration <= r.GracePeriod
}

// cheapestWorkers returns the workers of a rack that can be freed for the job with
// the least lost work. Work on several workers counts once for each of them.
func (r *round) cheapestWorkers(rack int, j queue.Job, evictable func(*Running) bool) (gang.Set, float64, bool) {
	type option struct {
		worker int
		cost   float64
	}
	var options []option
	for i := range r.racks[rack].Len() {
		if r.capacity(rack, i, j) < j.Shape.Accelerators {
			continue
		}
		if cost, ok := r.evictionCost(rack, i, j.Shape.Accelerators, evictable); ok {
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

// capacity returns the accelerators of a worker that the job may use if no other
// work runs there.
func (r *round) capacity(rack, worker int, j queue.Job) int {
	k := r.racks[rack].Worker(worker)
	switch {
	case k.Down || slices.Contains(j.AvoidWorkers, k.Name):
		return 0
	case j.NonPreemptible:
		return r.input.Plan.NonPreemptibleCapacity(r.racks[rack], worker, r.work(rack))
	default:
		return k.Accelerators
	}
}

// evictionCost returns the work lost by freeing n accelerators of a worker, and
// whether that is possible.
func (r *round) evictionCost(rack, worker, n int, evictable func(*Running) bool) (float64, bool) {
	k := r.racks[rack].Worker(worker)
	missing := n - k.Free
	cost := 0.0
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		switch {
		case missing <= 0:
			return cost, true
		case !w.Workers.Has(worker):
		case w.Stopping:
			missing -= w.Shape.Accelerators
		case !w.guaranteed && !w.NonPreemptible && evictable(w):
			lost, _ := w.Lost(r.input.Now, r.GracePeriod)
			cost += lost
			missing -= w.Shape.Accelerators
		}
	}
	return cost, missing <= 0
}

// evictions returns which of the evictable work to evict so that the job fits on
// the workers.
func (r *round) evictions(j queue.Job, rack int, workers gang.Set, evictable func(*Running) bool) ([]guarantee.Eviction, bool) {
	var work []guarantee.Work
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		if w.Stopping || !w.NonPreemptible && evictable(w) || w.guaranteed {
			work = append(work, w.Work)
		}
	}
	target := guarantee.Cell{Team: j.Team, Shape: j.Shape, Rack: r.racks[rack].Name(), Workers: workers}
	e, err := r.input.Plan.Reclaim(r.racks[rack], target, work, r.input.Now, r.GracePeriod)
	return e, err == nil
}

// preemptAndReserve evicts the work and reserves the workers for the job. If it is
// enough to withdraw starts of this round, it starts the job instead.
func (r *round) preemptAndReserve(j queue.Job, rack int, workers gang.Set, kind guarantee.Kind, evictions []guarantee.Eviction) {
	evictions = slices.DeleteFunc(evictions, func(e guarantee.Eviction) bool { return r.withdrawStart(rack, e.Work.Job) })
	if r.racks[rack].Holds(workers, j.Shape.Accelerators) {
		r.startOn(j, rack, workers)
		return
	}
	r.preempt(j, rack, evictions)
	r.reserve(j, rack, workers, kind, r.input.Now.Add(r.GracePeriod), true)
}

// withdrawStart cancels a start decided earlier in this round. The job stays
// pending.
func (r *round) withdrawStart(rack int, job string) bool {
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

// preempt adds evictions to the result and marks the work as stopping.
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
		Job: j.ID, Rack: r.racks[rack].Name(), Evictions: evictions, Deadline: r.input.Now.Add(r.GracePeriod),
	})
}
