// Package assignment decides which waiting tasks start on which workers. The
// decision is a pure function of the view passed to it.
package assignment

import (
	"maps"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
)

// Worker is the placement state of a worker.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Capacity is the total of the worker's resources, Free the unused part.
	Capacity batch.Resources
	Free     batch.Resources
	// Speed is relative to a typical worker, which has 1.
	Speed float64
	// SpeedKnown is set once the speed has been measured.
	SpeedKnown bool
	// CautiousSpeed is the speed to count on while it is unknown, or 0.
	CautiousSpeed float64
	// LongRunning is the part in use by tasks that run until their job is cancelled.
	LongRunning batch.Resources
	// AcceptsTasks is set if the worker accepts new tasks.
	AcceptsTasks bool
	// Trust limits what may start on a worker on which runs have failed.
	Trust WorkerTrust
}

// WorkerTrust limits what may start on a worker. The zero value sets no limit.
type WorkerTrust struct {
	// Limited is set if at most NewTasks tasks may start in this decision, and
	// only those of groups that may serve as a trial.
	Limited  bool
	NewTasks int
	// Excluded is set if no task may start, ExcludedJob if none of that job may.
	Excluded    bool
	ExcludedJob string
	// Unproven is set while no run has ended well since the latest failed ones.
	Unproven bool
}

// hasLabel reports whether the worker has the label. Every worker has the
// empty label.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Group holds the waiting tasks of one step.
type Group struct {
	Job        string
	Occurrence int
	Step       int
	// Indexes are the waiting tasks; those of a gang start together.
	Indexes  []int
	Need     batch.Resources
	Gang     bool
	Adjacent bool
	Label    string
	// Allowed restricts the tasks to the workers that the adviser has approved, by ID,
	// if it is not nil. Rejected are those that it has rejected.
	Allowed, Rejected map[string]bool
	// AdviceLimit is the largest number of workers in one request, or 0 for
	// MaxAdviceWorkers.
	AdviceLimit int
	// AdvicePending is set while the adviser is asked about more workers.
	AdvicePending bool
	// Rack is the rack that holds the input data, or empty.
	Rack string
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	// RunningPerWorker counts those that already run, by worker ID.
	MaxPerWorker     int
	RunningPerWorker map[string]int

	Service  string
	Priority int
	Accepted time.Time
	// ReadySince is when the tasks became ready to start.
	ReadySince time.Time
	// Objective is the time by which the job must be done to count in full.
	Objective time.Time
	// ExpectedDuration is the expected time from the start of these tasks to the
	// end of the job.
	ExpectedDuration time.Duration
	// Guaranteed is set if the team's guarantee covers the tasks.
	Guaranteed bool
	// NeverStarted is set if no run of the job has started yet.
	NeverStarted bool
	// Idle is set if no run of the job is in progress.
	Idle bool
	// ReservedWorkers are the workers, by position in the view, on which
	// capacity is being freed for the tasks.
	ReservedWorkers []int
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool
	// Restarts is set if a long-running task that ran before waits. It is to be at work
	// again soon, however full the service is.
	Restarts bool
	// Trial is set if the tasks may start on a worker whose trust is limited.
	Trial bool
	// ProvenOnlyUntil is until when the tasks start only on proven workers; zero
	// means that they start on any.
	ProvenOnlyUntil time.Time
	// IgnoreTrust is set if the tasks start on all workers that are not excluded.
	IgnoreTrust bool
	// Share orders groups of the same priority and usefulness while not all can be
	// done in time, lower first; 0 leaves the order by age.
	Share float64
	// Slowdown is the factor by which the tasks and what runs on each worker, by
	// position in the view, are expected to slow each other down. It is nil if
	// nothing is known.
	Slowdown []float64
}

// totalNeed returns the resources that all tasks of the group need together.
func (g *Group) totalNeed() batch.Resources { return g.Need.Times(len(g.Indexes)) }

// Start places one task.
type Start struct {
	// Group and Worker are positions in the view.
	Group  int
	Index  int
	Worker int
}

