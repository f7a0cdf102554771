package control

import (
	"context"
	"time"

	"daisylug.example/scheduler/adviser"
	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

const (
	// adviceTimeout is the timeout of a call; calls of other instances may be
	// processed first.
	adviceTimeout = 10 * time.Second
	// adviceRetryDelay is the delay after a failed call. For the step of the call it
	// doubles with each failure, up to maxAdviceRetryDelay.
	adviceRetryDelay    = 300 * time.Millisecond
	maxAdviceRetryDelay = 5 * time.Second
	// maxAdviceBackoffSteps is the number of doublings that reach maxAdviceRetryDelay.
	maxAdviceBackoffSteps = 5
	// minAdviserFailures is the number of failed calls in a row that count as a
	// failure of the adviser.
	minAdviserFailures = 2
	// maxAdviceRequests is the capacity of the request queue. The adviser processes
	// one call at a time per instance, and a decision requests the most urgent
	// advice first, so that a short queue keeps the order of urgency.
	maxAdviceRequests = 2
)

// advice holds the adviser's responses about the workers for one step.
type advice struct {
	// verdicts tells for each worker process asked about whether it may run the
	// step.
	verdicts map[workerIncarnation]bool
	// tickets are the adviser's tickets by worker.
	tickets map[string]adviserTicket
	// pending is set while a request is queued or in progress.
	pending bool
	// failures is the number of calls that have failed since the latest response;
	// after one the next request waits until retryAt.
	failures int
	retryAt  time.Time
}

// workerIncarnation identifies a process of a worker.
type workerIncarnation struct {
	worker      string
	incarnation int64
}

// adviserTicket is used until expiresAt, which counts from the start of its call. Where
// calls take too long for that it is used until latestExpiry, which counts from the
// response.
type adviserTicket struct {
	value        string
	incarnation  int64
	expiresAt    time.Time
	latestExpiry time.Time
}

// adviceRequest is a call to the adviser.
type adviceRequest struct {
	job     *job
	step    batch.TaskID
	workers []workerIncarnation
}

// needsAdvice reports whether the steps of a job need tickets.
func (p *Planner) needsAdvice(j *job) bool {
	return p.Adviser != nil && p.Adviser.Configured() && p.currentQueue(j).Advised
}

// adviserTiming returns how long calls for the queue of a job take.
func (p *Planner) adviserTiming(j *job) adviser.Timing {
	return p.adviserTimings[j.spec.Queue].WithFigures(p.currentQueue(j).Adviser)
}

// fewestAdvised returns the least number of workers to ask in one call so that tasks of
// a group can start. The tickets of a gang have to be valid together, and some workers
// are rejected.
func fewestAdvised(g *assignment.Group) int {
	if !g.Gang {
		return 1
	}
	return min(2*len(g.Indexes), assignment.MaxAdviceWorkers)
}

// applyAdvice limits a group to the workers with valid tickets.
func (p *Planner) applyAdvice(j *job, g *assignment.Group, now time.Time) {
	ref := stepRef{g.Occurrence, g.Step}
	a := j.advice[ref]
	if a == nil {
		a = &advice{verdicts: map[workerIncarnation]bool{}, tickets: map[string]adviserTicket{}}
		j.advice[ref] = a
	}
	g.AdvicePending = a.pending || now.Before(a.retryAt)
	timing := p.adviserTiming(j)
	// If no call is short enough, tickets are used for as long as they may be valid; a
	// refused start costs less than a job that never starts.
	fewest := fewestAdvised(g)
	late := !timing.Fits(fewest)
	g.AdviceLimit = max(timing.Workers(assignment.MaxAdviceWorkers), fewest)
	g.Allowed, g.Rejected = map[string]bool{}, map[string]bool{}
	for id, t := range a.tickets {
		expiry := t.expiresAt
		if late {
			expiry = t.latestExpiry
		}
		if w := p.workers[id]; w != nil && w.incarnation == t.incarnation && now.Before(expiry) {
			g.Allowed[id] = true
		}
	}
	for asked, approved := range a.verdicts {
		if w := p.workers[asked.worker]; !approved && w != nil && w.incarnation == asked.incarnation {
			g.Rejected[asked.worker] = true
		}
	}
}

// queueAdvice queues the requests of a decision for the adviser, one for each
// step.
func (p *Planner) queueAdvice(v *decisionView, requests []assignment.AdviceRequest) {
	for _, r := range requests {
		g, j := &v.input.Groups[r.Group], v.jobs[r.Group]
		a := j.advice[stepRef{g.Occurrence, g.Step}]
		if a.pending {
			continue
		}
		request := adviceRequest{job: j, step: batch.TaskID{Job: j.spec.ID, Occurrence: g.Occurrence, Step: g.Step}}
		for _, i := range r.Workers {
			w := v.workers[i]
			request.workers = append(request.workers, workerIncarnation{w.info.ID, w.incarnation})
		}
		select {
		case p.adviceRequests <- request:
			a.pending = true
		default:
			// The queue is full; the next decision tries again.
			return
		}
	}
}

// processAdviceRequests calls the adviser, one call at a time, until ctx ends. It
// pauses while the adviser itself seems to fail.
func (p *Planner) processAdviceRequests(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-p.adviceRequests:
			if p.requestAdvice(ctx, request) {
				failures = 0
				continue
			}
			if failures++; failures < minAdviserFailures {
				p.wake()
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(adviceRetryDelay):
			}
		}
	}
}

