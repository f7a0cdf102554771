package console

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/platform/remote"
)

// senderFunc implements sender with a function.
type senderFunc func(ctx context.Context, req benchRequest) error

// senderOf returns a constructor that always returns f.
func senderOf(f senderFunc) func() sender { return func() sender { return f } }

func (f senderFunc) send(ctx context.Context, req benchRequest) error { return f(ctx, req) }

// bench runs a load in virtual time. The sender is created inside the synctest
// bubble, because blocking on a channel from outside it stops the virtual clock.
func bench(t *testing.T, f loadFlags, target func() sender) (r *benchReport) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newLoadGenerator(&f, target())
		l.run(t.Context())
		r = l.report("quote")
	})
	return r
}

// newStallingSender returns a sender that serves one request at a time and stalls
// for one second on the first.
func newStallingSender() sender {
	sem := make(chan struct{}, 1)
	var once sync.Once
	return senderFunc(func(context.Context, benchRequest) error {
		sem <- struct{}{}
		once.Do(func() { time.Sleep(time.Second) })
		time.Sleep(time.Millisecond)
		<-sem
		return nil
	})
}

// TestLoops guards against coordinated omission: an open loop that waits for
// answers hides the waiting time of the requests that arrive during a stall.
func TestLoops(t *testing.T) {
	flags := loadFlags{Mix: []mixEntry{{Team: "a", Template: "b", Share: 1}}, InFlight: 1000, Duration: 5 * time.Second, Deadline: 500 * time.Millisecond}
	convey.Convey("Given a server that stalls for 1 s and then answers in 1 ms", t, func() {
		convey.Convey("an open loop of 200/s sees the stall in a fifth of its requests", func() {
			flags.Rate = 200
			report := bench(t, flags, newStallingSender)
			all := report.Rows[1]
			convey.So(report.Seconds, convey.ShouldEqual, 5)
			convey.So(all.P90, convey.ShouldBeBetween, 300, 1000)
			convey.So(all.P50, convey.ShouldBeLessThan, 10)
			convey.So(all.Goodput, convey.ShouldBeBetween, all.Throughput*0.8, all.Throughput*0.95)
			convey.So(all.Arrived, convey.ShouldBeBetween, 850, 1150)
		})
		convey.Convey("a closed loop of 1 caller sees it once", func() {
			flags.Callers = 1
			all := bench(t, flags, newStallingSender).Rows[1]
			convey.So(all.P99, convey.ShouldBeLessThan, 10)
			convey.So(all.Max, convey.ShouldBeBetween, 1000, 1003)
			convey.So(all.OK, convey.ShouldEqual, 4000)
		})
		flags.Rate, flags.Callers = 0, 0
	})
}

// TestOutcomes guards against refusals that are counted as successes or under
// the wrong type, and against arrivals that are not sent and not counted.
func TestOutcomes(t *testing.T) {
	flags := loadFlags{
		Mix:      []mixEntry{{Team: "a", Template: "b", Class: "quick", Share: 1}, {Team: "z", Template: "b", Class: "background", Share: 1}},
		InFlight: 10, Duration: 5 * time.Second, Deadline: time.Second, Rate: 100,
	}
	report := bench(t, flags, senderOf(func(_ context.Context, req benchRequest) error {
		if req.Team == "a" {
			return &APIError{Type: typeOverload, Execution: ranNo}
		}
		time.Sleep(2 * time.Second)
		return nil
	}))
	convey.Convey("Given team a, which is refused, and team z, whose answers are late", t, func() {
		late, refused, all := report.Rows[0], report.Rows[1], report.Rows[2]
		convey.So(refused.Team+late.Team, convey.ShouldEqual, "az")
		convey.So(refused.OK, convey.ShouldEqual, 0)
		convey.So(late.OK, convey.ShouldBeGreaterThan, 10)
		convey.So(late.Goodput, convey.ShouldEqual, 0)
		convey.So(all.Arrived, convey.ShouldEqual, late.Arrived+refused.Arrived)
		var kinds []string
		for _, f := range report.Refusals {
			kinds = append(kinds, f.Team+" "+f.Type+" "+f.Ran)
		}
		convey.So(strings.Join(kinds, ", "), convey.ShouldEqual, "z not_sent no, a not_sent no, a overload no")
	})
}

