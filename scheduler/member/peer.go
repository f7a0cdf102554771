package member

import (
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// Health is the state of a peer as seen by the own instance.
type Health string

// Values of Health.
const (
	HealthUnknown   Health = "unknown"
	HealthAlive     Health = "alive"
	HealthSuspected Health = "suspected"
	HealthDead      Health = "dead"
)

// Peer is what the own instance knows about another one.
type Peer struct {
	Instance    platform.Instance
	Incarnation uint64
	Health      Health
	// LastSeen is when it was last heard from, directly or through another peer.
	LastSeen time.Time
	// ConfigVersion is the configuration version that it has announced.
	ConfigVersion uint64
	// Values holds its application values by key.
	Values map[string][]byte
	// Connected tells whether there is a session with it.
	Connected bool
}

// peer is the internal state of a peer; it is guarded by the group's lock.
type peer struct {
	name        string
	instance    platform.Instance
	incarnation uint64
	local       bool
	listed      bool
	// unwanted is set if this instance needs no session with the peer; a session
	// that the peer has opened is kept.
	unwanted bool
	// lastHeard includes reports by other instances, lastDirect does not.
	lastHeard  time.Time
	lastDirect time.Time
	dead       bool
	deadSince  time.Time
	// joining is set until the peer has settled itself, if it started after the
	// own instance had settled. Instances that start at the same time count each
	// other as members from the first contact on; otherwise the first one to
	// settle would own all keys.
	joining bool
	// suspectedIncarnation is the incarnation under which another instance
	// suspects the peer, or 0.
	suspectedIncarnation uint64
	configVersion        uint64
	values               map[string][]byte
	link                 *link
	// disconnectedSince is when the peer was created or its last session ended.
	disconnectedSince time.Time
	dialling          bool
	// dialFailures counts the failed dials since the last session.
	dialFailures int
	nextDial     time.Time
	backoff      *backoff.ExponentialBackOff
}

func newPeer(inst platform.Instance, local bool, now time.Time) *peer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialDialBackoff
	b.MaxInterval = maxDialBackoff
	return &peer{name: inst.Name, instance: inst, local: local, disconnectedSince: now, backoff: b, values: map[string][]byte{}}
}

func (p *peer) timing() heartbeatTiming {
	if p.local {
		return localTiming
	}
	return remoteTiming
}

// isMember tells whether the peer counts as a member of the group, which excludes
// peers that are still joining.
func (p *peer) isMember() bool { return p.known() && !p.joining }

// known tells whether the peer has been heard from and is not dead.
func (p *peer) known() bool { return !p.lastHeard.IsZero() && !p.dead }

// silent tells whether the peer has not been heard from directly within its
// suspectTimeout.
func (p *peer) silent(now time.Time) bool {
	return now.Sub(p.lastDirect) > p.timing().suspectTimeout
}

// recordAlive records that the peer was alive at the given time under an
// incarnation. It returns whether the members have changed.
func (p *peer) recordAlive(incarnation uint64, at time.Time) bool {
	if incarnation < p.incarnation {
		return false
	}
	// A local peer that was declared dead must announce a higher incarnation
	// first, so that it learns of the declaration. An instance of another data
	// centre is reported by its own data centre, which has already ensured that.
	if p.dead && p.local && incarnation == p.incarnation {
		return false
	}
	changed := !p.known() || incarnation > p.incarnation
	p.incarnation = incarnation
	p.dead = false
	if at.After(p.lastHeard) {
		p.lastHeard = at
	}
	return changed
}

// expire declares the peer dead if it has not been heard from within its
// deadTimeout. It returns whether the members have changed.
func (p *peer) expire(now time.Time) bool {
	if !p.known() || now.Sub(p.lastHeard) <= p.timing().deadTimeout {
		return false
	}
	p.dead = true
	p.deadSince = now
	return true
}

// takeSuspicion returns the incarnation that the peer has to exceed to refute a
// suspicion, or 0, and clears the suspicion forwarded by another instance.
func (p *peer) takeSuspicion(now time.Time) uint64 {
	suspected := p.suspectedIncarnation
	p.suspectedIncarnation = 0
	switch {
	case p.lastHeard.IsZero():
	case p.health(now) != HealthAlive:
		suspected = max(suspected, p.incarnation)
	case p.link != nil && p.link.incarnation < p.incarnation:
		suspected = max(suspected, p.incarnation)
	}
	return suspected
}

// updateInstance replaces the description of the instance and returns whether it
// has changed.
func (p *peer) updateInstance(d *schema.Peer) (changed bool) {
	inst := decodePeer(d)
	changed = p.instance != inst
	p.instance = inst
	return changed
}

func (p *peer) health(now time.Time) Health {
	switch {
	case p.lastHeard.IsZero():
		return HealthUnknown
	case p.dead:
		return HealthDead
	case now.Sub(p.lastHeard) > p.timing().suspectTimeout:
		return HealthSuspected
	}
	return HealthAlive
}

func (p *peer) snapshot(now time.Time) Peer {
	return Peer{
		Instance:      p.instance,
		Incarnation:   p.incarnation,
		Health:        p.health(now),
		LastSeen:      p.lastHeard,
		ConfigVersion: p.configVersion,
		Values:        maps.Clone(p.values),
		Connected:     p.link != nil,
	}
}

func encodePeer(i platform.Instance, incarnation uint64) *schema.Peer {
	return &schema.Peer{
		Name:        i.Name,
		Region:      i.Region,
		Centre:      i.DataCentre,
		Api:         i.API,
		Address:     i.Peer,
		Weight:      int32(i.Weight),
		Incarnation: incarnation,
		Leaving:     i.State == platform.StateLeaving,
	}
}

func decodePeer(d *schema.Peer) platform.Instance {
	state := platform.StateLive
	if d.GetLeaving() {
		state = platform.StateLeaving
	}
	return platform.Instance{
		Name:       d.GetName(),
		Region:     d.GetRegion(),
		DataCentre: d.GetCentre(),
		API:        d.GetApi(),
		Peer:       d.GetAddress(),
		Weight:     int(d.GetWeight()),
		State:      state,
	}
}
