package quote

import (
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	team     string
	template string
	class    Class
	avoid    string
	enqueued time.Time
	// age is the bound on the time in the queue.
	age      time.Time
	deadline time.Time
	// retry waiters go before the others of their team and class.
	retry bool
	// cost is the expected time in a slot.
	cost float64
	// grant receives the worker or the refusal; it has room for one.
	grant chan grant
}

type grant struct {
	worker *worker
	reason Reason
}

// flow is the state of one team.
type flow struct {
	name      string
	weight    float64
	guarantee float64
	running   int
	queued    int
	classes   [3][]*waiter
	// finish is the virtual time at which the team's last request ends.
	finish float64
}

func (f *flow) busy() bool { return f.running+f.queued > 0 }

// first returns the most urgent waiter.
func (f *flow) first() *waiter {
	for _, c := range f.classes {
		if len(c) > 0 {
			return c[0]
		}
	}
	return nil
}

// fairQueue orders waiters by weighted fair queueing among teams, and by class
// and arrival within a team. A team within its guarantee goes first.
type fairQueue struct {
	flows   map[string]*flow
	length  int
	virtual float64
}

func newFairQueue() fairQueue {
	return fairQueue{flows: map[string]*flow{}}
}

func rank(c Class) int {
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

// share returns the team's number of slots while the present teams compete.
func (q *fairQueue) share(f *flow, slots int) float64 {
	total := 0.0
	for _, other := range q.flows {
		if other == f || other.busy() {
			total += other.weight
		}
	}
	return max(float64(slots)*f.weight/total, f.guarantee)
}

// within tells whether one more request keeps the team within its share.
func (q *fairQueue) within(f *flow, slots int) bool {
	return float64(f.running+f.queued+1) <= q.share(f, slots)
}

// push adds a waiter.
func (q *fairQueue) push(w *waiter) {
	f := q.flow(w.team)
	if f.queued == 0 {
		f.finish = max(f.finish, q.virtual)
	}
	k := rank(w.class)
	if w.retry {
		f.classes[k] = slices.Insert(f.classes[k], 0, w)
	} else {
		f.classes[k] = append(f.classes[k], w)
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

// before orders two teams that have waiters.
func (f *flow) before(other *flow) bool {
	a := float64(f.running) < f.guarantee
	b := float64(other.running) < other.guarantee
	if a != b {
		return a
	}
	x := f.finish + f.first().cost/f.weight
	y := other.finish + other.first().cost/other.weight
	if x != y {
		return x < y
	}
	return f.name < other.name
}

// remove takes a waiter out and returns false if it is not in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	f, ok := q.flows[w.team]
	if !ok {
		return false
	}
	k := rank(w.class)
	i := slices.Index(f.classes[k], w)
	if i < 0 {
		return false
	}
	f.classes[k] = slices.Delete(f.classes[k], i, i+1)
	f.queued--
	q.length--
	return true
}

// serve removes a waiter that gets a slot and advances the virtual time.
func (q *fairQueue) serve(w *waiter) {
	f := q.flow(w.team)
	q.virtual = max(q.virtual, f.finish)
	f.finish += w.cost / f.weight
	q.remove(w)
}

// victim returns the waiter to displace from a full queue, or nil: background
// first, then the newest of the team furthest beyond its share.
func (q *fairQueue) victim(slots int) *waiter {
	for k := len(flow{}.classes) - 1; k >= 0; k-- {
		if w := q.newest(k, slots); w != nil {
			return w
		}
	}
	return nil
}

// newest returns the newest waiter of the class among teams beyond their
// share; any team's if the class is background.
func (q *fairQueue) newest(class, slots int) *waiter {
	var best *flow
	most := 0.0
	for _, f := range q.flows {
		if len(f.classes[class]) == 0 {
			continue
		}
		excess := float64(f.running+f.queued) - q.share(f, slots)
		if excess <= 0 && class != rank(ClassBackground) {
			continue
		}
		if best == nil || excess > most || (excess == most && f.name < best.name) {
			best, most = f, excess
		}
	}
	if best == nil {
		return nil
	}
	waiters := best.classes[class]
	return waiters[len(waiters)-1]
}

// configure sets the weights and guarantees and forgets teams that are neither
// listed nor busy. The guarantees are scaled down if they exceed the slots.
func (q *fairQueue) configure(teams []Team, part float64, slots int) {
	for name, f := range q.flows {
		f.weight, f.guarantee = 1, 0
		if !f.busy() && (f.finish <= q.virtual || q.length == 0) {
			delete(q.flows, name)
		}
	}
	total := 0.0
	for _, t := range teams {
		total += float64(t.Guarantee) * part
	}
	scale := part
	if total > float64(slots) {
		scale *= float64(slots) / total
	}
	for _, t := range teams {
		f := q.flow(t.Name)
		f.weight = float64(max(t.Weight, 1))
		f.guarantee = float64(t.Guarantee) * scale
	}
}

// ahead returns the number of the team's waiters that go before a new one.
func (f *flow) ahead(c Class) int {
	n := 0
	for k := 0; k <= rank(c); k++ {
		n += len(f.classes[k])
	}
	return n
}
