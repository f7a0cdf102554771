package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestGangRevealsItsSlowestWorker guards against conclusions that the speed of a
// gang does not allow, and against none at all: urgent work runs in gangs only.
func TestGangRevealsItsSlowestWorker(t *testing.T) {
	const expected = 2 * time.Second
	tests := []struct {
		name    string
		workers []string
		total   time.Duration
		spread  float64
		// revealed is the expected result; slower and faster are workers whose speed
		// must have changed in that direction, all others have their former speed.
		revealed       int
		slower, faster []string
	}{
		{name: "the only unknown worker is the slowest", workers: []string{"typical1", "typical2", "new1"}, total: 5 * time.Second, revealed: 1, slower: []string{"new1"}},
		{name: "one of two unknown workers is the slowest", workers: []string{"typical1", "new1", "new2"}, total: 5 * time.Second},
		{name: "a slow worker explains a slow gang", workers: []string{"slow", "new1"}, total: 4200 * time.Millisecond},
		{name: "no worker of a typical gang is slow", workers: []string{"typical1", "new1", "new2"}, total: 2100 * time.Millisecond, revealed: 2},
		{name: "a worker is not as slow as thought", workers: []string{"slow", "typical1"}, total: 2 * time.Second, revealed: 1, faster: []string{"slow"}},
		{name: "known workers of a slow gang", workers: []string{"typical1", "typical2"}, total: 6 * time.Second},
		{name: "run times that vary too much", workers: []string{"typical1", "new1"}, total: 5 * time.Second, spread: 0.7},
		{name: "a difference within the variation", workers: []string{"typical1", "new1", "new2"}, total: 2500 * time.Millisecond, spread: 0.1, revealed: 2},
		{name: "no time", workers: []string{"typical1", "new1"}},
	}
	for _, tt := range tests {
		e := New()
		for i := range 7 {
			e.Restore(Estimate{Worker: fmt.Sprint("typical", i), Slowness: 0.3, Weight: maxWeight})
		}
		e.Restore(Estimate{Worker: "slow", Slowness: 0.3 + math.Ln2, Weight: maxWeight})
		if n := e.ObserveGang(tt.workers, tt.total, expected, tt.spread); n != tt.revealed {
			t.Errorf("%s: %d workers revealed, want %d", tt.name, n, tt.revealed)
		}
		changed := map[string]int{}
		for _, w := range tt.slower {
			changed[w] = -1
		}
		for _, w := range tt.faster {
			changed[w] = 1
		}
		for w, before := range map[string]float64{"typical1": 1, "typical2": 1, "slow": 0.5, "new1": 1, "new2": 1} {
			got := e.Speed(w)
			direction := 0
			if math.Abs(got-before) > 0.12 || w == "slow" && math.Abs(got-before) > 0.02 {
				direction = map[bool]int{true: 1, false: -1}[got > before]
			}
			if direction != changed[w] {
				t.Errorf("%s: speed of %s is %.2f, was %.2f", tt.name, w, got, before)
			}
		}
	}
}

// TestSpeedsFromGangs guards against speeds that drift away when only gangs are
// observed on workers of which some are known.
func TestSpeedsFromGangs(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 2))
		e := New()
		speeds := map[string]float64{}
		var names []string
		for i := range 40 {
			w := fmt.Sprint("w", i)
			names = append(names, w)
			speeds[w] = []float64{0.46, 1, 1, 1}[i%4]
			if i < 24 {
				e.Restore(Estimate{Worker: w, Slowness: -math.Log(speeds[w]), Weight: 3})
			}
		}
		for range 60 {
			slowest := 2.0
			var gang []string
			for _, n := range random.Perm(len(names))[:4] {
				gang = append(gang, names[n])
				slowest = min(slowest, speeds[names[n]])
			}
			total := 2.3 / slowest * math.Exp(0.07*random.NormFloat64())
			e.ObserveGang(gang, time.Duration(total*float64(time.Second)), 2300*time.Millisecond, 0.1)
		}
		wrong, learned := 0, 0
		for i, w := range names {
			if i >= 24 && e.Known(w) {
				learned++
			}
			if e.Known(w) && math.Abs(math.Log(e.Speed(w)/speeds[w])) > 0.35 {
				wrong++
			}
		}
		t.Logf("seed %d: %d of 16 workers learned, %d of all wrong", seed, learned, wrong)
		if learned < 8 || wrong > 4 {
			t.Errorf("seed %d: %d of 16 workers learned, want 8; %d wrong, want at most 4", seed, learned, wrong)
		}
	}
}

func TestQuantile(t *testing.T) {
	e := New()
	for i := range minQuantileWorkers - 1 {
		e.Restore(Estimate{Worker: fmt.Sprint("w", i), Slowness: 0.2, Weight: maxWeight})
	}
	if _, ok := e.Quantile(0.2); ok {
		t.Error("a quantile of too few workers")
	}
	for i := range 12 {
		slowness := 0.2
		if i%3 == 0 {
			slowness += math.Ln2
		}
		e.Restore(Estimate{Worker: fmt.Sprint("w", i), Slowness: slowness, Weight: maxWeight})
	}
	for q, want := range map[float64]float64{0: 0.5, 0.2: 0.5, 0.5: 1, 1: 1} {
		if got, ok := e.Quantile(q); !ok || math.Abs(got-want) > 0.01 {
			t.Errorf("quantile %.1f is %.2f, want %.2f", q, got, want)
		}
	}
}
