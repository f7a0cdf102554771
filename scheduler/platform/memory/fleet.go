package memory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Fleet is a view of the workers of a platform.
type Fleet struct {
	workers  map[string]Worker
	history  *directoryHistory
	startLog *startLog
}

func newFleet(c Config, h *directoryHistory) *Fleet {
	f := &Fleet{workers: map[string]Worker{}, history: h, startLog: &startLog{}}
	checkpoints := &sync.Map{}
	for _, w := range c.Workers {
		m := newMachine(c, w, checkpoints, f.startLog)
		f.workers[w.Info.Name] = Worker{machine: m}
	}
	return f
}

func (f *Fleet) view(seed uint64) *Fleet {
	v := &Fleet{workers: map[string]Worker{}, history: f.history, startLog: f.startLog}
	for name, w := range f.workers {
		v.workers[name] = Worker{Injector: NewInjector(w.machine.serviceName(), seed), machine: w.machine}
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

// Names returns the sorted names of the workers.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.workers)) }

// Get returns the view of a worker, with the methods that control it. It panics
// if there is no such worker.
func (f *Fleet) Get(name string) Worker {
	w, ok := f.workers[name]
	if !ok {
		panic("no worker " + name)
	}
	return w
}

// SetAddress sets the worker's address in the directory, including its past
// listings.
func (f *Fleet) SetAddress(name, address string) {
	m := f.Get(name).machine
	m.mu.Lock()
	m.info.Address = address
	m.mu.Unlock()
	f.history.setAddress(name, address)
}

// SetLeaving sets whether the worker refuses new work. The directory shows the
// change after its lag.
func (f *Fleet) SetLeaving(name string, leaving bool) {
	w := f.Get(name)
	w.machine.mu.Lock()
	w.machine.leaving = leaving
	w.machine.info.State = platform.StateLive
	if leaving {
		w.machine.info.State = platform.StateLeaving
	}
	info := w.machine.info
	w.machine.mu.Unlock()
	f.history.putWorker(info)
}

// Crash ends everything that runs on the worker and makes it unreachable. The
// worker keeps its generation and the existing usage reports. The directory
// removes it after its lag.
func (f *Fleet) Crash(name string) {
	f.Get(name).machine.crash()
	f.history.removeWorker(name)
}

// Restart makes a crashed worker reachable again.
func (f *Fleet) Restart(name string) {
	w := f.Get(name)
	w.machine.mu.Lock()
	if w.machine.isDown() {
		w.machine.down = make(chan struct{})
		w.machine.restarted = time.Now()
	}
	info := w.machine.info
	w.machine.mu.Unlock()
	f.history.putWorker(info)
}

// Starts returns all recorded starts of tasks and quick requests.
func (f *Fleet) Starts() []Start { return f.startLog.all() }

// ResetStarts discards the recorded starts.
func (f *Fleet) ResetStarts() { f.startLog.reset() }

func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	m.tasks = nil
	m.attempts = map[platform.RequestRef]*attempt{}
	m.activeAttempts = map[platform.RequestRef]*attempt{}
	m.settledAttempts = nil
	if !m.isDown() {
		close(m.down)
	}
}

// SetSpeed sets the worker's speed for running tasks and new work.
func (w Worker) SetSpeed(speed float64) {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	now := time.Now()
	w.machine.advance(now)
	w.machine.speed = speed
	for _, t := range w.machine.tasks {
		if t.State == platform.TaskRunning {
			t.reschedule(now, speed)
		}
	}
}

// SetFailureRate sets the share of started work that fails, from 0 to 1.
func (w Worker) SetFailureRate(rate float64) {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.failureRate = rate
}

// DisableFencing disables the check of generations, for tests that show what the
// check prevents.
func (w Worker) DisableFencing() {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.fencingDisabled = true
}

// Info returns the worker's current description, without the directory's lag.
func (w Worker) Info() platform.WorkerInfo {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	return w.machine.info
}

// Tasks returns the worker's reservations and tasks, without renewing leases.
func (w Worker) Tasks() []platform.Task {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.advance(time.Now())
	var all []platform.Task
	for _, t := range w.machine.tasks {
		all = append(all, t.Task)
	}
	return all
}

// Attempts returns the outcomes of the attempts of which the worker has a record.
func (w Worker) Attempts() map[platform.RequestRef]platform.Outcome {
	w.machine.mu.Lock()
	defer w.machine.mu.Unlock()
	w.machine.advance(time.Now())
	all := make(map[platform.RequestRef]platform.Outcome, len(w.machine.attempts))
	for ref, a := range w.machine.attempts {
		all[ref] = a.outcome
	}
	return all
}
