package quote

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform/memory"
)

var (
	full = flag.Bool("full", false, "measure at the size of a site")
	seed = flag.Uint64("seed", 7, "seed of the measurements")
)

// load describes the workload of one measurement.
type load struct {
	factor             float64 // load relative to the workers' capacity
	length             time.Duration
	warmUp             time.Duration // requests in this time are not counted
	timeout            time.Duration // from the arrival to the deadline
	work               float64       // mean service time in seconds at speed 1
	seed               uint64
	atHalf             func() // called at half of the length
	observe            func(at, took time.Duration, err error)
	nonIdempotentShare float64 // fraction of non-idempotent requests
}

// result summarises the counted requests.
type result struct {
	offered, failed int
	goodput         float64 // answers per second
	p50, p99        time.Duration
	refused         map[Execution]int
	amplification   float64
}

func (r result) String() string {
	return fmt.Sprintf("%7d %8.0f %8s %8s %6d  %6d/%d/%d  %6.3f", r.offered, r.goodput,
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.failed,
		r.refused[NotExecuted], r.refused[Executed], r.refused[ExecutionUnknown], r.amplification)
}

func percentile(took []time.Duration, percent int) time.Duration {
	slices.Sort(took)
	if len(took) == 0 {
		return 0
	}
	return took[len(took)*percent/100]
}

// capacity returns the number of requests per second that all slots can run.
func (s *site) capacity(work float64) float64 {
	sum := 0.0
	for i, w := range s.listing().Workers {
		sum += float64(w.Slots) * (1 + 3*float64(i%memory.WorkersPerRack)/(memory.WorkersPerRack-1))
	}
	return sum / work
}

// tally accumulates results. It is safe for concurrent use.
type tally struct {
	mu     sync.Mutex
	result result
	took   []time.Duration
}

func (t *tally) add(a Answer, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.offered++
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		t.result.refused[refused.Execution]++
	case a.Failed:
		t.result.failed++
	default:
		t.took = append(t.took, took)
	}
}

// runLoad sends the load to the instances in proportion to their weights, waits
// until all requests have ended, and returns the result.
func runLoad(s *site, doers []doer, l load) result {
	t := &tally{result: result{refused: map[Execution]int{}}}
	instances := s.listing().Instances
	start := time.Now()
	var group sync.WaitGroup
	for i, d := range doers {
		rate := l.factor * s.capacity(l.work) * weightFraction(self(i), instances)
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		group.Go(func() { generate(&group, random, rate, start, i, d, l, t) })
	}
	if l.atHalf != nil {
		time.Sleep(l.length / 2)
		l.atHalf()
	}
	group.Wait()
	r := t.result
	r.p50, r.p99 = percentile(t.took, 50), percentile(t.took, 99)
	r.goodput = float64(len(t.took)) / (l.length - l.warmUp).Seconds()
	return r
}

func generate(group *sync.WaitGroup, random *rand.Rand, rate float64, start time.Time, i int, d doer, l load, t *tally) {
	for n := 0; time.Since(start) < l.length; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		at := time.Since(start)
		q := l.request(random, fmt.Sprintf("%d-%d", i, n))
		group.Go(func() {
			begin := time.Now()
			a, err := d.Do(context.Background(), q)
			if at >= l.warmUp {
				t.add(a, err, time.Since(begin))
			}
			if l.observe != nil && i == 0 {
				l.observe(at, time.Since(begin), err)
			}
		})
	}
}

func (l load) request(random *rand.Rand, id string) Request {
	class := ClassQuick
	switch x := random.Float64(); {
	case x < 0.1:
		class = ClassBackground
	case x < 0.3:
		class = ClassPlanned
	}
	scale := 0.5 + float64(random.IntN(3))/2
	seconds := l.work * scale * (0.5 + random.Float64())
	return Request{
		ID: id, Team: fmt.Sprintf("t%d", random.IntN(4)), Template: fmt.Sprintf("p%.1f", scale), Class: class,
		Deadline: time.Now().Add(l.timeout), Idempotent: random.Float64() >= l.nonIdempotentShare, Payload: memory.Payload{Seconds: seconds, Echo: id}.Encode(),
	}
}

// variant is a router configuration or baseline to measure.
type variant struct {
	name string
	make func(s *site, i int) doer
	// fullSizeOnly excludes the variant unless the flag full is set.
	fullSizeOnly bool
}

func routerVariant(name string, o Options) variant {
	return variant{name: name, make: func(s *site, i int) doer { return s.router(i, o) }}
}

func (v variant) atFullSize() variant {
	v.fullSizeOnly = true
	return v
}

var (
	defaultVariant = routerVariant("16 choices", Options{})
	variants       = []variant{
		defaultVariant,
		routerVariant("2 choices", Options{Policy: PolicyTwoChoices}),
		routerVariant("8 choices", Options{Choices: 8}).atFullSize(),
		routerVariant("best of all", Options{Policy: PolicyBest}),
		routerVariant("round robin, free slots", Options{Policy: PolicyRoundRobin, disabled: disabledMechanisms{ejection: true}}),
		routerVariant("least outst., free slots", Options{Policy: PolicyLeastOutstanding, disabled: disabledMechanisms{ejection: true}}).atFullSize(),
		{name: "round robin", make: func(s *site, i int) doer { return newBaselineBalancer(s, i, false, 0) }},
		{name: "least outstanding", make: func(s *site, i int) doer { return newBaselineBalancer(s, i, true, 0) }},
		routerVariant("no admission", Options{disabled: disabledMechanisms{admission: true}}),
		routerVariant("no ejection", Options{disabled: disabledMechanisms{ejection: true}}),
		routerVariant("naive retries", Options{MaxAttempts: 4, disabled: disabledMechanisms{budget: true, ejection: true}}),
	}
)

