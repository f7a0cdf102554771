package memory

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
)

var (
	lowerGeneration  = platform.Generation{Number: 1, Holder: "a"}
	higherGeneration = platform.Generation{Number: 2, Holder: "b"}
	ref              = platform.TaskRef{Job: "job"}
)

const hourSeconds = 3600

func newTestPlatform(workers int) *Platform {
	l := Layout{DataCentres: []string{"x"}, Workers: workers, Accelerators: 8, Slots: 2}
	return New(Config{Seed: 1, Workers: l.Build(), UsageLag: 5 * time.Second})
}

// inVirtualTime runs a scenario on the first of two workers in a synctest bubble.
func inVirtualTime(t *testing.T, name string, scenario func(p *Platform, w Worker, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			p := newTestPlatform(2)
			scenario(p, p.Fleet.Get("x-w000"), t.Context())
		})
	})
}

func reservation(g platform.Generation, seconds float64) platform.Reservation {
	return platform.Reservation{
		Generation:   g,
		Task:         ref,
		Accelerators: 4,
		Deadline:     time.Now().Add(2 * time.Second),
		Payload:      Payload{Seconds: seconds}.Encode(),
	}
}

func startTask(ctx context.Context, w Worker, g platform.Generation, seconds float64) {
	_ = w.Reserve(ctx, reservation(g, seconds))
	_ = w.Commit(ctx, g, ref)
}

// Guards against a double start: a holder that was superseded while paused
// resumes and starts a task that its successor also starts.
func TestGenerationPreventsDoubleStart(t *testing.T) {
	for _, c := range []struct {
		name       string
		unfenced   bool
		duplicates int
	}{{"checked", false, 0}, {"unchecked", true, 1}} {
		inVirtualTime(t, "With generations "+c.name, func(p *Platform, _ Worker, ctx context.Context) {
			for name, g := range map[string]platform.Generation{"x-w000": higherGeneration, "x-w001": lowerGeneration} {
				w := p.Fleet.Get(name)
				if c.unfenced {
					w.DisableFencing()
				}
				_, err := w.Claim(ctx, platform.Lease{Generation: higherGeneration})
				So(err, ShouldBeNil)
				startTask(ctx, w, g, 1)
			}
			So(DuplicateStarts(p.Fleet.Starts(), true), ShouldHaveLength, c.duplicates)
		})
	}
}

// Guards against accelerators that stay reserved after their holder is lost, and
// against a task that keeps running without an owner.
func TestLeases(t *testing.T) {
	inVirtualTime(t, "A reservation expires at its extended deadline", func(_ *Platform, w Worker, ctx context.Context) {
		So(w.Reserve(ctx, reservation(higherGeneration, 1)), ShouldBeNil)
		time.Sleep(time.Second)
		So(w.Reserve(ctx, reservation(higherGeneration, 1)), ShouldBeNil)
		time.Sleep(2*time.Second - time.Nanosecond)
		So(w.Tasks(), ShouldHaveLength, 1)
		time.Sleep(time.Nanosecond)
		So(w.Tasks(), ShouldBeEmpty)
	})
	inVirtualTime(t, "A task stops 120 s after the last claim", func(_ *Platform, w Worker, ctx context.Context) {
		startTask(ctx, w, higherGeneration, hourSeconds)
		time.Sleep(100 * time.Second)
		_, err := w.Claim(ctx, platform.Lease{Generation: higherGeneration})
		So(err, ShouldBeNil)
		renewed := time.Now()
		time.Sleep(DefaultTaskLease - time.Nanosecond)
		So(w.Tasks()[0].State, ShouldEqual, platform.TaskRunning)
		time.Sleep(hourSeconds * time.Second)
		So(w.Tasks()[0].State, ShouldEqual, platform.TaskStopped)
		So(w.Tasks()[0].Ended.Sub(renewed), ShouldEqual, DefaultTaskLease)
	})
}

// Guards against run times that depend on when the worker's state is accessed.
func TestSpeed(t *testing.T) {
	inVirtualTime(t, "A task of 10 s at speeds 1, 0 and 2", func(_ *Platform, w Worker, ctx context.Context) {
		begin := time.Now()
		startTask(ctx, w, higherGeneration, 10)
		time.Sleep(4 * time.Second)
		So(w.Throttle(ctx, higherGeneration, ref, 0), ShouldBeNil)
		time.Sleep(time.Second)
		w.SetSpeed(2)
		So(w.Throttle(ctx, higherGeneration, ref, 1), ShouldBeNil)
		time.Sleep(time.Minute)
		So(w.Tasks()[0].State, ShouldEqual, platform.TaskDone)
		So(w.Tasks()[0].Ended.Sub(begin).Seconds(), ShouldAlmostEqual, 4+1+3, 1e-6)
	})
	inVirtualTime(t, "A task on a faulty worker fails early", func(_ *Platform, w Worker, ctx context.Context) {
		w.SetFailureRate(1)
		startTask(ctx, w, higherGeneration, 10)
		time.Sleep(time.Second)
		So(w.Tasks()[0].State, ShouldEqual, platform.TaskFailed)
	})
}

