package assignment

import (
	"cmp"
	"slices"
)

// reclaim stops runs that use room promised to the group's team, on the rack
// where that loses the least work, and keeps the room for the group.
func (d *decider) reclaim(position int) {
	g := &d.view.Groups[position]
	if g.Seats != nil {
		d.keep(g, g.Seats)
		return
	}
	var best *plan
	if g.Adjacent && g.Gang {
		for _, name := range d.names {
			best = cheaper(best, d.evict(g, d.racks[name]))
		}
	}
	if best == nil {
		best = d.evict(g, d.open)
	}
	if best == nil {
		return
	}
	for _, r := range best.victims {
		d.view.Running[r].Borrowed = false
	}
	d.result.Stops = append(d.result.Stops, best.victims...)
	d.result.Holds = append(d.result.Holds, Hold{Group: position, Seats: best.seats})
	d.keep(g, best.seats)
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

// evict returns the runs to stop so that the group fits on the workers, those
// of the lowest priority and with the least to lose first.
func (d *decider) evict(g *Group, workers []int) *plan {
	if !d.holds(g, workers) {
		return nil
	}
	before := slices.Clone(d.free)
	defer func() { d.free = before }()
	p := &plan{}
	for _, c := range d.candidates(workers) {
		if d.room(g, workers) >= len(g.Indexes) {
			break
		}
		d.release(c, 1)
		p.victims = append(p.victims, c)
	}
	if d.room(g, workers) < len(g.Indexes) {
		return nil
	}
	p.victims = d.needed(g, workers, p.victims)
	for _, v := range p.victims {
		p.loss += d.view.Running[v].Loss
	}
	p.seats = d.fill(g, workers)
	return p
}

// candidates returns the borrowed runs on the workers, first victims first.
func (d *decider) candidates(workers []int) []int {
	on := make(map[int]bool, len(workers))
	for _, w := range workers {
		on[w] = true
	}
	var found []int
	for i := range d.view.Running {
		r := &d.view.Running[i]
		if r.Borrowed && slices.ContainsFunc(r.Room, func(m Room) bool { return on[m.Worker] }) {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		x, y := &d.view.Running[a], &d.view.Running[b]
		return cmp.Or(-cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.Loss, y.Loss))
	})
	return found
}

// release frees the room of a run, or takes it again if sign is -1.
func (d *decider) release(running int, sign int) {
	for _, m := range d.view.Running[running].Room {
		d.free[m.Worker] = d.free[m.Worker].Plus(m.Need.Times(sign))
	}
}

// needed drops the victims without which the group fits as well, the most
// expensive ones first.
func (d *decider) needed(g *Group, workers, chosen []int) []int {
	kept := make([]int, 0, len(chosen))
	for i := len(chosen) - 1; i >= 0; i-- {
		d.release(chosen[i], -1)
		if d.room(g, workers) >= len(g.Indexes) {
			continue
		}
		d.release(chosen[i], 1)
		kept = append(kept, chosen[i])
	}
	return kept
}

// keep takes room for a group that waits for stopped runs to end.
func (d *decider) keep(g *Group, seats []int) {
	for _, w := range seats {
		d.free[w] = d.free[w].Minus(g.Need)
	}
}
