package control

import (
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

const (
	// responseMargin is how much later than expected a response may arrive.
	responseMargin = 300 * time.Millisecond
	// minUnresponsiveWorkers is the number of workers with overdue responses
	// from which their data centre counts as unresponsive.
	minUnresponsiveWorkers = 2
)

// dataCentre tracks whether the workers of a data centre respond. A network
// partition is detected here long before each worker has failed on its own.
type dataCentre struct {
	// lastResponse is when one of its workers last responded.
	lastResponse time.Time
	unresponsive bool
}

// respondedSince returns when one of its workers last responded, or the start of the
// term if none has.
func (c *dataCentre) respondedSince(termStart time.Time) time.Time {
	if c.lastResponse.IsZero() {
		return termStart
	}
	return c.lastResponse
}

// callTracker tracks the unanswered calls to a worker.
type callTracker struct {
	lastID  int
	pending map[int]time.Time
	// lastMissed is when the response to the latest failed call was expected,
	// or zero.
	lastMissed time.Time
}

// overdue reports whether a response that was expected at or after since is
// missing.
func (c *callTracker) overdue(since, now time.Time) bool {
	isOverdue := func(expected time.Time) bool {
		return !expected.IsZero() && !expected.Before(since) && now.Sub(expected) > responseMargin
	}
	for _, expected := range c.pending {
		if isOverdue(expected) {
			return true
		}
	}
	return isOverdue(c.lastMissed)
}

// trackCall records a call and when its response is expected. The caller holds
// the lock.
func (w *worker) trackCall(expected time.Time) int {
	if w.calls.pending == nil {
		w.calls.pending = map[int]time.Time{}
	}
	w.calls.lastID++
	w.calls.pending[w.calls.lastID] = expected
	return w.calls.lastID
}

// recordResponse records the outcome of a call. The caller holds the lock.
func (p *Planner) recordResponse(w *worker, call int, err error) {
	expected := w.calls.pending[call]
	delete(w.calls.pending, call)
	var unknown *platform.UnknownOutcomeError
	var unavailable *platform.UnavailableError
	if errors.As(err, &unknown) || errors.As(err, &unavailable) {
		if expected.After(w.calls.lastMissed) {
			w.calls.lastMissed = expected
		}
		return
	}
	w.calls.lastMissed = time.Time{}
	c := p.dataCentreOf(w)
	c.lastResponse = time.Now()
	if c.unresponsive {
		c.unresponsive = false
		p.Log.Info("data centre responds again", "datacentre", w.info.DataCentre)
	}
}

func (p *Planner) dataCentreOf(w *worker) *dataCentre {
	c := p.dataCentres[w.info.DataCentre]
	if c == nil {
		c = &dataCentre{}
		p.dataCentres[w.info.DataCentre] = c
	}
	return c
}

// checkDataCentres detects the data centres in which several workers have
// overdue responses while none has responded since. The caller holds the lock.
func (p *Planner) checkDataCentres(now time.Time) {
	overdueWorkers := map[*dataCentre]int{}
	for _, w := range p.workers {
		if w.incarnation == 0 {
			// Nothing may be behind its entry, and it gets no tasks in any case.
			continue
		}
		if c := p.dataCentreOf(w); w.calls.overdue(c.lastResponse, now) {
			overdueWorkers[c]++
		}
	}
	for name, c := range p.dataCentres {
		if !c.unresponsive && overdueWorkers[c] >= minUnresponsiveWorkers {
			c.unresponsive = true
			p.Log.Info("data centre does not respond", "datacentre", name, "workers", overdueWorkers[c], "since", now.Sub(c.respondedSince(p.startedAt)))
		}
	}
}