// Running is a run, or a running gang with all its members, that can be
// stopped.
type Running struct {
	Job      string
	Priority int
	// Borrowed is set if the run is not covered by its team's guarantee.
	Borrowed bool
	// LostWork is the work lost if the run is stopped, in core-seconds.
	LostWork float64
	// EndsSoon is set if the run is expected to end about as soon as it could
	// be stopped.
	EndsSoon bool
	// Stopping is set if the run is being stopped already.
	Stopping bool
	// StoppedBefore is set if a run of the job was stopped before.
	StoppedBefore bool
	// ExpectedEnd is when the run is expected to end by itself, or zero if it does not.
	ExpectedEnd time.Time
	Allocations []Allocation
	// Interrupts is the number of tasks that a stop interrupts, which count against
	// the budget at the position Budget of View.Budgets.
	Interrupts, Budget int
}

// Allocation is the resources that a run uses on one worker.
type Allocation struct {
	// Worker is a position in the view.
	Worker int
	Need   batch.Resources
}

// View is the input of a decision.
type View struct {
	Now     time.Time
	Workers []Worker
	// IgnoreMemory is set if best fit compares accelerators and processors only.
	IgnoreMemory bool
	Groups       []Group
	Running      []Running
	// Budgets holds how many more tasks of each step of long-running tasks may be
	// interrupted.
	Budgets []int
	// Reserve is the number of accelerators to keep free for expected urgent
	// work.
	Reserve int64
	// ReservedShapes is room to keep for expected urgent gangs.
	ReservedShapes []ReservedShape
	// Stopping limits which runs are stopped.
	Stopping StopPolicy
}

// Reservation keeps capacity on workers for a group until the runs that use it
// have ended.
type Reservation struct {
	// Group and Workers are positions in the view.
	Group   int
	Workers []int
	// Victims are the runs that use the capacity, as positions in View.Running. They
	// are stopped by the decision or end without that.
	Victims []int
}

// Decision lists the runs to start and to stop. Stops are positions in
// View.Running.
type Decision struct {
	Starts []Start
	Stops  []int
	// StopCauses has an entry for each stop.
	StopCauses   []StopCause
	Reservations []Reservation
	// Advice requests tickets for groups that are restricted to approved workers.
	Advice []AdviceRequest
	// Separations lists groups that their slowdown placed elsewhere, for at most
	// maxSeparationChecks of the groups that start.
	Separations []Separation
}

// Decide places waiting tasks in the order of rank. It is designed for gangs of
// very different sizes and priorities on mostly full workers: a small job may
// overtake a large one that does not fit, and a guaranteed job that does not fit
// preempts others.
func Decide(v View) Decision {
	v.Running = slices.Clone(v.Running)
	d := newDecider(v)
	d.reserve = d.cappedReserve()
	d.reserveShapes()
	order := rank(v)
	for _, g := range order {
		d.placeGroup(g)
	}
	return d.result
}

// FitsNow reports whether the group could start now on its preferred workers: the
// rack of its data, any one rack for an adjacent gang, or else all workers.
func (v View) FitsNow(g *Group) bool {
	d := newDecider(v)
	switch {
	case g.Rack != "":
		return d.fill(g, d.workersOnRack(d.accepting, g.Rack)) != nil
	case !g.Adjacent || !g.Gang:
		return d.fill(g, d.accepting.workers) != nil
	}
	return slices.ContainsFunc(d.accepting.racks, func(workers []int) bool { return d.fill(g, workers) != nil })
}

