package quote

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// A synctest bubble runs on its own goroutine, where a failure that halts would
// end the process.
func init() { SetDefaultFailureMode(FailureContinues) }

// inVirtualTime returns a test that runs a scenario in virtual time.
func inVirtualTime(t *testing.T, run func(c C)) func(C) {
	return func(c C) {
		synctest.Test(t, func(*testing.T) {
			run(c)
			time.Sleep(2 * maxSlotHold)
		})
	}
}

func quick(id string, seconds float64) Request {
	return Request{
		ID: id, Team: "t0", Template: "p", Idempotent: true,
		Deadline: time.Now().Add(5 * time.Second), Payload: memory.Payload{Seconds: seconds, Echo: id}.Encode(),
	}
}

// start runs n requests in the background and returns a channel of their
// errors.
func start(r doer, n int, seconds float64) <-chan error {
	errs := make(chan error, n)
	for i := range n {
		go func() {
			_, err := r.Do(context.Background(), quick(fmt.Sprintf("s%d", i), seconds))
			errs <- err
		}()
	}
	return errs
}

func refusalOf(err error) RefusedError {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return RefusedError{}
	}
	return RefusedError{Reason: refused.Reason, Execution: refused.Execution}
}

// TestDrain guards against a shutdown that aborts running or queued requests.
func TestDrain(t *testing.T) {
	Convey("When an instance drains with running and queued requests", t, inVirtualTime(t, func(c C) {
		s := newSite(1, 1, 1)
		r := s.router(0, Options{})
		errs := start(r, 12, 0.3)
		synctest.Wait()
		c.So(r.Status().Running, ShouldEqual, 8)
		c.So(r.Status().Queue.Length, ShouldEqual, 4)
		began := time.Now()
		c.So(r.Drain(context.Background()), ShouldBeNil)
		c.So(time.Since(began), ShouldBeGreaterThanOrEqualTo, 600*time.Millisecond)
		for range 12 {
			c.So(<-errs, ShouldBeNil)
		}
		_, err := r.Do(context.Background(), quick("late", 0.1))
		c.So(refusalOf(err), ShouldResemble, RefusedError{Reason: ReasonDraining, Execution: NotExecuted})
	}))
}

// TestLeaving guards against new work on a worker more than 3 s after it began
// to leave, whether the router learns of it from the directory or from the
// worker's answers.
func TestLeaving(t *testing.T) {
	run := func(lag time.Duration, own bool) (last time.Duration, errs int) {
		s := newSite(8, 1, 1)
		s.cluster.Directory.SetLag(lag)
		r := s.router(0, Options{})
		time.Sleep(lag + time.Second)
		for i := range 100 {
			// These requests add the token for the retry of the refused one.
			_, _ = r.Do(context.Background(), quick(fmt.Sprintf("w%d", i), 0.01))
		}
		begin := time.Now()
		s.cluster.Directory.PutWorker(platform.WorkerInfo{Name: "a-w007", Slots: 8, State: platform.StateLeaving})
		if own {
			s.cluster.Fleet.SetLeaving("a-w007", true)
		}
		for i := range 500 {
			_, err := r.Do(context.Background(), quick(fmt.Sprint(i), 0.01))
			if err != nil {
				errs++
			}
			time.Sleep(10 * time.Millisecond)
		}
		for _, w := range s.cluster.Fleet.Starts() {
			if w.Worker == "a-w007" {
				last = w.At.Sub(begin)
			}
		}
		return last, errs
	}
	Convey("A leaving worker gets no work", t, func() {
		Convey("once the directory lists it, with a lag of 2 s", inVirtualTime(t, func(c C) {
			last, errs := run(2*time.Second, false)
			c.So(last, ShouldBeBetween, time.Second, 3*time.Second)
			c.So(errs, ShouldEqual, 0)
		}))
		Convey("once it refuses a request", inVirtualTime(t, func(c C) {
			last, errs := run(time.Hour, true)
			c.So(last, ShouldBeLessThanOrEqualTo, 0)
			c.So(errs, ShouldEqual, 0)
		}))
	})
}

// TestSlots guards against sending a worker more requests than it has slots. The
// instances' shares prevent that, so that no worker refuses a request.
func TestSlots(t *testing.T) {
	refusals := func(off bool) int {
		s := newSite(16, 3, *seed)
		var doers []doer
		for i := range 3 {
			doers = append(doers, s.router(i, Options{disabled: disabledMechanisms{share: off}}))
		}
		runLoad(s, doers, load{factor: 2, length: time.Second, timeout: time.Second, work: 0.2, seed: *seed})
		return int(s.busy.Load())
	}
	Convey("At twice the capacity", t, func() {
		Convey("no worker refuses a request", inVirtualTime(t, func(c C) { c.So(refusals(false), ShouldEqual, 0) }))
		Convey("workers refuse requests without shares", inVirtualTime(t, func(c C) { c.So(refusals(true), ShouldBeGreaterThan, 0) }))
	})
}

