package entry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/platform/memory"
)

// Guards against a planner that stays on an instance that is clearly worse than
// another, and against hand-overs that gain nothing.
func TestHandOverDecision(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	impaired := pathHealth{impairedSince: ago(2 * time.Second), relayedAt: ago(100 * time.Millisecond)}
	good := candidate{"good", 100, pathFast}
	tests := []struct {
		name  string
		state handOverState
		want  handOver
	}{
		{"nothing harmed", handOverState{weight: 100, checkLarger: true, candidates: []candidate{good, {"large", 150, pathFast}}}, handOver{}},
		{"larger instance", handOverState{weight: 100, checkLarger: true, candidates: []candidate{{"large", 151, pathUnknown}}}, handOver{true, "", reasonLarger}},
		{"larger instance, no check due", handOverState{weight: 100, candidates: []candidate{{"large", 151, pathFast}}}, handOver{}},
		{"larger instance without a path", handOverState{weight: 100, checkLarger: true, candidates: []candidate{{"large", 300, pathNone}}}, handOver{}},
		{"larger instance, pause", handOverState{weight: 100, checkLarger: true, pausedUntil: now.Add(1), candidates: []candidate{{"large", 300, pathFast}}}, handOver{}},
		{"path impaired", handOverState{weight: 100, path: impaired, candidates: []candidate{{"none", 300, pathNone}, good}}, handOver{true, "good", reasonPath}},
		{"path impaired, the largest that is served", handOverState{weight: 100, path: impaired, candidates: []candidate{{"a", 50, pathFast}, {"b", 60, pathModerate}}}, handOver{true, "b", reasonPath}},
		{"path impaired, the fastest of the largest", handOverState{weight: 100, path: impaired, candidates: []candidate{{"a", 60, pathModerate}, {"b", 60, pathFast}}}, handOver{true, "b", reasonPath}},
		{"path impaired for a moment", handOverState{weight: 100, path: pathHealth{impairedSince: ago(900 * time.Millisecond), relayedAt: now}, candidates: []candidate{good}}, handOver{}},
		{"path impaired, nobody better", handOverState{weight: 100, path: impaired, candidates: []candidate{{"none", 100, pathNone}, {"slow", 100, pathSlow}, {"unknown", 100, pathUnknown}}}, handOver{}},
		{"path impaired, pause", handOverState{weight: 100, path: impaired, pausedUntil: now.Add(1), candidates: []candidate{good}}, handOver{}},
		{"path impaired, pause is over", handOverState{weight: 100, path: impaired, pausedUntil: now, candidates: []candidate{good}}, handOver{true, "good", reasonPath}},
		{"path impaired, draining", handOverState{weight: 100, path: impaired, draining: true, candidates: []candidate{good}}, handOver{}},
		{"store away for all, announcements are old", handOverState{weight: 100, path: pathHealth{impairedSince: ago(2 * time.Second)}, candidates: []candidate{good}}, handOver{}},
		{"store away for all since a while", handOverState{weight: 100, path: pathHealth{impairedSince: ago(5 * time.Second), relayedAt: ago(2 * time.Second)}, candidates: []candidate{good}}, handOver{}},
		{"all paths slow", handOverState{weight: 100, path: pathHealth{usual: time.Second, class: pathSlow}, candidates: []candidate{good}}, handOver{}},
		{"slow decisions", handOverState{weight: 100, slowSince: ago(3 * time.Second), candidates: []candidate{good, {"more", 120, pathFast}}}, handOver{true, "more", reasonDecision}},
		{"slow decisions, no faster instance", handOverState{weight: 100, slowSince: ago(3 * time.Second), candidates: []candidate{good}}, handOver{}},
		{"slow decisions for a moment", handOverState{weight: 100, slowSince: ago(2 * time.Second), candidates: []candidate{{"more", 120, pathFast}}}, handOver{}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.decide(now); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a named successor that waits for larger instances, and against
// others that are faster than it.
func TestTakeoverDelay(t *testing.T) {
	tests := []struct {
		takeover
		want time.Duration
	}{
		{takeover{cores: 1}, 0},
		{takeover{cores: 1, larger: 2}, 2 * rankDelay},
		{takeover{cores: 1, larger: 30}, maxRank * rankDelay},
		{takeover{cores: 0.2}, smallInstanceDelay},
		{takeover{cores: 1, impaired: true}, impairedDelay},
		{takeover{cores: 1, otherNamed: true}, successorDelay},
		{takeover{cores: 0.2, larger: 30, impaired: true, named: true}, 0},
	}
	for _, c := range tests {
		if got := c.delay(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.takeover, got, c.want)
		}
	}
}

// Guards against nominations that are lost in the heartbeat value.
func TestNominationIsDecoded(t *testing.T) {
	want := nomination{7, "10.1.0.7:8109"}
	if got, ok := decodeNomination(want.encode()); !ok || got != want {
		t.Errorf("%+v, %t", got, ok)
	}
	for _, content := range [][]byte{nil, {1}, make([]byte, 8)} {
		if got, ok := decodeNomination(content); ok {
			t.Errorf("%v decoded as %+v", content, got)
		}
	}
}

// setFaults sets the faults of the store for all instances but one, and for that one.
func (s *cluster) setFaults(others memory.Faults, one int, f memory.Faults) {
	for i, v := range s.views {
		if i == one {
			v.SetFaults(f)
		} else {
			v.SetFaults(others)
		}
	}
}

// submitTimes submits jobs at all instances for a time and returns the sorted times
// to acceptance.
func (s *cluster) submitTimes(t *testing.T, d time.Duration) []time.Duration {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var times []time.Duration
	end := time.Now().Add(d)
	for i, e := range s.servers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				start := time.Now()
				if v := s.submit(t, e, fmt.Sprintf("job-%d-%d-%d", end.UnixNano(), i, n), "1ms"); v.Outcome != control.OutcomeAccepted {
					t.Errorf("instance %d: %+v", i, v)
				}
				mu.Lock()
				times = append(times, time.Since(start))
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times
}

// Guards against submissions that are late everywhere while the planner's path is
// harmed, and a planner that stays there.
func TestPlannerWithHarmedPathHandsOver(t *testing.T) {
	for name, faults := range harmedPaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 4)
			usual := memory.Faults{Delay: usualDelay}
			s.setFaults(usual, 0, usual)
			planner := s.waitReady(t)
			s.submitTimes(t, time.Second)
			s.setFaults(usual, planner, faults)
			times := s.submitTimes(t, 4*time.Second)
			t.Logf("%d submissions, median %v, 90th percentile %v, longest %v", len(times), times[len(times)/2], times[len(times)*9/10], times[len(times)-1])
			if p90 := times[len(times)*9/10]; p90 > 200*time.Millisecond {
				t.Errorf("the 90th percentile of the time to acceptance is %v", p90)
			}
			n, _ := s.servers[planner].succession.get()
			if next := s.plannerIndex(); next < 0 || s.servers[next].settings.Name != n.successor || next == planner {
				t.Errorf("instance %d is the planner, named was %q by instance %d; path of that: %+v",
					next, n.successor, planner, s.servers[planner].services.Store.pathHealth())
			}
		})
	}
}

