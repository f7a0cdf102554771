package capacity

import (
	"math"
	"testing"
)

// point is the lowest cost measured at one size.
type point struct{ size, cost float64 }

// line is a least-squares fit of cost = base + slope*size.
type line struct{ base, slope float64 }

func (l line) costAt(size float64) float64 { return l.base + l.slope*size }

// fit returns the least-squares line through the points.
func fit(points []point) line {
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.size
		y += p.cost
		xx += p.size * p.size
		xy += p.size * p.cost
	}
	n := float64(len(points))
	denominator := n*xx - x*x
	if denominator == 0 {
		return line{base: y / n}
	}
	slope := (n*xy - x*y) / denominator
	return line{base: (y - slope*x) / n, slope: slope}
}

// residual returns the root mean square of the residuals, absolute and as a share
// of the mean cost.
func residual(l line, points []point) (rms, share float64) {
	var squares, sum float64
	for _, p := range points {
		deviation := p.cost - l.costAt(p.size)
		squares += deviation * deviation
		sum += p.cost
	}
	n := float64(len(points))
	rms = math.Sqrt(squares / n)
	if sum == 0 {
		return rms, 0
	}
	return rms, rms / (sum / n)
}

// Guards against wrong fits, on which every figure of docs/CAPACITY.md depends.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		points      []point
		base, slope float64
		rms         float64
	}{
		{[]point{{0, 3}, {1, 5}, {2, 7}}, 3, 2, 0},
		{[]point{{1, 4}, {2, 4}, {3, 4}}, 4, 0, 0},
		{[]point{{0, 0}, {1, 3}, {2, 0}}, 1, 0, math.Sqrt2},
	} {
		l := fit(c.points)
		rms, _ := residual(l, c.points)
		for _, difference := range []float64{l.base - c.base, l.slope - c.slope, rms - c.rms} {
			if math.Abs(difference) > 1e-9 {
				t.Errorf("fit of %v: base %g, slope %g, residual %g", c.points, l.base, l.slope, rms)
			}
		}
	}
}
