// Package assignment decides which waiting tasks start on which workers. It
// is a pure function of the view passed to it.
package assignment

import (
	"cmp"
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
	// Rack is where the data is, if it is not empty.
	Rack string
	// Spread is the largest number of the step's tasks on one worker, or 0;
	// Beside counts those that are there already.
	Spread int
	Beside map[string]int

	Team     string
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
	// Reclaim is set if the team's guarantee covers the tasks.
	Reclaim bool
	// Fresh is set if no run of the job has started yet.
	Fresh bool
	// Seats are the workers, by position in the view, on which room is being
	// made for the tasks.
	Seats []int
	// Worth ranks jobs of one priority by what they are worth to their team for
	// the capacity they use.
	Worth float64
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
	// Loss is the work that stopping would lose, in core-seconds.
	Loss float64
	// Soon is set if the run ends by itself about as soon as it could be
	// stopped.
	Soon bool
	Room []Room
}

// Room is what a run occupies on a worker.
type Room struct {
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

// Hold keeps room on workers for a group until the stopped runs have ended.
type Hold struct {
	// Group is a position in the view, and so are the Seats.
	Group int
	Seats []int
}

// Decision is what to do. Stops are positions in View.Running.
type Decision struct {
	Starts []Start
	Stops  []int
	Holds  []Hold
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
	d.byRack()
	order := rank(v)
	for _, g := range order {
		d.place(g)
	}
	return d.result
}

// Tiers of groups.
const (
	// tierOnTime can still meet the objective, tierLate can still be useful,
	// tierHopeless is too late to be useful.
	tierOnTime = iota
	tierLate
	tierHopeless
)

// lateFactor is how many times the objective a late result is still useful, by
// the users' accounting.
const lateFactor = 3

func (g *Group) tier(now time.Time) int {
	end := now.Add(g.Length)
	allowed := g.Objective.Sub(g.Accepted)
	switch {
	case !end.After(g.Objective):
		return tierOnTime
	case !end.After(g.Accepted.Add(lateFactor * allowed)):
		return tierLate
	}
	return tierHopeless
}

// rank returns the positions of the groups, most urgent first.
func rank(v View) []int {
	order := make([]int, len(v.Groups))
	tiers := make([]int, len(v.Groups))
	for i := range order {
		order[i] = i
		tiers[i] = v.Groups[i].tier(v.Now)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &v.Groups[a], &v.Groups[b]
		return cmp.Or(
			-compareBool(x.Reclaim, y.Reclaim),
			compareReclaim(x, y),
			compareBool(tiers[a] == tierHopeless, tiers[b] == tierHopeless),
			cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(tiers[a], tiers[b]),
			x.Accepted.Compare(y.Accepted),
			cmp.Compare(x.Job, y.Job),
		)
	})
	return order
}

