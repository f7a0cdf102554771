package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const workers = 50

// fleet replays tasks on workers through a book. Workers and jobs may be bad.
type fleet struct {
	book  *Tracker
	now   time.Time
	bad   map[string]bool
	tasks int
	// failures counts failed tasks by worker.
	failures map[string]int
}

func newFleet(bad ...string) *fleet {
	f := &fleet{book: New(), now: time.Unix(0, 0), bad: map[string]bool{}, failures: map[string]int{}}
	for _, b := range bad {
		f.bad[b] = true
	}
	return f
}

// run executes a task of the source if the book allows it. Bad workers and bad
// sources fail.
func (f *fleet) run(worker, job, source string) {
	if !f.book.Allows(worker, 0, f.now) {
		return
	}
	f.tasks++
	failed := f.bad[worker] || f.bad[source]
	if failed {
		f.failures[worker]++
	}
	f.book.Record(Outcome{Worker: worker, Job: job, Source: source, Failed: failed, At: f.now})
}

func (f *fleet) quarantined() int {
	n := 0
	for i := range workers {
		if s := f.book.WorkerState(fmt.Sprint("w", i), f.now); s == StateQuarantined || s == StateProbing {
			n++
		}
	}
	return n
}

// Guards against a worker that keeps failing work, a wave of bad jobs that takes
// the fleet out of service, a good job blamed for bad workers, and a worker
// that is never tried again.
func TestAttribution(t *testing.T) {
	convey.Convey("given 50 workers", t, func() {
		rng := rand.New(rand.NewPCG(1, 7))
		convey.Convey("a worker that fails everything is quarantined and its jobs are not at fault", func() {
			f := newFleet("w7")
			for i := range 2000 {
				f.now = f.now.Add(time.Second)
				f.run(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), fmt.Sprint("s", i%5))
			}
			convey.So(f.book.WorkerState("w7", f.now), convey.ShouldNotEqual, StateHealthy)
			convey.So(f.quarantined(), convey.ShouldEqual, 1)
			convey.So(f.failures["w7"], convey.ShouldBeLessThanOrEqualTo, 10)
			for i := range 2000 {
				if f.book.Faulty(fmt.Sprint("j", i)) {
					t.Fatalf("job %d is blamed", i)
				}
			}
		})
		wave := func(f *fleet) {
			for i := range 5000 {
				f.now = f.now.Add(100 * time.Millisecond)
				source := "bad"
				if i%10 == 0 {
					source = "good"
				}
				f.run(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), source)
			}
		}
		convey.Convey("a wave of 5,000 bad jobs of one source quarantines no worker", func() {
			f := newFleet("bad")
			wave(f)
			convey.So(f.quarantined(), convey.ShouldEqual, 0)
		})
		convey.Convey("without attribution the wave takes most workers out of service", func() {
			f := newFleet("bad")
			f.book.unattributed = true
			wave(f)
			convey.So(f.quarantined(), convey.ShouldBeGreaterThan, workers/2)
		})
		convey.Convey("a wave of bad jobs of new sources leaves most of the fleet in service", func() {
			f := newFleet()
			for i := range 5000 {
				f.now = f.now.Add(100 * time.Millisecond)
				source := fmt.Sprint("s", i)
				f.bad[source] = true
				f.run(fmt.Sprint("w", rng.IntN(workers)), fmt.Sprint("j", i), source)
			}
			convey.So(f.quarantined(), convey.ShouldBeLessThanOrEqualTo, workers/5)
		})
		convey.Convey("a job that fails on three healthy workers is at fault", func() {
			f := newFleet("bad")
			for i := range 3 {
				convey.So(f.book.Faulty("j"), convey.ShouldBeFalse)
				f.run(fmt.Sprint("w", i), "j", "bad")
			}
			convey.So(f.book.Faulty("j"), convey.ShouldBeTrue)
			f.book.Forget("j")
			convey.So(f.book.Faulty("j"), convey.ShouldBeFalse)
		})
	})
}

// Guards against probes at a constant rate, which a worker that fails at once
// would turn into a stream of lost work, and against a cured worker left out.
func TestProbes(t *testing.T) {
	convey.Convey("given a worker that fails everything", t, func() {
		f := newFleet("w0")
		for i := range 3 * 24 * 60 * 6 {
			f.now = f.now.Add(10 * time.Second)
			f.run("w0", fmt.Sprint("j", i), "s")
			f.run(fmt.Sprint("w", 1+i%9), fmt.Sprint("k", i), "s")
		}
		convey.So(f.failures["w0"], convey.ShouldBeLessThan, 3+7+3*24)
		convey.So(f.book.Probe("w0").Sub(f.now), convey.ShouldBeLessThanOrEqualTo, probeLast)
		convey.Convey("one success of a probe returns it to service", func() {
			f.bad["w0"] = false
			f.now = f.book.Probe("w0")
			convey.So(f.book.WorkerState("w0", f.now), convey.ShouldEqual, StateProbing)
			convey.So(f.book.Allows("w0", 1, f.now), convey.ShouldBeFalse)
			f.run("w0", "last", "s")
			convey.So(f.book.WorkerState("w0", f.now), convey.ShouldEqual, StateHealthy)
		})
	})
}

func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	book := New()
	i := 0
	for b.Loop() {
		book.Record(Outcome{Worker: "w" + string(rune('a'+i%26)), Job: "j", Source: "s", Failed: i%7 == 0, At: time.Unix(int64(i), 0)})
		i++
	}
}