// decider holds the state of one decision.
type decider struct {
	view View
	free []batch.Resources
	// accepting holds the workers that accept new tasks.
	accepting pool
	// reserve is the number of accelerators that less urgent work must leave free.
	reserve int64
	// reservedWorkers marks the workers that less urgent work must leave free; nil
	// if there are none.
	reservedWorkers []bool
	// unreserved holds the workers of accepting that are not marked.
	unreserved pool
	// sparesReserved is set while a group is placed that must leave them free.
	sparesReserved bool
	// rackIndex is the index of each rack by name, workerRack the index of each
	// worker's rack.
	rackIndex  map[string]int
	workerRack []int
	// freeByRack and candidates are buffers reused by fill.
	freeByRack []int64
	// capacity caches the capacity of the workers of each service.
	capacity   map[string]batch.Resources
	candidates []candidate
	// victims caches, by scope and worker, the runs that may be stopped.
	victims map[victimKey]map[int][]int
	// sparesStopped excludes the runs of jobs that were stopped before from the
	// victims.
	sparesStopped bool
	// ignoresStopping excludes the runs that are being stopped already from the
	// victims.
	ignoresStopping bool
	// blockedHolds counts the blocked gangs for which room is held.
	blockedHolds int
	// held is the room held for blocked groups, by worker, which is not in free unless
	// holds are lifted. It is nil if there is none.
	held []batch.Resources
	// holdEnds are when the blocked groups are expected to start, zero if unknown.
	holdEnds []time.Time
	// beforeLift is free without the held room while holds are lifted, or nil.
	beforeLift []batch.Resources
	// releases caches the room that runs are expected to free.
	releases []release
	// interrupted counts the tasks that the decision interrupts, by position in
	// View.Budgets. withheld is set if a budget has kept a run from being stopped.
	interrupted []int
	withheld    bool
	// startedLimited counts the tasks started by this decision on workers whose
	// trust is limited, by position in the view.
	startedLimited map[int]int
	// separationChecks counts the groups that were placed a second time.
	separationChecks int
	result           Decision
}

func newDecider(v View) *decider {
	d := &decider{view: v, free: make([]batch.Resources, len(v.Workers)), interrupted: make([]int, len(v.Budgets))}
	for i := range v.Workers {
		d.free[i] = v.Workers[i].Free
	}
	d.indexRacks()
	d.accepting = d.pool(func(*Worker) bool { return true })
	return d
}

// indexRacks numbers the racks in the order of their names.
func (d *decider) indexRacks() {
	d.rackIndex = map[string]int{}
	for i := range d.view.Workers {
		d.rackIndex[d.view.Workers[i].Rack] = 0
	}
	for i, name := range slices.Sorted(maps.Keys(d.rackIndex)) {
		d.rackIndex[name] = i
	}
	d.workerRack = make([]int, len(d.view.Workers))
	for i := range d.view.Workers {
		d.workerRack[i] = d.rackIndex[d.view.Workers[i].Rack]
	}
	d.freeByRack = make([]int64, len(d.rackIndex))
}

// pool is a set of workers that accept new tasks, by position in the view.
type pool struct {
	workers []int
	// racks lists the workers of each rack, by index of the rack.
	racks [][]int
}

// pool returns the workers that accept new tasks and match.
func (d *decider) pool(matches func(*Worker) bool) pool {
	p := pool{racks: make([][]int, len(d.rackIndex)), workers: make([]int, 0, len(d.view.Workers))}
	for i := range d.view.Workers {
		if w := &d.view.Workers[i]; w.AcceptsTasks && !w.Trust.Excluded && matches(w) {
			p.workers = append(p.workers, i)
			p.racks[d.workerRack[i]] = append(p.racks[d.workerRack[i]], i)
		}
	}
	return p
}

// workersOnRack returns the workers of the pool that are on the rack.
func (d *decider) workersOnRack(in pool, rack string) []int {
	if n, ok := d.rackIndex[rack]; ok {
		return in.racks[n]
	}
	return nil
}

// maxBlockedHolds is the number of blocked gangs for which room is held at a time.
// More would leave too much capacity idle.
const maxBlockedHolds = 2

// placeGroup starts the tasks of a group that fit. A gang starts whole or not at
// all.
func (d *decider) placeGroup(position int) {
	g := &d.view.Groups[position]
	if g.Priority > 0 && !d.leavesReserve(g) {
		return
	}
	d.sparesReserved = d.keepsReserved(g)
	d.liftHolds(g)
	defer d.restoreHolds()
	slots, waiting := d.chooseWorkers(position)
	if slots == nil {
		switch {
		case waiting, g.Guaranteed && d.waitsForTrust(g, d.accepting), d.waitsForAdvice(g, d.accepting):
		case g.Guaranteed:
			d.reclaim(position)
		case g.Gang && d.blockedHolds < maxBlockedHolds && g.tier(d.view.Now) != tierExpired:
			d.blockedHolds++
			d.holdForBlocked(g.approved())
		}
		d.requestAdvice(position, nil)
		return
	}
	d.recordSeparation(position, slots)
	for i, w := range slots {
		if i > 0 && g.Priority > 0 && !g.Gang && !d.leavesReserve(g) {
			return
		}
		d.free[w] = d.free[w].Minus(g.Need)
		d.countStart(w)
		d.result.Starts = append(d.result.Starts, Start{Group: position, Index: g.Indexes[i], Worker: w})
	}
	d.requestAdvice(position, slots)
}

