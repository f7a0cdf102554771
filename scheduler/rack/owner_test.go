package rack

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// Guards against results that are delivered late, deleted before they are
// committed, or never deleted, and against accelerators that stay occupied.
func TestGangRunsAndIsAcknowledged(t *testing.T) {
	inVirtualTime(t, "gang runs to its end", func() {
		p, ctx := newPlatform(3), context.Background()
		a := startTestOwner(p, "a")
		defer a.end()
		a.recorder.setAccepting(false)
		So(a.owner.Start(ctx, request("job", 1, 3, 20)), ShouldBeNil)
		var duplicate *DuplicateError
		So(errors.As(a.owner.Start(ctx, request("job", 1, 3, 20)), &duplicate), ShouldBeTrue)
		s := a.owner.Summary()
		So(s.Running, ShouldHaveLength, 1)
		So(s.Running[0].Accelerators, ShouldResemble, map[string]int{"x-w000": 4, "x-w001": 4, "x-w002": 4})
		So(s.Workers[0].Free, ShouldEqual, 4)

		time.Sleep(20*time.Second + 20*time.Second/pollDivisor)
		So(a.recorder.refusals(), ShouldBeGreaterThan, 0)
		So(countOutcomes(p), ShouldEqual, 3) // the job table is unavailable
		a.recorder.setAccepting(true)
		time.Sleep(2 * maxDeliveryBackoff)
		So(a.recorder.outcomes(), ShouldHaveLength, 1)
		o := a.recorder.outcomes()[0]
		So(o.Kind, ShouldEqual, OutcomeDone)
		So(string(o.Results[2]), ShouldEqual, "job")
		So(countOutcomes(p), ShouldEqual, 0)
		So(a.owner.Summary().Workers[0].Free, ShouldEqual, 8)

		expected := request("expected", 1, 3, 1000)
		expected.ExpectedEnd = time.Now().Add(1001 * time.Second)
		So(a.owner.Start(ctx, expected), ShouldBeNil)
		took := waitUntil(time.Hour, func() bool { return len(a.recorder.outcomes()) == 2 })
		So(took, ShouldBeBetween, 1000*time.Second, 1000*time.Second+minPollInterval+20*time.Millisecond)
	})
}

// Guards against gangs that lose a member and continue with the others.
func TestMemberFails(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(p *memory.Platform)
		kind  OutcomeKind
		limit time.Duration
	}{
		{"failed", func(p *memory.Platform) { p.Fleet.Get("x-w001").SetFailureRate(1) }, OutcomeFailed, 13 * time.Second},
		{"crashed and restarted", func(p *memory.Platform) {
			time.AfterFunc(5*time.Second, func() { p.Fleet.Crash("x-w001") })
			time.AfterFunc(6*time.Second, func() { p.Fleet.Restart("x-w001") })
		}, OutcomeLost, 6*time.Second + renewInterval},
		{"lost", func(p *memory.Platform) {
			time.AfterFunc(5*time.Second, func() { p.Fleet.Crash("x-w001") })
		}, OutcomeLost, 5*time.Second + renewInterval + workerLostTimeout},
		{"silent for a minute", func(p *memory.Platform) {
			w := p.Fleet.Get("x-w001")
			time.AfterFunc(5*time.Second, func() { w.SetFaults(memory.Faults{Silent: true}) })
			time.AfterFunc(65*time.Second, func() { w.SetFaults(memory.Faults{}) })
		}, OutcomeLost, 5*time.Second + renewInterval + workerLostTimeout},
	} {
		inVirtualTime(t, c.name, func() {
			p, ctx := newPlatform(3), context.Background()
			a := startTestOwner(p, "a")
			defer a.end()
			c.fault(a.proxy.view)
			So(a.owner.Start(ctx, request("job", 1, 3, 100)), ShouldBeNil)
			So(waitUntil(time.Minute, func() bool { return len(a.recorder.outcomes()) == 1 }), ShouldBeLessThan, c.limit+time.Second)
			So(a.recorder.outcomes()[0].Kind, ShouldEqual, c.kind)
			So(a.recorder.outcomes()[0].Member, ShouldEqual, 1)
			time.Sleep(time.Minute) // a member on a silent worker is stopped later as well
			_, running := countActive(p, "job")
			So(running, ShouldEqual, 0)
			So(countOutcomes(p), ShouldEqual, 0)
		})
	}
}

