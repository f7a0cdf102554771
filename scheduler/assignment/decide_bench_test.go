package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"daisylug.example/scheduler/batch"
)

// busyView returns a view of workers with a random load, on average half of their
// accelerators, and one waiting group per 20 workers.
func busyView(workers int) View {
	r := rand.New(rand.NewPCG(1, 2))
	v := View{Now: now, Workers: idleRacks((workers + 7) / 8), Reserve: int64(workers) / 4}
	for i := range v.Workers {
		for n := range r.IntN(9) {
			useAccelerators(&v.Workers[i], 1)
			v.Running = append(v.Running, Running{
				Job: fmt.Sprint("run", i, n), Priority: r.IntN(3), Borrowed: r.IntN(2) == 0, LostWork: r.Float64() * 100,
				Allocations: []Allocation{{Worker: i, Need: batch.Resources{MilliCPU: 5000, MemoryMB: 11000, Accelerators: 1}}},
			})
		}
	}
	for i := range workers / 20 {
		g := taskGroup(fmt.Sprint("job", i), 1+r.IntN(20), 1+r.Int64N(8))
		if i%2 == 0 {
			g = gangGroup(fmt.Sprint("gang", i), 1+r.IntN(8), 1+r.Int64N(8))
		}
		g.Priority, g.ReadySince, g.Guaranteed = r.IntN(3), now, i%7 == 0
		v.Groups = append(v.Groups, g)
	}
	return v
}

func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			v := busyView(workers)
			for b.Loop() {
				Decide(v)
			}
		})
	}
}

// BenchmarkDecideApart is BenchmarkDecide with a slowdown of every group.
func BenchmarkDecideApart(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r := rand.New(rand.NewPCG(3, 4))
			v := busyView(workers)
			for i := range v.Groups {
				for range v.Workers {
					v.Groups[i].Slowdown = append(v.Groups[i].Slowdown, 1+r.Float64())
				}
			}
			for b.Loop() {
				Decide(v)
			}
		})
	}
}
