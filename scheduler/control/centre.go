package control

import (
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// answerDelay is how much later than expected an answer may come.
	answerDelay = 300 * time.Millisecond
	// silentWorkers is the number of workers without an answer from which their
	// data centre may be cut off.
	silentWorkers = 2
)

// centre is what the planner knows of the way to a data centre. A cut is seen
// there long before each worker has failed on its own.
type centre struct {
	// heard is when one of its workers last answered.
	heard  time.Time
	silent bool
}

// calls are the calls of a worker that are not answered yet.
type calls struct {
	serial  int
	pending map[int]time.Time
	// missed is when the latest call that failed should have been answered, or
	// zero.
	missed time.Time
}

// overdue reports whether a call that should have been answered since a time
// was not.
func (c *calls) overdue(since, now time.Time) bool {
	owed := func(expected time.Time) bool {
		return !expected.IsZero() && !expected.Before(since) && now.Sub(expected) > answerDelay
	}
	for _, expected := range c.pending {
		if owed(expected) {
			return true
		}
	}
	return owed(c.missed)
}

// asked notes a call whose answer is expected at a time. The caller holds the
// lock.
func (w *worker) asked(expected time.Time) int {
	if w.calls.pending == nil {
		w.calls.pending = map[int]time.Time{}
	}
	w.calls.serial++
	w.calls.pending[w.calls.serial] = expected
	return w.calls.serial
}

// answered notes the outcome of a call. The caller holds the lock.
func (p *Planner) answered(w *worker, call int, err error) {
	expected := w.calls.pending[call]
	delete(w.calls.pending, call)
	var unknown *platform.UnknownOutcomeError
	var unavailable *platform.UnavailableError
	if errors.As(err, &unknown) || errors.As(err, &unavailable) {
		if expected.After(w.calls.missed) {
			w.calls.missed = expected
		}
		return
	}
	w.calls.missed = time.Time{}
	c := p.centre(w)
	c.heard = time.Now()
	if c.silent {
		c.silent = false
		p.Log.Info("data centre answers again", "datacentre", w.info.DataCentre)
	}
}

func (p *Planner) centre(w *worker) *centre {
	c := p.centres[w.info.DataCentre]
	if c == nil {
		c = &centre{}
		p.centres[w.info.DataCentre] = c
	}
	return c
}

// checkCentres finds the data centres of which several workers owe an answer
// while none has answered since. The caller holds the lock.
func (p *Planner) checkCentres(now time.Time) {
	owing := map[*centre]int{}
	for _, w := range p.workers {
		if c := p.centre(w); w.calls.overdue(c.heard, now) {
			owing[c]++
		}
	}
	for name, c := range p.centres {
		if !c.silent && owing[c] >= silentWorkers {
			c.silent = true
			p.Log.Info("data centre does not answer", "datacentre", name, "workers", owing[c], "since", now.Sub(c.heard))
		}
	}
}