// Guards against usage that is reported twice, too early or not at all.
func TestUsage(t *testing.T) {
	inVirtualTime(t, "Usage of a task that is stopped after 25 s", func(_ *Platform, w Worker, ctx context.Context) {
		startTask(ctx, w, higherGeneration, hourSeconds)
		var seconds float64
		var last uint64
		for range 60 {
			time.Sleep(time.Second)
			if tasks := w.Tasks(); len(tasks) > 0 && time.Since(tasks[0].Started) == 25*time.Second {
				So(w.Stop(ctx, higherGeneration, ref), ShouldBeNil)
			}
			reports, err := w.Usage(ctx, last)
			So(err, ShouldBeNil)
			for _, r := range reports {
				So(r.Sequence, ShouldEqual, last+1)
				So(time.Since(r.Until), ShouldBeGreaterThanOrEqualTo, 5*time.Second)
				last = r.Sequence
				seconds += r.Seconds
			}
		}
		So(last, ShouldEqual, 3)
		So(seconds, ShouldEqual, 4*25)
	})
}

// Guards against a usage report that becomes visible only after a later one.
func TestUsageIsOrderedByTime(t *testing.T) {
	inVirtualTime(t, "A task that ends before an older one", func(_ *Platform, w Worker, ctx context.Context) {
		startTask(ctx, w, higherGeneration, hourSeconds)
		brief := reservation(higherGeneration, 3)
		brief.Task.Job = "brief"
		So(w.Reserve(ctx, brief), ShouldBeNil)
		So(w.Commit(ctx, higherGeneration, brief.Task), ShouldBeNil)
		time.Sleep(12 * time.Second)
		reports, err := w.Usage(ctx, 0)
		So(err, ShouldBeNil)
		So(reports, ShouldHaveLength, 1)
		So(reports[0].Task, ShouldResemble, brief.Task)
	})
}

// Guards against a directory that shows a change before its lag has passed, or
// never shows it.
func TestDirectoryLag(t *testing.T) {
	inVirtualTime(t, "A worker that leaves and crashes", func(p *Platform, _ Worker, ctx context.Context) {
		p.Directory.SetLag(2 * time.Second)
		p.Fleet.SetLeaving("x-w000", true)
		time.Sleep(time.Second)
		p.Fleet.Crash("x-w000")
		for _, want := range []platform.State{platform.StateLive, platform.StateLeaving, "gone"} {
			l, err := p.Directory.List(ctx)
			So(err, ShouldBeNil)
			state := platform.State("gone")
			if len(l.Workers) == 2 {
				state = l.Workers[0].State
			}
			So(state, ShouldEqual, want)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a double effect: a call is reported as failed, still takes
// effect and is sent again.
func TestAbandonedWriteTakesEffectLater(t *testing.T) {
	inVirtualTime(t, "A transaction whose context ends during the delay", func(p *Platform, _ Worker, ctx context.Context) {
		tx := platform.Transaction{Operation: "o", Writes: []platform.Write{{Key: "k"}}}
		p.Table.SetFaults(Faults{Delay: time.Minute})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		So(errors.As(p.Table.Commit(short, tx), new(*platform.UnknownOutcomeError)), ShouldBeTrue)
		other := p.View().Table
		rows, err := other.Read(ctx, "k")
		So(err, ShouldBeNil)
		So(rows, ShouldBeEmpty)
		time.Sleep(time.Minute)
		So(errors.As(other.Commit(ctx, tx), new(*platform.ConflictError)), ShouldBeTrue)
	})
}

// Guards against one goroutine per idle worker.
func TestIdleWorkersCostNoGoroutine(t *testing.T) {
	before := runtime.NumGoroutine()
	p := newTestPlatform(650)
	for _, name := range p.Fleet.Names() {
		startTask(t.Context(), p.Fleet.Get(name), higherGeneration, hourSeconds)
	}
	if after := runtime.NumGoroutine(); after > before+10 {
		t.Errorf("%d goroutines before, %d after", before, after)
	}
	if starts := len(p.Fleet.Starts()); starts != 650 {
		t.Errorf("%d starts", starts)
	}
}

// Guards against a partially applied transaction and against a scan that does not
// match the rows. The model maps each key to its version.
func TestTableFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := NewTable(1), map[string]int64{}
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 20).Draw(t, "transactions") {
			next, valid := map[string]int64{}, true
			var tx platform.Transaction
			for range rapid.IntRange(1, 3).Draw(t, "writes") {
				w := platform.Write{Key: key.Draw(t, "key"), Delete: rapid.Bool().Draw(t, "delete")}
				w.Version = max(model[w.Key]-rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(t, "age"), 0)
				_, twice := next[w.Key]
				valid = valid && !twice && w.Version == model[w.Key]
				next[w.Key] = w.Version + 1
				if w.Delete {
					next[w.Key] = 0
				}
				tx.Writes = append(tx.Writes, w)
			}
			if err := table.Commit(t.Context(), tx); (err == nil) != valid {
				t.Fatalf("commit returned %v, valid is %v", err, valid)
			}
			for k, version := range next {
				if valid {
					model[k] = version
				}
			}
			checkModel(t, table, model)
		}
	})
}

func checkModel(t *rapid.T, table *Table, model map[string]int64) {
	rows, err := table.Scan(t.Context(), "", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if model[row.Key] != row.Version {
			t.Fatalf("%s has version %d, not %d", row.Key, row.Version, model[row.Key])
		}
	}
	for _, version := range model {
		if version > 0 {
			rows = rows[1:]
		}
	}
	if len(rows) > 0 {
		t.Fatalf("%d rows too many", len(rows))
	}
}
