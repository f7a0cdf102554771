package quarantine

import (
	"math"
	"time"
)

// source counts the outcomes of work that runs the same code, in total and by
// worker. Counts halve with each period of memory.
type source struct {
	total   tally
	workers map[string]*tally
}

// tally is a pair of counts as of a time.
type tally struct {
	runs   float64
	failed float64
	at     time.Time
}

func (t *tally) decay(now time.Time) {
	if age := now.Sub(t.at); age > 0 {
		f := math.Exp2(-age.Seconds() / memory.Seconds())
		t.runs *= f
		t.failed *= f
		t.at = now
	}
}

func (t *tally) add(o Outcome) {
	t.decay(o.At)
	t.runs++
	if o.Failed {
		t.failed++
	}
}

func (s *source) add(o Outcome) {
	s.total.add(o)
	w := s.workers[o.Worker]
	if w == nil {
		w = &tally{}
		s.workers[o.Worker] = w
	}
	w.add(o)
}

func (s *source) drop(worker string) {
	w := s.workers[worker]
	if w == nil {
		return
	}
	w.decay(s.total.at)
	s.total.runs -= w.runs
	s.total.failed -= w.failed
	delete(s.workers, worker)
}

// failureRate returns the share of failures on other workers than the given.
func (s *source) failureRate(worker string, now time.Time) float64 {
	s.total.decay(now)
	runs, failed := s.total.runs, s.total.failed
	if w := s.workers[worker]; w != nil {
		w.decay(now)
		runs -= w.runs
		failed -= w.failed
	}
	return max(0, failed) / (max(0, runs) + prior)
}
