package adviser

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestWorkers guards against calls that take so long that their tickets have ended when
// they arrive.
func TestWorkers(t *testing.T) {
	for _, c := range []struct {
		figures Figures
		// first and last are the numbers of workers that may be asked in the first call
		// and, once calls have been seen, in later ones.
		first, last [2]int
	}{
		{Figures{60 * ms, 5 * ms, 3000 * ms}, [2]int{30, 30}, [2]int{30, 30}},
		{Figures{200 * ms, 80 * ms, 3000 * ms}, [2]int{15, 22}, [2]int{15, 22}},
		{Figures{1000 * ms, 150 * ms, 3000 * ms}, [2]int{3, 6}, [2]int{3, 6}},
		{Figures{100 * ms, 40 * ms, 1500 * ms}, [2]int{10, 18}, [2]int{10, 18}},
		{Figures{3000 * ms, 150 * ms, 3000 * ms}, [2]int{1, 1}, [2]int{1, 1}},
		{Figures{0, 10 * ms, 90 * ms}, [2]int{3, 5}, [2]int{3, 5}},
		{Figures{0, 0, 3000 * ms}, [2]int{30, 30}, [2]int{30, 30}},
		{Figures{}, [2]int{30, 30}, [2]int{30, 30}},
	} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprint(c.figures, " known ", known), func(t *testing.T) {
				timing := Timing{}
				if known {
					timing = timing.WithFigures(c.figures)
					if n := timing.Workers(30); n < c.first[0] || n > c.first[1] {
						t.Errorf("first call about %d workers, want %v", n, c.first)
					}
				}
				calls, n := 0, 0
				for ; calls < 6; calls++ {
					n = timing.Workers(30)
					took := c.figures.Decision + time.Duration(n)*c.figures.Period
					timing = timing.WithCall(n, took, c.figures.Validity)
				}
				if n = timing.Workers(30); n < c.last[0]/2 || n > c.last[1] {
					t.Errorf("call about %d workers, want %v", n, c.last)
				}
				took := c.figures.Decision + time.Duration(n)*c.figures.Period
				if fits := timing.Fits(n); n > 1 && (!fits || took > Usable(c.figures.Validity)) {
					t.Errorf("a call about %d workers takes %v, fits %v", n, took, fits)
				}
			})
		}
	}
}

// TestTimingFollows guards against an estimate from calls before the figures changed,
// and against one that trusts the figures while calls take longer.
func TestTimingFollows(t *testing.T) {
	quick, slow := Figures{60 * ms, 5 * ms, 3000 * ms}, Figures{200 * ms, 80 * ms, 3000 * ms}
	timing := Timing{}.WithFigures(quick).WithCall(30, 210*ms, 3000*ms).WithFigures(slow)
	if n := timing.Workers(30); n > 22 {
		t.Errorf("%d workers by the new figures", n)
	}
	timing = Timing{}.WithFigures(quick).WithCall(30, 4200*ms, 3000*ms)
	if n := timing.Workers(30); n > 8 {
		t.Errorf("%d workers although calls take 20 times as long as stated", n)
	}
	if timing.Fits(30) || !timing.Fits(1) {
		t.Error("a call about 30 workers fits, or one about 1 does not")
	}
	if n := timing.WithCall(5, 85*ms, 3000*ms).Workers(30); n != 30 {
		t.Errorf("%d workers although calls are quick again", n)
	}
}
