package rack

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// phase is the phase of a gang under its owner.
type phase int

const (
	phaseStarting phase = iota
	// phaseRecovering is that of a gang found on the workers, until all its
	// members are known.
	phaseRecovering
	phaseRunning
	phaseStopping
	// phaseEnded lasts until the outcome is committed and acknowledged.
	phaseEnded
)

// taskGone is the state of a task that its worker no longer has, or whose
// worker is lost.
const taskGone platform.TaskState = "gone"

// ref names an attempt of a job.
type ref struct {
	job     string
	attempt int
}

func refOf(t platform.TaskRef) ref { return ref{t.Job, t.Attempt} }

// gang is an attempt that is on the rack, under the owner's lock.
type gang struct {
	ref
	team     string
	template string
	borrowed bool
	ends     time.Time
	phase    phase
	members  []*place
	// outcome is delivered when all members have ended; nil if the gang was
	// stopped on request.
	outcome *Outcome
	// begun is closed when Start has finished with the gang, concluded when no
	// member runs any more.
	begun     chan struct{}
	concluded chan struct{}
	// ended is set if a gang that was to be stopped had ended by itself.
	ended bool
}

func newGang(r ref, members int) *gang {
	g := &gang{ref: r, begun: make(chan struct{}), concluded: make(chan struct{})}
	for i := range members {
		g.members = append(g.members, &place{task: platform.TaskRef{Job: r.job, Member: i, Attempt: r.attempt}})
	}
	return g
}

// place is one member of a gang. An empty state means that it was not seen yet.
type place struct {
	task         platform.TaskRef
	worker       string
	accelerators int
	state        platform.TaskState
	result       []byte
	reason       string
	started      time.Time
	ended        time.Time
	// committed is set when a commit was sent. Its effect may be unknown.
	committed bool
	// busy counts the commands under way; changed is the owner's clock at the
	// end of the last one. Older inventories say nothing about the place.
	busy    int
	changed uint64
}

// over tells whether the member occupies nothing.
func (p *place) over() bool {
	switch p.state {
	case platform.TaskDone, platform.TaskFailed, platform.TaskStopped, taskGone:
		return true
	case platform.TaskReserved, platform.TaskRunning:
	}
	return false
}

// current tells whether an inventory asked for at the clock value applies.
func (p *place) current(clock uint64) bool { return p.busy == 0 && clock >= p.changed }

// update takes over what the worker reports. A result that does not match its
// checksum is ignored, so that it is fetched again.
func (p *place) update(t platform.Task) {
	if t.State == platform.TaskDone && xxhash.Sum64(t.Result) != t.Sum {
		return
	}
	p.accelerators = t.Reservation.Accelerators
	p.state = t.State
	p.result = t.Result
	p.reason = t.Reason
	p.started = t.Started
	p.ended = t.Ended
}

// all tells whether f holds for all members.
func (g *gang) all(f func(*place) bool) bool {
	for _, p := range g.members {
		if !f(p) {
			return false
		}
	}
	return true
}

func (g *gang) over() bool { return g.all((*place).over) }

func (g *gang) done() bool {
	return g.all(func(p *place) bool { return p.state == platform.TaskDone })
}

// seen tells whether all members of a recovered gang are known.
func (g *gang) seen() bool {
	return g.all(func(p *place) bool { return p.state != "" })
}

// broken returns the first member that prevents the gang from finishing as a
// whole. A failure goes before a loss, because it is the cause of stops.
func (g *gang) broken() (member int, kind OutcomeKind, reason string) {
	member = -1
	for i, p := range g.members {
		switch p.state {
		case platform.TaskFailed:
			return i, OutcomeFailed, p.reason
		case platform.TaskReserved:
			reason = "reserved by a former owner and not committed"
		case platform.TaskStopped, taskGone:
			reason = p.reason
		default:
			continue
		}
		if member < 0 {
			member, kind = i, OutcomeLost
		}
	}
	return member, kind, reason
}

// result builds an outcome from what is known of the members.
func (g *gang) result(rack string, kind OutcomeKind, member int, reason string, now time.Time) *Outcome {
	o := &Outcome{
		Rack: rack, Job: g.job, Attempt: g.attempt, Team: g.team,
		Kind: kind, Member: member, Reason: reason, Ended: now,
		Results: make([][]byte, len(g.members)),
		Started: g.started(),
	}
	for i, p := range g.members {
		if p.state == platform.TaskDone {
			o.Results[i] = p.result
		}
	}
	return o
}

// started is when the last member that has started did so.
func (g *gang) started() time.Time {
	var last time.Time
	for _, p := range g.members {
		if p.started.After(last) {
			last = p.started
		}
	}
	return last
}

// running describes the gang in a summary.
func (g *gang) running() RunningGang {
	r := RunningGang{
		Job: g.job, Attempt: g.attempt, Team: g.team, Template: g.template, Borrowed: g.borrowed,
		Accelerators: map[string]int{}, Started: g.started(),
	}
	for _, p := range g.members {
		if !p.over() {
			r.Accelerators[p.worker] += p.accelerators
		}
	}
	return r
}
