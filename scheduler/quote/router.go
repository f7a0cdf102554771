package quote

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"daisylug.example/scheduler/platform"
)

// Router runs quick requests on the workers of its data centre.
type Router struct {
	deps    Dependencies
	options Options
	metrics *routerMetrics
	// refreshAt is when the view is read next, in nanoseconds since the epoch.
	refreshAt atomic.Int64

	mu            sync.Mutex
	random        *rand.Rand
	picker        picker
	queue         fairQueue
	standingQueue standingQueue
	budget        retryBudget
	listedTeams   map[string]bool
	// meanSlotTime is the mean time a request occupies a slot.
	meanSlotTime movingAverage
	// templateCounts is the number of running or queued requests by template.
	templateCounts map[string]int
	running        int
	activeClaims   int
	activeForwards int
	// activeCalls counts the requests and the records of claim outcomes in
	// progress. Drain waits for them.
	activeCalls int
	draining    bool
	drained     chan struct{}
}

// New returns a router. It starts no goroutine; Run refreshes its view while no
// requests arrive.
func New(d Dependencies, o Options) *Router {
	o = o.withDefaults()
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(seed, seed))
	return &Router{
		deps:           d,
		options:        o,
		metrics:        newRouterMetrics(d.Metrics),
		random:         random,
		picker:         picker{serviceTimes: newServiceTimes(o.InitialEstimate), random: random},
		queue:          newFairQueue(),
		standingQueue:  standingQueue{interval: o.Interval},
		budget:         newRetryBudget(o.RetryRatio),
		listedTeams:    map[string]bool{},
		templateCounts: map[string]int{},
		drained:        make(chan struct{}),
	}
}

// Do runs a request and returns its answer or *RefusedError. It returns by the
// request's deadline.
func (r *Router) Do(ctx context.Context, q Request) (Answer, error) {
	now := time.Now()
	q, refused := normalise(ctx, q, now)
	if refused == nil {
		refused = r.beginCall()
	}
	if refused != nil {
		r.metrics.countRefusal(refused)
		return Answer{}, refused
	}
	defer r.endCall()
	r.refreshIfDue(now)

	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	c := newCall(r, q, now)
	a, refused := c.do(ctx)
	if refused != nil && c.mayForward(refused) {
		a, refused = c.forward(ctx, refused)
	}
	c.finish(ctx, refused)
	if refused != nil {
		r.metrics.countRefusal(refused)
		return Answer{}, refused
	}
	c.histograms.total.UpdateDuration(now)
	return a, nil
}

// maxRequestTime is the maximum time to a request's deadline. Workers keep their
// records of attempts for longer, so that a revocation within this time finds
// the record.
const maxRequestTime = 60 * time.Second

// normalise validates the request and sets its class and deadline.
func normalise(ctx context.Context, q Request, now time.Time) (Request, *RefusedError) {
	switch q.Class {
	case ClassQuick, ClassPlanned, ClassBackground:
	case "":
		q.Class = ClassQuick
	default:
		return q, &RefusedError{Reason: ReasonInvalid, Execution: NotExecuted}
	}
	if q.ID == "" {
		return q, &RefusedError{Reason: ReasonInvalid, Execution: NotExecuted}
	}
	if latest := now.Add(maxRequestTime); q.Deadline.IsZero() || q.Deadline.After(latest) {
		q.Deadline = latest
	}
	if d, ok := ctx.Deadline(); ok && d.Before(q.Deadline) {
		q.Deadline = d
	}
	return q, nil
}

func (r *Router) beginCall() *RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return &RefusedError{Reason: ReasonDraining, Execution: NotExecuted}
	}
	r.activeCalls++
	return nil
}

func (r *Router) endCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCalls--
	if r.draining && r.activeCalls == 0 {
		close(r.drained)
	}
}

// Drain refuses new requests and waits until all others have ended and the
// outcomes of their claims are recorded, or until ctx is done.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		if r.activeCalls == 0 {
			close(r.drained)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run reads the view at intervals until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.RefreshInterval)
	defer ticker.Stop()
	for {
		r.refreshIfDue(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// refreshIfDue reads the view unless another call has done so recently.
func (r *Router) refreshIfDue(now time.Time) {
	due := r.refreshAt.Load()
	if now.UnixNano() < due {
		return
	}
	next := now.Add(r.options.RefreshInterval).UnixNano()
	if due == 0 || r.refreshAt.CompareAndSwap(due, next) {
		r.Refresh()
		r.refreshAt.Store(next)
	}
}

// Refresh reads the view now.
func (r *Router) Refresh() {
	workers := r.deps.View.Workers()
	instances := r.deps.View.Instances()
	teams := r.deps.View.Teams()
	now := time.Now()

	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateWorkers(workers, instances, now)
	r.queue.configure(teams, weightFraction(r.deps.Self, instances), r.picker.slots(now))
	r.updateTeams(teams)
	r.dispatch(now)
}

// updateWorkers updates the workers and this instance's shares of their slots.
func (r *Router) updateWorkers(infos []platform.WorkerInfo, instances []platform.Instance, now time.Time) {
	known := make(map[string]*worker, len(r.picker.workers))
	for _, w := range r.picker.workers {
		w.listed = false
		known[w.name] = w
	}
	kept := make([]*worker, 0, len(infos))
	for _, info := range infos {
		w, ok := known[info.Name]
		if !ok {
			w = newWorker(info)
		}
		delete(known, info.Name)
		w.info = info
		w.listed = true
		w.resize(r.slotShare(info, instances), !ok, now)
		kept = append(kept, w)
	}
	for _, w := range known {
		// The requests still occupy slots if the worker is listed again.
		if w.running > 0 {
			kept = append(kept, w)
		}
	}
	r.picker.workers = kept
}

func (r *Router) slotShare(info platform.WorkerInfo, instances []platform.Instance) int {
	if r.options.disabled.share {
		return info.Slots
	}
	return Share(info.Name, info.Slots, r.deps.Self, instances)
}

// maxUnlistedTeams is the number of retry budgets beyond the listed teams above
// which those of unlisted teams are dropped.
const maxUnlistedTeams = 1024

func (r *Router) updateTeams(teams []Team) {
	clear(r.listedTeams)
	for _, t := range teams {
		r.listedTeams[t.Name] = true
	}
	if len(r.budget.teamTokens) <= len(teams)+maxUnlistedTeams {
		return
	}
	for name := range r.budget.teamTokens {
		if !r.listedTeams[name] {
			delete(r.budget.teamTokens, name)
		}
	}
}
