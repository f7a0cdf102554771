package memory

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// attempt is one attempt of a quick request, started or revoked.
type attempt struct {
	outcome platform.Outcome
	end     time.Time
}

// settled is an attempt that is forgotten when its time has come.
type settled struct {
	ref    platform.RequestRef
	forget time.Time
}

// advanceQuick ends the attempts that are due by now.
func (m *machine) advanceQuick(now time.Time) {
	for ref, a := range m.active {
		if !now.Before(a.end) {
			delete(m.active, ref)
			m.settle(now, ref, a, platform.OutcomeDone)
		}
	}
	for len(m.settled) > 0 && m.settled[0].forget.Before(now) {
		delete(m.attempts, m.settled[0].ref)
		m.settled = m.settled[1:]
	}
}

func (m *machine) settle(now time.Time, ref platform.RequestRef, a *attempt, o platform.Outcome) {
	a.outcome = o
	m.settled = append(m.settled, settled{ref: ref, forget: now.Add(m.conf.Retention)})
}

func (m *machine) load() platform.Load {
	return platform.Load{Busy: len(m.active), Slots: m.info.Slots, Leaving: m.leaving}
}

// begin starts an attempt. An attempt that was revoked or whose deadline has
// passed is refused like one that finds no slot.
func (m *machine) begin(now time.Time, r platform.Request) (run, time.Time, error) {
	if m.isDown() {
		return run{}, now, &platform.UnavailableError{Service: m.service(), Cause: errDown}
	}
	known := m.attempts[r.Ref]
	if known != nil && known.outcome != platform.OutcomeNotStarted {
		return run{}, now, &platform.UnknownOutcomeError{Service: m.service(), Cause: errDuplicate}
	}
	l := m.load()
	if l.Leaving {
		return run{}, now, &platform.LeavingError{Worker: m.info.Name}
	}
	late := !r.Deadline.IsZero() && now.After(r.Deadline)
	if known != nil || late || l.Busy >= l.Slots {
		return run{}, now, &platform.BusyError{Worker: m.info.Name, Load: l}
	}
	work := newRun(r.Payload, m.faulty())
	end := now.Add(work.duration(m.speed))
	a := &attempt{outcome: platform.OutcomeRunning, end: end}
	m.attempts[r.Ref] = a
	m.active[r.Ref] = a
	m.journal.quick(m.info.Name, r.Ref, now)
	return work, end, nil
}

// execute runs a quick request to its end. The request keeps its slot until
// then even if ctx ends first.
func (m *machine) execute(ctx context.Context, r platform.Request) (platform.Answer, error) {
	m.mu.Lock()
	begun := time.Now()
	m.advance(begun)
	down := m.down
	work, end, err := m.begin(begun, r)
	m.mu.Unlock()
	if err != nil {
		return platform.Answer{}, err
	}
	timer := time.NewTimer(end.Sub(begun))
	defer timer.Stop()
	select {
	case <-timer.C:
		return m.answer(r.Ref, work, begun, end), nil
	case <-down:
		return platform.Answer{}, &platform.UnknownOutcomeError{Service: m.service(), Cause: errDown}
	case <-ctx.Done():
		return platform.Answer{}, &platform.UnknownOutcomeError{Service: m.service(), Cause: ctx.Err()}
	}
}

func (m *machine) answer(ref platform.RequestRef, w run, begun, end time.Time) platform.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	a := platform.Answer{
		Ref:     ref,
		Failed:  w.reason != "",
		Content: []byte(w.reason),
		Started: begun,
		Ended:   end,
		Load:    m.load(),
	}
	if !a.Failed {
		a.Content = w.result()
	}
	a.Length = len(a.Content)
	a.Sum = xxhash.Sum64(a.Content)
	return a
}

// forgot tells whether the attempt may have been started before a restart. The
// retention exceeds the longest deadline, so later attempts are known.
func (m *machine) forgot(now time.Time, ref platform.RequestRef) bool {
	return m.attempts[ref] == nil && !m.restarted.IsZero() && now.Sub(m.restarted) < m.conf.Retention
}

func (m *machine) revoke(now time.Time, ref platform.RequestRef) platform.Outcome {
	if a := m.attempts[ref]; a != nil {
		return a.outcome
	}
	a := &attempt{}
	m.attempts[ref] = a
	m.settle(now, ref, a, platform.OutcomeNotStarted)
	return a.outcome
}
