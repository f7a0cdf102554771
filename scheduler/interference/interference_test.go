package interference

import (
	"fmt"
	"math"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

const (
	// runsToLearn is the number of runs per kind within which pairs that slow each
	// other down by a quarter are known.
	runsToLearn = 150
	// maxFalseShare is the largest acceptable share of the known pairs that are
	// false.
	maxFalseShare = 0.05
)

// TestKnownPairsAreLearned guards against pairs that are missed or learned by
// chance, with workers of several speeds, noise, stragglers and workers that stall.
func TestKnownPairsAreLearned(t *testing.T) {
	for _, c := range []struct {
		kinds         int
		noise, stalls float64
	}{{4, 0.05, 0}, {8, 0.15, 0}, {8, 0.15, 0.02}, {16, 0.3, 0}} {
		t.Run(fmt.Sprintf("%d kinds, noise %v, stalls %v", c.kinds, c.noise, c.stalls), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				l := newLoad(seed, c.kinds, 0.15, c.noise)
				l.stalls = c.stalls
				l.play(runsToLearn * c.kinds)
				found, wrong := l.judge(1.25)
				if found < 0.9 || wrong > maxFalseShare {
					t.Errorf("seed %d: %.2f of %d pairs are known, %.2f of the known ones are false", seed, found, len(l.slowdowns), wrong)
				}
			}
		})
	}
}

// TestNothingIsLearnedWithoutInterference guards against decisions that change
// although no task slows another one down.
func TestNothingIsLearnedWithoutInterference(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		l := newLoad(seed, 12, 0, 0.3)
		l.stalls = 0.02
		l.play(3000)
		if l.learner.Known() || len(l.learner.Pairs()) > 0 {
			t.Errorf("seed %d: %+v", seed, l.learner.Pairs())
		}
	}
}

// TestChangedWorkIsUnlearned guards against pairs that are kept apart after a
// program has changed and no longer slows the other one down.
func TestChangedWorkIsUnlearned(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoad(seed, 4, 0.3, 0.15)
		l.play(runsToLearn * 4)
		if found, _ := l.judge(1.25); found < 0.9 {
			t.Fatalf("seed %d: %.2f of the pairs are known", seed, found)
		}
		l.slowdowns = map[[2]int]float64{{0, 1}: math.Log(1.6)}
		l.play(2 * runsToLearn * 4)
		if found, wrong := l.judge(1.25); found < 1 || wrong > 0 {
			t.Errorf("seed %d: after the change %.2f of the pairs are known, %.2f of the known ones are false", seed, found, wrong)
		}
		changes := map[bool]int{}
		for _, c := range l.learner.TakeChanges() {
			changes[c.Known]++
		}
		if changes[true]-changes[false] != len(l.learner.Pairs()) {
			t.Errorf("seed %d: changes %v for %d known pairs", seed, changes, len(l.learner.Pairs()))
		}
	}
}

// TestOneWorkerIsNoEvidence guards against a faulty worker that makes whatever runs
// on it look like a pair.
func TestOneWorkerIsNoEvidence(t *testing.T) {
	l := newLoad(1, 3, 1, 0.05)
	l.workers = l.workers[:2]
	l.play(600)
	if l.learner.Known() {
		t.Errorf("%+v", l.learner.Pairs())
	}
}

// TestOneWindowChangesLittle guards against a worker that stalls once and makes its
// neighbours look like the cause.
func TestOneWindowChangesLittle(t *testing.T) {
	m := newModel()
	for i := range int64(50) {
		m.observe([]share{{testKind("a"), float64(i%2*2 - 1)}}, 0, i)
	}
	i := m.index(testKind("a"), 50)
	before := m.slowdown[i]
	m.observe([]share{{testKind("a"), 1}}, 5, 51)
	if change := m.slowdown[i] - before; change < 0 || change > minSlowdown {
		t.Errorf("one window changes the slowdown by %.2f", change)
	}
}

// TestSizeIsBounded guards against a state that grows with the number of kinds.
func TestSizeIsBounded(t *testing.T) {
	t.Parallel()
	l := newLoad(1, 3*maxKinds, 0.2, 0.1)
	l.play(4000)
	if len(l.learner.models) > maxKinds {
		t.Errorf("%d kinds", len(l.learner.models))
	}
	for _, m := range l.learner.models {
		if len(m.neighbours) > maxNeighbours || len(m.covariance) > maxNeighbours {
			t.Errorf("%d neighbours", len(m.neighbours))
		}
	}
	known := 0
	for _, m := range l.learner.models {
		for _, n := range m.neighbours {
			if n.known {
				known++
			}
		}
	}
	if known != l.learner.known {
		t.Errorf("%d pairs are known, %d are counted", known, l.learner.known)
	}
}

