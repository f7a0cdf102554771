package planner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
)

var (
	start = time.Unix(1_000_000, 0)
	whole = gang.Shape{Workers: 1, Accelerators: 8}
	pair  = gang.Shape{Workers: 2, Accelerators: 8}
)

// site carries decisions out at once, apart from evictions.
type site struct {
	Input
	planner *Planner
}

func newSite(racks, workers int, guarantees ...guarantee.Guarantee) *site {
	s := &site{planner: New(DefaultOptions(gang.Completion()))}
	s.Now = start
	s.Pending = queue.New()
	s.Estimator = queue.NewEstimator()
	s.Quarantine = quarantine.New()
	for i := range racks {
		var list []gang.Worker
		for k := range workers {
			list = append(list, gang.Worker{Name: fmt.Sprintf("w%02d%d", i, k), Accelerators: 8, Free: 8})
		}
		s.Racks = append(s.Racks, gang.NewRack(fmt.Sprintf("r%02d", i), list...))
	}
	s.Plan = guarantee.NewPlan(s.Racks, guarantees)
	return s
}

func (s *site) add(id, team string, class queue.Class, shape gang.Shape, change ...func(*queue.Job)) {
	j := queue.Job{ID: id, Team: team, Template: "x", Class: class, Shape: shape, Accepted: s.Now, Declared: time.Hour}
	for _, f := range change {
		f(&j)
	}
	s.Pending.Add(j)
}

func (s *site) rack(name string) int {
	for i, r := range s.Racks {
		if r.Name() == name {
			return i
		}
	}
	return -1
}

// decide runs a round and carries out its starts.
func (s *site) decide() Result {
	result := s.planner.Decide(s.Input)
	s.Reservations = result.Reservations
	for _, k := range result.Starts {
		i := s.rack(k.Rack)
		set, _ := s.Racks[i].Set(k.Workers...)
		s.Racks[i] = s.Racks[i].WithUse(set, k.Job.Shape.Accelerators)
		s.Running = append(s.Running, Running{Request: k.Job, Work: guarantee.Work{
			Job: k.Job.ID, Team: k.Job.Team, Rack: k.Rack, Shape: k.Job.Shape, Workers: set,
			Started: s.Now, Checkpoint: time.Second, NonPreemptible: k.Job.NonPreemptible,
		}})
		s.Pending.Remove(k.Job.ID)
	}
	for _, f := range result.Refusals {
		s.Pending.Remove(f.Job.ID)
	}
	return result
}

// stop ends running work.
func (s *site) stop(job string) {
	for i, w := range s.Running {
		if w.Job == job {
			k := s.rack(w.Rack)
			s.Racks[k] = s.Racks[k].WithUse(w.Workers, -w.Shape.Accelerators)
			s.Running = append(s.Running[:i:i], s.Running[i+1:]...)
			return
		}
	}
}

func fixed(j *queue.Job) { j.NonPreemptible = true }

// Guards against a guarantee or urgent work that waits for borrowed work, and
// against held workers that are given to other jobs meanwhile.
func TestPreemption(t *testing.T) {
	convey.Convey("given one full rack", t, func() {
		s := newSite(1, 2, guarantee.Guarantee{Team: "a", Shape: whole, Count: 1})
		s.add("b1", "b", queue.ClassBackground, whole)
		s.add("b2", "b", queue.ClassBackground, whole)
		convey.So(s.decide().Starts, convey.ShouldHaveLength, 2)
		s.Now = s.Now.Add(time.Minute)
		tests := []struct {
			name  string
			team  string
			class queue.Class
			kind  guarantee.Kind
		}{
			{"a guaranteed shape is reclaimed", "a", queue.ClassBackground, guarantee.KindGuaranteed},
			{"urgent work evicts other work", "c", queue.ClassQuick, guarantee.KindBorrowed},
		}
		for _, tt := range tests {
			convey.Convey(tt.name, func() {
				s.add("new", tt.team, tt.class, whole)
				result := s.decide()
				convey.So(result.Preemptions, convey.ShouldHaveLength, 1)
				convey.So(result.Preemptions[0].Evictions[0].Checkpoint, convey.ShouldBeTrue)
				convey.So(result.Reservations[0].Kind, convey.ShouldEqual, tt.kind)
				victim := result.Preemptions[0].Evictions[0].Work.Job
				for i := range s.Running {
					s.Running[i].Stopping = s.Running[i].Job == victim
				}
				s.add("other", "d", queue.ClassPlanned, whole)
				convey.So(s.decide().Preemptions, convey.ShouldBeEmpty)
				s.Now = s.Now.Add(time.Second)
				s.stop(victim)
				result = s.decide()
				convey.So(result.Starts, convey.ShouldHaveLength, 1)
				convey.So(result.Starts[0].Job.ID, convey.ShouldEqual, "new")
				convey.So(result.Starts[0].Kind, convey.ShouldEqual, tt.kind)
				convey.So(result.Reservations, convey.ShouldBeEmpty)
			})
		}
		convey.Convey("plain work evicts nothing that has just started", func() {
			s.add("new", "c", queue.ClassPlanned, whole)
			convey.So(s.decide().Preemptions, convey.ShouldBeEmpty)
		})
	})
}

