// Package throttle decides how much of a worker best-effort tasks may use while
// other tasks on it serve latency-sensitive traffic. It is a pure function of
// what the worker reports.
package throttle

import "time"

const (
	// Full is the share of a task that is not throttled, in percent.
	Full = 100
	// minShare is the smallest share above 0, in percent. Below it a task
	// causes more interference than it makes progress.
	minShare = 10
	// increaseStep is how much the share increases at a time, in percent.
	increaseStep = 10
	// cutThreshold and increaseThreshold are fractions of the target latency:
	// above cutThreshold best-effort tasks are throttled, below
	// increaseThreshold their share increases.
	cutThreshold      = 0.9
	increaseThreshold = 0.7
	// cutInterval is the minimum time between two cuts: a change takes effect
	// within 0.1 s, and latencies are measured over the last half second.
	cutInterval = 600 * time.Millisecond
	// calmPeriod is how long all latencies must be low before the share
	// increases.
	calmPeriod = 1 * time.Second
)

// Serving is a task that serves latency-sensitive traffic.
type Serving struct {
	// TailLatency is its latest tail latency, which must stay below
	// TargetLatency.
	TailLatency   time.Duration
	TargetLatency time.Duration
}

// State is the throttling state of a worker's best-effort tasks. The zero value
// is a full share.
type State struct {
	// reduction is how much the share is below Full, in percent.
	reduction int
	// changedAt is when the share last changed. calmSince is since when all
	// latencies have been low.
	changedAt time.Time
	calmSince time.Time
}

// Share returns the share in percent.
func (s State) Share() int { return Full - s.reduction }

// Next returns the state after a report. It handles load that comes and goes
// within seconds: the share halves when a target is about to be missed and
// increases again in small steps.
func (s State) Next(now time.Time, serving []Serving) State {
	worst := 0.0
	for _, task := range serving {
		if task.TargetLatency > 0 {
			worst = max(worst, float64(task.TailLatency)/float64(task.TargetLatency))
		}
	}
	switch {
	case worst > cutThreshold:
		s.calmSince = time.Time{}
		if now.Sub(s.changedAt) >= cutInterval && s.Share() > 0 {
			share := s.Share() / 2
			if share < minShare {
				share = 0
			}
			return s.withShare(share, now)
		}
	case worst > increaseThreshold:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	case s.reduction > 0 && now.Sub(s.calmSince) >= calmPeriod && now.Sub(s.changedAt) >= calmPeriod:
		return s.withShare(min(s.Share()+increaseStep, Full), now)
	}
	return s
}

func (s State) withShare(share int, now time.Time) State {
	s.reduction, s.changedAt = Full-share, now
	return s
}
