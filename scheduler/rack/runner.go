package rack

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// run claims and owns the rack repeatedly until it is released or ctx ends.
func (r *rackRunner) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, r.release)
	defer stop()
	for {
		result, ok := r.awaitClaimable(ctx)
		if !ok {
			return
		}
		if !r.runOwner(ctx, result) {
			return
		}
	}
}

// awaitClaimable surveys the rack until it may be claimed. It returns false if the
// rack is released.
func (r *rackRunner) awaitClaimable(ctx context.Context) (surveyResult, bool) {
	begin := time.Now()
	for {
		result, err := survey(ctx, r.rack, r.clients())
		if r.isReleased() {
			return result, false
		}
		if err == nil && r.mayClaim(result, begin, time.Now()) {
			return result, true
		}
		delay := surveyInterval
		if err == nil && r.lastDenial() == nil {
			delay = surveyInterval / 5 // a hand-over is in progress
		}
		select {
		case <-r.released:
			return result, false
		case <-time.After(delay):
		}
	}
}

// mayClaim reports whether the rack may be claimed from its current holder.
//
// An instance that was denied holds back: it does not claim the rack while the
// other instance renews its lease. Otherwise two instances that cannot reach each
// other, but both reach the workers, would repeatedly take the rack from each other.
func (r *rackRunner) mayClaim(result surveyResult, begin, now time.Time) bool {
	holder := result.generation.Holder
	if holder == "" || holder == r.manager.self.Name || result.leaseExpired(now) {
		return true
	}
	member := r.manager.isMember(holder)
	if r.manager.holdDisabled {
		return true
	}
	if d := r.lastDenial(); d != nil && d.generation == result.generation {
		died := d.holderWasMember && !member
		unknown := result.deadline.IsZero() && now.Sub(d.at) >= maxHoldTime
		return died || unknown
	}
	// A member hands the rack over as soon as it learns of the new assignment.
	return !member || now.Sub(begin) >= handOverTimeout
}

// runOwner runs an owner until the rack is lost or released. It returns false if
// the rack is released.
func (r *rackRunner) runOwner(ctx context.Context, result surveyResult) bool {
	m := r.manager
	m.mu.Lock()
	o := New(r.rack, m.self.Name, r.workers, m.fleet, m.outcomeHandler, m.options...)
	r.owner = o
	m.mu.Unlock()

	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- o.runAfterSurvey(runCtx, result) }()
	released, err := r.awaitOwner(ctx, o, cancel, ended)

	m.mu.Lock()
	defer m.mu.Unlock()
	r.owner = nil
	var lost *OwnershipLostError
	if errors.As(err, &lost) {
		g := lost.Denied.Generation
		_, member := m.members[g.Holder]
		r.latestDenial = &denial{generation: g, at: time.Now(), holderWasMember: member}
	}
	m.notify()
	return !released
}

// awaitOwner waits until the owner ends, and hands the rack over if it is
// released.
func (r *rackRunner) awaitOwner(ctx context.Context, o *Owner, cancel func(), ended <-chan error) (released bool, err error) {
	ready := o.Ready()
	for {
		select {
		case <-ready:
			ready = nil
			r.manager.mu.Lock()
			r.manager.notify()
			r.manager.mu.Unlock()
		case err := <-ended:
			return ctx.Err() != nil, err
		case <-r.released:
			if ctx.Err() == nil {
				o.Release(ctx)
			}
			cancel()
			return true, <-ended
		}
	}
}

func (r *rackRunner) isReleased() bool {
	select {
	case <-r.released:
		return true
	default:
		return false
	}
}

func (r *rackRunner) lastDenial() *denial {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	return r.latestDenial
}

func (r *rackRunner) clients() map[string]platform.Worker {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	all := map[string]platform.Worker{}
	for _, w := range r.workers {
		if client, err := r.manager.fleet.Worker(w.Name); err == nil {
			all[w.Name] = client
		}
	}
	return all
}
