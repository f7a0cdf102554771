package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
)

const (
	// leastAsked and mostAsked bound the number of workers of one call: each
	// takes the adviser time, and the users reckon with 30 a step.
	leastAsked = 4
	mostAsked  = 30
	// askedPerTask is how many workers are asked for each waiting task, as some
	// are turned down.
	askedPerTask = 2
	// ticketMargin is what is kept of a permit's validity for the way of the
	// start.
	ticketMargin = 700 * time.Millisecond
	// adviceTimeout is the time for an answer; calls of other instances may come
	// first.
	adviceTimeout = 10 * time.Second
	// adviceRetry is the time between two calls after a failed one.
	adviceRetry = 300 * time.Millisecond
	// maxQuestions is the number of calls that wait here; the adviser takes one
	// at a time from each instance.
	maxQuestions = 256
)

// advice is what the adviser has said of the workers for one step.
type advice struct {
	// known tells of the workers that were asked whether they may run the step,
	// by worker and process.
	known map[workerLife]bool
	// tickets are the permits by worker.
	tickets map[string]permit
	// pending is set while a call waits or is on its way.
	pending bool
}

// workerLife names a process of a worker.
type workerLife struct {
	worker string
	life   int64
}

type permit struct {
	text  string
	life  int64
	until time.Time
}

// question is a call of the adviser.
type question struct {
	job     *job
	step    batch.TaskID
	workers []workerLife
}

// advised reports whether the steps of a job need permits.
func (p *Planner) advised(j *job) bool {
	if p.Adviser == nil {
		return false
	}
	if c := p.Config(); c != nil {
		if q, ok := c.Queues[j.spec.Queue]; ok {
			return q.Advised
		}
	}
	return j.queue.Advised
}

// consult limits a group to the workers that hold permits, and asks about more
// where those have too little room.
func (p *Planner) consult(j *job, g *assignment.Group, now time.Time) {
	ref := stepRef{g.Occurrence, g.Step}
	a := j.advice[ref]
	if a == nil {
		a = &advice{known: map[workerLife]bool{}, tickets: map[string]permit{}}
		j.advice[ref] = a
	}
	g.Allowed = map[string]bool{}
	room := 0
	for id, t := range a.tickets {
		w := p.workers[id]
		if w == nil || !w.open(now) || w.life != t.life || now.Add(ticketMargin).After(t.until) {
			continue
		}
		g.Allowed[id] = true
		room += fitting(g.Need, w)
	}
	if a.pending || room >= len(g.Indexes) {
		return
	}
	ask := p.unasked(a, g, now)
	if len(ask) == 0 {
		return
	}
	q := question{j, batch.TaskID{Job: j.spec.ID, Occurrence: g.Occurrence, Step: g.Step}, ask}
	select {
	case p.questions <- q:
		a.pending = true
	default:
		// The next decision asks again.
	}
}

// fitting returns how many tasks fit into the free room of a worker.
func fitting(need batch.Resources, w *worker) int {
	n := 0
	for free := w.info.Capacity.Minus(w.used); need.Fits(free) && n < mostAsked; n++ {
		free = free.Minus(need)
	}
	return n
}

// unasked returns workers with room whose permit is not known to be refused,
// those with most room first.
func (p *Planner) unasked(a *advice, g *assignment.Group, now time.Time) []workerLife {
	type candidate struct {
		worker *worker
		room   int
	}
	var found []candidate
	for id, w := range p.workers {
		may, known := a.known[workerLife{id, w.life}]
		if !w.open(now) || w.info.Service != g.Service || g.Allowed[id] || known && !may ||
			g.Label != "" && !slices.Contains(w.info.Labels, g.Label) {
			continue
		}
		if n := fitting(g.Need, w); n > 0 {
			found = append(found, candidate{w, n})
		}
	}
	slices.SortFunc(found, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.room, x.room), cmp.Compare(x.worker.info.ID, y.worker.info.ID))
	})
	most := min(max(askedPerTask*len(g.Indexes), leastAsked), mostAsked, len(found))
	ask := make([]workerLife, 0, most)
	for _, c := range found[:most] {
		ask = append(ask, workerLife{c.worker.info.ID, c.worker.life})
	}
	return ask
}

// ask calls the adviser, one call at a time, until ctx ends.
func (p *Planner) ask(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-p.questions:
			if !p.askOnce(ctx, q) {
				select {
				case <-ctx.Done():
				case <-time.After(adviceRetry):
				}
			}
		}
	}
}

// askOnce makes one call, unless its job has ended meanwhile, and reports
// whether it was answered.
func (p *Planner) askOnce(ctx context.Context, q question) bool {
	p.mu.Lock()
	over := q.job.progress.State.Final()
	p.mu.Unlock()
	if over {
		return true
	}
	names := make([]string, 0, len(q.workers))
	for _, w := range q.workers {
		names = append(names, w.worker)
	}
	begun := time.Now()
	one, cancel := context.WithTimeout(ctx, adviceTimeout)
	said, err := p.Adviser.Advise(one, q.step, names)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := q.job.advice[stepRef{q.step.Occurrence, q.step.Step}]
	a.pending = false
	if err != nil {
		p.Log.Info("no advice", "job", q.step.Job, "step", q.step.Step, "workers", len(names), "error", err)
		return false
	}
	for _, w := range q.workers {
		text, may := said.Tickets[w.worker]
		a.known[w] = may
		if may {
			a.tickets[w.worker] = permit{text, w.life, begun.Add(said.Validity)}
		}
	}
	p.Log.Info("advice", "job", q.step.Job, "step", q.step.Step, "workers", len(names), "approved", len(said.Tickets),
		"took", time.Since(begun))
	p.wake()
	return true
}

// ticket returns the permit for a step on a worker, or nothing.
func (j *job) ticket(g *assignment.Group, w *worker) string {
	if a := j.advice[stepRef{g.Occurrence, g.Step}]; a != nil {
		return a.tickets[w.info.ID].text
	}
	return ""
}

// revoke forgets a permit that a worker has not accepted. The caller holds the
// lock.
func (p *Planner) revoke(pl *placement) {
	if a := pl.job.advice[stepRef{pl.id.Occurrence, pl.id.Step}]; a != nil {
		delete(a.tickets, pl.worker.info.ID)
	}
}
