package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/interference"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/throttle"
	"daisylug.example/scheduler/trust"
)

const (
	// longPollTimeout is how long a worker may delay its response until a run ends.
	// Half of it is the mean time in which a broken connection is noticed.
	longPollTimeout = 1 * time.Second
	// responseTimeout is the time for a response in addition to the requested
	// wait.
	responseTimeout = 600 * time.Millisecond
	// idlePollInterval is the time between two polls of a worker without tasks.
	idlePollInterval = 2 * time.Second
	// pollRetryInterval is the delay after a failed poll.
	pollRetryInterval = 200 * time.Millisecond
	// unstoredPollInterval is the time between two polls of a worker whose ends
	// cannot be acknowledged yet.
	unstoredPollInterval = 300 * time.Millisecond
	// acknowledgeWindow is how long after a response ends are acknowledged to a
	// worker. Later, the worker may have restarted unnoticed and reused the
	// sequence numbers for other ends.
	acknowledgeWindow = 500 * time.Millisecond
	// maxFailedPolls is the number of failed polls after which a worker gets no
	// new tasks.
	maxFailedPolls = 2
	// maxReportedEnds is the maximum number of ends in a worker's report.
	maxReportedEnds = 500
	// unlistedRetention is how long an unlisted worker without tasks is kept.
	unlistedRetention = 10 * time.Second
)

// worker is the planner's state of one worker.
type worker struct {
	info   platform.RunnerInfo
	runner platform.Runner
	// evacuated is set while the worker's data centre is being evacuated.
	evacuated bool
	// coldUntil is until when the worker is slow after its start.
	coldUntil time.Time
	// listed is set while the registry contains the worker. unlistedAt is when
	// it disappeared.
	listed     bool
	unlistedAt time.Time
	// credibleUntil is until when the worker counts without having responded.
	// firstListedAt is when the registry first listed it.
	credibleUntil time.Time
	firstListedAt time.Time
	// lastHeartbeat is the earliest possible time of the latest heartbeat.
	lastHeartbeat time.Time
	// incarnation is the process that has responded in this term, or 0.
	incarnation int64
	// token is the fencing token of the calls to the worker. fencedIncarnation is the
	// latest process that got a new one, or 0.
	token             uint64
	fencedIncarnation int64
	failedPolls       int
	// leasesEnd is when every lease that the worker may hold has expired.
	leasesEnd time.Time
	// clock is the worker's clock at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// lastSequence is the latest end that was processed. unstoredEnds are
	// processed ends that are not stored yet, each with the attempt to process it.
	lastSequence         int64
	acknowledgedSequence int64
	unstoredEnds         map[int64]int
	endAttempts          int
	// heldEnds are those of them that belong to isolated jobs.
	heldEnds   map[int64]struct{}
	used       batch.Resources
	placements map[batch.TaskID]*placement
	// trust follows from the ends of the worker's runs.
	trust trust.State
	// lastResponse is when the latest poll was answered.
	lastResponse time.Time
	// bestEffortShare is the throttling state of the best-effort tasks.
	bestEffortShare throttle.State
	// presence records which kinds of tasks have run on the worker.
	presence     interference.Presence
	calls        callTracker
	pollRequests chan struct{}
	cancel       context.CancelFunc
}

// updateWorkers applies a listing of the workers.
func (p *Planner) updateWorkers(list []platform.RunnerInfo) {
	p.locked("listing of the workers", func() { p.applyListing(list) })
	p.wake()
}

// applyListing is updateWorkers for callers that hold the lock.
func (p *Planner) applyListing(list []platform.RunnerInfo) {
	now := time.Now()
	for _, w := range p.workers {
		w.listed = false
	}
	for _, info := range list {
		w := p.workers[info.ID]
		if w == nil {
			w = p.addWorker(info)
		}
		if w.info.Leaving != info.Leaving {
			p.Log.Info("worker leaving state changed", "worker", info.ID, "leaving", info.Leaving)
		}
		if w.info.Incarnation != info.Incarnation {
			// The earlier the new process is fenced, the fewer late orders reach it.
			w.requestPoll()
		}
		if w.info.Address != info.Address {
			w.runner = p.Dialer.Runner(info)
		}
		if w.info.HeartbeatVersion != info.HeartbeatVersion {
			if !p.registryReadAt.IsZero() {
				w.lastHeartbeat = p.registryReadAt
			}
			w.believe(now, p.Timing.Heartbeat)
			if info.ColdRemaining > 0 {
				w.coldUntil = now.Add(info.ColdRemaining)
			}
		}
		w.info = info
		w.listed = true
		w.unlistedAt = time.Time{}
		if info.Leaving {
			p.vacate(w, now)
		}
	}
	for id, w := range p.workers {
		if w.listed {
			continue
		}
		if w.unlistedAt.IsZero() {
			w.unlistedAt = now
			p.Log.Info("worker disappeared from the registry", "worker", id, "placements", len(w.placements), "beat", now.Sub(w.lastHeartbeat))
		}
		if len(w.placements) == 0 && now.Sub(w.unlistedAt) > unlistedRetention {
			w.cancel()
			delete(p.workers, id)
			// If the worker comes back, it rejects orders from before.
			p.nextToken()
		}
	}
	if p.registryReadAt.IsZero() {
		close(p.registryRead)
	}
	p.registryReadAt = now
}

