package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/term"
)

// Keys of the application values in heartbeats.
const (
	// valueGeneration is the generation of the term that the instance holds.
	valueGeneration = "generation"
	// valueProcess is the incarnation of the instance's process.
	valueProcess = "process"
)

const (
	// electionInterval is the interval between two checks of the leader.
	electionInterval = 150 * time.Millisecond
	// electionJitter is the maximum random addition to electionInterval. It
	// spreads the candidates, so that usually only one tries to take over.
	electionJitter = 60 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat of the leader after which
	// its row in the store is checked: a heartbeat interval and the usual delay.
	heartbeatTimeout = 700 * time.Millisecond
	// silenceTimeout is the time without a heartbeat on any instance after which
	// the leader counts as silent.
	silenceTimeout = 1 * time.Second
	// silentLeaseTimeout is how long the row of a silent leader must be unchanged
	// before its place is taken. It leaves time for a renewal and a slow response
	// of the store.
	silentLeaseTimeout = 700 * time.Millisecond
	// probeTimeout is the timeout for the test connection to a leader without
	// heartbeats.
	probeTimeout = 300 * time.Millisecond
	// storeCallTimeout is the timeout of one store call during an election.
	storeCallTimeout = 2 * time.Second
)

// runElection monitors the leader and takes over as planner when it fails.
func (e *Server) runElection(ctx context.Context) error {
	e.group.SetValue(valueProcess, encodeUint64(e.incarnation))
	elector := term.New(e.services.Store, e.settings.Name, e.incarnation)
	var lastLeader term.Leader
	var unchangedSince, vacantSince time.Time
	var vacantGeneration uint64
	failing := false
	changes, unsubscribe := e.group.Subscribe()
	defer unsubscribe()
	for ctx.Err() == nil {
		e.waitForCheck(ctx, changes, electionInterval+rand.N(electionJitter))
		silence, known := e.leaderSilence()
		if known && silence < heartbeatTimeout || e.draining.Load() {
			unchangedSince = time.Time{}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		leader, err := elector.Leader(callCtx)
		cancel()
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			e.log.Info("availability of the leader row changed", "available", !failing, "error", err)
		}
		if err != nil {
			continue
		}
		if unchangedSince.IsZero() || leader != lastLeader {
			lastLeader, unchangedSince = leader, time.Now()
		}
		// Calls are forwarded to the leader, which need not be a hub, so that the
		// session with it is pinned.
		e.group.PinPeer(newInstance(leader.Name, "", "", 0))
		reason := e.observeLeader(leader, time.Since(unchangedSince), known, silence).vacancyReason()
		if reason == "" {
			vacantSince = time.Time{}
			continue
		}
		// The precedence of a named successor counts from the end of its predecessor's
		// term, also for an instance that has seen an earlier vacancy.
		if n, _ := e.succession.get(); vacantSince.IsZero() || n.generation == leader.Generation && vacantGeneration != leader.Generation {
			vacantSince, vacantGeneration = time.Now(), leader.Generation
		}
		if time.Since(vacantSince) < e.takeoverDelay(leader.Generation) {
			continue
		}
		formerActive := unchangedSince
		unchangedSince, vacantSince = time.Time{}, time.Time{}
		e.log.Info("taking over as planner", "former", leader.Name, "generation", leader.Generation+1, "reason", reason)
		if err := e.runTerm(ctx, elector, leader, formerActive); err != nil && ctx.Err() == nil {
			e.log.Info("planner term ended or was not acquired", "error", err)
		}
	}
	return ctx.Err()
}

// countLargerPeers returns the number of connected, live instances with more
// weight than this one.
func (e *Server) countLargerPeers() int {
	own := e.group.Self().Weight
	n := 0
	for _, p := range e.group.Peers() {
		if p.Connected && p.Health == member.HealthAlive && p.Instance.Weight > own {
			n++
		}
	}
	return n
}

// leaderSilence returns the time since any instance has heard from the leader,
// and whether a leader is known.
func (e *Server) leaderSilence() (time.Duration, bool) {
	if e.planner.Load() != nil {
		return 0, true
	}
	var lastHeard time.Time
	latest := uint64(0)
	for _, p := range e.group.Peers() {
		if g := leaderGeneration(p); g > latest {
			latest, lastHeard = g, p.LastSeen
		}
	}
	return time.Since(lastHeard), latest > 0
}

