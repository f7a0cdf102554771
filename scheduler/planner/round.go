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
	input  Input
	result Result
	// racks count reserved accelerators as used.
	racks []gang.Rack
	// rackIndex maps the name of each rack to its position.
	rackIndex map[string]int
	// running holds the running work by rack.
	running [][]Running
	// unusedCells holds the cells of each rack that no work uses and no reservation
	// covers.
	unusedCells [][]guarantee.Cell
	// reserved holds the jobs whose reservations come from the previous round or
	// were made in this one.
	reserved map[string]bool
	// unplaceable holds the requests that did not fit in this round. They are not
	// tried again, since the free capacity of a round only shrinks unless
	// reservations are dropped.
	unplaceable    map[gang.Request]bool
	refusalCache   map[refusalKey]*queue.RefusedError
	drainCount     int
	weightAttempts int
}

// refusalKey holds the attributes that decide whether a job can ever run.
type refusalKey struct {
	team           string
	shape          gang.Shape
	nonPreemptible bool
}

func newRound(o Options, in Input) *round {
	r := &round{
		Options: o, input: in,
		racks:        make([]gang.Rack, len(in.Racks)),
		rackIndex:    make(map[string]int, len(in.Racks)),
		running:      make([][]Running, len(in.Racks)),
		unusedCells:  make([][]guarantee.Cell, len(in.Racks)),
		reserved:     map[string]bool{},
		unplaceable:  map[gang.Request]bool{},
		refusalCache: map[refusalKey]*queue.RefusedError{},
	}
	for i, rack := range in.Racks {
		r.racks[i] = rack
		r.rackIndex[rack.Name()] = i
	}
	counts := make([]int, len(in.Racks))
	for i := range in.Running {
		if k, ok := r.rackIndex[in.Running[i].Rack]; ok {
			counts[k]++
		}
	}
	for i, n := range counts {
		r.running[i] = make([]Running, 0, n)
	}
	for i := range in.Running {
		if k, ok := r.rackIndex[in.Running[i].Rack]; ok {
			r.running[k] = append(r.running[k], in.Running[i])
		}
	}
	for i := range r.racks {
		r.applyQuarantine(i)
		work := r.work(i)
		for k, kind := range in.Plan.Classify(r.racks[i].Name(), work) {
			r.running[i][k].guaranteed = kind == guarantee.KindGuaranteed
		}
		r.unusedCells[i] = in.Plan.Unused(r.racks[i].Name(), work)
		r.racks[i] = withGuaranteedCells(r.racks[i], r.unusedCells[i])
	}
	return r
}

// withGuaranteedCells returns the rack with the accelerators of the cells marked as
// guaranteed.
func withGuaranteedCells(rack gang.Rack, cells []guarantee.Cell) gang.Rack {
	var guaranteed [gang.MaxAccelerators]int
	for _, c := range cells {
		for s := c.Workers; s != 0; s = s.Rest() {
			guaranteed[s.First()] += c.Shape.Accelerators
		}
	}
	return rack.WithGuaranteedPerWorker(guaranteed)
}

// work returns the running work of a rack.
func (r *round) work(rack int) []guarantee.Work {
	work := make([]guarantee.Work, len(r.running[rack]))
	for i := range r.running[rack] {
		work[i] = r.running[rack][i].Work
	}
	return work
}

// applyQuarantine marks the workers as down that must not get another task because
// of quarantine.
func (r *round) applyQuarantine(rack int) {
	if r.input.Quarantine == nil {
		return
	}
	var down gang.Set
	for i := range r.racks[rack].Len() {
		name := r.racks[rack].Worker(i).Name
		if r.input.Quarantine.WorkerState(name, r.input.Now) == quarantine.StateHealthy {
			continue
		}
		if !r.input.Quarantine.Allows(name, r.taskCount(rack, i), r.input.Now) {
			down = down.With(i)
		}
	}
	if down != 0 {
		r.racks[rack] = r.racks[rack].WithDown(down, true)
	}
}

// taskCount returns the number of tasks on a worker.
func (r *round) taskCount(rack, worker int) int {
	n := 0
	for i := range r.running[rack] {
		if r.running[rack][i].Workers.Has(worker) {
			n++
		}
	}
	return n
}

