// Package platformtest holds the contract test of the interfaces of package
// platform. Every adapter runs it.
package platformtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// waitTimeout limits the wait for a condition. It far exceeds the run times of
// the payloads, so that the result does not depend on the machine's load. It
// is also the deadline of leases, reservations and requests.
const waitTimeout = 20 * time.Second

// Times of calls that get no answer before their deadline. They differ by far
// more than a busy machine delays a goroutine.
const (
	callTimeout   = 500 * time.Millisecond // deadline of the call
	responseDelay = 3 * time.Second        // delay of the answer
)

// Workers of the platform under test.
const (
	firstWorker  = "x-w000"
	secondWorker = "x-w001"
)

// Connect returns the adapter under test, connected to the services of p.
type Connect func(t *testing.T, p *memory.Platform) platform.Platform

// fixture holds the adapter under test, the view that it connects to (served)
// and a view without faults (direct).
type fixture struct {
	platform.Platform
	served *memory.Platform
	direct *memory.Platform
	ctx    context.Context
}

// testConfig returns the configuration of the platform under test: two workers
// with 8 accelerators and 2 slots each.
func testConfig() memory.Config {
	l := memory.Layout{
		Region:       "r",
		DataCentres:  []string{"x"},
		Workers:      2,
		Accelerators: 8,
		Slots:        2,
		Connections:  60,
	}
	return memory.Config{Seed: 1, Workers: l.Build(), UsageInterval: 10 * time.Millisecond}
}

func newFixture(t *testing.T, connect Connect, c memory.Config) *fixture {
	p := memory.New(c)
	f := &fixture{served: p, direct: p.View(), ctx: t.Context()}
	f.Platform = connect(t, p)
	return f
}

// Run runs the contract test.
func Run(t *testing.T, connect Connect) {
	for name, cases := range map[string][]contractCase{
		"Table":     tableContracts,
		"Objects":   objectContracts,
		"Directory": directoryContracts,
		"Tasks":     taskContracts,
		"Quick":     quickContracts,
	} {
		for _, c := range cases {
			runParallel(t, name+"/"+c.name, func(t *testing.T) { c.check(newFixture(t, connect, testConfig())) })
		}
	}
	runFaultCases(t, connect)
}

// contractCase checks one requirement on an interface.
type contractCase struct {
	name  string
	check func(f *fixture)
}

// runParallel runs check as a parallel subtest, as some checks wait for long.
func runParallel(t *testing.T, name string, check func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		convey.Convey(name, t, func() { check(t) })
	})
}

// waitFor polls until the condition holds.
func waitFor(condition func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	convey.So(condition(), convey.ShouldBeTrue)
}

// shouldBeError asserts that err has the type of want; nil stands for success.
func shouldBeError(err, want error) {
	convey.So(errorKind(err), convey.ShouldEqual, errorKind(want))
}

// errorKind returns a name for the type of the first platform error in err.
func errorKind(err error) string {
	switch {
	case err == nil:
		return "success"
	case hasType[*platform.UnknownOutcomeError](err):
		return "unknown"
	case hasType[*platform.UnavailableError](err):
		return "unavailable"
	case hasType[*platform.ConflictError](err):
		return "conflict"
	case hasType[*platform.NotFoundError](err):
		return "not found"
	case hasType[*platform.DeniedError](err):
		return "denied"
	case hasType[*platform.BusyError](err):
		return "busy"
	case hasType[*platform.LeavingError](err):
		return "leaving"
	}
	return "untyped"
}

func hasType[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

var (
	errUnknownOutcome = &platform.UnknownOutcomeError{}
	errUnavailable    = &platform.UnavailableError{}
	errConflict       = &platform.ConflictError{}
	errNotFound       = &platform.NotFoundError{}
	errBusy           = &platform.BusyError{}
	errLeaving        = &platform.LeavingError{}
)
