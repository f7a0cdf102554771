package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/overload"
	"daisylug.example/scheduler/queue"
)

// wholeWorker is a step with one task that takes a whole worker.
var wholeWorker = batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}, Estimate: 2 * time.Second}

// startLoadTest starts a planner on 8 workers that balances teams and refuses jobs
// under overload if reclaim is set, and lets it learn run times of 2 s.
func startLoadTest(t *testing.T, reclaim time.Duration) (*testCluster, *Planner, func()) {
	f := newTestCluster(t, 8)
	p, stop := f.startPlanner()
	p.mu.Lock()
	p.Timing.Reclaim = reclaim
	p.mu.Unlock()
	time.Sleep(settleTime)
	for i := range 8 {
		f.submit(p, batchJob(fmt.Sprint("teach", i), "later", "a", "2s", wholeWorker))
	}
	time.Sleep(loadWarmUp)
	return f, p, stop
}

// trySubmit submits a job and returns the response.
func (f *testCluster) trySubmit(p *Planner, j *batch.Job) Response {
	return p.Submit(f.t.Context(), EncodeJob(j, f.config.Queues[j.Queue], f.config.Teams[j.Team].Guaranteed), 0)
}

// submitBurst submits n jobs of 2 s and returns how many are refused.
func (f *testCluster) submitBurst(p *Planner, name, team string, n int) int {
	f.t.Helper()
	refused := 0
	for i := range n {
		switch resp := f.trySubmit(p, batchJob(fmt.Sprint(name, i), "later", team, "2s", wholeWorker)); {
		case resp.Outcome == OutcomeRefused:
			refused++
			if resp.RetryAfter < time.Second || resp.RetryAfter > 30*time.Second || resp.Reason == "" {
				f.t.Errorf("refused with %+v", resp)
			}
		case resp.Outcome != OutcomeAccepted:
			f.t.Fatalf("%+v", resp)
		}
	}
	return refused
}

// countShared returns how many groups of the next decision have a share.
func countShared(p *Planner) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, g := range p.buildView(time.Now()).input.Groups {
		if g.Share != 0 {
			n++
		}
	}
	return n
}

// TestTeamsShareUnderOverload guards against a team that waits behind all the work
// of another, and against a change of the order where it is not enabled.
func TestTeamsShareUnderOverload(t *testing.T) {
	for _, reclaim := range []time.Duration{0, maxReclaimTime} {
		t.Run(fmt.Sprint("reclaim=", reclaim), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p, stop := startLoadTest(t, reclaim)
				defer stop()
				f.submitBurst(p, "a", "a", 40)
				time.Sleep(time.Second)
				f.submitBurst(p, "b", "b", 4)
				time.Sleep(3 * time.Second)
				started := 0
				for i := range 4 {
					started += f.countStarts(fmt.Sprint("b", i))
				}
				shared := countShared(p)
				if enabled := reclaim != 0; started == 4 != enabled || shared > 0 != enabled {
					t.Errorf("%d of 4 jobs of the other team have started, %d groups have shares", started, shared)
				}
			})
		})
	}
}

// TestLoadRefusal guards against jobs that are accepted although their result can
// only be useless, against refusing those that must not be, and against refusals
// where they are not enabled.
func TestLoadRefusal(t *testing.T) {
	for _, reclaim := range []time.Duration{0, maxReclaimTime} {
		t.Run(fmt.Sprint("reclaim=", reclaim), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p, stop := startLoadTest(t, reclaim)
				defer stop()
				if n := f.submitBurst(p, "a", "a", 120); n != 0 {
					t.Errorf("%d jobs refused before the overload has lasted", n)
				}
				time.Sleep(time.Second)
				refused := f.submitBurst(p, "more", "a", 40)
				if enabled := reclaim != 0; refused > 0 != enabled || refused > 30 {
					t.Errorf("%d of 40 jobs refused, want at most 30, and none if it is not enabled", refused)
				}
				for i := range 4 {
					timed := batchJob(fmt.Sprint("timed", i), "later", "a", "2s", wholeWorker)
					timed.FirstDue, timed.Interval, timed.Occurrences = time.Now(), time.Minute, 1
					lasting := batchJob(fmt.Sprint("lasting", i), "later", "a", "600s", wholeWorker)
					lasting.Steps[0].LongRunning = true
					guaranteed := batchJob(fmt.Sprint("guaranteed", i), "urgent", "a", "2s", gang(1, 8))
					light := batchJob(fmt.Sprint("light", i), "later", "b", "2s", wholeWorker)
					for _, j := range []*batch.Job{timed, lasting, guaranteed, light} {
						if resp := f.trySubmit(p, j); resp.Outcome != OutcomeAccepted {
							t.Errorf("job %s: %+v", j.ID, resp)
						}
					}
				}
			})
		})
	}
}

