package member

import (
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// Health is the state of a peer as the own instance sees it.
type Health string

// States of health.
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
	// LastSeen is when it was last heard from, directly or by another peer.
	LastSeen time.Time
	// Config is the configuration version in effect there.
	Config uint64
	// Values are its application values.
	Values map[string][]byte
	// Connected tells whether there is a session with it.
	Connected bool
}

// peer is the state behind Peer, under the group's lock.
type peer struct {
	name        string
	inst        platform.Instance
	incarnation uint64
	local       bool
	listed      bool
	// unwanted is set if no session with it is needed; one that it has opened
	// is kept.
	unwanted bool
	// heard includes the word of others, direct does not.
	heard  time.Time
	direct time.Time
	dead   bool
	died   time.Time
	// joining is set until the peer has found the other instances itself, if
	// it came after the own instance had settled. Instances that start at the
	// same time count each other from the first contact on; otherwise the
	// first one to settle would take all keys.
	joining bool
	// relay is the incarnation under which another instance doubts this one.
	relay  uint64
	config uint64
	values map[string][]byte
	link   *link
	// wanted is when a session with it was first missing.
	wanted   time.Time
	dialling bool
	// failures counts the dials that failed since the last session.
	failures int
	retry    time.Time
	backoff  *backoff.ExponentialBackOff
}

func newPeer(inst platform.Instance, local bool, now time.Time) *peer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = dialRetryFirst
	b.MaxInterval = dialRetryLast
	return &peer{name: inst.Name, inst: inst, local: local, wanted: now, backoff: b, values: map[string][]byte{}}
}

func (p *peer) cadence() cadence {
	if p.local {
		return localCadence
	}
	return remoteCadence
}

// member tells whether the peer counts as a member.
func (p *peer) member() bool { return p.known() && !p.joining }

// known tells whether the peer has been heard from and is not dead.
func (p *peer) known() bool { return !p.heard.IsZero() && !p.dead }

// silent tells whether nothing has come directly from the peer for too long.
func (p *peer) silent(now time.Time) bool {
	return now.Sub(p.direct) > p.cadence().suspect
}

// hear records that the peer was alive at a time under an incarnation. It
// returns whether the members have changed.
func (p *peer) hear(incarnation uint64, at time.Time) bool {
	if incarnation < p.incarnation {
		return false
	}
	// A local peer declared dead must first show a higher incarnation, so
	// that it learns of its death. An instance of another data centre is
	// reported by its own one, which has settled that already.
	if p.dead && p.local && incarnation == p.incarnation {
		return false
	}
	changed := !p.known() || incarnation > p.incarnation
	p.incarnation = incarnation
	p.dead = false
	if at.After(p.heard) {
		p.heard = at
	}
	return changed
}

// expire declares the peer dead if it was not heard from for too long. It
// returns whether the members have changed.
func (p *peer) expire(now time.Time) bool {
	if !p.known() || now.Sub(p.heard) <= p.cadence().dead {
		return false
	}
	p.dead = true
	p.died = now
	return true
}

// doubt returns the incarnation that the peer should exceed, or 0.
func (p *peer) doubt(now time.Time) uint64 {
	doubted := p.relay
	p.relay = 0
	switch {
	case p.heard.IsZero():
	case p.health(now) != HealthAlive:
		doubted = max(doubted, p.incarnation)
	case p.link != nil && p.link.incarnation < p.incarnation:
		doubted = max(doubted, p.incarnation)
	}
	return doubted
}

// adopt takes over a peer's description of an instance.
func (p *peer) adopt(d *schema.Peer) (changed bool) {
	inst := fromPeer(d)
	changed = p.inst != inst
	p.inst = inst
	return changed
}

func (p *peer) health(now time.Time) Health {
	switch {
	case p.heard.IsZero():
		return HealthUnknown
	case p.dead:
		return HealthDead
	case now.Sub(p.heard) > p.cadence().suspect:
		return HealthSuspected
	}
	return HealthAlive
}

func (p *peer) snapshot(now time.Time) Peer {
	return Peer{
		Instance:    p.inst,
		Incarnation: p.incarnation,
		Health:      p.health(now),
		LastSeen:    p.heard,
		Config:      p.config,
		Values:      maps.Clone(p.values),
		Connected:   p.link != nil,
	}
}

func toPeer(i platform.Instance, incarnation uint64) *schema.Peer {
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

func fromPeer(d *schema.Peer) platform.Instance {
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
