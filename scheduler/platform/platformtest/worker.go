package platformtest

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

var (
	older = platform.Generation{Number: 1, Holder: "z"}
	newer = platform.Generation{Number: 2, Holder: "a"}
	ref   = platform.TaskRef{Job: "job", Member: 3, Attempt: 2}
	long  = memory.Payload{Seconds: 3600}
)

func (f *fixture) worker(name string) platform.Worker {
	w, err := f.Fleet.Worker(name)
	shouldBe(err, nil)
	return w
}

func (f *fixture) claim(w platform.Worker, g platform.Generation) platform.Inventory {
	inventory, err := w.Claim(f.ctx, platform.Lease{Generation: g, Deadline: time.Now().Add(patience)})
	shouldBe(err, nil)
	convey.So(inventory.Generation, convey.ShouldResemble, g)
	return inventory
}

func reserve(ref platform.TaskRef, p memory.Payload) platform.Reservation {
	return platform.Reservation{
		Generation:   newer,
		Task:         ref,
		Team:         "team",
		Accelerators: 5,
		Members:      4,
		Deadline:     time.Now().Add(patience),
		Payload:      p.Encode(),
	}
}

// started returns a claimed worker that runs ref.
func (f *fixture) started(p memory.Payload) platform.Worker {
	w := f.worker(first)
	f.claim(w, newer)
	shouldBe(w.Reserve(f.ctx, reserve(ref, p)), nil)
	shouldBe(w.Commit(f.ctx, newer, ref), nil)
	return w
}

// ended waits for the end of ref and returns its entry in the inventory.
func (f *fixture) ended(w platform.Worker) platform.Task {
	await(func() bool {
		tasks := f.truth.Fleet.Get(first).Tasks()
		return len(tasks) == 1 && !tasks[0].Ended.IsZero()
	})
	return f.claim(w, newer).Tasks[0]
}