func testKind(image string) Kind { return NewKind("q", image, batch.Resources{Accelerators: 1}) }

// TestTailLatency checks that a task that serves requests, and makes no progress,
// is compared by its latency.
func TestTailLatency(t *testing.T) {
	e := New()
	serving, filler := testKind("serve"), testKind("fill")
	now := time.Unix(1000, 0)
	for w := range 6 {
		var run Run
		presence := Presence{}.With(serving, 1, now)
		latency := 20 * time.Millisecond
		for i := range 60 {
			now = now.Add(time.Second)
			run = e.Observe(run, Sample{
				Kind: serving, Worker: fmt.Sprint("w", w), At: now, Latency: latency + time.Duration(i%3)*time.Millisecond, Presences: []Presence{presence},
			})
			if i%10 == 0 {
				latency = 50*time.Millisecond - latency
				delta := 1.0
				if latency == 20*time.Millisecond {
					delta = -1
				}
				presence = presence.With(filler, delta, now)
			}
		}
	}
	// A pair needs runs of ten tasks; six are not enough.
	if e.Known() {
		t.Errorf("known after 6 runs: %+v", e.Pairs())
	}
	m := e.models[serving]
	if i := m.index(filler, e.observations); math.Abs(m.slowdown[i]-math.Log(1.5)) > 0.1 {
		t.Errorf("slowdown %.2f, want the logarithm of 1.5", m.slowdown[i])
	}
}

// TestGangIsAsSlowAsItsSlowestMember checks that a neighbour on one worker of a gang
// counts for the whole gang.
func TestGangIsAsSlowAsItsSlowestMember(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := testKind("a"), testKind("b")
	first, second := Presence{}.With(a, 1, start), Presence{}.With(a, 1, start)
	run := Run{}.withWindow(Sample{At: start, Presences: []Presence{first, second}})
	second = second.With(b, 2, start.Add(500*time.Millisecond))
	shares := run.neighbours(Sample{At: start.Add(time.Second), Presences: []Presence{first, second}})
	if i := shareIndex(shares, b); i < 0 || math.Abs(shares[i].weight-1) > 1e-9 {
		t.Errorf("%+v, want one neighbour on average", shares)
	}
}

// TestPresenceForgets checks that kinds that left long ago take no space, and that
// one that comes back counts from its return.
func TestPresenceForgets(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := testKind("a"), testKind("b")
	p := Presence{}.With(a, 1, start).With(a, -1, start.Add(time.Second))
	early := start.Add(30 * time.Second)
	old := p
	late := early.Add(maxWindow - time.Second)
	p = p.With(b, 1, late)
	if len(p.entries) != 1 {
		t.Errorf("%d kinds, want 1", len(p.entries))
	}
	p = p.With(a, 1, late)
	shares := p.meanSince(old, early, late.Add(time.Second))
	if i := shareIndex(shares, a); i < 0 || math.Abs(shares[i].weight*maxWindow.Seconds()-1) > 1e-9 {
		t.Errorf("%+v, want one second of a minute", shares)
	}
}

// TestRestore checks that a successor has the pairs of its predecessor, and ignores
// values that no estimator gives out.
func TestRestore(t *testing.T) {
	l := newLoad(2, 4, 0.3, 0.1)
	l.play(400)
	e := New()
	for _, p := range l.learner.Pairs() {
		e.Restore(p)
	}
	if got, want := fmt.Sprint(e.Pairs()), fmt.Sprint(l.learner.Pairs()); got != want || !e.Known() {
		t.Errorf("%s, want %s", got, want)
	}
	valid := Pair{Kind: testKind("a"), Neighbour: testKind("b"), Slowdown: 0.5, Variance: 0.01, Runs: 20}
	for name, change := range map[string]func(*Pair){
		"slowdown": func(p *Pair) { p.Slowdown = math.NaN() },
		"infinite": func(p *Pair) { p.Slowdown = math.Inf(1) },
		"variance": func(p *Pair) { p.Variance = math.NaN() },
		"runs":     func(p *Pair) { p.Runs = -1 },
	} {
		p := valid
		change(&p)
		e := New()
		e.Restore(p)
		if e.Known() {
			t.Errorf("%s: restored %+v", name, p)
		}
	}
}