// Guards against an eviction that loses progress, exceeds its grace period because
// a checkpoint hangs, or discards an existing result.
func TestEvict(t *testing.T) {
	inVirtualTime(t, "eviction", func() {
		p, ctx := newPlatform(2), context.Background()
		a := startTestOwner(p, "a")
		defer a.end()
		So(a.owner.Start(ctx, request("job", 1, 2, 100)), ShouldBeNil)
		time.Sleep(40 * time.Second)
		saved, err := a.owner.Evict(ctx, "job", time.Second)
		So(err, ShouldBeNil)
		So(saved[0].Progress, ShouldAlmostEqual, 0.4, 0.01)
		again := request("job", 2, 2, 100)
		for i := range again.Members {
			again.Members[i].Checkpoint = saved[i].Name
		}
		So(a.owner.Start(ctx, again), ShouldBeNil)
		So(waitUntil(2*time.Minute, func() bool { return len(a.recorder.outcomes()) == 1 }), ShouldBeBetween, 59*time.Second, 64*time.Second)

		So(a.owner.Start(ctx, request("slow", 1, 2, 100)), ShouldBeNil)
		a.proxy.checkpointsHang.Store(true)
		begin := time.Now()
		saved, err = a.owner.Evict(ctx, "slow", time.Second)
		So(err, ShouldBeNil)
		So(saved[0].Name, ShouldBeEmpty)
		So(time.Since(begin), ShouldBeLessThan, time.Second)

		So(a.owner.Start(ctx, request("ends", 1, 2, 100)), ShouldBeNil)
		time.Sleep(100*time.Second + 10*time.Millisecond)
		var ended *EndedError
		So(errors.As(a.owner.Stop(ctx, "ends"), &ended), ShouldBeTrue)
		time.Sleep(time.Second)
		So(a.recorder.outcomes()[1].Kind, ShouldEqual, OutcomeDone)

		var missing *platform.NotFoundError
		So(errors.As(a.owner.Stop(ctx, "none"), &missing), ShouldBeTrue)
	})
}

// Guards against two owners that both accept gangs for one rack.
func TestTwoClaimants(t *testing.T) {
	inVirtualTime(t, "two claimants at once", func() {
		p := newPlatform(3)
		owners := make(chan *testOwner, 2)
		for _, name := range []string{"a", "b"} {
			go func() { owners <- startTestOwner(p, name) }()
		}
		x, y := <-owners, <-owners
		time.Sleep(2 * renewInterval)
		lost := 0
		for _, z := range []*testOwner{x, y} {
			err := z.owner.Start(context.Background(), request("job", 1, 3, 100))
			var e *NotOwnerError
			if errors.As(err, &e) {
				lost++
			} else {
				So(err, ShouldBeNil)
			}
		}
		So(lost, ShouldEqual, 1)
		x.end()
		y.end()
		So(memory.DuplicateStarts(p.Fleet.Starts(), false), ShouldBeEmpty)
	})
}

// Guards against commands under a lease that has ended, and against an owner that
// does not recover from an outage during which no other instance claimed its rack.
func TestLeaseEnds(t *testing.T) {
	inVirtualTime(t, "workers unreachable beyond the lease", func() {
		p, ctx := newPlatform(1), context.Background()
		a := startTestOwner(p, "a")
		defer a.end()
		w := a.proxy.view.Fleet.Get("x-w000")
		w.SetFaults(memory.Faults{Outage: true})
		time.Sleep(commandLeaseTTL)
		var lease *LeaseError
		So(errors.As(a.owner.Start(ctx, request("job", 1, 1, 10)), &lease), ShouldBeTrue)
		// The outage ends only now, because a renewal could otherwise succeed
		// before the check above.
		w.SetFaults(memory.Faults{})
		started := func() bool { return a.owner.Start(ctx, request("job", 1, 1, 10)) == nil }
		So(waitUntil(time.Minute, started), ShouldBeLessThan, retryInterval+20*time.Millisecond)
	})
}

// Guards against a takeover that loses running gangs or results, or stops gangs
// that could continue.
func TestRecovery(t *testing.T) {
	inVirtualTime(t, "takeover", func() {
		p, ctx := newPlatform(3), context.Background()
		a := startTestOwner(p, "a")
		a.recorder.setAccepting(false)
		So(a.owner.Start(ctx, request("runs", 1, 2, 1000)), ShouldBeNil)
		So(a.owner.Start(ctx, request("ended", 1, 2, 10)), ShouldBeNil)
		before := a.owner.Summary()
		time.Sleep(15 * time.Second)
		a.kill()
		time.Sleep(2 * time.Second)

		begin := time.Now()
		b := startTestOwner(p, "b")
		defer b.end()
		So(time.Since(begin), ShouldBeLessThan, time.Second)
		So(b.owner.Summary().Generation.Number, ShouldEqual, before.Generation.Number+1)
		So(b.owner.Summary().Running, ShouldResemble, before.Running[1:])
		time.Sleep(time.Second)
		So(b.recorder.outcomes(), ShouldHaveLength, 1)
		So(b.recorder.outcomes()[0].Job, ShouldEqual, "ended")
		So(b.recorder.outcomes()[0].Kind, ShouldEqual, OutcomeDone)
		So(countOutcomes(p), ShouldEqual, 0)
		So(b.owner.Summary().Workers[0].Free, ShouldEqual, 4)
	})
}