var taskContracts = []contract{
	{"A result is kept until it is acknowledged", func(f *fixture) {
		w := f.started(memory.Payload{Seconds: 0.01, Echo: "x", Bytes: 3})
		shouldBe(w.Commit(f.ctx, newer, ref), nil)
		for range 2 {
			t := f.ended(w)
			convey.So(t.State, convey.ShouldEqual, platform.TaskDone)
			convey.So(string(t.Result), convey.ShouldEqual, "x..")
			convey.So(t.Sum, convey.ShouldEqual, xxhash.Sum64String("x.."))
			convey.So(t.Reservation.Task, convey.ShouldResemble, ref)
		}
		shouldBe(w.Acknowledge(f.ctx, newer, ref), nil)
		inventory := f.claim(w, newer)
		convey.So(inventory.Tasks, convey.ShouldBeEmpty)
		convey.So(inventory.Free, convey.ShouldEqual, 8)
		convey.So(f.truth.Fleet.Starts(), convey.ShouldHaveLength, 1)
	}},
	{"A failed task tells its reason", func(f *fixture) {
		t := f.ended(f.started(memory.Payload{Fail: true}))
		convey.So(t.State, convey.ShouldEqual, platform.TaskFailed)
		convey.So(t.Reason, convey.ShouldNotBeEmpty)
	}},
	// Guards against commands of a holder that was superseded while paused.
	{"Commands under a lower generation are denied", func(f *fixture) {
		w := f.started(long)
		// The denial also tells the end of the lease in force; without the
		// clock's monotonic part it is the same after a transfer.
		lease := platform.Lease{Generation: newer, Deadline: time.Now().Add(patience).UTC().Round(0)}
		_, err := w.Claim(f.ctx, lease)
		shouldBe(err, nil)
		want := &platform.DeniedError{Worker: first, Generation: newer, Deadline: lease.Deadline}
		old := reserve(platform.TaskRef{Job: "other"}, long)
		old.Generation = older
		_, claimed := w.Claim(f.ctx, platform.Lease{Generation: older})
		_, checkpointed := w.Checkpoint(f.ctx, older, ref)
		for _, err := range []error{
			claimed, checkpointed,
			w.Reserve(f.ctx, old),
			w.Commit(f.ctx, older, ref),
			w.Release(f.ctx, older, ref),
			w.Stop(f.ctx, older, ref),
			w.Throttle(f.ctx, older, ref, 0),
			w.Acknowledge(f.ctx, older, ref),
		} {
			convey.So(err, convey.ShouldResemble, want)
		}
		convey.So(f.claim(w, newer).Tasks, convey.ShouldHaveLength, 1)
	}},
	{"A full worker refuses a reservation until another is released", func(f *fixture) {
		w, other := f.worker(first), platform.TaskRef{Job: "other"}
		shouldBe(w.Reserve(f.ctx, reserve(ref, long)), nil)
		shouldBe(w.Reserve(f.ctx, reserve(ref, long)), nil)
		shouldBe(w.Reserve(f.ctx, reserve(other, long)), busy)
		shouldBe(w.Release(f.ctx, newer, ref), nil)
		shouldBe(w.Release(f.ctx, newer, ref), nil)
		shouldBe(w.Commit(f.ctx, newer, ref), missing)
		shouldBe(w.Reserve(f.ctx, reserve(other, long)), nil)
	}},
	{"A reservation lapses at its deadline unless it is extended", func(f *fixture) {
		w, r := f.worker(first), reserve(ref, long)
		r.Deadline = time.Now().Add(-time.Second)
		shouldBe(w.Reserve(f.ctx, r), nil)
		shouldBe(w.Commit(f.ctx, newer, ref), missing)
	}},
	{"A stopped task frees its accelerators at once", func(f *fixture) {
		w := f.started(long)
		shouldBe(w.Stop(f.ctx, newer, ref), nil)
		shouldBe(w.Stop(f.ctx, newer, ref), nil)
		inventory := f.claim(w, newer)
		convey.So(inventory.Tasks, convey.ShouldBeEmpty)
		convey.So(inventory.Free, convey.ShouldEqual, 8)
	}},
	{"A task resumes from its checkpoint on another worker", func(f *fixture) {
		w := f.started(long)
		f.truth.Fleet.Get(first).SetSpeed(100)
		var saved platform.Checkpoint
		await(func() bool {
			c, err := w.Checkpoint(f.ctx, newer, ref)
			saved = c
			return err == nil && c.Share > 0.005 // 18 s at speed 1
		})
		r := reserve(ref, long)
		r.Checkpoint = saved.Name
		elsewhere := f.worker(second)
		shouldBe(elsewhere.Reserve(f.ctx, r), nil)
		shouldBe(elsewhere.Commit(f.ctx, newer, ref), nil)
		resumed, err := elsewhere.Checkpoint(f.ctx, newer, ref)
		shouldBe(err, nil)
		convey.So(resumed.Share, convey.ShouldBeBetweenOrEqual, saved.Share, 1)
		_, err = elsewhere.Checkpoint(f.ctx, newer, platform.TaskRef{Job: "none"})
		shouldBe(err, missing)
	}},
	{"A throttled task advances more slowly", func(f *fixture) {
		w := f.started(long)
		shouldBe(w.Throttle(f.ctx, newer, ref, 0), nil)
		before, err := w.Checkpoint(f.ctx, newer, ref)
		shouldBe(err, nil)
		f.truth.Fleet.Get(first).SetSpeed(1e9)
		after, err := w.Checkpoint(f.ctx, newer, ref)
		shouldBe(err, nil)
		convey.So(after.Share, convey.ShouldAlmostEqual, before.Share, 1e-6)
		shouldBe(w.Throttle(f.ctx, newer, ref, 1), nil)
		convey.So(f.ended(w).State, convey.ShouldEqual, platform.TaskDone)
	}},
	{"Usage is reported once with growing sequence numbers", func(f *fixture) {
		w := f.started(memory.Payload{Seconds: 0.05})
		f.ended(w)
		all, err := w.Usage(f.ctx, 0)
		shouldBe(err, nil)
		var seconds float64
		for i, r := range all {
			convey.So(r.Sequence, convey.ShouldEqual, i+1)
			convey.So(r.Task, convey.ShouldResemble, ref)
			seconds += r.Seconds
		}
		convey.So(seconds, convey.ShouldAlmostEqual, 5*0.05, 1e-9)
		rest, err := w.Usage(f.ctx, uint64(len(all)))
		shouldBe(err, nil)
		convey.So(rest, convey.ShouldBeEmpty)
	}},
	{"A leaving worker takes no reservation but keeps its tasks", func(f *fixture) {
		w := f.started(long)
		f.truth.Fleet.SetLeaving(first, true)
		shouldBe(w.Reserve(f.ctx, reserve(platform.TaskRef{Job: "other"}, long)), leaving)
		inventory := f.claim(w, newer)
		convey.So(inventory.Leaving, convey.ShouldBeTrue)
		convey.So(inventory.Tasks, convey.ShouldHaveLength, 1)
	}},
	{"A worker that is down carries out nothing", func(f *fixture) {
		w := f.started(long)
		f.truth.Fleet.Crash(first)
		shouldBe(w.Stop(f.ctx, newer, ref), unavailable)
		f.truth.Fleet.Restart(first)
		convey.So(f.claim(w, newer).Tasks, convey.ShouldBeEmpty)
	}},
}