// schedule handles the pending jobs in order. If a job cannot start, its whole
// bucket is skipped, so the cost of a round depends on the number of buckets and
// starts and not on the number of jobs.
func (r *round) schedule() {
	order := r.input.Pending.Iterator(r.input.Estimator, r.input.Now)
	for len(r.result.Starts) < r.MaxStarts {
		j, ok := order.Peek()
		if !ok {
			return
		}
		switch {
		case r.reserved[j.ID] || r.tryRefuse(j) || r.tryStart(j):
			order.Advance()
		case r.preemptOrDrain(j):
			order.Advance()
		default:
			order.SkipBucket()
		}
	}
}

// tryRefuse refuses the job if it can never run and reports whether it did.
func (r *round) tryRefuse(j queue.Job) bool {
	e := r.refusalFor(j)
	if e == nil {
		return false
	}
	refusal := *e
	refusal.Job = j.ID
	r.result.Refusals = append(r.result.Refusals, Refusal{Job: j, Error: &refusal})
	return true
}

func (r *round) refusalFor(j queue.Job) *queue.RefusedError {
	if r.input.Quarantine != nil && r.input.Quarantine.Faulty(j.ID) {
		return &queue.RefusedError{Reason: queue.ReasonFailing, Shape: j.Shape}
	}
	if !j.Deadline.IsZero() && !j.Deadline.After(r.input.Now) {
		return &queue.RefusedError{Reason: queue.ReasonDeadline, Shape: j.Shape}
	}
	k := refusalKey{j.Team, j.Shape, j.NonPreemptible}
	e, ok := r.refusalCache[k]
	if !ok {
		j.Deadline = time.Time{}
		e = refuse(j, r.input.Racks, r.input.Plan, r.input.Now)
		r.refusalCache[k] = e
	}
	return e
}

// tryStart starts the job if it fits on an unused cell of its team, on any free
// workers, or as backfill on reserved workers. It reports whether it did.
func (r *round) tryStart(j queue.Job) bool {
	racks := r.racks
	if len(j.AvoidWorkers) > 0 {
		racks = r.racksWithout(j.AvoidWorkers)
	}
	if rack, c, ok := r.fastestFreeCell(racks, j); ok {
		r.startOn(j, rack, c.Workers)
		return true
	}
	req := gang.Request{Shape: j.Shape, Spare: j.NonPreemptible}
	if !r.unplaceable[req] {
		if p, ok := gang.Place(racks, req, r.Weights); ok {
			r.startOn(j, p.Rack, p.Workers)
			return true
		}
		r.unplaceable[req] = len(j.AvoidWorkers) == 0
	}
	return r.backfill(j)
}

// racksWithout returns the racks with the named workers marked as down.
func (r *round) racksWithout(names []string) []gang.Rack {
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

// fastestFreeCell returns the fastest unused cell of the job's team and shape
// whose workers are free.
func (r *round) fastestFreeCell(racks []gang.Rack, j queue.Job) (int, guarantee.Cell, bool) {
	best := 0.0
	var rack int
	var cell guarantee.Cell
	for _, c := range r.input.Plan.OfTeam(j.Team) {
		i, ok := r.rackIndex[c.Rack]
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
	for _, u := range r.unusedCells[rack] {
		if u == c {
			return true
		}
	}
	return false
}

// startOn adds a start to the result and updates the working state.
func (r *round) startOn(j queue.Job, rack int, workers gang.Set) {
	w := guarantee.Work{Job: j.ID, Team: j.Team, Rack: r.racks[rack].Name(), Shape: j.Shape, Workers: workers, Started: r.input.Now, NonPreemptible: j.NonPreemptible}
	kind := guarantee.KindBorrowed
	for i, c := range r.unusedCells[rack] {
		if c.Matches(w) {
			kind = guarantee.KindGuaranteed
			r.useCell(rack, i)
			break
		}
	}
	r.result.Starts = append(r.result.Starts, Start{Job: j, Rack: w.Rack, Workers: r.racks[rack].Names(workers), Kind: kind})
	r.racks[rack] = r.racks[rack].WithUse(workers, j.Shape.Accelerators)
	r.running[rack] = append(r.running[rack], Running{Work: w, Request: j, guaranteed: kind == guarantee.KindGuaranteed})
	r.applyQuarantine(rack)
}

// useCell removes a cell from the unused ones.
func (r *round) useCell(rack, cell int) {
	c := r.unusedCells[rack][cell]
	r.racks[rack] = r.racks[rack].WithGuaranteed(c.Workers, -c.Shape.Accelerators)
	rest := make([]guarantee.Cell, 0, len(r.unusedCells[rack])-1)
	rest = append(rest, r.unusedCells[rack][:cell]...)
	r.unusedCells[rack] = append(rest, r.unusedCells[rack][cell+1:]...)
}
