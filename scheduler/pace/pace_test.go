package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSpeedsFromUnlikeSteps observes steps of unknown and very different
// lengths, with tasks that vary by 15 % and more, on workers of three speeds.
func TestSpeedsFromUnlikeSteps(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	e := New()
	slowness := map[string]float64{}
	for i := range 24 {
		slowness[fmt.Sprint("w", i)] = []float64{0.6, 1, 1.6}[i%3]
	}
	for step := range 60 {
		length := math.Exp(random.NormFloat64()) * 5
		for range 8 {
			w := fmt.Sprint("w", random.IntN(24))
			seconds := length * slowness[w] * math.Exp(0.2*random.NormFloat64())
			e.Observe(Step{Job: fmt.Sprint(step)}, w, time.Duration(seconds*float64(time.Second)))
		}
	}
	wrong := 0
	for w, s := range slowness {
		if got := 1 / e.Speed(w); got < s/1.3 || got > s*1.3 {
			wrong++
		}
	}
	if wrong > 3 {
		t.Errorf("%d of 24 workers are more than 30 %% off", wrong)
	}
}

// TestSlowdown checks that a worker that becomes slow is noticed within a few
// observations.
func TestSlowdown(t *testing.T) {
	e := New()
	observe := func(step int, total time.Duration) {
		s := Step{Job: fmt.Sprint(step)}
		for _, w := range []string{"a", "b", "c"} {
			e.Observe(s, w, 5*time.Second)
		}
		e.Observe(s, "slow", total)
	}
	for i := range 20 {
		observe(i, 5*time.Second)
	}
	if s := e.Speed("slow"); s < 0.9 {
		t.Errorf("speed %.2f before the slowdown", s)
	}
	for i := range 6 {
		observe(100+i, 25*time.Second)
	}
	if s := e.Speed("slow"); s > 0.5 {
		t.Errorf("speed %.2f after the slowdown to 0.2", s)
	}
}

func TestSingleWorkerTeachesNothing(t *testing.T) {
	e := New()
	e.Observe(Step{Job: "j"}, "a", time.Second)
	e.Observe(Step{Job: "j"}, "a", 9*time.Second)
	if s := e.Speed("a"); s != 1 {
		t.Errorf("speed %.2f", s)
	}
}

// TestSpeedIsRelative checks that speeds do not depend on the common level of
// the estimates, which comparisons between workers do not determine.
func TestSpeedIsRelative(t *testing.T) {
	for _, level := range []float64{-0.7, 0, 0.7} {
		e := New()
		for i := range 12 {
			slowness := level
			if i%4 == 0 {
				slowness += 0.8
			}
			e.Restore(Estimate{Worker: fmt.Sprint("w", i), Slowness: slowness, Weight: maxWeight})
		}
		for i := range 12 {
			want := 1.0
			if i%4 == 0 {
				want = math.Exp(-0.8)
			}
			if got := e.Speed(fmt.Sprint("w", i)); math.Abs(got-want) > 0.01 {
				t.Errorf("level %.1f, worker %d: speed %.2f, want %.2f", level, i, got, want)
			}
		}
		if got := e.Speed("unknown"); got != 1 {
			t.Errorf("unknown worker: speed %.2f, want 1", got)
		}
	}
}
