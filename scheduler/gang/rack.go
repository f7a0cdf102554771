package gang

import (
	"cmp"
	"math"
	"slices"
)

// Worker is the placement state of one worker.
type Worker struct {
	Name         string
	Accelerators int
	// Free is the number of accelerators neither reserved nor in use.
	Free int
	// Guaranteed is the number of accelerators that the plan guarantees to
	// teams that are not using them.
	Guaranteed int
	// Speed is the learned speed relative to a typical worker, whose speed is
	// 1. Zero means unknown and counts as 1.
	Speed float64
	// Down is set when the worker accepts no new work because it is leaving,
	// lost or quarantined.
	Down bool

	logSpeed float64
}

// Rack is the immutable state of one rack. Its workers are ordered by name.
type Rack struct {
	name    string
	workers []Worker
	// maxPerWorker is the largest number of accelerators on one worker.
	maxPerWorker int
	// counts and freeScore are derived from the workers.
	counts    levelCounts
	freeScore float64
}

// NewRack returns a rack with the first 64 of the given workers.
func NewRack(name string, workers ...Worker) Rack {
	if len(workers) > MaxAccelerators {
		workers = workers[:MaxAccelerators]
	}
	r := Rack{name: name, workers: slices.Clone(workers)}
	slices.SortFunc(r.workers, func(a, b Worker) int { return cmp.Compare(a.Name, b.Name) })
	for i := range r.workers {
		r.workers[i].setSpeed(r.workers[i].Speed)
		r.maxPerWorker = max(r.maxPerWorker, r.workers[i].Accelerators)
	}
	r.updateCounts()
	return r
}

// Name returns the rack's name.
func (r Rack) Name() string { return r.name }

// Len returns the number of workers.
func (r Rack) Len() int { return len(r.workers) }

// Worker returns the worker at position i.
func (r Rack) Worker(i int) Worker { return r.workers[i] }

// Set returns the positions of the named workers and reports whether all exist.
func (r Rack) Set(names ...string) (Set, bool) {
	var s Set
	for _, n := range names {
		i, ok := slices.BinarySearchFunc(r.workers, n, func(w Worker, n string) int { return cmp.Compare(w.Name, n) })
		if !ok {
			return s, false
		}
		s = s.With(i)
	}
	return s, true
}

// Names returns the names of the workers in s.
func (r Rack) Names(s Set) []string {
	names := make([]string, 0, s.Len())
	for ; s != 0; s = s.Rest() {
		names = append(names, r.workers[s.First()].Name)
	}
	return names
}

// Free returns the number of free accelerators on workers that accept work.
func (r Rack) Free() int {
	n := 0
	for i := range r.workers {
		if !r.workers[i].Down {
			n += r.workers[i].Free
		}
	}
	return n
}

// Speed returns the speed of a gang on s, which is the speed of its slowest
// worker.
func (r Rack) Speed(s Set) float64 {
	slowest := math.Inf(1)
	for ; s != 0; s = s.Rest() {
		slowest = min(slowest, r.workers[s.First()].Speed)
	}
	return slowest
}

// Holds reports whether every worker of s has n free accelerators and accepts
// work.
func (r Rack) Holds(s Set, n int) bool {
	for ; s != 0; s = s.Rest() {
		w := &r.workers[s.First()]
		if w.Down || w.Free < n {
			return false
		}
	}
	return true
}

// WithUse returns the rack with n more accelerators in use on each worker of s.
// A negative n frees accelerators. Free becomes negative if accelerators that
// are still in use are reserved.
func (r Rack) WithUse(s Set, n int) Rack {
	return r.update(s, func(w *Worker) { w.Free -= n })
}

// WithGuaranteed returns the rack with n more accelerators guaranteed on each
// worker of s.
func (r Rack) WithGuaranteed(s Set, n int) Rack {
	return r.update(s, func(w *Worker) { w.Guaranteed += n })
}

// WithGuaranteedPerWorker returns the rack with the given numbers of guaranteed
// accelerators by worker.
func (r Rack) WithGuaranteedPerWorker(guaranteed [MaxAccelerators]int) Rack {
	r.workers = slices.Clone(r.workers)
	for i := range r.workers {
		r.workers[i].Guaranteed = guaranteed[i]
	}
	return r
}

// WithSpeed returns the rack with the learned speed of the workers in s set to
// speed.
func (r Rack) WithSpeed(s Set, speed float64) Rack {
	return r.update(s, func(w *Worker) { w.setSpeed(speed) })
}

// WithDown returns the rack with the workers in s marked as down or up.
func (r Rack) WithDown(s Set, down bool) Rack {
	return r.update(s, func(w *Worker) { w.Down = down })
}

func (r Rack) update(s Set, f func(*Worker)) Rack {
	r.workers = slices.Clone(r.workers)
	for ; s != 0; s = s.Rest() {
		f(&r.workers[s.First()])
	}
	r.updateCounts()
	return r
}

func (w *Worker) setSpeed(speed float64) {
	if speed <= 0 {
		speed = 1
	}
	w.Speed = speed
	w.logSpeed = math.Log2(speed)
}
