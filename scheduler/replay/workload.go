// Package replay replays generated workloads through the decision packages on a
// virtual clock, to measure policies. It uses no network and no processes.
package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// Workload describes generated arrivals.
type Workload struct {
	Name    string
	Weights gang.Weights
	// Shapes and Shares are the mix of shapes by number of jobs.
	Shapes []gang.Shape
	Shares []float64
	// Load is the offered work relative to the capacity.
	Load float64
	// EstimateErrorFactor is the largest factor by which declared run times are
	// too long or too short.
	EstimateErrorFactor float64
	// Bursts is the number of jobs in a burst, every six hours, per hundred
	// accelerators.
	Bursts int
	// Cancels is the fraction of jobs that are cancelled some time after they
	// arrive.
	Cancels float64
	// BadWorkers and BadJobs are the fractions of workers and jobs that always
	// fail.
	BadWorkers float64
	BadJobs    float64
}

// Workloads returns the three workloads that are measured.
func Workloads() []Workload {
	shape := func(n, m int) gang.Shape { return gang.Shape{Workers: n, Accelerators: m} }
	shapes := []gang.Shape{shape(1, 1), shape(1, 2), shape(1, 4), shape(1, 8), shape(2, 8), shape(4, 8), shape(8, 4), shape(8, 8)}
	small := []float64{0.35, 0.2, 0.15, 0.15, 0.1, 0.03, 0.01, 0.01}
	large := []float64{0.3, 0.15, 0.15, 0.1, 0.1, 0.1, 0.05, 0.05}
	return []Workload{
		{Name: "completion", Weights: gang.Completion(), Shapes: shapes, Shares: small, Load: 0.95, EstimateErrorFactor: 2},
		{Name: "fragmentation", Weights: gang.Fragmentation(), Shapes: shapes, Shares: large, Load: 0.95, EstimateErrorFactor: 2},
		{Name: "hostile", Weights: gang.Completion(), Shapes: shapes, Shares: small, Load: 0.9, EstimateErrorFactor: 10,
			Bursts: 60, Cancels: 0.1, BadWorkers: 0.04, BadJobs: 0.02},
	}
}

// arrival is one generated job.
type arrival struct {
	job queue.Job
	// work is the true run time at speed 1.
	work time.Duration
	// checkpoint is the time that saving a checkpoint takes; zero if the job
	// cannot save one.
	checkpoint time.Duration
	// cancel is when the caller cancels the job; zero means never.
	cancel time.Time
	// alwaysFails marks a job that fails on every worker.
	alwaysFails bool
}

// scenario is the input of a replay, the same for every policy.
type scenario struct {
	workload    Workload
	racks       []gang.Rack
	speeds      map[string]float64
	badWorkers  map[string]bool
	guarantees  []guarantee.Guarantee
	arrivals    []arrival
	arrivalsEnd time.Time
}

// epoch is the start of the virtual clock.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// team is a generated team.
type team struct {
	name     string
	priority int
	shape    gang.Shape
	// medians are the median run times of the team's templates.
	medians []time.Duration
}

// generator creates a scenario from a seeded random source.
type generator struct {
	scenario
	rng   *rand.Rand
	teams []team
}

func generate(workload Workload, workers int, length time.Duration, seed uint64) scenario {
	g := generator{rng: rand.New(rand.NewPCG(seed, uint64(workers)))}
	g.workload = workload
	g.arrivalsEnd = epoch.Add(length)
	g.addWorkers(workers)
	g.addTeams(max(4, workers/8))
	g.addArrivals(workers)
	g.addBursts(workers)
	g.normaliseLoad()
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return a.job.Accepted.Compare(b.job.Accepted) })
	return g.scenario
}

// addWorkers adds racks of 8 workers with 8 accelerators. Workers of a rack are
// of the same generation, so speeds differ by up to 4x between racks and little
// within one.
func (g *generator) addWorkers(workers int) {
	g.speeds = map[string]float64{}
	g.badWorkers = map[string]bool{}
	for first := 0; first < workers; first += 8 {
		generation := []float64{0.5, 0.7, 1, 1.4, 2}[g.rng.IntN(5)]
		var list []gang.Worker
		for i := first; i < min(first+8, workers); i++ {
			name := fmt.Sprintf("w%03d", i)
			list = append(list, gang.Worker{Name: name, Accelerators: 8, Free: 8})
			g.speeds[name] = generation * (0.95 + 0.1*g.rng.Float64())
			g.badWorkers[name] = g.rng.Float64() < g.workload.BadWorkers
		}
		g.racks = append(g.racks, gang.NewRack(fmt.Sprintf("r%02d", first/8), list...))
	}
}

// addTeams adds teams with guarantees for about 60 % of the accelerators.
func (g *generator) addTeams(n int) {
	for i := range n {
		t := team{name: fmt.Sprintf("t%03d", i), priority: g.rng.IntN(3)}
		t.shape = []gang.Shape{{Workers: 1, Accelerators: 8}, {Workers: 2, Accelerators: 8}, {Workers: 4, Accelerators: 8}, {Workers: 1, Accelerators: 4}}[g.rng.IntN(4)]
		for range 4 {
			minutes := math.Exp(g.rng.NormFloat64()*1.2) * 20
			t.medians = append(t.medians, time.Duration(minutes*float64(time.Minute)))
		}
		g.teams = append(g.teams, t)
	}
	total := 0
	for _, r := range g.racks {
		total += 8 * r.Len()
	}
	for _, t := range g.teams {
		count := max(1, int(0.6*float64(total)/float64(n))/t.shape.Total())
		next := append(slices.Clone(g.guarantees), guarantee.Guarantee{Team: t.name, Shape: t.shape, Count: count})
		if guarantee.Check(g.racks, next) == nil {
			g.guarantees = next
		}
	}
}

