package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"daisylug.example/scheduler/batch"
)

// load is a drawn load on a few workers of different speeds. Tasks of several kinds
// start at random on the workers and slow each other down by known factors.
type load struct {
	random *rand.Rand
	kinds  []Kind
	// slowdowns holds, for a kind and a neighbour, the logarithm of the factor by
	// which one neighbour slows a task down.
	slowdowns map[[2]int]float64
	// noise is the standard deviation of the logarithm of the pace of each second.
	noise float64
	// stalls is the probability per second that a worker runs at half its speed for
	// five seconds.
	stalls  float64
	workers []*loadWorker
	now     time.Time
	ended   int
	learner *Estimator
}

type loadWorker struct {
	name  string
	speed float64
	// slowUntil is until when the worker runs at half its speed.
	slowUntil time.Time
	presence  Presence
	tasks     []*loadTask
}

type loadTask struct {
	kind     int
	work     float64
	progress float64
	jitter   float64
	report   time.Time
	run      Run
}

const (
	loadSlots = 6
	loadTick  = 100 * time.Millisecond
)

// newLoad returns a load of some kinds of which the given share of the pairs, self
// included, slow each other down.
func newLoad(seed uint64, kinds int, pairShare, noise float64) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 7)), slowdowns: map[[2]int]float64{}, noise: noise,
		now: time.Unix(1000, 0), learner: New(),
	}
	for i := range kinds {
		l.kinds = append(l.kinds, NewKind(fmt.Sprint("q", i%3), fmt.Sprint("image", i), batch.Resources{MilliCPU: 1000, Accelerators: 1}))
	}
	for a := range kinds {
		for b := range kinds {
			if l.random.Float64() < pairShare {
				l.slowdowns[[2]int{a, b}] = math.Log(1.25 + 0.5*l.random.Float64())
			}
		}
	}
	for i, speed := range []float64{0.55, 1, 1, 1.2, 1.3, 1, 0.55, 1.2, 1, 1} {
		l.workers = append(l.workers, &loadWorker{name: fmt.Sprint("w", i), speed: speed})
	}
	return l
}

// play lets the load run until a number of runs have ended.
func (l *load) play(runs int) {
	for until := l.ended + runs; l.ended < until; {
		l.now = l.now.Add(loadTick)
		for _, w := range l.workers {
			l.step(w)
		}
	}
}

func (l *load) step(w *loadWorker) {
	if len(w.tasks) < loadSlots && l.random.Float64() < 0.2 {
		k := l.random.IntN(len(l.kinds))
		work := (2 + 6*l.random.Float64()) * math.Exp(0.3*l.random.NormFloat64())
		if l.random.Float64() < 0.03 {
			work *= 7
		}
		w.tasks = append(w.tasks, &loadTask{kind: k, work: work, jitter: 1, report: l.now.Add(time.Duration(l.random.Float64() * float64(time.Second)))})
		w.presence = w.presence.With(l.kinds[k], 1, l.now)
	}
	speed := w.speed
	if l.random.Float64() < l.stalls*loadTick.Seconds() {
		w.slowUntil = l.now.Add(5 * time.Second)
	}
	if l.now.Before(w.slowUntil) {
		speed /= 2
	}
	left := w.tasks[:0:0]
	for _, t := range w.tasks {
		slowdown := 0.0
		for _, o := range w.tasks {
			if o != t {
				slowdown += l.slowdowns[[2]int{t.kind, o.kind}]
			}
		}
		t.progress += loadTick.Seconds() * speed * t.jitter * math.Exp(-slowdown) / t.work
		if !l.now.Before(t.report) || t.progress >= 1 {
			t.run = l.learner.Observe(t.run, Sample{
				Kind: l.kinds[t.kind], Worker: w.name, At: l.now, Progress: min(t.progress, 1), Presences: []Presence{w.presence},
			})
			t.jitter = math.Exp(l.noise * l.random.NormFloat64())
			t.report = l.now.Add(time.Duration((0.7 + 0.6*l.random.Float64()) * float64(time.Second)))
		}
		if t.progress < 1 {
			left = append(left, t)
			continue
		}
		l.ended++
		w.presence = w.presence.With(l.kinds[t.kind], -1, l.now)
	}
	w.tasks = left
}

// judge compares the known pairs with the true ones of at least the given factor. It
// returns the shares of the true pairs that are known and of the known ones that are
// false.
func (l *load) judge(factor float64) (found, wrong float64) {
	known := map[[2]Kind]bool{}
	falsePairs := 0
	for _, p := range l.learner.Pairs() {
		known[[2]Kind{p.Kind, p.Neighbour}] = true
	}
	trueKinds := map[[2]Kind]bool{}
	expected, hit := 0, 0
	for pair, s := range l.slowdowns {
		k := [2]Kind{l.kinds[pair[0]], l.kinds[pair[1]]}
		trueKinds[k] = s > 0
		if s >= math.Log(factor) {
			expected++
			if known[k] {
				hit++
			}
		}
	}
	for k := range known {
		if !trueKinds[k] {
			falsePairs++
		}
	}
	return float64(hit) / float64(max(expected, 1)), float64(falsePairs) / float64(max(len(known), 1))
}
