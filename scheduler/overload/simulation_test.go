package overload_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/overload"
)

const (
	tick     = 100 * time.Millisecond
	runTime  = 2 * time.Second
	allowed  = 2*runTime + time.Second
	useful   = assignment.LateFactor * allowed
	burst    = 25 * time.Second
	arrivals = 70 * time.Second
	retries  = 4
	// peak and calm are the loads during and after the burst, relative to the capacity.
	peak = 2.0
	calm = 0.4
)

// caller submits one job and repeats the submission when it is refused.
type caller struct {
	team      string
	tasks     int
	submitsAt time.Time
	refusals  int
	// accepted, running, waiting and end describe the accepted job.
	accepted, end    time.Time
	running, waiting int
}

// site is 16 workers that run what assignment.Decide places, in virtual time.
type site struct {
	rng      *rand.Rand
	now      time.Time
	workers  []assignment.Worker
	runs     []run
	callers  []*caller
	detector overload.Detector
	load     overload.Load
	inflow   overload.Inflow
	returns  overload.Schedule
	budget   overload.Budget
}

type run struct {
	caller *caller
	worker int
	ends   time.Time
}

var need = batch.Resources{MilliCPU: 6000, MemoryMB: 8000, Accelerators: 1}

// newSite returns a site with callers of 4 teams. Team a submits half of the work.
func newSite(seed uint64) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range 16 {
		c := batch.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
		s.workers = append(s.workers, assignment.Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprint("r", i/8), Capacity: c, Free: c, Speed: 1, AcceptsTasks: true,
		})
	}
	capacity := 16 * 8 / runTime.Seconds()
	for at, tasks := time.Duration(0), 0.0; at < arrivals; at += tick {
		if at < burst {
			tasks += peak * capacity * tick.Seconds()
		} else {
			tasks += calm * capacity * tick.Seconds()
		}
		for tasks > 0 {
			c := &caller{team: []string{"a", "a", "a", "b", "c", "d"}[s.rng.IntN(6)], tasks: 1 + s.rng.IntN(8), submitsAt: s.now.Add(at)}
			if s.rng.IntN(10) == 0 {
				c.tasks = 20 + s.rng.IntN(20)
			}
			tasks -= float64(c.tasks)
			s.callers = append(s.callers, c)
		}
	}
	return s
}

func amount(tasks int) overload.Amount { return overload.AmountOf(need.Times(tasks)) }

// submit accepts or refuses the job of a caller.
func (s *site) submit(c *caller, refuse bool) {
	w := overload.Waiting{Team: c.team, Work: amount(c.tasks).For(runTime)}
	if refuse && s.detector.Overloaded() {
		f := s.load.Forecast(overload.Job{Team: c.team, Work: w.Work, Later: s.inflow.Later(0, c.team, s.now), Duration: runTime, Allowed: allowed, Useful: useful})
		refused := !f.Useful && s.budget.Allows(s.now)
		s.budget = s.budget.With(refused, s.now)
		if refused {
			var wait time.Duration
			s.returns, wait = s.returns.WithRefusal(s.now, f.Return, s.load.Length(w.Work), useful)
			c.refusals++
			// Callers read the delay in whole seconds, rounded up.
			c.submitsAt = s.now.Add((wait + time.Second - 1).Truncate(time.Second))
			return
		}
	}
	s.load, s.inflow = s.load.With(w), s.inflow.With(0, c.team, w.Work, s.now)
	c.accepted, c.waiting = s.now, c.tasks
}

// step advances the site by one decision.
func (s *site) step(share, refuse bool) {
	s.runs = slices.DeleteFunc(s.runs, func(r run) bool {
		if r.ends.After(s.now) {
			return false
		}
		s.workers[r.worker].Free = s.workers[r.worker].Free.Plus(need)
		if r.caller.running--; r.caller.running+r.caller.waiting == 0 {
			r.caller.end = s.now
		}
		return true
	})
	view := assignment.View{Now: s.now, Workers: s.workers}
	var owners []*caller
	for i, c := range s.callers {
		if c.accepted.IsZero() && c.refusals <= retries && !c.submitsAt.After(s.now) {
			s.submit(c, refuse)
		}
		if c.waiting > 0 {
			view.Groups = append(view.Groups, assignment.Group{
				Job: fmt.Sprintf("%05d", i), Service: "s", Need: need, Indexes: make([]int, c.waiting), Accepted: c.accepted,
				Objective: c.accepted.Add(allowed), ExpectedDuration: runTime,
			})
			owners = append(owners, c)
		}
	}
	s.measure(&view, owners, share)
	for _, start := range assignment.Decide(view).Starts {
		c := owners[start.Group]
		c.waiting--
		c.running++
		s.workers[start.Worker].Free = s.workers[start.Worker].Free.Minus(need)
		length := time.Duration((0.8 + 0.4*s.rng.Float64()) * float64(runTime))
		s.runs = append(s.runs, run{c, start.Worker, s.now.Add(length)})
	}
	s.now = s.now.Add(tick)
}

