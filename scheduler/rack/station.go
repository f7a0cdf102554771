package rack

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// station is the owner's side of one worker, under the owner's lock.
type station struct {
	info   platform.WorkerInfo
	client platform.Worker
	listed bool
	// deadline is the end of the command lease.
	deadline time.Time
	// renewed is the time of the last renewal, or of the owner's start.
	renewed time.Time
	// claimed is set after the first claim, lost while the worker has not
	// answered for too long.
	claimed   bool
	lost      bool
	inventory platform.Inventory
	// turn is taken during a claim, so that claims arrive in order.
	turn chan struct{}
	// tried is closed after the first attempt to claim.
	tried chan struct{}
	// kick asks for a renewal before its time.
	kick chan struct{}
}

func newStation(w platform.WorkerInfo, client platform.Worker) *station {
	return &station{
		info:   w,
		client: client,
		listed: true,
		turn:   make(chan struct{}, 1),
		tried:  make(chan struct{}),
		kick:   make(chan struct{}, 1),
	}
}

func (s *station) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// keep renews the lease on a worker until ctx ends or the worker is dropped.
func (o *Owner) keep(ctx context.Context, st *station) {
	first := true
	for ctx.Err() == nil {
		err := o.renew(ctx, st)
		if first {
			close(st.tried)
			first = false
		}
		wait, keep := o.plan(st, err)
		if !keep {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-st.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// renew claims the worker under the owner's generation and takes over its
// inventory.
func (o *Owner) renew(ctx context.Context, st *station) error {
	select {
	case st.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-st.turn }()
	o.mu.Lock()
	o.clock++
	clock := o.clock
	lease := platform.Lease{Generation: o.generation, Deadline: time.Now().Add(commandLease)}
	ended := o.lost != nil || o.run == nil
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
	st.renewed = time.Now()
	st.claimed = true
	st.lost = false
	st.inventory = inventory
	o.observe(st, clock)
	return nil
}

func (o *Owner) checkDenied(err error) {
	var denied *platform.DeniedError
	if errors.As(err, &denied) {
		o.lose(denied)
	}
}

// plan returns the time to the next renewal, or false to drop the worker.
func (o *Owner) plan(st *station, err error) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if err != nil && !st.lost && now.Sub(st.renewed) >= lostAfter {
		o.log.Info("worker is lost", "worker", st.info.Name)
		st.lost = true
		o.loseWorker(st)
	}
	idle := st.claimed && len(st.inventory.Tasks) == 0
	if !st.listed && (st.lost || idle) {
		delete(o.stations, st.info.Name)
		o.settleAll()
		return 0, false
	}
	if err != nil {
		return retryInterval, true
	}
	return o.pollInterval(st, now), true
}

// pollInterval is short while a task has just started or is about to end.
func (o *Owner) pollInterval(st *station, now time.Time) time.Duration {
	interval := renewInterval
	for _, t := range st.inventory.Tasks {
		if t.State != platform.TaskRunning {
			continue
		}
		interval = min(interval, now.Sub(t.Started)/pollShare)
		if g := o.gangs[refOf(t.Reservation.Task)]; g != nil && !g.ends.IsZero() {
			interval = min(interval, now.Sub(g.ends).Abs()/pollShare)
		}
	}
	return max(interval, pollFirst)
}

// permit checks the own deadline before an action on a worker.
func (o *Owner) permit(st *station) (platform.Generation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost != nil || o.run == nil {
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
	if o.lost != nil {
		e.Generation = o.lost.Generation
	}
	return e
}

// order is a command to a worker under a generation.
type order func(ctx context.Context, w platform.Worker, g platform.Generation) error

// command carries out one order for a member.
func (o *Owner) command(ctx context.Context, p *place, do order) error {
	st, err := o.busy(p)
	if err != nil {
		return err
	}
	defer o.idle(p)
	g, err := o.permit(st)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = do(ctx, st.client, g)
	o.checkDenied(err)
	return err
}

func (o *Owner) busy(p *place) (*station, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := o.stations[p.worker]
	if st == nil {
		return nil, &platform.NotFoundError{Kind: "worker", Name: p.worker}
	}
	p.busy++
	return st, nil
}

func (o *Owner) idle(p *place) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.busy--
	o.clock++
	p.changed = o.clock
}

// insist repeats an order as long as again holds for its error, until ctx ends.
func (o *Owner) insist(ctx context.Context, p *place, do order, again func(error) bool) error {
	for {
		err := o.command(ctx, p, do)
		if !again(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(callRetry):
		}
	}
}

// unsent tells whether the worker has not received an order.
func unsent(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable)
}

// transient tells whether an order may succeed when it is repeated.
func transient(err error) bool {
	var unknown *platform.UnknownOutcomeError
	return errors.As(err, &unknown) || unsent(err)
}