// TestRestoredPairCanBeUnlearned guards against a stored variance that is so small
// that no later window changes the slowdown.
func TestRestoredPairCanBeUnlearned(t *testing.T) {
	e := New()
	e.Restore(Pair{Kind: testKind("a"), Neighbour: testKind("b"), Slowdown: 0.5, Variance: 1e-300, Runs: 20})
	if pairs := e.Pairs(); len(pairs) != 1 || pairs[0].Variance < minNoise/memory {
		t.Errorf("%+v, want one with a variance of at least %v", pairs, minNoise/memory)
	}
}

// TestProgressThatIsNotFiniteIsIgnored guards against a report that makes an
// estimate, or the baseline of a run, infinite or not a number.
func TestProgressThatIsNotFiniteIsIgnored(t *testing.T) {
	for _, progress := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		e := New()
		at := time.Unix(0, 0)
		sample := func(progress float64) Sample {
			at = at.Add(time.Second)
			return Sample{Kind: testKind("a"), Worker: "w", At: at, Progress: progress, Presences: []Presence{{}}}
		}
		before := e.Observe(e.Observe(Run{}, sample(0.1)), sample(0.2))
		if got := e.Observe(before, sample(progress)); fmt.Sprint(got) != fmt.Sprint(before) {
			t.Errorf("progress %v: %+v, want %+v", progress, got, before)
		}
		if got := e.Observe(Run{}, sample(progress)); !got.since.IsZero() {
			t.Errorf("first progress %v: %+v", progress, got)
		}
	}
}

// TestKindWithKnownPairsIsKept guards against kinds without evidence that evict a
// known pair.
func TestKindWithKnownPairsIsKept(t *testing.T) {
	e := New()
	e.Restore(Pair{Kind: testKind("a"), Neighbour: testKind("b"), Slowdown: 0.5, Variance: 0.01, Runs: 20})
	for i := range 2 * maxKinds {
		e.observations++
		e.model(testKind(fmt.Sprint(i))).seen = e.observations
	}
	if len(e.models) != maxKinds || !e.Known() {
		t.Errorf("%d kinds, %d known pairs", len(e.models), len(e.Pairs()))
	}
}

// TestFactorIsBounded guards against an estimate that outweighs everything else.
func TestFactorIsBounded(t *testing.T) {
	e := New()
	a, b := testKind("a"), testKind("b")
	e.Restore(Pair{Kind: a, Neighbour: b, Slowdown: 0.5, Variance: 0.01, Runs: 20})
	table := e.Table()
	i, _ := table.Index(a)
	j, _ := table.Index(b)
	for _, c := range []struct {
		index int
		count float64
		want  float64
	}{{i, 0, 1}, {i, 1, 1.65}, {j, 1, 1.65}, {i, 8, maxFactor}} {
		other := j
		if c.index == j {
			other = i
		}
		if got := table.Factor(c.index, []Neighbour{{other, c.count}}); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v neighbours: factor %v, want %v", c.count, got, c.want)
		}
	}
	if s := table.Slowdown(i, [][]Neighbour{{{j, 1}}, {{j, 1}}}); s != nil {
		t.Errorf("slowdown %v, want none where all workers are alike", s)
	}
	if s := table.Slowdown(i, [][]Neighbour{{{j, 1}}, nil}); len(s) != 2 || s[1] != 1 {
		t.Errorf("slowdown %v", s)
	}
	if _, ok := table.Index(testKind("c")); ok {
		t.Error("a kind without a pair has an index")
	}
}

// BenchmarkObserve measures one window of a run beside five others of eight kinds.
func BenchmarkObserve(b *testing.B) {
	l := newLoad(1, 8, 0.15, 0.1)
	l.play(400)
	presence := Presence{}
	for i := range 5 {
		presence = presence.With(l.kinds[i], 1, l.now)
	}
	changed := presence.With(l.kinds[6], 1, l.now)
	var run Run
	s := Sample{Kind: l.kinds[0], Worker: "w", At: l.now, Presences: []Presence{presence}}
	for i := 0; b.Loop(); i++ {
		s.At, s.Progress = s.At.Add(500*time.Millisecond), s.Progress+0.05
		s.Presences = []Presence{presence}
		if i%2 == 0 {
			s.Presences = []Presence{changed}
		}
		run = l.learner.Observe(run, s)
	}
}
