// Package relay reaches workers through instances near them. The link and the
// processor of one instance carry the calls to a few hundred workers; above
// that the planner hands its calls, many in one message, to instances of the
// workers' data centres, which make them and return the answers.
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

// Service is the service that failed if a call did not get as far as the worker.
const Service = "relay"

// Method is the method of the calls between instances.
const Method = "worker.relay"

// Draining is the application value with which an instance that is about to
// stop asks for no more calls.
const Draining = "draining"

const (
	// relaysPerCentre is the number of instances of each data centre that make
	// calls; one of them may be lost without much more work for the others.
	relaysPerCentre = 3
	// chooseInterval is the time between two choices of the relays.
	chooseInterval = 250 * time.Millisecond
	// distrustTime is how long no calls go to an instance that did not answer.
	distrustTime = 2 * time.Second
)

// Dialer connects to workers directly.
type Dialer interface {
	Runner(info platform.RunnerInfo) platform.Runner
}

// Group is the group of instances.
type Group interface {
	Call(ctx context.Context, instance, method string, request, response proto.Message) error
	Peers() []member.Peer
}

// Router decides for each call to a worker whether another instance makes it.
// It is the dialer of a planner.
type Router struct {
	group   Group
	direct  Dialer
	session uint64
	busy    func() bool
	log     klog.Logger

	mu    sync.Mutex
	lanes map[string]*lane
	// centres are the instances that may make calls, by data centre, as chosen
	// at a time; none are if there is no need.
	centres  map[string][]platform.Instance
	chosen   time.Time
	relaying bool
}

// NewRouter returns a router of the process that session identifies. Calls are
// made directly as long as busy does not report that they are too many.
func NewRouter(group Group, direct Dialer, session uint64, busy func() bool, log klog.Logger) *Router {
	return &Router{
		group: group, direct: direct, session: session, busy: busy, log: log,
		lanes: map[string]*lane{}, centres: map[string][]platform.Instance{},
	}
}

// Runner returns the way to a worker.
func (r *Router) Runner(info platform.RunnerInfo) platform.Runner {
	return &runner{router: r, info: info, direct: r.direct.Runner(info)}
}

// lane returns the way to the instance that makes the calls to a worker, or nil
// if they are made directly.
func (r *Router) lane(info platform.RunnerInfo) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.chosen) >= chooseInterval {
		r.choose(now)
	}
	trusted := make([]platform.Instance, 0, relaysPerCentre)
	for _, i := range r.centres[info.DataCentre] {
		if l := r.lanes[i.Name]; l == nil || now.After(l.distrusted) {
			trusted = append(trusted, i)
		}
	}
	owner, ok := member.Owner(info.ID, trusted)
	if !ok {
		return nil
	}
	l := r.lanes[owner.Name]
	if l == nil {
		l = newLane(r, owner.Name)
		r.lanes[owner.Name] = l
	}
	return l
}

// choose chooses the largest instances that can be reached in each data centre.
// The caller holds the lock.
func (r *Router) choose(now time.Time) {
	r.chosen = now
	clear(r.centres)
	busy := r.busy()
	if busy != r.relaying {
		r.relaying = busy
		r.log.Info("calls to workers", "relayed", busy)
	}
	if !busy {
		return
	}
	for _, p := range r.group.Peers() {
		_, draining := p.Values[Draining]
		if p.Connected && p.Health == member.HealthAlive && p.Instance.State == platform.StateLive && !draining {
			r.centres[p.Instance.DataCentre] = append(r.centres[p.Instance.DataCentre], p.Instance)
		}
	}
	for centre, all := range r.centres {
		slices.SortFunc(all, func(a, b platform.Instance) int {
			return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
		})
		r.centres[centre] = all[:min(len(all), relaysPerCentre)]
	}
}

// distrust sends no calls to an instance for a while.
func (r *Router) distrust(l *lane, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.After(l.distrusted) {
		r.log.Info("instance makes no calls to workers", "instance", l.instance, "for", distrustTime, "error", cause)
	}
	l.distrusted = now.Add(distrustTime)
}

// runner is the way to one worker.
type runner struct {
	router *Router
	info   platform.RunnerInfo
	direct platform.Runner
}

var _ platform.Runner = (*runner)(nil)

// Start implements platform.Runner.
func (r *runner) Start(ctx context.Context, o platform.StartRequest) (time.Duration, error) {
	l := r.router.lane(r.info)
	if l == nil {
		return r.direct.Start(ctx, o)
	}
	return clock(l.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_START, Run: encodeRun(o.Run),
		Generation: o.Generation, Lease: o.LeaseDeadline.Milliseconds(), Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}, o.Payload, urgentPause))
}

// Stop implements platform.Runner.
func (r *runner) Stop(ctx context.Context, o platform.StopRequest) (time.Duration, error) {
	l := r.router.lane(r.info)
	if l == nil {
		return r.direct.Stop(ctx, o)
	}
	return clock(l.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_STOP, Run: encodeRun(o.Run),
		Generation: o.Generation,
	}, "", urgentPause))
}

// Throttle implements platform.Runner.
func (r *runner) Throttle(ctx context.Context, o platform.ThrottleRequest) (time.Duration, error) {
	l := r.router.lane(r.info)
	if l == nil {
		return r.direct.Throttle(ctx, o)
	}
	return clock(l.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_PACE, Run: encodeRun(o.Run),
		Generation: o.Generation, Share: int32(o.SpeedPercent),
	}, "", urgentPause))
}

// RenewLease implements platform.Runner.
func (r *runner) RenewLease(ctx context.Context, h platform.RenewLeaseRequest) (platform.RunnerState, error) {
	l := r.router.lane(r.info)
	if l == nil {
		return r.direct.RenewLease(ctx, h)
	}
	pause := urgentPause
	if h.Wait > 0 {
		pause = lookPause
	}
	a, err := l.call(ctx, &schema.RelayCall{
		Worker: r.info.ID, Address: r.info.Address, Order: schema.RelayOrder_RELAY_ORDER_HOLD,
		Generation: h.Generation, Lease: h.LeaseDeadline.Milliseconds(), Acknowledged: h.AcknowledgedSequence, Wait: h.Wait.Milliseconds(),
	}, "", pause)
	if err != nil {
		return platform.RunnerState{}, err
	}
	return decodeState(a), nil
}

// clock returns the worker's clock of an answer.
func clock(a *schema.RelayAnswer, err error) (time.Duration, error) {
	if err != nil {
		return 0, err
	}
	return milliseconds(a.GetClock()), nil
}