// Guards against a start that a guarantee withdraws in the same round being
// carried out and evicted at once.
func TestWithdrawnStart(t *testing.T) {
	s := newSite(1, 1, guarantee.Guarantee{Team: "a", Shape: whole, Count: 1})
	s.add("b1", "b", queue.ClassQuick, gang.Shape{Workers: 1, Accelerators: 1})
	s.add("a1", "a", queue.ClassBackground, whole)
	result := s.decide()
	if len(result.Starts) != 1 || result.Starts[0].Job.ID != "a1" || len(result.Preemptions) > 0 {
		t.Fatalf("starts %v, preempts %v", result.Starts, result.Preemptions)
	}
}

// Guards against large gangs that starve behind small jobs, and against drained
// workers left idle while short jobs could use them.
func TestDrain(t *testing.T) {
	for _, drains := range []int{0, 4} {
		s := newSite(1, 2)
		o := DefaultOptions(gang.Completion())
		o.MaxDrains, o.PreemptionRatio = drains, 0
		s.planner = New(o)
		for i := range 8 {
			s.Estimator.Observe("s", "short", time.Minute+time.Duration(i)*time.Second)
		}
		s.add("first", "b", queue.ClassPlanned, whole, fixed)
		s.add("second", "b", queue.ClassPlanned, whole, fixed)
		s.decide()
		s.add("large", "c", queue.ClassBackground, pair)
		s.Now = s.Now.Add(30 * time.Minute)
		s.decide()
		s.stop("first")
		s.add("small", "d", queue.ClassPlanned, whole, fixed)
		s.add("short", "s", queue.ClassPlanned, whole, func(j *queue.Job) { j.Template = "short" })
		var got []string
		for _, k := range s.decide().Starts {
			got = append(got, k.Job.ID)
		}
		s.stop("short")
		s.stop("second")
		for _, k := range s.decide().Starts {
			got = append(got, k.Job.ID)
		}
		started := fmt.Sprint(got)
		if drains > 0 && started != "[short large]" {
			t.Errorf("with drains: started %s", started)
		}
		if drains == 0 && started == "[short large]" {
			t.Errorf("without drains: the large gang did not starve")
		}
	}
}

// Guards against work far over its estimate that blocks a drained rack forever,
// and against stopping it without a checkpoint.
func TestOverdueWork(t *testing.T) {
	convey.Convey("given a drained rack with work over its estimate", t, func() {
		s := newSite(1, 2)
		o := DefaultOptions(gang.Completion())
		o.PreemptionRatio = 0
		s.planner = New(o)
		s.add("long", "b", queue.ClassPlanned, whole, func(j *queue.Job) { j.Declared = time.Minute })
		s.decide()
		s.Now = s.Now.Add(24 * time.Hour)
		s.add("large", "c", queue.ClassPlanned, pair)
		s.Now = s.Now.Add(o.DrainDelay)
		result := s.decide()
		convey.So(result.Preemptions, convey.ShouldBeEmpty)
		convey.So(result.Reservations, convey.ShouldHaveLength, 1)
		convey.So(result.Reservations[0].Until.Sub(s.Now), convey.ShouldBeGreaterThan, 23*time.Hour)
		s.Now = s.Now.Add(o.DrainDelay + time.Second)
		result = s.decide()
		convey.So(result.Preemptions, convey.ShouldHaveLength, 1)
		convey.So(result.Preemptions[0].Evictions[0].Checkpoint, convey.ShouldBeTrue)
		convey.Convey("work that cannot be saved is not stopped", func() {
			s.Running[0].Checkpoint = 0
			s.Reservations[0].Preempting = false
			s.Reservations[0].Since = s.Now.Add(-time.Hour)
			convey.So(s.decide().Preemptions, convey.ShouldBeEmpty)
		})
	})
}

