package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// newZonedCluster returns a cluster of 24 workers in the data centres a, b and c,
// one rack each.
func newZonedCluster(t *testing.T) *testCluster {
	f := newTestCluster(t, 24)
	for id, r := range f.runners {
		r.SetDataCentre(map[bool]string{true: "a", false: "b"}[id < "w08"])
		if id >= "w16" {
			r.SetDataCentre("c")
		}
	}
	return f
}

// startsIn counts the starts of a job in a data centre since a time.
func (f *testCluster) startsIn(dataCentre, id string, since time.Time) int {
	n := 0
	for _, r := range f.runners {
		if r.Info().DataCentre != dataCentre {
			continue
		}
		for _, s := range r.Spans() {
			if (id == "" || s.Task.Job == id) && !s.Started.Before(since) {
				n++
			}
		}
	}
	return n
}

// unansweredStarts is a worker of which starts get no answer while lost is set.
// They have no effect.
type unansweredStarts struct {
	platform.Runner
	lost *atomic.Bool
}

func (r *unansweredStarts) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if r.lost.Load() {
		<-ctx.Done()
		return 0, &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
	}
	return r.Runner.Start(ctx, request)
}

// TestEvacuation guards against starts in a data centre after its evacuation was
// requested: by a start that was decided, stored, reserved or repeated before, or
// by a planner that does not know of the request.
func TestEvacuation(t *testing.T) {
	single := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}
	// submitAll submits n jobs that each take a whole worker.
	submitAll := func(f *testCluster, p *Planner, name string, n int, payload string) {
		for i := range n {
			f.submit(p, batchJob(fmt.Sprint(name, i), "later", "a", payload, single))
		}
	}
	tests := []struct {
		name string
		run  func(t *testing.T, f *testCluster, p *Planner, stop func()) func()
	}{
		{"waiting tasks start elsewhere, and there once it is withdrawn", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.evacuate("a")
			submitAll(f, p, "j", 20, "10s")
			time.Sleep(2 * time.Second)
			if n := f.startsIn("a", "", time.Time{}); n != 0 {
				t.Errorf("%d starts in the evacuated data centre", n)
			}
			if n := f.startsIn("b", "", time.Time{}) + f.startsIn("c", "", time.Time{}); n != 16 {
				t.Errorf("%d starts elsewhere, want 16", n)
			}
			f.evacuate()
			time.Sleep(time.Second)
			if n := f.startsIn("a", "", time.Time{}); n != 4 {
				t.Errorf("%d starts after the request was withdrawn, want 4", n)
			}
			return stop
		}},
		{"two data centres one after the other, withdrawn and requested again", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			for _, centres := range [][]string{{"a"}, {"a", "b"}, {"b"}, nil, {"b"}} {
				f.evacuate(centres...)
				from := time.Now().Add(2 * tickInterval)
				for i := range 4 {
					f.submit(p, batchJob(fmt.Sprint(from.UnixNano(), i), "later", "a", "100ms", single))
					time.Sleep(200 * time.Millisecond)
				}
				for _, name := range centres {
					if n := f.startsIn(name, "", from); n != 0 {
						t.Errorf("%d starts in %s while %v are evacuated", n, name, centres)
					}
				}
			}
			return stop
		}},
		{"a decided start that is not stored yet", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.store.SetFaults(memory.Faults{Delay: 400 * time.Millisecond})
			go submitAll(f, p, "j", 1, "1s")
			time.Sleep(200 * time.Millisecond)
			f.evacuate("a", "b", "c")
			f.store.SetFaults(memory.Faults{})
			time.Sleep(2 * time.Second)
			if n := f.countStarts("j0"); n != 0 {
				t.Errorf("%d starts", n)
			}
			if n := p.instruments.withdrawnStarts.Get(); n != 1 {
				t.Errorf("%d withdrawn starts, want 1", n)
			}
			f.evacuate()
			time.Sleep(2 * time.Second)
			f.expectState(p, "later", "j0", batch.JobDone)
			return stop
		}},
		{"a gang of which some starts are in doubt", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.submit(p, batchJob("g", "urgent", "a", "1s", gang(4, 8)))
			time.Sleep(100 * time.Millisecond)
			f.evacuate("a", "b", "c")
			at := time.Now()
			time.Sleep(2 * time.Second)
			for _, name := range []string{"a", "b", "c"} {
				if n := f.startsIn(name, "", at); n != 0 {
					t.Errorf("%d starts in %s after the request", n, name)
				}
			}
			f.evacuate("a")
			time.Sleep(4 * time.Second)
			f.expectState(p, "urgent", "g", batch.JobDone)
			return stop
		}},
		{"change of planner", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.evacuate("a")
			submitAll(f, p, "before", 20, "1s")
			stop()
			p, stop = f.startPlanner()
			time.Sleep(settleTime)
			submitAll(f, p, "after", 10, "1s")
			time.Sleep(4 * time.Second)
			if n := f.startsIn("a", "", time.Time{}); n != 0 {
				t.Errorf("%d starts in the evacuated data centre", n)
			}
			for i := range 10 {
				f.expectState(p, "later", fmt.Sprint("after", i), batch.JobDone)
			}
			return stop
		}},
		{"a planner that cannot know the requests", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.mu.Lock()
			f.evacuationsUnknown = true
			f.mu.Unlock()
			submitAll(f, p, "j", 4, "1s")
			time.Sleep(time.Second)
			if n := f.startsIn("a", "", time.Time{}) + f.startsIn("b", "", time.Time{}) + f.startsIn("c", "", time.Time{}); n != 0 {
				t.Errorf("%d starts", n)
			}
			if n := p.instruments.withdrawnStarts.Get(); n != 0 {
				t.Errorf("%d starts were decided and withdrawn", n)
			}
			f.mu.Lock()
			f.evacuationsUnknown = false
			f.mu.Unlock()
			time.Sleep(2 * time.Second)
			f.expectState(p, "later", "j0", batch.JobDone)
			return stop
		}},
		{"capacity reserved for guaranteed work", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			submitAll(f, p, "j", 24, "60s")
			time.Sleep(time.Second)
			for _, r := range f.runners {
				r.SetFaults(memory.Faults{Delay: 200 * time.Millisecond})
			}
			f.submit(p, batchJob("g", "urgent", "a", "500ms", gang(4, 8)))
			time.Sleep(50 * time.Millisecond)
			p.mu.Lock()
			reserved := ""
			for _, r := range p.jobs["g"].reservations {
				reserved = p.workers[r.workers[0]].info.DataCentre
			}
			p.mu.Unlock()
			if reserved == "" {
				t.Fatal("no capacity is reserved")
			}
			f.evacuate(reserved)
			at := time.Now()
			time.Sleep(maxReclaimTime)
			f.expectState(p, "urgent", "g", batch.JobDone)
			if n := f.startsIn(reserved, "g", at); n != 0 {
				t.Errorf("%d starts in the evacuated data centre", n)
			}
			return stop
		}},
		{"a gang that only an evacuated data centre could hold is refused", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			f.evacuate("a", "b")
			time.Sleep(settleTime)
			j := batchJob("g", "later", "a", "1s", gang(9, 8))
			r := p.Submit(t.Context(), EncodeJob(j, f.config.Queues["later"], 0), 0)
			if r.Outcome != OutcomeRefused || r.RetryAfter == 0 {
				t.Errorf("outcome %d, retry after %s", r.Outcome, r.RetryAfter)
			}
			return stop
		}},
		{"runs go on and end there", func(t *testing.T, f *testCluster, p *Planner, stop func()) func() {
			submitAll(f, p, "j", 24, "3s")
			time.Sleep(time.Second)
			f.evacuate("a")
			time.Sleep(3 * time.Second)
			for i := range 24 {
				f.expectState(p, "later", fmt.Sprint("j", i), batch.JobDone)
				if n := f.countStarts(fmt.Sprint("j", i)); n != 1 {
					t.Errorf("job %d started %d times", i, n)
				}
			}
			return stop
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedCluster(t)
				p, stop := f.startPlanner()
				time.Sleep(settleTime)
				stop = c.run(t, f, p, stop)
				stop()
			})
		})
	}
}

