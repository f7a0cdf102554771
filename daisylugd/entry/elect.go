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

// Application values of the heartbeats.
const (
	// valueGeneration is the generation of an instance that is in office.
	valueGeneration = "generation"
	// valueProcess identifies the process of an instance.
	valueProcess = "process"
)

const (
	// electInterval is the time between two checks of the planner in office.
	electInterval = 150 * time.Millisecond
	// electJitter spreads the candidates, so that usually one takes over.
	electJitter = 60 * time.Millisecond
	// rankDelay is how much longer an instance waits before it takes over, for
	// each larger instance that it hears, up to maxRank.
	rankDelay = 80 * time.Millisecond
	maxRank   = 5
	// smallDelay is the same for an instance that has less than smallCores.
	smallDelay = 400 * time.Millisecond
	smallCores = 0.3
	// handOverAfter is how long a planner stays in office before it hands over
	// to an instance with handOverFactor times its cores.
	handOverAfter  = 3 * time.Second
	handOverFactor = 1.5
	// missedBeat is how long the planner is not heard of before its row is
	// watched: a heartbeat and its usual delay.
	missedBeat = 700 * time.Millisecond
	// silentAfter is how long no instance has heard of a silent planner.
	silentAfter = 1 * time.Second
	// silentLease is how long the row stays unchanged before the place of a
	// silent planner is taken; a renewal and a slow answer of the store fit in.
	silentLease = 700 * time.Millisecond
	// probeTimeout is the time to connect to a planner that is out of touch.
	probeTimeout = 300 * time.Millisecond
	// callTimeout bounds one call of the store during an election.
	callTimeout = 2 * time.Second
)

// elect watches the planner in office and takes over when it is lost.
func (e *Server) elect(ctx context.Context) error {
	e.group.SetValue(valueProcess, number(e.incarnation))
	office := term.New(e.services.Store, e.settings.Name, e.incarnation)
	var seen term.Leader
	var since, vacant time.Time
	failing := false
	for ctx.Err() == nil {
		sleep(ctx, electInterval+rand.N(electJitter))
		silence, known := e.silence()
		if known && silence < missedBeat || e.draining.Load() {
			since = time.Time{}
			continue
		}
		one, cancel := context.WithTimeout(ctx, callTimeout)
		holder, err := office.Leader(one)
		cancel()
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			e.log.Info("row of the planner", "available", !failing, "error", err)
		}
		if err != nil {
			continue
		}
		if since.IsZero() || holder != seen {
			seen, since = holder, time.Now()
		}
		// Calls are passed to the planner, hub of the group or not.
		e.group.PinPeer(instance(holder.Name, "", "", 0))
		reason := e.evidence(holder, time.Since(since), known, silence).vacant()
		if reason == "" {
			vacant = time.Time{}
			continue
		}
		if vacant.IsZero() {
			vacant = time.Now()
		}
		if time.Since(vacant) < e.courtesy() {
			continue
		}
		since, vacant = time.Time{}, time.Time{}
		e.log.Info("taking over", "former", holder.Name, "generation", holder.Generation+1, "reason", reason)
		if err := e.serve(ctx, office, holder); err != nil && ctx.Err() == nil {
			e.log.Info("not in office", "error", err)
		}
	}
	return ctx.Err()
}

// courtesy returns how long the instance lets larger ones take over first.
func (e *Server) courtesy() time.Duration {
	delay := time.Duration(min(e.larger(1), maxRank)) * rankDelay
	if e.settings.Cores < smallCores {
		delay += smallDelay
	}
	return delay
}

// larger returns how many instances that can be heard have more than factor
// times the cores of this one.
func (e *Server) larger(factor float64) int {
	own := e.group.Self().Weight
	n := 0
	for _, p := range e.group.Peers() {
		if p.Connected && p.Health == member.HealthAlive && float64(p.Instance.Weight) > factor*float64(own) {
			n++
		}
	}
	return n
}

