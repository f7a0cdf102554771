package quote

import (
	"slices"
	"time"
)

// waiter is a request that waits in the queue for a slot.
type waiter struct {
	team        string
	template    string
	class       Class
	avoidWorker string
	enqueued    time.Time
	// queueDeadline is when the request is refused if it is still queued.
	queueDeadline time.Time
	deadline      time.Time
	// isRetry marks a retry, which is served before the other requests of its
	// team and class.
	isRetry bool
	// cost is the expected service time.
	cost float64
	// assignment receives the worker or the refusal. Its capacity is 1, so that
	// the sender does not block.
	assignment chan waitResult
}

type waitResult struct {
	worker *worker
	reason Reason
}

// flow is the queue state of one team.
type flow struct {
	name      string
	weight    float64
	guarantee float64
	running   int
	queued    int
	waiting   [3][]*waiter
	// virtualFinish is the virtual finish time of the last request served.
	virtualFinish float64
}

func (f *flow) active() bool { return f.running+f.queued > 0 }

// first returns the most urgent waiter.
func (f *flow) first() *waiter {
	for _, c := range f.waiting {
		if len(c) > 0 {
			return c[0]
		}
	}
	return nil
}

// fairQueue orders waiters by weighted fair queueing among teams, and by class
// and arrival within a team. Teams below their guarantee are served first.
type fairQueue struct {
	flows       map[string]*flow
	length      int
	virtualTime float64
}

func newFairQueue() fairQueue {
	return fairQueue{flows: map[string]*flow{}}
}

func classPriority(c Class) int {
	switch c {
	case ClassQuick:
		return 0
	case ClassPlanned:
		return 1
	default:
		return 2
	}
}

func (q *fairQueue) flow(team string) *flow {
	f, ok := q.flows[team]
	if !ok {
		f = &flow{name: team, weight: 1}
		q.flows[team] = f
	}
	return f
}

// share returns the number of slots to which the team is entitled among the
// active teams.
func (q *fairQueue) share(f *flow, slots int) float64 {
	total := 0.0
	for _, other := range q.flows {
		if other == f || other.active() {
			total += other.weight
		}
	}
	return max(float64(slots)*f.weight/total, f.guarantee)
}

// withinShare reports whether one more request keeps the team within its share.
func (q *fairQueue) withinShare(f *flow, slots int) bool {
	return float64(f.running+f.queued+1) <= q.share(f, slots)
}

// push adds a waiter to its team's queue.
func (q *fairQueue) push(w *waiter) {
	f := q.flow(w.team)
	if f.queued == 0 {
		f.virtualFinish = max(f.virtualFinish, q.virtualTime)
	}
	k := classPriority(w.class)
	if w.isRetry {
		f.waiting[k] = slices.Insert(f.waiting[k], 0, w)
	} else {
		f.waiting[k] = append(f.waiting[k], w)
	}
	f.queued++
	q.length++
}

// next returns the waiter to serve next without removing it, or nil.
func (q *fairQueue) next() *waiter {
	var best *flow
	for _, f := range q.flows {
		if f.queued > 0 && (best == nil || f.before(best)) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.first()
}

// before reports whether f is served before other. Both have waiters.
func (f *flow) before(other *flow) bool {
	guaranteed := float64(f.running) < f.guarantee
	otherGuaranteed := float64(other.running) < other.guarantee
	if guaranteed != otherGuaranteed {
		return guaranteed
	}
	finish := f.virtualFinish + f.first().cost/f.weight
	otherFinish := other.virtualFinish + other.first().cost/other.weight
	if finish != otherFinish {
		return finish < otherFinish
	}
	return f.name < other.name
}

// remove removes a waiter. It returns false if the waiter is not in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	f, ok := q.flows[w.team]
	if !ok {
		return false
	}
	k := classPriority(w.class)
	i := slices.Index(f.waiting[k], w)
	if i < 0 {
		return false
	}
	f.waiting[k] = slices.Delete(f.waiting[k], i, i+1)
	f.queued--
	q.length--
	return true
}

// serve removes a waiter that is assigned a slot and advances the virtual time.
func (q *fairQueue) serve(w *waiter) {
	f := q.flow(w.team)
	q.virtualTime = max(q.virtualTime, f.virtualFinish)
	f.virtualFinish += w.cost / f.weight
	q.remove(w)
}

// victim returns the waiter to shed from a full queue, or nil: the least urgent
// class first, and in it the newest waiter of the team furthest beyond its share.
func (q *fairQueue) victim(slots int) *waiter {
	for k := len(flow{}.waiting) - 1; k >= 0; k-- {
		if w := q.newestWaiter(k, slots); w != nil {
			return w
		}
	}
	return nil
}

// newestWaiter returns the newest waiter of the class, of the team furthest
// beyond its share, or nil. Teams within their share are considered only if the
// class is background.
func (q *fairQueue) newestWaiter(class, slots int) *waiter {
	var best *flow
	maxExcess := 0.0
	for _, f := range q.flows {
		if len(f.waiting[class]) == 0 {
			continue
		}
		excess := float64(f.running+f.queued) - q.share(f, slots)
		if excess <= 0 && class != classPriority(ClassBackground) {
			continue
		}
		if best == nil || excess > maxExcess || (excess == maxExcess && f.name < best.name) {
			best, maxExcess = f, excess
		}
	}
	if best == nil {
		return nil
	}
	waiters := best.waiting[class]
	return waiters[len(waiters)-1]
}

// configure sets the weights and guarantees and removes teams that are neither
// listed nor active. The guarantees are scaled down if they exceed the slots.
func (q *fairQueue) configure(teams []Team, fraction float64, slots int) {
	for name, f := range q.flows {
		f.weight, f.guarantee = 1, 0
		if !f.active() && (f.virtualFinish <= q.virtualTime || q.length == 0) {
			delete(q.flows, name)
		}
	}
	total := 0.0
	for _, t := range teams {
		total += float64(t.Guarantee) * fraction
	}
	scale := fraction
	if total > float64(slots) {
		scale *= float64(slots) / total
	}
	for _, t := range teams {
		f := q.flow(t.Name)
		f.weight = float64(max(t.Weight, 1))
		f.guarantee = float64(t.Guarantee) * scale
	}
}

// countAhead returns the number of the team's waiters that are served before a
// new one of the class.
func (f *flow) countAhead(c Class) int {
	n := 0
	for k := 0; k <= classPriority(c); k++ {
		n += len(f.waiting[k])
	}
	return n
}
