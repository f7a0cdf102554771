package guarantee

import (
	"math/bits"
	"math/rand/v2"
	"testing"

	"daisylug.example/scheduler/gang"
)

// buddyGuarantees rounds the guarantees up as buddy cell allocation of a virtual
// cluster requires: sizes within a worker and numbers of whole workers are
// powers of two. Alignment within the rack is ignored, in favour of buddy cells.
func buddyGuarantees(guarantees []Guarantee) []Guarantee {
	nextPowerOfTwo := func(n int) int { return 1 << bits.Len(uint(n-1)) }
	var list []Guarantee
	for _, g := range guarantees {
		if g.Shape.Workers == 1 {
			g.Shape.Accelerators = nextPowerOfTwo(g.Shape.Accelerators)
		} else {
			g.Shape = gang.Shape{Workers: nextPowerOfTwo(g.Shape.Workers), Accelerators: 8}
		}
		list = append(list, g)
	}
	return list
}

// Guards against a plan that strands more guaranteed shapes than buddy cells or
// quota counters. A shape is stranded if it is refused although the workers can
// hold it, or if it is accepted and then cannot be reclaimed.
func TestWays(t *testing.T) {
	const runs, steps = 40, 120
	for _, share := range []float64{0.5, 0.7, 0.9} {
		offered, refusedBuddy, refusedPlan := 0, 0, 0
		strandedPlan, strandedCounters, checked := 0, 0, 0
		for seed := range uint64(runs) {
			guarantees := makeGuarantees(rand.New(rand.NewPCG(seed, 9)), 5, 32, share)
			racks := makeRacks(32)
			offered += countShapes(guarantees)
			refusedPlan += countMissing(NewPlan(racks, guarantees).Missing())
			refusedBuddy += countMissing(NewPlan(racks, buddyGuarantees(guarantees)).Missing())
			plan, counters := newSimulation(false, guarantees), newSimulation(true, guarantees)
			planRand, countersRand := rand.New(rand.NewPCG(seed, 10)), rand.New(rand.NewPCG(seed, 10))
			for range steps {
				plan.applyRandomEvent(planRand)
				counters.applyRandomEvent(countersRand)
				checked++
				if _, ok := plan.stranded(); ok {
					strandedPlan++
				}
				if _, ok := counters.stranded(); ok {
					strandedCounters++
				}
			}
		}
		t.Logf("guarantees %.0f %% of the accelerators: refused of %d shapes: plan %d, buddy %d; steps with a stranded shape of %d: plan %d, counters %d",
			100*share, offered, refusedPlan, refusedBuddy, checked, strandedPlan, strandedCounters)
		if strandedPlan > 0 || refusedPlan > refusedBuddy {
			t.Error("the plan strands more guaranteed shapes than an alternative")
		}
	}
}

func countShapes(guarantees []Guarantee) int {
	n := 0
	for _, g := range guarantees {
		n += g.Count
	}
	return n
}

func countMissing(missing []Shortage) int {
	n := 0
	for _, m := range missing {
		n += m.Count
	}
	return n
}