// chooseWorkers returns the workers on which the tasks of a group start, or
// reports that the group waits for capacity that is being freed.
func (d *decider) chooseWorkers(position int) (slots []int, waiting bool) {
	g := &d.view.Groups[position]
	if d.reservationFree(g) {
		return g.ReservedWorkers, false
	}
	if g.Priority == 0 {
		if slots, waiting = d.placeUrgent(position); slots != nil || waiting {
			return slots, waiting
		}
	}
	return d.findWorkers(g, d.accepting), false
}

// reservationFree reports whether the group fits on its reserved workers now.
func (d *decider) reservationFree(g *Group) bool {
	if len(g.ReservedWorkers) != len(g.Indexes) {
		return false
	}
	need := map[int]batch.Resources{}
	for _, w := range g.ReservedWorkers {
		need[w] = need[w].Plus(g.Need)
	}
	for w, n := range need {
		if worker := &d.view.Workers[w]; !worker.AcceptsTasks || !g.accepts(worker) || !n.Fits(d.free[w]) || d.trustedSlots(g, w) < reservedTasks(g, w) {
			return false
		}
	}
	return true
}

// maxReserveShare limits the reserve to a share of the accelerators of the
// workers that accept new tasks, so that expected work does not keep more of
// them idle than waiting work could use.
const maxReserveShare = 0.5

// cappedReserve returns the reserve, limited to maxReserveShare. Even when a
// backlog of urgent work needs more than all workers have, the work that waits
// behind it still gets most of the capacity.
func (d *decider) cappedReserve() int64 {
	total := int64(0)
	for _, w := range d.accepting.workers {
		total += d.view.Workers[w].Capacity.Accelerators
	}
	return min(d.view.Reserve, int64(maxReserveShare*float64(total)))
}

// leavesReserve reports whether the group can start without using the reserve,
// which exists because urgent work comes in bursts and cannot wait for other
// runs to be stopped. Unless the group is a gang, it is enough that one task
// fits.
func (d *decider) leavesReserve(g *Group) bool {
	if d.reserve <= 0 || d.mayRelaxPlacement(g) {
		return true
	}
	free := int64(0)
	for _, w := range d.accepting.workers {
		free += max(d.free[w].Accelerators, 0)
	}
	need := g.Need.Accelerators
	if g.Gang {
		need = g.totalNeed().Accelerators
	}
	return free-need >= d.reserve
}

// findWorkers returns a worker of the pool for each task of a gang, or for as
// many tasks of another group as fit. It returns nil if nothing can start.
func (d *decider) findWorkers(g *Group, from pool) []int {
	if workersOnRack := d.workersOnRack(from, g.Rack); g.Rack != "" && len(workersOnRack) > 0 && d.fitsWhenEmpty(g, workersOnRack) {
		if slots := d.fill(g, workersOnRack); slots != nil || !d.mayRelaxPlacement(g) {
			return slots
		}
	}
	if !g.Gang || !g.Adjacent {
		return d.fill(g, from.workers)
	}
	var best []int
	var least rackScore
	possible := false
	for _, workers := range from.racks {
		possible = possible || d.fitsWhenEmpty(g, workers)
		slots := d.fill(g, workers)
		if slots == nil {
			continue
		}
		if s := d.scoreRack(g, workers, slots); best == nil || s.less(least) {
			best, least = slots, s
		}
	}
	if best != nil || possible && !d.mayRelaxPlacement(g) {
		return best
	}
	return d.fill(g, from.workers)
}
