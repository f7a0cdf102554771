package rack

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// observe takes over the inventory of a worker that was asked for at the given
// clock. The caller holds the lock.
func (o *Owner) observe(st *station, clock uint64) {
	present := map[platform.TaskRef]bool{}
	for _, t := range st.inventory.Tasks {
		present[t.Reservation.Task] = true
		o.observeTask(st, t, clock)
	}
	for _, g := range o.gangs {
		if g.phase == phaseStarting || g.phase == phaseEnded {
			continue
		}
		for _, p := range g.members {
			if p.worker == st.info.Name && !p.over() && !present[p.task] && p.current(clock) {
				p.state = taskGone
				p.reason = "worker " + p.worker + " no longer has the task"
			}
		}
	}
	if o.isReady() {
		o.settleAll()
	}
}

func (o *Owner) observeTask(st *station, t platform.Task, clock uint64) {
	r := refOf(t.Reservation.Task)
	if o.closed[r] {
		o.sweep(st, t)
		return
	}
	g := o.gangs[r]
	if g == nil {
		g = o.adopt(t)
	}
	p := g.at(t.Reservation.Task.Member)
	if p == nil || p.worker != "" && p.worker != st.info.Name {
		o.sweep(st, t)
		return
	}
	if !p.current(clock) {
		return
	}
	if g.phase == phaseEnded {
		if t.State == platform.TaskReserved || t.State == platform.TaskRunning {
			o.sweep(st, t)
		}
		return
	}
	p.worker = st.info.Name
	p.update(t)
}

func (g *gang) at(member int) *place {
	if member < 0 || member >= len(g.members) {
		return nil
	}
	return g.members[member]
}

// adopt creates the gang of a task that a former owner has started.
func (o *Owner) adopt(t platform.Task) *gang {
	r := t.Reservation
	g := newGang(refOf(r.Task), max(r.Members, 1))
	g.team, g.template, g.borrowed = r.Team, r.Template, r.Borrowed
	g.phase = phaseRecovering
	close(g.begun)
	o.gangs[g.ref] = g
	return g
}

// sweep removes what a worker holds of an attempt that is settled.
func (o *Owner) sweep(st *station, t platform.Task) {
	p := &place{task: t.Reservation.Task, worker: st.info.Name}
	o.spawn(func(ctx context.Context) { _ = o.command(ctx, p, removal(p.task, t.State)) })
}

// removal returns the order that removes a task in a state from its worker.
func removal(task platform.TaskRef, s platform.TaskState) order {
	return func(ctx context.Context, w platform.Worker, g platform.Generation) error {
		switch s {
		case platform.TaskReserved:
			return w.Release(ctx, g, task)
		case platform.TaskRunning:
			return w.Stop(ctx, g, task)
		case platform.TaskDone, platform.TaskFailed, platform.TaskStopped:
		}
		return w.Acknowledge(ctx, g, task)
	}
}

// recover settles the gangs that the first claims have found, and opens the
// rack for new ones.
func (o *Owner) recover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost != nil || o.run == nil {
		return
	}
	close(o.ready)
	o.settleAll()
	o.log.Info("rack is claimed", "generation", o.generation.Number, "gangs", len(o.gangs))
}

// loseWorker settles the gangs that have members on a lost worker. The caller
// holds the lock.
func (o *Owner) loseWorker(st *station) {
	for _, g := range o.gangs {
		if g.phase == phaseStarting || g.phase == phaseEnded {
			continue
		}
		for _, p := range g.members {
			if p.worker == st.info.Name && !p.over() {
				p.state = taskGone
				p.reason = "worker " + p.worker + " is lost"
			}
		}
	}
	o.settleAll()
}

func (o *Owner) settleAll() {
	if !o.isReady() {
		return
	}
	complete := o.complete()
	for _, g := range o.gangs {
		o.settle(g, complete)
	}
	o.prune()
}

// complete tells whether each worker has shown its inventory or is lost.
func (o *Owner) complete() bool {
	for _, st := range o.stations {
		if !st.claimed && !st.lost {
			return false
		}
	}
	return true
}

// settle decides what becomes of a gang.
func (o *Owner) settle(g *gang, complete bool) {
	if g.phase != phaseRecovering && g.phase != phaseRunning {
		return
	}
	now := time.Now()
	if member, kind, reason := g.broken(); member >= 0 {
		o.condemn(g, g.result(o.rack, kind, member, reason, now))
		return
	}
	switch {
	case g.done():
		g.outcome = g.result(o.rack, OutcomeDone, -1, "", now)
		o.conclude(g)
	case g.seen():
		g.phase = phaseRunning
	case complete:
		o.condemn(g, g.result(o.rack, OutcomeLost, g.missing(), "members are missing", now))
	}
}

func (g *gang) missing() int {
	for i, p := range g.members {
		if p.state == "" {
			return i
		}
	}
	return -1
}

// condemn stops what is left of a gang and delivers the outcome afterwards,
// if there is one. The caller holds the lock.
func (o *Owner) condemn(g *gang, outcome *Outcome) {
	g.phase = phaseStopping
	g.outcome = outcome
	for _, p := range g.members {
		if p.state == "" {
			p.state = taskGone
		}
	}
	if outcome != nil {
		o.log.Info("stopping gang", "job", g.job, "attempt", g.attempt, "team", g.team, "reason", outcome.Reason)
	}
	o.spawn(func(ctx context.Context) { o.finish(ctx, g) })
}

// closing is a settled attempt and the time at which it is forgotten.
type closing struct {
	ref
	forget time.Time
}

// prune forgets settled attempts that no worker can still hold.
func (o *Owner) prune() {
	now := time.Now()
	for len(o.expiry) > 0 && o.expiry[0].forget.Before(now) {
		delete(o.closed, o.expiry[0].ref)
		o.expiry = o.expiry[1:]
	}
}
