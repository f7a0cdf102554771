package entry

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// storeCall is one call of the store.
type storeCall struct {
	method string
	// wait is how long the store may wait with the answer.
	wait time.Duration
	// write is set if the call changes rows, hedged if it may be sent another way
	// before it has failed.
	write, hedged bool
	direct        func(context.Context) (platform.Page, error)
	message       func() *schema.StoreCall
}

// storeWay is one way of a call to the store: through the named instance, or
// directly if the name is empty.
type storeWay struct {
	relay string
	// onlyAfterTimeout is set if the way is not taken because another one failed.
	onlyAfterTimeout bool
}

// wayResult is the result of a call on one way.
type wayResult struct {
	index int
	page  platform.Page
	err   error
}

// stallGrace is how late a timer must be for the process to count as stalled, and
// how long it then gets to read an answer that is there.
const stallGrace = 10 * time.Millisecond

// race is a call in progress on one or more ways.
type race struct {
	store *RelayingStore
	call  storeCall
	// ways are the ways of the call in the order in which they are taken: directly
	// first, or last if the direct path is impaired.
	ways []storeWay
	// impaired is set if the direct path was impaired at the start, complete once ways
	// holds the relays.
	impaired, complete bool
	results            chan wayResult
	// directAt is when the call was first sent directly, or zero.
	directAt time.Time
	// started is the number of ways taken, failed those that have failed.
	started int
	failed  map[int]error
	// hedges holds the ways taken before the previous one was given up.
	hedges map[int]bool
}

// call calls the store on one way after the other until one responds. The next way
// is taken when one has failed, or has not answered for long. The first response
// counts.
func (s *RelayingStore) call(ctx context.Context, c storeCall) (platform.Page, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.wait+maxCallTime)
	defer cancel()
	s.mu.Lock()
	s.budget = s.budget.withCall()
	s.mu.Unlock()
	r := &race{store: s, call: c, results: make(chan wayResult, maxRelays+1+len(repeatedWays)), failed: map[int]error{}, hedges: map[int]bool{}}
	if r.impaired = s.pathHealth().impaired(); r.impaired {
		r.ways = s.relayWays()
	}
	if r.complete = len(r.ways) > 0; r.complete {
		r.ways = append(append(r.ways, storeWay{}), repeatedWays...)
	} else {
		r.ways = []storeWay{{}}
	}
	delay := r.start(ctx)
	due, stalled := time.Now().Add(delay), false
	timer := time.NewTimer(delay)
	defer timer.Stop()
	reset := func(d time.Duration) {
		due = time.Now().Add(d)
		timer.Reset(d)
	}
	for {
		select {
		case result := <-r.results:
			if isStoreResponse(result.err) {
				r.finish(result.index)
				return result.page, result.err
			}
			r.failed[result.index] = result.err
			r.completeWays()
			next := r.started < len(r.ways) && !r.ways[r.started].onlyAfterTimeout
			switch {
			case next && ctx.Err() == nil:
				reset(r.start(ctx))
			case len(r.failed) == r.started:
				return platform.Page{}, r.failure(nil)
			}
		case <-timer.C:
			if late := time.Since(due); late > stallGrace && !stalled {
				// The process was stalled, and the answer may be there already.
				stalled = true
				reset(stallGrace)
				continue
			}
			stalled = false
			reset(r.startLate(ctx))
		case <-ctx.Done():
			r.abandon()
			if parent.Err() == nil {
				return platform.Page{}, r.failure(context.DeadlineExceeded)
			}
			return platform.Page{}, r.failure(parent.Err())
		}
	}
}

// start takes the next way and returns the time after which startLate is due.
func (r *race) start(ctx context.Context) time.Duration {
	index, way := r.started, r.ways[r.started]
	r.started++
	if way.relay == "" && r.directAt.IsZero() {
		r.directAt = time.Now()
	}
	go func() {
		result := wayResult{index: index}
		if way.relay == "" {
			result.page, result.err = r.store.callDirect(ctx, r.call.wait, r.call.direct)
		} else {
			result.page, result.err = r.store.callRelay(ctx, way.relay, r.call)
		}
		r.results <- result
	}()
	return r.call.wait + r.hedgeDelay(way)
}

// relayWays returns the ways through other instances, best first.
func (s *RelayingStore) relayWays() []storeWay {
	var ways []storeWay
	for _, name := range s.relays() {
		ways = append(ways, storeWay{relay: name})
	}
	return ways
}

// completeWays adds the relays to the ways of a call that was sent directly first.
// They are selected only when they are needed.
func (r *race) completeWays() {
	if r.complete {
		return
	}
	r.complete = true
	r.ways = append(append(r.ways, r.store.relayWays()...), repeatedWays...)
}

// repeatedWays are the last ways of a call: further direct copies, of which one gets
// through if the connection of the first was lost in an outage.
var repeatedWays = []storeWay{{onlyAfterTimeout: true}, {onlyAfterTimeout: true}}

