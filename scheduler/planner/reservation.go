package planner

import (
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// renewReservations starts the jobs whose reserved workers are free and renews the
// other reservations. A job for which workers are drained may also start elsewhere.
func (r *round) renewReservations() {
	var waiting []Reservation
	for _, res := range r.input.Reservations {
		j, pending := r.input.Pending.Get(res.Job)
		rack, ok := r.rackIndex[res.Rack]
		if !pending || !ok || r.reserved[res.Job] {
			continue
		}
		workers, ok := r.racks[rack].Set(res.Workers...)
		switch {
		case !ok:
		case r.racks[rack].Holds(workers, res.Shape.Accelerators):
			if r.admits(j, rack, workers) {
				r.reserved[res.Job] = true
				r.startOn(j, rack, workers)
			}
		case !r.expired(res, rack, workers):
			r.reserved[res.Job] = true
			waiting = append(waiting, res)
		}
	}
	for _, res := range waiting {
		r.applyReservation(res)
	}
	for _, res := range waiting {
		r.carryOver(res)
	}
}

// expired reports whether a reservation has become useless: a worker is down, or
// the evicted work has not stopped two grace periods after its deadline.
func (r *round) expired(res Reservation, rack int, workers gang.Set) bool {
	for s := workers; s != 0; s = s.Rest() {
		if r.racks[rack].Worker(s.First()).Down {
			return true
		}
	}
	return res.Preempting && r.input.Now.After(res.Until.Add(2*r.GracePeriod))
}

// admits reports whether the plan allows the job to run on free workers of the
// rack.
func (r *round) admits(j queue.Job, rack int, workers gang.Set) bool {
	w := guarantee.Work{Job: j.ID, Team: j.Team, Rack: r.racks[rack].Name(), Shape: j.Shape, Workers: workers, NonPreemptible: j.NonPreemptible}
	_, err := r.input.Plan.Admit(r.racks[rack], w, r.work(rack))
	return err == nil
}

// applyReservation subtracts the reserved accelerators from the free ones. The
// cell that a guaranteed job waits for is no longer counted as unused.
func (r *round) applyReservation(res Reservation) {
	rack := r.rackIndex[res.Rack]
	workers, _ := r.racks[rack].Set(res.Workers...)
	r.racks[rack] = r.racks[rack].WithUse(workers, res.Shape.Accelerators)
	j, _ := r.input.Pending.Get(res.Job)
	w := guarantee.Work{Team: j.Team, Rack: res.Rack, Shape: res.Shape, Workers: workers}
	i := slices.IndexFunc(r.unusedCells[rack], func(c guarantee.Cell) bool { return c.Matches(w) })
	if res.Kind == guarantee.KindGuaranteed && i >= 0 {
		r.useCell(rack, i)
	}
}

// carryOver keeps a reservation for the next round unless its job can start
// elsewhere now.
func (r *round) carryOver(res Reservation) {
	if res.Preempting {
		r.result.Reservations = append(r.result.Reservations, res)
		return
	}
	j, _ := r.input.Pending.Get(res.Job)
	p, ok := gang.Place(r.racks, gang.Request{Shape: j.Shape, Spare: j.NonPreemptible}, r.Weights)
	if ok {
		r.releaseReservation(res)
		r.startOn(j, p.Rack, p.Workers)
		return
	}
	rack := r.rackIndex[res.Rack]
	workers, _ := r.racks[rack].Set(res.Workers...)
	res.Until = r.readyTime(rack, workers, res.Shape.Accelerators)
	r.drainCount++
	r.result.Reservations = append(r.result.Reservations, res)
	if r.input.Now.Sub(res.Since) > r.DrainDelay {
		r.preemptDrained(res, j, rack, workers)
	}
}

// preemptDrained evicts the work left on workers that have been drained for longer
// than DrainDelay, so that work that exceeds its estimate does not block other
// jobs forever. The evicted work keeps its progress and its age in the queue.
func (r *round) preemptDrained(res Reservation, j queue.Job, rack int, workers gang.Set) {
	r.releaseReservation(res)
	evictions, ok := r.evictions(j, rack, workers, r.canCheckpoint)
	r.applyReservation(res)
	if !ok {
		return
	}
	res.Preempting = true
	res.Until = r.input.Now.Add(r.GracePeriod)
	r.result.Reservations[len(r.result.Reservations)-1] = res
	r.drainCount--
	r.preempt(j, rack, evictions)
}

// releaseReservation adds the reserved accelerators to the free ones.
func (r *round) releaseReservation(res Reservation) {
	rack := r.rackIndex[res.Rack]
	workers, _ := r.racks[rack].Set(res.Workers...)
	r.racks[rack] = r.racks[rack].WithUse(workers, -res.Shape.Accelerators)
}

// reserve reserves workers for a job.
func (r *round) reserve(j queue.Job, rack int, workers gang.Set, kind guarantee.Kind, until time.Time, preempting bool) {
	res := Reservation{
		Job: j.ID, Rack: r.racks[rack].Name(), Workers: r.racks[rack].Names(workers), Shape: j.Shape,
		Kind: kind, Since: r.input.Now, Until: until, Preempting: preempting,
	}
	r.reserved[j.ID] = true
	r.result.Reservations = append(r.result.Reservations, res)
	r.applyReservation(res)
}

// dropBorrowedReservations drops the reservations for borrowed work that overlap
// the workers, since a guarantee takes precedence. Their jobs stay pending.
func (r *round) dropBorrowedReservations(rack int, workers gang.Set) {
	r.result.Reservations = slices.DeleteFunc(r.result.Reservations, func(res Reservation) bool {
		set, _ := r.racks[rack].Set(res.Workers...)
		if res.Kind == guarantee.KindGuaranteed || r.rackIndex[res.Rack] != rack || set&workers == 0 {
			return false
		}
		r.releaseReservation(res)
		delete(r.reserved, res.Job)
		if !res.Preempting {
			r.drainCount--
		}
		clear(r.unplaceable)
		return true
	})
}

// withoutBorrowedReservations returns the rack without the reservations for
// borrowed work.
func (r *round) withoutBorrowedReservations(rack int) gang.Rack {
	unreserved := r.racks[rack]
	for _, res := range r.result.Reservations {
		if res.Kind != guarantee.KindGuaranteed && r.rackIndex[res.Rack] == rack {
			set, _ := unreserved.Set(res.Workers...)
			unreserved = unreserved.WithUse(set, -res.Shape.Accelerators)
		}
	}
	return unreserved
}

// reserveForDrain reserves the workers that are expected to be free first and
// drains them for the job.
func (r *round) reserveForDrain(j queue.Job) bool {
	if r.drainCount >= r.MaxDrains || r.input.Now.Sub(j.Accepted) < r.DrainDelay {
		return false
	}
	best := -1
	var set gang.Set
	var until time.Time
	for i := range r.racks {
		workers, t, ok := r.earliestWorkers(i, j)
		if ok && (best < 0 || t.Before(until)) {
			best, set, until = i, workers, t
		}
	}
	if best < 0 {
		return false
	}
	r.drainCount++
	r.reserve(j, best, set, guarantee.KindBorrowed, until, false)
	return true
}

// earliestWorkers returns the workers of a rack on which the job is expected to fit
// first, and when.
func (r *round) earliestWorkers(rack int, j queue.Job) (gang.Set, time.Time, bool) {
	type option struct {
		worker int
		at     time.Time
	}
	var options []option
	for i := range r.racks[rack].Len() {
		if r.capacity(rack, i, j) < j.Shape.Accelerators || r.isReserved(rack, i) {
			continue
		}
		options = append(options, option{i, r.readyTime(rack, gang.Set(0).With(i), j.Shape.Accelerators)})
	}
	if len(options) < j.Shape.Workers {
		return 0, time.Time{}, false
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.at.Compare(b.at) })
	var set gang.Set
	for _, o := range options[:j.Shape.Workers] {
		set = set.With(o.worker)
	}
	return set, options[j.Shape.Workers-1].at, true
}

