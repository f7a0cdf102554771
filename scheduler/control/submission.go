package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// Outcome is the outcome of a call about a job.
type Outcome int32

// Outcomes of a call.
const (
	// OutcomeAccepted means that the job, or its cancellation, is stored.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeOK means that State or Count contains the result.
	OutcomeOK
	// OutcomeRefused means that the job is not accepted and never runs.
	OutcomeRefused
	// OutcomeInvalid means that the job is invalid.
	OutcomeInvalid
	// OutcomeNotFound means that there is no such job.
	OutcomeNotFound
	// OutcomeUnknown means that the call may take effect later.
	OutcomeUnknown
	// OutcomeUnavailable means that the call had no effect.
	OutcomeUnavailable
)

// Response is the response to a call about a job.
type Response struct {
	Outcome Outcome
	State   batch.JobState
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	Reason     string
	Count      int
}

// minRetryAfter and maxRetryAfter bound the delay of callers while the store
// does not respond. It grows with the outage, so that the few attempts of a
// caller outlast it.
const (
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 4 * time.Second
)

// registryTimeout is how long a submission waits for a new planner to read the
// registry of workers, without which it cannot tell what the workers can hold.
const registryTimeout = 500 * time.Millisecond

// Submit accepts a job that was received age ago. It returns when the job is
// stored or ctx ends.
func (p *Planner) Submit(ctx context.Context, r *schema.Batch, age time.Duration) Response {
	spec, q, guaranteed := DecodeJob(r)
	// The wall clock of the instance that received the job may be off.
	spec.AcceptedAt = time.Now().Add(-max(age, 0))
	if err := spec.Validate(); err != nil {
		return Response{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	p.awaitRegistry(ctx)
	resp, stored := panickedResponse, (<-chan Response)(nil)
	p.locked("submission", func() { resp, stored = p.admit(spec, q, guaranteed) })
	return p.awaitStored(ctx, resp, stored)
}

// panickedResponse is the response to a call whose processing panicked.
var panickedResponse = Response{Outcome: OutcomeUnknown, Reason: "the call met a fault of the planner"}

// admit adds a job unless it is known, and returns the response, or a channel for it if
// it depends on the store. The caller holds the lock.
func (p *Planner) admit(spec *batch.Job, q Queue, guaranteed int64) (Response, <-chan Response) {
	if p.unreadable[spec.ID] {
		return Response{Outcome: OutcomeUnknown, Reason: "the record of the job is damaged"}, nil
	}
	ref := JobRef{spec.ID, spec.Queue, spec.Path}
	if p.findEnded(ref) != nil {
		return Response{Outcome: OutcomeAccepted}, nil
	}
	j := p.jobs[spec.ID]
	if j != nil && !ref.names(j.spec.Queue, j.spec.ID, j.spec.Path) || p.endedJobs.byID[spec.ID] != nil {
		return Response{Outcome: OutcomeInvalid, Reason: "another queue has a job with this id"}, nil
	}
	if j == nil {
		if err := CheckSize(EncodeJob(spec, q, guaranteed), spec, p.MaxRowBytes); err != nil {
			return Response{Outcome: OutcomeInvalid, Reason: err.Error()}, nil
		}
		if resp := p.checkMemory(spec); resp.Outcome != 0 {
			return resp, nil
		}
		if resp := p.checkAdmission(spec, q); resp.Outcome != 0 {
			return resp, nil
		}
		j = newJob(spec, q, guaranteed, batch.NewProgress(spec))
		p.remember(j)
		p.live[spec.ID] = j
	}
	return Response{Outcome: OutcomeAccepted}, p.storedSignal(j, j.stored)
}

// awaitRegistry returns when the registry of workers has been read in this term, or
// after registryTimeout.
func (p *Planner) awaitRegistry(ctx context.Context) {
	select {
	case <-p.registryRead:
		return
	default:
	}
	timer := time.NewTimer(registryTimeout)
	defer timer.Stop()
	select {
	case <-p.registryRead:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storedSignal returns a channel for the response once the job's changes are stored, or
// nil if they are. The caller holds the lock.
func (p *Planner) storedSignal(j *job, stored bool) <-chan Response {
	if stored {
		return nil
	}
	// The job is stored or refused, not both.
	done := make(chan Response, 1)
	j.waiters = append(j.waiters, done)
	p.markDirty(j, func() {
		j.waiters = slices.DeleteFunc(j.waiters, func(w chan<- Response) bool { return w == done })
		done <- Response{Outcome: OutcomeAccepted}
	})
	return done
}

// awaitStored returns the response from the channel, or resp at once if it is nil.
func (p *Planner) awaitStored(ctx context.Context, resp Response, stored <-chan Response) Response {
	if stored == nil {
		return resp
	}
	p.wake()
	select {
	case resp := <-stored:
		return resp
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	return Response{Outcome: OutcomeUnknown, Reason: "the store has not answered"}
}

// startingResponse is the response of a planner that does not run yet.
var startingResponse = Response{Outcome: OutcomeUnavailable, Reason: "the planner is starting"}

// checkAdmission returns a refusal if the job cannot be served. The caller
// holds the lock.
func (p *Planner) checkAdmission(spec *batch.Job, q Queue) Response {
	switch {
	case p.ended:
		return Response{Outcome: OutcomeUnavailable, Reason: "the term has ended"}
	case p.ctx == nil:
		return startingResponse
	}
	if !p.commitStart.IsZero() && time.Since(p.commitStart) > stallThreshold {
		wait := min(max(time.Since(p.commitStart), minRetryAfter), maxRetryAfter)
		return Response{Outcome: OutcomeRefused, RetryAfter: wait, Reason: "the store does not answer"}
	}
	if len(p.workers) == 0 || p.registryReadAt.IsZero() {
		return Response{Outcome: OutcomeRefused, RetryAfter: minRetryAfter, Reason: "no worker is known yet"}
	}
	for i := range spec.Steps {
		if !p.feasible(&spec.Steps[i], q.Service) {
			return Response{Outcome: OutcomeRefused, RetryAfter: minRetryAfter, Reason: "the workers cannot hold a step at once"}
		}
	}
	return p.checkLoad(spec, q)
}

// feasible reports whether the listed workers outside evacuated data centres, if
// they were empty, could hold a task of the step, or all tasks of a gang.
func (p *Planner) feasible(s *batch.Step, service string) bool {
	need, slots, now := s.AllocatedResources(), 0, time.Now()
	for _, w := range p.workers {
		if !w.listed || w.evacuated || !w.credible(now) || w.info.Service != service || !need.Fits(w.info.Capacity) {
			continue
		}
		limit := s.Tasks
		if s.MaxPerWorker > 0 {
			limit = min(limit, s.MaxPerWorker)
		}
		if slots += need.CountIn(w.info.Capacity, limit); slots >= s.Tasks {
			return true
		}
	}
	return slots > 0 && !s.Gang
}

// Cancel cancels a job. It returns when the cancellation is stored or ctx ends.
func (p *Planner) Cancel(ctx context.Context, ref JobRef) Response {
	resp, stored := panickedResponse, (<-chan Response)(nil)
	p.locked("cancellation", func() { resp, stored = p.cancel(ref) })
	return p.awaitStored(ctx, resp, stored)
}

// cancel ends a job, and returns the response, or a channel for it if it depends on the
// store. The caller holds the lock.
func (p *Planner) cancel(ref JobRef) (Response, <-chan Response) {
	if p.ctx == nil {
		return startingResponse, nil
	}
	if p.findEnded(ref) != nil {
		return Response{Outcome: OutcomeAccepted}, nil
	}
	j, resp := p.findJob(ref)
	if j == nil {
		return resp, nil
	}
	p.processing = j
	p.endJob(j, batch.JobCancelled)
	return Response{Outcome: OutcomeAccepted}, p.storedSignal(j, j.visibleState.Final())
}

// findJob returns a job, or the response for a job that is not found. The
// caller holds the lock.
func (p *Planner) findJob(ref JobRef) (*job, Response) {
	if j := p.jobs[ref.ID]; j != nil && ref.names(j.spec.Queue, j.spec.ID, j.spec.Path) {
		return j, Response{}
	}
	if p.unreadable[ref.ID] {
		return nil, Response{Outcome: OutcomeUnavailable, Reason: "the record of the job is damaged"}
	}
	if p.ended || p.Term.SinceLastCommit() > term.LeaseDuration {
		return nil, Response{Outcome: OutcomeUnavailable, Reason: "another planner may know the job"}
	}
	return nil, Response{Outcome: OutcomeNotFound}
}

// State returns the state of a job.
func (p *Planner) State(ref JobRef) Response {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.findEnded(ref); e != nil {
		return Response{Outcome: OutcomeOK, State: e.state}
	}
	j, resp := p.findJob(ref)
	switch {
	case j == nil:
		return resp
	case !j.stored:
		return Response{Outcome: OutcomeUnavailable, Reason: "the job is not stored yet"}
	}
	return Response{Outcome: OutcomeOK, State: j.visibleState}
}

// Pending counts the jobs of a queue of which no task has started.
func (p *Planner) Pending(ref JobRef) Response {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, j := range p.live {
		if ref.names(j.spec.Queue, j.spec.ID, j.spec.Path) && j.stored && !j.started {
			n++
		}
	}
	return Response{Outcome: OutcomeOK, Count: n}
}

// ReadState returns the stored state of a job without using a planner.
func ReadState(ctx context.Context, store platform.Store, ref JobRef) (Response, error) {
	row, err := readRow(ctx, store, jobKey(ref.ID))
	if err != nil {
		return Response{}, err
	}
	if row == nil {
		return Response{Outcome: OutcomeNotFound}, nil
	}
	job := &schema.Batch{}
	if err := proto.Unmarshal(row.Value, job); err != nil {
		return Response{}, &RecordError{row.RowKey, err}
	}
	if !ref.names(job.GetQueue(), job.GetId(), job.GetPath()) {
		return Response{Outcome: OutcomeNotFound}, nil
	}
	row, err = readRow(ctx, store, progressKey(ref.ID))
	if err != nil {
		return Response{}, err
	}
	if row == nil {
		return Response{Outcome: OutcomeOK, State: batch.JobQueued}, nil
	}
	progress := &schema.BatchProgress{}
	if err := proto.Unmarshal(row.Value, progress); err != nil {
		return Response{}, &RecordError{row.RowKey, err}
	}
	return Response{Outcome: OutcomeOK, State: batch.JobState(progress.GetState())}, nil
}

// readRow returns a row, or nil if there is none.
func readRow(ctx context.Context, store platform.Store, key platform.RowKey) (*platform.StoredRow, error) {
	page, err := store.List(ctx, platform.Range{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil {
		return nil, err
	}
	if len(page.Rows) == 0 || page.Rows[0].Key != key.Key {
		return nil, nil
	}
	return &page.Rows[0], nil
}
