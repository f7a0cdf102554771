package rack

import (
	"context"
	"errors"
	"time"

	"daisylug.example/scheduler/platform"
)

// run owns the rack again and again until it is released or ctx ends.
func (sl *slot) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, sl.release)
	defer stop()
	for {
		seen, ok := sl.await(ctx)
		if !ok {
			return
		}
		if !sl.own(ctx, seen) {
			return
		}
	}
}

// await surveys the rack until it may be claimed. It returns false when the
// rack is released.
func (sl *slot) await(ctx context.Context) (surveyed, bool) {
	begin := time.Now()
	for {
		seen, err := survey(ctx, sl.rack, sl.clients())
		if sl.isReleased() {
			return seen, false
		}
		if err == nil && sl.mayClaim(seen, begin, time.Now()) {
			return seen, true
		}
		pause := holdInterval
		if err == nil && sl.lastDenial() == nil {
			pause = holdInterval / 5 // a hand-over is under way
		}
		select {
		case <-sl.released:
			return seen, false
		case <-time.After(pause):
		}
	}
}

// mayClaim decides whether the rack may be taken from its present holder.
//
// An instance that was denied holds back while the other one renews its lease.
// Otherwise two instances that do not hear each other, but both reach the
// workers, would take the rack from each other again and again.
func (sl *slot) mayClaim(seen surveyed, begin, now time.Time) bool {
	holder := seen.generation.Holder
	if holder == "" || holder == sl.set.self.Name || seen.lapsed(now) {
		return true
	}
	member := sl.set.isMember(holder)
	if sl.set.eager {
		return true
	}
	if d := sl.lastDenial(); d != nil && d.generation == seen.generation {
		died := d.member && !member
		unknown := seen.deadline.IsZero() && now.Sub(d.at) >= holdLimit
		return died || unknown
	}
	// A member hands over as soon as it learns of the change.
	return !member || now.Sub(begin) >= handOverTime
}

// own runs an owner until the rack is lost or released. It returns false when
// it is released.
func (sl *slot) own(ctx context.Context, seen surveyed) bool {
	s := sl.set
	s.mu.Lock()
	o := New(sl.rack, s.self.Name, sl.workers, s.fleet, s.sink, s.options...)
	sl.owner = o
	s.mu.Unlock()

	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- o.runAfter(runCtx, seen) }()
	released, err := sl.follow(ctx, o, cancel, ended)

	s.mu.Lock()
	defer s.mu.Unlock()
	sl.owner = nil
	var lost *OwnershipLostError
	if errors.As(err, &lost) {
		g := lost.Denied.Generation
		_, member := s.members[g.Holder]
		sl.denial = &denial{generation: g, at: time.Now(), member: member}
	}
	s.notify()
	return !released
}

// follow waits for the end of an owner.
func (sl *slot) follow(ctx context.Context, o *Owner, cancel func(), ended <-chan error) (released bool, err error) {
	ready := o.Ready()
	for {
		select {
		case <-ready:
			ready = nil
			sl.set.mu.Lock()
			sl.set.notify()
			sl.set.mu.Unlock()
		case err := <-ended:
			return ctx.Err() != nil, err
		case <-sl.released:
			if ctx.Err() == nil {
				o.Release(ctx)
			}
			cancel()
			return true, <-ended
		}
	}
}

func (sl *slot) isReleased() bool {
	select {
	case <-sl.released:
		return true
	default:
		return false
	}
}

func (sl *slot) lastDenial() *denial {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	return sl.denial
}

func (sl *slot) clients() map[string]platform.Worker {
	sl.set.mu.Lock()
	defer sl.set.mu.Unlock()
	all := map[string]platform.Worker{}
	for _, w := range sl.workers {
		if client, err := sl.set.fleet.Worker(w.Name); err == nil {
			all[w.Name] = client
		}
	}
	return all
}
