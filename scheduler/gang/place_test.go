package gang

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against placements that fragment free capacity or that slow a gang
// down to the speed of one slow worker.
func TestPlaceChoice(t *testing.T) {
	newRack := func(rack string, speed float64, free ...int) Rack {
		var ws []Worker
		for i, f := range free {
			ws = append(ws, Worker{Name: fmt.Sprint(rack, i), Accelerators: 8, Free: f, Speed: speed})
		}
		return NewRack(rack, ws...)
	}
	guaranteed := newRack("g", 1, 8, 8).WithGuaranteed(3, 8)
	fast := newRack("f", 4, 8, 8, 8, 8)
	mixed := newRack("m", 1, 8, 8, 8, 8).WithSpeed(Set(0).With(0), 0.25)
	tests := []struct {
		name    string
		racks   []Rack
		req     Request
		weights Weights
		rack    int
		workers Set
	}{
		{"partly used worker first", []Rack{newRack("a", 1, 8, 8), newRack("b", 1, 8, 2)}, Request{Shape: Shape{1, 2}}, Fragmentation(), 1, 2},
		{"exact fit before a larger worker", []Rack{newRack("a", 1, 4, 8), newRack("b", 1, 2, 8)}, Request{Shape: Shape{1, 2}}, Fragmentation(), 1, 1},
		{"partly used rack first", []Rack{newRack("a", 1, 8, 8, 8, 8), newRack("b", 1, 8, 8, 0, 0)}, Request{Shape: Shape{2, 8}}, Fragmentation(), 1, 3},
		{"faster rack for completion time", []Rack{newRack("a", 1, 8, 8, 0, 0), fast}, Request{Shape: Shape{2, 8}}, Completion(), 1, 3},
		{"slow worker left out of a gang", []Rack{mixed}, Request{Shape: Shape{3, 8}}, Completion(), 0, 14},
		{"spare capacity before guaranteed", []Rack{guaranteed, newRack("s", 1, 8, 8)}, Request{Shape: Shape{1, 8}}, Completion(), 1, 1},
	}
	convey.Convey("the cheapest placement is chosen", t, func() {
		for _, tt := range tests {
			convey.Convey(tt.name, func() {
				p, ok := Place(tt.racks, tt.req, tt.weights)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(p.Rack, convey.ShouldEqual, tt.rack)
				convey.So(p.Workers, convey.ShouldEqual, tt.workers)
			})
		}
		convey.Convey("non-preemptible work does not use guaranteed capacity", func() {
			_, ok := Place([]Rack{guaranteed}, Request{Shape: Shape{1, 1}, Spare: true}, Completion())
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// Guards against gangs that are spread over racks, placed on occupied workers
// or workers that are down, or refused although they fit on a rack.
func TestPlaceFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		racks := makeRacks(rng, rapid.IntRange(1, 40).Draw(t, "workers"), 0.7)
		shape := Shape{rapid.IntRange(1, 8).Draw(t, "n"), rapid.IntRange(1, 8).Draw(t, "m")}
		p, ok := Place(racks, Request{Shape: shape}, Fragmentation())
		fits := false
		for _, r := range racks {
			n := 0
			for i := range r.Len() {
				if w := r.Worker(i); !w.Down && w.Free >= shape.Accelerators {
					n++
				}
			}
			fits = fits || n >= shape.Workers
		}
		if ok != fits {
			t.Fatalf("Place succeeded: %v, a rack has capacity: %v, shape %s", ok, fits, shape)
		}
		if ok && (p.Workers.Len() != shape.Workers || !racks[p.Rack].Holds(p.Workers, shape.Accelerators)) {
			t.Fatalf("placement %v does not hold %s", p, shape)
		}
	})
}

// Guards against speeds that do not converge with noisy run times, or that drift
// when all observations are off by the same factor.
func TestSpeeds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 11))
	s := NewSpeeds()
	truth := []float64{0.5, 1, 2}
	for range 500 {
		for i, v := range truth {
			s.Observe(3*v*math.Exp2(rng.NormFloat64()*0.5), fmt.Sprint(i))
		}
	}
	for i, v := range truth {
		if got := s.Speed(fmt.Sprint(i)); math.Abs(math.Log2(got/v)) > 0.4 {
			t.Errorf("worker %d: speed %.2f, true %.2f", i, got, v)
		}
	}
	if s.Speed("new") != 1 {
		t.Error("the speed of an unknown worker is not 1")
	}
}

// makeRacks returns racks of 8 workers with 8 accelerators, randomly occupied to
// about the given load, with speeds from 0.5 to 2 and one worker in 20 down.
func makeRacks(rng *rand.Rand, workers int, load float64) []Rack {
	var racks []Rack
	for first := 0; first < workers; first += 8 {
		var ws []Worker
		for i := first; i < min(first+8, workers); i++ {
			w := Worker{Name: fmt.Sprintf("w%03d", i), Accelerators: 8}
			w.Free = int((1 - load) * 16 * rng.Float64())
			w.Free = min(w.Free, 8)
			w.Speed = []float64{0.5, 1, 1.5, 2}[rng.IntN(4)]
			w.Down = rng.IntN(20) == 0
			ws = append(ws, w)
		}
		racks = append(racks, NewRack(fmt.Sprintf("r%02d", first/8), ws...))
	}
	return racks
}

func BenchmarkPlace(b *testing.B) {
	shapes := []Shape{{1, 1}, {1, 8}, {2, 4}, {4, 4}, {8, 1}, {8, 8}}
	for _, workers := range []int{50, 200, 650} {
		for _, load := range []float64{0, 0.6} {
			racks := makeRacks(rand.New(rand.NewPCG(1, 1)), workers, load)
			b.Run(fmt.Sprintf("workers=%d/load=%v", workers, load), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					Place(racks, Request{Shape: shapes[i%len(shapes)]}, Completion())
					i++
				}
			})
		}
	}
}
