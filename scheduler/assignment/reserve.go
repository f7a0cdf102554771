package assignment

import (
	"cmp"
	"slices"

	"daisylug.example/scheduler/batch"
)

// ReservedShape is room that less urgent work leaves to expected urgent gangs:
// whole workers in blocks of one rack each.
type ReservedShape struct {
	Service string
	// Workers is the number of workers, Block the number of them that a gang needs
	// in one rack.
	Workers int
	Block   int
	// MinSpeed is the speed that the gangs need to meet their objectives.
	MinSpeed float64
	// PerWorker is what a gang uses on each worker.
	PerWorker batch.Resources
}

// accepts reports whether the worker would be of use to the gangs if it were idle.
func (s *ReservedShape) accepts(w *Worker) bool {
	return w.Service == s.Service && s.PerWorker.Fits(w.Capacity)
}

// reserveShapes marks the workers of the reserved shapes, which less urgent work
// does not use while they are marked. Workers in use are marked as well, so that
// they become free for a gang as a whole. At most the share maxReserveShare of the
// workers of a service that have the capacity is marked.
func (d *decider) reserveShapes() {
	for _, s := range d.view.ReservedShapes {
		if d.reservedWorkers == nil {
			d.reservedWorkers = make([]bool, len(d.view.Workers))
		}
		inService := 0
		for _, w := range d.accepting.workers {
			if s.accepts(&d.view.Workers[w]) {
				inService++
			}
		}
		left := min(s.Workers, int(maxReserveShare*float64(inService)))
		racks := d.reservableWorkers(s)
		for left > 0 {
			n := min(left, max(s.Block, 1))
			best := bestRack(racks, n)
			if best == nil {
				break
			}
			block := best.take(n)
			for _, w := range block {
				d.reservedWorkers[w] = true
			}
			left -= len(block)
		}
	}
	if d.reservedWorkers != nil {
		d.unreserved = d.pool(func(*Worker) bool { return true }).without(d.reservedWorkers)
	}
}

// without returns the workers of the pool that are not marked.
func (p pool) without(marked []bool) pool {
	isMarked := func(w int) bool { return marked[w] }
	p.workers = slices.DeleteFunc(p.workers, isMarked)
	for i := range p.racks {
		p.racks[i] = slices.DeleteFunc(p.racks[i], isMarked)
	}
	return p
}

// reservableRack is the unmarked workers of a rack, idle ones first and then those
// with most free accelerators.
type reservableRack struct {
	workers []int
	idle    int
}

// take removes up to n workers from the rack and returns them.
func (r *reservableRack) take(n int) []int {
	block := r.workers[:min(n, len(r.workers))]
	r.workers, r.idle = r.workers[len(block):], max(r.idle-n, 0)
	return block
}

// reservableWorkers returns the unmarked workers of each rack that serve the
// shape.
func (d *decider) reservableWorkers(s ReservedShape) []reservableRack {
	racks := make([]reservableRack, len(d.accepting.racks))
	for n, workers := range d.accepting.racks {
		r := &racks[n]
		for _, i := range workers {
			if w := &d.view.Workers[i]; !s.accepts(w) || w.Speed < s.MinSpeed || d.reservedWorkers[i] {
				continue
			}
			r.workers = append(r.workers, i)
			if d.idle(i) {
				r.idle++
			}
		}
		slices.SortStableFunc(r.workers, func(a, b int) int {
			return cmp.Or(-compareBool(d.idle(a), d.idle(b)), cmp.Compare(d.free[b].Accelerators, d.free[a].Accelerators))
		})
	}
	return racks
}

// bestRack returns the rack that is closest to having n idle workers, or nil if no
// workers are left. Of racks that are as good, the one with the fewest other idle
// workers is taken, so that large blocks stay whole.
func bestRack(racks []reservableRack, n int) *reservableRack {
	var best *reservableRack
	for i := range racks {
		r := &racks[i]
		if len(r.workers) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(min(r.idle, n), min(best.idle, n)),
			cmp.Compare(min(len(r.workers), n), min(len(best.workers), n)),
			cmp.Compare(max(best.idle-n, 0), max(r.idle-n, 0)),
		) > 0 {
			best = r
		}
	}
	return best
}

// idle reports whether nothing uses the worker.
func (d *decider) idle(worker int) bool { return d.free[worker] == d.view.Workers[worker].Capacity }

// keepsReserved reports whether the group leaves the marked workers free. Work
// under a guarantee never does.
func (d *decider) keepsReserved(g *Group) bool {
	return d.reservedWorkers != nil && g.Priority > 0 && !g.Guaranteed && !d.mayRelaxPlacement(g) && !d.needsReserved(g)
}

// needsReserved reports whether the group has waited for placementTimeout and
// would not fit on the unmarked workers even if they were idle, such as a group
// whose data or label is only on marked ones.
func (d *decider) needsReserved(g *Group) bool {
	if d.view.Now.Sub(g.ReadySince) < placementTimeout || d.fitsCompactWhenEmpty(g, d.unreserved) {
		return false
	}
	return d.fitsCompactWhenEmpty(g, d.accepting) || !d.fitsWhenEmpty(g, d.unreserved.workers)
}
