// Package assignment decides which waiting tasks start on which workers. It
// is a pure function of the view passed to it.
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
	// Capacity is all that the worker has, Free what is not in use.
	Capacity batch.Resources
	Free     batch.Resources
	// Speed is relative to a typical worker, which has 1.
	Speed float64
	// Known is set if the speed has been learned.
	Known bool
	// Open is set if the worker takes new work.
	Open bool
}

// has reports whether the worker has a label; every worker has the empty one.
func (w *Worker) has(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Group is the waiting tasks of one step.
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
	// Allowed are the only workers that may run the tasks, if it is not nil.
	Allowed map[string]bool
	// Rack is where the data is, if it is not empty.
	Rack string
	// MaxPerWorker is the largest number of the step's tasks on one worker, or 0;
	// Beside counts those that are there already.
	MaxPerWorker     int
	RunningPerWorker map[string]int

	Service  string
	Priority int
	Accepted time.Time
	// Since is when the tasks became ready to start.
	Since time.Time
	// Objective is when the job should be done to count in full.
	Objective time.Time
	// Length is the expected time from the start of these tasks to the end of
	// the job.
	Length time.Duration
	// Guaranteed is set if the team's guarantee covers the tasks.
	Guaranteed bool
	// NeverStarted is set if no run of the job has started yet.
	NeverStarted bool
	// Idle is set if no run of the job is in progress.
	Idle bool
	// ReservedWorkers are the workers, by position in the view, on which room is being
	// made for the tasks.
	ReservedWorkers []int
}

// total returns what all tasks of the group need.
func (g *Group) total() batch.Resources { return g.Need.Times(len(g.Indexes)) }

// Start places one task.
type Start struct {
	// Group and Worker are positions in the view.
	Group  int
	Index  int
	Worker int
}

// Running is a run, or all members of a running gang, that can be stopped.
type Running struct {
	Job      string
	Priority int
	// Borrowed is set if the run is not covered by its team's guarantee.
	Borrowed bool
	// LostWork is the work that stopping would lose, in core-seconds.
	LostWork float64
	// EndsSoon is set if the run ends by itself about as soon as it could be
	// stopped.
	EndsSoon    bool
	Allocations []Allocation
}

// Allocation is what a run occupies on a worker.
type Allocation struct {
	// Worker is a position in the view.
	Worker int
	Need   batch.Resources
}

// View is what a decision depends on.
type View struct {
	Now     time.Time
	Workers []Worker
	Groups  []Group
	Running []Running
	// Reserve is the number of accelerators to keep free for urgent work that
	// is expected.
	Reserve int64
}

// Reservation keeps room on workers for a group until the stopped runs have ended.
type Reservation struct {
	// Group is a position in the view, and so are the Seats.
	Group   int
	Workers []int
}

// Decision is what to do. Stops are positions in View.Running.
type Decision struct {
	Starts       []Start
	Stops        []int
	Reservations []Reservation
}

// Decide places waiting tasks in the order of rank. It answers a load of gangs
// of very different sizes and priorities on workers that are mostly full: a
// small job starts past a large one that does not fit, and a guaranteed job
// that does not fit takes the room of others.
func Decide(v View) Decision {
	v.Running = slices.Clone(v.Running)
	d := &decider{view: v, free: make([]batch.Resources, len(v.Workers))}
	for i := range v.Workers {
		d.free[i] = v.Workers[i].Free
	}
	d.numberRacks()
	d.all = d.pool(func(*Worker) bool { return true })
	d.reserve = d.reserved()
	order := rank(v)
	for _, g := range order {
		d.place(g)
	}
	return d.result
}

// decider holds the state of one decision.
type decider struct {
	view View
	free []batch.Resources
	// all are the open workers.
	all pool
	// reserve is the number of accelerators that less urgent work leaves free.
	reserve int64
	// rackAt is the position of each rack, rack that of each worker's rack.
	rackAt map[string]int
	rack   []int
	// sums and found are space for fill.
	sums  []int64
	found []candidate
	// victims lists the runs that may be stopped on each worker.
	victims map[victim]map[int][]int
	// saved counts the blocked groups for which room is kept.
	saved  int
	result Decision
}

// numberRacks gives each rack a position, in the order of their names.
func (d *decider) numberRacks() {
	d.rackAt = map[string]int{}
	for i := range d.view.Workers {
		d.rackAt[d.view.Workers[i].Rack] = 0
	}
	for i, name := range slices.Sorted(maps.Keys(d.rackAt)) {
		d.rackAt[name] = i
	}
	d.rack = make([]int, len(d.view.Workers))
	for i := range d.view.Workers {
		d.rack[i] = d.rackAt[d.view.Workers[i].Rack]
	}
	d.sums = make([]int64, len(d.rackAt))
}

// pool is a set of open workers, by position in the view.
type pool struct {
	workers []int
	// racks lists the workers of each rack, by position of the rack.
	racks [][]int
}

// pool returns the open workers that pass a test.
func (d *decider) pool(test func(*Worker) bool) pool {
	p := pool{racks: make([][]int, len(d.rackAt)), workers: make([]int, 0, len(d.view.Workers))}
	for i := range d.view.Workers {
		if w := &d.view.Workers[i]; w.Open && test(w) {
			p.workers = append(p.workers, i)
			p.racks[d.rack[i]] = append(p.racks[d.rack[i]], i)
		}
	}
	return p
}

