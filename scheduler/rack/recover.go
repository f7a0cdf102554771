package rack

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// applyInventory updates the gangs from the inventory of a worker that was
// requested at requestClock. The caller holds the lock.
func (o *Owner) applyInventory(st *workerState, requestClock uint64) {
	present := map[platform.TaskRef]bool{}
	for _, t := range st.inventory.Tasks {
		present[t.Reservation.Task] = true
		o.applyTask(st, t, requestClock)
	}
	for _, g := range o.gangs {
		if g.phase == phaseStarting || g.phase == phaseEnded {
			continue
		}
		for _, m := range g.members {
			if m.worker == st.info.Name && !m.finished() && !present[m.task] && m.isCurrent(requestClock) {
				m.state = taskGone
				m.reason = "worker " + m.worker + " no longer has the task"
			}
		}
	}
	if o.isReady() {
		o.evaluateGangs()
	}
}

func (o *Owner) applyTask(st *workerState, t platform.Task, requestClock uint64) {
	id := attemptOf(t.Reservation.Task)
	if o.closed[id] {
		o.removeTask(st, t)
		return
	}
	g := o.gangs[id]
	if g == nil {
		g = o.adoptGang(t)
	}
	m := g.memberAt(t.Reservation.Task.Member)
	if m == nil || m.worker != "" && m.worker != st.info.Name {
		o.removeTask(st, t)
		return
	}
	if !m.isCurrent(requestClock) {
		return
	}
	if g.phase == phaseEnded {
		if t.State == platform.TaskReserved || t.State == platform.TaskRunning {
			o.removeTask(st, t)
		}
		return
	}
	m.worker = st.info.Name
	m.update(t)
}

func (g *gang) memberAt(member int) *memberState {
	if member < 0 || member >= len(g.members) {
		return nil
	}
	return g.members[member]
}

// adoptGang adds the gang of a task that a former owner has started.
func (o *Owner) adoptGang(t platform.Task) *gang {
	r := t.Reservation
	g := newGang(attemptOf(r.Task), max(r.Members, 1))
	g.team, g.template, g.borrowed = r.Team, r.Template, r.Borrowed
	g.phase = phaseRecovering
	close(g.startFinished)
	o.gangs[g.attemptID] = g
	return g
}

// removeTask removes a task that belongs to no current gang from its worker.
func (o *Owner) removeTask(st *workerState, t platform.Task) {
	m := &memberState{task: t.Reservation.Task, worker: st.info.Name}
	o.spawn(func(ctx context.Context) { _ = o.execute(ctx, m, removalCommand(m.task, t.State)) })
}

// removalCommand returns the command that removes a task in the given state from
// its worker.
func removalCommand(task platform.TaskRef, s platform.TaskState) command {
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

// recover evaluates the gangs that were found by the first claims and marks the
// owner as ready for new gangs.
func (o *Owner) recover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy != nil || o.activeRun == nil {
		return
	}
	close(o.ready)
	o.evaluateGangs()
	o.log.Info("claimed rack and recovered gangs", "generation", o.generation.Number, "gangs", len(o.gangs))
}

// markMembersLost marks the members on a lost worker as gone and evaluates the
// gangs. The caller holds the lock.
func (o *Owner) markMembersLost(st *workerState) {
	for _, g := range o.gangs {
		if g.phase == phaseStarting || g.phase == phaseEnded {
			continue
		}
		for _, m := range g.members {
			if m.worker == st.info.Name && !m.finished() {
				m.state = taskGone
				m.reason = "worker " + m.worker + " is lost"
			}
		}
	}
	o.evaluateGangs()
}

func (o *Owner) evaluateGangs() {
	if !o.isReady() {
		return
	}
	workersKnown := o.allWorkersKnown()
	for _, g := range o.gangs {
		o.evaluateGang(g, workersKnown)
	}
	o.pruneClosed()
}

// allWorkersKnown reports whether each worker has sent its inventory or is lost.
func (o *Owner) allWorkersKnown() bool {
	for _, st := range o.workerStates {
		if !st.claimed && !st.lost {
			return false
		}
	}
	return true
}

// evaluateGang updates the phase of a recovering or running gang from the states
// of its members. workersKnown tells whether missing members can still be found.
func (o *Owner) evaluateGang(g *gang, workersKnown bool) {
	if g.phase != phaseRecovering && g.phase != phaseRunning {
		return
	}
	now := time.Now()
	if member, kind, reason := g.findFailure(); member >= 0 {
		o.beginStop(g, g.newOutcome(o.rack, kind, member, reason, now))
		return
	}
	switch {
	case g.done():
		g.outcome = g.newOutcome(o.rack, OutcomeDone, -1, "", now)
		o.endGang(g)
	case g.allKnown():
		g.phase = phaseRunning
	case workersKnown:
		o.beginStop(g, g.newOutcome(o.rack, OutcomeLost, g.firstUnknown(), "members are missing", now))
	}
}

func (g *gang) firstUnknown() int {
	for i, m := range g.members {
		if m.state == "" {
			return i
		}
	}
	return -1
}

// beginStop starts to stop the remaining members of a gang in the background. The
// outcome, if there is one, is delivered afterwards. The caller holds the lock.
func (o *Owner) beginStop(g *gang, outcome *Outcome) {
	g.phase = phaseStopping
	g.outcome = outcome
	for _, m := range g.members {
		if m.state == "" {
			m.state = taskGone
		}
	}
	if outcome != nil {
		o.log.Info("stopping gang", "job", g.job, "attempt", g.attempt, "team", g.team, "reason", outcome.Reason)
	}
	o.spawn(func(ctx context.Context) { o.stopUntilDone(ctx, g) })
}

// closedAttempt is a closed attempt and the time at which its record is deleted.
type closedAttempt struct {
	attemptID
	expires time.Time
}

// pruneClosed deletes the records of closed attempts whose closedTTL has passed.
// No worker can still hold tasks of them.
func (o *Owner) pruneClosed() {
	now := time.Now()
	for len(o.closedByAge) > 0 && o.closedByAge[0].expires.Before(now) {
		delete(o.closed, o.closedByAge[0].attemptID)
		o.closedByAge = o.closedByAge[1:]
	}
}