// hedgeDelay returns the time, without the wait, after which a call on a way is
// hedged.
func (r *race) hedgeDelay(way storeWay) time.Duration {
	health := r.store.pathHealth()
	switch {
	case !r.call.hedged || r.started < len(r.ways) && r.ways[r.started].onlyAfterTimeout:
		return r.timeout(way)
	case way.relay == "":
		return health.hedgeDelay()
	}
	return health.relayHedgeDelay()
}

// timeout returns the time, without the wait, after which a call on a way is sent
// another way also without a budget for hedges. A store that is known to answer
// slowly on all paths is given longer.
func (r *race) timeout(w storeWay) time.Duration {
	health := r.store.pathHealth()
	if w.relay == "" {
		return max(directTimeout, slowFactor*health.usual)
	}
	return max(relayTimeout, slowFactor*health.relayed)
}

// startLate takes the next way because the latest has not answered. Before the
// timeout of the latest way it does so only within the budget for hedges.
func (r *race) startLate(ctx context.Context) time.Duration {
	latest := r.ways[r.started-1]
	timeout, delay := r.timeout(latest), r.hedgeDelay(latest)
	r.completeWays()
	if r.started == len(r.ways) {
		return maxCallTime
	}
	if delay < timeout {
		if r.ways[r.started].onlyAfterTimeout {
			r.call.hedged = false
			return timeout - delay
		}
		if !r.store.takeHedge() {
			// The budget is not asked again for this way.
			r.call.hedged = false
			return timeout - delay
		}
		r.hedges[r.started] = true
	}
	return r.start(ctx)
}

// takeHedge takes a hedge from the budget, and reports whether there was one.
func (s *RelayingStore) takeHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, ok := s.budget.withHedge()
	s.budget = budget
	if ok {
		s.instruments.hedges.Inc()
	}
	return ok
}

// finish records that a way responded first.
func (r *race) finish(winner int) {
	s := r.store
	if r.hedges[winner] {
		s.mu.Lock()
		s.budget = s.budget.withSuccess()
		s.mu.Unlock()
	}
	otherRelays, directLost := false, false
	for i, w := range r.ways[:r.started] {
		_, failed := r.failed[i]
		otherRelays = otherRelays || w.relay != "" && !failed
		switch {
		case i >= winner || failed:
		case w.relay != "":
			s.avoidRelay(w.relay)
		case r.ways[winner].relay != "":
			directLost = true
		}
	}
	if directLost {
		r.recordLoss()
	}
	if r.ways[winner].relay == "" && r.impaired && !otherRelays {
		// No other way has worked, so that the direct path is as good as any.
		s.updateHealth(pathHealth.withRecovery)
	}
}

// abandon records that the call ended without a response.
func (r *race) abandon() {
	if !r.directAt.IsZero() && time.Since(r.directAt) >= r.call.wait+directTimeout && !r.directFailed() {
		r.recordLoss()
	}
}

// directFailed reports whether a direct copy of the call has failed.
func (r *race) directFailed() bool {
	for i := range r.failed {
		if r.ways[i].relay == "" {
			return true
		}
	}
	return false
}

// recordLoss records that the direct path had no answer to the call.
func (r *race) recordLoss() {
	r.store.updateHealth(func(h pathHealth) pathHealth { return h.withLoss(time.Now()) }, "error", "no answer")
}

// failure returns the error of a call without a response. If a write may have been
// executed on any way, the outcome is unknown.
func (r *race) failure(cause error) error {
	var first error
	var unavailable *platform.UnavailableError
	unknown := len(r.failed) < r.started
	for i := range r.started {
		err, ok := r.failed[i]
		if !ok {
			continue
		}
		if first == nil || r.ways[i].relay == "" {
			first = err
		}
		var notExecuted *member.NotExecutedError
		unknown = unknown || !errors.As(err, &unavailable) && !errors.As(err, &notExecuted)
	}
	if first == nil || cause != nil {
		first = cause
	}
	if r.call.write && unknown {
		if errors.As(first, &unavailable) {
			// The error of one attempt must not tell that the call had no effect.
			first = errors.New(first.Error())
		}
		return &platform.UnknownOutcomeError{Service: "store", Cause: first}
	}
	if errors.As(first, &unavailable) {
		return first
	}
	return &platform.UnavailableError{Service: "store", Cause: first}
}

// storeInstruments are the metrics of the path to the store.
type storeInstruments struct {
	relayed, hedges, probes, refusals *metrics.Counter
	impaired                          *metrics.Gauge
}

func newStoreInstruments(set *meter.Set) *storeInstruments {
	return &storeInstruments{
		relayed:  set.Counter("daisylug_store_relayed_calls_total"),
		hedges:   set.Counter("daisylug_store_hedged_calls_total"),
		probes:   set.Counter("daisylug_store_probes_total"),
		refusals: set.Counter("daisylug_store_refused_relays_total"),
		impaired: set.Gauge("daisylug_store_path_impaired"),
	}
}
