package guarantee

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/gang"
)

// makeRacks returns idle racks of 8 workers with 8 accelerators.
func makeRacks(workers int) []gang.Rack {
	var racks []gang.Rack
	for first := 0; first < workers; first += 8 {
		var ws []gang.Worker
		for i := first; i < min(first+8, workers); i++ {
			ws = append(ws, gang.Worker{Name: fmt.Sprintf("w%03d", i), Accelerators: 8, Free: 8})
		}
		racks = append(racks, gang.NewRack(fmt.Sprintf("r%02d", first/8), ws...))
	}
	return racks
}

var shapes = []gang.Shape{
	{Workers: 8, Accelerators: 8}, {Workers: 4, Accelerators: 8}, {Workers: 2, Accelerators: 8}, {Workers: 1, Accelerators: 8},
	{Workers: 8, Accelerators: 2}, {Workers: 3, Accelerators: 4}, {Workers: 1, Accelerators: 4}, {Workers: 2, Accelerators: 3}, {Workers: 1, Accelerators: 1},
}

// makeGuarantees returns guarantees of the given share of all accelerators.
func makeGuarantees(rng *rand.Rand, teams, workers int, share float64) []Guarantee {
	left := int(share * float64(workers*8))
	var list []Guarantee
	for left > 0 {
		s := shapes[rng.IntN(len(shapes))]
		g := Guarantee{Team: fmt.Sprintf("t%03d", rng.IntN(teams)), Shape: s, Count: 1 + rng.IntN(2)}
		if s.Total()*g.Count > left {
			g.Shape = gang.Shape{Workers: 1, Accelerators: 1}
			g.Count = min(left, 3)
		}
		left -= g.Shape.Total() * g.Count
		list = append(list, g)
	}
	return list
}

// Guards against plans that reserve an accelerator twice, use workers that are
// down, or depend on the order of their input, so that instances disagree.
func TestPlanIsSoundAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		workers := rapid.IntRange(8, 80).Draw(t, "workers")
		racks := makeRacks(workers)
		racks[0] = racks[0].WithDown(gang.Set(rng.Uint64()&255), true)
		guarantees := makeGuarantees(rng, 6, workers, 0.9)
		p := NewPlan(racks, guarantees)
		for _, r := range racks {
			for i := range r.Len() {
				if p.Spare(r, i) < 0 || r.Worker(i).Down && p.Spare(r, i) < 8 {
					t.Fatalf("the cells on worker %s exceed its capacity", r.Worker(i).Name)
				}
			}
		}
		rng.Shuffle(len(racks), func(i, j int) { racks[i], racks[j] = racks[j], racks[i] })
		rng.Shuffle(len(guarantees), func(i, j int) { guarantees[i], guarantees[j] = guarantees[j], guarantees[i] })
		if !slices.Equal(p.Cells(), NewPlan(racks, guarantees).Cells()) {
			t.Fatal("the plan depends on the order of its input")
		}
	})
}

// movedShare returns the share of the cells of a that b places elsewhere.
func movedShare(a, b Plan) float64 {
	n := 0
	for _, c := range a.Cells() {
		if !slices.Contains(b.OfTeam(c.Team), c) {
			n++
		}
	}
	return float64(n) / float64(len(a.Cells()))
}

// Guards against a change of input that turns running guaranteed work into
// borrowed work by moving its cell. It also checks that both mechanisms are
// needed: without rendezvous hashing a lost worker moves at least four times as
// many cells, and without pinning cells move away from running work.
func TestPlanStability(t *testing.T) {
	var lost, packed, added, unpinned, pinned float64
	const runs = 5
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 2))
		racks := makeRacks(650)
		guarantees := makeGuarantees(rng, 190, 650, 0.7)
		p := NewPlan(racks, guarantees)
		running := occupy(p)
		more := append(slices.Clone(guarantees), Guarantee{Team: "new", Shape: shapes[1], Count: 2})
		added += movedShare(p, NewPlan(racks, more)) / runs
		k := rng.IntN(len(racks))
		failed := gang.Set(0).With(rng.IntN(racks[k].Len()))
		less := slices.Clone(racks)
		less[k] = less[k].WithDown(failed, true)
		after := NewPlan(less, guarantees)
		lost += movedShare(p, after) / runs
		wanted := wantedCells(guarantees)
		pack := strategy{pack: true}
		packed += movedShare(pack.layOut(racks, wanted, nil).plan(wanted), pack.layOut(less, wanted, nil).plan(wanted)) / runs
		alive := slices.DeleteFunc(running, func(w Work) bool { return w.Rack == less[k].Name() && w.Workers&failed != 0 })
		unpinned += countDisplaced(after, alive)
		pinned += countDisplaced(NewPlan(less, guarantees, alive...), alive)
	}
	t.Logf("share of cells moved: worker lost %.3f (packed %.3f), two cells added %.3f", lost, packed, added)
	t.Logf("running work displaced in %d runs: unpinned %.0f, pinned %.0f", runs, unpinned, pinned)
	if packed < 4*lost || unpinned == 0 || pinned > 0 {
		t.Fatal("rendezvous hashing or pinning does not keep cells in place, or is not needed")
	}
}

// occupy returns one running work for every cell of the plan.
func occupy(p Plan) []Work {
	var running []Work
	for i, c := range p.Cells() {
		running = append(running, Work{Job: fmt.Sprint(i), Team: c.Team, Rack: c.Rack, Shape: c.Shape, Workers: c.Workers})
	}
	return running
}

// countDisplaced returns the number of running works that match no cell.
func countDisplaced(p Plan, running []Work) float64 {
	n := 0.0
	for _, w := range running {
		if !slices.ContainsFunc(p.OfTeam(w.Team), func(c Cell) bool { return c.Matches(w) }) {
			n++
		}
	}
	return n
}

// Guards against accepting guarantees that cannot be kept, and against an error
// that does not list the missing shapes.
func TestCheck(t *testing.T) {
	convey.Convey("given two racks", t, func() {
		racks := makeRacks(16)
		convey.Convey("guarantees that fill them exactly are feasible", func() {
			convey.So(Check(racks, []Guarantee{{"a", shapes[0], 1}, {"b", shapes[3], 8}}), convey.ShouldBeNil)
		})
		convey.Convey("shapes that do not fit are listed in the error", func() {
			err := Check(racks, []Guarantee{{"a", shapes[0], 2}, {"b", shapes[3], 3}})
			var e *InfeasibleError
			convey.So(errors.As(err, &e), convey.ShouldBeTrue)
			convey.So(e.Missing, convey.ShouldResemble, []Shortage{{"b", shapes[3], 3}})
			convey.So(e.Accelerators, convey.ShouldEqual, 24)
		})
	})
}

func BenchmarkNewPlan(b *testing.B) {
	for _, workers := range []int{50, 200, 650} {
		racks := makeRacks(workers)
		guarantees := makeGuarantees(rand.New(rand.NewPCG(1, 2)), 190, workers, 0.7)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewPlan(racks, guarantees)
			}
		})
	}
}
