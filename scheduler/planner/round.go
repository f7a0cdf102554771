package planner

import (
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
)

// round is the working state of one call of Decide. Its racks reflect the
// decisions made so far in the round.
type round struct {
	Options
	in     Input
	result Result
	// racks have the held accelerators taken from their free ones.
	racks []gang.Rack
	// index holds the position of each rack by name.
	index map[string]int
	// running holds the running work by rack.
	running [][]Running
	// unused holds the cells of each rack that no work uses and no job awaits.
	unused [][]guarantee.Cell
	// held are the jobs with a hold.
	held map[string]bool
	// full are requests for which there was no room in this round. Room only
	// shrinks during a round.
	full    map[gang.Request]bool
	checked map[need]*queue.RefusedError
	drains  int
	tries   int
}

// need is what decides whether a job can ever run.
type need struct {
	team  string
	shape gang.Shape
	fixed bool
}

func newRound(o Options, in Input) *round {
	r := &round{
		Options: o, in: in,
		racks:   make([]gang.Rack, len(in.Racks)),
		index:   make(map[string]int, len(in.Racks)),
		running: make([][]Running, len(in.Racks)),
		unused:  make([][]guarantee.Cell, len(in.Racks)),
		held:    map[string]bool{},
		full:    map[gang.Request]bool{},
		checked: map[need]*queue.RefusedError{},
	}
	for i, rack := range in.Racks {
		r.racks[i] = rack
		r.index[rack.Name()] = i
	}
	counts := make([]int, len(in.Racks))
	for i := range in.Running {
		if k, ok := r.index[in.Running[i].Rack]; ok {
			counts[k]++
		}
	}
	for i, n := range counts {
		r.running[i] = make([]Running, 0, n)
	}
	for i := range in.Running {
		if k, ok := r.index[in.Running[i].Rack]; ok {
			r.running[k] = append(r.running[k], in.Running[i])
		}
	}
	for i := range r.racks {
		r.restrict(i)
		works := r.works(i)
		for k, kind := range in.Plan.Classify(r.racks[i].Name(), works) {
			r.running[i][k].guaranteed = kind == guarantee.KindGuaranteed
		}
		r.unused[i] = in.Plan.Unused(r.racks[i].Name(), works)
		r.racks[i] = promise(r.racks[i], r.unused[i])
	}
	return r
}

// promise returns the rack with the guaranteed accelerators of the cells.
func promise(rack gang.Rack, cells []guarantee.Cell) gang.Rack {
	var promised [gang.MaxAccelerators]int
	for _, c := range cells {
		for s := c.Workers; s != 0; s = s.Rest() {
			promised[s.First()] += c.Shape.Accelerators
		}
	}
	return rack.WithPromises(promised)
}

// works returns the running work of a rack.
func (r *round) works(rack int) []guarantee.Work {
	works := make([]guarantee.Work, len(r.running[rack]))
	for i := range r.running[rack] {
		works[i] = r.running[rack][i].Work
	}
	return works
}

// restrict takes workers down that quarantine does not allow another task.
func (r *round) restrict(rack int) {
	if r.in.Quarantine == nil {
		return
	}
	var down gang.Set
	for i := range r.racks[rack].Len() {
		name := r.racks[rack].Worker(i).Name
		if r.in.Quarantine.WorkerState(name, r.in.Now) == quarantine.StateHealthy {
			continue
		}
		if !r.in.Quarantine.Allows(name, r.tasks(rack, i), r.in.Now) {
			down = down.With(i)
		}
	}
	if down != 0 {
		r.racks[rack] = r.racks[rack].WithDown(down, true)
	}
}

// tasks returns the number of tasks on a worker.
func (r *round) tasks(rack, worker int) int {
	n := 0
	for i := range r.running[rack] {
		if r.running[rack][i].Workers.Has(worker) {
			n++
		}
	}
	return n
}

// schedule goes through the pending jobs in order. A job that cannot start
// passes its whole bucket, so the cost of a round depends on the number of
// buckets and starts and not on the number of jobs.
func (r *round) schedule() {
	order := r.in.Pending.Iterator(r.in.Estimator, r.in.Now)
	for len(r.result.Starts) < r.MaxStarts {
		j, ok := order.Peek()
		if !ok {
			return
		}
		switch {
		case r.held[j.ID] || r.refused(j) || r.start(j):
			order.Advance()
		case r.makeRoom(j):
			order.Advance()
		default:
			order.SkipBucket()
		}
	}
}

