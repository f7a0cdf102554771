// Package platformtest holds the contract test of the platform's interfaces.
// Every adapter runs it.
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

// patience bounds the wait for a condition. It is far above the run times of
// the payloads, so that a busy machine does not change a verdict.
const patience = 20 * time.Second

// Times of calls that get no answer in time. They differ by far more than a
// busy machine delays a goroutine.
const (
	short = 500 * time.Millisecond // deadline of the call
	slow  = 3 * time.Second        // delay of the answer
)

// Workers of the platform under test.
const (
	first  = "x-w000"
	second = "x-w001"
)

// Connect returns an adapter to the services that p serves.
type Connect func(t *testing.T, p *memory.Platform) platform.Platform

// fixture is a platform, the adapter under test and an undisturbed view.
type fixture struct {
	platform.Platform
	served *memory.Platform
	truth  *memory.Platform
	ctx    context.Context
}

// config is the platform under test: two workers with 8 accelerators, 2 slots.
func config() memory.Config {
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
	f := &fixture{served: p, truth: p.View(), ctx: t.Context()}
	f.Platform = connect(t, p)
	return f
}

// Run runs the contract test.
func Run(t *testing.T, connect Connect) {
	for name, cases := range map[string][]contract{
		"Table":     tableContracts,
		"Objects":   objectContracts,
		"Directory": directoryContracts,
		"Tasks":     taskContracts,
		"Quick":     quickContracts,
	} {
		for _, c := range cases {
			scenario(t, name+"/"+c.name, func(t *testing.T) { c.check(newFixture(t, connect, config())) })
		}
	}
	runFaults(t, connect)
}

// contract is one promise of an interface.
type contract struct {
	name  string
	check func(f *fixture)
}

// scenario runs as a test of its own, beside others, since some wait long.
func scenario(t *testing.T, name string, check func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		convey.Convey(name, t, func() { check(t) })
	})
}

// await polls until the condition holds.
func await(condition func() bool) {
	deadline := time.Now().Add(patience)
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	convey.So(condition(), convey.ShouldBeTrue)
}

// shouldBe asserts the type of an error; nil stands for success.
func shouldBe(err, want error) {
	convey.So(kind(err), convey.ShouldEqual, kind(want))
}

// kind names the type of the first typed error.
func kind(err error) string {
	switch {
	case err == nil:
		return "success"
	case is[*platform.UnknownOutcomeError](err):
		return "unknown"
	case is[*platform.UnavailableError](err):
		return "unavailable"
	case is[*platform.ConflictError](err):
		return "conflict"
	case is[*platform.NotFoundError](err):
		return "not found"
	case is[*platform.DeniedError](err):
		return "denied"
	case is[*platform.BusyError](err):
		return "busy"
	case is[*platform.LeavingError](err):
		return "leaving"
	}
	return "untyped"
}

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

var (
	unknown     = &platform.UnknownOutcomeError{}
	unavailable = &platform.UnavailableError{}
	conflict    = &platform.ConflictError{}
	missing     = &platform.NotFoundError{}
	busy        = &platform.BusyError{}
	leaving     = &platform.LeavingError{}
)