// compareReclaim orders guaranteed groups: those for which room is being made,
// so that no other takes it, and then by age.
func compareReclaim(x, y *Group) int {
	if !x.Reclaim || !y.Reclaim {
		return 0
	}
	return cmp.Or(-compareBool(x.Seats != nil, y.Seats != nil), x.Accepted.Compare(y.Accepted))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// decider holds the state of one decision.
type decider struct {
	view View
	free []batch.Resources
	// racks lists the open workers of each rack, names in order.
	racks map[string][]int
	names []string
	open  []int
	// anyVictim lets runs be stopped that guarantees cover.
	anyVictim bool
	// victimsOf lists the runs that may be stopped on each worker.
	victimsOf map[int][]int
	// saved counts the blocked groups for which room is kept.
	saved  int
	result Decision
}

func (d *decider) byRack() {
	d.racks = map[string][]int{}
	for i := range d.view.Workers {
		w := &d.view.Workers[i]
		if !w.Open {
			continue
		}
		if d.racks[w.Rack] == nil {
			d.names = append(d.names, w.Rack)
		}
		d.racks[w.Rack] = append(d.racks[w.Rack], i)
		d.open = append(d.open, i)
	}
	slices.Sort(d.names)
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
	seats := d.find(g)
	if seats == nil && d.freed(g) {
		seats = g.Seats
	}
	if seats == nil {
		switch {
		case g.Reclaim:
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

// freed reports whether the room that was being made for the group is there.
func (d *decider) freed(g *Group) bool {
	if len(g.Seats) != len(g.Indexes) {
		return false
	}
	need := map[int]batch.Resources{}
	for _, w := range g.Seats {
		need[w] = need[w].Plus(g.Need)
	}
	for w, n := range need {
		if !d.view.Workers[w].Open || !n.Fits(d.free[w]) {
			return false
		}
	}
	return true
}

// spare reports whether the group leaves the reserve free. Urgent work comes
// in bursts and cannot wait for others to be stopped. Of a group that can
// start in parts, one task must fit.
func (d *decider) spare(g *Group) bool {
	if d.view.Reserve <= 0 || d.overdue(g) {
		return true
	}
	free := int64(0)
	for _, w := range d.open {
		free += max(d.free[w].Accelerators, 0)
	}
	need := g.Need.Accelerators
	if g.Gang {
		need = g.total().Accelerators
	}
	return free-need >= d.view.Reserve
}

// overdueAfter is how long tasks wait for the best place while there is plenty
// of room elsewhere.
const overdueAfter = 1500 * time.Millisecond

// overdue reports whether the tasks should no longer wait for a better place:
// less than half of the service's capacity is in use, and they fit twice.
func (d *decider) overdue(g *Group) bool {
	if d.view.Now.Sub(g.Since) < overdueAfter {
		return false
	}
	var free, all batch.Resources
	for _, i := range d.open {
		if w := &d.view.Workers[i]; w.Service == g.Service {
			free, all = free.Plus(d.free[i]), all.Plus(w.Capacity)
		}
	}
	half := batch.Resources{MilliCPU: all.MilliCPU / 2, MemoryMB: all.MemoryMB / 2, Accelerators: all.Accelerators / 2}
	return half.Fits(free) && d.room(g, d.open) >= len(g.Indexes) && g.total().Times(2).Fits(free)
}

// find returns a worker for each task of a gang, for as many tasks as fit of
// other groups, or nil.
func (d *decider) find(g *Group) []int {
	if g.Rack != "" && len(d.racks[g.Rack]) > 0 && d.holds(g, d.racks[g.Rack]) {
		if seats := d.fill(g, d.racks[g.Rack]); seats != nil || !d.overdue(g) {
			return seats
		}
	}
	if !g.Gang || !g.Adjacent {
		return d.fill(g, d.open)
	}
	var best []int
	var least rackScore
	possible := false
	for _, name := range d.names {
		workers := d.racks[name]
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
	return d.fill(g, d.open)
}

// rackScore compares racks for a gang: first by how far its slowest worker is
// from the speed that the gang should get, then by the room that is left.
type rackScore struct{ speed, room int }

func (s rackScore) less(o rackScore) bool {
	return cmp.Or(cmp.Compare(s.speed, o.speed), cmp.Compare(s.room, o.room)) < 0
}

func (d *decider) score(g *Group, workers, seats []int) rackScore {
	slowest := len(speedSteps)
	for _, w := range seats {
		slowest = min(slowest, d.view.Workers[w].speedClass())
	}
	return rackScore{speed: d.distance(g, slowest), room: d.room(g, workers)}
}

// speedSteps separate the classes of speed.
var speedSteps = [...]float64{0.45, 0.8, 1.25}

// speedClass returns the class of a worker's speed, slow ones first.
func (w *Worker) speedClass() int {
	class := 0
	for _, s := range speedSteps {
		if w.Speed >= s {
			class++
		}
	}
	return class
}

// distance ranks a class of speed for a group, the best first: urgent work
// takes the fast workers; other work leaves them free as long as the slow ones
// are fast enough for its objective.
func (d *decider) distance(g *Group, class int) int {
	fast := len(speedSteps) - class
	if g.Priority == 0 || class == 0 {
		return fast
	}
	// A worker of the class below full speed takes about this much longer.
	const slowFactor = 1.7
	if d.view.Now.Add(time.Duration(slowFactor * float64(g.Length))).After(g.Objective) {
		return fast
	}
	return class
}

// holds reports whether the workers could take the group if they were empty.
func (d *decider) holds(g *Group, workers []int) bool {
	n := 0
	for _, i := range workers {
		n += d.seats(g, i, d.view.Workers[i].Capacity)
	}
	return n >= len(g.Indexes) || !g.Gang && n > 0
}

// room returns how many tasks of the group the workers can take now.
func (d *decider) room(g *Group, workers []int) int {
	n := 0
	for _, i := range workers {
		n += d.seats(g, i, d.free[i])
	}
	return n
}

// seats returns how many tasks of the group fit into free on a worker.
func (d *decider) seats(g *Group, worker int, free batch.Resources) int {
	w := &d.view.Workers[worker]
	if w.Service != g.Service || !w.has(g.Label) {
		return 0
	}
	n := len(g.Indexes)
	if g.Spread > 0 {
		n = min(n, g.Spread-g.Beside[w.ID])
	}
	n = min(n, quotient(free.MilliCPU, g.Need.MilliCPU))
	n = min(n, quotient(free.MemoryMB, g.Need.MemoryMB))
	n = min(n, quotient(free.Accelerators, g.Need.Accelerators))
	return max(n, 0)
}

func quotient(free, need int64) int {
	if need <= 0 {
		return batchLimit
	}
	return int(max(free, 0) / need)
}

// batchLimit is above the number of tasks of any group.
const batchLimit = 1 << 20

// teaches reports whether the group would teach the speed of a worker: several
// tasks that work on their own and are not urgent.
func (d *decider) teaches(g *Group, w *Worker) bool {
	return !w.Known && !g.Gang && g.Priority > 0 && len(g.Indexes) > 1
}

// rackFree returns the free accelerators of the workers by rack.
func (d *decider) rackFree(workers []int) map[string]int64 {
	free := map[string]int64{}
	for _, w := range workers {
		free[d.view.Workers[w].Rack] += d.free[w].Accelerators
	}
	return free
}

// fill takes the workers of the best class of speed that are left with the
// least room, on the racks with the least room, so that whole racks stay free
// for adjacent gangs.
func (d *decider) fill(g *Group, workers []int) []int {
	type candidate struct{ worker, seats int }
	var found []candidate
	total := 0
	for _, i := range workers {
		if n := d.seats(g, i, d.free[i]); n > 0 {
			found = append(found, candidate{i, n})
			total += n
		}
	}
	if total == 0 || g.Gang && total < len(g.Indexes) {
		return nil
	}
	rackFree := d.rackFree(workers)
	slices.SortStableFunc(found, func(a, b candidate) int {
		x, y := &d.view.Workers[a.worker], &d.view.Workers[b.worker]
		return cmp.Or(
			-compareBool(d.teaches(g, x), d.teaches(g, y)),
			cmp.Compare(d.distance(g, x.speedClass()), d.distance(g, y.speedClass())),
			cmp.Compare(rackFree[x.Rack], rackFree[y.Rack]),
			cmp.Compare(d.free[a.worker].Accelerators, d.free[b.worker].Accelerators),
			cmp.Compare(d.free[a.worker].MilliCPU, d.free[b.worker].MilliCPU),
		)
	})
	seats := make([]int, 0, len(g.Indexes))
	for _, c := range found {
		for range min(c.seats, len(g.Indexes)-len(seats)) {
			seats = append(seats, c.worker)
		}
	}
	return seats
}