// near returns the workers of a pool on a rack.
func (d *decider) near(in pool, rack string) []int {
	if n, ok := d.rackAt[rack]; ok {
		return in.racks[n]
	}
	return nil
}

// savedGroups is the number of blocked gangs for which room is kept at a time;
// more would leave too much of it idle.
const savedGroups = 2

// place starts the tasks of a group, or nothing of a gang that does not fit.
func (d *decider) place(position int) {
	g := &d.view.Groups[position]
	if g.Priority > 0 && !d.spare(g) {
		return
	}
	seats, waits := d.choose(position)
	if seats == nil {
		switch {
		case waits:
		case g.Guaranteed:
			d.reclaim(position)
		case g.Gang && d.saved < savedGroups && g.tier(d.view.Now) != tierHopeless:
			d.saved++
			d.save(g)
		}
		return
	}
	for i, w := range seats {
		if i > 0 && g.Priority > 0 && !g.Gang && !d.spare(g) {
			return
		}
		d.free[w] = d.free[w].Minus(g.Need)
		d.result.Starts = append(d.result.Starts, Start{Group: position, Index: g.Indexes[i], Worker: w})
	}
}

// choose returns where the tasks of a group start, or that they wait for room
// that is being made.
func (d *decider) choose(position int) (seats []int, waits bool) {
	g := &d.view.Groups[position]
	if d.freed(g) {
		return g.ReservedWorkers, false
	}
	if g.Priority == 0 {
		if seats, waits = d.hurry(position); seats != nil || waits {
			return seats, waits
		}
	}
	return d.find(g, d.all), false
}

// freed reports whether the room that was being made for the group is there.
func (d *decider) freed(g *Group) bool {
	if len(g.ReservedWorkers) != len(g.Indexes) {
		return false
	}
	need := map[int]batch.Resources{}
	for _, w := range g.ReservedWorkers {
		need[w] = need[w].Plus(g.Need)
	}
	for w, n := range need {
		if !d.view.Workers[w].Open || !n.Fits(d.free[w]) {
			return false
		}
	}
	return true
}

// reserveShare is the largest part of the open workers' accelerators that is
// kept free: work that is expected must not keep more idle than the work that
// waits could use.
const reserveShare = 0.5

// reserved returns the reserve of this decision. It answers a backlog of urgent
// work that needs more than all workers have: the work that waits behind it
// still gets most of the room.
func (d *decider) reserved() int64 {
	all := int64(0)
	for _, w := range d.all.workers {
		all += d.view.Workers[w].Capacity.Accelerators
	}
	return min(d.view.Reserve, int64(reserveShare*float64(all)))
}

// spare reports whether the group leaves the reserve free. Urgent work comes
// in bursts and cannot wait for others to be stopped. Of a group that can
// start in parts, one task must fit.
func (d *decider) spare(g *Group) bool {
	if d.reserve <= 0 || d.overdue(g) {
		return true
	}
	free := int64(0)
	for _, w := range d.all.workers {
		free += max(d.free[w].Accelerators, 0)
	}
	need := g.Need.Accelerators
	if g.Gang {
		need = g.total().Accelerators
	}
	return free-need >= d.reserve
}

// overdueAfter is how long tasks wait for the best place while there is plenty
// of room elsewhere.
const overdueAfter = 1500 * time.Millisecond

// overdue reports whether the tasks should no longer wait for a better place:
// less than half of the service's capacity is in use, and they fit twice. Of a
// job of which nothing runs one task is enough, if they can start one by one;
// more of them would be stopped again for the work that is expected.
func (d *decider) overdue(g *Group) bool {
	if d.view.Now.Sub(g.Since) < overdueAfter {
		return false
	}
	var free, all batch.Resources
	for _, i := range d.all.workers {
		if w := &d.view.Workers[i]; w.Service == g.Service {
			free, all = free.Plus(d.free[i]), all.Plus(w.Capacity)
		}
	}
	tasks, need := len(g.Indexes), g.total()
	if g.Idle && !g.Gang {
		tasks, need = 1, g.Need
	}
	half := batch.Resources{MilliCPU: all.MilliCPU / 2, MemoryMB: all.MemoryMB / 2, Accelerators: all.Accelerators / 2}
	return half.Fits(free) && d.room(g, d.all.workers) >= tasks && need.Times(2).Fits(free)
}

// find returns a worker of the pool for each task of a gang, for as many tasks
// as fit of other groups, or nil.
func (d *decider) find(g *Group, from pool) []int {
	if near := d.near(from, g.Rack); g.Rack != "" && len(near) > 0 && d.holds(g, near) {
		if seats := d.fill(g, near); seats != nil || !d.overdue(g) {
			return seats
		}
	}
	if !g.Gang || !g.Adjacent {
		return d.fill(g, from.workers)
	}
	var best []int
	var least rackScore
	possible := false
	for _, workers := range from.racks {
		possible = possible || d.holds(g, workers)
		seats := d.fill(g, workers)
		if seats == nil {
			continue
		}
		if s := d.score(g, workers, seats); best == nil || s.less(least) {
			best, least = seats, s
		}
	}
	if best != nil || possible && !d.overdue(g) {
		return best
	}
	return d.fill(g, from.workers)
}
