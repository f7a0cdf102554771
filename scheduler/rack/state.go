package rack

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// phase is the phase of a gang as its owner sees it.
type phase int

const (
	phaseStarting phase = iota
	// phaseRecovering is the phase of a gang that was found on the workers,
	// until all its members are known.
	phaseRecovering
	phaseRunning
	phaseStopping
	// phaseEnded is the phase of a gang without running members, until its
	// outcome is committed and acknowledged.
	phaseEnded
)

// taskGone is the state of a task that its worker no longer has, or whose
// worker is lost.
const taskGone platform.TaskState = "gone"

// attemptID identifies one attempt of a job.
type attemptID struct {
	job     string
	attempt int
}

func attemptOf(t platform.TaskRef) attemptID { return attemptID{t.Job, t.Attempt} }

// gang is an attempt of a job on the rack. It is protected by the owner's lock.
type gang struct {
	attemptID
	team        string
	template    string
	borrowed    bool
	expectedEnd time.Time
	phase       phase
	members     []*memberState
	// outcome is delivered when all members have ended. It is nil if the gang
	// was stopped on request.
	outcome *Outcome
	// startFinished is closed when Start no longer uses the gang, membersEnded
	// when no member runs any more.
	startFinished chan struct{}
	membersEnded  chan struct{}
	// completedBeforeStop is set if all members had ended with a result before
	// the gang could be stopped.
	completedBeforeStop bool
}

func newGang(id attemptID, members int) *gang {
	g := &gang{attemptID: id, startFinished: make(chan struct{}), membersEnded: make(chan struct{})}
	for i := range members {
		g.members = append(g.members, &memberState{task: platform.TaskRef{Job: id.job, Member: i, Attempt: id.attempt}})
	}
	return g
}

// memberState is one member of a gang. An empty state means that no worker has
// reported the member yet.
type memberState struct {
	task         platform.TaskRef
	worker       string
	accelerators int
	state        platform.TaskState
	result       []byte
	reason       string
	started      time.Time
	ended        time.Time
	// committed is set when a commit is sent. Its effect may be unknown.
	committed bool
	// pendingCommands is the number of commands in progress, lastCommand the
	// owner's logical clock at the end of the last one. Inventories requested
	// earlier are ignored for this member.
	pendingCommands int
	lastCommand     uint64
}

// finished reports whether the member occupies no accelerators.
func (m *memberState) finished() bool {
	switch m.state {
	case platform.TaskDone, platform.TaskFailed, platform.TaskStopped, taskGone:
		return true
	case platform.TaskReserved, platform.TaskRunning:
	}
	return false
}

// isCurrent reports whether an inventory requested at requestClock reflects all
// commands for the member.
func (m *memberState) isCurrent(requestClock uint64) bool {
	return m.pendingCommands == 0 && requestClock >= m.lastCommand
}

// update copies the state that the worker reports. A result that does not match
// its checksum is ignored, so that it is fetched again.
func (m *memberState) update(t platform.Task) {
	if t.State == platform.TaskDone && xxhash.Sum64(t.Result) != t.Checksum {
		return
	}
	m.accelerators = t.Reservation.Accelerators
	m.state = t.State
	m.result = t.Result
	m.reason = t.Reason
	m.started = t.Started
	m.ended = t.Ended
}

// all reports whether f returns true for all members.
func (g *gang) all(f func(*memberState) bool) bool {
	for _, m := range g.members {
		if !f(m) {
			return false
		}
	}
	return true
}

func (g *gang) finished() bool { return g.all((*memberState).finished) }

func (g *gang) done() bool {
	return g.all(func(m *memberState) bool { return m.state == platform.TaskDone })
}

// allKnown reports whether workers have reported all members of a recovered gang.
func (g *gang) allKnown() bool {
	return g.all(func(m *memberState) bool { return m.state != "" })
}

// findFailure returns the first member that prevents the gang from finishing as a
// whole, or -1. A failed member takes precedence over lost or stopped members,
// because its failure is the reason why others were stopped.
func (g *gang) findFailure() (member int, kind OutcomeKind, reason string) {
	member = -1
	for i, m := range g.members {
		switch m.state {
		case platform.TaskFailed:
			return i, OutcomeFailed, m.reason
		case platform.TaskReserved:
			reason = "reserved by a former owner and not committed"
		case platform.TaskStopped, taskGone:
			reason = m.reason
		default:
			continue
		}
		if member < 0 {
			member, kind = i, OutcomeLost
		}
	}
	return member, kind, reason
}

// newOutcome returns an outcome with the known results of the members.
func (g *gang) newOutcome(rack string, kind OutcomeKind, member int, reason string, now time.Time) *Outcome {
	o := &Outcome{
		Rack: rack, Job: g.job, Attempt: g.attempt, Team: g.team,
		Kind: kind, Member: member, Reason: reason, Ended: now,
		Results: make([][]byte, len(g.members)),
		Started: g.startTime(),
	}
	for i, m := range g.members {
		if m.state == platform.TaskDone {
			o.Results[i] = m.result
		}
	}
	return o
}

// startTime returns the time at which the last of the started members started.
func (g *gang) startTime() time.Time {
	var last time.Time
	for _, m := range g.members {
		if m.started.After(last) {
			last = m.started
		}
	}
	return last
}

// summary returns the description of the gang for a Summary.
func (g *gang) summary() RunningGang {
	r := RunningGang{
		Job: g.job, Attempt: g.attempt, Team: g.team, Template: g.template, Borrowed: g.borrowed,
		Accelerators: map[string]int{}, Started: g.startTime(),
	}
	for _, m := range g.members {
		if !m.finished() {
			r.Accelerators[m.worker] += m.accelerators
		}
	}
	return r
}
