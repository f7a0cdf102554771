package quote

import (
	"context"
	"errors"
	"time"
)

// acquire returns a worker with a slot taken for the request, waiting in the
// queue if need be, or the reason to refuse it.
func (r *Router) acquire(ctx context.Context, w *waiter) (*worker, Reason) {
	r.mu.Lock()
	target, reason := r.enqueue(w)
	r.mu.Unlock()
	if target != nil || reason != "" {
		return target, reason
	}
	age := time.NewTimer(time.Until(w.age))
	defer age.Stop()
	select {
	case g := <-w.grant:
		return g.worker, g.reason
	case <-age.C:
		return r.withdraw(w, ReasonOverload)
	case <-ctx.Done():
		return r.withdraw(w, endReason(ctx))
	}
}

// endReason tells why the context of a request is done.
func endReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// enqueue takes a slot at once or admits the request to the queue. It returns
// neither a worker nor a reason if the request waits.
func (r *Router) enqueue(w *waiter) (*worker, Reason) {
	now := time.Now()
	w.enqueued = now
	w.age = now.Add(r.options.MaxQueueTime)
	w.cost = r.picker.speeds.base(w.template)
	service := time.Duration(w.cost)
	var target *worker
	if r.queue.length == 0 {
		r.standing.drained(now)
		target = r.picker.pick(r.choice(w, now))
	}
	if target != nil {
		service = time.Duration(target.service(&r.picker.speeds, w.template, now))
	}
	f := r.queue.flow(w.team)
	if !w.retry || target != nil {
		if reason := r.decide(w, f, target != nil, service, now); reason != "" {
			return nil, reason
		}
	}
	r.templates[w.template]++
	if target != nil {
		r.take(target, f)
		return target, ""
	}
	r.queue.push(w)
	r.displace()
	r.dispatch(now)
	return nil, ""
}

func (r *Router) decide(w *waiter, f *flow, idle bool, service time.Duration, now time.Time) Reason {
	slots := r.picker.slots(now)
	c := conditions{
		usable:     slots > 0,
		idle:       idle,
		overloaded: r.standing.overloaded(r.queue.length, now),
		queued:     r.queue.length,
		limit:      r.limit(slots),
		slots:      slots,
		holding:    time.Duration(r.holding.value),
	}
	a := applicant{
		class:     w.class,
		remaining: w.deadline.Sub(now),
		service:   service,
		trial:     r.templates[w.template] == 0,
	}
	if !idle {
		a.share = r.queue.share(f, slots)
		a.within = float64(f.running+f.queued+1) <= a.share
		a.ahead = f.ahead(w.class)
	}
	if r.options.off.admission && c.usable {
		return ""
	}
	return admit(c, a)
}

// limit returns the bound on the queue's length.
func (r *Router) limit(slots int) int {
	return max(r.options.QueuePerSlot*slots, 1)
}

func (r *Router) choice(w *waiter, now time.Time) choice {
	return choice{
		policy:    r.options.Policy,
		size:      r.options.Choices,
		template:  w.template,
		avoid:     w.avoid,
		now:       now,
		remaining: w.deadline.Sub(now),
	}
}

// displace refuses waiters until the queue is within its bound.
func (r *Router) displace() {
	if r.options.off.admission {
		return
	}
	slots := r.picker.slots(time.Now())
	for r.queue.length > r.limit(slots) {
		w := r.queue.victim(slots)
		if w == nil {
			return
		}
		r.dismiss(w, ReasonOverload)
	}
}

// dispatch gives free slots to waiters.
func (r *Router) dispatch(now time.Time) {
	for r.queue.length > 0 {
		w := r.queue.next()
		target := r.picker.pick(r.choice(w, now))
		if target == nil {
			return
		}
		if reason := r.stale(w, target, now); reason != "" {
			r.dismiss(w, reason)
			continue
		}
		r.queue.serve(w)
		r.take(target, r.queue.flow(w.team))
		w.grant <- grant{worker: target}
	}
	r.standing.drained(now)
}

// stale returns the reason to drop a waiter whose turn has come, or "".
func (r *Router) stale(w *waiter, target *worker, now time.Time) Reason {
	if r.options.off.admission || w.retry {
		return ""
	}
	service := time.Duration(target.service(&r.picker.speeds, w.template, now))
	if now.Add(service).After(w.deadline) && r.templates[w.template] > 1 {
		return ReasonDeadline
	}
	if !r.standing.overloaded(r.queue.length, now) {
		return ""
	}
	if w.class == ClassBackground {
		return ReasonOverload
	}
	slots := r.picker.slots(now)
	old := now.Sub(w.enqueued) > r.ageLimit(slots, now)
	// The last waiter is served whatever its age: refusing it would leave the
	// slot empty.
	if old && r.queue.length > 1 && !r.queue.within(r.queue.flow(w.team), slots) {
		return ReasonOverload
	}
	return ""
}

// ageLimit returns the bound on the time in the queue that applies now.
func (r *Router) ageLimit(slots int, now time.Time) time.Duration {
	if !r.standing.overloaded(r.queue.length, now) {
		return r.options.MaxQueueTime
	}
	return min(r.options.MaxQueueTime, max(r.options.Target, gap(time.Duration(r.holding.value), slots)))
}

// dismiss refuses a waiter.
func (r *Router) dismiss(w *waiter, reason Reason) {
	if r.queue.remove(w) {
		r.forget(w.template)
		w.grant <- grant{reason: reason}
	}
}

// withdraw takes a waiter out of the queue. If a slot was granted meanwhile,
// the request uses it unless its context is done.
func (r *Router) withdraw(w *waiter, reason Reason) (*worker, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.remove(w) {
		r.forget(w.template)
		return nil, reason
	}
	g := <-w.grant
	if g.worker == nil || reason == ReasonOverload {
		return g.worker, g.reason
	}
	r.release(g.worker, w)
	return nil, reason
}

func (r *Router) forget(template string) {
	r.templates[template]--
	if r.templates[template] <= 0 {
		delete(r.templates, template)
	}
}

func (r *Router) take(target *worker, f *flow) {
	target.running++
	f.running++
	r.running++
}

// release frees a slot and gives it to the next waiter.
func (r *Router) release(target *worker, w *waiter) {
	target.running--
	r.queue.flow(w.team).running--
	r.running--
	r.forget(w.template)
	r.dispatch(time.Now())
}

// wake dispatches after a worker's pause.
func (r *Router) wake(after time.Duration) {
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dispatch(time.Now())
	})
}
