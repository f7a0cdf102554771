package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"daisylug.example/scheduler/batch"
)

// drawnSlowdown returns a view with a drawn load, and the same view with a slowdown
// of each group by the given function.
func drawnSlowdown(seed uint64, slowdown func(*rand.Rand) float64) (plain, slowed View) {
	r := rand.New(rand.NewPCG(seed, 3))
	plain = busyView(60 + int(seed)*8)
	for i := range plain.Workers {
		w := &plain.Workers[i]
		w.Speed, w.SpeedKnown = []float64{0.3, 0.55, 1, 1.3}[r.IntN(4)], r.IntN(2) == 0
		w.Free.MilliCPU -= r.Int64N(w.Free.MilliCPU)
	}
	slowed = plain
	slowed.Groups = nil
	for _, g := range plain.Groups {
		for range plain.Workers {
			g.Slowdown = append(g.Slowdown, slowdown(r))
		}
		slowed.Groups = append(slowed.Groups, g)
	}
	return plain, slowed
}

// TestEqualSlowdownChangesNothing guards against a slowdown that is the same
// everywhere and still changes a decision.
func TestEqualSlowdownChangesNothing(t *testing.T) {
	for seed := range uint64(20) {
		plain, slowed := drawnSlowdown(seed, func(*rand.Rand) float64 { return 2 })
		if got, want := fmt.Sprint(Decide(slowed)), fmt.Sprint(Decide(plain)); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}

// TestSlowdownRefusesNothing guards against tasks that wait because of what they
// would slow down: the first group that is placed starts as many tasks as without,
// and no run is stopped for a slowdown alone.
func TestSlowdownRefusesNothing(t *testing.T) {
	separated := 0
	for seed := range uint64(20) {
		plain, slowed := drawnSlowdown(seed, func(r *rand.Rand) float64 { return 1 + r.Float64() })
		for i := range plain.Groups {
			a, b := plain, slowed
			a.Groups, b.Groups = plain.Groups[i:i+1], slowed.Groups[i:i+1]
			x, y := Decide(a), Decide(b)
			if len(x.Starts) != len(y.Starts) || fmt.Sprint(x.Stops) != fmt.Sprint(y.Stops) {
				t.Errorf("seed %d, group %d: %d starts and stops %v, want %d and %v", seed, i, len(y.Starts), y.Stops, len(x.Starts), x.Stops)
			}
			changed := false
			for k := range x.Starts {
				changed = changed || x.Starts[k] != y.Starts[k]
			}
			if changed != (len(y.Separations) == 1) {
				t.Errorf("seed %d, group %d: %d separations reported, starts changed: %v", seed, i, len(y.Separations), changed)
			}
			separated += len(y.Separations)
		}
	}
	if separated == 0 {
		t.Error("no group was kept apart")
	}
}

// TestSlowdownIsTheLastCost checks that speed and the rack to fill first come before
// the slowdown, and the best fit of the workers after it.
func TestSlowdownIsTheLastCost(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*View)
		want   string
	}{
		{"apart from the slowing worker", func(*View) {}, "w01"},
		{"the other workers are degraded", func(v *View) {
			for i := 1; i < len(v.Workers); i++ {
				v.Workers[i].Speed = 0.3
			}
		}, "w00"},
		{"no room on the others", func(v *View) {
			for i := 1; i < len(v.Workers); i++ {
				v.Workers[i].Free = batch.Resources{}
			}
		}, "w00"},
		{"only the empty rack is free of it", func(v *View) {
			for i := 1; i < 8; i++ {
				v.Groups[0].Slowdown[i] = 1.5
			}
		}, "w00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := View{Now: now, Workers: idleRacks(2), Groups: []Group{taskGroup("g", 1, 1)}}
			useAccelerators(&v.Workers[0], 4)
			v.Groups[0].Slowdown = make([]float64, len(v.Workers))
			for i := range v.Workers {
				v.Groups[0].Slowdown[i] = 1
			}
			v.Groups[0].Slowdown[0] = 1.5
			c.change(&v)
			d := Decide(v)
			if len(d.Starts) != 1 || v.Workers[d.Starts[0].Worker].ID != c.want {
				t.Errorf("starts %+v, want one on %s", d.Starts, c.want)
			}
			if s := d.Separations; (len(s) == 1) != (c.want != "w00") || len(s) == 1 && s[0] != (Separation{Slowdown: 1, Avoided: 1.5}) {
				t.Errorf("separations %+v", s)
			}
		})
	}
}