func (r *round) isReserved(rack, worker int) bool {
	name := r.racks[rack].Worker(worker).Name
	return slices.ContainsFunc(r.result.Reservations, func(res Reservation) bool {
		return res.Rack == r.racks[rack].Name() && slices.Contains(res.Workers, name)
	})
}

// readyTime returns when all of the workers are expected to have n free
// accelerators, by the high estimates of the work on them.
func (r *round) readyTime(rack int, workers gang.Set, n int) time.Time {
	latest := r.input.Now
	for s := workers; s != 0; s = s.Rest() {
		if t := r.workerReadyTime(rack, s.First(), n); t.After(latest) {
			latest = t
		}
	}
	return latest
}

func (r *round) workerReadyTime(rack, worker, n int) time.Time {
	type end struct {
		at   time.Time
		size int
	}
	var ends []end
	free := r.input.Racks[rack].Worker(worker).Free
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		if w.Workers.Has(worker) {
			ends = append(ends, end{r.expectedEnd(rack, w), w.Shape.Accelerators})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	at := r.input.Now
	for _, e := range ends {
		if free >= n {
			break
		}
		free += e.size
		at = e.at
	}
	return at
}

func (r *round) expectedEnd(rack int, w *Running) time.Time {
	speed := r.racks[rack].Speed(w.Workers)
	elapsed := time.Duration(float64(r.input.Now.Sub(w.Started)) * speed)
	rest := r.input.Estimator.Remaining(w.Request, elapsed).High
	return r.input.Now.Add(time.Duration(float64(rest) / speed))
}

// backfill starts a job on reserved workers if it is expected to end before they
// are needed.
func (r *round) backfill(j queue.Job) bool {
	if j.NonPreemptible {
		return false
	}
	high := r.input.Estimator.Estimate(j).High
	for _, res := range r.result.Reservations {
		if res.Preempting || r.input.Now.Add(high).After(res.Until) {
			continue
		}
		rack := r.rackIndex[res.Rack]
		r.releaseReservation(res)
		p, ok := gang.Place(r.racks[rack:rack+1], gang.Request{Shape: j.Shape}, r.Weights)
		fits := ok && !r.input.Now.Add(time.Duration(float64(high)/r.racks[rack].Speed(p.Workers))).After(res.Until)
		if fits {
			r.startOn(j, rack, p.Workers)
		}
		workers, _ := r.racks[rack].Set(res.Workers...)
		r.racks[rack] = r.racks[rack].WithUse(workers, res.Shape.Accelerators)
		if fits {
			return true
		}
	}
	return false
}
