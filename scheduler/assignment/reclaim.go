package assignment

import (
	"cmp"
	"slices"
	"time"
)

// victim tells which runs may be stopped to make room.
type victim int

const (
	// victimLower are runs of less urgent jobs.
	victimLower victim = iota
	// victimBorrowed are runs that no guarantee covers.
	victimBorrowed
	// victimAny are all runs.
	victimAny
)

// allows reports whether the room of a run can be had.
func (v victim) allows(r *Running) bool {
	switch {
	case r.EndsSoon || v == victimAny:
		return true
	case v == victimLower:
		return r.Borrowed && r.Priority > 0
	}
	return r.Borrowed
}

// reclaim stops runs that use room promised to the group's team, on the rack
// where that loses the least work, and keeps the room for the group.
func (d *decider) reclaim(position int) {
	g := &d.view.Groups[position]
	if g.ReservedWorkers != nil {
		d.keep(g, g.ReservedWorkers)
		return
	}
	if d.view.Now.Sub(g.Since) >= patience {
		d.distrustEnds()
	}
	best := d.plan(g, d.all, victimBorrowed)
	if best == nil && g.NeverStarted {
		// The guaranteed work that runs lies so that the shape fits nowhere.
		// Some of it is moved, for work that has not begun only, so that two
		// jobs cannot stop each other in turn.
		best = d.plan(g, d.all, victimAny)
	}
	if best != nil {
		d.makeRoom(position, best)
	}
}

// makeRoom carries out a plan.
func (d *decider) makeRoom(position int, p *plan) {
	for _, v := range p.victims {
		r := &d.view.Running[v]
		if !r.EndsSoon {
			d.result.Stops = append(d.result.Stops, v)
		}
		r.Borrowed, r.EndsSoon = false, false
	}
	d.victims = nil
	d.result.Reservations = append(d.result.Reservations, Reservation{Group: position, Workers: p.seats})
	d.keep(&d.view.Groups[position], p.seats)
}

// plan returns the cheapest way to make room for a group in a pool, in the best
// place if that is possible.
func (d *decider) plan(g *Group, in pool, v victim) *plan {
	if p := d.compactPlan(g, in, v); p != nil {
		return p
	}
	return d.evict(g, in.workers, v)
}

// compactPlan is plan for the best place only: the rack of the group's data, or
// one rack for adjacent tasks, or any worker where neither matters.
func (d *decider) compactPlan(g *Group, in pool, v victim) *plan {
	if g.Rack != "" {
		return d.evict(g, d.near(in, g.Rack), v)
	}
	if !g.Adjacent || !g.Gang {
		return d.evict(g, in.workers, v)
	}
	var best *plan
	for _, workers := range in.racks {
		best = cheaper(best, d.evict(g, workers, v))
	}
	return best
}

// distrustEnds no longer counts on runs to end by themselves.
func (d *decider) distrustEnds() {
	for i := range d.view.Running {
		d.view.Running[i].EndsSoon = false
	}
	d.victims = nil
}

// plan is a way to make room for a group.
type plan struct {
	victims []int
	seats   []int
	loss    float64
}

func cheaper(a, b *plan) *plan {
	if a == nil || b != nil && b.loss < a.loss {
		return b
	}
	return a
}

// evict makes room for one task after the other, each time on the worker where
// that loses the least work, and returns what to stop.
func (d *decider) evict(g *Group, workers []int, v victim) *plan {
	if !d.holds(g, workers) {
		return nil
	}
	before := slices.Clone(d.free)
	defer func() { d.free = before }()
	p := &plan{}
	stopped := map[int]bool{}
	here := map[int]int{}
	for range g.Indexes {
		seat, victims, loss := d.cheapestSeat(g, workers, v, stopped, here)
		if seat < 0 {
			return nil
		}
		for _, r := range victims {
			stopped[r] = true
			d.release(r)
		}
		p.victims = append(p.victims, victims...)
		p.loss += loss
		p.seats = append(p.seats, seat)
		here[seat]++
		d.free[seat] = d.free[seat].Minus(g.Need)
	}
	return p
}