// measure measures the load and sets the shares.
func (s *site) measure(view *assignment.View, owners []*caller, share bool) {
	var waiting []overload.Waiting
	var claims []overload.Claim
	var sizes []float64
	for _, c := range owners {
		sizes = append(sizes, float64(c.tasks))
	}
	classes := overload.NewClasses(sizes)
	for i := range view.Groups {
		g, c := &view.Groups[i], owners[i]
		usefulness := g.Usefulness(s.now)
		claims = append(claims, overload.Claim{
			Team: c.team, Tier: int(usefulness), Class: classes.Of(float64(c.tasks)), Accepted: c.accepted,
			Need: amount(c.waiting), Used: amount(c.running), Unit: amount(1),
		})
		if usefulness != assignment.Expired {
			waiting = append(waiting, overload.Waiting{
				Team: c.team, Work: amount(c.waiting).For(runTime), Due: g.Objective, Late: usefulness == assignment.Late,
			})
		}
	}
	var running []overload.Running
	var usages []overload.Usage
	var free, capacity overload.Amount
	for _, r := range s.runs {
		running = append(running, overload.Running{Need: amount(1), Ends: r.ends})
		usages = append(usages, overload.Usage{Team: r.caller.team, Class: classes.Of(float64(r.caller.tasks)), Used: amount(1)})
	}
	for i := range s.workers {
		free, capacity = free.Plus(overload.AmountOf(s.workers[i].Free)), capacity.Plus(overload.AmountOf(s.workers[i].Capacity))
	}
	s.detector = s.detector.WithPressure(overload.Pressure(s.now, capacity, free, waiting, running), s.now)
	s.load = overload.NewLoad(s.now, capacity, running, waiting)
	if share && s.detector.Overloaded() {
		for i, value := range overload.Shares(claims, usages, capacity) {
			view.Groups[i].Share = value
		}
	}
}

// served returns the share of the callers that are served within the objective, by
// team and size.
func (s *site) served(share, refuse bool) map[string]float64 {
	for range int((arrivals + 70*time.Second) / tick) {
		s.step(share, refuse)
	}
	n, inTime := map[string]float64{}, map[string]float64{}
	for _, c := range s.callers {
		size := "small"
		if c.tasks >= 20 {
			size = "large"
		}
		for _, k := range []string{"all", c.team, size} {
			n[k]++
			if !c.end.IsZero() && !c.end.After(c.accepted.Add(allowed)) {
				inTime[k]++
			}
		}
	}
	for k := range n {
		n[k] = inTime[k] / n[k]
	}
	return n
}

// TestServedUnderBurst guards against an order in which the team that submits most
// displaces the others, and against accepting work that can only be late while its
// callers would return after the burst.
func TestServedUnderBurst(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			off, shared, both := newSite(seed).served(false, false), newSite(seed).served(true, false), newSite(seed).served(true, true)
			for _, k := range []string{"all", "a", "b", "c", "d", "small", "large"} {
				t.Logf("%-5s served in time: %.3f off, %.3f with shares, %.3f with shares and refusal", k, off[k], shared[k], both[k])
				if both[k] <= off[k] {
					t.Errorf("%s: %.3f served in time with shares and refusal, %.3f without", k, both[k], off[k])
				}
				if k >= "b" && k <= "d" && shared[k] <= off[k] {
					t.Errorf("team %s: %.3f served in time with shares, %.3f without", k, shared[k], off[k])
				}
			}
			if both["all"] < shared["all"]+0.1 {
				t.Errorf("refusal raises the part served in time only from %.3f to %.3f", shared["all"], both["all"])
			}
		})
	}
}
