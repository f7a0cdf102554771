package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/relay"
)

// valueSuccessor is the key of the heartbeat value in which a planner that hands
// over names its successor.
const valueSuccessor = "successor"

const (
	// successorNotice is the time between the announcement of the successor and the
	// resignation, in which it reaches the other instances.
	successorNotice = 50 * time.Millisecond
	// successorTimeout is how long a named successor looks for the end of the term.
	successorTimeout = 2 * time.Second
	// minCheckInterval is the minimum time between two checks of the leader by a named
	// successor. Each costs a read of the store and a connection to the leader.
	minCheckInterval = 50 * time.Millisecond
)

// nomination names the successor of the planner of a generation.
type nomination struct {
	generation uint64
	successor  string
}

func (n nomination) encode() []byte {
	return append(encodeUint64(n.generation), n.successor...)
}

// decodeNomination returns the nomination in a heartbeat value, or false if there
// is none.
func decodeNomination(content []byte) (nomination, bool) {
	const generationSize = 8
	if len(content) <= generationSize {
		return nomination{}, false
	}
	return nomination{binary.BigEndian.Uint64(content), string(content[generationSize:])}, true
}

// succession holds the latest nomination that an instance knows of.
type succession struct {
	mu     sync.Mutex
	latest nomination
	// seenAt is when the latest nomination was first seen.
	seenAt time.Time
	// announced is the generation of the nomination that this instance announces, or
	// 0, and announcedAt when it was announced.
	announced   uint64
	announcedAt time.Time
}

// record takes over a nomination of a later generation.
func (s *succession) record(n nomination, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.generation > s.latest.generation {
		s.latest, s.seenAt = n, now
	}
}

// announce takes over a nomination that this instance announces.
func (s *succession) announce(n nomination, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest, s.seenAt = n, now
	s.announced, s.announcedAt = n.generation, now
}

// withdraw reports, once, that this instance need not announce its nomination any
// longer: a later term than the nominating one is known, or handOverBackoff is over.
func (s *succession) withdraw(latestTerm uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced == 0 || latestTerm <= s.announced && now.Sub(s.announcedAt) < handOverBackoff {
		return false
	}
	s.announced = 0
	return true
}

// get returns the latest nomination and when it was first seen.
func (s *succession) get() (nomination, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest, s.seenAt
}

// readNominations reads the nominations that the other instances announce, and
// withdraws its own when it is of no more use: an instance that joins later would take
// it as new.
func (e *Server) readNominations() {
	latestTerm := uint64(0)
	for _, p := range e.group.Peers() {
		latestTerm = max(latestTerm, leaderGeneration(p))
		if n, ok := decodeNomination(p.Values[valueSuccessor]); ok {
			e.succession.record(n, time.Now())
		}
	}
	if e.succession.withdraw(latestTerm, time.Now()) {
		e.group.SetValue(valueSuccessor, nil)
	}
}

// expectsTerm reports whether the planner has just named this instance as its
// successor.
func (e *Server) expectsTerm() bool {
	n, seenAt := e.succession.get()
	return n.successor == e.settings.Name && time.Since(seenAt) < successorTimeout &&
		e.planner.Load() == nil && !e.draining.Load()
}

// waitForCheck waits until the next check of the leader is due: after d, or as soon
// as a planner that has named this instance no longer announces its term, but not
// before minCheckInterval.
func (e *Server) waitForCheck(ctx context.Context, changes <-chan struct{}, d time.Duration) {
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.readNominations()
			return
		case <-changes:
			e.readNominations()
			if !e.expectsTerm() {
				continue
			}
			if _, known := e.leaderSilence(); known {
				continue
			}
			elapsed := time.Since(start)
			if elapsed >= minCheckInterval {
				return
			}
			timer.Reset(minCheckInterval - elapsed)
		}
	}
}