// TestTeams guards against a team whose load starves the others of slots.
func TestTeams(t *testing.T) {
	served := func(off bool) int {
		s := newSite(4, 1, 1)
		s.teams = []Team{{Name: "t0", Weight: 1}, {Name: "greedy", Weight: 1}}
		r := s.router(0, Options{disabled: disabledMechanisms{fairness: off}})
		greedy := func(ctx context.Context) {
			for i := 0; ctx.Err() == nil; i++ {
				q := quick(fmt.Sprintf("g%d", i), 0.2)
				q.Team = "greedy"
				go func() { _, _ = r.Do(ctx, q) }()
				time.Sleep(time.Millisecond)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		go greedy(ctx)
		time.Sleep(2 * time.Second)
		served := 0
		for i := range 100 {
			q := quick(fmt.Sprintf("v%d", i), 0.1)
			q.Deadline = time.Now().Add(500 * time.Millisecond)
			if _, err := r.Do(context.Background(), q); err == nil {
				served++
			}
		}
		return served
	}
	Convey("When another team sends several times the capacity", t, func() {
		Convey("a team within its share is served", inVirtualTime(t, func(c C) { c.So(served(false), ShouldBeGreaterThanOrEqualTo, 99) }))
		Convey("without fair queueing it is not", inVirtualTime(t, func(c C) { c.So(served(true), ShouldBeLessThan, 90) }))
	})
}

// stubForwarder is a Forwarder that records requests and answers with err.
type stubForwarder struct {
	received []Request
	err      error
}

func (a *stubForwarder) Forward(_ context.Context, q Request) (Answer, error) {
	a.received = append(a.received, q)
	return Answer{Worker: "b"}, a.err
}

// TestForward guards against forwarding requests that the data centre could
// serve itself, and against wrong execution states of forwarded requests.
func TestForward(t *testing.T) {
	unavailable := &platform.UnavailableError{Service: "b"}
	remote := &RefusedError{Reason: ReasonOverload, Execution: NotExecuted}
	table := []struct {
		name    string
		leaving bool
		edit    func(q *Request)
		err     error
		sent    int
		want    RefusedError
	}{
		{"worker available", false, func(*Request) {}, nil, 0, RefusedError{}},
		{"no worker available", true, func(*Request) {}, nil, 1, RefusedError{}},
		{"background", true, func(q *Request) { q.Class = ClassBackground }, nil, 0, RefusedError{Reason: ReasonNoWorkers, Execution: NotExecuted}},
		{"already forwarded", true, func(q *Request) { q.Forwarded = true }, nil, 0, RefusedError{Reason: ReasonNoWorkers, Execution: NotExecuted}},
		{"other data centre unavailable", true, func(*Request) {}, unavailable, 1, RefusedError{Reason: ReasonNoWorkers, Execution: NotExecuted}},
		{"refused by the other data centre", true, func(*Request) {}, remote, 1, RefusedError{Reason: ReasonOverload, Execution: NotExecuted}},
		{"answer lost", true, func(*Request) {}, context.DeadlineExceeded, 1, RefusedError{Reason: ReasonForward, Execution: ExecutionUnknown}},
	}
	Convey("Forwarding", t, func() {
		for _, x := range table {
			Convey(x.name, inVirtualTime(t, func(c C) {
				s := newSite(1, 1, 1)
				s.cluster.Fleet.SetLeaving("a-w000", x.leaving)
				a := &stubForwarder{err: x.err}
				r := New(Dependencies{Self: self(0), Fleet: s, View: s, Forwarder: a}, Options{})
				q := quick("q", 0.1)
				x.edit(&q)
				_, err := r.Do(context.Background(), q)
				c.So(refusalOf(err), ShouldResemble, x.want)
				c.So(a.received, ShouldHaveLength, x.sent)
			}))
		}
	})
}

// TestForwardedClaims guards against forwarded requests that no instance has
// claimed, so that a repeated call runs them again.
func TestForwardedClaims(t *testing.T) {
	unavailable := &platform.UnavailableError{Service: "b"}
	table := []struct {
		name     string
		claimErr error
		err      error
		sent     int
		first    RefusedError
		// repeated is the outcome of a second call with the same ID, sentRepeated the
		// number of calls sent to the other data centre then.
		repeated     RefusedError
		sentRepeated int
	}{
		{"answered", nil, nil, 1, RefusedError{}, RefusedError{Reason: ReasonDuplicate, Execution: ExecutionUnknown}, 1},
		{"answer lost", nil, context.DeadlineExceeded, 1, RefusedError{Reason: ReasonForward, Execution: ExecutionUnknown},
			RefusedError{Reason: ReasonDuplicate, Execution: ExecutionUnknown}, 1},
		{"not sent", nil, unavailable, 1, RefusedError{Reason: ReasonNoWorkers, Execution: NotExecuted},
			RefusedError{Reason: ReasonNoWorkers, Execution: NotExecuted}, 2},
		{"claims unavailable", &platform.UnavailableError{Service: "table"}, nil, 0,
			RefusedError{Reason: ReasonClaim, Execution: NotExecuted}, RefusedError{Reason: ReasonClaim, Execution: NotExecuted}, 0},
	}
	Convey("Forwarding a request that is not idempotent", t, func() {
		for _, x := range table {
			Convey(x.name, inVirtualTime(t, func(c C) {
				s := newSite(1, 1, 1)
				s.cluster.Fleet.SetLeaving("a-w000", true)
				s.claims.err = x.claimErr
				f := &stubForwarder{err: x.err}
				r := New(Dependencies{Self: self(0), Fleet: s, View: s, Forwarder: f, Claimer: &s.claims}, Options{})
				q := quick("q", 0.1)
				q.Idempotent = false
				_, err := r.Do(context.Background(), q)
				c.So(refusalOf(err), ShouldResemble, x.first)
				c.So(f.received, ShouldHaveLength, x.sent)
				_, err = r.Do(context.Background(), q)
				c.So(refusalOf(err), ShouldResemble, x.repeated)
				c.So(f.received, ShouldHaveLength, x.sentRepeated)
			}))
		}
	})
}

// TestClaims guards against sending non-idempotent requests without a recorded
// claim, and against a slow table that blocks slots.
func TestClaims(t *testing.T) {
	once := func(id string) Request {
		q := quick(id, 0.1)
		q.Idempotent = false
		return q
	}
	Convey("A non-idempotent request", t, func() {
		Convey("is refused while claims are unavailable", inVirtualTime(t, func(c C) {
			s := newSite(1, 1, 1)
			s.claims.err = &platform.UnavailableError{Service: "table"}
			_, err := s.router(0, Options{}).Do(context.Background(), once("q"))
			c.So(refusalOf(err), ShouldResemble, RefusedError{Reason: ReasonClaim, Execution: NotExecuted})
			c.So(s.sent.Load(), ShouldEqual, 0)
		}))
		Convey("is not repeated after an answer", inVirtualTime(t, func(c C) {
			s := newSite(1, 1, 1)
			r := s.router(0, Options{})
			_, err := r.Do(context.Background(), once("q"))
			c.So(err, ShouldBeNil)
			_, err = r.Do(context.Background(), once("q"))
			c.So(refusalOf(err), ShouldResemble, RefusedError{Reason: ReasonDuplicate, Execution: ExecutionUnknown})
		}))
		Convey("may be repeated after a refusal as not executed", inVirtualTime(t, func(c C) {
			s := newSite(1, 1, 1)
			r := s.router(0, Options{})
			r.Refresh()
			s.cluster.Fleet.Get("a-w000").SetFaults(memory.Faults{Outage: true})
			_, err := r.Do(context.Background(), once("q"))
			c.So(refusalOf(err).Execution, ShouldEqual, NotExecuted)
			s.cluster.Fleet.Get("a-w000").SetFaults(memory.Faults{})
			_, err = r.Do(context.Background(), once("q"))
			c.So(err, ShouldBeNil)
		}))
		Convey("does not block idempotent requests when the table is slow", inVirtualTime(t, func(c C) {
			s := newSite(1, 1, 1)
			s.claims.wait = time.Hour
			r := s.router(0, Options{})
			for i := range 20 {
				go func() { _, _ = r.Do(context.Background(), once(fmt.Sprintf("o%d", i))) }()
			}
			synctest.Wait()
			begin := time.Now()
			_, err := r.Do(context.Background(), quick("q", 0.1))
			c.So(err, ShouldBeNil)
			c.So(time.Since(begin), ShouldEqual, 100*time.Millisecond)
		}))
	})
}

// TestMetrics guards the metric names that operators' dashboards use.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1, 1, 1)
		s.teams = []Team{{Name: "t0"}}
		set := meter.NewSet()
		r := New(Dependencies{Self: self(0), Fleet: s, View: s, Metrics: set}, Options{})
		_, _ = r.Do(context.Background(), quick("q", 0.1))
		_, _ = r.Do(context.Background(), Request{})
		var text strings.Builder
		set.WritePrometheus(&text)
		for _, want := range []string{
			`quote_wait_seconds_count{class="quick",team="t0"} 1`, `quote_service_seconds_count{class="quick",team="t0"} 1`,
			`quote_total_seconds_count{class="quick",team="t0"} 1`, `quote_refusals_total{reason="invalid",ran="no"} 1`,
			`quote_attempts_total 1`, `quote_retries_total 0`,
		} {
			if !strings.Contains(text.String(), want) {
				t.Errorf("metric %s is missing", want)
			}
		}
	})
}