// capacity is the number of accelerators of healthy workers, weighted by speed.
func (g *generator) capacity() float64 {
	sum := 0.0
	for _, r := range g.racks {
		for i := range r.Len() {
			if name := r.Worker(i).Name; !g.badWorkers[name] {
				sum += float64(r.Worker(i).Accelerators) * g.speeds[name]
			}
		}
	}
	return sum
}

// addArrivals adds jobs by a Poisson process whose rate varies over the day.
func (g *generator) addArrivals(workers int) {
	probe := generator{scenario: g.scenario, rng: rand.New(rand.NewPCG(uint64(workers), 99)), teams: g.teams}
	const samples = 2000
	meanWork := 0.0
	for range samples {
		a := probe.job(epoch)
		meanWork += a.acceleratorSeconds() / samples
	}
	rate := g.workload.Load * g.capacity() / meanWork
	for at := epoch; at.Before(g.arrivalsEnd); {
		day := 1 + 0.5*math.Sin(2*math.Pi*at.Sub(epoch).Hours()/24)
		at = at.Add(time.Duration(g.rng.ExpFloat64() / (rate * day) * float64(time.Second)))
		g.arrivals = append(g.arrivals, g.job(at))
	}
}

// acceleratorSeconds returns the job's work at speed 1.
func (a arrival) acceleratorSeconds() float64 { return a.work.Seconds() * float64(a.job.Shape.Total()) }

// normaliseLoad scales all run times so that the offered work is exactly
// Workload.Load times the capacity. Otherwise the load would differ widely
// between seeds, because a few long jobs make up much of the work.
func (g *generator) normaliseLoad() {
	offered := 0.0
	for _, a := range g.arrivals {
		offered += a.acceleratorSeconds()
	}
	factor := g.workload.Load * g.capacity() * g.arrivalsEnd.Sub(epoch).Seconds() / offered
	for i := range g.arrivals {
		a := &g.arrivals[i]
		a.work = scale(a.work, factor)
		a.job.Declared = scale(a.job.Declared, factor)
	}
}

func (g *generator) addBursts(workers int) {
	for at := epoch.Add(3 * time.Hour); at.Before(g.arrivalsEnd); at = at.Add(6 * time.Hour) {
		for range g.workload.Bursts * workers * 8 / 100 {
			a := g.job(at.Add(time.Duration(g.rng.IntN(30000)) * time.Millisecond))
			a.job.Class = queue.ClassBackground
			a.job.Shape = gang.Shape{Workers: 1, Accelerators: 1}
			a.job.Template = "burst"
			a.work = time.Duration(30+g.rng.IntN(120)) * time.Second
			g.arrivals = append(g.arrivals, a)
		}
	}
}

// job returns a random job of a random team.
func (g *generator) job(at time.Time) arrival {
	t := g.teams[g.rng.IntN(len(g.teams))]
	k := g.rng.IntN(len(t.medians))
	a := arrival{work: scale(t.medians[k], math.Exp(g.rng.NormFloat64()*0.5))}
	a.work = min(max(a.work, 20*time.Second), 8*time.Hour)
	a.checkpoint = time.Duration(500+g.rng.IntN(1400)) * time.Millisecond
	if g.rng.Float64() < 0.15 {
		a.checkpoint *= 10
	}
	a.job = queue.Job{
		ID: fmt.Sprintf("j%06d", len(g.arrivals)), Team: t.name, Template: fmt.Sprint("p", k), Priority: t.priority,
		Class: queue.ClassPlanned, Shape: g.shape(t), Accepted: at,
	}
	switch classDraw := g.rng.Float64(); {
	case classDraw < 0.08:
		a.job.Class = queue.ClassQuick
		a.job.Template = "quick"
		a.job.Shape = gang.Shape{Workers: 1, Accelerators: 1 + g.rng.IntN(4)}
		a.work = time.Duration(20+g.rng.IntN(100)) * time.Second
	case classDraw < 0.4:
		a.job.Class = queue.ClassBackground
	}
	if g.rng.Float64() < 0.05 {
		a.job.NonPreemptible = true
		a.checkpoint = 0
	}
	errorFactor := math.Pow(g.workload.EstimateErrorFactor, 2*g.rng.Float64()-1)
	a.job.Declared = max(time.Second, scale(a.work, errorFactor))
	if g.rng.Float64() < g.workload.Cancels {
		a.cancel = at.Add(time.Duration(g.rng.IntN(3600)) * time.Second)
	}
	a.alwaysFails = g.rng.Float64() < g.workload.BadJobs
	return a
}

// shape returns the team's guaranteed shape for a fifth of the jobs, and
// otherwise one of the workload's shapes.
func (g *generator) shape(t team) gang.Shape {
	if g.rng.IntN(5) == 0 {
		return t.shape
	}
	n := g.rng.Float64()
	for i, share := range g.workload.Shares {
		if n < share {
			return g.workload.Shapes[i]
		}
		n -= share
	}
	return g.workload.Shapes[0]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
