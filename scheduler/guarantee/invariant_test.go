package guarantee

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisylug.example/scheduler/gang"
)

const (
	grace = 2 * time.Second
	// worldWorkers is the number of workers of a world.
	worldWorkers = 32
)

// world is a data centre under random events. counters replaces the plan by
// plain quota counters, the mechanism's alternative: work within its team's
// quota is guaranteed wherever it is placed.
type world struct {
	counters   bool
	now        time.Time
	racks      []gang.Rack
	guarantees []Guarantee
	plan       Plan
	running    []Work
	// counted are the guaranteed jobs under quota counters.
	counted map[string]bool
	next    int
}

func newWorld(counters bool, guarantees []Guarantee) *world {
	w := &world{counters: counters, now: time.Unix(0, 0), racks: makeRacks(worldWorkers), guarantees: guarantees, counted: map[string]bool{}}
	w.plan = NewPlan(w.racks, guarantees)
	return w
}

func (w *world) on(rack string) []Work {
	var list []Work
	for _, k := range w.running {
		if k.Rack == rack {
			list = append(list, k)
		}
	}
	return list
}

func (w *world) rack(name string) int {
	return slices.IndexFunc(w.racks, func(r gang.Rack) bool { return r.Name() == name })
}

func (w *world) start(k Work) {
	i := w.rack(k.Rack)
	w.racks[i] = w.racks[i].WithUse(k.Workers, k.Shape.Accelerators)
	w.running = append(w.running, k)
}

func (w *world) stop(job string) {
	at := slices.IndexFunc(w.running, func(k Work) bool { return k.Job == job })
	k := w.running[at]
	i := w.rack(k.Rack)
	w.racks[i] = w.racks[i].WithUse(k.Workers, -k.Shape.Accelerators)
	w.running = slices.Delete(w.running, at, at+1)
}

// kind is what the scheme under test says about running work.
func (w *world) kind(k Work) Kind {
	if !w.counters {
		on := w.on(k.Rack)
		return w.plan.Classify(k.Rack, on)[slices.IndexFunc(on, func(o Work) bool { return o.Job == k.Job })]
	}
	if w.counted[k.Job] {
		return KindGuaranteed
	}
	return KindBorrowed
}

// arrive starts a job if there is room, in its team's cell or else anywhere,
// and otherwise reclaims a cell for it.
func (w *world) arrive(team string, shape gang.Shape, fixed bool) {
	w.next++
	k := Work{Job: fmt.Sprint(w.next), Team: team, Shape: shape, Started: w.now, NonPreemptible: fixed, Checkpoint: time.Duration(w.next%4) * time.Second}
	if w.counters {
		w.arriveCounted(k)
		return
	}
	if c, evictions, ok := w.cell(k); ok {
		for _, e := range evictions {
			w.stop(e.Work.Job)
		}
		k.Rack, k.Workers = c.Rack, c.Workers
		w.start(k)
		return
	}
	p, ok := gang.Place(w.racks, gang.Request{Shape: shape}, gang.Fragmentation())
	if !ok {
		return
	}
	k.Rack, k.Workers = w.racks[p.Rack].Name(), p.Workers
	if _, err := w.plan.Admit(w.racks[p.Rack], k, w.on(k.Rack)); err == nil {
		w.start(k)
	}
}

func (w *world) cell(k Work) (Cell, []Eviction, bool) {
	for _, c := range w.plan.OfTeam(k.Team) {
		on := w.on(c.Rack)
		if c.Shape != k.Shape || !slices.Contains(w.plan.Unused(c.Rack, on), c) {
			continue
		}
		if e, err := w.plan.Reclaim(w.racks[w.rack(c.Rack)], c, on, w.now, grace); err == nil {
			return c, e, true
		}
	}
	return Cell{}, nil, false
}

func (w *world) arriveCounted(k Work) {
	quota := 0
	for _, g := range w.guarantees {
		if g.Team == k.Team {
			quota += g.Count * g.Shape.Total()
		}
	}
	for _, r := range w.running {
		if r.Team == k.Team && w.counted[r.Job] {
			quota -= r.Shape.Total()
		}
	}
	p, ok := gang.Place(w.racks, gang.Request{Shape: k.Shape}, gang.Fragmentation())
	if ok {
		w.counted[k.Job] = k.Shape.Total() <= quota
		k.Rack, k.Workers = w.racks[p.Rack].Name(), p.Workers
		w.start(k)
	}
}

// lose takes a worker down, which ends its gangs, or brings it back.
func (w *world) lose(i, worker int, down bool) {
	r := w.racks[i]
	set := gang.Set(0).With(worker % r.Len())
	for _, k := range w.on(r.Name()) {
		if down && k.Workers&set != 0 {
			w.stop(k.Job)
		}
	}
	w.racks[i] = w.racks[i].WithDown(set, down)
	w.replan()
}

func (w *world) replan() {
	var pinned []Work
	for _, k := range w.running {
		if !w.counters && w.kind(k) == KindGuaranteed {
			pinned = append(pinned, k)
		}
	}
	w.plan = NewPlan(w.racks, w.guarantees, pinned...)
}