// Guards against hand-overs when no instance has a better path.
func TestNoHandOverIfAllPathsAreAlike(t *testing.T) {
	for name, faults := range map[string]memory.Faults{
		"slow": {Delay: 300 * time.Millisecond}, "silent": {Silent: true}, "refusing": {Outage: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 3)
			s.setFaults(memory.Faults{Delay: usualDelay}, 0, memory.Faults{Delay: usualDelay})
			planner := s.waitReady(t)
			time.Sleep(time.Second)
			s.setFaults(faults, planner, faults)
			time.Sleep(4 * time.Second)
			if n, _ := s.servers[planner].succession.get(); n.successor != "" {
				t.Errorf("handed over: %+v", n)
			}
		})
	}
}

// Guards against a hand-over to an instance that still announces what held before its
// path became slow.
func TestStaleClassIsNotConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		faults memory.Faults
		class  pathClass
		want   bool
	}{
		"as announced":         {memory.Faults{Delay: usualDelay}, pathFast, true},
		"slow, announces fast": {memory.Faults{Delay: 300 * time.Millisecond}, pathFast, false},
		"slow, announces slow": {memory.Faults{Delay: 300 * time.Millisecond}, pathSlow, true},
		"refused":              {memory.Faults{Outage: true}, pathFast, false},
		"silent":               {memory.Faults{Silent: true}, pathSlow, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 2)
			s.setFaults(memory.Faults{Delay: usualDelay}, 0, memory.Faults{Delay: usualDelay})
			planner := s.waitReady(t)
			peer := 1 - planner
			s.setFaults(memory.Faults{Delay: usualDelay}, peer, c.faults)
			store := s.servers[planner].services.Store
			if got := store.confirmClass(t.Context(), s.servers[peer].settings.Name, c.class); got != c.want {
				t.Errorf("confirmed %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a successor that waits for the ordinary election.
func TestNamedSuccessorTakesOverAtOnce(t *testing.T) {
	s := newCluster(t, 4)
	planner := s.waitReady(t)
	successor := (planner + 1) % 4
	e := s.servers[planner]
	p := e.planner.Load()
	start := time.Now()
	e.handOver(t.Context(), p, e.planner.Load().Status().Generation, handOver{true, s.servers[successor].settings.Name, reasonPath})
	waitFor(t, "no successor", func() bool { i := s.plannerIndex(); return i >= 0 && i != planner })
	t.Logf("taken over after %v", time.Since(start))
	if got := s.plannerIndex(); got != successor || time.Since(start) > smallInstanceDelay {
		t.Errorf("instance %d took over after %v, want %d", got, time.Since(start), successor)
	}
}

// Guards against a deployment without a planner when the named successor is lost.
func TestNamedSuccessorDies(t *testing.T) {
	losses := map[string]func(*cluster, int){
		"stopped": func(s *cluster, i int) { s.stops[i]() },
		"hanging": func(s *cluster, i int) { s.servers[i].draining.Store(true) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t, 4)
			planner := s.waitReady(t)
			successor := (planner + 1) % 4
			e := s.servers[planner]
			p := e.planner.Load()
			lose(s, successor)
			start := time.Now()
			e.handOver(t.Context(), p, p.Status().Generation, handOver{true, s.servers[successor].settings.Name, reasonPath})
			waitFor(t, "no planner", func() bool {
				i := s.plannerIndex()
				return i >= 0 && s.servers[i].planner.Load() != p
			})
			t.Logf("taken over after %v", time.Since(start))
			if took := time.Since(start); took > 2500*time.Millisecond {
				t.Errorf("taken over after %v", took)
			}
		})
	}
}

// Guards against a nomination that is announced for as long as its announcer does not
// become planner again: an instance that joins later would take it as new.
func TestNominationIsWithdrawn(t *testing.T) {
	s := newCluster(t, 3)
	planner := s.waitReady(t)
	successor := (planner + 1) % 3
	e := s.servers[planner]
	p := e.planner.Load()
	e.handOver(t.Context(), p, p.Status().Generation, handOver{true, s.servers[successor].settings.Name, reasonPath})
	waitFor(t, "no successor", func() bool { return s.plannerIndex() == successor })
	waitFor(t, "the nomination is still announced", func() bool {
		content, ok := s.servers[successor].group.Value(e.settings.Name, valueSuccessor)
		return !ok || len(content) == 0
	})

	now := time.Now()
	var n succession
	n.announce(nomination{3, "a"}, now)
	if n.withdraw(3, now.Add(handOverBackoff-1)) {
		t.Error("withdrawn while it is needed")
	}
	if !n.withdraw(0, now.Add(handOverBackoff)) || n.withdraw(0, now.Add(handOverBackoff)) {
		t.Error("not withdrawn once after the pause")
	}
	if _, seenAt := n.get(); !seenAt.Equal(now) {
		t.Error("the pause is forgotten")
	}
}

// Guards against a read of the store and a connection with each change of the group
// while a named successor waits for the end of the term.
func TestSuccessorChecksAtIntervals(t *testing.T) {
	s := newCluster(t, 1)
	s.waitReady(t)
	s.stops[0]()
	e := s.servers[0]
	waitFor(t, "the planner still runs", func() bool { return e.planner.Load() == nil })
	e.succession.record(nomination{1 << 40, e.settings.Name}, time.Now())
	changes := make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case changes <- struct{}{}:
			}
		}
	}()
	start, checks := time.Now(), 0
	for time.Since(start) < 300*time.Millisecond {
		e.waitForCheck(t.Context(), changes, electionInterval)
		checks++
	}
	if limit := int(time.Since(start) / minCheckInterval); checks > limit || checks < 3 {
		t.Errorf("%d checks, want 3 to %d", checks, limit)
	}
}
