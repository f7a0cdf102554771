package replay

import (
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/queue"
)

// minSlowdownRunTime limits the slowdown of very short jobs.
const minSlowdownRunTime = 10 * time.Second

// meter collects the measurements of a replay.
type meter struct {
	executedWork       float64
	lostWork           float64
	evictions          int
	failures           int
	refusals           int
	nonPreemptibleLost int
	quickDelays        []float64
	reclaimDelays      []float64
	// strandedSeconds is the stranded fraction of the accelerators, integrated over
	// waitingSeconds, the time before the end of the arrivals in which jobs were
	// pending.
	strandedSeconds float64
	waitingSeconds  float64
	rounds          int
	decisions       int
	decisionTime    time.Duration
	blockedRounds   int
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
	// QuickDelayP95 and QuickDelayMax are the times from acceptance to the first
	// start of quick jobs.
	QuickDelayP95 time.Duration
	QuickDelayMax time.Duration
	// Stranded is the time-weighted fraction of all accelerators that are free
	// on racks that cannot hold the largest waiting shape.
	Stranded float64
	// ReclaimP95 and ReclaimMax are the times from the decision to reclaim a
	// cell to the start of the job for which it was made.
	ReclaimP95 time.Duration
	ReclaimMax time.Duration
	Evictions  int
	// Lost is the fraction of the executed work that was lost in evictions.
	Lost float64
	// Failures counts failed attempts, NonPreemptibleLost evicted jobs that must
	// not run again.
	Failures           int
	NonPreemptibleLost int
	// Blocked counts rounds after which a guaranteed shape could not be made
	// available by evicting borrowed work only.
	Blocked int
	// PerRound and PerDecision are mean computing times.
	PerRound    time.Duration
	PerDecision time.Duration
}

// addElapsed accounts for the time until the next event.
func (m *meter) addElapsed(e *engine, d time.Duration) {
	if e.pending.Len() == 0 || e.now.After(e.arrivalsEnd) {
		return
	}
	shape := largestWaiting(e)
	free, total := 0, 0
	for _, r := range e.racks {
		total += 8 * r.Len()
		if !fits(r, shape) {
			free += r.Free()
		}
	}
	m.strandedSeconds += float64(free) / float64(total) * d.Seconds()
	m.waitingSeconds += d.Seconds()
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

func fits(r gang.Rack, s gang.Shape) bool {
	n := 0
	for i := range r.Len() {
		if r.Worker(i).Free >= s.Accelerators {
			n++
		}
	}
	return n >= s.Workers
}

func (m *meter) addRound(r planner.Result, spent time.Duration) {
	m.rounds++
	m.decisions += len(r.Starts) + len(r.Preemptions) + len(r.Refusals)
	m.decisionTime += spent
}

func (m *meter) addStart(j *jobState, now time.Time) {
	if j.job.Class == queue.ClassQuick && j.attempt == 0 {
		m.quickDelays = append(m.quickDelays, now.Sub(j.job.Accepted).Seconds())
	}
	if !j.reclaimedAt.IsZero() {
		m.reclaimDelays = append(m.reclaimDelays, now.Sub(j.reclaimedAt).Seconds())
		j.reclaimedAt = time.Time{}
	}
}

// checkGuarantees counts the round as blocked if a guaranteed shape could not
// be made available.
func (m *meter) checkGuarantees(e *engine) {
	if len(e.plan.Missing()) > 0 {
		m.blockedRounds++
		return
	}
	byRack := e.worksByRack()
	for i, r := range e.racks {
		if e.plan.Verify(r, byRack[i]) != nil {
			m.blockedRounds++
			return
		}
	}
}

func (m *meter) report(e *engine) Report {
	r := Report{Evictions: m.evictions, Failures: m.failures, NonPreemptibleLost: m.nonPreemptibleLost, Blocked: m.blockedRounds}
	var all, large []float64
	for _, j := range e.jobs {
		if j.finished && !j.succeeded || j.alwaysFails {
			continue
		}
		if !j.succeeded {
			r.Unfinished++
			j.endedAt = e.now
		}
		r.Jobs++
		s := max(1, j.endedAt.Sub(j.job.Accepted).Seconds()/max(j.work, minSlowdownRunTime).Seconds())
		all = append(all, s)
		r.Mean += s
		if j.job.Shape.Total() >= 32 {
			large = append(large, s)
		}
	}
	r.Mean /= float64(max(1, r.Jobs))
	r.P95, r.LargeP95 = quantile(all, 0.95), quantile(large, 0.95)
	r.QuickDelayP95, r.QuickDelayMax = seconds(quantile(m.quickDelays, 0.95)), seconds(quantile(m.quickDelays, 1))
	r.ReclaimP95, r.ReclaimMax = seconds(quantile(m.reclaimDelays, 0.95)), seconds(quantile(m.reclaimDelays, 1))
	r.Stranded = m.strandedSeconds / max(1, m.waitingSeconds)
	r.Lost = m.lostWork / max(1, m.executedWork)
	r.PerRound = m.decisionTime / time.Duration(max(1, m.rounds))
	r.PerDecision = m.decisionTime / time.Duration(max(1, m.decisions))
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// quantile returns a value that the fraction q of the values does not exceed.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