// TestNoRefusalAfterTakeover guards against refusals by a planner that does not know
// the load yet.
func TestNoRefusalAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		f.submitBurst(p, "a", "a", 120)
		time.Sleep(time.Second)
		stop()
		p, stop = f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.Timing.Reclaim = maxReclaimTime
		p.mu.Unlock()
		time.Sleep(loadWarmUp - time.Second)
		if n := f.submitBurst(p, "early", "a", 20); n != 0 {
			t.Errorf("%d jobs refused within %v", n, loadWarmUp)
		}
		time.Sleep(2 * time.Second)
		if n := f.submitBurst(p, "later", "a", 20); n == 0 {
			t.Errorf("no job refused after %v", loadWarmUp)
		}
	})
}

// TestForecastThatPanics guards against a fault in the forecast that leaves the
// planner locked or turns callers away.
func TestForecastThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		f.submitBurst(p, "a", "a", 120)
		time.Sleep(time.Second)
		p.mu.Lock()
		p.loads["s"].budgets = nil
		p.mu.Unlock()
		if n := f.submitBurst(p, "more", "a", 10); n != 0 || p.instruments.panics.Get() == 0 {
			t.Errorf("%d jobs refused, %d panics", n, p.instruments.panics.Get())
		}
	})
}

// TestOrderWithoutOverload guards against a change of order or admission while all
// work can be done in time.
func TestOrderWithoutOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		for i := range 10 {
			if n := f.submitBurst(p, fmt.Sprint("a", i, "-"), "a", 12) + f.submitBurst(p, fmt.Sprint("b", i, "-"), "b", 2); n != 0 {
				t.Errorf("%d jobs refused in round %d", n, i)
			}
			time.Sleep(100 * time.Millisecond)
			if n := countShared(p); n != 0 {
				t.Errorf("%d groups have shares in round %d", n, i)
			}
			time.Sleep(4 * time.Second)
		}
	})
}

// TestRefusable guards against refusing jobs that a guarantee can cover or that may
// preempt others, and against refusals by a planner that has just started or was paused.
func TestRefusable(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &Planner{startedAt: start}
	tests := []struct {
		name     string
		team     string
		priority int
		gang     batch.Step
		after    time.Duration
		paused   time.Duration
		want     bool
	}{
		{"covered by the guarantee", "a", 0, gang(2, 8), time.Minute, 0, false},
		{"larger than the guarantee", "a", 0, gang(3, 8), time.Minute, 0, false},
		{"of a team without a guarantee", "b", 0, gang(1, 8), time.Minute, 0, false},
		{"of lower priority", "a", 1, gang(1, 8), time.Minute, 0, true},
		{"right after the start", "a", 1, gang(1, 8), loadWarmUp - time.Second, 0, false},
		{"right after a pause", "a", 1, gang(1, 8), time.Minute, 58 * time.Second, false},
	}
	for _, tt := range tests {
		p.resumedAt = start.Add(tt.paused)
		j := &job{spec: &batch.Job{Team: tt.team, Steps: []batch.Step{tt.gang}}, queue: Queue{Priority: tt.priority}}
		if got := p.refusable(j, start.Add(tt.after)); got != tt.want {
			t.Errorf("a job %s: refusable %t", tt.name, got)
		}
	}
}

