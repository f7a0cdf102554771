package quote

import (
	"context"
	"errors"
	"time"
)

// acquire occupies a worker slot for the request, queueing the request if no
// slot is free. It returns the worker or the reason to refuse the request.
func (r *Router) acquire(ctx context.Context, w *waiter) (*worker, Reason) {
	r.mu.Lock()
	target, reason := r.enqueue(w)
	r.mu.Unlock()
	if target != nil || reason != "" {
		return target, reason
	}
	queueTimer := time.NewTimer(time.Until(w.queueDeadline))
	defer queueTimer.Stop()
	select {
	case result := <-w.assignment:
		return result.worker, result.reason
	case <-queueTimer.C:
		return r.cancelWait(w, ReasonOverload)
	case <-ctx.Done():
		return r.cancelWait(w, doneReason(ctx))
	}
}

// doneReason maps the cause of a request's context being done to a reason.
func doneReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// enqueue occupies a free slot or adds the request to the queue, subject to
// admission. It returns neither a worker nor a reason if the request is queued.
func (r *Router) enqueue(w *waiter) (*worker, Reason) {
	now := time.Now()
	w.enqueued = now
	w.queueDeadline = now.Add(r.options.MaxQueueTime)
	w.cost = r.picker.serviceTimes.mean(w.template)
	service := time.Duration(w.cost)
	var target *worker
	if r.queue.length == 0 {
		r.standingQueue.markEmpty(now)
		target = r.picker.pick(r.newPickParams(w, now))
	}
	if target != nil {
		service = time.Duration(target.expectedService(&r.picker.serviceTimes, w.template, now))
	}
	f := r.queue.flow(w.team)
	if !w.isRetry || target != nil {
		if reason := r.checkAdmission(w, f, target != nil, service, now); reason != "" {
			return nil, reason
		}
	}
	r.templateCounts[w.template]++
	if target != nil {
		r.occupySlot(target, f)
		return target, ""
	}
	r.queue.push(w)
	r.shedExcess()
	r.dispatch(now)
	return nil, ""
}

func (r *Router) checkAdmission(w *waiter, f *flow, slotFree bool, service time.Duration, now time.Time) Reason {
	slots := r.picker.slots(now)
	state := queueState{
		hasWorkers:   slots > 0,
		slotFree:     slotFree,
		overloaded:   r.standingQueue.overloaded(r.queue.length, now),
		queued:       r.queue.length,
		limit:        r.limit(slots),
		slots:        slots,
		meanSlotTime: time.Duration(r.meanSlotTime.value),
	}
	request := admissionRequest{
		class:          w.class,
		remaining:      w.deadline.Sub(now),
		service:        service,
		probesEstimate: r.templateCounts[w.template] == 0,
	}
	if !slotFree {
		request.teamShare = r.queue.share(f, slots)
		request.withinShare = float64(f.running+f.queued+1) <= request.teamShare
		request.teamAhead = f.countAhead(w.class)
	}
	if r.options.disabled.admission && state.hasWorkers {
		return ""
	}
	return admit(state, request)
}

// limit returns the maximum queue length for the number of slots.
func (r *Router) limit(slots int) int {
	return max(r.options.QueuePerSlot*slots, 1)
}

func (r *Router) newPickParams(w *waiter, now time.Time) pickParams {
	return pickParams{
		policy:      r.options.Policy,
		sampleSize:  r.options.Choices,
		template:    w.template,
		avoidWorker: w.avoidWorker,
		now:         now,
		remaining:   w.deadline.Sub(now),
	}
}

// shedExcess refuses queued requests until the queue is within its limit.
func (r *Router) shedExcess() {
	if r.options.disabled.admission {
		return
	}
	slots := r.picker.slots(time.Now())
	for r.queue.length > r.limit(slots) {
		w := r.queue.victim(slots)
		if w == nil {
			return
		}
		r.reject(w, ReasonOverload)
	}
}

// dispatch assigns free slots to queued requests.
func (r *Router) dispatch(now time.Time) {
	for r.queue.length > 0 {
		w := r.queue.next()
		target := r.picker.pick(r.newPickParams(w, now))
		if target == nil {
			return
		}
		if reason := r.dropReason(w, target, now); reason != "" {
			r.reject(w, reason)
			continue
		}
		r.queue.serve(w)
		r.occupySlot(target, r.queue.flow(w.team))
		w.assignment <- waitResult{worker: target}
	}
	r.standingQueue.markEmpty(now)
}

// dropReason returns the reason to refuse the next queued request instead of
// sending it to target, or "".
func (r *Router) dropReason(w *waiter, target *worker, now time.Time) Reason {
	if r.options.disabled.admission || w.isRetry {
		return ""
	}
	service := time.Duration(target.expectedService(&r.picker.serviceTimes, w.template, now))
	if now.Add(service).After(w.deadline) && r.templateCounts[w.template] > 1 {
		return ReasonDeadline
	}
	if !r.standingQueue.overloaded(r.queue.length, now) {
		return ""
	}
	if w.class == ClassBackground {
		return ReasonOverload
	}
	slots := r.picker.slots(now)
	old := now.Sub(w.enqueued) > r.ageLimit(slots, now)
	// The last queued request is served regardless of its age: refusing it
	// would leave the slot idle.
	if old && r.queue.length > 1 && !r.queue.withinShare(r.queue.flow(w.team), slots) {
		return ReasonOverload
	}
	return ""
}

// ageLimit returns the current limit on the time a request may be queued.
func (r *Router) ageLimit(slots int, now time.Time) time.Duration {
	if !r.standingQueue.overloaded(r.queue.length, now) {
		return r.options.MaxQueueTime
	}
	return min(r.options.MaxQueueTime, max(r.options.Target, minAgeLimit(time.Duration(r.meanSlotTime.value), slots)))
}

// reject removes a request from the queue and refuses it.
func (r *Router) reject(w *waiter, reason Reason) {
	if r.queue.remove(w) {
		r.removeTemplate(w.template)
		w.assignment <- waitResult{reason: reason}
	}
}

// cancelWait removes a request from the queue. If a slot was assigned to it in
// the meantime, the request uses the slot unless its context is done.
func (r *Router) cancelWait(w *waiter, reason Reason) (*worker, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.remove(w) {
		r.removeTemplate(w.template)
		return nil, reason
	}
	result := <-w.assignment
	if result.worker == nil || reason == ReasonOverload {
		return result.worker, result.reason
	}
	r.releaseSlotLocked(result.worker, w)
	return nil, reason
}

func (r *Router) removeTemplate(template string) {
	r.templateCounts[template]--
	if r.templateCounts[template] <= 0 {
		delete(r.templateCounts, template)
	}
}

func (r *Router) occupySlot(target *worker, f *flow) {
	target.running++
	f.running++
	r.running++
}

// releaseSlotLocked frees a slot and dispatches queued requests. The caller
// holds r.mu.
func (r *Router) releaseSlotLocked(target *worker, w *waiter) {
	target.running--
	r.queue.flow(w.team).running--
	r.running--
	r.removeTemplate(w.template)
	r.dispatch(time.Now())
}

// dispatchAfter dispatches queued requests after a delay, when a worker that is
// busy or ejected may get work again.
func (r *Router) dispatchAfter(after time.Duration) {
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dispatch(time.Now())
	})
}
