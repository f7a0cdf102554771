package memory

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// attempt is a started or revoked attempt of a quick request.
type attempt struct {
	outcome platform.Outcome
	end     time.Time
}

// settledAttempt is a finished or revoked attempt and when its record is
// deleted.
type settledAttempt struct {
	ref       platform.RequestRef
	expiresAt time.Time
}

// advanceQuick ends the attempts that are due by now and deletes old records of
// settled ones.
func (m *machine) advanceQuick(now time.Time) {
	for ref, a := range m.activeAttempts {
		if !now.Before(a.end) {
			delete(m.activeAttempts, ref)
			m.settle(now, ref, a, platform.OutcomeDone)
		}
	}
	for len(m.settledAttempts) > 0 && m.settledAttempts[0].expiresAt.Before(now) {
		delete(m.attempts, m.settledAttempts[0].ref)
		m.settledAttempts = m.settledAttempts[1:]
	}
}

func (m *machine) settle(now time.Time, ref platform.RequestRef, a *attempt, o platform.Outcome) {
	a.outcome = o
	m.settledAttempts = append(m.settledAttempts, settledAttempt{ref: ref, expiresAt: now.Add(m.config.Retention)})
}

func (m *machine) load() platform.Load {
	return platform.Load{Busy: len(m.activeAttempts), Slots: m.info.Slots, Leaving: m.leaving}
}

// startAttempt starts an attempt. It returns *platform.BusyError if no slot is
// free, the attempt was revoked or its deadline has passed.
func (m *machine) startAttempt(now time.Time, r platform.Request) (execution, time.Time, error) {
	if m.isDown() {
		return execution{}, now, &platform.UnavailableError{Service: m.serviceName(), Cause: errDown}
	}
	known := m.attempts[r.Ref]
	if known != nil && known.outcome != platform.OutcomeNotStarted {
		return execution{}, now, &platform.UnknownOutcomeError{Service: m.serviceName(), Cause: errDuplicate}
	}
	l := m.load()
	if l.Leaving {
		return execution{}, now, &platform.LeavingError{Worker: m.info.Name}
	}
	expired := !r.Deadline.IsZero() && now.After(r.Deadline)
	if known != nil || expired || l.Busy >= l.Slots {
		return execution{}, now, &platform.BusyError{Worker: m.info.Name, Load: l}
	}
	exec := newExecution(r.Payload, m.sampleFailure())
	end := now.Add(exec.duration(m.speed))
	a := &attempt{outcome: platform.OutcomeRunning, end: end}
	m.attempts[r.Ref] = a
	m.activeAttempts[r.Ref] = a
	m.startLog.addQuick(m.info.Name, r.Ref, now)
	return exec, end, nil
}

// execute runs a quick request and returns its answer. The request occupies its
// slot until its end, even if ctx ends first.
func (m *machine) execute(ctx context.Context, r platform.Request) (platform.Answer, error) {
	m.mu.Lock()
	started := time.Now()
	m.advance(started)
	down := m.down
	exec, end, err := m.startAttempt(started, r)
	m.mu.Unlock()
	if err != nil {
		return platform.Answer{}, err
	}
	timer := time.NewTimer(end.Sub(started))
	defer timer.Stop()
	select {
	case <-timer.C:
		return m.newAnswer(r.Ref, exec, started, end), nil
	case <-down:
		return platform.Answer{}, &platform.UnknownOutcomeError{Service: m.serviceName(), Cause: errDown}
	case <-ctx.Done():
		return platform.Answer{}, &platform.UnknownOutcomeError{Service: m.serviceName(), Cause: ctx.Err()}
	}
}

func (m *machine) newAnswer(ref platform.RequestRef, exec execution, started, end time.Time) platform.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	a := platform.Answer{
		Ref:     ref,
		Failed:  exec.failureReason != "",
		Content: []byte(exec.failureReason),
		Started: started,
		Ended:   end,
		Load:    m.load(),
	}
	if !a.Failed {
		a.Content = exec.result()
	}
	a.Length = len(a.Content)
	a.Sum = xxhash.Sum64(a.Content)
	return a
}

// mayHaveForgotten reports whether the attempt may have been started before a
// restart. Once the retention, which exceeds the longest deadline, has passed
// since the restart, no such attempt is left.
func (m *machine) mayHaveForgotten(now time.Time, ref platform.RequestRef) bool {
	return m.attempts[ref] == nil && !m.restarted.IsZero() && now.Sub(m.restarted) < m.config.Retention
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