// leaderObservation holds what this instance knows of the leader that the row
// in the store names.
type leaderObservation struct {
	leader term.Leader
	isSelf bool
	// unchangedFor is the time since the row was last seen to change.
	unchangedFor time.Duration
	// silent is set if no instance has heard from the leader for silenceTimeout.
	silent bool
	// restarted is set if another process uses the leader's name,
	// connectionRefused if no process listens at its address.
	restarted, connectionRefused bool
}

// observeLeader collects what is known of a leader, and probes its address.
func (e *Server) observeLeader(leader term.Leader, unchangedFor time.Duration, known bool, silence time.Duration) leaderObservation {
	observation := leaderObservation{
		leader: leader, isSelf: leader.Name == e.settings.Name, unchangedFor: unchangedFor, silent: known && silence >= silenceTimeout,
	}
	if leader.Name == "" || observation.isSelf {
		return observation
	}
	content, ok := e.group.Value(leader.Name, valueProcess)
	observation.restarted = ok && len(content) == 8 && binary.BigEndian.Uint64(content) != leader.Incarnation
	conn, err := net.DialTimeout("tcp", leader.Name, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	observation.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	return observation
}

// vacancyReason returns why the leader may be replaced, or "" if it may not.
func (v leaderObservation) vacancyReason() string {
	switch {
	case v.leader.Name == "":
		return "no leader recorded"
	case v.isSelf:
		return "leader is a former process of this instance"
	case v.restarted:
		return "leader process restarted"
	case v.connectionRefused:
		return "leader refuses connections"
	case v.silent && v.unchangedFor >= silentLeaseTimeout:
		return "leader is silent and does not renew its lease"
	case v.unchangedFor >= term.LeaseDuration:
		return "lease expired"
	}
	return ""
}

// runTerm acquires a term and runs the planner until the term ends. The row of the
// previous leader has not changed since formerActive.
func (e *Server) runTerm(ctx context.Context, elector *term.Elector, previous term.Leader, formerActive time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	former := control.FormerLeases(previous, formerActive, e.settings.Timing)
	t, err := elector.Acquire(callCtx, previous, e.settings.Timing.LeaseTail(former, time.Now()))
	cancel()
	if err != nil {
		return err
	}
	p := control.New(control.Dependencies{
		Term: t, FormerLeasesEnd: former, Store: e.services.Store, Registry: e.services.Registry, Dialer: e.router,
		Adviser: e.services.Adviser,
		Config:  e.currentConfig, Evacuations: e.knownEvacuations, LargeServiceWorkers: e.settings.LargeServiceWorkers, MaxRowBytes: e.settings.MaxRowBytes, Memory: e.settings.Memory, Timing: e.settings.Timing,
		Log: e.log.WithValues("generation", t.Generation()), Metrics: e.metrics,
	})
	if err := t.RunWithRenewal(ctx, p.Load); err != nil {
		return err
	}
	e.planner.Store(p)
	defer e.planner.Store(nil)
	e.group.SetValue(valueSuccessor, nil)
	e.announceTerm(t.Generation())
	defer func() { e.endTerm(t.Generation()) }()
	e.log.Info("planner term started", "generation", t.Generation())
	if e.draining.Load() {
		p.Resign()
	}
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	go e.considerHandOver(ctx, p, t.Generation())
	return p.Run(ctx)
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// leaderInstance returns the name of the leader, and whether it can be reached.
func (e *Server) leaderInstance() (string, bool) {
	if e.planner.Load() != nil {
		return e.settings.Name, true
	}
	name, latest := "", uint64(0)
	for _, p := range e.group.Peers() {
		if !p.Connected || p.Health != member.HealthAlive {
			continue
		}
		if g := leaderGeneration(p); g > latest {
			name, latest = p.Instance.Name, g
		}
	}
	return name, name != ""
}

// leaderGeneration returns the generation of the term that p holds, or 0 if it
// holds none.
func leaderGeneration(p member.Peer) uint64 {
	if content := p.Values[valueGeneration]; len(content) == 8 {
		return binary.BigEndian.Uint64(content)
	}
	return 0
}
