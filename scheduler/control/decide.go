package control

import (
	"cmp"
	"fmt"
	"math"
	"runtime/debug"
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
)

// holdTime is how long room is kept for a job for which runs are being
// stopped: the time of a stop and of its notice.
const holdTime = 1200 * time.Millisecond

// view is the view of one decision with what its positions stand for.
type view struct {
	in      assignment.View
	workers []*worker
	index   map[string]int
	jobs    []*job
	runs    [][]*placement
}

// decideSafely decides, or nothing if that fails by a fault of this program:
// leases are still renewed, and what runs goes on. The caller holds the lock.
func (p *Planner) decideSafely(now time.Time) {
	if rest := p.decided.Add(decideGap * p.deciding).Sub(now); rest > 0 {
		time.AfterFunc(rest, p.wake)
		return
	}
	defer func() {
		p.decided = time.Now()
		p.deciding = p.decided.Sub(now)
		if cause := recover(); cause != nil {
			p.meters.faults.Inc()
			if p.meters.faults.Get() == 1 || now.Sub(p.faulted) > faultInterval {
				p.faulted = now
				p.Log.Error(&PanicError{fmt.Sprint(cause)}, "no decision", "stack", string(debug.Stack()))
			}
		}
	}()
	p.decide(now)
}

// decideGap is how many times the duration of a decision passes before the next
// one, so that decisions leave time for calls and leases when there is much to
// decide.
const decideGap = 3

// faultInterval is the time between two lines about decisions that fail.
const faultInterval = 5 * time.Second

// PanicError reports a panic of a decision.
type PanicError struct{ Cause string }

func (e *PanicError) Error() string { return "decision failed: " + e.Cause }

// decide places waiting tasks and stops runs for guaranteed jobs. The caller
// holds the lock.
func (p *Planner) decide(now time.Time) {
	begun := time.Now()
	v := p.view(now)
	d := assignment.Decide(v.in)
	for _, i := range d.Stops {
		for _, pl := range v.runs[i] {
			p.Log.Info("stopping run for urgent work", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID,
				"loss", v.in.Running[i].LostWork)
			p.stop(pl)
		}
	}
	for _, h := range d.Reservations {
		s := seats{until: now.Add(holdTime)}
		for _, w := range h.Workers {
			s.workers = append(s.workers, v.workers[w].info.ID)
		}
		g := &v.in.Groups[h.Group]
		v.jobs[h.Group].seats[stepRef{g.Occurrence, g.Step}] = s
	}
	p.start(v, d.Starts)
	p.logStarts(v, d.Starts)
	p.meters.decide.UpdateDuration(begun)
}