// refused refuses a job that can never run.
func (r *round) refused(j queue.Job) bool {
	e := r.check(j)
	if e == nil {
		return false
	}
	own := *e
	own.Job = j.ID
	r.result.Refusals = append(r.result.Refusals, Refusal{Job: j, Error: &own})
	return true
}

func (r *round) check(j queue.Job) *queue.RefusedError {
	if r.in.Quarantine != nil && r.in.Quarantine.Faulty(j.ID) {
		return &queue.RefusedError{Reason: queue.ReasonFailing, Shape: j.Shape}
	}
	if !j.Deadline.IsZero() && !j.Deadline.After(r.in.Now) {
		return &queue.RefusedError{Reason: queue.ReasonDeadline, Shape: j.Shape}
	}
	k := need{j.Team, j.Shape, j.NonPreemptible}
	e, ok := r.checked[k]
	if !ok {
		j.Deadline = time.Time{}
		e = refuse(j, r.in.Racks, r.in.Plan, r.in.Now)
		r.checked[k] = e
	}
	return e
}

// start starts the job on free workers: in its team's cell, anywhere, or as
// backfill on held workers.
func (r *round) start(j queue.Job) bool {
	racks := r.racks
	if len(j.Avoid) > 0 {
		racks = r.avoiding(j.Avoid)
	}
	if rack, c, ok := r.freeCell(racks, j); ok {
		r.begin(j, rack, c.Workers)
		return true
	}
	req := gang.Request{Shape: j.Shape, Spare: j.NonPreemptible}
	if !r.full[req] {
		if p, ok := gang.Place(racks, req, r.Weights); ok {
			r.begin(j, p.Rack, p.Workers)
			return true
		}
		r.full[req] = len(j.Avoid) == 0
	}
	return r.backfill(j)
}

// avoiding returns the racks without the named workers.
func (r *round) avoiding(names []string) []gang.Rack {
	racks := append([]gang.Rack{}, r.racks...)
	for i := range racks {
		for _, n := range names {
			if s, ok := racks[i].Set(n); ok {
				racks[i] = racks[i].WithDown(s, true)
			}
		}
	}
	return racks
}

// freeCell returns the fastest unused cell of the job's team and shape whose
// workers are free.
func (r *round) freeCell(racks []gang.Rack, j queue.Job) (int, guarantee.Cell, bool) {
	best := 0.0
	var rack int
	var cell guarantee.Cell
	for _, c := range r.in.Plan.OfTeam(j.Team) {
		i, ok := r.index[c.Rack]
		if !ok || c.Shape != j.Shape || !r.isUnused(i, c) || !racks[i].Holds(c.Workers, c.Shape.Accelerators) {
			continue
		}
		if s := racks[i].Speed(c.Workers); s > best {
			best, rack, cell = s, i, c
		}
	}
	return rack, cell, best > 0
}

func (r *round) isUnused(rack int, c guarantee.Cell) bool {
	for _, u := range r.unused[rack] {
		if u == c {
			return true
		}
	}
	return false
}

// begin decides a start and updates the working state.
func (r *round) begin(j queue.Job, rack int, workers gang.Set) {
	w := guarantee.Work{Job: j.ID, Team: j.Team, Rack: r.racks[rack].Name(), Shape: j.Shape, Workers: workers, Started: r.in.Now, NonPreemptible: j.NonPreemptible}
	kind := guarantee.KindBorrowed
	for i, c := range r.unused[rack] {
		if c.Matches(w) {
			kind = guarantee.KindGuaranteed
			r.use(rack, i)
			break
		}
	}
	r.result.Starts = append(r.result.Starts, Start{Job: j, Rack: w.Rack, Workers: r.racks[rack].Names(workers), Kind: kind})
	r.racks[rack] = r.racks[rack].WithUse(workers, j.Shape.Accelerators)
	r.running[rack] = append(r.running[rack], Running{Work: w, Request: j, guaranteed: kind == guarantee.KindGuaranteed})
	r.restrict(rack)
}

// use takes a cell from the unused ones.
func (r *round) use(rack, cell int) {
	c := r.unused[rack][cell]
	r.racks[rack] = r.racks[rack].WithGuaranteed(c.Workers, -c.Shape.Accelerators)
	rest := make([]guarantee.Cell, 0, len(r.unused[rack])-1)
	rest = append(rest, r.unused[rack][:cell]...)
	r.unused[rack] = append(rest, r.unused[rack][cell+1:]...)
}