// addWorker adds a worker and starts polling it. The caller holds the lock.
func (p *Planner) addWorker(info platform.RunnerInfo) *worker {
	w := &worker{
		info: info, runner: p.Dialer.Runner(info), leasesEnd: p.inheritedLeasesEnd(info.ID), token: p.Term.Generation() + p.tokensUsed,
		unstoredEnds: map[int64]int{}, heldEnds: map[int64]struct{}{}, placements: map[batch.TaskID]*placement{},
		pollRequests: make(chan struct{}, 1),
	}
	w.firstListedAt = time.Now()
	w.believe(w.firstListedAt, p.Timing.Heartbeat)
	p.workers[info.ID] = w
	ctx, cancel := context.WithCancel(p.ctx)
	w.cancel = cancel
	p.spawn("polling", func() { p.pollLoop(ctx, w) })
	return w
}

const (
	// credibleHeartbeats is the number of heartbeat intervals for which an entry of
	// the registry counts as a worker without a response, and minCredibleTime the
	// least such time: a planner responds to its first polls within it.
	credibleHeartbeats = 4
	minCredibleTime    = 5 * time.Second
	// maxCredibleTime is how long an entry counts without a response even if it has
	// heartbeats. It is well above the length of the outages that were seen.
	maxCredibleTime = 30 * time.Second
)

// believe lets the worker count for a while because it was listed with a new
// heartbeat.
func (w *worker) believe(now time.Time, heartbeat time.Duration) {
	until := now.Add(max(credibleHeartbeats*heartbeat, minCredibleTime))
	if limit := w.firstListedAt.Add(maxCredibleTime); limit.Before(until) {
		until = limit
	}
	w.credibleUntil = until
}

// credible reports whether there is a worker behind the entry of the registry, as
// far as is known. Entries of other writers look like workers but never respond.
func (w *worker) credible(now time.Time) bool {
	return w.incarnation != 0 || len(w.placements) > 0 || now.Before(w.credibleUntil)
}

// schedulable reports whether the worker may get new tasks.
func (w *worker) schedulable(now time.Time) bool {
	return w.listed && !w.info.Leaving && !w.evacuated && w.incarnation != 0 && !w.restarting() &&
		w.failedPolls < maxFailedPolls && now.After(w.trust.RefusedUntil())
}

// leaseDeadline returns the end of a full lease on the worker's clock.
func (w *worker) leaseDeadline(now time.Time, lease time.Duration) time.Duration {
	if w.clockReadAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockReadAt) + lease
}

// recordLease extends leasesEnd by a lease that the worker may get now.
func (p *Planner) recordLease(w *worker, now time.Time) {
	if leaseEnd := now.Add(p.maxLeaseTime()); leaseEnd.After(w.leasesEnd) {
		w.leasesEnd = leaseEnd
	}
}

func (w *worker) setClock(clock time.Duration, now time.Time) {
	w.clock, w.clockReadAt = clock, now
}

// storedSequence returns the sequence number up to which all ends are stored.
func (w *worker) storedSequence() int64 {
	stored := w.lastSequence
	for n := range w.unstoredEnds {
		stored = min(stored, n-1)
	}
	return stored
}

// requestPoll triggers an early poll of the worker.
func (w *worker) requestPoll() {
	select {
	case w.pollRequests <- struct{}{}:
	default:
	}
}

