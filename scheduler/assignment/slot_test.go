package assignment

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"daisylug.example/scheduler/batch"
)

// referenceFill implements the rule of fill without precomputed sort keys.
func (d *decider) referenceFill(g *Group, workers []int) []int {
	type candidate struct{ worker, slots int }
	var candidates []candidate
	total := 0
	rackFree := map[string]int64{}
	for _, i := range workers {
		rackFree[d.view.Workers[i].Rack] += d.free[i].Accelerators
		if n := d.slots(g, i, d.free[i]); n > 0 {
			candidates = append(candidates, candidate{i, n})
			total += n
		}
	}
	if total == 0 || g.Gang && total < len(g.Indexes) {
		return nil
	}
	// All workers of the test have the same capacity.
	capacity := d.view.Workers[0].Capacity
	memoryNeed := float64(g.Need.MemoryMB) / float64(capacity.MemoryMB)
	memoryFirst := memoryNeed > float64(g.Need.MilliCPU)/float64(capacity.MilliCPU) && memoryNeed > float64(g.Need.Accelerators)/float64(capacity.Accelerators)
	memory := func(worker int) int64 {
		if !memoryFirst {
			return 0
		}
		return d.free[worker].MemoryMB / 1000
	}
	milliCPU := func(worker int) int64 {
		if memoryFirst {
			return 0
		}
		return d.free[worker].MilliCPU
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		x, y := &d.view.Workers[a.worker], &d.view.Workers[b.worker]
		return cmp.Or(
			-compareBool(d.measuresSpeed(g, x), d.measuresSpeed(g, y)),
			cmp.Compare(d.speedRank(g, speedClass(x.Speed)), d.speedRank(g, speedClass(y.Speed))),
			cmp.Compare(rackFree[x.Rack], rackFree[y.Rack]),
			cmp.Compare(g.Slowdown[a.worker], g.Slowdown[b.worker]),
			cmp.Compare(memory(a.worker), memory(b.worker)),
			cmp.Compare(d.free[a.worker].Accelerators, d.free[b.worker].Accelerators),
			cmp.Compare(milliCPU(a.worker), milliCPU(b.worker)),
		)
	})
	var slots []int
	for _, c := range candidates {
		for range min(c.slots, len(g.Indexes)-len(slots)) {
			slots = append(slots, c.worker)
		}
	}
	return slots
}

func TestFillIsThePlainRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &decider{view: View{Now: now, Workers: idleRacks(3)}}
		for i := range d.view.Workers {
			w := &d.view.Workers[i]
			w.Speed = rapid.SampledFrom([]float64{0.3, 0.5, 1, 1.5}).Draw(t, "speed")
			w.SpeedKnown = rapid.Bool().Draw(t, "known")
			w.Free.Accelerators = rapid.Int64Range(-1, 8).Draw(t, "free")
			w.Free.MemoryMB = 1000 * rapid.Int64Range(0, 131).Draw(t, "memory")
			w.Free.MilliCPU = rapid.Int64Range(0, 64000).Draw(t, "cpu")
			d.free = append(d.free, w.Free)
		}
		d.indexRacks()
		g := taskGroup("g", rapid.IntRange(1, 30).Draw(t, "tasks"), rapid.Int64Range(0, 8).Draw(t, "accelerators"))
		g.Need = batch.Resources{
			MilliCPU: rapid.Int64Range(0, 9000).Draw(t, "need"), MemoryMB: rapid.Int64Range(0, 40000).Draw(t, "memory need"), Accelerators: g.Need.Accelerators,
		}
		g.Gang, g.Priority = rapid.Bool().Draw(t, "gang"), rapid.IntRange(0, 2).Draw(t, "priority")
		workers := make([]int, len(d.view.Workers))
		for i := range workers {
			workers[i] = i
			g.Slowdown = append(g.Slowdown, rapid.SampledFrom([]float64{1, 1.5, 3}).Draw(t, "slowdown"))
		}
		if got, want := d.fill(&g, workers), d.referenceFill(&g, workers); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}