// takeoverDelay returns how long this instance leaves the place of the planner of a
// generation to others.
func (e *Server) takeoverDelay(generation uint64) time.Duration {
	n, _ := e.succession.get()
	t := takeover{larger: e.countLargerPeers(), cores: e.settings.Cores}
	if n.generation == generation {
		t.named = n.successor == e.settings.Name
	}
	impaired := e.services.Store.pathHealth().impaired()
	for _, p := range e.group.Peers() {
		if !e.isCandidate(p) {
			continue
		}
		class := decodePathClass(p)
		t.impaired = t.impaired || impaired && class != pathNone && class != pathUnknown
		t.otherNamed = t.otherNamed || n.generation == generation && n.successor == p.Instance.Name
	}
	return t.delay()
}

// isCandidate reports whether a peer can take over as planner.
func (e *Server) isCandidate(p member.Peer) bool {
	_, draining := p.Values[relay.DrainingKey]
	return p.Connected && p.Health == member.HealthAlive && p.Instance.State != platform.StateLeaving && !draining
}

// considerHandOver lets the planner resign once another instance is clearly better.
func (e *Server) considerHandOver(ctx context.Context, p *control.Planner, generation uint64) {
	nextLargerCheck := time.Now().Add(handOverInterval)
	var slowSince time.Time
	for {
		sleep(ctx, handOverCheckInterval)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		switch {
		case p.DecisionTime() < slowDecision:
			slowSince = time.Time{}
		case slowSince.IsZero():
			slowSince = now
		}
		state := e.handOverState(slowSince)
		if state.checkLarger = !now.Before(nextLargerCheck); state.checkLarger {
			nextLargerCheck = now.Add(handOverInterval)
		}
		if d := state.decide(now); d.resign && (d.reason != reasonPath || e.servesSuccessor(ctx, d.successor)) {
			e.handOver(ctx, p, generation, d)
			return
		}
	}
}

// servesSuccessor reports whether the store serves an instance as fast as it announces.
// One that makes few calls may still announce what held before its path became slow.
func (e *Server) servesSuccessor(ctx context.Context, name string) bool {
	for _, p := range e.group.Peers() {
		if p.Instance.Name == name {
			return e.services.Store.confirmClass(ctx, name, decodePathClass(p))
		}
	}
	return false
}

// handOverState collects what the decision to hand over depends on.
func (e *Server) handOverState(slowSince time.Time) handOverState {
	state := handOverState{
		weight: e.group.Self().Weight, path: e.services.Store.pathHealth(), slowSince: slowSince, draining: e.draining.Load(),
	}
	if _, seenAt := e.succession.get(); !seenAt.IsZero() {
		state.pausedUntil = seenAt.Add(handOverBackoff)
	}
	for _, p := range e.group.Peers() {
		if e.isCandidate(p) {
			state.candidates = append(state.candidates, candidate{p.Instance.Name, p.Instance.Weight, decodePathClass(p)})
		}
	}
	return state
}

// handOver names the successor, if any, and lets the planner resign.
func (e *Server) handOver(ctx context.Context, p *control.Planner, generation uint64, d handOver) {
	e.metrics.Counter("daisylug_planner_hand_overs_total", meter.L("reason", d.reason)).Inc()
	if d.successor == "" {
		e.log.Info("resigning in favour of a larger instance", "generation", generation)
		p.Resign()
		return
	}
	e.log.Info("handing over to another instance", "generation", generation, "successor", d.successor, "reason", d.reason)
	n := nomination{generation, d.successor}
	e.succession.announce(n, time.Now())
	e.group.PushValue(valueSuccessor, n.encode())
	sleep(ctx, successorNotice)
	p.Resign()
}

// announceTerm announces a term of this instance. After a hand-over it does so at
// once, because callers wait for the new planner.
func (e *Server) announceTerm(generation uint64) {
	if n, _ := e.succession.get(); n.generation > 0 && n.generation+1 == generation {
		e.group.PushValue(valueGeneration, encodeUint64(generation))
		return
	}
	e.group.SetValue(valueGeneration, encodeUint64(generation))
}

// endTerm announces the end of a term of this instance, at once if it has named a
// successor.
func (e *Server) endTerm(generation uint64) {
	if n, _ := e.succession.get(); n.generation == generation {
		e.group.PushValue(valueGeneration, nil)
		return
	}
	e.group.SetValue(valueGeneration, nil)
}
