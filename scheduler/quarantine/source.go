package quarantine

import (
	"math"
	"time"
)

// sourceOutcomes counts the outcomes of work that runs the same code, in total
// and by worker. The counts decay with a half-life of outcomeHalfLife.
type sourceOutcomes struct {
	total   decayingCount
	workers map[string]*decayingCount
}

// decayingCount holds the counts of all runs and of failed runs, decayed to the
// time at.
type decayingCount struct {
	runs   float64
	failed float64
	at     time.Time
}

func (c *decayingCount) decay(now time.Time) {
	if age := now.Sub(c.at); age > 0 {
		f := math.Exp2(-age.Seconds() / outcomeHalfLife.Seconds())
		c.runs *= f
		c.failed *= f
		c.at = now
	}
}

func (c *decayingCount) add(o Outcome) {
	c.decay(o.At)
	c.runs++
	if o.Failed {
		c.failed++
	}
}

func (s *sourceOutcomes) add(o Outcome) {
	s.total.add(o)
	w := s.workers[o.Worker]
	if w == nil {
		w = &decayingCount{}
		s.workers[o.Worker] = w
	}
	w.add(o)
}

func (s *sourceOutcomes) removeWorker(worker string) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	w.decay(s.total.at)
	s.total.runs -= w.runs
	s.total.failed -= w.failed
	delete(s.workers, worker)
}

// failureRate returns the share of failed runs on all workers except the given
// one.
func (s *sourceOutcomes) failureRate(worker string, now time.Time) float64 {
	s.total.decay(now)
	runs, failed := s.total.runs, s.total.failed
	if w := s.workers[worker]; w != nil {
		w.decay(now)
		runs -= w.runs
		failed -= w.failed
	}
	return max(0, failed) / (max(0, runs) + priorWeight)
}
