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
	olderGeneration = platform.Generation{Number: 1, Holder: "z"}
	newerGeneration = platform.Generation{Number: 2, Holder: "a"}
	taskRef         = platform.TaskRef{Job: "job", Member: 3, Attempt: 2}
	longPayload     = memory.Payload{Seconds: 3600}
)

func (f *fixture) worker(name string) platform.Worker {
	w, err := f.Fleet.Worker(name)
	shouldBeError(err, nil)
	return w
}

func (f *fixture) claim(w platform.Worker, g platform.Generation) platform.Inventory {
	inventory, err := w.Claim(f.ctx, platform.Lease{Generation: g, Deadline: time.Now().Add(waitTimeout)})
	shouldBeError(err, nil)
	convey.So(inventory.Generation, convey.ShouldResemble, g)
	return inventory
}

func newReservation(ref platform.TaskRef, p memory.Payload) platform.Reservation {
	return platform.Reservation{
		Generation:   newerGeneration,
		Task:         ref,
		Team:         "team",
		Accelerators: 5,
		Members:      4,
		Deadline:     time.Now().Add(waitTimeout),
		Payload:      p.Encode(),
	}
}

// startTask claims the first worker, starts taskRef on it and returns the worker.
func (f *fixture) startTask(p memory.Payload) platform.Worker {
	w := f.worker(firstWorker)
	f.claim(w, newerGeneration)
	shouldBeError(w.Reserve(f.ctx, newReservation(taskRef, p)), nil)
	shouldBeError(w.Commit(f.ctx, newerGeneration, taskRef), nil)
	return w
}

// waitForEnd waits until taskRef has ended and returns its entry in the
// inventory.
func (f *fixture) waitForEnd(w platform.Worker) platform.Task {
	waitFor(func() bool {
		tasks := f.direct.Fleet.Get(firstWorker).Tasks()
		return len(tasks) == 1 && !tasks[0].Ended.IsZero()
	})
	return f.claim(w, newerGeneration).Tasks[0]
}

