package control

import (
	"time"

	"daisylug.example/scheduler/assignment"
)

// reservationTime is how long capacity is reserved for a job for which runs are
// being stopped: the time to stop them and to notice that they have ended.
const reservationTime = 1200 * time.Millisecond

// maxReservationExtension is how much longer a reservation lasts at most because
// decisions take long.
const maxReservationExtension = 500 * time.Millisecond

// decisionView is the input of one decision and the objects that its indexes
// refer to.
type decisionView struct {
	input       assignment.View
	workers     []*worker
	workerIndex map[string]int
	jobs        []*job
	runs        [][]*placement
}

func newDecisionView(now time.Time) *decisionView {
	return &decisionView{input: assignment.View{Now: now}, workerIndex: map[string]int{}}
}

// decideSafely makes a decision. It recovers from a panic, so that leases are
// still renewed and runs continue. The caller holds the lock.
func (p *Planner) decideSafely(now time.Time) {
	if wait := p.lastDecision.Add(decisionGapFactor * p.decisionTime).Sub(now); wait > 0 {
		time.AfterFunc(wait, p.wake)
		return
	}
	p.contain(nil, "decision", func() { p.decide(now) })
	p.lastDecision = time.Now()
	p.decisionTime = p.lastDecision.Sub(now)
}

// decisionGapFactor is the multiple of a decision's duration that passes before
// the next one, so that time-consuming decisions leave time for calls and lease
// renewals.
const decisionGapFactor = 3

// decisionInterval returns the expected time from the start of one decision to the
// start of the next while there is always something to decide.
func (p *Planner) decisionInterval() time.Duration { return (decisionGapFactor + 1) * p.decisionTime }

// decide places waiting tasks and stops runs for guaranteed jobs. The caller
// holds the lock.
func (p *Planner) decide(now time.Time) {
	start := time.Now()
	v := p.buildView(now)
	d := assignment.Decide(v.input)
	p.applyStops(v, d, now)
	for _, r := range d.Reservations {
		g := &v.input.Groups[r.Group]
		v.jobs[r.Group].reservations[stepRef{g.Occurrence, g.Step}] = p.newReservation(v, r, now)
	}
	p.queueAdvice(v, d.Advice)
	p.applyStarts(v, d.Starts)
	p.logStarts(v, d.Starts)
	p.logSeparations(v, d.Separations)
	p.instruments.decide.UpdateDuration(start)
}

// newReservation returns the reservation of a decision. It lasts for an interval of
// decisions more, in which the room that has become free in time is found.
func (p *Planner) newReservation(v *decisionView, r assignment.Reservation, now time.Time) reservation {
	s := reservation{expiresAt: v.reservationEnd(r, now).Add(min(p.decisionInterval(), maxReservationExtension))}
	for _, w := range r.Workers {
		s.workers = append(s.workers, v.workers[w].info.ID)
	}
	return s
}

// reservationEnd returns by when the room of a reservation has become free. One for
// which no run is newly stopped ends with the stops that it waits for, and early
// enough for the group to have other runs stopped.
func (v *decisionView) reservationEnd(r assignment.Reservation, now time.Time) time.Time {
	full := now.Add(reservationTime)
	if !v.input.Stopping.Sparing || len(r.Victims) == 0 {
		return full
	}
	var latest time.Time
	for _, i := range r.Victims {
		end := full
		if run := &v.input.Running[i]; run.Stopping {
			end = v.runs[i][0].stoppedAt.Add(reservationTime)
		} else if !run.EndsSoon || now.Sub(v.input.Groups[r.Group].ReadySince) >= reservationTime {
			return full
		}
		if end.After(latest) {
			latest = end
		}
	}
	if limit := v.input.Groups[r.Group].ReadySince.Add(reservationTime); limit.Before(latest) {
		return limit
	}
	return latest
}
