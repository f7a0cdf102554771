package interference

import "math"

const (
	// maxFactor bounds the slowdown of a decision. A wrong estimate then costs no
	// more than a choice between workers that are as good otherwise.
	maxFactor = 3
	// factorStep is the precision of a factor. Smaller differences do not override
	// the best fit.
	factorStep = 0.05
)

func boundedFactor(slowdown float64) float64 {
	factor := math.Exp(min(max(slowdown, 0), math.Log(maxFactor)))
	return math.Round(factor/factorStep) * factorStep
}

// Table holds the known pairs for use in decisions. It is immutable.
type Table struct {
	index map[Kind]int
	// costs holds, for two kinds, the sum of the slowdowns of either by the other.
	costs [][]float64
}

// Table returns the known pairs.
func (e *Estimator) Table() *Table {
	if e.table != nil {
		return e.table
	}
	t := &Table{index: map[Kind]int{}}
	pairs := e.Pairs()
	for _, p := range pairs {
		for _, k := range [...]Kind{p.Kind, p.Neighbour} {
			if _, ok := t.index[k]; !ok {
				t.index[k] = len(t.index)
			}
		}
	}
	t.costs = make([][]float64, len(t.index))
	for i := range t.costs {
		t.costs[i] = make([]float64, len(t.index))
	}
	for _, p := range pairs {
		a, b := t.index[p.Kind], t.index[p.Neighbour]
		t.costs[a][b] += p.Slowdown
		if a != b {
			t.costs[b][a] += p.Slowdown
		}
	}
	e.table = t
	return t
}

// Index returns the number of a kind that is part of a known pair.
func (t *Table) Index(kind Kind) (int, bool) {
	i, ok := t.index[kind]
	return i, ok
}

// Neighbour is the number of tasks of a kind, given by its index, on a worker.
type Neighbour struct {
	Index int
	Count float64
}

// Factor returns the factor by which a task of a kind and its neighbours on a
// worker are expected to slow each other down, from 1 to maxFactor.
func (t *Table) Factor(index int, neighbours []Neighbour) float64 {
	cost := 0.0
	for _, n := range neighbours {
		cost += n.Count * t.costs[index][n.Index]
	}
	return boundedFactor(cost)
}

// Slowdown returns the factor for a task of a kind on each of several workers, or
// nil if it is the same on all.
func (t *Table) Slowdown(index int, workers [][]Neighbour) []float64 {
	factors := make([]float64, len(workers))
	differ := false
	for i, neighbours := range workers {
		factors[i] = t.Factor(index, neighbours)
		differ = differ || factors[i] != factors[0]
	}
	if !differ {
		return nil
	}
	return factors
}
