package guarantee

import (
	"math/bits"
	"math/rand/v2"
	"testing"

	"daisylug.example/scheduler/gang"
)

// buddy returns the guarantees as a virtual cluster of buddy cells needs them:
// within a worker and in whole workers, sizes are powers of two. Alignment
// within the rack is left out, in favour of the buddy cells.
func buddy(guarantees []Guarantee) []Guarantee {
	up := func(n int) int { return 1 << bits.Len(uint(n-1)) }
	var list []Guarantee
	for _, g := range guarantees {
		if g.Shape.Workers == 1 {
			g.Shape.Accelerators = up(g.Shape.Accelerators)
		} else {
			g.Shape = gang.Shape{Workers: up(g.Shape.Workers), Accelerators: 8}
		}
		list = append(list, g)
	}
	return list
}

// Compares how often each way strands a guaranteed shape: refused although the
// workers can hold it, or accepted and then impossible to reclaim. Guards
// against a plan that strands more than the alternatives.
func TestWays(t *testing.T) {
	const runs, steps = 40, 120
	for _, share := range []float64{0.5, 0.7, 0.9} {
		offered, refusedBuddy, refusedPlan := 0, 0, 0
		strandedPlan, strandedCounters, checked := 0, 0, 0
		for seed := range uint64(runs) {
			guarantees := makeGuarantees(rand.New(rand.NewPCG(seed, 9)), 5, 32, share)
			racks := makeRacks(32)
			offered += count(guarantees)
			refusedPlan += shapesOf(NewPlan(racks, guarantees).Missing())
			refusedBuddy += shapesOf(NewPlan(racks, buddy(guarantees)).Missing())
			plan, counters := newWorld(false, guarantees), newWorld(true, guarantees)
			a, b := rand.New(rand.NewPCG(seed, 10)), rand.New(rand.NewPCG(seed, 10))
			for range steps {
				plan.step(a)
				counters.step(b)
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
			t.Error("the plan strands more than an alternative")
		}
	}
}

func count(guarantees []Guarantee) int {
	n := 0
	for _, g := range guarantees {
		n += g.Count
	}
	return n
}

func shapesOf(missing []Shortage) int {
	n := 0
	for _, m := range missing {
		n += m.Count
	}
	return n
}