// requestAdvice makes one call, unless the job has ended meanwhile. It returns
// false if the call failed.
func (p *Planner) requestAdvice(ctx context.Context, request adviceRequest) bool {
	ended := true
	p.locked("advice", func() { ended = request.job.progress.State.Final() })
	if ended {
		return true
	}
	names := make([]string, 0, len(request.workers))
	for _, w := range request.workers {
		names = append(names, w.worker)
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	answer, err := p.Adviser.Advise(callCtx, request.step, names)
	cancel()
	ok := false
	p.locked("response of the adviser", func() { ok = p.applyAdviceResponse(request, answer, start, err) })
	if ok {
		p.wake()
	}
	return ok
}

// applyAdviceResponse records the response to a call that began at start, and returns
// false if the call failed. The caller holds the lock.
func (p *Planner) applyAdviceResponse(request adviceRequest, answer platform.Advice, start time.Time, err error) bool {
	p.processing = request.job
	a := request.job.advice[stepRef{request.step.Occurrence, request.step.Step}]
	a.pending = false
	if err != nil {
		if took := time.Since(start); took >= adviceTimeout {
			p.adviserTimings[request.job.spec.Queue] = p.adviserTiming(request.job).WithTimeout(len(request.workers), took)
		}
		delay := min(adviceRetryDelay<<min(a.failures, maxAdviceBackoffSteps), maxAdviceRetryDelay)
		a.failures++
		a.retryAt = time.Now().Add(delay)
		p.Log.Info("adviser call failed", "job", request.step.Job, "step", request.step.Step, "workers", len(request.workers), "failures", a.failures,
			"retry", delay, "error", err)
		return false
	}
	a.failures, a.retryAt = 0, time.Time{}
	now := time.Now()
	p.adviserTimings[request.job.spec.Queue] = p.adviserTiming(request.job).WithCall(len(request.workers), now.Sub(start), answer.Validity)
	usable := adviser.Usable(answer.Validity)
	for _, w := range request.workers {
		value, approved := answer.Tickets[w.worker]
		a.verdicts[w] = approved
		if approved {
			a.tickets[w.worker] = adviserTicket{value, w.incarnation, start.Add(usable), now.Add(usable)}
		}
	}
	p.Log.Info("adviser responded", "job", request.step.Job, "step", request.step.Step, "workers", len(request.workers), "approved", len(answer.Tickets),
		"took", now.Sub(start), "validity", answer.Validity)
	return true
}

// ticket returns the ticket for a step on a worker, or an empty string.
func (j *job) ticket(g *assignment.Group, w *worker) string {
	if a := j.advice[stepRef{g.Occurrence, g.Step}]; a != nil {
		return a.tickets[w.info.ID].value
	}
	return ""
}

// dropTicket deletes a ticket that a worker has not accepted. The caller holds
// the lock.
func (p *Planner) dropTicket(pl *placement) {
	if a := pl.job.advice[stepRef{pl.id.Occurrence, pl.id.Step}]; a != nil {
		delete(a.tickets, pl.worker.info.ID)
	}
}
