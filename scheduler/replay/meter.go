package replay

import (
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/queue"
)

// shortestRun bounds the slowdown of very short jobs.
const shortestRun = 10 * time.Second

// meter collects the measurements of a replay.
type meter struct {
	work      float64
	lost      float64
	evictions int
	failures  int
	refusals  int
	fixed     int
	urgent    []float64
	reclaims  []float64
	stranded  float64
	waiting   float64
	rounds    int
	decisions int
	spent     time.Duration
	blocked   int
}

// Report is the result of one replay.
type Report struct {
	Jobs       int
	Unfinished int
	// Mean and P95 are slowdowns: the time from acceptance to the end, divided
	// by the run time on a worker of speed 1, and at least 1.
	Mean float64
	P95  float64
	// LargeP95 is the slowdown of gangs of at least 32 accelerators.
	LargeP95 float64
	// UrgentP95 and UrgentMax are the times to the first start of quick jobs.
	UrgentP95 time.Duration
	UrgentMax time.Duration
	// Stranded is the time-weighted share of all accelerators that are free on
	// racks that cannot hold the largest waiting shape.
	Stranded float64
	// ReclaimP95 and ReclaimMax are the times from the decision to reclaim a
	// cell to the start of the job for which it was made.
	ReclaimP95 time.Duration
	ReclaimMax time.Duration
	Evictions  int
	// Lost is the share of the executed work that evictions lost.
	Lost float64
	// Failures counts failed attempts, FixedLost evicted jobs that must not run
	// again.
	Failures  int
	FixedLost int
	// Blocked counts rounds after which a guaranteed shape could not be had by
	// evicting borrowed work only.
	Blocked int
	// PerRound and PerDecision are computing times.
	PerRound    time.Duration
	PerDecision time.Duration
}

// pass accounts for the time until the next event.
func (m *meter) pass(e *engine, d time.Duration) {
	if e.pending.Len() == 0 || e.now.After(e.end) {
		return
	}
	shape := largestWaiting(e)
	free, total := 0, 0
	for _, r := range e.racks {
		total += 8 * r.Len()
		if !holds(r, shape) {
			free += r.Free()
		}
	}
	m.stranded += float64(free) / float64(total) * d.Seconds()
	m.waiting += d.Seconds()
}

// largestWaiting returns the largest shape among the pending jobs.
func largestWaiting(e *engine) gang.Shape {
	var largest gang.Shape
	for s := range e.pending.Shapes() {
		if s.Total() > largest.Total() || s.Total() == largest.Total() && s.Workers > largest.Workers {
			largest = s
		}
	}
	return largest
}

func holds(r gang.Rack, s gang.Shape) bool {
	n := 0
	for i := range r.Len() {
		if r.Worker(i).Free >= s.Accelerators {
			n++
		}
	}
	return n >= s.Workers
}

func (m *meter) decided(r planner.Result, spent time.Duration) {
	m.rounds++
	m.decisions += len(r.Starts) + len(r.Preemptions) + len(r.Refusals)
	m.spent += spent
}

func (m *meter) startOf(l *life, now time.Time) {
	if l.job.Class == queue.ClassQuick && l.attempt == 0 {
		m.urgent = append(m.urgent, now.Sub(l.job.Accepted).Seconds())
	}
	if !l.reclaimed.IsZero() {
		m.reclaims = append(m.reclaims, now.Sub(l.reclaimed).Seconds())
		l.reclaimed = time.Time{}
	}
}

// verify counts rounds that leave a guaranteed shape that cannot be had.
func (m *meter) verify(e *engine) {
	if len(e.plan.Missing()) > 0 {
		m.blocked++
		return
	}
	byRack := e.worksByRack()
	for i, r := range e.racks {
		if e.plan.Verify(r, byRack[i]) != nil {
			m.blocked++
			return
		}
	}
}

func (m *meter) report(e *engine) Report {
	r := Report{Evictions: m.evictions, Failures: m.failures, FixedLost: m.fixed, Blocked: m.blocked}
	var all, large []float64
	for _, l := range e.jobs {
		if l.over && !l.done || l.bad {
			continue
		}
		if !l.done {
			r.Unfinished++
			l.ended = e.now
		}
		r.Jobs++
		s := max(1, l.ended.Sub(l.job.Accepted).Seconds()/max(l.work, shortestRun).Seconds())
		all = append(all, s)
		r.Mean += s
		if l.job.Shape.Total() >= 32 {
			large = append(large, s)
		}
	}
	r.Mean /= float64(max(1, r.Jobs))
	r.P95, r.LargeP95 = quantile(all, 0.95), quantile(large, 0.95)
	r.UrgentP95, r.UrgentMax = seconds(quantile(m.urgent, 0.95)), seconds(quantile(m.urgent, 1))
	r.ReclaimP95, r.ReclaimMax = seconds(quantile(m.reclaims, 0.95)), seconds(quantile(m.reclaims, 1))
	r.Stranded = m.stranded / max(1, m.waiting)
	r.Lost = m.lost / max(1, m.work)
	r.PerRound = m.spent / time.Duration(max(1, m.rounds))
	r.PerDecision = m.spent / time.Duration(max(1, m.decisions))
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// quantile returns a value that the share q of the values does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
