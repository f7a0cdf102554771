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
	baseTime    = time.Unix(1_000_000, 0)
	wholeWorker = gang.Shape{Workers: 1, Accelerators: 8}
	twoWorkers  = gang.Shape{Workers: 2, Accelerators: 8}
)

// testCentre simulates a data centre that carries out decisions at once, except
// evictions.
type testCentre struct {
	Input
	planner *Planner
}

func newTestCentre(racks, workers int, guarantees ...guarantee.Guarantee) *testCentre {
	s := &testCentre{planner: New(DefaultOptions(gang.Completion()))}
	s.Now = baseTime
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

func (s *testCentre) add(id, team string, class queue.Class, shape gang.Shape, change ...func(*queue.Job)) {
	j := queue.Job{ID: id, Team: team, Template: "x", Class: class, Shape: shape, Accepted: s.Now, Declared: time.Hour}
	for _, f := range change {
		f(&j)
	}
	s.Pending.Add(j)
}

func (s *testCentre) rack(name string) int {
	for i, r := range s.Racks {
		if r.Name() == name {
			return i
		}
	}
	return -1
}

// decide runs a round and carries out its starts and refusals.
func (s *testCentre) decide() Result {
	result := s.planner.Decide(s.Input)
	s.Reservations = result.Reservations
	for _, k := range result.Starts {
		i := s.rack(k.Rack)
		set, _ := s.Racks[i].Set(k.Workers...)
		s.Racks[i] = s.Racks[i].WithUse(set, k.Job.Shape.Accelerators)
		s.Running = append(s.Running, Running{Request: k.Job, Work: guarantee.Work{
			Job: k.Job.ID, Team: k.Job.Team, Rack: k.Rack, Shape: k.Job.Shape, Workers: set,
			Started: s.Now, CheckpointDuration: time.Second, NonPreemptible: k.Job.NonPreemptible,
		}})
		s.Pending.Remove(k.Job.ID)
	}
	for _, f := range result.Refusals {
		s.Pending.Remove(f.Job.ID)
	}
	return result
}

// stop ends running work.
func (s *testCentre) stop(job string) {
	for i, w := range s.Running {
		if w.Job == job {
			k := s.rack(w.Rack)
			s.Racks[k] = s.Racks[k].WithUse(w.Workers, -w.Shape.Accelerators)
			s.Running = append(s.Running[:i:i], s.Running[i+1:]...)
			return
		}
	}
}

func nonPreemptible(j *queue.Job) { j.NonPreemptible = true }

// Guards against guaranteed or urgent work that waits for borrowed work, and
// against reserved workers that are given to other jobs in the meantime.
func TestPreemption(t *testing.T) {
	convey.Convey("given one full rack", t, func() {
		s := newTestCentre(1, 2, guarantee.Guarantee{Team: "a", Shape: wholeWorker, Count: 1})
		s.add("b1", "b", queue.ClassBackground, wholeWorker)
		s.add("b2", "b", queue.ClassBackground, wholeWorker)
		convey.So(s.decide().Starts, convey.ShouldHaveLength, 2)
		s.Now = s.Now.Add(time.Minute)
		tests := []struct {
			name  string
			team  string
			class queue.Class
			kind  guarantee.Kind
		}{
			{"guaranteed work reclaims its cell", "a", queue.ClassBackground, guarantee.KindGuaranteed},
			{"urgent work evicts other work", "c", queue.ClassQuick, guarantee.KindBorrowed},
		}
		for _, tt := range tests {
			convey.Convey(tt.name, func() {
				s.add("new", tt.team, tt.class, wholeWorker)
				result := s.decide()
				convey.So(result.Preemptions, convey.ShouldHaveLength, 1)
				convey.So(result.Preemptions[0].Evictions[0].Checkpointable, convey.ShouldBeTrue)
				convey.So(result.Reservations[0].Kind, convey.ShouldEqual, tt.kind)
				victim := result.Preemptions[0].Evictions[0].Work.Job
				for i := range s.Running {
					s.Running[i].Stopping = s.Running[i].Job == victim
				}
				s.add("other", "d", queue.ClassPlanned, wholeWorker)
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
		convey.Convey("planned work evicts nothing that has just started", func() {
			s.add("new", "c", queue.ClassPlanned, wholeWorker)
			convey.So(s.decide().Preemptions, convey.ShouldBeEmpty)
		})
	})
}

// Guards against carrying out and at once evicting a start that was withdrawn for
// a guarantee in the same round.
func TestWithdrawnStart(t *testing.T) {
	s := newTestCentre(1, 1, guarantee.Guarantee{Team: "a", Shape: wholeWorker, Count: 1})
	s.add("b1", "b", queue.ClassQuick, gang.Shape{Workers: 1, Accelerators: 1})
	s.add("a1", "a", queue.ClassBackground, wholeWorker)
	result := s.decide()
	if len(result.Starts) != 1 || result.Starts[0].Job.ID != "a1" || len(result.Preemptions) > 0 {
		t.Fatalf("starts %v, preemptions %v", result.Starts, result.Preemptions)
	}
}

// Guards against large gangs that starve behind small jobs, and against drained
// workers left idle while short jobs could use them.
func TestDrain(t *testing.T) {
	for _, drains := range []int{0, 4} {
		s := newTestCentre(1, 2)
		o := DefaultOptions(gang.Completion())
		o.MaxDrains, o.PreemptionRatio = drains, 0
		s.planner = New(o)
		for i := range 8 {
			s.Estimator.Observe("s", "short", time.Minute+time.Duration(i)*time.Second)
		}
		s.add("first", "b", queue.ClassPlanned, wholeWorker, nonPreemptible)
		s.add("second", "b", queue.ClassPlanned, wholeWorker, nonPreemptible)
		s.decide()
		s.add("large", "c", queue.ClassBackground, twoWorkers)
		s.Now = s.Now.Add(30 * time.Minute)
		s.decide()
		s.stop("first")
		s.add("small", "d", queue.ClassPlanned, wholeWorker, nonPreemptible)
		s.add("short", "s", queue.ClassPlanned, wholeWorker, func(j *queue.Job) { j.Template = "short" })
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

// Guards against work that far exceeds its estimate and blocks a drained rack
// forever, and against stopping such work without a checkpoint.
func TestOverdueWork(t *testing.T) {
	convey.Convey("given a drained rack with work that exceeds its estimate", t, func() {
		s := newTestCentre(1, 2)
		o := DefaultOptions(gang.Completion())
		o.PreemptionRatio = 0
		s.planner = New(o)
		s.add("long", "b", queue.ClassPlanned, wholeWorker, func(j *queue.Job) { j.Declared = time.Minute })
		s.decide()
		s.Now = s.Now.Add(24 * time.Hour)
		s.add("large", "c", queue.ClassPlanned, twoWorkers)
		s.Now = s.Now.Add(o.DrainDelay)
		result := s.decide()
		convey.So(result.Preemptions, convey.ShouldBeEmpty)
		convey.So(result.Reservations, convey.ShouldHaveLength, 1)
		convey.So(result.Reservations[0].Until.Sub(s.Now), convey.ShouldBeGreaterThan, 23*time.Hour)
		s.Now = s.Now.Add(o.DrainDelay + time.Second)
		result = s.decide()
		convey.So(result.Preemptions, convey.ShouldHaveLength, 1)
		convey.So(result.Preemptions[0].Evictions[0].Checkpointable, convey.ShouldBeTrue)
		convey.Convey("work that cannot be checkpointed is not stopped", func() {
			s.Running[0].CheckpointDuration = 0
			s.Reservations[0].Preempting = false
			s.Reservations[0].Since = s.Now.Add(-time.Hour)
			convey.So(s.decide().Preemptions, convey.ShouldBeEmpty)
		})
	})
}

// Guards against jobs that wait forever because they can never run, and against
// refusing jobs that can run.
func TestRefuse(t *testing.T) {
	convey.Convey("a job that can never run is refused with the reason", t, func() {
		s := newTestCentre(1, 2, guarantee.Guarantee{Team: "a", Shape: wholeWorker, Count: 2})
		tests := []struct {
			shape  gang.Shape
			change func(*queue.Job)
			reason queue.Reason
		}{
			{gang.Shape{Workers: 0, Accelerators: 1}, func(*queue.Job) {}, queue.ReasonShape},
			{gang.Shape{Workers: 9, Accelerators: 8}, func(*queue.Job) {}, queue.ReasonShape},
			{gang.Shape{Workers: 3, Accelerators: 1}, func(*queue.Job) {}, queue.ReasonRack},
			{twoWorkers, nonPreemptible, queue.ReasonGuarantee},
			{wholeWorker, func(j *queue.Job) { j.Deadline = baseTime }, queue.ReasonDeadline},
		}
		for _, tt := range tests {
			j := queue.Job{ID: "j", Team: "b", Shape: tt.shape}
			tt.change(&j)
			var e *queue.RefusedError
			convey.So(errors.As(Refuse(j, s.Racks, s.Plan, baseTime), &e), convey.ShouldBeTrue)
			convey.So(e.Reason, convey.ShouldEqual, tt.reason)
			s.Pending.Add(j)
			convey.So(s.decide().Refusals[0].Error.Reason, convey.ShouldEqual, tt.reason)
		}
		convey.So(Refuse(queue.Job{Team: "a", Shape: wholeWorker, NonPreemptible: true}, s.Racks, s.Plan, baseTime), convey.ShouldBeNil)
		convey.So(Refuse(queue.Job{Team: "b", Shape: twoWorkers}, s.Racks, s.Plan, baseTime), convey.ShouldBeNil)
	})
}

// Guards against decisions that change their input or depend on anything else: the
// same input must give the same decisions.
func TestDecideIsPure(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 12))
	s := newTestCentre(4, 8, guarantee.Guarantee{Team: "t1", Shape: wholeWorker, Count: 8})
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

// Measures one round with full racks after one job has ended.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 200, 650} {
		rng := rand.New(rand.NewPCG(1, 8))
		s := newTestCentre((workers+7)/8, 8, guarantee.Guarantee{Team: "a", Shape: wholeWorker, Count: workers / 2})
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
