package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// maxKinds bounds the number of kinds with a model. The least recently observed one
// is replaced, one with known pairs only if all have some.
const maxKinds = 64

// Estimator learns which kinds slow each other down. It is not safe for concurrent
// use.
type Estimator struct {
	models map[Kind]*model
	known  int
	// observations numbers the windows, to find what was seen least recently.
	observations int64
	changes      []Change
	table        *Table
}

// Pair is a known pair and its evidence.
type Pair struct {
	// Kind is slowed down by Neighbour.
	Kind, Neighbour Kind
	// Slowdown is the natural logarithm of the factor by which one neighbour makes a
	// task slower, Variance the variance of that estimate.
	Slowdown, Variance float64
	// Runs is the number of runs in which the neighbour came or went.
	Runs int
}

// Factor returns the factor by which one neighbour makes a task slower, bounded
// like in decisions.
func (p Pair) Factor() float64 { return boundedFactor(p.Slowdown) }

// Change reports a pair that has become known or has stopped being known.
type Change struct {
	Pair
	Known bool
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{models: map[Kind]*model{}} }

// Known reports whether any pair is known. Without one, nothing may change a
// decision.
func (e *Estimator) Known() bool { return e.known > 0 }

// Observe records a report about a run and returns the run with it. It ignores a
// report whose progress is not finite.
func (e *Estimator) Observe(r Run, s Sample) Run {
	if math.IsNaN(s.Progress) || math.IsInf(s.Progress, 0) {
		return r
	}
	elapsed := s.At.Sub(r.since)
	if r.since.IsZero() || elapsed < 0 || elapsed > maxWindow || len(s.Presences) != len(r.presences) || s.Progress < r.progress {
		return r.withWindow(s)
	}
	level, ok := r.slowness(s)
	if !ok {
		return r
	}
	shares := r.neighbours(s)
	if r.windows > 0 {
		r.counted = e.learn(r, s, level, shares)
	}
	return r.withObservation(level, shares).withWindow(s)
}

// learn compares a window with the baseline of its run. The factor makes the
// differences to the mean of the earlier windows independent of each other, with
// the variance of one window.
func (e *Estimator) learn(r Run, s Sample, level float64, shares []share) []Kind {
	e.observations++
	m := e.model(s.Kind)
	m.seen = e.observations
	factor := math.Sqrt(r.windows / (r.windows + 1))
	counted := slices.Clip(r.counted)
	for _, i := range m.observe(difference(shares, r.shares, factor), factor*(level-r.level), e.observations) {
		n := &m.neighbours[i]
		n.workers |= workerBit(s.Worker)
		if !slices.Contains(counted, n.kind) {
			counted = append(counted, n.kind)
			n.runs++
		}
	}
	// A window also changes the estimates that are correlated with those of the
	// neighbours that moved.
	for i := range m.neighbours {
		if m.updateKnown(i) {
			e.noteChange(s.Kind, m, i)
		}
	}
	if e.known > 0 {
		e.table = nil
	}
	return counted
}

func (e *Estimator) noteChange(kind Kind, m *model, i int) {
	e.table = nil
	known := m.neighbours[i].known
	if known {
		e.known++
	} else {
		e.known--
	}
	if len(e.changes) < maxKinds {
		e.changes = append(e.changes, Change{m.pair(kind, i), known})
	}
}

// model returns the model of a kind and adds it if it is missing.
func (e *Estimator) model(kind Kind) *model {
	if m := e.models[kind]; m != nil {
		return m
	}
	if len(e.models) >= maxKinds {
		e.remove(slices.MinFunc(slices.Collect(maps.Keys(e.models)), func(a, b Kind) int {
			ma, mb := e.models[a], e.models[b]
			return cmp.Or(cmp.Compare(min(ma.knownPairs(), 1), min(mb.knownPairs(), 1)), cmp.Compare(ma.seen, mb.seen), a.compare(b))
		}))
	}
	m := newModel()
	e.models[kind] = m
	return m
}

func (e *Estimator) remove(kind Kind) {
	m := e.models[kind]
	for i := range m.neighbours {
		if m.neighbours[i].known {
			m.neighbours[i].known = false
			e.noteChange(kind, m, i)
		}
	}
	delete(e.models, kind)
}

func (m *model) pair(kind Kind, i int) Pair {
	return Pair{
		Kind: kind, Neighbour: m.neighbours[i].kind, Slowdown: m.slowdown[i], Variance: m.covariance[i][i], Runs: m.neighbours[i].runs,
	}
}

// TakeChanges returns the changes since the last call.
func (e *Estimator) TakeChanges() []Change {
	c := e.changes
	e.changes = nil
	return c
}

// Pairs returns the known pairs, sorted by kinds.
func (e *Estimator) Pairs() []Pair {
	var all []Pair
	for kind, m := range e.models {
		for i := range m.neighbours {
			if m.neighbours[i].known {
				all = append(all, m.pair(kind, i))
			}
		}
	}
	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(a.Kind.compare(b.Kind), a.Neighbour.compare(b.Neighbour))
	})
	return all
}

// BySlowdown sorts pairs by slowdown, largest first.
func BySlowdown(pairs []Pair) []Pair {
	slices.SortStableFunc(pairs, func(a, b Pair) int { return cmp.Compare(b.Slowdown, a.Slowdown) })
	return pairs
}

// Restore adds a known pair of another estimator. Values that no estimator gives
// out are ignored; a variance below minVariance is raised to it.
func (e *Estimator) Restore(p Pair) {
	valid := p.Slowdown >= lostSlowdown && p.Slowdown <= maxStoredSlowdown && p.Variance > 0 && p.Variance <= priorVariance && p.Runs >= minRuns
	if !valid || e.models[p.Kind] == nil && len(e.models) >= maxKinds {
		return
	}
	m := e.model(p.Kind)
	i := m.index(p.Neighbour, e.observations)
	if i < 0 {
		return
	}
	m.slowdown[i], m.covariance[i][i] = p.Slowdown, max(p.Variance, minVariance)
	m.neighbours[i].runs, m.neighbours[i].workers = p.Runs, math.MaxUint64
	if !m.neighbours[i].known {
		m.neighbours[i].known = true
		e.known++
	}
	e.table = nil
}

// maxStoredSlowdown bounds what is taken over from another estimator.
const maxStoredSlowdown = 5