// TestEvacuationOfStartInDoubt guards against repeating a start without an answer
// in a data centre that is evacuated meanwhile, including starts through relays.
func TestEvacuationOfStartInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedCluster(t)
		var lost atomic.Bool
		f.wrapRunner = func(r platform.Runner) platform.Runner { return &unansweredStarts{r, &lost} }
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		lost.Store(true)
		f.submit(p, batchJob("g", "urgent", "a", "1s", gang(4, 8)))
		time.Sleep(200 * time.Millisecond)
		f.evacuate("a", "b", "c")
		lost.Store(false)
		time.Sleep(3 * time.Second)
		if n := f.countStarts("g"); n != 0 {
			t.Errorf("%d starts after the request", n)
		}
		f.evacuate("b")
		time.Sleep(4 * time.Second)
		f.expectState(p, "urgent", "g", batch.JobDone)
	})
}

// TestLeavingWorkerGetsNoRepeatedStart guards against repeating a start without an
// answer on a worker that has announced meanwhile that it leaves.
func TestLeavingWorkerGetsNoRepeatedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		var lost atomic.Bool
		f.wrapRunner = func(r platform.Runner) platform.Runner { return &unansweredStarts{r, &lost} }
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		lost.Store(true)
		f.submit(p, batchJob("j", "later", "a", "1s", batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}))
		time.Sleep(100 * time.Millisecond)
		for _, r := range f.runners {
			f.announceLeaving(r)
		}
		time.Sleep(2 * registryPollInterval)
		lost.Store(false)
		time.Sleep(3 * time.Second)
		if n := f.countStarts("j"); n != 0 {
			t.Errorf("%d starts on leaving workers", n)
		}
	})
}