// pollLoop polls a worker until it is removed: continuously while it has tasks,
// at intervals otherwise.
func (p *Planner) pollLoop(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		delay := p.poll(ctx, w)
		if delay <= 0 {
			continue
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-w.pollRequests:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// pollCall is a poll of a worker.
type pollCall struct {
	runner  platform.Runner
	request platform.RenewLeaseRequest
	begin   time.Time
	// tracked identifies the call in the worker's call tracker.
	tracked int
}

// poll renews the lease of a worker, processes its report, and returns the
// delay before the next poll.
func (p *Planner) poll(ctx context.Context, w *worker) time.Duration {
	var c *pollCall
	p.locked("polling", func() { c = p.preparePoll(w) })
	if c == nil {
		return pollRetryInterval
	}
	ctx, cancel := context.WithTimeout(ctx, c.request.Wait+responseTimeout)
	state, err := c.runner.RenewLease(ctx, c.request)
	cancel()
	delay := pollRetryInterval
	p.locked("report of a worker", func() { delay = p.handlePollResponse(w, c, state, err) })
	return delay
}

// preparePoll returns the next poll of a worker, or nil while its leases must be able to
// expire because another planner may be active. The caller holds the lock.
func (p *Planner) preparePoll(w *worker) *pollCall {
	if p.ended || p.Term.SinceLastCommit() > LeaseRenewalGracePeriod {
		return nil
	}
	now := time.Now()
	request := platform.RenewLeaseRequest{Generation: w.token}
	if now.Sub(w.lastResponse) <= acknowledgeWindow && !w.fencing() {
		request.AcknowledgedSequence = w.storedSequence()
	}
	if w.failedPolls < maxFailedPolls {
		// An unresponsive worker may get this request late. If every attempt
		// extended the lease, it would never be certain to have expired.
		request.LeaseDeadline = w.leaseDeadline(now, p.grantableLease())
	}
	if len(w.placements) > 0 && w.incarnation != 0 && !w.fencing() && len(w.unstoredEnds) == 0 && w.acknowledgedSequence == w.storedSequence() {
		request.Wait = longPollTimeout
		if serving, bestEffort := w.sharedTasks(); len(serving) > 0 && len(bestEffort) > 0 {
			request.Wait = sharedLongPollTimeout
		}
	}
	if request.LeaseDeadline > 0 {
		p.recordLease(w, now)
	}
	return &pollCall{runner: w.runner, request: request, begin: now, tracked: w.trackCall(now.Add(request.Wait))}
}

// handlePollResponse processes the response to a poll and returns the delay before the
// next one. The caller holds the lock.
func (p *Planner) handlePollResponse(w *worker, c *pollCall, state platform.RunnerState, err error) time.Duration {
	p.recordResponse(w, c.tracked, err)
	if err != nil {
		return p.handlePollError(w, err)
	}
	if w.failedPolls >= maxFailedPolls {
		p.Log.Info("worker responds again", "worker", w.info.ID, "failures", w.failedPolls)
		w.trust = w.trust.WithSilence(time.Now())
	}
	w.failedPolls = 0
	w.acknowledgedSequence = max(w.acknowledgedSequence, c.request.AcknowledgedSequence)
	w.lastResponse = time.Now()
	if w.awaitsFence(state) {
		p.fenceProcess(w, state)
		return 0
	}
	p.handleReport(w, state, c.begin)
	switch {
	case len(w.unstoredEnds) > 0:
		return unstoredPollInterval
	case len(w.placements) > 0 || w.acknowledgedSequence != w.storedSequence():
		return 0
	}
	return idlePollInterval
}

// handlePollError records a failed poll and returns the delay before the next
// one. The caller holds the lock.
func (p *Planner) handlePollError(w *worker, err error) time.Duration {
	w.failedPolls++
	var fenced *platform.FencedError
	switch {
	case errors.As(err, &fenced):
		p.Log.Info("poll rejected, worker follows a newer planner", "worker", w.info.ID)
	case w.failedPolls == maxFailedPolls:
		p.Log.Info("worker does not respond", "worker", w.info.ID, "error", err, "placements", len(w.placements))
	}
	if p.exited(w) {
		p.loseUnendedRuns(w, time.Now())
	}
	if !w.credible(time.Now()) {
		return idlePollInterval
	}
	return pollRetryInterval
}

// minMissedHeartbeats is the number of heartbeat intervals after which the
// registry drops a worker that sends no heartbeats, less the error of reading
// the registry at intervals.
const minMissedHeartbeats = 2.5

// exited reports whether a worker that announced its shutdown has exited: it no
// longer responds, and its registry entry disappeared too soon after a
// heartbeat to have been dropped for missing ones, which a network partition
// causes as well.
func (p *Planner) exited(w *worker) bool {
	return w.info.Leaving && !w.listed && w.failedPolls >= maxFailedPolls && !w.lastHeartbeat.IsZero() &&
		w.unlistedAt.Sub(w.lastHeartbeat) < time.Duration(minMissedHeartbeats*float64(p.Timing.Heartbeat))
}

// loseRuns gives up all runs of a worker that cannot be running any more. The
// caller holds the lock.
func (p *Planner) loseRuns(w *worker, reason string) {
	for _, pl := range w.placements {
		p.contain(pl.job, "loss of a run", func() { p.loseRun(pl, reason) })
	}
}

// loseRun gives up a run that cannot be running any more, and stops the rest of
// its gang. The caller holds the lock.
func (p *Planner) loseRun(pl *placement, reason string) {
	p.Log.Info("run lost", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "reason", reason)
	p.requeue(pl)
	if pl.step.Gang {
		p.stopGang(pl)
	}
}

// expireLeases gives up the runs on unresponsive workers whose leases have
// expired. The caller holds the lock.
func (p *Planner) expireLeases(now time.Time) {
	if now.Sub(p.resumedAt) < responseTimeout {
		// Responses that arrived during the pause are processed first.
		return
	}
	for _, w := range p.workers {
		if len(w.placements) > 0 && w.failedPolls > 0 && now.After(w.leasesEnd) {
			p.loseRuns(w, "lease expired")
		}
	}
}
