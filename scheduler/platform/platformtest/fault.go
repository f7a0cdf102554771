package platformtest

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// operation is a call of an interface method that is tested under faults.
type operation struct {
	name  string
	write bool
	// injector returns the injector of the called service.
	injector func(p *memory.Platform) *memory.Injector
	prepare  func(f *fixture)
	do       func(ctx context.Context, f *fixture) error
	// tookEffect reports whether the call took effect.
	tookEffect func(f *fixture) bool
}

// faultCase is a set of faults and the expected result of a call under them.
type faultCase struct {
	name   string
	faults memory.Faults
	// writeError is expected of calls that change state, readError of others.
	writeError, readError error
	takesEffect           bool
}

// Guards against a wrongly reported outcome, which makes a caller retry a call
// that took effect. The last cases combine two faults.
var faultCases = []faultCase{
	{"none", memory.Faults{}, nil, nil, true},
	{"outage", memory.Faults{Outage: true}, errUnavailable, errUnavailable, false},
	{"silence", memory.Faults{Silent: true}, errUnknownOutcome, errUnavailable, false},
	{"delay beyond the deadline", memory.Faults{Delay: responseDelay}, errUnknownOutcome, errUnavailable, true},
	{"every request lost", memory.Faults{RequestLossRate: 1}, errUnknownOutcome, errUnavailable, false},
	{"every answer lost", memory.Faults{ResponseLossRate: 1}, errUnknownOutcome, errUnavailable, true},
	{"one answer lost", memory.Faults{DropNextResponses: 1}, errUnknownOutcome, nil, true},
	{"one request lost", memory.Faults{DropNextRequests: 1}, errUnknownOutcome, nil, false},
	{"delay and lost answer", memory.Faults{Delay: time.Millisecond, ResponseLossRate: 1}, errUnknownOutcome, errUnavailable, true},
	{"outage and lost answer", memory.Faults{Outage: true, ResponseLossRate: 1}, errUnavailable, errUnavailable, false},
	{"lost request and lost answer", memory.Faults{RequestLossRate: 1, ResponseLossRate: 1}, errUnknownOutcome, errUnavailable, false},
}

func runFaultCases(t *testing.T, connect Connect) {
	for _, o := range operations {
		for _, c := range faultCases {
			runParallel(t, "Faults/"+o.name+" with "+c.name, func(t *testing.T) {
				checkFaultCase(newFixture(t, connect, testConfig()), o, c)
			})
		}
	}
}

func checkFaultCase(f *fixture, o operation, c faultCase) {
	if o.prepare != nil {
		o.prepare(f)
	}
	o.injector(f.served).SetFaults(c.faults)
	ctx, cancel := context.WithCancel(f.ctx)
	if c.faults.Silent || c.faults.Delay == responseDelay {
		ctx, cancel = context.WithTimeout(f.ctx, callTimeout)
	}
	defer cancel()
	err := o.do(ctx, f)
	if !o.write {
		shouldBeError(err, c.readError)
		return
	}
	shouldBeError(err, c.writeError)
	if c.takesEffect {
		waitFor(func() bool { return o.tookEffect(f) })
		return
	}
	convey.So(o.tookEffect(f), convey.ShouldBeFalse)
}

func tableInjector(p *memory.Platform) *memory.Injector     { return p.Table.Injector }
func objectsInjector(p *memory.Platform) *memory.Injector   { return p.Objects.Injector }
func directoryInjector(p *memory.Platform) *memory.Injector { return p.Directory.Injector }
func workerInjector(p *memory.Platform) *memory.Injector    { return p.Fleet.Get(firstWorker).Injector }

// lookUpWorker looks the worker up before faults are set, so that the adapter
// knows it.
func lookUpWorker(f *fixture) { f.worker(firstWorker) }

func workerClient(f *fixture) platform.Worker {
	w, err := f.Fleet.Worker(firstWorker)
	if err != nil {
		panic(err) // lookUpWorker or startTask has looked it up
	}
	return w
}

// errorOf returns the error of a call and ignores its result.
func errorOf[T any](_ T, err error) error { return err }

