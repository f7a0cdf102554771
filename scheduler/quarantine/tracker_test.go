package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const workers = 50

// simulation runs tasks on workers under a tracker. failing holds the workers and
// sources whose tasks fail.
type simulation struct {
	tracker *Tracker
	now     time.Time
	failing map[string]bool
	tasks   int
	// failures counts failed tasks by worker.
	failures map[string]int
}

func newSimulation(failing ...string) *simulation {
	s := &simulation{tracker: New(), now: time.Unix(0, 0), failing: map[string]bool{}, failures: map[string]int{}}
	for _, b := range failing {
		s.failing[b] = true
	}
	return s
}

// runTask runs a task of the source if the tracker allows it. The task fails if
// the worker or the source is failing.
func (s *simulation) runTask(worker, job, source string) {
	if !s.tracker.Allows(worker, 0, s.now) {
		return
	}
	s.tasks++
	failed := s.failing[worker] || s.failing[source]
	if failed {
		s.failures[worker]++
	}
	s.tracker.Record(Outcome{Worker: worker, Job: job, Source: source, Failed: failed, At: s.now})
}

func (s *simulation) quarantined() int {
	n := 0
	for i := range workers {
		if state := s.tracker.WorkerState(fmt.Sprint("w", i), s.now); state == StateQuarantined || state == StateProbing {
			n++
		}
	}
	return n
}

// Guards against a failing worker that keeps taking tasks, a series of failing
// jobs that quarantines most workers, and jobs that are found at fault because of
// a failing worker.
func TestAttribution(t *testing.T) {
	convey.Convey("given 50 workers", t, func() {
		rng := rand.New(rand.NewPCG(1, 7))
		convey.Convey("a worker that fails everything is quarantined and its jobs are not at fault", func() {
			s := newSimulation("w7")
			for i := range 2000 {
				s.now = s.now.Add(time.Second)
				s.runTask(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), fmt.Sprint("s", i%5))
			}
			convey.So(s.tracker.WorkerState("w7", s.now), convey.ShouldNotEqual, StateHealthy)
			convey.So(s.quarantined(), convey.ShouldEqual, 1)
			convey.So(s.failures["w7"], convey.ShouldBeLessThanOrEqualTo, 10)
			for i := range 2000 {
				if s.tracker.Faulty(fmt.Sprint("j", i)) {
					t.Fatalf("job %d is at fault", i)
				}
			}
		})
		runFailingSource := func(s *simulation) {
			for i := range 5000 {
				s.now = s.now.Add(100 * time.Millisecond)
				source := "bad"
				if i%10 == 0 {
					source = "good"
				}
				s.runTask(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), source)
			}
		}
		convey.Convey("5,000 failing jobs of one source quarantine no worker", func() {
			s := newSimulation("bad")
			runFailingSource(s)
			convey.So(s.quarantined(), convey.ShouldEqual, 0)
		})
		convey.Convey("without attribution the failing jobs quarantine most workers", func() {
			s := newSimulation("bad")
			s.tracker.attributionDisabled = true
			runFailingSource(s)
			convey.So(s.quarantined(), convey.ShouldBeGreaterThan, workers/2)
		})
		convey.Convey("failing jobs of new sources leave most workers in service", func() {
			s := newSimulation()
			for i := range 5000 {
				s.now = s.now.Add(100 * time.Millisecond)
				source := fmt.Sprint("s", i)
				s.failing[source] = true
				s.runTask(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), source)
			}
			convey.So(s.quarantined(), convey.ShouldBeLessThanOrEqualTo, workers/5)
		})
		convey.Convey("a job that fails on three healthy workers is at fault", func() {
			s := newSimulation("bad")
			for i := range 3 {
				convey.So(s.tracker.Faulty("j"), convey.ShouldBeFalse)
				s.runTask(fmt.Sprint("w", i), "j", "bad")
			}
			convey.So(s.tracker.Faulty("j"), convey.ShouldBeTrue)
			s.tracker.RemoveJob("j")
			convey.So(s.tracker.Faulty("j"), convey.ShouldBeFalse)
		})
	})
}

// Guards against probes at a constant rate, with which a worker that fails every
// task would keep failing work, and against a worker that is never probed again
// or stays in quarantine although a probe succeeded.
func TestProbes(t *testing.T) {
	convey.Convey("given a worker that fails everything", t, func() {
		s := newSimulation("w0")
		for i := range 3 * 24 * 60 * 6 {
			s.now = s.now.Add(10 * time.Second)
			s.runTask("w0", fmt.Sprint("j", i), "s")
			s.runTask(fmt.Sprint("w", 1+i%9), fmt.Sprint("k", i), "s")
		}
		convey.So(s.failures["w0"], convey.ShouldBeLessThan, 3+7+3*24)
		convey.So(s.tracker.NextProbe("w0").Sub(s.now), convey.ShouldBeLessThanOrEqualTo, maxProbeInterval)
		convey.Convey("one successful probe ends the quarantine", func() {
			s.failing["w0"] = false
			s.now = s.tracker.NextProbe("w0")
			convey.So(s.tracker.WorkerState("w0", s.now), convey.ShouldEqual, StateProbing)
			convey.So(s.tracker.Allows("w0", 1, s.now), convey.ShouldBeFalse)
			s.runTask("w0", "last", "s")
			convey.So(s.tracker.WorkerState("w0", s.now), convey.ShouldEqual, StateHealthy)
		})
	})
}

func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	tracker := New()
	i := 0
	for b.Loop() {
		tracker.Record(Outcome{Worker: "w" + string(rune('a'+i%26)), Job: "j", Source: "s", Failed: i%7 == 0, At: time.Unix(int64(i), 0)})
		i++
	}
}