// afterEviction returns the racks without borrowed work, and the guaranteed
// shapes that are not running.
func (w *world) afterEviction() ([]gang.Rack, []Guarantee) {
	racks := slices.Clone(w.racks)
	left := slices.Clone(w.guarantees)
	for _, k := range w.running {
		i := w.rack(k.Rack)
		if w.kind(k) != KindGuaranteed {
			racks[i] = racks[i].WithUse(k.Workers, -k.Shape.Accelerators)
			continue
		}
		at := slices.IndexFunc(left, func(g Guarantee) bool { return g.Team == k.Team && g.Shape == k.Shape && g.Count > 0 })
		if at >= 0 {
			left[at].Count--
		}
	}
	return racks, left
}

// stranded returns the first guaranteed shape that has no room after all
// borrowed work is evicted, even if every other team gives up its shapes. It
// does not look at the plan, so it never blames a scheme for a packing that
// exists.
func (w *world) stranded() (Guarantee, bool) {
	racks, left := w.afterEviction()
	for _, g := range left {
		_, ok := gang.Place(racks, gang.Request{Shape: g.Shape}, gang.Weights{})
		if g.Count > 0 && !ok && w.feasible() {
			return g, true
		}
	}
	return Guarantee{}, false
}

// feasible reports whether the workers that are up can hold all guarantees.
func (w *world) feasible() bool { return Check(w.racks, w.guarantees) == nil }

// together checks that the unused cells are all shapes that are not running,
// and that all of them fit at once after all borrowed work is evicted.
func (w *world) together() error {
	racks, left := w.afterEviction()
	missing := 0
	for _, g := range left {
		missing += g.Count * g.Shape.Total()
	}
	for i, r := range racks {
		for _, c := range w.plan.Unused(r.Name(), w.on(r.Name())) {
			if !racks[i].Holds(c.Workers, c.Shape.Accelerators) {
				return fmt.Errorf("no room for cell %v", c)
			}
			racks[i] = racks[i].WithUse(c.Workers, c.Shape.Accelerators)
			missing -= c.Shape.Total()
		}
	}
	if missing > 0 && w.feasible() {
		return fmt.Errorf("%d accelerators of guarantees have no cell", missing)
	}
	return nil
}

// claimAll makes every team take all its shapes at once and reports what fails.
func (w *world) claimAll() error {
	for _, c := range w.plan.Cells() {
		on := w.on(c.Rack)
		if !slices.Contains(w.plan.Unused(c.Rack, on), c) {
			continue
		}
		i := w.rack(c.Rack)
		evictions, err := w.plan.Reclaim(w.racks[i], c, on, w.now, grace)
		if err != nil {
			return err
		}
		for _, e := range evictions {
			if w.kind(e.Work) == KindGuaranteed {
				return fmt.Errorf("guaranteed job %s is evicted", e.Work.Job)
			}
			w.stop(e.Work.Job)
		}
		k := Work{Job: fmt.Sprintf("claim%s%s%d", c.Team, c.Shape, c.Ordinal), Team: c.Team, Rack: c.Rack, Shape: c.Shape, Workers: c.Workers}
		if kind, err := w.plan.Admit(w.racks[i], k, w.on(c.Rack)); err != nil || kind != KindGuaranteed {
			return fmt.Errorf("cell %v: kind %q, %w", c, kind, err)
		}
		w.start(k)
	}
	return nil
}

func (w *world) clone() *world {
	c := *w
	c.racks = slices.Clone(w.racks)
	c.running = slices.Clone(w.running)
	return &c
}

// step applies one random event.
func (w *world) step(rng *rand.Rand) {
	w.now = w.now.Add(time.Minute)
	team := fmt.Sprintf("t%03d", rng.IntN(5))
	switch n := rng.IntN(20); {
	case n < 12:
		shape := shapes[rng.IntN(len(shapes))]
		if rng.IntN(2) == 0 {
			g := w.guarantees[rng.IntN(len(w.guarantees))]
			team, shape = g.Team, g.Shape
		}
		w.arrive(team, shape, rng.IntN(8) == 0)
	case n < 17 && len(w.running) > 0:
		w.stop(w.running[rng.IntN(len(w.running))].Job)
	case n < 18:
		w.lose(rng.IntN(len(w.racks)), rng.IntN(8), true)
	case n < 19:
		w.lose(rng.IntN(len(w.racks)), rng.IntN(8), false)
	default:
		changed := makeGuarantees(rng, 5, 8*len(w.racks), 0.7)
		if Check(w.racks, changed) == nil {
			w.guarantees = changed
			w.replan()
		}
	}
}

// Guards against states in which a team's guaranteed shape can no longer be had
// by evicting borrowed work only, after any arrival, departure, worker loss or
// configuration change.
func TestGuaranteesStayReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		w := newWorld(false, makeGuarantees(rng, 5, 32, 0.7))
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step(rng)
			if g, ok := w.stranded(); ok {
				t.Fatalf("step %d: stranded %v", step, g)
			}
			if err := errors.Join(w.together(), w.clone().claimAll()); err != nil {
				t.Fatalf("step %d: %v", step, err)
			}
		}
	})
}

// Shows that the plan is needed: under quota counters the same events strand
// guaranteed shapes.
func TestQuotaCountersStrandGuarantees(t *testing.T) {
	violated := 0
	const runs = 50
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(true, makeGuarantees(rng, 5, 32, 0.7))
		for range 120 {
			w.step(rng)
			if _, ok := w.stranded(); ok {
				violated++
				break
			}
		}
	}
	t.Logf("quota counters stranded a guaranteed shape in %d of %d runs", violated, runs)
	if violated == 0 {
		t.Fatal("quota counters kept every guarantee")
	}
}
