package rack

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// workerState is the owner's view of one worker. It is protected by the owner's
// lock.
type workerState struct {
	info   platform.WorkerInfo
	client platform.Worker
	listed bool
	// deadline is the end of the command lease.
	deadline time.Time
	// renewedAt is the time of the last renewal, or the time at which the owner
	// began to claim the worker.
	renewedAt time.Time
	// claimed is set after the first successful claim, lost while the worker
	// has not answered for workerLostTimeout or longer.
	claimed   bool
	lost      bool
	inventory platform.Inventory
	// claimSemaphore is held during a claim, so that claims arrive in order.
	claimSemaphore chan struct{}
	// attempted is closed after the first attempt to claim the worker.
	attempted chan struct{}
	// wakeup triggers a renewal ahead of schedule.
	wakeup chan struct{}
}

func newWorkerState(w platform.WorkerInfo, client platform.Worker) *workerState {
	return &workerState{
		info:           w,
		client:         client,
		listed:         true,
		claimSemaphore: make(chan struct{}, 1),
		attempted:      make(chan struct{}),
		wakeup:         make(chan struct{}, 1),
	}
}

func (s *workerState) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease on a worker until ctx ends or the worker is removed.
func (o *Owner) renewLoop(ctx context.Context, st *workerState) {
	first := true
	for ctx.Err() == nil {
		err := o.renew(ctx, st)
		if first {
			close(st.attempted)
			first = false
		}
		wait, ok := o.nextRenewal(st, err)
		if !ok {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-st.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew claims the worker under the owner's generation and applies the inventory
// that it returns.
func (o *Owner) renew(ctx context.Context, st *workerState) error {
	select {
	case st.claimSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-st.claimSemaphore }()
	o.mu.Lock()
	o.logicalClock++
	requestClock := o.logicalClock
	lease := platform.Lease{Generation: o.generation, Deadline: time.Now().Add(commandLeaseTTL)}
	ended := o.supersededBy != nil || o.activeRun == nil
	o.mu.Unlock()
	if ended {
		return o.notOwner()
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	inventory, err := st.client.Claim(ctx, lease)
	if err != nil {
		o.checkDenied(err)
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	st.deadline = lease.Deadline
	st.renewedAt = time.Now()
	st.claimed = true
	st.lost = false
	st.inventory = inventory
	o.applyInventory(st, requestClock)
	return nil
}

func (o *Owner) checkDenied(err error) {
	var denied *platform.DeniedError
	if errors.As(err, &denied) {
		o.loseOwnership(denied)
	}
}

// nextRenewal returns the delay until the next renewal, or false if the worker was
// removed. err is the error of the last renewal.
func (o *Owner) nextRenewal(st *workerState, err error) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if err != nil && !st.lost && now.Sub(st.renewedAt) >= workerLostTimeout {
		o.log.Info("worker unreachable, marked as lost", "worker", st.info.Name)
		st.lost = true
		o.markMembersLost(st)
	}
	idle := st.claimed && len(st.inventory.Tasks) == 0
	if !st.listed && (st.lost || idle) {
		delete(o.workerStates, st.info.Name)
		o.evaluateGangs()
		return 0, false
	}
	if err != nil {
		return retryInterval, true
	}
	return o.pollInterval(st, now), true
}

// pollInterval returns the delay until the next renewal of a worker that answers.
// The delay is short while a task has just started or is about to end.
func (o *Owner) pollInterval(st *workerState, now time.Time) time.Duration {
	interval := renewInterval
	for _, t := range st.inventory.Tasks {
		if t.State != platform.TaskRunning {
			continue
		}
		interval = min(interval, now.Sub(t.Started)/pollDivisor)
		if g := o.gangs[attemptOf(t.Reservation.Task)]; g != nil && !g.expectedEnd.IsZero() {
			interval = min(interval, now.Sub(g.expectedEnd).Abs()/pollDivisor)
		}
	}
	return max(interval, minPollInterval)
}

// checkLease returns the generation for a command to a worker, or an error if the
// rack is no longer owned or the command lease is about to end.
func (o *Owner) checkLease(st *workerState) (platform.Generation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.supersededBy != nil || o.activeRun == nil {
		return platform.Generation{}, o.notOwnerLocked()
	}
	if !time.Now().Before(st.deadline.Add(-leaseMargin)) {
		st.wake()
		return platform.Generation{}, &LeaseError{Worker: st.info.Name}
	}
	return o.generation, nil
}

func (o *Owner) notOwner() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.notOwnerLocked()
}

func (o *Owner) notOwnerLocked() error {
	e := &NotOwnerError{Rack: o.rack}
	if o.supersededBy != nil {
		e.Generation = o.supersededBy.Generation
	}
	return e
}

// command is a call of a worker under a generation.
type command func(ctx context.Context, w platform.Worker, g platform.Generation) error

// execute executes one command for a member.
func (o *Owner) execute(ctx context.Context, m *memberState, cmd command) error {
	st, err := o.beginCommand(m)
	if err != nil {
		return err
	}
	defer o.endCommand(m)
	g, err := o.checkLease(st)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = cmd(ctx, st.client, g)
	o.checkDenied(err)
	return err
}

func (o *Owner) beginCommand(m *memberState) (*workerState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := o.workerStates[m.worker]
	if st == nil {
		return nil, &platform.NotFoundError{Kind: "worker", Name: m.worker}
	}
	m.pendingCommands++
	return st, nil
}

func (o *Owner) endCommand(m *memberState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m.pendingCommands--
	o.logicalClock++
	m.lastCommand = o.logicalClock
}

// executeWithRetry executes a command and repeats it while retryable returns true
// for its error, until ctx ends.
func (o *Owner) executeWithRetry(ctx context.Context, m *memberState, cmd command, retryable func(error) bool) error {
	for {
		err := o.execute(ctx, m, cmd)
		if !retryable(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(callRetryDelay):
		}
	}
}

// isUnsent reports whether the error proves that the worker has not received a
// command.
func isUnsent(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

// isTransient reports whether a command may succeed when it is repeated.
func isTransient(err error) bool {
	var unknown *platform.UnknownOutcomeError
	return errors.As(err, &unknown) || isUnsent(err)
}
