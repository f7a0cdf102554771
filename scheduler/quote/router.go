package quote

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"daisylug.example/scheduler/platform"
)

// Router answers quick requests on the workers of its data centre.
type Router struct {
	deps    Dependencies
	options Options
	metrics *meters
	// refreshAt is when the view is due, in nanoseconds since the epoch.
	refreshAt atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	picker   picker
	queue    fairQueue
	standing standing
	budget   budget
	listed   map[string]bool
	// holding is the mean time a request occupies a slot.
	holding mean
	// templates counts the requests in a slot or in the queue by template.
	templates map[string]int
	running   int
	claiming  int
	forwards  int
	// calls counts what Drain waits for.
	calls    int
	draining bool
	drained  chan struct{}
}

// New returns a router. It starts no goroutine; Run keeps its view current
// while no requests arrive.
func New(d Dependencies, o Options) *Router {
	o = o.withDefaults()
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(seed, seed))
	return &Router{
		deps:      d,
		options:   o,
		metrics:   newMeters(d.Metrics),
		random:    random,
		picker:    picker{speeds: newSpeeds(o.Estimate), random: random},
		queue:     newFairQueue(),
		standing:  standing{interval: o.Interval},
		budget:    newBudget(o.RetryRatio),
		listed:    map[string]bool{},
		templates: map[string]int{},
		drained:   make(chan struct{}),
	}
}

// Do answers a request or returns *RefusedError. It returns by the request's
// deadline.
func (r *Router) Do(ctx context.Context, q Request) (Answer, error) {
	now := time.Now()
	q, refused := normalise(ctx, q, now)
	if refused == nil {
		refused = r.enter()
	}
	if refused != nil {
		r.metrics.refuse(refused)
		return Answer{}, refused
	}
	defer r.leave()
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
		r.metrics.refuse(refused)
		return Answer{}, refused
	}
	c.meter.total.UpdateDuration(now)
	return a, nil
}

// maxWait bounds a request. Workers remember attempts for longer, so that a
// revocation within this time never meets a forgotten one.
const maxWait = 60 * time.Second

// normalise checks the request and fills in its class and deadline.
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
	if longest := now.Add(maxWait); q.Deadline.IsZero() || q.Deadline.After(longest) {
		q.Deadline = longest
	}
	if d, ok := ctx.Deadline(); ok && d.Before(q.Deadline) {
		q.Deadline = d
	}
	return q, nil
}

func (r *Router) enter() *RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return &RefusedError{Reason: ReasonDraining, Execution: NotExecuted}
	}
	r.calls++
	return nil
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
	if r.draining && r.calls == 0 {
		close(r.drained)
	}
}

// Drain refuses new requests and returns when all others are answered and
// their claims are finished, or when ctx is done.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		if r.calls == 0 {
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
	r.adopt(workers, instances, now)
	r.queue.configure(teams, part(r.deps.Self, instances), r.picker.slots(now))
	r.list(teams)
	r.dispatch(now)
}

// adopt takes over the list of workers and the shares of their slots.
func (r *Router) adopt(infos []platform.WorkerInfo, instances []platform.Instance, now time.Time) {
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
		w.resize(r.share(info, instances), !ok, now)
		kept = append(kept, w)
	}
	for _, w := range known {
		// Its requests still occupy slots if the worker is listed again.
		if w.running > 0 {
			kept = append(kept, w)
		}
	}
	r.picker.workers = kept
}

func (r *Router) share(info platform.WorkerInfo, instances []platform.Instance) int {
	if r.options.off.share {
		return info.Slots
	}
	return Share(info.Name, info.Slots, r.deps.Self, instances)
}

// maxTeams bounds the teams remembered beyond those listed.
const maxTeams = 1024

func (r *Router) list(teams []Team) {
	clear(r.listed)
	for _, t := range teams {
		r.listed[t.Name] = true
	}
	if len(r.budget.teams) <= len(teams)+maxTeams {
		return
	}
	for name := range r.budget.teams {
		if !r.listed[name] {
			delete(r.budget.teams, name)
		}
	}
}