func quick(id string, p memory.Payload) platform.Request {
	return platform.Request{
		Ref:      platform.RequestRef{ID: id, Attempt: 1},
		Deadline: time.Now().Add(patience),
		Payload:  p.Encode(),
	}
}

var quickContracts = []contract{
	// Guards against an answer that is delivered to another caller.
	{"Concurrent requests get their own answers", func(f *fixture) {
		var group sync.WaitGroup
		answers := make([]string, 2)
		for i, id := range []string{"a", "b"} {
			group.Go(func() {
				w, _ := f.Fleet.Worker(first)
				a, _ := w.Run(f.ctx, quick(id, memory.Payload{Seconds: 0.01, Echo: id}))
				answers[i] = a.Ref.ID + string(a.Content)
			})
		}
		group.Wait()
		convey.So(answers, convey.ShouldResemble, []string{"aa", "bb"})
	}},
	{"A failed request is answered", func(f *fixture) {
		a, err := f.worker(first).Run(f.ctx, quick("a", memory.Payload{Fail: true}))
		shouldBe(err, nil)
		convey.So(a.Failed, convey.ShouldBeTrue)
	}},
	{"A request beyond the slots is refused without a start", func(f *fixture) {
		w := f.worker(first)
		for _, id := range []string{"a", "b"} {
			go func() { _, _ = w.Run(f.ctx, quick(id, long)) }()
		}
		await(func() bool { return len(f.truth.Fleet.Starts()) == 2 })
		_, err := w.Run(f.ctx, quick("c", long))
		want := platform.Load{Busy: 2, Slots: 2}
		convey.So(err, convey.ShouldResemble, &platform.BusyError{Worker: first, Load: want})
		load, err := w.Probe(f.ctx)
		shouldBe(err, nil)
		convey.So(load, convey.ShouldResemble, want)
		convey.So(f.truth.Fleet.Starts(), convey.ShouldHaveLength, 2)
		f.truth.Fleet.Crash(first)
	}},
	{"A late or leaving request is refused without a start", func(f *fixture) {
		w, r := f.worker(first), quick("a", memory.Payload{})
		r.Deadline = time.Now().Add(-time.Second)
		_, err := w.Run(f.ctx, r)
		shouldBe(err, busy)
		f.truth.Fleet.SetLeaving(first, true)
		_, err = w.Run(f.ctx, quick("b", memory.Payload{}))
		shouldBe(err, leaving)
		convey.So(f.truth.Fleet.Starts(), convey.ShouldBeEmpty)
	}},
	// Guards against a revoked attempt that arrives late and starts.
	{"Revoke settles each outcome", func(f *fixture) {
		w := f.worker(first)
		outcome, err := w.Revoke(f.ctx, quick("late", long).Ref)
		shouldBe(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeNotStarted)
		_, err = w.Run(f.ctx, quick("late", long))
		shouldBe(err, busy)
		_, err = w.Run(f.ctx, quick("done", memory.Payload{}))
		shouldBe(err, nil)
		outcome, err = w.Revoke(f.ctx, quick("done", long).Ref)
		shouldBe(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeDone)
		go func() { _, _ = w.Run(f.ctx, quick("running", long)) }()
		await(func() bool { return len(f.truth.Fleet.Starts()) == 2 })
		outcome, err = w.Revoke(f.ctx, quick("running", long).Ref)
		shouldBe(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeRunning)
		f.truth.Fleet.Crash(first)
	}},
	// Guards against a second start of an attempt that is sent again.
	{"An attempt starts at most once", func(f *fixture) {
		w := f.worker(first)
		_, err := w.Run(f.ctx, quick("a", memory.Payload{}))
		shouldBe(err, nil)
		_, err = w.Run(f.ctx, quick("a", memory.Payload{}))
		shouldBe(err, unknown)
		convey.So(f.truth.Fleet.Starts(), convey.ShouldHaveLength, 1)
	}},
	{"A request on a worker that goes down has an unknown outcome", func(f *fixture) {
		w, failed := f.worker(first), make(chan error, 1)
		go func() {
			_, err := w.Run(f.ctx, quick("a", long))
			failed <- err
		}()
		await(func() bool { return len(f.truth.Fleet.Starts()) == 1 })
		f.truth.Fleet.Crash(first)
		shouldBe(<-failed, unknown)
	}},
}
