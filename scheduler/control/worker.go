package control

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/throttle"
)

const (
	// holdWait is how long a worker may delay its answer until a run ends; half
	// of it is the mean time in which a silent connection is noticed.
	holdWait = 1 * time.Second
	// answerTimeout is the time for an answer beyond the wait asked for.
	answerTimeout = 600 * time.Millisecond
	// idleInterval is the time between two looks at a worker without tasks.
	idleInterval = 2 * time.Second
	// retryInterval is the time between two tries to reach a worker.
	retryInterval = 200 * time.Millisecond
	// unstoredInterval is the time between two looks at a worker whose ends
	// cannot be acknowledged yet.
	unstoredInterval = 300 * time.Millisecond
	// sameProcess is how long after an answer ends are acknowledged to a worker.
	// Later it may have restarted unseen and number other ends alike.
	sameProcess = 500 * time.Millisecond
	// silentAfter is the number of failed looks after which a worker gets no
	// new tasks.
	silentAfter = 2
	// clockDrift is how much slower a worker's clock may run, and leaseSlack
	// covers the error of the estimate of that clock.
	clockDrift = 0.02
	leaseSlack = 300 * time.Millisecond
	// endsPage is the number of ends that a worker returns at most.
	endsPage = 500
	// forgetAfter is how long an unlisted worker without tasks is kept.
	forgetAfter = 10 * time.Second
)

// worker is what the planner knows of one worker.
type worker struct {
	info   platform.RunnerInfo
	runner platform.Runner
	// listed is set while the registry names the worker, gone is when it
	// ceased to.
	listed bool
	gone   time.Time
	// beat is when the latest heartbeat came, at the earliest.
	beat time.Time
	// life is the process that has answered in this term; 0 before.
	life     int64
	failures int
	// lapse is when every lease that the worker may have got has ended.
	lapse time.Time
	// clock is the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// seen is the latest end that was handled, outstanding are those not
	// stored yet.
	seen        int64
	told        int64
	outstanding map[int64]struct{}
	used        batch.Resources
	placements  map[batch.TaskID]*placement
	// distrust is until when the worker gets no new tasks, penalty how long
	// the next failure bars it.
	distrust time.Time
	penalty  time.Duration
	fails    int
	// answeredAt is when the latest look was answered.
	answeredAt time.Time
	// level is the share of the fillers.
	level throttle.State
	calls calls
	wake  chan struct{}
	end   context.CancelFunc
}

// placement is a run that is or may be on a worker.
type placement struct {
	job    *job
	id     batch.TaskID
	step   *batch.Step
	run    int
	worker *worker
	phase  phase
	// since is when the run was confirmed.
	since time.Time
	// sampled is when the progress was last compared with that of others.
	sampled  time.Time
	progress float64
	// latest is the progress that the worker reported last.
	latest     float64
	checkpoint string
	// ticket is the permit of the adviser, or empty.
	ticket string
	// settled is when the latest order was answered; a look that was begun
	// later shows its effect.
	settled time.Time
	missing int
	// sent is set once the start was sent, doubtful if a try of it had no answer.
	sent, doubtful bool
	// tail is the reported response time, share the ordered speed in percent;
	// pacing is set while an order is on its way.
	tail   time.Duration
	share  int
	pacing bool
}

// phase is the state of a placement.
type phase int

const (
	// phaseReserved means that the run is not stored yet.
	phaseReserved phase = iota
	// phaseInherited means that an earlier planner may have ordered the run.
	phaseInherited
	phaseOrdered
	phaseRunning
	phaseStopping
)

// register takes over a listing of the workers.
func (p *Planner) register(list []platform.RunnerInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
			p.Log.Info("worker", "worker", info.ID, "leaving", info.Leaving)
		}
		if w.info.Address != info.Address {
			w.runner = p.Dialer.Runner(info)
		}
		if w.info.HeartbeatVersion != info.HeartbeatVersion {
			w.beat = p.listed
		}
		w.info = info
		w.listed = true
		w.gone = time.Time{}
		if info.Leaving {
			p.evacuate(w, now)
		}
	}
	for id, w := range p.workers {
		if w.listed {
			continue
		}
		if w.gone.IsZero() {
			w.gone = now
			p.Log.Info("worker is not listed any more", "worker", id, "placements", len(w.placements), "beat", now.Sub(w.beat))
		}
		if len(w.placements) == 0 && now.Sub(w.gone) > forgetAfter {
			w.end()
			delete(p.workers, id)
		}
	}
	p.listed = now
	p.wake()
}

// addWorker starts to look after a worker. The caller holds the lock.
func (p *Planner) addWorker(info platform.RunnerInfo) *worker {
	w := &worker{
		info: info, runner: p.Dialer.Runner(info), lapse: p.inheritedLapse(),
		outstanding: map[int64]struct{}{}, placements: map[batch.TaskID]*placement{},
		wake: make(chan struct{}, 1),
	}
	p.workers[info.ID] = w
	ctx, end := context.WithCancel(p.ctx)
	w.end = end
	p.group.Go(func() error {
		p.attend(ctx, w)
		return nil
	})
	return w
}

// inheritedLapse is when leases that an earlier planner granted have ended.
func (p *Planner) inheritedLapse() time.Time {
	return p.begun.Add(LeaseRenewalGracePeriod + p.leaseTime())
}

