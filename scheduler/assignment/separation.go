package assignment

import "slices"

// Separation reports a group that is placed on other workers than without its
// Slowdown.
type Separation struct {
	// Group is a position in the view.
	Group int
	// Slowdown is the largest slowdown on the chosen workers, Avoided the largest one
	// on those that the group would have had otherwise.
	Slowdown, Avoided float64
}

// slowdown returns the factor by which the tasks and what runs on the worker slow
// each other down.
func (g *Group) slowdown(worker int) float64 {
	if g.Slowdown == nil {
		return 1
	}
	return g.Slowdown[worker]
}

// maxSeparationChecks bounds the groups of a decision that are placed a second time
// to find out what their slowdown changed. Without a bound, a decision on 3,000
// workers with 150 such groups took 1.8 times as long.
const maxSeparationChecks = 16

// recordSeparation compares the slots of a group with those that it would have
// without its slowdown. The slowdown only orders workers, so that the group fits
// either way and choosing again has no other effect.
func (d *decider) recordSeparation(position int, slots []int) {
	g := &d.view.Groups[position]
	if g.Slowdown == nil || d.separationChecks >= maxSeparationChecks {
		return
	}
	d.separationChecks++
	slowdown := g.Slowdown
	g.Slowdown = nil
	others, _ := d.chooseWorkers(position)
	g.Slowdown = slowdown
	if slices.Equal(slots, others) {
		return
	}
	s := Separation{Group: position}
	for _, w := range slots {
		s.Slowdown = max(s.Slowdown, slowdown[w])
	}
	for _, w := range others {
		s.Avoided = max(s.Avoided, slowdown[w])
	}
	d.result.Separations = append(d.result.Separations, s)
}