var taskContracts = []contractCase{
	{"A result is kept until it is acknowledged", func(f *fixture) {
		w := f.startTask(memory.Payload{Seconds: 0.01, Echo: "x", Bytes: 3})
		shouldBeError(w.Commit(f.ctx, newerGeneration, taskRef), nil)
		for range 2 {
			t := f.waitForEnd(w)
			convey.So(t.State, convey.ShouldEqual, platform.TaskDone)
			convey.So(string(t.Result), convey.ShouldEqual, "x..")
			convey.So(t.Checksum, convey.ShouldEqual, xxhash.Sum64String("x.."))
			convey.So(t.Reservation.Task, convey.ShouldResemble, taskRef)
		}
		shouldBeError(w.Acknowledge(f.ctx, newerGeneration, taskRef), nil)
		inventory := f.claim(w, newerGeneration)
		convey.So(inventory.Tasks, convey.ShouldBeEmpty)
		convey.So(inventory.Free, convey.ShouldEqual, 8)
		convey.So(f.direct.Fleet.Starts(), convey.ShouldHaveLength, 1)
	}},
	{"A failed task reports its reason", func(f *fixture) {
		t := f.waitForEnd(f.startTask(memory.Payload{Fail: true}))
		convey.So(t.State, convey.ShouldEqual, platform.TaskFailed)
		convey.So(t.Reason, convey.ShouldNotBeEmpty)
	}},
	// Guards against commands of a holder that was superseded while it was paused.
	{"Commands under a lower generation are denied", func(f *fixture) {
		w := f.startTask(longPayload)
		// The error also carries the deadline of the lease in force. The
		// monotonic clock reading is removed because it is lost in transit.
		lease := platform.Lease{Generation: newerGeneration, Deadline: time.Now().Add(waitTimeout).UTC().Round(0)}
		_, err := w.Claim(f.ctx, lease)
		shouldBeError(err, nil)
		want := &platform.DeniedError{Worker: firstWorker, Generation: newerGeneration, Deadline: lease.Deadline}
		old := newReservation(platform.TaskRef{Job: "other"}, longPayload)
		old.Generation = olderGeneration
		_, claimed := w.Claim(f.ctx, platform.Lease{Generation: olderGeneration})
		_, checkpointed := w.Checkpoint(f.ctx, olderGeneration, taskRef)
		for _, err := range []error{
			claimed, checkpointed,
			w.Reserve(f.ctx, old),
			w.Commit(f.ctx, olderGeneration, taskRef),
			w.Release(f.ctx, olderGeneration, taskRef),
			w.Stop(f.ctx, olderGeneration, taskRef),
			w.Throttle(f.ctx, olderGeneration, taskRef, 0),
			w.Acknowledge(f.ctx, olderGeneration, taskRef),
		} {
			convey.So(err, convey.ShouldResemble, want)
		}
		convey.So(f.claim(w, newerGeneration).Tasks, convey.ShouldHaveLength, 1)
	}},
	{"A full worker refuses a reservation until another is released", func(f *fixture) {
		w, other := f.worker(firstWorker), platform.TaskRef{Job: "other"}
		shouldBeError(w.Reserve(f.ctx, newReservation(taskRef, longPayload)), nil)
		shouldBeError(w.Reserve(f.ctx, newReservation(taskRef, longPayload)), nil)
		shouldBeError(w.Reserve(f.ctx, newReservation(other, longPayload)), errBusy)
		shouldBeError(w.Release(f.ctx, newerGeneration, taskRef), nil)
		shouldBeError(w.Release(f.ctx, newerGeneration, taskRef), nil)
		shouldBeError(w.Commit(f.ctx, newerGeneration, taskRef), errNotFound)
		shouldBeError(w.Reserve(f.ctx, newReservation(other, longPayload)), nil)
	}},
	{"A reservation expires at its deadline unless it is extended", func(f *fixture) {
		w, r := f.worker(firstWorker), newReservation(taskRef, longPayload)
		r.Deadline = time.Now().Add(-time.Second)
		shouldBeError(w.Reserve(f.ctx, r), nil)
		shouldBeError(w.Commit(f.ctx, newerGeneration, taskRef), errNotFound)
	}},
	{"A stopped task frees its accelerators at once", func(f *fixture) {
		w := f.startTask(longPayload)
		shouldBeError(w.Stop(f.ctx, newerGeneration, taskRef), nil)
		shouldBeError(w.Stop(f.ctx, newerGeneration, taskRef), nil)
		inventory := f.claim(w, newerGeneration)
		convey.So(inventory.Tasks, convey.ShouldBeEmpty)
		convey.So(inventory.Free, convey.ShouldEqual, 8)
	}},
	{"A task resumes from its checkpoint on another worker", func(f *fixture) {
		w := f.startTask(longPayload)
		f.direct.Fleet.Get(firstWorker).SetSpeed(100)
		var saved platform.Checkpoint
		waitFor(func() bool {
			c, err := w.Checkpoint(f.ctx, newerGeneration, taskRef)
			saved = c
			return err == nil && c.Progress > 0.005 // 18 s at speed 1
		})
		r := newReservation(taskRef, longPayload)
		r.Checkpoint = saved.Name
		target := f.worker(secondWorker)
		shouldBeError(target.Reserve(f.ctx, r), nil)
		shouldBeError(target.Commit(f.ctx, newerGeneration, taskRef), nil)
		resumed, err := target.Checkpoint(f.ctx, newerGeneration, taskRef)
		shouldBeError(err, nil)
		convey.So(resumed.Progress, convey.ShouldBeBetweenOrEqual, saved.Progress, 1)
		_, err = target.Checkpoint(f.ctx, newerGeneration, platform.TaskRef{Job: "none"})
		shouldBeError(err, errNotFound)
	}},
	{"A throttled task advances more slowly", func(f *fixture) {
		w := f.startTask(longPayload)
		shouldBeError(w.Throttle(f.ctx, newerGeneration, taskRef, 0), nil)
		before, err := w.Checkpoint(f.ctx, newerGeneration, taskRef)
		shouldBeError(err, nil)
		f.direct.Fleet.Get(firstWorker).SetSpeed(1e9)
		after, err := w.Checkpoint(f.ctx, newerGeneration, taskRef)
		shouldBeError(err, nil)
		convey.So(after.Progress, convey.ShouldAlmostEqual, before.Progress, 1e-6)
		shouldBeError(w.Throttle(f.ctx, newerGeneration, taskRef, 1), nil)
		convey.So(f.waitForEnd(w).State, convey.ShouldEqual, platform.TaskDone)
	}},
	{"Usage is reported once with growing sequence numbers", func(f *fixture) {
		w := f.startTask(memory.Payload{Seconds: 0.05})
		f.waitForEnd(w)
		all, err := w.Usage(f.ctx, 0)
		shouldBeError(err, nil)
		var seconds float64
		for i, r := range all {
			convey.So(r.Sequence, convey.ShouldEqual, i+1)
			convey.So(r.Task, convey.ShouldResemble, taskRef)
			seconds += r.Seconds
		}
		convey.So(seconds, convey.ShouldAlmostEqual, 5*0.05, 1e-9)
		rest, err := w.Usage(f.ctx, uint64(len(all)))
		shouldBeError(err, nil)
		convey.So(rest, convey.ShouldBeEmpty)
	}},
	{"A leaving worker takes no reservation but keeps its tasks", func(f *fixture) {
		w := f.startTask(longPayload)
		f.direct.Fleet.SetLeaving(firstWorker, true)
		shouldBeError(w.Reserve(f.ctx, newReservation(platform.TaskRef{Job: "other"}, longPayload)), errLeaving)
		inventory := f.claim(w, newerGeneration)
		convey.So(inventory.Leaving, convey.ShouldBeTrue)
		convey.So(inventory.Tasks, convey.ShouldHaveLength, 1)
	}},
	{"A worker that is down carries out nothing", func(f *fixture) {
		w := f.startTask(longPayload)
		f.direct.Fleet.Crash(firstWorker)
		shouldBeError(w.Stop(f.ctx, newerGeneration, taskRef), errUnavailable)
		f.direct.Fleet.Restart(firstWorker)
		convey.So(f.claim(w, newerGeneration).Tasks, convey.ShouldBeEmpty)
	}},
}