// cheapestSeat returns the worker on which room for one more task loses the
// least, or -1.
func (d *decider) cheapestSeat(g *Group, workers []int, v victim, stopped map[int]bool, here map[int]int) (int, []int, float64) {
	best, bestVictims, bestLoss := -1, []int(nil), 0.0
	for _, w := range workers {
		at := &d.view.Workers[w]
		if !g.accepts(at) || g.MaxPerWorker > 0 && g.RunningPerWorker[at.ID]+here[w] >= g.MaxPerWorker {
			continue
		}
		victims, loss, ok := d.victimsOn(g, w, v, stopped)
		if ok && (best < 0 || loss < bestLoss) {
			best, bestVictims, bestLoss = w, victims, loss
		}
	}
	return best, bestVictims, bestLoss
}

// victimsOn returns the runs to stop on a worker so that one task fits, those
// with the least to lose first.
func (d *decider) victimsOn(g *Group, worker int, v victim, stopped map[int]bool) ([]int, float64, bool) {
	free := d.free[worker]
	if g.Need.Fits(free) {
		return nil, 0, true
	}
	var chosen []int
	loss := 0.0
	for _, i := range d.candidates(worker, v) {
		if stopped[i] {
			continue
		}
		r := &d.view.Running[i]
		for _, m := range r.Allocations {
			if m.Worker == worker {
				free = free.Plus(m.Need)
			}
		}
		chosen = append(chosen, i)
		if !r.EndsSoon {
			loss += r.LostWork
		}
		if g.Need.Fits(free) {
			return chosen, loss, true
		}
	}
	return nil, 0, false
}

// candidates returns the runs on a worker whose room can be had, first victims
// first: those that end soon by themselves, urgent ones last, then by what they
// lose.
func (d *decider) candidates(worker int, v victim) []int {
	if d.victims == nil {
		d.victims = map[victim]map[int][]int{}
	}
	on := d.victims[v]
	if on == nil {
		on = map[int][]int{}
		for i := range d.view.Running {
			if !v.allows(&d.view.Running[i]) {
				continue
			}
			for _, m := range d.view.Running[i].Allocations {
				if l := on[m.Worker]; len(l) == 0 || l[len(l)-1] != i {
					on[m.Worker] = append(l, i)
				}
			}
		}
		for _, l := range on {
			slices.SortStableFunc(l, func(a, b int) int {
				x, y := &d.view.Running[a], &d.view.Running[b]
				return cmp.Or(
					-compareBool(x.EndsSoon, y.EndsSoon),
					-compareBool(x.Borrowed, y.Borrowed),
					compareBool(x.Priority == 0, y.Priority == 0),
					cmp.Compare(x.LostWork, y.LostWork),
				)
			})
		}
		d.victims[v] = on
	}
	return on[worker]
}

// release frees the room of a run.
func (d *decider) release(running int) {
	for _, m := range d.view.Running[running].Allocations {
		d.free[m.Worker] = d.free[m.Worker].Plus(m.Need)
	}
}

// save keeps the room that a blocked group could use on the rack where it
// lacks the least, so that work of lower rank does not take it.
func (d *decider) save(g *Group) {
	var best []int
	most := 0
	consider := func(workers []int) {
		if n := d.room(g, workers); n > most && d.holds(g, workers) {
			best, most = workers, n
		}
	}
	if g.Adjacent {
		for _, workers := range d.all.racks {
			consider(workers)
		}
	} else {
		consider(d.all.workers)
	}
	for _, w := range best {
		for range d.seats(g, w, d.free[w]) {
			d.free[w] = d.free[w].Minus(g.Need)
		}
	}
}

// keep takes room for a group that waits for stopped runs to end.
func (d *decider) keep(g *Group, seats []int) {
	for _, w := range seats {
		d.free[w] = d.free[w].Minus(g.Need)
	}
}

// patience is how long a guaranteed group waits for runs that should end by
// themselves; with the time of a stop it stays well below the time in which
// guaranteed work must begin.
const patience = 1 * time.Second
