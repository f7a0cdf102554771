package planner

import (
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// keepHolds starts the held jobs whose workers are free and sets aside the
// workers of the others. A drained job also starts elsewhere if there is room.
func (r *round) keepHolds() {
	var waiting []Reservation
	for _, h := range r.in.Reservations {
		j, pending := r.in.Pending.Get(h.Job)
		rack, ok := r.index[h.Rack]
		if !pending || !ok || r.held[h.Job] {
			continue
		}
		workers, ok := r.racks[rack].Set(h.Workers...)
		switch {
		case !ok:
		case r.racks[rack].Holds(workers, h.Shape.Accelerators):
			if r.admits(j, rack, workers) {
				r.held[h.Job] = true
				r.begin(j, rack, workers)
			}
		case !r.lapsed(h, rack, workers):
			r.held[h.Job] = true
			waiting = append(waiting, h)
		}
	}
	for _, h := range waiting {
		r.setAside(h)
	}
	for _, h := range waiting {
		r.keep(h)
	}
}

// lapsed reports whether a hold has become useless: a worker is down, or the
// evicted work has not stopped long after its deadline.
func (r *round) lapsed(h Reservation, rack int, workers gang.Set) bool {
	for s := workers; s != 0; s = s.Rest() {
		if r.racks[rack].Worker(s.First()).Down {
			return true
		}
	}
	return h.Preempting && r.in.Now.After(h.Until.Add(2*r.Grace))
}

// admits reports whether the job may run on free workers of the rack.
func (r *round) admits(j queue.Job, rack int, workers gang.Set) bool {
	w := guarantee.Work{Job: j.ID, Team: j.Team, Rack: r.racks[rack].Name(), Shape: j.Shape, Workers: workers, NonPreemptible: j.NonPreemptible}
	_, err := r.in.Plan.Admit(r.racks[rack], w, r.works(rack))
	return err == nil
}

// setAside takes the held accelerators from the free ones, and the cell that
// the job awaits from the unused ones.
func (r *round) setAside(h Reservation) {
	rack := r.index[h.Rack]
	workers, _ := r.racks[rack].Set(h.Workers...)
	r.racks[rack] = r.racks[rack].WithUse(workers, h.Shape.Accelerators)
	j, _ := r.in.Pending.Get(h.Job)
	w := guarantee.Work{Team: j.Team, Rack: h.Rack, Shape: h.Shape, Workers: workers}
	i := slices.IndexFunc(r.unused[rack], func(c guarantee.Cell) bool { return c.Matches(w) })
	if h.Kind == guarantee.KindGuaranteed && i >= 0 {
		r.use(rack, i)
	}
}

// keep carries a hold over to the next round unless its job can start
// elsewhere at once.
func (r *round) keep(h Reservation) {
	if h.Preempting {
		r.result.Reservations = append(r.result.Reservations, h)
		return
	}
	j, _ := r.in.Pending.Get(h.Job)
	p, ok := gang.Place(r.racks, gang.Request{Shape: j.Shape, Spare: j.NonPreemptible}, r.Weights)
	if ok {
		r.release(h)
		r.begin(j, p.Rack, p.Workers)
		return
	}
	rack := r.index[h.Rack]
	workers, _ := r.racks[rack].Set(h.Workers...)
	h.Until = r.ready(rack, workers, h.Shape.Accelerators)
	r.drains++
	r.result.Reservations = append(r.result.Reservations, h)
	if r.in.Now.Sub(h.Since) > r.DrainDelay {
		r.finishDrain(h, j, rack, workers)
	}
}

// finishDrain evicts what is left on workers drained for longer than the
// patience, so that work over its estimate does not block others forever. The
// evicted work keeps its progress and its age in the queue.
func (r *round) finishDrain(h Reservation, j queue.Job, rack int, workers gang.Set) {
	r.release(h)
	evictions, ok := r.evictions(j, rack, workers, r.saveable)
	r.setAside(h)
	if !ok {
		return
	}
	h.Preempting = true
	h.Until = r.in.Now.Add(r.Grace)
	r.result.Reservations[len(r.result.Reservations)-1] = h
	r.drains--
	r.preempt(j, rack, evictions)
}

// release returns held accelerators to the free ones.
func (r *round) release(h Reservation) {
	rack := r.index[h.Rack]
	workers, _ := r.racks[rack].Set(h.Workers...)
	r.racks[rack] = r.racks[rack].WithUse(workers, -h.Shape.Accelerators)
}

// hold sets workers aside for a job.
func (r *round) hold(j queue.Job, rack int, workers gang.Set, kind guarantee.Kind, until time.Time, preempting bool) {
	h := Reservation{
		Job: j.ID, Rack: r.racks[rack].Name(), Workers: r.racks[rack].Names(workers), Shape: j.Shape,
		Kind: kind, Since: r.in.Now, Until: until, Preempting: preempting,
	}
	r.held[j.ID] = true
	r.result.Reservations = append(r.result.Reservations, h)
	r.setAside(h)
}

// yield drops the holds for borrowed work that overlap the workers, since a
// guarantee goes before them. Their jobs stay pending.
func (r *round) yield(rack int, workers gang.Set) {
	r.result.Reservations = slices.DeleteFunc(r.result.Reservations, func(h Reservation) bool {
		set, _ := r.racks[rack].Set(h.Workers...)
		if h.Kind == guarantee.KindGuaranteed || r.index[h.Rack] != rack || set&workers == 0 {
			return false
		}
		r.release(h)
		delete(r.held, h.Job)
		if !h.Preempting {
			r.drains--
		}
		clear(r.full)
		return true
	})
}

// unheld returns the rack without the holds for borrowed work.
func (r *round) unheld(rack int) gang.Rack {
	open := r.racks[rack]
	for _, h := range r.result.Reservations {
		if h.Kind != guarantee.KindGuaranteed && r.index[h.Rack] == rack {
			set, _ := open.Set(h.Workers...)
			open = open.WithUse(set, -h.Shape.Accelerators)
		}
	}
	return open
}

// drain holds the workers that are expected to be free first.
func (r *round) drain(j queue.Job) bool {
	if r.drains >= r.MaxDrains || r.in.Now.Sub(j.Accepted) < r.DrainDelay {
		return false
	}
	best := -1
	var set gang.Set
	var until time.Time
	for i := range r.racks {
		workers, t, ok := r.earliest(i, j)
		if ok && (best < 0 || t.Before(until)) {
			best, set, until = i, workers, t
		}
	}
	if best < 0 {
		return false
	}
	r.drains++
	r.hold(j, best, set, guarantee.KindBorrowed, until, false)
	return true
}

// earliest returns the workers of a rack that can hold the job first, and when.
func (r *round) earliest(rack int, j queue.Job) (gang.Set, time.Time, bool) {
	type option struct {
		worker int
		at     time.Time
	}
	var options []option
	for i := range r.racks[rack].Len() {
		if r.capacity(rack, i, j) < j.Shape.Accelerators || r.isHeld(rack, i) {
			continue
		}
		options = append(options, option{i, r.ready(rack, gang.Set(0).With(i), j.Shape.Accelerators)})
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

func (r *round) isHeld(rack, worker int) bool {
	name := r.racks[rack].Worker(worker).Name
	return slices.ContainsFunc(r.result.Reservations, func(h Reservation) bool {
		return h.Rack == r.racks[rack].Name() && slices.Contains(h.Workers, name)
	})
}

// ready returns when each of the workers is expected to have n free
// accelerators, by the high estimates of the work on them.
func (r *round) ready(rack int, workers gang.Set, n int) time.Time {
	ready := r.in.Now
	for s := workers; s != 0; s = s.Rest() {
		if t := r.workerReady(rack, s.First(), n); t.After(ready) {
			ready = t
		}
	}
	return ready
}

func (r *round) workerReady(rack, worker, n int) time.Time {
	type end struct {
		at   time.Time
		size int
	}
	var ends []end
	free := r.in.Racks[rack].Worker(worker).Free
	for i := range r.running[rack] {
		w := &r.running[rack][i]
		if w.Workers.Has(worker) {
			ends = append(ends, end{r.expectedEnd(rack, w), w.Shape.Accelerators})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	at := r.in.Now
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
	elapsed := time.Duration(float64(r.in.Now.Sub(w.Started)) * speed)
	rest := r.in.Estimator.Remaining(w.Request, elapsed).High
	return r.in.Now.Add(time.Duration(float64(rest) / speed))
}

// backfill starts a job on held workers if it ends before they are needed.
func (r *round) backfill(j queue.Job) bool {
	if j.NonPreemptible {
		return false
	}
	high := r.in.Estimator.Estimate(j).High
	for _, h := range r.result.Reservations {
		if h.Preempting || r.in.Now.Add(high).After(h.Until) {
			continue
		}
		rack := r.index[h.Rack]
		r.release(h)
		p, ok := gang.Place(r.racks[rack:rack+1], gang.Request{Shape: j.Shape}, r.Weights)
		fits := ok && !r.in.Now.Add(time.Duration(float64(high)/r.racks[rack].Speed(p.Workers))).After(h.Until)
		if fits {
			r.begin(j, rack, p.Workers)
		}
		workers, _ := r.racks[rack].Set(h.Workers...)
		r.racks[rack] = r.racks[rack].WithUse(workers, h.Shape.Accelerators)
		if fits {
			return true
		}
	}
	return false
}