// TestOverloadOfMemory guards against an overload that goes unnoticed because the
// memory that tasks leave free on each worker fits no other one.
func TestOverloadOfMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		for i := range 36 {
			f.submit(p, batchJob(fmt.Sprint("m", i), "later", "a", "2s", batch.Step{
				Tasks: 1, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 71680}, Estimate: 2 * time.Second,
			}))
		}
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.loads["s"].detector.Overloaded() {
			t.Error("no overload although a fifth of the tasks cannot be in time")
		}
	})
}

// TestStopIsNoOverload guards against an overload that is only a job waiting for runs
// that have been told to stop, while nothing else is free.
func TestStopIsNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		long := wholeWorker
		long.Estimate = 600 * time.Second
		for i := range 8 {
			f.submit(p, batchJob(fmt.Sprint("long", i), "urgent", "a", "600s", long))
		}
		time.Sleep(settleTime)
		f.submit(p, batchJob("waiting", "urgent", "b", "2s", gang(6, 8)))
		p.mu.Lock()
		defer p.mu.Unlock()
		stopping := 0
		for _, w := range p.workers {
			for _, pl := range w.placements {
				pl.phase, stopping = phaseStopping, stopping+1
				defer func() { pl.phase = phaseRunning }()
			}
		}
		p.loadsMeasuredAt = time.Time{}
		p.buildView(time.Now())
		if pressure := p.instruments.pressure("s").Get(); stopping != 8 || pressure == 0 || pressure > 1 {
			t.Errorf("pressure %v with %d of 8 runs stopping, want at most 1", pressure, stopping)
		}
	})
}

// TestNoRefusalByOldLoad guards against refusals by a load that only grows, because no
// decision has measured it again.
func TestNoRefusalByOldLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		f.submitBurst(p, "a", "a", 120)
		time.Sleep(time.Second)
		p.mu.Lock()
		p.loadsMeasuredAt = time.Now().Add(time.Hour)
		p.mu.Unlock()
		time.Sleep(maxLoadAge)
		if n := f.submitBurst(p, "more", "a", 10); n != 0 {
			t.Errorf("%d jobs refused by a measurement of %v ago", n, maxLoadAge)
		}
	})
}

// TestOrderThatPanics guards against a fault in the measurement or the shares that
// keeps jobs from starting.
func TestOrderThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, stop := startLoadTest(t, maxReclaimTime)
		defer stop()
		p.mu.Lock()
		p.loads["faulty"] = nil
		p.mu.Unlock()
		f.submitBurst(p, "a", "a", 40)
		time.Sleep(time.Second)
		if n := f.countStarts("a0"); n != 1 || p.instruments.panics.Get() == 0 {
			t.Fatalf("%d starts of the first job, %d panics", n, p.instruments.panics.Get())
		}
		if n := countShared(p); n != 0 {
			t.Errorf("%d groups have shares", n)
		}
	})
}

// TestDoubtWithoutRunTimes guards against refusals on a declared run time of 0.
func TestDoubtWithoutRunTimes(t *testing.T) {
	p := &Planner{estimator: &queue.Estimator{}}
	step := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1}}
	j := &job{spec: &batch.Job{Team: "a", Steps: []batch.Step{step}}}
	w := p.stepLoad(j, &step, 1)
	w.Team, w.Work = "a", overload.Amount{CPU: 1}
	f := overload.NewLoad(time.Now(), overload.Amount{CPU: 1}, nil, []overload.Waiting{{Team: "a", Work: overload.Amount{CPU: 100}}}).
		Forecast(overload.Job{Team: "a", Work: w.Work, Allowed: time.Second, Useful: 3 * time.Second, Doubt: w.Doubt})
	if !f.Useful {
		t.Errorf("refused with a doubt of %v", w.Doubt)
	}
}
