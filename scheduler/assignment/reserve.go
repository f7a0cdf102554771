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
		for left > 0 {
			block := d.bestBlock(s, min(left, max(s.Block, 1)))
			if len(block) == 0 {
				break
			}
			for _, w := range block {
				d.reservedWorkers[w] = true
			}
			left -= len(block)
		}
	}
}

// bestBlock returns up to n unmarked workers of the rack that is closest to having
// n idle ones.
func (d *decider) bestBlock(s ReservedShape, n int) []int {
	var best []int
	bestIdle, bestSpare := 0, 0
	for _, workers := range d.accepting.racks {
		var eligible []int
		idle := 0
		for _, i := range workers {
			w := &d.view.Workers[i]
			if !s.accepts(w) || w.Speed < s.MinSpeed || d.reservedWorkers[i] {
				continue
			}
			eligible = append(eligible, i)
			if d.idle(i) {
				idle++
			}
		}
		size, spare := min(len(eligible), n), max(idle-n, 0)
		idle = min(idle, n)
		// Of racks that are as good, the one with the fewest other idle workers is
		// taken, so that large blocks stay whole.
		better := cmp.Or(cmp.Compare(idle, bestIdle), cmp.Compare(size, len(best)), cmp.Compare(bestSpare, spare)) > 0
		if size == 0 || best != nil && !better {
			continue
		}
		slices.SortStableFunc(eligible, func(a, b int) int {
			return cmp.Or(-compareBool(d.idle(a), d.idle(b)), cmp.Compare(d.free[b].Accelerators, d.free[a].Accelerators))
		})
		best, bestIdle, bestSpare = eligible[:size], idle, spare
	}
	return best
}

// idle reports whether nothing uses the worker.
func (d *decider) idle(worker int) bool { return d.free[worker] == d.view.Workers[worker].Capacity }

// keepsReserved reports whether the group leaves the marked workers free. Work
// under a guarantee never does.
func (d *decider) keepsReserved(g *Group) bool {
	return d.reservedWorkers != nil && g.Priority > 0 && !g.Guaranteed && !d.mayRelaxPlacement(g)
}
