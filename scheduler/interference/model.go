package interference

import (
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
)

const (
	// maxNeighbours bounds the neighbours in the model of a kind. A worker runs
	// tasks of a few kinds at a time.
	maxNeighbours = 16
	// priorVariance is the variance of the slowdown, as a logarithm, of which
	// nothing is known: factors of 1.5 to 2 are plausible.
	priorVariance = 0.3
	// initialNoise is the assumed variance of the logarithm of a pace, minNoise its
	// lower bound: progress is reported with an error of at least 3 %.
	initialNoise = 0.04
	minNoise     = 0.0009
	// noiseMemory is the number of windows from which the noise is estimated.
	noiseMemory = 100
	// memory is the number of windows, in which a neighbour came or went, that
	// determine its slowdown. Older ones are forgotten.
	memory = 60
	// minVariance is the lowest variance of a restored slowdown, to which the filter
	// converges with minNoise. A pair with a lower one would not be unlearned.
	minVariance = minNoise / memory
	// maxDeviation is how many standard deviations one window may differ from what
	// is expected; a worker that stalls for a moment counts no more than that.
	maxDeviation = 3
	// minChange is the change of a neighbour's presence from which on a window says
	// something about it.
	minChange = 0.1
)

// Evidence for a known pair. With hundreds of pairs under observation, less
// evidence would make some of them known by chance.
const (
	// minSlowdown is the slowdown, as a logarithm, from which on keeping tasks apart
	// matters: 10 %. A pair stays known down to lostSlowdown, 5 %.
	minSlowdown  = 0.095
	lostSlowdown = 0.049
	// minDeviations is the slowdown in standard errors; lostDeviations is where a
	// pair stops being known.
	minDeviations  = 5
	lostDeviations = 2.5
	// minRuns and minWorkers are the runs and workers in which the neighbour came or
	// went: a single faulty worker slows down whatever runs there.
	minRuns    = 10
	minWorkers = 3
)

// neighbour is the evidence for one neighbour of a kind.
type neighbour struct {
	kind Kind
	runs int
	// workers is a set of hashed worker names.
	workers uint64
	known   bool
	seen    int64
}

// model is a linear model of the slowness of one kind: the sum over the neighbours
// of their number times their slowdown. It is estimated by a Kalman filter whose
// state drifts only for the neighbours that a window says something about, so that
// a pair that is kept apart is not forgotten.
type model struct {
	neighbours []neighbour
	slowdown   []float64
	covariance [][]float64
	noise      float64
	windows    float64
	seen       int64
}

func newModel() *model { return &model{noise: initialNoise} }

// index returns the position of a neighbour and adds it if it is missing. If the
// model is full, the unknown neighbour that was seen least recently is replaced;
// the result is -1 if all are known or part of the present window.
func (m *model) index(kind Kind, now int64) int {
	i := slices.IndexFunc(m.neighbours, func(n neighbour) bool { return n.kind == kind })
	if i >= 0 {
		return i
	}
	if len(m.neighbours) < maxNeighbours {
		i = len(m.neighbours)
		m.neighbours, m.slowdown = append(m.neighbours, neighbour{}), append(m.slowdown, 0)
		for j := range m.covariance {
			m.covariance[j] = append(m.covariance[j], 0)
		}
		m.covariance = append(m.covariance, make([]float64, i+1))
	} else {
		for j, n := range m.neighbours {
			if !n.known && n.seen < now && (i < 0 || n.seen < m.neighbours[i].seen) {
				i = j
			}
		}
		if i < 0 {
			return -1
		}
		for j := range m.neighbours {
			m.covariance[i][j], m.covariance[j][i] = 0, 0
		}
	}
	m.neighbours[i], m.slowdown[i], m.covariance[i][i] = neighbour{kind: kind, seen: now}, 0, priorVariance
	return i
}

// observe updates the model with the change of the presence and of the logarithm
// of the slowness from the baseline of a run. It returns the neighbours that
// changed by minChange or more.
func (m *model) observe(changes []share, level float64, now int64) []int {
	x := make([]float64, maxNeighbours)
	var moved []int
	for _, c := range changes {
		if math.Abs(c.weight) < minChange {
			continue
		}
		if i := m.index(c.kind, now); i >= 0 {
			x[i] = c.weight
			m.neighbours[i].seen = now
			moved = append(moved, i)
		}
	}
	n := len(m.neighbours)
	gain := make([]float64, n)
	expected, variance := 0.0, m.noise
	for i := range n {
		for _, j := range moved {
			gain[i] += m.covariance[i][j] * x[j]
		}
		expected += x[i] * m.slowdown[i]
	}
	for _, i := range moved {
		variance += x[i] * gain[i]
	}
	limit := maxDeviation * math.Sqrt(variance)
	residual := min(max(level-expected, -limit), limit)
	for i := range n {
		m.slowdown[i] += gain[i] * residual / variance
		for j := range n {
			m.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	for _, i := range moved {
		m.covariance[i][i] = min(m.covariance[i][i]+m.noise*x[i]*x[i]/(memory*memory), priorVariance)
	}
	m.windows = min(m.windows+1, noiseMemory)
	m.noise = max(m.noise+(residual*residual*m.noise/variance-m.noise)/max(m.windows, 10), minNoise)
	return moved
}

// knownPairs returns the number of known neighbours.
func (m *model) knownPairs() int {
	n := 0
	for i := range m.neighbours {
		if m.neighbours[i].known {
			n++
		}
	}
	return n
}

// deviations returns the slowdown of a neighbour in standard errors.
func (m *model) deviations(i int) float64 {
	return m.slowdown[i] / math.Sqrt(max(m.covariance[i][i], 1e-9))
}

// updateKnown sets whether a pair is known and reports whether that has changed.
func (m *model) updateKnown(i int) bool {
	n := &m.neighbours[i]
	known := n.known
	if known {
		known = m.slowdown[i] >= lostSlowdown && m.deviations(i) >= lostDeviations
	} else {
		known = m.slowdown[i] >= minSlowdown && m.deviations(i) >= minDeviations &&
			n.runs >= minRuns && bits.OnesCount64(n.workers) >= minWorkers
	}
	changed := known != n.known
	n.known = known
	return changed
}

// workerBit returns the bit of a worker in neighbour.workers.
func workerBit(worker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(worker))
	return 1 << (h.Sum64() % 64)
}
