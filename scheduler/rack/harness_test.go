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

// inVirtualTime runs f in virtual time.
func inVirtualTime(t *testing.T, name string, f func()) {
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

// faultProxy passes calls of one instance to the workers. It counts commands and
// calls a hook before each. When disconnected it delivers nothing; when paused it
// delivers calls after it is resumed.
type faultProxy struct {
	view *memory.Platform
	hook func(n int, method string)
	// checkpointsHang makes calls of Checkpoint block until their context ends.
	checkpointsHang atomic.Bool

	mu           sync.Mutex
	commands     int
	disconnected bool
	resume       chan struct{}
	// commandDelays is the delay of the next command, by method and worker.
	commandDelays map[string]time.Duration
	// superseded is set when another instance has claimed the workers;
	// lateCommands counts the commands that were still executed after that.
	superseded   bool
	lateCommands int
}

func (p *faultProxy) Worker(name string) (platform.Worker, error) {
	w, err := p.view.Fleet.Worker(name)
	return proxiedWorker{w, p, name}, err
}

func (p *faultProxy) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resume = make(chan struct{})
}

func (p *faultProxy) resumeDelivery() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *faultProxy) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
}

var errInstanceDead = errors.New("instance is dead")

// deliver delivers one call. A call that was delayed by a pause arrives even if the
// caller's context has ended.
func (p *faultProxy) deliver(ctx context.Context, method string, call func(ctx context.Context) error) error {
	isCommand := method != "claim"
	p.mu.Lock()
	n := p.commands
	if isCommand {
		p.commands++
	}
	p.mu.Unlock()
	if isCommand && p.hook != nil {
		p.hook(n, method)
	}
	p.mu.Lock()
	disconnected, resume := p.disconnected, p.resume
	p.mu.Unlock()
	if disconnected {
		return &platform.UnavailableError{Service: "worker", Cause: errInstanceDead}
	}
	if resume != nil {
		<-resume
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
		defer cancel()
	}
	err := call(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && isCommand && p.superseded {
		p.lateCommands++
	}
	if p.disconnected {
		return &platform.UnknownOutcomeError{Service: "worker", Cause: errInstanceDead}
	}
	return err
}

type proxiedWorker struct {
	platform.Worker
	proxy *faultProxy
	name  string
}

// delayCommand delivers a command after its caller's context has ended, if
// commandDelays has a delay for the method and the worker.
func (w proxiedWorker) delayCommand(ctx context.Context, method string, call func(ctx context.Context) error) error {
	w.proxy.mu.Lock()
	delay := w.proxy.commandDelays[method+w.name]
	delete(w.proxy.commandDelays, method+w.name)
	w.proxy.mu.Unlock()
	if delay == 0 {
		return call(ctx)
	}
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
		defer cancel()
		_ = call(ctx)
	})
	<-ctx.Done()
	return &platform.UnknownOutcomeError{Service: w.name, Cause: ctx.Err()}
}

func (w proxiedWorker) Claim(ctx context.Context, l platform.Lease) (i platform.Inventory, err error) {
	err = w.proxy.deliver(ctx, "claim", func(ctx context.Context) error {
		i, err = w.Worker.Claim(ctx, l)
		return err
	})
	return i, err
}

func (w proxiedWorker) Reserve(ctx context.Context, r platform.Reservation) error {
	return w.proxy.deliver(ctx, "reserve", func(ctx context.Context) error {
		return w.delayCommand(ctx, "reserve", func(ctx context.Context) error { return w.Worker.Reserve(ctx, r) })
	})
}

func (w proxiedWorker) Commit(ctx context.Context, g platform.Generation, t platform.TaskRef) error {
	return w.proxy.deliver(ctx, "commit", func(ctx context.Context) error {
		return w.delayCommand(ctx, "commit", func(ctx context.Context) error { return w.Worker.Commit(ctx, g, t) })
	})
}

func (w proxiedWorker) Stop(ctx context.Context, g platform.Generation, t platform.TaskRef) error {
	return w.proxy.deliver(ctx, "stop", func(ctx context.Context) error { return w.Worker.Stop(ctx, g, t) })
}

func (w proxiedWorker) Checkpoint(ctx context.Context, g platform.Generation, t platform.TaskRef) (platform.Checkpoint, error) {
	if w.proxy.checkpointsHang.Load() {
		<-ctx.Done()
		return platform.Checkpoint{}, &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
	}
	return w.Worker.Checkpoint(ctx, g, t)
}

// outcomeRecorder commits outcomes like a daemon while it is accepting them.
type outcomeRecorder struct {
	mu        sync.Mutex
	accepting bool
	committed []Outcome
	refused   int
}

func (r *outcomeRecorder) HandleOutcome(_ context.Context, o Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepting {
		r.refused++
		return &platform.UnavailableError{Service: "table"}
	}
	r.committed = append(r.committed, o)
	return nil
}

func (r *outcomeRecorder) setAccepting(accepting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepting = accepting
}

func (r *outcomeRecorder) refusals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

func (r *outcomeRecorder) outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome{}, r.committed...)
}

// testOwner is an owner of the rack with its own proxy to the workers.
type testOwner struct {
	owner    *Owner
	proxy    *faultProxy
	recorder *outcomeRecorder
	end      func()
	err      error
	ended    chan struct{}
}

// startTestOwner starts an owner and waits until it is ready or has ended.
func startTestOwner(p *memory.Platform, name string) *testOwner {
	o := &testOwner{proxy: &faultProxy{view: p.View()}, recorder: &outcomeRecorder{accepting: true}, ended: make(chan struct{})}
	o.owner = New(rackName, name, workersOf(p), o.proxy, o.recorder)
	ctx, cancel := context.WithCancel(context.Background())
	o.end = func() {
		cancel()
		<-o.ended
	}
	go func() {
		defer close(o.ended)
		o.err = o.owner.Run(ctx)
	}()
	select {
	case <-o.owner.Ready():
	case <-o.ended:
	}
	return o
}

// kill ends the owner abruptly: nothing that it sends arrives any more.
func (o *testOwner) kill() {
	o.proxy.disconnect()
	o.end()
}

func request(job string, attempt, members int, seconds float64) GangRequest {
	r := GangRequest{Job: job, Attempt: attempt, Team: "team", Template: "t", Payload: memory.Payload{Seconds: seconds, Echo: job}.Encode()}
	for i := range members {
		r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", i), Accelerators: 4})
	}
	return r
}

// countActive counts the tasks of a job that are reserved or running.
func countActive(p *memory.Platform, job string) (reserved, running int) {
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

// countOutcomes counts the ended tasks whose outcome the workers keep.
func countOutcomes(p *memory.Platform) (n int) {
	for _, w := range workersOf(p) {
		for _, t := range p.Fleet.Get(w.Name).Tasks() {
			if t.State == platform.TaskDone || t.State == platform.TaskFailed || t.State == platform.TaskStopped {
				n++
			}
		}
	}
	return n
}

// waitUntil waits at most limit for a condition and returns the elapsed time.
func waitUntil(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() && time.Since(begin) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}
