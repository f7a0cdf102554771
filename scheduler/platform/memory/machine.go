package memory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// machine is the state of a simulated worker. It has no goroutine: each access
// first processes the events that have become due since the previous one.
type machine struct {
	mu              sync.Mutex
	config          Config
	info            platform.WorkerInfo
	speed           float64
	failureRate     float64 // share of started work that fails
	fencingDisabled bool
	leaving         bool
	down            chan struct{} // closed while the worker is down
	// restarted is when the worker last restarted and so lost its record of
	// attempts.
	restarted   time.Time
	rand        *rand.Rand
	checkpoints *sync.Map // checkpoint name to share
	startLog    *startLog

	lease           platform.Lease
	tasks           []*task
	reports         []platform.UsageReport
	sequence        uint64
	attempts        map[platform.RequestRef]*attempt
	activeAttempts  map[platform.RequestRef]*attempt // attempts in progress
	settledAttempts []settledAttempt
	connections     int
}

func newMachine(c Config, w WorkerConfig, checkpoints *sync.Map, log *startLog) *machine {
	if w.Speed <= 0 {
		w.Speed = 1
	}
	return &machine{
		config:         c,
		info:           w.Info,
		speed:          w.Speed,
		failureRate:    w.FailureRate,
		down:           make(chan struct{}),
		rand:           newRand(w.Info.Name, c.Seed),
		checkpoints:    checkpoints,
		startLog:       log,
		attempts:       map[platform.RequestRef]*attempt{},
		activeAttempts: map[platform.RequestRef]*attempt{},
	}
}

// advance processes everything that is due by now: it removes expired
// reservations, ends tasks and attempts, and adds usage reports.
func (m *machine) advance(now time.Time) {
	first := len(m.reports)
	m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool {
		return t.State == platform.TaskReserved && !now.Before(t.Reservation.Deadline)
	})
	for _, t := range m.tasks {
		if t.State == platform.TaskRunning {
			m.reportUsage(t, t.advance(now))
		}
	}
	m.assignSequence(first)
	m.advanceQuick(now)
}

// reportUsage adds a usage report for t if one is due.
func (m *machine) reportUsage(t *task, until time.Time) {
	elapsed := until.Sub(t.reportedUntil)
	if elapsed <= 0 || (t.State == platform.TaskRunning && elapsed < m.config.UsageInterval) {
		return
	}
	t.reportedUntil = until
	m.reports = append(m.reports, platform.UsageReport{
		Task:    t.Reservation.Task,
		Team:    t.Reservation.Team,
		Seconds: elapsed.Seconds() * float64(t.Reservation.Accelerators),
		Until:   until,
	})
}

// assignSequence numbers the reports from index firstNew on in order of time. As
// reports become visible in that order, the visible ones have no gap.
func (m *machine) assignSequence(firstNew int) {
	added := m.reports[firstNew:]
	slices.SortStableFunc(added, func(a, b platform.UsageReport) int {
		return a.Until.Compare(b.Until)
	})
	for i := range added {
		m.sequence++
		added[i].Sequence = m.sequence
	}
}

func (m *machine) findTask(ref platform.TaskRef) *task {
	i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Reservation.Task == ref })
	if i < 0 {
		return nil
	}
	return m.tasks[i]
}

func (m *machine) runningTask(ref platform.TaskRef) (*task, error) {
	if t := m.findTask(ref); t != nil && t.State == platform.TaskRunning {
		return t, nil
	}
	return nil, notFound(ref)
}

func (m *machine) removeTask(t *task) {
	m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
}

func (m *machine) freeAccelerators() int {
	free := m.info.Accelerators
	for _, t := range m.tasks {
		if t.occupiesAccelerators() {
			free -= t.Reservation.Accelerators
		}
	}
	return free
}

func (m *machine) sampleFailure() bool {
	return m.failureRate > 0 && m.rand.Float64() < m.failureRate
}

func (m *machine) isDown() bool {
	select {
	case <-m.down:
		return true
	default:
		return false
	}
}

// checkGeneration returns *platform.DeniedError for a generation below the one
// in force.
func (m *machine) checkGeneration(g platform.Generation) error {
	if m.fencingDisabled || g.Compare(m.lease.Generation) >= 0 {
		return nil
	}
	return &platform.DeniedError{Worker: m.info.Name, Generation: m.lease.Generation, Deadline: m.lease.Deadline}
}

func (m *machine) claim(now time.Time, l platform.Lease) (platform.Inventory, error) {
	if err := m.checkGeneration(l.Generation); err != nil {
		return platform.Inventory{}, err
	}
	m.lease = l
	inventory := platform.Inventory{
		Generation: l.Generation,
		Free:       m.freeAccelerators(),
		Leaving:    m.leaving,
	}
	for _, t := range m.tasks {
		t.leaseDeadline = now.Add(m.config.TaskLease)
		inventory.Tasks = append(inventory.Tasks, t.Task)
	}
	return inventory, nil
}

func (m *machine) reserve(r platform.Reservation) error {
	switch t := m.findTask(r.Task); {
	case t != nil && t.State == platform.TaskReserved:
		t.Reservation.Deadline = r.Deadline
		return nil
	case t != nil:
		return nil
	case m.leaving:
		return &platform.LeavingError{Worker: m.info.Name}
	case r.Accelerators < 0 || r.Accelerators > m.freeAccelerators():
		return &platform.BusyError{Worker: m.info.Name, Load: m.load()}
	}
	r.Payload = slices.Clone(r.Payload)
	m.tasks = append(m.tasks, &task{
		Task: platform.Task{Reservation: r, State: platform.TaskReserved},
	})
	return nil
}

func (m *machine) commit(now time.Time, ref platform.TaskRef) error {
	t := m.findTask(ref)
	if t == nil {
		return notFound(ref)
	}
	if t.State != platform.TaskReserved {
		return nil
	}
	var base float64
	if share, ok := m.checkpoints.Load(t.Reservation.Checkpoint); ok {
		base = share.(float64)
	}
	t.start(now, newExecution(t.Reservation.Payload, m.sampleFailure()), base)
	t.reschedule(now, m.speed)
	t.leaseDeadline = now.Add(m.config.TaskLease)
	m.startLog.addTask(m.info.Name, ref, now)
	return nil
}

func (m *machine) release(ref platform.TaskRef) {
	if t := m.findTask(ref); t != nil && t.State == platform.TaskReserved {
		m.removeTask(t)
	}
}

// stop also removes a reservation, so that a late Commit cannot start the task.
func (m *machine) stop(now time.Time, ref platform.TaskRef) {
	t := m.findTask(ref)
	if t == nil || !t.occupiesAccelerators() {
		return
	}
	if t.State == platform.TaskRunning {
		first := len(m.reports)
		t.finish(now, platform.TaskStopped, "")
		m.reportUsage(t, now)
		m.assignSequence(first)
	}
	m.removeTask(t)
}

func (m *machine) acknowledge(ref platform.TaskRef) {
	if t := m.findTask(ref); t != nil && !t.occupiesAccelerators() {
		m.removeTask(t)
	}
}

func notFound(ref platform.TaskRef) error {
	return &platform.NotFoundError{Kind: "task", Name: taskName(ref)}
}