func newRequest(id string, p memory.Payload) platform.Request {
	return platform.Request{
		Ref:      platform.RequestRef{ID: id, Attempt: 1},
		Deadline: time.Now().Add(waitTimeout),
		Payload:  p.Encode(),
	}
}

var quickContracts = []contractCase{
	// Guards against an answer that is delivered to another caller.
	{"Concurrent requests get their own answers", func(f *fixture) {
		var group sync.WaitGroup
		answers := make([]string, 2)
		for i, id := range []string{"a", "b"} {
			group.Go(func() {
				w, _ := f.Fleet.Worker(firstWorker)
				a, _ := w.Run(f.ctx, newRequest(id, memory.Payload{Seconds: 0.01, Echo: id}))
				answers[i] = a.Ref.ID + string(a.Content)
			})
		}
		group.Wait()
		convey.So(answers, convey.ShouldResemble, []string{"aa", "bb"})
	}},
	{"A failed request is answered", func(f *fixture) {
		a, err := f.worker(firstWorker).Run(f.ctx, newRequest("a", memory.Payload{Fail: true}))
		shouldBeError(err, nil)
		convey.So(a.Failed, convey.ShouldBeTrue)
	}},
	{"A request beyond the slots is refused without a start", func(f *fixture) {
		w := f.worker(firstWorker)
		for _, id := range []string{"a", "b"} {
			go func() { _, _ = w.Run(f.ctx, newRequest(id, longPayload)) }()
		}
		waitFor(func() bool { return len(f.direct.Fleet.Starts()) == 2 })
		_, err := w.Run(f.ctx, newRequest("c", longPayload))
		want := platform.Load{Busy: 2, Slots: 2}
		convey.So(err, convey.ShouldResemble, &platform.BusyError{Worker: firstWorker, Load: want})
		load, err := w.Probe(f.ctx)
		shouldBeError(err, nil)
		convey.So(load, convey.ShouldResemble, want)
		convey.So(f.direct.Fleet.Starts(), convey.ShouldHaveLength, 2)
		f.direct.Fleet.Crash(firstWorker)
	}},
	{"A late or leaving request is refused without a start", func(f *fixture) {
		w, r := f.worker(firstWorker), newRequest("a", memory.Payload{})
		r.Deadline = time.Now().Add(-time.Second)
		_, err := w.Run(f.ctx, r)
		shouldBeError(err, errBusy)
		f.direct.Fleet.SetLeaving(firstWorker, true)
		_, err = w.Run(f.ctx, newRequest("b", memory.Payload{}))
		shouldBeError(err, errLeaving)
		convey.So(f.direct.Fleet.Starts(), convey.ShouldBeEmpty)
	}},
	// Guards against a revoked attempt that arrives late and starts.
	{"Revoke returns each outcome", func(f *fixture) {
		w := f.worker(firstWorker)
		outcome, err := w.Revoke(f.ctx, newRequest("late", longPayload).Ref)
		shouldBeError(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeNotStarted)
		_, err = w.Run(f.ctx, newRequest("late", longPayload))
		shouldBeError(err, errBusy)
		_, err = w.Run(f.ctx, newRequest("done", memory.Payload{}))
		shouldBeError(err, nil)
		outcome, err = w.Revoke(f.ctx, newRequest("done", longPayload).Ref)
		shouldBeError(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeDone)
		go func() { _, _ = w.Run(f.ctx, newRequest("running", longPayload)) }()
		waitFor(func() bool { return len(f.direct.Fleet.Starts()) == 2 })
		outcome, err = w.Revoke(f.ctx, newRequest("running", longPayload).Ref)
		shouldBeError(err, nil)
		convey.So(outcome, convey.ShouldEqual, platform.OutcomeRunning)
		f.direct.Fleet.Crash(firstWorker)
	}},
	// Guards against a second start of an attempt that is sent twice.
	{"An attempt starts at most once", func(f *fixture) {
		w := f.worker(firstWorker)
		_, err := w.Run(f.ctx, newRequest("a", memory.Payload{}))
		shouldBeError(err, nil)
		_, err = w.Run(f.ctx, newRequest("a", memory.Payload{}))
		shouldBeError(err, errUnknownOutcome)
		convey.So(f.direct.Fleet.Starts(), convey.ShouldHaveLength, 1)
	}},
	{"A request on a worker that goes down has an unknown outcome", func(f *fixture) {
		w, failed := f.worker(firstWorker), make(chan error, 1)
		go func() {
			_, err := w.Run(f.ctx, newRequest("a", longPayload))
			failed <- err
		}()
		waitFor(func() bool { return len(f.direct.Fleet.Starts()) == 1 })
		f.direct.Fleet.Crash(firstWorker)
		shouldBeError(<-failed, errUnknownOutcome)
	}},
}
