package control

import (
	"fmt"
	"iter"
	"runtime/debug"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// A panic of the planner ends neither the process nor, if a job causes it, the work of
// other jobs: the job is isolated for a while and then tried again. While it is isolated
// its state stays as stored and it can be cancelled, but nothing is decided for it, and
// ends of its runs are kept for later.

const (
	// isolationTime is how long a job is isolated after a panic.
	isolationTime = 1 * time.Second
	// panicLogInterval is the time between two log lines about panics.
	panicLogInterval = 5 * time.Second
)

// PanicError reports a panic of the planner.
type PanicError struct {
	// Activity is what the planner was doing.
	Activity string
	Cause    string
}

func (e *PanicError) Error() string { return e.Activity + " panicked: " + e.Cause }

// locked runs f with the lock held. If f panics, the lock is released and the job that
// was being processed is isolated.
func (p *Planner) locked(activity string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.recoverPanic(activity)
	p.processing = nil
	f()
}

// contain runs f, which processes a job. The caller holds the lock.
func (p *Planner) contain(j *job, activity string, f func()) {
	outer := p.processing
	defer func() { p.processing = outer }()
	defer p.recoverPanic(activity)
	p.processing = j
	f()
}

// recoverPanic is deferred by functions that must not panic. The caller holds the lock.
func (p *Planner) recoverPanic(activity string) {
	if cause := recover(); cause != nil {
		p.handlePanic(activity, cause)
	}
}

// handlePanic counts a panic, logs it unless another was logged recently, and isolates
// the job that was being processed. The caller holds the lock.
func (p *Planner) handlePanic(activity string, cause any) {
	p.instruments.panics.Inc()
	j, id := p.processing, ""
	if j != nil {
		id = j.spec.ID
	}
	now := time.Now()
	if p.instruments.panics.Get() == 1 || now.Sub(p.lastPanicLog) > panicLogInterval {
		p.lastPanicLog = now
		p.Log.Error(&PanicError{activity, fmt.Sprint(cause)}, "recovered from a panic", "job", id, "stack", string(debug.Stack()))
	}
	if j != nil {
		p.isolated[j] = now.Add(isolationTime)
		delete(p.live, id)
	}
	p.processing = nil
}

// isIsolated reports whether the job is isolated. The caller holds the lock.
func (p *Planner) isIsolated(j *job) bool {
	_, ok := p.isolated[j]
	return ok
}

// reinstate ends the isolation of jobs whose time is over. The caller holds the lock.
func (p *Planner) reinstate(now time.Time) {
	for j, until := range p.isolated {
		if now.Before(until) {
			continue
		}
		delete(p.isolated, j)
		if !j.progress.State.Final() {
			p.live[j.spec.ID] = j
		}
		if j.dirty && !slices.Contains(p.dirty, j) {
			p.dirty = append(p.dirty, j)
		}
		// The panic may have left tasks without their placements.
		p.contain(j, "adoption of runs", func() { p.adoptJob(j) })
	}
}

// spawn runs f in the planner's group. A panic of f ends only f.
func (p *Planner) spawn(activity string, f func()) {
	p.group.Go(func() error {
		defer p.recoverUnlocked(activity)
		f()
		return nil
	})
}

// recoverUnlocked is like recoverPanic for callers that do not hold the lock.
func (p *Planner) recoverUnlocked(activity string) {
	if cause := recover(); cause != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.processing = nil
		p.handlePanic(activity, cause)
	}
}

// protect runs a loop of the planner. A panic outside of what the loop itself recovers
// from ends the term with an error, rather than the process.
func (p *Planner) protect(activity string, loop func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &PanicError{activity, fmt.Sprint(cause)}
			p.instruments.panics.Inc()
			p.Log.Error(err, "loop of the planner ended", "stack", string(debug.Stack()))
		}
	}()
	return loop()
}

// liveJobs iterates over the live jobs and records which one is being processed. The
// caller holds the lock.
func (p *Planner) liveJobs() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, j := range p.live {
			p.processing = j
			if !yield(j) {
				break
			}
		}
		p.processing = nil
	}
}

// maxHeldEnds is the number of ends in a worker's report from which those of isolated
// jobs are acknowledged after all: a worker reports a limited number, and others would
// no longer be seen.
const maxHeldEnds = maxReportedEnds / 2

// holdEnd keeps the end of a run of an isolated job from being acknowledged. The caller
// holds the lock.
func (p *Planner) holdEnd(w *worker, sequence int64) {
	w.endAttempts++
	w.unstoredEnds[sequence], w.heldEnds[sequence] = w.endAttempts, struct{}{}
}

// releaseHeldEnds acknowledges the ends of isolated jobs if the worker reports too many
// ends. The caller holds the lock.
func (p *Planner) releaseHeldEnds(w *worker, reported int) {
	if reported < maxHeldEnds || len(w.heldEnds) == 0 {
		return
	}
	p.Log.Info("giving up ends of isolated jobs", "worker", w.info.ID, "ends", len(w.heldEnds))
	for n := range w.heldEnds {
		delete(w.unstoredEnds, n)
	}
	clear(w.heldEnds)
}

// processEnd handles the end of a run unless that was done before, or holds it while its
// job is isolated. The caller holds the lock.
func (p *Planner) processEnd(w *worker, e platform.EndedTask) {
	j := p.jobs[e.Task.Job]
	_, held := w.heldEnds[e.Sequence]
	if !held && e.Sequence <= w.lastSequence || held && p.isIsolated(j) {
		return
	}
	if held {
		delete(w.unstoredEnds, e.Sequence)
		delete(w.heldEnds, e.Sequence)
	}
	w.lastSequence = max(w.lastSequence, e.Sequence)
	if !p.isIsolated(j) {
		p.contain(j, "end of a run", func() { p.handleEnd(w, e) })
	}
	if p.isIsolated(j) {
		p.holdEnd(w, e.Sequence)
	}
}