// TestGuaranteeShortfall guards against guarantees that silently exceed the workers
// outside the evacuated data centres.
func TestGuaranteeShortfall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedCluster(t)
		f.config.Teams = map[string]Team{"a": {Name: "a", Guaranteed: 100}, "b": {Name: "b", Guaranteed: 40}}
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for _, c := range []struct {
			evacuated []string
			want      float64
		}{{nil, 0}, {[]string{"a"}, 12}, {[]string{"a", "b"}, 76}, {nil, 0}} {
			f.evacuate(c.evacuated...)
			time.Sleep(settleTime)
			if got := p.instruments.guaranteeShortfall.Get(); got != c.want {
				t.Errorf("%v evacuated: %v accelerators missing, want %v", c.evacuated, got, c.want)
			}
		}
	})
}

// TestEvacuatedRun checks what the decision to move a run is based on: a run on a
// cold worker of which half is left gains by a move, unless there is no room.
func TestEvacuatedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedCluster(t)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		step := batch.Step{Tasks: 1, Checkpoints: true, Estimate: 20 * time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}
		f.submit(p, batchJob("j", "later", "a", "20s", step))
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		var pl *placement
		for _, w := range p.workers {
			for _, each := range w.placements {
				pl = each
			}
		}
		pl.checkpoint = "c"
		if r := p.evacuatedRun([]*placement{pl}, map[string]batch.Resources{}, now); r.WorthMoving() {
			t.Errorf("a run on a worker of the usual speed is moved: %+v", r)
		}
		pl.worker.coldUntil = now.Add(time.Minute)
		if r := p.evacuatedRun([]*placement{pl}, map[string]batch.Resources{}, now); !r.WorthMoving() {
			t.Errorf("a run on a cold worker is not moved: %+v", r)
		}
		for _, w := range p.workers {
			w.evacuated = true
		}
		if r := p.evacuatedRun([]*placement{pl}, map[string]batch.Resources{}, now); r.WorthMoving() {
			t.Errorf("a run is moved although nothing is free elsewhere: %+v", r)
		}
	})
}

// TestEvacuatedRunKeepsItsPlace guards against runs that are stopped in an evacuated
// data centre although the free workers elsewhere may not run them, or only slowly.
func TestEvacuatedRunKeepsItsPlace(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue string
		step  batch.Step
		// prepare changes the cluster before the planner starts.
		prepare func(f *testCluster)
		moves   bool
	}{
		{name: "any worker", step: batch.Step{}, moves: true},
		{name: "the label of one data centre", step: batch.Step{Label: "only-a"}, prepare: func(f *testCluster) {
			for id, r := range f.runners {
				if id < "w08" {
					r.SetLabels("only-a")
				}
			}
		}},
		{name: "near its data", step: batch.Step{Rack: "r0"}},
		{name: "an advised step", queue: "advised", step: batch.Step{}, prepare: func(f *testCluster) {
			f.adviser = &fakeAdviser{approved: map[string]bool{"w00": true}, validity: time.Second}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedCluster(t)
				if c.prepare != nil {
					c.prepare(f)
				}
				f.config.Queues["advised"] = Queue{Name: "advised", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Advised: true}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				c.step.Tasks, c.step.Checkpoints, c.step.Estimate = 1, true, 20*time.Second
				c.step.Need = batch.Resources{MilliCPU: 1000, Accelerators: 8}
				queue := c.queue
				if queue == "" {
					queue = "later"
				}
				f.submit(p, batchJob("j", queue, "a", "20s", c.step))
				time.Sleep(5 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				now := time.Now()
				var pl *placement
				for _, w := range p.workers {
					for _, each := range w.placements {
						pl = each
					}
				}
				pl.checkpoint, pl.worker.coldUntil = "c", now.Add(time.Minute)
				for _, w := range p.workers {
					w.evacuated = w.info.DataCentre == pl.worker.info.DataCentre
				}
				if r := p.evacuatedRun([]*placement{pl}, map[string]batch.Resources{}, now); r.WorthMoving() != c.moves {
					t.Errorf("moved %v, want %v: %+v", !c.moves, c.moves, r)
				}
			})
		})
	}
}

// TestColdWorkersKeepTheirSpeed guards against taking a worker that has started
// recently for a slow one for good.
func TestColdWorkersKeepTheirSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("j", "later", "a", "60s", batch.Step{Tasks: 2, MaxPerWorker: 1, Need: batch.Resources{MilliCPU: 1000}}))
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		cold, warm := p.workers["w00"], p.workers["w01"]
		cold.coldUntil = now.Add(time.Minute)
		for i := 1; i <= 8; i++ {
			for _, w := range []*worker{warm, cold} {
				// The cold worker progresses at a third of the speed.
				rate := map[*worker]float64{warm: 0.1, cold: 0.1 / 3}[w]
				for _, pl := range w.placements {
					p.sampleSpeed(pl, float64(i)*rate, now.Add(time.Duration(i)*time.Second))
				}
			}
		}
		if speed := p.speeds.Speed("w00"); speed < 0.9 {
			t.Errorf("learned speed %.2f of the cold worker", speed)
		}
		if speed := p.currentSpeed(cold, now); speed > 0.45 {
			t.Errorf("speed %.2f while it is cold, want about 0.33", speed)
		}
		if speed := p.currentSpeed(cold, now.Add(2*time.Minute)); speed < 0.9 {
			t.Errorf("speed %.2f when it is no longer cold", speed)
		}
	})
}
