package memory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Fleet is one view of the workers.
type Fleet struct {
	workers map[string]Worker
	book    *book
	journal *journal
}

func newFleet(c Config, b *book) *Fleet {
	f := &Fleet{workers: map[string]Worker{}, book: b, journal: &journal{}}
	saved := &sync.Map{}
	for _, w := range c.Workers {
		m := newMachine(c, w, saved, f.journal)
		f.workers[w.Info.Name] = Worker{m: m}
	}
	return f
}

func (f *Fleet) view(seed uint64) *Fleet {
	v := &Fleet{workers: map[string]Worker{}, book: f.book, journal: f.journal}
	for name, w := range f.workers {
		v.workers[name] = Worker{Injector: NewInjector(w.m.service(), seed), m: w.m}
	}
	return v
}

// Worker implements platform.Fleet.
func (f *Fleet) Worker(name string) (platform.Worker, error) {
	w, ok := f.workers[name]
	if !ok {
		return nil, &platform.NotFoundError{Kind: "worker", Name: name}
	}
	return w, nil
}

// Names returns the names of the workers in order.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.workers)) }

// Get returns the worker's view with its controls. It panics if there is no
// such worker.
func (f *Fleet) Get(name string) Worker {
	w, ok := f.workers[name]
	if !ok {
		panic("no worker " + name)
	}
	return w
}

// SetAddress sets the address under which the directory lists the worker, and
// has always listed it.
func (f *Fleet) SetAddress(name, address string) {
	m := f.Get(name).m
	m.mu.Lock()
	m.info.Address = address
	m.mu.Unlock()
	f.book.setAddress(name, address)
}

// SetLeaving makes the worker refuse new work, or take it again. The directory
// shows the change after its lag.
func (f *Fleet) SetLeaving(name string, leaving bool) {
	w := f.Get(name)
	w.m.mu.Lock()
	w.m.leaving = leaving
	w.m.info.State = platform.StateLive
	if leaving {
		w.m.info.State = platform.StateLeaving
	}
	info := w.m.info
	w.m.mu.Unlock()
	f.book.putWorker(info)
}

// Crash ends everything on the worker and makes it unreachable. It keeps its
// generation and the usage reports written so far. The directory drops it
// after its lag.
func (f *Fleet) Crash(name string) {
	f.Get(name).m.crash()
	f.book.removeWorker(name)
}

// Restart makes a crashed worker reachable again.
func (f *Fleet) Restart(name string) {
	w := f.Get(name)
	w.m.mu.Lock()
	if w.m.isDown() {
		w.m.down = make(chan struct{})
		w.m.restarted = time.Now()
	}
	info := w.m.info
	w.m.mu.Unlock()
	f.book.putWorker(info)
}

// Starts returns every start of a task or quick request so far.
func (f *Fleet) Starts() []Start { return f.journal.all() }

// ResetStarts forgets the starts so far.
func (f *Fleet) ResetStarts() { f.journal.reset() }

func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	m.tasks = nil
	m.attempts = map[platform.RequestRef]*attempt{}
	m.active = map[platform.RequestRef]*attempt{}
	m.settled = nil
	if !m.isDown() {
		close(m.down)
	}
}

// SetSpeed changes the worker's speed for running tasks and new work.
func (w Worker) SetSpeed(speed float64) {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	now := time.Now()
	w.m.advance(now)
	w.m.speed = speed
	for _, t := range w.m.tasks {
		if t.State == platform.TaskRunning {
			t.retime(now, speed)
		}
	}
}

// SetFailureRate changes the share of started work that fails.
func (w Worker) SetFailureRate(share float64) {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.failures = share
}

// FenceOff turns the check of generations off, for tests that show what it
// prevents.
func (w Worker) FenceOff() {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.fenceOff = true
}

// Info returns the worker's true state.
func (w Worker) Info() platform.WorkerInfo {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	return w.m.info
}

// Tasks returns what the worker holds, without renewing leases.
func (w Worker) Tasks() []platform.Task {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.advance(time.Now())
	var all []platform.Task
	for _, t := range w.m.tasks {
		all = append(all, t.Task)
	}
	return all
}

// Attempts returns the outcomes of the attempts that the worker remembers.
func (w Worker) Attempts() map[platform.RequestRef]platform.Outcome {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.advance(time.Now())
	all := make(map[platform.RequestRef]platform.Outcome, len(w.m.attempts))
	for ref, a := range w.m.attempts {
		all[ref] = a.outcome
	}
	return all
}
