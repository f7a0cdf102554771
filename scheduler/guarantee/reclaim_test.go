package guarantee

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/gang"
)

// Guards against evictions that lose more work than necessary. The result is
// compared with the best of all subsets of the running work.
func TestReclaimLosesLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		now := time.Unix(100000, 0)
		rack := makeRacks(4)[0]
		p := NewPlan([]gang.Rack{rack}, []Guarantee{{"a", gang.Shape{Workers: rng.IntN(4) + 1, Accelerators: rng.IntN(8) + 1}, 1}})
		var running []Work
		for i := range 10 {
			work := Work{Job: fmt.Sprint(i), Team: "b", Rack: rack.Name(), Shape: gang.Shape{Workers: rng.IntN(2) + 1, Accelerators: rng.IntN(4) + 1}}
			work.Started = now.Add(-time.Duration(rng.IntN(5000)) * time.Second)
			work.CheckpointDuration = time.Duration(rng.IntN(4)) * time.Second
			place, ok := gang.Place([]gang.Rack{rack}, gang.Request{Shape: work.Shape}, gang.Weights{})
			if ok {
				work.Workers = place.Workers
				rack = rack.WithUse(work.Workers, work.Shape.Accelerators)
				running = append(running, work)
			}
		}
		c := p.Cells()[0]
		evictions, err := p.Reclaim(rack, c, running, now, grace)
		if err != nil {
			t.Fatal(err)
		}
		lost := 0.0
		for _, e := range evictions {
			lost += e.Lost
		}
		least := math.Inf(1)
		for subset := range 1 << len(running) {
			after, sum := rack, 0.0
			for i, work := range running {
				if subset&(1<<i) != 0 {
					after = after.WithUse(work.Workers, -work.Shape.Accelerators)
					l, _ := work.Lost(now, grace)
					sum += l
				}
			}
			if after.Holds(c.Workers, c.Shape.Accelerators) {
				least = min(least, sum)
			}
		}
		if lost > least+1e-6 {
			t.Fatalf("evictions lose %v accelerator-seconds, the minimum is %v", lost, least)
		}
	})
}

// Guards against evicting a team's work from its own cell in favour of another
// team, evicting non-preemptible work while other work suffices, and reclaiming a
// cell on a worker that is down.
func TestReclaimOrder(t *testing.T) {
	convey.Convey("given one worker shared by two cells", t, func() {
		now := time.Unix(1000, 0)
		half := gang.Shape{Workers: 1, Accelerators: 4}
		quarter := gang.Shape{Workers: 1, Accelerators: 2}
		rack := makeRacks(1)[0]
		p := NewPlan([]gang.Rack{rack}, []Guarantee{{"a", half, 1}, {"b", half, 1}})
		full := rack.WithUse(1, 8)
		old := Work{Job: "old", Team: "c", Rack: "r00", Shape: half, Workers: 1}
		inOwnCell := Work{Job: "home", Team: "b", Rack: "r00", Shape: quarter, Workers: 1, Started: now}
		other := Work{Job: "other", Team: "b", Rack: "r00", Shape: quarter, Workers: 1, Started: now}
		cell := p.OfTeam("a")[0]
		convey.Convey("work outside its team's cells is evicted before work inside them", func() {
			e, err := p.Reclaim(full, cell, []Work{inOwnCell, other, old}, now, grace)
			convey.So(err, convey.ShouldBeNil)
			convey.So(e, convey.ShouldHaveLength, 1)
			convey.So(e[0].Work.Job, convey.ShouldEqual, "old")
		})
		convey.Convey("non-preemptible work is evicted last", func() {
			nonPreemptible := old
			nonPreemptible.NonPreemptible = true
			e, err := p.Reclaim(full, cell, []Work{inOwnCell, other, nonPreemptible}, now, grace)
			convey.So(err, convey.ShouldBeNil)
			convey.So(e, convey.ShouldHaveLength, 2)
		})
		convey.Convey("a worker that is down blocks the cell", func() {
			_, err := p.Reclaim(full.WithDown(1, true), cell, nil, now, grace)
			var e *BlockedError
			convey.So(errors.As(err, &e), convey.ShouldBeTrue)
		})
		convey.Convey("non-preemptible work is not admitted to guaranteed capacity", func() {
			_, err := p.Admit(rack, Work{Job: "f", Team: "c", Rack: "r00", Shape: quarter, Workers: 1, NonPreemptible: true}, nil)
			var e *AdmissionError
			convey.So(errors.As(err, &e), convey.ShouldBeTrue)
			convey.So(e.Guaranteed, convey.ShouldBeTrue)
		})
	})
}

func BenchmarkReclaim(b *testing.B) {
	rack := makeRacks(8)[0]
	p := NewPlan([]gang.Rack{rack}, []Guarantee{{"a", shapes[0], 1}})
	var running []Work
	for i := range 64 {
		running = append(running, Work{Job: fmt.Sprint(i), Team: "b", Rack: "r00", Shape: gang.Shape{Workers: 1, Accelerators: 1}, Workers: gang.Set(0).With(i % 8)})
	}
	full := rack.WithUse(255, 8)
	for b.Loop() {
		if _, err := p.Reclaim(full, p.Cells()[0], running, time.Unix(1000, 0), grace); err != nil {
			b.Fatal(err)
		}
	}
}
