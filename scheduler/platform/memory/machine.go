package memory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// machine is the state of one worker. It has no goroutine: each access first
// carries out what has become due since the previous one.
type machine struct {
	mu       sync.Mutex
	conf     Config
	info     platform.WorkerInfo
	speed    float64
	failures float64 // share of started work that fails
	fenceOff bool
	leaving  bool
	down     chan struct{} // closed while the worker is down
	// restarted is when the worker last forgot the attempts it had started.
	restarted time.Time
	rand      *rand.Rand
	saved     *sync.Map // checkpoint name to share
	journal   *journal

	lease    platform.Lease
	tasks    []*task
	reports  []platform.UsageReport
	sequence uint64
	attempts map[platform.RequestRef]*attempt
	active   map[platform.RequestRef]*attempt // the running ones
	settled  []settled
	calls    int
}

func newMachine(c Config, w WorkerConfig, saved *sync.Map, j *journal) *machine {
	if w.Speed <= 0 {
		w.Speed = 1
	}
	return &machine{
		conf:     c,
		info:     w.Info,
		speed:    w.Speed,
		failures: w.FailureRate,
		down:     make(chan struct{}),
		rand:     newRand(w.Info.Name, c.Seed),
		saved:    saved,
		journal:  j,
		attempts: map[platform.RequestRef]*attempt{},
		active:   map[platform.RequestRef]*attempt{},
	}
}

// advance carries out everything that is due by now.
func (m *machine) advance(now time.Time) {
	first := len(m.reports)
	m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool {
		return t.State == platform.TaskReserved && !now.Before(t.Reservation.Deadline)
	})
	for _, t := range m.tasks {
		if t.State == platform.TaskRunning {
			m.report(t, t.advance(now))
		}
	}
	m.number(first)
	m.advanceQuick(now)
}

// report adds a usage report if one is due.
func (m *machine) report(t *task, until time.Time) {
	passed := until.Sub(t.reported)
	if passed <= 0 || (t.State == platform.TaskRunning && passed < m.conf.UsageInterval) {
		return
	}
	t.reported = until
	m.reports = append(m.reports, platform.UsageReport{
		Task:    t.Reservation.Task,
		Team:    t.Reservation.Team,
		Seconds: passed.Seconds() * float64(t.Reservation.Accelerators),
		Until:   until,
	})
}

// number gives the reports from first on their sequence, in order of time, so
// that the visible reports have no gap.
func (m *machine) number(first int) {
	added := m.reports[first:]
	slices.SortStableFunc(added, func(a, b platform.UsageReport) int {
		return a.Until.Compare(b.Until)
	})
	for i := range added {
		m.sequence++
		added[i].Sequence = m.sequence
	}
}

func (m *machine) find(ref platform.TaskRef) *task {
	at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Reservation.Task == ref })
	if at < 0 {
		return nil
	}
	return m.tasks[at]
}

func (m *machine) running(ref platform.TaskRef) (*task, error) {
	if t := m.find(ref); t != nil && t.State == platform.TaskRunning {
		return t, nil
	}
	return nil, notFound(ref)
}

func (m *machine) remove(t *task) {
	m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
}

func (m *machine) free() int {
	free := m.info.Accelerators
	for _, t := range m.tasks {
		if t.holds() {
			free -= t.Reservation.Accelerators
		}
	}
	return free
}

func (m *machine) faulty() bool {
	return m.failures > 0 && m.rand.Float64() < m.failures
}

func (m *machine) isDown() bool {
	select {
	case <-m.down:
		return true
	default:
		return false
	}
}

// check rejects a generation below the one in force.
func (m *machine) check(g platform.Generation) error {
	if m.fenceOff || g.Compare(m.lease.Generation) >= 0 {
		return nil
	}
	return &platform.DeniedError{Worker: m.info.Name, Generation: m.lease.Generation, Deadline: m.lease.Deadline}
}

func (m *machine) claim(now time.Time, l platform.Lease) (platform.Inventory, error) {
	if err := m.check(l.Generation); err != nil {
		return platform.Inventory{}, err
	}
	m.lease = l
	inventory := platform.Inventory{
		Generation: l.Generation,
		Free:       m.free(),
		Leaving:    m.leaving,
	}
	for _, t := range m.tasks {
		t.lease = now.Add(m.conf.TaskLease)
		inventory.Tasks = append(inventory.Tasks, t.Task)
	}
	return inventory, nil
}

func (m *machine) reserve(r platform.Reservation) error {
	switch t := m.find(r.Task); {
	case t != nil && t.State == platform.TaskReserved:
		t.Reservation.Deadline = r.Deadline
		return nil
	case t != nil:
		return nil
	case m.leaving:
		return &platform.LeavingError{Worker: m.info.Name}
	case r.Accelerators < 0 || r.Accelerators > m.free():
		return &platform.BusyError{Worker: m.info.Name, Load: m.load()}
	}
	r.Payload = slices.Clone(r.Payload)
	m.tasks = append(m.tasks, &task{
		Task: platform.Task{Reservation: r, State: platform.TaskReserved},
	})
	return nil
}

func (m *machine) commit(now time.Time, ref platform.TaskRef) error {
	t := m.find(ref)
	if t == nil {
		return notFound(ref)
	}
	if t.State != platform.TaskReserved {
		return nil
	}
	var base float64
	if share, ok := m.saved.Load(t.Reservation.Checkpoint); ok {
		base = share.(float64)
	}
	t.start(now, newRun(t.Reservation.Payload, m.faulty()), base)
	t.retime(now, m.speed)
	t.lease = now.Add(m.conf.TaskLease)
	m.journal.task(m.info.Name, ref, now)
	return nil
}

func (m *machine) release(ref platform.TaskRef) {
	if t := m.find(ref); t != nil && t.State == platform.TaskReserved {
		m.remove(t)
	}
}

// stop also drops a reservation, so that a late Commit cannot start it.
func (m *machine) stop(now time.Time, ref platform.TaskRef) {
	t := m.find(ref)
	if t == nil || !t.holds() {
		return
	}
	if t.State == platform.TaskRunning {
		first := len(m.reports)
		t.finish(now, platform.TaskStopped, "")
		m.report(t, now)
		m.number(first)
	}
	m.remove(t)
}

func (m *machine) acknowledge(ref platform.TaskRef) {
	if t := m.find(ref); t != nil && !t.holds() {
		m.remove(t)
	}
}

func notFound(ref platform.TaskRef) error {
	return &platform.NotFoundError{Kind: "task", Name: taskName(ref)}
}