// TestArrivals guards against arrivals that differ for the same seed, and
// against a wrong rate or mix.
func TestArrivals(t *testing.T) {
	m := newMix([]mixEntry{{Team: "a", Share: 3}, {Team: "b", Share: 1}})
	rapid.Check(t, func(t *rapid.T) {
		const count = 20_000
		seed := rapid.Uint64().Draw(t, "seed")
		first := newArrivals(rand.New(rand.NewPCG(seed, 0)), 1000, m)
		second := newArrivals(rand.New(rand.NewPCG(seed, 0)), 1000, m)
		ofA := 0
		var last time.Duration
		for range count {
			after, entry := first.next()
			afterAgain, entryAgain := second.next()
			if after != afterAgain || entry != entryAgain || after < last {
				t.Fatalf("arrival at %v of %v, then %v of %v", after, entry, afterAgain, entryAgain)
			}
			last = after
			if entry.Team == "a" {
				ofA++
			}
		}
		if last < 19*time.Second || last > 21*time.Second || ofA < 14_500 || ofA > 15_500 {
			t.Errorf("%d arrivals in %v, %d of team a, want about 20s and 15000", count, last, ofA)
		}
	})
}

// TestBenchGolden guards against unintended changes to the report.
func TestBenchGolden(t *testing.T) {
	flags := loadFlags{Mix: []mixEntry{{Team: "a", Template: "b", Share: 1}}, Callers: 2, Duration: 2 * time.Second, Deadline: time.Second}
	var calls atomic.Int32
	report := bench(t, flags, senderOf(func(context.Context, benchRequest) error {
		time.Sleep(100 * time.Millisecond)
		if calls.Add(1)%4 == 0 {
			return &UnknownOutcomeError{Cause: errIncomplete}
		}
		return nil
	}))
	for _, format := range []string{OutputTable, OutputJSON} {
		var out strings.Builder
		if err := newPrinter(&out, format).print(report, report.draw); err != nil {
			t.Fatal(err)
		}
		golden(t, "testdata/bench."+format, out.String())
	}
}

// TestBenchCommand guards against requests that the instances or workers reject:
// it runs the command briefly against both. It also checks that invalid flags
// are usage errors.
func TestBenchCommand(t *testing.T) {
	daemon := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, `{"id":"x"}`) }))
	stub := httptest.NewUnstartedServer(nil)
	p := memory.New(memory.Config{Workers: []memory.WorkerConfig{{Info: platform.WorkerInfo{
		Name: "w1", Address: stub.Listener.Addr().String(), Slots: 8, Connections: 60, State: platform.StateLive,
	}}}})
	view := platform.Platform{Table: p.Table, Objects: p.Objects, Directory: p.Directory, Fleet: p.Fleet}
	worker, err := p.Fleet.Worker("w1")
	if err != nil {
		t.Fatal(err)
	}
	stub.Config.Handler = remote.WorkerHandler(worker)
	stub.Start()
	t.Cleanup(stub.Close)
	base := startServer(t, remote.Handler(view))

	for _, args := range []string{"quote --rate 200", "quote --callers 4", "job --callers 4 --shape 2x8", "quote --callers 4 --direct " + base} {
		line := "bench " + args + " --mix a/b/background=2,c/d --duration 300ms --servers " + daemon
		got := run(t, NewTransport(), "", strings.Fields(line)...)
		if got.code != ExitOK || !strings.Contains(got.out, "background  a") || strings.Contains(got.out, "COUNT") {
			t.Errorf("%s: exit code %d\n%s%s", line, got.code, got.out, got.err)
		}
	}
	for _, args := range []string{"", "--rate 1 --callers 1", "--rate -1", "--callers 1 --duration 1h", "--callers 1 --mix a", "--callers 1 --mix a/b=0"} {
		got := run(t, NewTransport(), "", strings.Fields("bench quote --mix a/b "+args)...)
		if got.code != ExitUsage {
			t.Errorf("bench quote %s: exit code %d, want %d", args, got.code, ExitUsage)
		}
	}
}