// view collects what a decision depends on.
func (p *Planner) view(now time.Time) *view {
	v := &view{in: assignment.View{Now: now}, index: map[string]int{}}
	p.checkCentres(now)
	for _, w := range p.workers {
		v.workers = append(v.workers, w)
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for i, w := range v.workers {
		v.index[w.info.ID] = i
		v.in.Workers = append(v.in.Workers, assignment.Worker{
			ID: w.info.ID, Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: w.info.Capacity.Minus(w.used), Speed: p.paces.Speed(w.info.ID),
			Known: p.paces.Known(w.info.ID), Open: w.open(now) && !p.centre(w).silent,
		})
	}
	v.in.Reserve = p.demand.reserve(p.urgent())
	live := p.ordered()
	covered := p.covered(live)
	for _, j := range live {
		p.addGroups(v, j, covered[j], now)
	}
	p.addRuns(v, covered, now)
	return v
}

// ordered returns the live jobs in order of acceptance.
func (p *Planner) ordered() []*job {
	live := make([]*job, 0, len(p.live))
	for _, j := range p.live {
		live = append(live, j)
	}
	slices.SortFunc(live, func(a, b *job) int {
		return cmp.Or(a.spec.Accepted.Compare(b.spec.Accepted), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return live
}

// covered returns the jobs that the guarantees of their teams cover: those of
// priority 0, in order of acceptance, that fit into the guarantee together.
func (p *Planner) covered(live []*job) map[*job]bool {
	left := map[string]int64{}
	covered := map[*job]bool{}
	catalogue := p.Config()
	for _, j := range live {
		if j.queue.Priority != 0 {
			continue
		}
		team := j.spec.Team
		if _, ok := left[team]; !ok {
			left[team] = j.guaranteed
			if catalogue != nil {
				left[team] = catalogue.Teams[team].Guaranteed
			}
		}
		need := j.accelerators()
		if need <= left[team] {
			left[team] -= need
			covered[j] = true
		}
	}
	return covered
}

// accelerators returns the largest number that a step of the job needs.
func (j *job) accelerators() int64 {
	most := int64(0)
	for i := range j.spec.Steps {
		most = max(most, j.spec.Steps[i].Need.Times(j.spec.Steps[i].Tasks).Accelerators)
	}
	return most
}

// addGroups adds the waiting tasks of a job.
func (p *Planner) addGroups(v *view, j *job, covered bool, now time.Time) {
	for occurrence := range j.spec.Rounds() {
		due := j.spec.Due(occurrence)
		if due.After(now) {
			break
		}
		for step := range j.spec.Steps {
			s := j.progress.Step(j.spec, occurrence, step)
			if s.Done() || !j.progress.Ready(j.spec, occurrence, step) {
				continue
			}
			waiting := waitingTasks(s)
			if len(waiting) == 0 || j.spec.Steps[step].Gang && len(waiting) < len(s.Tasks) {
				continue
			}
			g := p.newGroup(v, j, occurrence, step, due)
			g.Indexes = waiting
			if p.advised(j) {
				p.consult(j, &g, now)
			}
			g.Guaranteed = covered
			g.NeverStarted = !j.started
			g.Idle = j.placed == 0
			v.in.Groups = append(v.in.Groups, g)
			v.jobs = append(v.jobs, j)
		}
	}
}

func waitingTasks(s *batch.StepProgress) []int {
	var waiting []int
	for i := range s.Tasks {
		if s.Tasks[i].State == batch.TaskWaiting {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// service returns the service whose workers run the queue of a job.
func (p *Planner) service(j *job) string {
	if c := p.Config(); c != nil {
		if q, ok := c.Queues[j.spec.Queue]; ok {
			return q.Service
		}
	}
	return j.queue.Service
}

func (p *Planner) newGroup(v *view, j *job, occurrence, step int, due time.Time) assignment.Group {
	s := &j.spec.Steps[step]
	length := p.chain(j, step)
	whole := time.Duration(0)
	for i := range j.spec.Steps {
		whole = max(whole, p.chain(j, i))
	}
	g := assignment.Group{
		Job: j.spec.ID, Occurrence: occurrence, Step: step,
		Need: s.AllocatedResources(), Gang: s.Gang, Adjacent: s.Adjacent, Label: s.Label, Rack: s.Rack, MaxPerWorker: s.MaxPerWorker,
		Service: p.service(j), Priority: j.queue.Priority, Accepted: due, Length: length,
		Objective: due.Add(time.Duration(j.queue.Stretch*float64(whole)) + j.queue.Target),
	}
	if s.MaxPerWorker > 0 {
		g.RunningPerWorker = p.beside(j, occurrence, step)
	}
	ref := stepRef{occurrence, step}
	if _, ok := j.ready[ref]; !ok {
		j.ready[ref] = v.in.Now
	}
	g.Since = j.ready[ref]
	if held, ok := j.seats[ref]; ok && v.in.Now.Before(held.until) {
		for _, id := range held.workers {
			if i, ok := v.index[id]; ok {
				g.ReservedWorkers = append(g.ReservedWorkers, i)
			}
		}
	}
	return g
}

// beside counts the tasks of a step on each worker.
func (p *Planner) beside(j *job, occurrence, step int) map[string]int {
	n := map[string]int{}
	s := j.progress.Step(j.spec, occurrence, step)
	for i := range s.Tasks {
		if s.Tasks[i].State == batch.TaskPlaced {
			n[s.Tasks[i].Worker]++
		}
	}
	return n
}

// chain returns the expected time from the start of a step to the end of the
// job.
func (p *Planner) chain(j *job, step int) time.Duration {
	after := time.Duration(0)
	for i := step + 1; i < len(j.spec.Steps); i++ {
		if slices.Contains(j.spec.Steps[i].DependsOn, step) {
			after = max(after, p.chain(j, i))
		}
	}
	s := &j.spec.Steps[step]
	return p.estimator.Estimate(j.template(s)).Median + after
}

// addRuns adds the runs that may be stopped.
func (p *Planner) addRuns(v *view, covered map[*job]bool, now time.Time) {
	type key struct {
		job              *job
		occurrence, step int
		index            int
	}
	at := map[key]int{}
	spare := p.interruptible()
	for i, w := range v.workers {
		for _, pl := range w.placements {
			if pl.phase != phaseOrdered && pl.phase != phaseRunning || !spare.take(pl) {
				continue
			}
			k := key{pl.job, pl.id.Occurrence, pl.id.Step, pl.id.Index}
			if pl.step.Gang {
				k.index = 0
			}
			n, ok := at[k]
			if !ok {
				n = len(v.runs)
				at[k] = n
				v.runs = append(v.runs, nil)
				v.in.Running = append(v.in.Running, assignment.Running{
					Job: pl.job.spec.ID, Priority: pl.job.queue.Priority, Borrowed: !covered[pl.job],
				})
			}
			v.runs[n] = append(v.runs[n], pl)
			r := &v.in.Running[n]
			r.Allocations = append(r.Allocations, assignment.Allocation{Worker: i, Need: pl.step.AllocatedResources()})
			r.LostWork += pl.loss(now)
			r.EndsSoon = p.endsSoon(pl, now)
		}
	}
}

// endsSoon reports whether a run will end by itself about as soon as it could
// be stopped.
func (p *Planner) endsSoon(pl *placement, now time.Time) bool {
	const (
		half = 0.5
		// late is how long after its expected end a run no longer counts as one
		// that ends.
		late = 300 * time.Millisecond
	)
	rest := p.rest(pl, now)
	return pl.progress > half && rest > -late && rest <= p.Timing.StopTimeout
}

const (
	// unsavedTime is the longest time between two checkpoints of a run.
	unsavedTime = 1 * time.Second
	// restartTime is the usual time from the stop of a run until its work goes
	// on elsewhere: that of the stop and of a restore.
	restartTime = 1200 * time.Millisecond
)

// loss returns the work that stopping the run would lose, in core-seconds.
func (pl *placement) loss(now time.Time) float64 {
	lost := pl.ran(now)
	if pl.step.Checkpoints {
		lost = min(lost, unsavedTime)
	}
	return (lost + restartTime).Seconds() * pl.step.Need.Cores()
}

// start reserves the chosen workers and orders the runs once they are stored.
func (p *Planner) start(v *view, starts []assignment.Start) {
	for _, s := range starts {
		g, j, w := &v.in.Groups[s.Group], v.jobs[s.Group], v.workers[s.Worker]
		id := batch.TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: s.Index}
		t := j.progress.Task(j.spec, id)
		pl := &placement{
			job: j, id: id, step: &j.spec.Steps[g.Step], run: j.nextRun(g, t), worker: w,
			phase: phaseReserved, checkpoint: j.checkpoint(g, t), ticket: j.ticket(g, w),
		}
		w.placements[id] = pl
		w.used = w.used.Plus(pl.step.AllocatedResources())
		j.placed++
		delete(j.seats, stepRef{g.Occurrence, g.Step})
		delete(j.ready, stepRef{g.Occurrence, g.Step})
		p.touch(j, func() { p.send(pl) })
	}
	// The tasks change after the loop, because the run of a gang and its
	// checkpoint follow from all of its tasks.
	for _, s := range starts {
		g, j, w := &v.in.Groups[s.Group], v.jobs[s.Group], v.workers[s.Worker]
		id := batch.TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: s.Index}
		t := j.progress.Task(j.spec, id)
		pl := w.placements[id]
		t.State, t.Run, t.Worker, t.WorkerIncarnation, t.Checkpoint = batch.TaskPlaced, pl.run, w.info.ID, w.life, pl.checkpoint
	}
}

// logStarts writes one line for each group that starts.
func (p *Planner) logStarts(v *view, starts []assignment.Start) {
	for i := 0; i < len(starts); {
		group := starts[i].Group
		slowest := math.Inf(1)
		var on []string
		for ; i < len(starts) && starts[i].Group == group; i++ {
			w := &v.in.Workers[starts[i].Worker]
			slowest = min(slowest, w.Speed)
			if len(on) == 0 || on[len(on)-1] != w.ID {
				on = append(on, w.ID)
			}
		}
		g, j := &v.in.Groups[group], v.jobs[group]
		p.Log.Info("placed", "job", g.Job, "occurrence", g.Occurrence, "step", g.Step, "tasks", len(g.Indexes),
			"run", j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks[starts[i-1].Index].Run, "workers", on, "slowest", slowest,
			"covered", g.Guaranteed, "ready", v.in.Now.Sub(g.Since), "age", v.in.Now.Sub(g.Accepted), "reserve", v.in.Reserve)
	}
}

// nextRun returns the number of the next run, which is the same for all
// members of a gang.
func (j *job) nextRun(g *assignment.Group, t *batch.Task) int {
	if !g.Gang {
		return t.Run + 1
	}
	latest := 0
	for _, m := range j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks {
		latest = max(latest, m.Run)
	}
	return latest + 1
}

// checkpoint returns where the next run resumes; one member's checkpoint is
// valid for its whole gang.
func (j *job) checkpoint(g *assignment.Group, t *batch.Task) string {
	if !g.Gang {
		return t.Checkpoint
	}
	tasks := j.progress.Step(j.spec, g.Occurrence, g.Step).Tasks
	best := batch.Task{}
	for _, m := range tasks {
		if m.Checkpoint != "" && (best.Checkpoint == "" || m.Run > best.Run) {
			best = m
		}
	}
	return best.Checkpoint
}

// send gives the order of a run that is stored by now. The caller holds
// the lock.
func (p *Planner) send(pl *placement) {
	if pl.phase != phaseReserved || pl.worker.placements[pl.id] != pl {
		return
	}
	if pl.job.progress.State.Final() {
		p.release(pl)
		return
	}
	pl.phase = phaseOrdered
	p.extend(pl.worker, time.Now())
	p.group.Go(func() error {
		p.order(pl)
		return nil
	})
}