// Guards against jobs that wait forever and against refusing jobs that can run.
func TestRefuse(t *testing.T) {
	convey.Convey("a job that can never run is refused with the reason", t, func() {
		s := newSite(1, 2, guarantee.Guarantee{Team: "a", Shape: whole, Count: 2})
		tests := []struct {
			shape  gang.Shape
			change func(*queue.Job)
			reason queue.Reason
		}{
			{gang.Shape{Workers: 0, Accelerators: 1}, func(*queue.Job) {}, queue.ReasonShape},
			{gang.Shape{Workers: 9, Accelerators: 8}, func(*queue.Job) {}, queue.ReasonShape},
			{gang.Shape{Workers: 3, Accelerators: 1}, func(*queue.Job) {}, queue.ReasonRack},
			{pair, fixed, queue.ReasonGuarantee},
			{whole, func(j *queue.Job) { j.Deadline = start }, queue.ReasonDeadline},
		}
		for _, tt := range tests {
			j := queue.Job{ID: "j", Team: "b", Shape: tt.shape}
			tt.change(&j)
			var e *queue.RefusedError
			convey.So(errors.As(Refuse(j, s.Racks, s.Plan, start), &e), convey.ShouldBeTrue)
			convey.So(e.Reason, convey.ShouldEqual, tt.reason)
			s.Pending.Add(j)
			convey.So(s.decide().Refusals[0].Error.Reason, convey.ShouldEqual, tt.reason)
		}
		convey.So(Refuse(queue.Job{Team: "a", Shape: whole, NonPreemptible: true}, s.Racks, s.Plan, start), convey.ShouldBeNil)
		convey.So(Refuse(queue.Job{Team: "b", Shape: pair}, s.Racks, s.Plan, start), convey.ShouldBeNil)
	})
}

// Guards against rounds that change their input or depend on anything else: the
// same input must give the same decisions.
func TestDecideIsPure(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 12))
	s := newSite(4, 8, guarantee.Guarantee{Team: "t1", Shape: whole, Count: 8})
	for i := range 300 {
		shape := gang.Shape{Workers: 1 + rng.IntN(4), Accelerators: 1 << rng.IntN(4)}
		s.add(fmt.Sprint("j", i), fmt.Sprint("t", rng.IntN(5)), queue.Class(rng.IntN(3)), shape)
	}
	for range 20 {
		first := s.planner.Decide(s.Input)
		second := s.planner.Decide(s.Input)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("first %v\nsecond %v", first, second)
		}
		s.decide()
		s.stop(s.Running[rng.IntN(len(s.Running))].Job)
		s.Now = s.Now.Add(5 * time.Minute)
	}
}

// Measures one round with full racks and one job ending in it, and the round
// that takes in a burst.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 200, 650} {
		rng := rand.New(rand.NewPCG(1, 8))
		s := newSite((workers+7)/8, 8, guarantee.Guarantee{Team: "a", Shape: whole, Count: workers / 2})
		for i := range workers * 3 {
			s.add(fmt.Sprint("j", i), fmt.Sprint("t", rng.IntN(20)), queue.ClassPlanned, gang.Shape{Workers: 1, Accelerators: 1 << rng.IntN(4)})
		}
		s.planner.options.MaxStarts = workers * 3
		s.decide()
		s.stop(s.Running[0].Job)
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.planner.Decide(s.Input)
			}
		})
	}
}