// scenario is a site with one kind of fault and the load factors to measure.
type scenario struct {
	name    string
	factors []float64
	prepare func(s *site)
}

const (
	failing = "one worker fails all"
	flaky   = "all workers fail 30 %"
)

var scenarios = []scenario{
	{"none", []float64{0.5, 0.9, 1, 2, 10}, func(*site) {}},
	{"one worker 10x slow", []float64{0.9}, func(s *site) { s.cluster.Fleet.Get("a-w004").SetSpeed(0.25) }},
	{failing, []float64{0.5, 0.9}, func(s *site) { s.cluster.Fleet.Get("a-w004").SetFailureRate(1) }},
	{flaky, []float64{0.5}, func(s *site) {
		for _, w := range s.Workers() {
			s.cluster.Fleet.Get(w.Name).SetFailureRate(0.3)
		}
	}},
}

func measure(t *testing.T, v variant, c scenario, factor float64) result {
	var r result
	synctest.Test(t, func(*testing.T) {
		workers, instances := 16, 3
		l := load{factor: factor, length: 4 * time.Second, warmUp: time.Second, timeout: time.Second, work: 0.2, seed: *seed}
		if factor > 2 {
			l.length = 3 * time.Second
		}
		if *full {
			workers, instances = 50, 7
			l.length, l.warmUp = 10*time.Second, 2*time.Second
		}
		s := newSite(workers, instances, l.seed)
		c.prepare(s)
		var doers []doer
		for i := range instances {
			doers = append(doers, v.make(s, i))
		}
		r = runLoad(s, doers, l)
		r.amplification = float64(s.sent.Load()) / float64(s.first.Load())
		time.Sleep(maxSlotHold)
	})
	return r
}

// measureSlots limits the number of parallel measurements.
var measureSlots = make(chan struct{}, 4)

// measureVariants measures all variants under a fault and a load, and prints and
// returns the results.
func measureVariants(t *testing.T, c scenario, factor float64) map[string]result {
	results := make([]result, len(variants))
	t.Run(fmt.Sprintf("%s at %gx", c.name, factor), func(t *testing.T) {
		for i, v := range variants {
			if v.fullSizeOnly && !*full {
				continue
			}
			t.Run(v.name, func(t *testing.T) {
				t.Parallel()
				measureSlots <- struct{}{}
				defer func() { <-measureSlots }()
				results[i] = measure(t, v, c, factor)
			})
		}
	})
	fmt.Printf("\nfault: %s, load: %gx, seed: %d\n%-25s %7s %8s %8s %8s %6s  %s  %s\n", c.name, factor, *seed,
		"", "offered", "good/s", "p50", "p99", "failed", "refused no/yes/unknown", "sent/request")
	named := map[string]result{}
	for i, v := range variants {
		if v.fullSizeOnly && !*full {
			continue
		}
		fmt.Printf("%-25s %s\n", v.name, results[i])
		named[v.name] = results[i]
	}
	return named
}

// TestMeasure prints the figures of docs/decisions/requests.md and checks the
// targets of the design page. It guards against a picker that sends work to slow
// or failing workers, a queue that serves late requests, and retries beyond the
// budget.
func TestMeasure(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes under the race detector")
	}
	goodput := map[float64]result{}
	withoutAdmission := map[float64]result{}
	for _, c := range scenarios {
		for _, f := range c.factors {
			r := measureVariants(t, c, f)
			own := r[defaultVariant.name]
			if own.amplification > 1.1 {
				t.Errorf("%s at %gx: %.3f attempts per request, want at most 1.1", c.name, f, own.amplification)
			}
			switch {
			case c.name == "none":
				goodput[f], withoutAdmission[f] = own, r["no admission"]
			case c.name == failing && own.failed*20 > r["no ejection"].failed && f == 0.9:
				t.Errorf("%d requests failed, without ejection %d", own.failed, r["no ejection"].failed)
			case c.name == flaky && r["naive retries"].amplification <= 1.1:
				t.Error("retries without a budget do not exceed the budget's limit")
			}
			if own, other := own.p99, r["round robin"].p99; c.name == "none" && f == 0.9 && own > other/2 {
				t.Errorf("p99 at 0.9x is %s, round robin's is %s", own, other)
			}
		}
	}
	peak := 0.0
	for _, r := range goodput {
		peak = max(peak, r.goodput)
	}
	for _, f := range []float64{2, 10} {
		if goodput[f].goodput < 0.9*peak || withoutAdmission[f].goodput >= 0.9*peak {
			t.Errorf("goodput at %gx is %.0f/s, without admission %.0f/s, the peak is %.0f/s",
				f, goodput[f].goodput, withoutAdmission[f].goodput, peak)
		}
	}
}