// handOver resigns once a much larger instance is there.
func (e *Server) handOver(ctx context.Context, p *control.Planner) {
	for ctx.Err() == nil {
		sleep(ctx, handOverAfter)
		if n := e.larger(handOverFactor); n > 0 && ctx.Err() == nil {
			e.log.Info("handing over", "larger", n)
			p.Resign()
			return
		}
	}
}

// silence returns how long no instance has heard of the planner in office, if
// one is known.
func (e *Server) silence() (time.Duration, bool) {
	if e.planner.Load() != nil {
		return 0, true
	}
	var heard time.Time
	latest := uint64(0)
	for _, p := range e.group.Peers() {
		if g := generation(p); g > latest {
			latest, heard = g, p.LastSeen
		}
	}
	return time.Since(heard), latest > 0
}

// evidence is what is known of the instance that the row names.
type evidence struct {
	holder term.Leader
	own    bool
	// still is how long the row has not changed.
	still time.Duration
	// silent is set if no instance has heard of the planner for silentAfter.
	silent bool
	// restarted is set if another process has its name, refused if no process
	// listens at its address.
	restarted, refused bool
}

// evidence collects what is known of a holder.
func (e *Server) evidence(holder term.Leader, still time.Duration, known bool, silence time.Duration) evidence {
	v := evidence{
		holder: holder, own: holder.Name == e.settings.Name, still: still, silent: known && silence >= silentAfter,
	}
	if holder.Name == "" || v.own {
		return v
	}
	content, ok := e.group.Value(holder.Name, valueProcess)
	v.restarted = ok && len(content) == 8 && binary.BigEndian.Uint64(content) != holder.Incarnation
	conn, err := net.DialTimeout("tcp", holder.Name, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	v.refused = errors.Is(err, syscall.ECONNREFUSED)
	return v
}

// vacant returns why the office is vacant, or nothing.
func (v evidence) vacant() string {
	switch {
	case v.holder.Name == "":
		return "no planner"
	case v.own:
		return "own former process"
	case v.restarted:
		return "process has restarted"
	case v.refused:
		return "process is gone"
	case v.silent && v.still >= silentLease:
		return "instance is silent"
	case v.still >= term.LeaseDuration:
		return "lease ended"
	}
	return ""
}

// serve plans for one term.
func (e *Server) serve(ctx context.Context, office *term.Elector, last term.Leader) error {
	one, cancel := context.WithTimeout(ctx, callTimeout)
	t, err := office.Acquire(one, last)
	cancel()
	if err != nil {
		return err
	}
	p := control.New(control.Dependencies{
		Term: t, Store: e.services.Store, Registry: e.services.Registry, Dialer: e.router,
		Adviser: e.services.Adviser,
		Config:  e.catalogue, Timing: e.settings.Timing,
		Log: e.log.WithValues("generation", t.Generation()), Metrics: e.metrics,
	})
	if err := t.RunWithRenewal(ctx, p.Load); err != nil {
		return err
	}
	e.planner.Store(p)
	defer e.planner.Store(nil)
	e.group.SetValue(valueGeneration, number(t.Generation()))
	defer e.group.SetValue(valueGeneration, nil)
	e.log.Info("in office", "generation", t.Generation())
	if e.draining.Load() {
		p.Resign()
	}
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	go e.handOver(ctx, p)
	return p.Run(ctx)
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// inOffice returns the name of the planner's instance, if it can be reached.
func (e *Server) inOffice() (string, bool) {
	if e.planner.Load() != nil {
		return e.settings.Name, true
	}
	name, latest := "", uint64(0)
	for _, p := range e.group.Peers() {
		if !p.Connected || p.Health != member.HealthAlive {
			continue
		}
		if g := generation(p); g > latest {
			name, latest = p.Instance.Name, g
		}
	}
	return name, name != ""
}

// generation returns the generation of an instance in office, or 0.
func generation(p member.Peer) uint64 {
	if content := p.Values[valueGeneration]; len(content) == 8 {
		return binary.BigEndian.Uint64(content)
	}
	return 0
}
