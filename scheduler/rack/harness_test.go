package rack

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// in runs a scenario in virtual time.
func in(t *testing.T, name string, f func()) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, f)
		})
	})
}

const rackName = "x-r00"

func newPlatform(workers int) *memory.Platform {
	l := memory.Layout{DataCentres: []string{"x"}, Workers: workers, Accelerators: 8, Slots: 2}
	return memory.New(memory.Config{Seed: 1, Workers: l.Build()})
}

func workersOf(p *memory.Platform) []platform.WorkerInfo {
	l, _ := p.Directory.List(context.Background())
	return l.Workers
}

// gate is one instance's way to the workers. It counts commands and calls a
// hook before each; a closed gate delivers nothing, a paused one delivers late.
type gate struct {
	view *memory.Platform
	hook func(n int, method string)
	// stuck makes checkpoints never end.
	stuck atomic.Bool

	mu     sync.Mutex
	orders int
	closed bool
	resume chan struct{}
	// slow is how late the next order will be, by method and worker.
	slow map[string]time.Duration
	// superseded is set when another instance has claimed the workers; late
	// counts the commands that still took effect after that.
	superseded bool
	late       int
}

func (g *gate) Worker(name string) (platform.Worker, error) {
	w, err := g.view.Fleet.Worker(name)
	return gated{w, g, name}, err
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resume = make(chan struct{})
}

func (g *gate) unpause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resume != nil {
		close(g.resume)
		g.resume = nil
	}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

var errShut = errors.New("instance is dead")

// pass delivers one call. A command that was delayed arrives even if its
// caller has given up.
func (g *gate) pass(ctx context.Context, method string, do func(ctx context.Context) error) error {
	order := method != "claim"
	g.mu.Lock()
	n := g.orders
	if order {
		g.orders++
	}
	g.mu.Unlock()
	if order && g.hook != nil {
		g.hook(n, method)
	}
	g.mu.Lock()
	closed, resume := g.closed, g.resume
	g.mu.Unlock()
	if closed {
		return &platform.UnavailableError{Service: "worker", Cause: errShut}
	}
	if resume != nil {
		<-resume
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
		defer cancel()
	}
	err := do(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && order && g.superseded {
		g.late++
	}
	if g.closed {
		return &platform.UnknownOutcomeError{Service: "worker", Cause: errShut}
	}
	return err
}

type gated struct {
	platform.Worker
	g    *gate
	name string
}

// late lets an order arrive after its caller has given up, if the next order
// of its method is to be late on the worker.
func (w gated) late(ctx context.Context, method string, do func(ctx context.Context) error) error {
	w.g.mu.Lock()
	by := w.g.slow[method+w.name]
	delete(w.g.slow, method+w.name)
	w.g.mu.Unlock()
	if by == 0 {
		return do(ctx)
	}
	time.AfterFunc(by, func() {
		ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
		defer cancel()
		_ = do(ctx)
	})
	<-ctx.Done()
	return &platform.UnknownOutcomeError{Service: w.name, Cause: ctx.Err()}
}

func (w gated) Claim(ctx context.Context, l platform.Lease) (i platform.Inventory, err error) {
	err = w.g.pass(ctx, "claim", func(ctx context.Context) error {
		i, err = w.Worker.Claim(ctx, l)
		return err
	})
	return i, err
}

func (w gated) Reserve(ctx context.Context, r platform.Reservation) error {
	return w.g.pass(ctx, "reserve", func(ctx context.Context) error {
		return w.late(ctx, "reserve", func(ctx context.Context) error { return w.Worker.Reserve(ctx, r) })
	})
}

func (w gated) Commit(ctx context.Context, g platform.Generation, t platform.TaskRef) error {
	return w.g.pass(ctx, "commit", func(ctx context.Context) error {
		return w.late(ctx, "commit", func(ctx context.Context) error { return w.Worker.Commit(ctx, g, t) })
	})
}

func (w gated) Stop(ctx context.Context, g platform.Generation, t platform.TaskRef) error {
	return w.g.pass(ctx, "stop", func(ctx context.Context) error { return w.Worker.Stop(ctx, g, t) })
}

func (w gated) Checkpoint(ctx context.Context, g platform.Generation, t platform.TaskRef) (platform.Checkpoint, error) {
	if w.g.stuck.Load() {
		<-ctx.Done()
		return platform.Checkpoint{}, &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
	}
	return w.Worker.Checkpoint(ctx, g, t)
}

// desk is a daemon that commits outcomes while it is open.
type desk struct {
	mu     sync.Mutex
	open   bool
	got    []Outcome
	denied int
}

func (d *desk) HandleOutcome(_ context.Context, o Outcome) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.open {
		d.denied++
		return &platform.UnavailableError{Service: "table"}
	}
	d.got = append(d.got, o)
	return nil
}

func (d *desk) setOpen(open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = open
}

func (d *desk) refusals() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.denied
}

func (d *desk) outcomes() []Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Outcome{}, d.got...)
}

// party is an instance that owns the rack, with its own way to the workers.
type party struct {
	owner *Owner
	gate  *gate
	desk  *desk
	end   func()
	err   error
	ended chan struct{}
}

// newParty starts an owner and waits until it is ready or has ended.
func newParty(p *memory.Platform, name string) *party {
	y := &party{gate: &gate{view: p.View()}, desk: &desk{open: true}, ended: make(chan struct{})}
	y.owner = New(rackName, name, workersOf(p), y.gate, y.desk)
	ctx, cancel := context.WithCancel(context.Background())
	y.end = func() {
		cancel()
		<-y.ended
	}
	go func() {
		defer close(y.ended)
		y.err = y.owner.Run(ctx)
	}()
	select {
	case <-y.owner.Ready():
	case <-y.ended:
	}
	return y
}

// kill ends the instance: nothing that it sends arrives any more.
func (y *party) kill() {
	y.gate.shut()
	y.end()
}

func request(job string, attempt, members int, seconds float64) GangRequest {
	r := GangRequest{Job: job, Attempt: attempt, Team: "team", Template: "t", Payload: memory.Payload{Seconds: seconds, Echo: job}.Encode()}
	for i := range members {
		r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", i), Accelerators: 4})
	}
	return r
}

// holding counts the tasks of a job that are reserved or running.
func holding(p *memory.Platform, job string) (reserved, running int) {
	for _, w := range workersOf(p) {
		for _, t := range p.Fleet.Get(w.Name).Tasks() {
			if t.Reservation.Task.Job != job {
				continue
			}
			switch t.State {
			case platform.TaskReserved:
				reserved++
			case platform.TaskRunning:
				running++
			case platform.TaskDone, platform.TaskFailed, platform.TaskStopped:
			}
		}
	}
	return reserved, running
}

// kept counts the outcomes that the workers keep.
func kept(p *memory.Platform) (n int) {
	for _, w := range workersOf(p) {
		for _, t := range p.Fleet.Get(w.Name).Tasks() {
			if t.State == platform.TaskDone || t.State == platform.TaskFailed || t.State == platform.TaskStopped {
				n++
			}
		}
	}
	return n
}

// until waits at most limit for a condition and returns the time it took.
func until(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() && time.Since(begin) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}
