// Package relay forwards calls to workers through instances in their data
// centres. The network link and CPU of one instance suffice for the calls to a
// few hundred workers. Above that, a planner sends its calls in batches to
// instances in the data centres of the workers, which execute them and return
// the answers.
package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// ServiceName is the service named in the error of a call that did not reach the
// worker.
const ServiceName = "relay"

// ExchangeMethod is the name of the method that a planner calls on a relay.
const ExchangeMethod = "worker.relay"

// DrainingKey is the key of the application value by which an instance announces
// that it is shutting down and accepts no more calls.
const DrainingKey = "draining"

const (
	// relaysPerDataCentre is the number of instances of each data centre that
	// serve as relays. With three, the loss of one adds little load to the others.
	relaysPerDataCentre = 3
	// selectionInterval is the time between two selections of the relays.
	selectionInterval = 250 * time.Millisecond
	// suspendDuration is how long a relay gets no calls after a failed
	// exchange.
	suspendDuration = 2 * time.Second
)

// Dialer connects to workers directly.
type Dialer interface {
	Runner(info platform.RunnerInfo) platform.Runner
}

// Group provides the peers of this instance and calls to them.
type Group interface {
	Call(ctx context.Context, instance, method string, request, response proto.Message) error
	Peers() []member.Peer
}

// Router sends each call to a worker either directly or through a relay. It is
// the dialer of a planner.
type Router struct {
	group      Group
	direct     Dialer
	session    uint64
	overloaded func() bool
	log        klog.Logger

	mu      sync.Mutex
	clients map[string]*client
	// relays holds the relays selected at selectedAt by data centre; it is empty
	// while calls are made directly.
	relays     map[string][]platform.Instance
	selectedAt time.Time
	relaying   bool
}

// NewRouter returns a router for the process that session identifies. Calls are
// made directly unless overloaded reports that there are too many of them.
func NewRouter(group Group, direct Dialer, session uint64, overloaded func() bool, log klog.Logger) *Router {
	return &Router{
		group: group, direct: direct, session: session, overloaded: overloaded, log: log,
		clients: map[string]*client{}, relays: map[string][]platform.Instance{},
	}
}

// Runner returns a runner that routes the calls to a worker.
func (r *Router) Runner(info platform.RunnerInfo) platform.Runner {
	return &routedRunner{router: r, info: info, direct: r.direct.Runner(info)}
}

// clientFor returns the client of the relay that serves a worker, or nil if the
// worker is called directly.
func (r *Router) clientFor(info platform.RunnerInfo) *client {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.selectedAt) >= selectionInterval {
		r.selectRelays(now)
	}
	available := make([]platform.Instance, 0, relaysPerDataCentre)
	for _, i := range r.relays[info.DataCentre] {
		if cl := r.clients[i.Name]; cl == nil || now.After(cl.suspendedUntil) {
			available = append(available, i)
		}
	}
	selected, ok := member.Owner(info.ID, available)
	if !ok {
		return nil
	}
	cl := r.clients[selected.Name]
	if cl == nil {
		cl = newClient(r, selected.Name)
		r.clients[selected.Name] = cl
	}
	return cl
}

// selectRelays selects the reachable instances with the highest weight in each
// data centre, or none while direct calls suffice. The caller holds the lock.
func (r *Router) selectRelays(now time.Time) {
	r.selectedAt = now
	clear(r.relays)
	overloaded := r.overloaded()
	if overloaded != r.relaying {
		r.relaying = overloaded
		r.log.Info("switched between direct and relayed calls to workers", "relayed", overloaded)
	}
	if !overloaded {
		return
	}
	for _, p := range r.group.Peers() {
		_, draining := p.Values[DrainingKey]
		if p.Connected && p.Health == member.HealthAlive && p.Instance.State == platform.StateLive && !draining {
			r.relays[p.Instance.DataCentre] = append(r.relays[p.Instance.DataCentre], p.Instance)
		}
	}
	for dataCentre, instances := range r.relays {
		slices.SortFunc(instances, func(a, b platform.Instance) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
		})
		r.relays[dataCentre] = instances[:min(len(instances), relaysPerDataCentre)]
	}
}

// suspend stops sending calls to a relay for suspendDuration.
func (r *Router) suspend(cl *client, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.After(cl.suspendedUntil) {
		r.log.Info("suspended relay after a failed exchange", "instance", cl.instance, "for", suspendDuration, "error", cause)
	}
	cl.suspendedUntil = now.Add(suspendDuration)
}

// routedRunner calls one worker directly or through a relay.
type routedRunner struct {
	router *Router
	info   platform.RunnerInfo
	direct platform.Runner
}

var _ platform.Runner = (*routedRunner)(nil)

// Start implements platform.Runner.
func (r *routedRunner) Start(ctx context.Context, req platform.StartRequest) (time.Duration, error) {
	cl := r.router.clientFor(r.info)
	if cl == nil {
		return r.direct.Start(ctx, req)
	}
	return answerClock(cl.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_START, Run: encodeRun(req.Run),
		Generation: req.Generation, Lease: req.LeaseDeadline.Milliseconds(), Checkpoint: req.Checkpoint, Ticket: req.Ticket,
	}, req.Payload, urgentDelay))
}

// Stop implements platform.Runner.
func (r *routedRunner) Stop(ctx context.Context, req platform.StopRequest) (time.Duration, error) {
	cl := r.router.clientFor(r.info)
	if cl == nil {
		return r.direct.Stop(ctx, req)
	}
	return answerClock(cl.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_STOP, Run: encodeRun(req.Run),
		Generation: req.Generation,
	}, "", urgentDelay))
}

// Throttle implements platform.Runner.
func (r *routedRunner) Throttle(ctx context.Context, req platform.ThrottleRequest) (time.Duration, error) {
	cl := r.router.clientFor(r.info)
	if cl == nil {
		return r.direct.Throttle(ctx, req)
	}
	return answerClock(cl.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_PACE, Run: encodeRun(req.Run),
		Generation: req.Generation, Share: int32(req.SpeedPercent),
	}, "", urgentDelay))
}

// RenewLease implements platform.Runner.
func (r *routedRunner) RenewLease(ctx context.Context, req platform.RenewLeaseRequest) (platform.RunnerState, error) {
	cl := r.router.clientFor(r.info)
	if cl == nil {
		return r.direct.RenewLease(ctx, req)
	}
	maxDelay := urgentDelay
	if req.Wait > 0 {
		maxDelay = pollDelay
	}
	a, err := cl.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_HOLD,
		Generation: req.Generation, Lease: req.LeaseDeadline.Milliseconds(), Acknowledged: req.AcknowledgedSequence, Wait: req.Wait.Milliseconds(),
	}, "", maxDelay)
	if err != nil {
		return platform.RunnerState{}, err
	}
	return decodeState(a), nil
}

// answerClock returns the worker's clock from an answer.
func answerClock(a *schema.RelayAnswer, err error) (time.Duration, error) {
	if err != nil {
		return 0, err
	}
	return milliseconds(a.GetClock()), nil
}