var operations = []operation{
	{
		name: "Table.Commit", write: true, injector: tableInjector,
		do: func(ctx context.Context, f *fixture) error {
			return f.Table.Commit(ctx, newTransaction("o", newWrite("k", 0, "v")))
		},
		tookEffect: func(f *fixture) bool {
			rows, err := f.direct.Table.Read(f.ctx, "k")
			return err == nil && len(rows) == 1 && rows[0].Operation == "o"
		},
	},
	{
		name: "Table.Read", injector: tableInjector,
		do: func(ctx context.Context, f *fixture) error { return errorOf(f.Table.Read(ctx, "k")) },
	},
	{
		name: "Table.Scan", injector: tableInjector,
		do: func(ctx context.Context, f *fixture) error { return errorOf(f.Table.Scan(ctx, "", "", 1)) },
	},
	{
		name: "Objects.Put", write: true, injector: objectsInjector,
		do: func(ctx context.Context, f *fixture) error { return f.Objects.Put(ctx, "n", []byte("v")) },
		tookEffect: func(f *fixture) bool {
			_, err := f.direct.Objects.Get(f.ctx, "n")
			return err == nil
		},
	},
	{
		name: "Objects.Get", injector: objectsInjector,
		prepare: func(f *fixture) { shouldBeError(f.direct.Objects.Put(f.ctx, "n", nil), nil) },
		do:      func(ctx context.Context, f *fixture) error { return errorOf(f.Objects.Get(ctx, "n")) },
	},
	{
		name: "Directory.List", injector: directoryInjector,
		do: func(ctx context.Context, f *fixture) error { return errorOf(f.Directory.List(ctx)) },
	},
	{
		name: "Worker.Reserve", write: true, injector: workerInjector, prepare: lookUpWorker,
		do: func(ctx context.Context, f *fixture) error {
			return workerClient(f).Reserve(ctx, newReservation(taskRef, longPayload))
		},
		tookEffect: func(f *fixture) bool { return len(f.direct.Fleet.Get(firstWorker).Tasks()) == 1 },
	},
	{
		name: "Worker.Commit", write: true, injector: workerInjector,
		prepare: func(f *fixture) {
			shouldBeError(f.worker(firstWorker).Reserve(f.ctx, newReservation(taskRef, longPayload)), nil)
		},
		do: func(ctx context.Context, f *fixture) error {
			return workerClient(f).Commit(ctx, newerGeneration, taskRef)
		},
		tookEffect: func(f *fixture) bool { return len(f.direct.Fleet.Starts()) == 1 },
	},
	{
		name: "Worker.Stop", write: true, injector: workerInjector,
		prepare: func(f *fixture) { f.startTask(longPayload) },
		do: func(ctx context.Context, f *fixture) error {
			return workerClient(f).Stop(ctx, newerGeneration, taskRef)
		},
		tookEffect: func(f *fixture) bool { return len(f.direct.Fleet.Get(firstWorker).Tasks()) == 0 },
	},
	{
		name: "Worker.Run", write: true, injector: workerInjector, prepare: lookUpWorker,
		do: func(ctx context.Context, f *fixture) error {
			return errorOf(workerClient(f).Run(ctx, newRequest("a", memory.Payload{})))
		},
		tookEffect: func(f *fixture) bool { return len(f.direct.Fleet.Starts()) == 1 },
	},
	{
		name: "Worker.Revoke", write: true, injector: workerInjector, prepare: lookUpWorker,
		do: func(ctx context.Context, f *fixture) error {
			return errorOf(workerClient(f).Revoke(ctx, newRequest("a", longPayload).Ref))
		},
		tookEffect: func(f *fixture) bool {
			attempts := f.direct.Fleet.Get(firstWorker).Attempts()
			return attempts[newRequest("a", longPayload).Ref] == platform.OutcomeNotStarted
		},
	},
	{
		name: "Worker.Probe", injector: workerInjector, prepare: lookUpWorker,
		do: func(ctx context.Context, f *fixture) error { return errorOf(workerClient(f).Probe(ctx)) },
	},
	{
		name: "Worker.Usage", injector: workerInjector, prepare: lookUpWorker,
		do: func(ctx context.Context, f *fixture) error { return errorOf(workerClient(f).Usage(ctx, 0)) },
	},
}
