// Package throttle decides how much of a worker the tasks that fill it may use
// while others on it serve users of their own. It is a pure function of what
// the worker reports.
package throttle

import "time"

const (
	// Full is the share of a task that is not slowed, in percent.
	Full = 100
	// least is the smallest share above none, in percent; below it a task does
	// more harm than it gets done.
	least = 10
	// raise is how much of the share is given back at a time, in percent.
	raise = 10
	// high and low are parts of a target: above high the fillers are slowed,
	// below low they get more.
	high = 0.9
	low  = 0.7
	// cutInterval is the time between two cuts: a change takes effect within
	// 0.1 s, and response times are those of the last half second.
	cutInterval = 600 * time.Millisecond
	// calmTime is how long all response times are low before the share rises.
	calmTime = 1 * time.Second
)

// Serving is a task that serves users of its own.
type Serving struct {
	// TailLatency is its latest tail response time, Target what that must stay below.
	TailLatency   time.Duration
	TargetLatency time.Duration
}

// State is the share of a worker's fillers. The zero value is a full share.
type State struct {
	// reduced is what is taken off the full share, in percent.
	reduced int
	// changed is when the share last changed, calm since when all response times
	// are low.
	changed time.Time
	calm    time.Time
}

// Share returns the share in percent.
func (l State) Share() int { return Full - l.reduced }

// Next returns the level after a report. It answers load that comes and goes
// within seconds: the share halves while a target is about to be missed, and
// comes back in small steps.
func (l State) Next(now time.Time, serving []Serving) State {
	worst := 0.0
	for _, s := range serving {
		if s.TargetLatency > 0 {
			worst = max(worst, float64(s.TailLatency)/float64(s.TargetLatency))
		}
	}
	switch {
	case worst > high:
		l.calm = time.Time{}
		if now.Sub(l.changed) >= cutInterval && l.Share() > 0 {
			share := l.Share() / 2
			if share < least {
				share = 0
			}
			return l.withShare(share, now)
		}
	case worst > low:
		l.calm = time.Time{}
	case l.calm.IsZero():
		l.calm = now
	case l.reduced > 0 && now.Sub(l.calm) >= calmTime && now.Sub(l.changed) >= calmTime:
		return l.withShare(min(l.Share()+raise, Full), now)
	}
	return l
}

func (l State) withShare(share int, now time.Time) State {
	l.reduced, l.changed = Full-share, now
	return l
}
