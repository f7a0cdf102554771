package platformtest

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// operation is one call of an interface under a fault.
type operation struct {
	name  string
	write bool
	// injector returns the faults of the called service.
	injector func(p *memory.Platform) *memory.Injector
	prepare  func(f *fixture)
	do       func(ctx context.Context, f *fixture) error
	// done tells whether the call took effect.
	done func(f *fixture) bool
}

// faultCase tells what must hold for a call under faults.
type faultCase struct {
	name   string
	faults memory.Faults
	// write and read are the errors of calls that change state and others.
	write, read error
	effect      bool
}

// Guards against a retry of what took effect and against an outcome that is
// reported wrongly. The last cases are pairs of faults.
var faultCases = []faultCase{
	{"none", memory.Faults{}, nil, nil, true},
	{"outage", memory.Faults{Outage: true}, unavailable, unavailable, false},
	{"silence", memory.Faults{Silent: true}, unknown, unavailable, false},
	{"slowness beyond the deadline", memory.Faults{Delay: slow}, unknown, unavailable, true},
	{"a request lost", memory.Faults{RequestLossRate: 1}, unknown, unavailable, false},
	{"an answer lost", memory.Faults{ResponseLossRate: 1}, unknown, unavailable, true},
	{"one answer lost", memory.Faults{DropNextResponses: 1}, unknown, nil, true},
	{"one request lost", memory.Faults{DropNextRequests: 1}, unknown, nil, false},
	{"slowness and an answer lost", memory.Faults{Delay: time.Millisecond, ResponseLossRate: 1}, unknown, unavailable, true},
	{"outage and an answer lost", memory.Faults{Outage: true, ResponseLossRate: 1}, unavailable, unavailable, false},
	{"request and answer lost", memory.Faults{RequestLossRate: 1, ResponseLossRate: 1}, unknown, unavailable, false},
}

func runFaults(t *testing.T, connect Connect) {
	for _, o := range operations {
		for _, c := range faultCases {
			scenario(t, "Faults/"+o.name+" with "+c.name, func(t *testing.T) {
				checkFault(newFixture(t, connect, config()), o, c)
			})
		}
	}
}

func checkFault(f *fixture, o operation, c faultCase) {
	if o.prepare != nil {
		o.prepare(f)
	}
	o.injector(f.served).SetFaults(c.faults)
	ctx, cancel := context.WithCancel(f.ctx)
	if c.faults.Silent || c.faults.Delay == slow {
		ctx, cancel = context.WithTimeout(f.ctx, short)
	}
	defer cancel()
	err := o.do(ctx, f)
	if !o.write {
		shouldBe(err, c.read)
		return
	}
	shouldBe(err, c.write)
	if c.effect {
		await(func() bool { return o.done(f) })
		return
	}
	convey.So(o.done(f), convey.ShouldBeFalse)
}

func ofTable(p *memory.Platform) *memory.Injector     { return p.Table.Injector }
func ofObjects(p *memory.Platform) *memory.Injector   { return p.Objects.Injector }
func ofDirectory(p *memory.Platform) *memory.Injector { return p.Directory.Injector }
func ofWorker(p *memory.Platform) *memory.Injector    { return p.Fleet.Get(first).Injector }

// known makes the fleet look the worker up while the directory has no fault.
func known(f *fixture) { f.worker(first) }

func onWorker(f *fixture) platform.Worker {
	w, err := f.Fleet.Worker(first)
	if err != nil {
		panic(err) // prepare has looked it up
	}
	return w
}

// failure returns the error of a call whose answer does not matter.
func failure[T any](_ T, err error) error { return err }

var operations = []operation{
	{
		name: "Table.Commit", write: true, injector: ofTable,
		do: func(ctx context.Context, f *fixture) error {
			return f.Table.Commit(ctx, transaction("o", write("k", 0, "v")))
		},
		done: func(f *fixture) bool {
			rows, err := f.truth.Table.Read(f.ctx, "k")
			return err == nil && len(rows) == 1 && rows[0].Operation == "o"
		},
	},
	{
		name: "Table.Read", injector: ofTable,
		do: func(ctx context.Context, f *fixture) error { return failure(f.Table.Read(ctx, "k")) },
	},
	{
		name: "Table.Scan", injector: ofTable,
		do: func(ctx context.Context, f *fixture) error { return failure(f.Table.Scan(ctx, "", "", 1)) },
	},
	{
		name: "Objects.Put", write: true, injector: ofObjects,
		do: func(ctx context.Context, f *fixture) error { return f.Objects.Put(ctx, "n", []byte("v")) },
		done: func(f *fixture) bool {
			_, err := f.truth.Objects.Get(f.ctx, "n")
			return err == nil
		},
	},
	{
		name: "Objects.Get", injector: ofObjects,
		prepare: func(f *fixture) { shouldBe(f.truth.Objects.Put(f.ctx, "n", nil), nil) },
		do:      func(ctx context.Context, f *fixture) error { return failure(f.Objects.Get(ctx, "n")) },
	},
	{
		name: "Directory.List", injector: ofDirectory,
		do: func(ctx context.Context, f *fixture) error { return failure(f.Directory.List(ctx)) },
	},
	{
		name: "Worker.Reserve", write: true, injector: ofWorker, prepare: known,
		do:   func(ctx context.Context, f *fixture) error { return onWorker(f).Reserve(ctx, reserve(ref, long)) },
		done: func(f *fixture) bool { return len(f.truth.Fleet.Get(first).Tasks()) == 1 },
	},
	{
		name: "Worker.Commit", write: true, injector: ofWorker,
		prepare: func(f *fixture) { shouldBe(f.worker(first).Reserve(f.ctx, reserve(ref, long)), nil) },
		do:      func(ctx context.Context, f *fixture) error { return onWorker(f).Commit(ctx, newer, ref) },
		done:    func(f *fixture) bool { return len(f.truth.Fleet.Starts()) == 1 },
	},
	{
		name: "Worker.Stop", write: true, injector: ofWorker,
		prepare: func(f *fixture) { f.started(long) },
		do:      func(ctx context.Context, f *fixture) error { return onWorker(f).Stop(ctx, newer, ref) },
		done:    func(f *fixture) bool { return len(f.truth.Fleet.Get(first).Tasks()) == 0 },
	},
	{
		name: "Worker.Run", write: true, injector: ofWorker, prepare: known,
		do: func(ctx context.Context, f *fixture) error {
			return failure(onWorker(f).Run(ctx, quick("a", memory.Payload{})))
		},
		done: func(f *fixture) bool { return len(f.truth.Fleet.Starts()) == 1 },
	},
	{
		name: "Worker.Revoke", write: true, injector: ofWorker, prepare: known,
		do: func(ctx context.Context, f *fixture) error {
			return failure(onWorker(f).Revoke(ctx, quick("a", long).Ref))
		},
		done: func(f *fixture) bool {
			attempts := f.truth.Fleet.Get(first).Attempts()
			return attempts[quick("a", long).Ref] == platform.OutcomeNotStarted
		},
	},
	{
		name: "Worker.Probe", injector: ofWorker, prepare: known,
		do: func(ctx context.Context, f *fixture) error { return failure(onWorker(f).Probe(ctx)) },
	},
	{
		name: "Worker.Usage", injector: ofWorker, prepare: known,
		do: func(ctx context.Context, f *fixture) error { return failure(onWorker(f).Usage(ctx, 0)) },
	},
}