// leaseTime returns how long a run may go on under a lease granted now: on a
// slow clock, and until the worker has stopped it.
func (p *Planner) leaseTime() time.Duration {
	return p.Timing.Lease + time.Duration(clockDrift*float64(p.Timing.Lease)) + leaseSlack + p.Timing.StopTimeout
}

// open reports whether the worker may get new tasks.
func (w *worker) open(now time.Time) bool {
	return w.listed && !w.info.Leaving && w.life != 0 && w.life == w.info.Incarnation &&
		w.failures < silentAfter && now.After(w.distrust)
}

// lease returns the end of a full lease on the worker's clock.
func (w *worker) lease(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockAt) + lease
}

// extend notes that a lease may be granted from now on.
func (p *Planner) extend(w *worker, now time.Time) {
	if end := now.Add(p.leaseTime()); end.After(w.lapse) {
		w.lapse = end
	}
}

func (w *worker) setClock(clock time.Duration, now time.Time) {
	w.clock, w.clockAt = clock, now
}

// acknowledged returns the number up to which all ends are stored.
func (w *worker) acknowledged() int64 {
	first := w.seen
	for n := range w.outstanding {
		first = min(first, n-1)
	}
	return first
}

// nudge makes attend look at the worker soon.
func (w *worker) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// attend looks at a worker for as long as it is known: without pause while it
// has tasks, at intervals otherwise.
func (p *Planner) attend(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		pause := p.look(ctx, w)
		if pause <= 0 {
			continue
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// look renews the lease of a worker, takes over what it says, and returns the
// time until the next look.
func (p *Planner) look(ctx context.Context, w *worker) time.Duration {
	p.mu.Lock()
	if p.Term.SinceLastCommit() > LeaseRenewalGracePeriod {
		// Another planner may be in office; its leases must be able to lapse.
		p.mu.Unlock()
		return retryInterval
	}
	now := time.Now()
	h := platform.RenewLeaseRequest{Generation: p.Term.Generation()}
	if now.Sub(w.answeredAt) <= sameProcess {
		h.AcknowledgedSequence = w.acknowledged()
	}
	if w.failures < silentAfter {
		// A silent worker may get this order late, so that its lease would
		// never surely end if every try extended it.
		h.LeaseDeadline = w.lease(now, p.Timing.Lease)
	}
	if len(w.placements) > 0 && w.life != 0 && len(w.outstanding) == 0 && w.told == w.acknowledged() {
		h.Wait = holdWait
		if serving, fillers := w.shared(); len(serving) > 0 && len(fillers) > 0 {
			h.Wait = sharedWait
		}
	}
	if h.LeaseDeadline > 0 {
		p.extend(w, now)
	}
	runner := w.runner
	call := w.asked(now.Add(h.Wait))
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, h.Wait+answerTimeout)
	state, err := runner.RenewLease(ctx, h)
	cancel()

	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered(w, call, err)
	if err != nil {
		return p.unreached(w, err)
	}
	if w.failures >= silentAfter {
		p.Log.Info("worker answers again", "worker", w.info.ID, "failures", w.failures)
	}
	w.failures = 0
	w.told = max(w.told, h.AcknowledgedSequence)
	w.answeredAt = time.Now()
	p.observe(w, state, now)
	switch {
	case len(w.outstanding) > 0:
		return unstoredInterval
	case len(w.placements) > 0 || w.told != w.acknowledged():
		return 0
	}
	return idleInterval
}

// unreached notes a failed look. The caller holds the lock.
func (p *Planner) unreached(w *worker, err error) time.Duration {
	w.failures++
	var fenced *platform.FencedError
	switch {
	case errors.As(err, &fenced):
		p.Log.Info("worker obeys a later planner", "worker", w.info.ID)
	case w.failures == silentAfter:
		p.Log.Info("worker does not answer", "worker", w.info.ID, "error", err, "placements", len(w.placements))
	}
	if p.left(w) {
		p.abandon(w, "worker left")
	}
	return retryInterval
}

// silentBeats is the number of heartbeats after which the registry drops a
// silent worker, less the error of reading it at intervals.
const silentBeats = 2.5

// left reports whether a worker that announced its shutdown has exited: it no
// longer answers, and its entry went too soon after a heartbeat to have been
// dropped for silence, which a cut brings about as well.
func (p *Planner) left(w *worker) bool {
	return w.info.Leaving && !w.listed && w.failures >= silentAfter && !w.beat.IsZero() &&
		w.gone.Sub(w.beat) < time.Duration(silentBeats*float64(p.Timing.Heartbeat))
}

// abandon gives up all runs of a worker that cannot be running any more. The
// caller holds the lock.
func (p *Planner) abandon(w *worker, reason string) {
	for _, pl := range w.placements {
		p.lose(pl, reason)
	}
}

// lose gives up a run that cannot be running any more, and with it its gang.
// The caller holds the lock.
func (p *Planner) lose(pl *placement, reason string) {
	p.Log.Info("run lost", "task", pl.id, "run", pl.run, "worker", pl.worker.info.ID, "reason", reason)
	p.release(pl)
	if pl.step.Gang {
		p.stopGang(pl)
	}
}

// expire gives up runs on silent workers whose leases have ended, and forgets
// ended jobs. The caller holds the lock.
func (p *Planner) expire(now time.Time) {
	if now.Sub(p.resumed) < answerTimeout {
		// Answers that came during the pause are handled first.
		return
	}
	for _, w := range p.workers {
		if len(w.placements) > 0 && w.failures > 0 && now.After(w.lapse) {
			p.abandon(w, "lease ended")
		}
	}
}
