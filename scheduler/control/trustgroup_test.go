package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/trust"
)

// TestWithoutFailuresNothingChanges runs work of each kind without a failure. It
// guards against decisions that differ from those of a planner without trust:
// workers have no limit, and no group is split.
func TestWithoutFailuresNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 16)
		f.setAttempts(1)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for i := range 20 {
			f.submit(p, batchJob(fmt.Sprint("bulk", i), "later", "a", "3s", bulkStep(20)))
			f.submit(p, batchJob(fmt.Sprint("gang", i), "urgent", "b", "2s", gang(3, 4)))
			time.Sleep(300 * time.Millisecond)
			p.mu.Lock()
			v := p.buildView(time.Now())
			groups := map[stepOf]int{}
			for g := range v.input.Groups {
				groups[stepOf{v.input.Groups[g].Job, v.input.Groups[g].Step}]++
			}
			p.mu.Unlock()
			for w := range v.input.Workers {
				if got := v.input.Workers[w].Trust; got != (assignment.WorkerTrust{}) {
					t.Fatalf("worker %s: %+v", v.input.Workers[w].ID, got)
				}
			}
			for g := range v.input.Groups {
				if until := v.input.Groups[g].ProvenOnlyUntil; !until.IsZero() {
					t.Fatalf("group of job %s waits until %v", v.input.Groups[g].Job, until)
				}
			}
			for step, n := range groups {
				if n != 1 {
					t.Fatalf("%d groups of %v", n, step)
				}
			}
		}
	})
}

type stepOf struct {
	job  string
	step int
}

// TestApplyTrust guards against tasks that serve as a trial although their next
// failure ends the job, and against guaranteed groups that wait too long.
func TestApplyTrust(t *testing.T) {
	ready := time.Unix(1000, 0)
	slack := ready.Add(2 * time.Second)
	tests := []struct {
		name       string
		failures   []int
		attempts   int
		gang       bool
		priority   int
		guaranteed bool
		// waited is the time since the group became ready.
		waited time.Duration
		// trials and proven tell for each resulting group whether it may start on a
		// limited worker and until when it waits for proven workers.
		trials []bool
		proven []time.Time
	}{
		{"no failures", []int{0, 0}, 2, false, 1, false, 0, []bool{true}, []time.Time{{}}},
		{"one attempt only", []int{0, 0}, 1, false, 1, false, 0, []bool{false}, []time.Time{slack}},
		{"one of two on its last attempt", []int{1, 0}, 2, false, 1, false, 0, []bool{false, true}, []time.Time{slack, {}}},
		{"both on their last attempt", []int{1, 1}, 2, false, 1, false, 0, []bool{false}, []time.Time{slack}},
		{"attempts left", []int{1, 0}, 3, false, 1, false, 0, []bool{true}, []time.Time{{}}},
		{"gang", []int{0, 0}, 3, true, 1, false, 0, []bool{false}, []time.Time{slack}},
		{"urgent tasks", []int{1, 0}, 2, false, 0, false, 0, []bool{false}, []time.Time{slack}},
		{"guaranteed gang", []int{0, 0}, 2, true, 0, true, 0, []bool{false}, []time.Time{ready.Add(time.Second)}},
		{"guaranteed gang that has waited", []int{0, 0}, 2, true, 0, true, time.Second, []bool{true}, []time.Time{ready.Add(time.Second)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := batchJob("j", "later", "a", "1s", batch.Step{Tasks: len(tt.failures), Gang: tt.gang})
			j := newJob(spec, Queue{MaxAttempts: tt.attempts, Priority: tt.priority}, 0, batch.NewProgress(spec))
			for i, n := range tt.failures {
				j.progress.Steps[0].Tasks[i].Failures = n
			}
			g := assignment.Group{
				Job: "j", Indexes: []int{0, 1}, Gang: tt.gang, Priority: tt.priority, Guaranteed: tt.guaranteed,
				ReadySince: ready, ExpectedDuration: time.Second, Objective: ready.Add(5 * time.Second),
			}
			var trials []bool
			var proven []time.Time
			for _, part := range (&Planner{}).splitByRisk(j, g) {
				p := &Planner{trust: trustState{unproven: true}}
				p.applyTrust(j, &part, ready)
				p.applyTrust(j, &part, ready.Add(tt.waited))
				trials, proven = append(trials, part.Trial || part.IgnoreTrust), append(proven, part.ProvenOnlyUntil)
			}
			if !slices.Equal(trials, tt.trials) || !slices.EqualFunc(proven, tt.proven, time.Time.Equal) {
				t.Errorf("%v until %v, want %v until %v", trials, proven, tt.trials, tt.proven)
			}
		})
	}
}

// TestProbation guards against a full load on a worker that has just restarted, or
// was silent, and fails its first task at once.
func TestProbation(t *testing.T) {
	for name, fault := range map[string]func(r *memory.Runner){
		"none":    func(*memory.Runner) {},
		"restart": func(r *memory.Runner) { r.Restart() },
		"silence": func(r *memory.Runner) {
			r.SetFaults(memory.Faults{Outage: true})
			time.Sleep(3 * time.Second)
			r.SetFaults(memory.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 1)
				faults := f.addFaults()
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				fault(f.runners["w00"])
				time.Sleep(3 * time.Second)
				faults.set("w00")
				f.submit(p, batchJob("j", "later", "a", "1s", gang(1, 8)))
				time.Sleep(200 * time.Millisecond)
				want := trust.LevelExcluded
				if name == "none" {
					want = trust.LevelTrusted
				}
				if got := p.trustOf("w00"); got.Level(time.Now()) != want || got.Failures() == 0 {
					t.Errorf("%s after %d failures, want %s", got.Level(time.Now()), got.Failures(), want)
				}
			})
		})
	}
}

// TestLongTrialRaisesLimit guards against a worker whose tasks take long and that
// therefore stays at one task for their whole run time.
func TestLongTrialRaisesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		f.setAttempts(9)
		faults := f.addFaults()
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		faults.set("w00")
		f.submit(p, batchJob("j", "later", "a", "30s", bulkStep(8)))
		time.Sleep(200 * time.Millisecond)
		faults.set()
		time.Sleep(10 * time.Second)
		if n := len(f.runners["w00"].Running()); n != 8 {
			t.Errorf("%d runs after 10 s, want 8", n)
		}
	})
}

// TestOneTaskAfterExclusion guards against a full load on a worker at the end of
// each exclusion.
func TestOneTaskAfterExclusion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		f.setAttempts(99)
		faults := f.addFaults()
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		faults.set("w00")
		f.submit(p, batchJob("j", "later", "a", "1s", bulkStep(8)))
		time.Sleep(200 * time.Millisecond)
		before := faults.countStarts("w00")
		if before != 8 {
			t.Fatalf("%d starts before the first failure was reported, want 8", before)
		}
		const interval = 50 * time.Millisecond
		for range int(17 * time.Second / interval) {
			time.Sleep(interval)
			n := faults.countStarts("w00")
			if n > before+1 {
				t.Errorf("%d starts within %v", n-before, interval)
			}
			before = n
		}
		if before < 8+4 {
			t.Errorf("%d trials, want at least 4", before-8)
		}
	})
}

// TestProvenWaitIsNotExtended guards against tasks on their last attempt that wait
// for proven workers again and again because others of their step start.
func TestProvenWaitIsNotExtended(t *testing.T) {
	ready := time.Unix(1000, 0)
	spec := batchJob("j", "later", "a", "1s", batch.Step{Tasks: 2})
	j := newJob(spec, Queue{MaxAttempts: 1, Priority: 1}, 0, batch.NewProgress(spec))
	p := &Planner{trust: trustState{unproven: true}}
	group := func(at time.Time) time.Time {
		g := assignment.Group{
			Job: "j", Indexes: []int{1}, Priority: 1, ReadySince: at, ExpectedDuration: time.Second, Objective: ready.Add(5 * time.Second),
		}
		p.applyTrust(j, &g, at)
		return g.ProvenOnlyUntil
	}
	first := group(ready)
	if again := group(ready.Add(time.Second)); !again.Equal(first) {
		t.Errorf("waits until %v, at first %v", again, first)
	}
	j.progress.Steps[0].Tasks[1].Run++
	if next := group(ready.Add(time.Second)); !next.After(first) {
		t.Errorf("the next run waits until %v, that of before %v", next, first)
	}
}

// TestGuaranteedWaitEndsAfterReady guards against a guaranteed group that waits for
// a second from the time at which a worker becomes unproven.
func TestGuaranteedWaitEndsAfterReady(t *testing.T) {
	ready := time.Unix(1000, 0)
	spec := batchJob("j", "urgent", "a", "1s", batch.Step{Tasks: 2, Gang: true})
	j := newJob(spec, Queue{MaxAttempts: 3}, 0, batch.NewProgress(spec))
	p := &Planner{trust: trustState{unproven: true}}
	g := assignment.Group{
		Job: "j", Indexes: []int{0, 1}, Gang: true, Guaranteed: true, ReadySince: ready, ExpectedDuration: time.Second, Objective: ready.Add(20 * time.Second),
	}
	p.applyTrust(j, &g, ready.Add(500*time.Millisecond))
	if end := ready.Add(time.Second); !g.ProvenOnlyUntil.Equal(end) || g.IgnoreTrust {
		t.Errorf("waits until %v, want %v", g.ProvenOnlyUntil, end)
	}
	p.applyTrust(j, &g, ready.Add(2500*time.Millisecond))
	if !g.IgnoreTrust {
		t.Error("waits 2.5 s after its tasks became ready")
	}
}

// TestNoTrialWithoutEvidence guards against trials with tasks that may never prove
// their worker.
func TestNoTrialWithoutEvidence(t *testing.T) {
	for _, step := range []batch.Step{{Tasks: 1, BestEffort: true}, {Tasks: 1, LongRunning: true}, {Tasks: 1}} {
		spec := batchJob("j", "later", "a", "1s", step)
		j := newJob(spec, Queue{MaxAttempts: 3, Priority: 1}, 0, batch.NewProgress(spec))
		g := assignment.Group{Job: "j", Indexes: []int{0}, Priority: 1}
		(&Planner{}).applyTrust(j, &g, time.Unix(1000, 0))
		if want := !step.BestEffort && !step.LongRunning; g.Trial != want {
			t.Errorf("best-effort %v, long-running %v: trial %v", step.BestEffort, step.LongRunning, g.Trial)
		}
	}
}

// TestThrottledRunKeepsWorkerOpen guards against a worker that stays closed because
// a best-effort run there makes no progress.
func TestThrottledRunKeepsWorkerOpen(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(10 * time.Second)
	w := &worker{trust: trust.State{}.WithSuspicion(start, start)}
	w.placements = map[batch.TaskID]*placement{
		{Job: "j"}: {worker: w, step: &batch.Step{BestEffort: true}, phase: phaseRunning, startedAt: start.Add(5 * time.Second)},
	}
	if got := (&Planner{}).workerTrust(w, now); got.Limited {
		t.Errorf("limited to %d new tasks", got.NewTasks)
	}
}

// TestGuaranteedGangStartsOnTrialWorkers guards against guaranteed gangs that miss the
// limit for their start while all workers are on trial.
func TestGuaranteedGangStartsOnTrialWorkers(t *testing.T) {
	for _, n := range []int{8, 9, 16} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestCluster(t, 8)
			p, stop := f.startPlanner()
			defer stop()
			time.Sleep(settleTime)
			p.mu.Lock()
			for _, w := range p.workers {
				p.setTrust(w, w.trust.WithSuspicion(time.Now(), time.Now()), "test")
			}
			p.mu.Unlock()
			f.submit(p, batchJob("j", "urgent", "a", "1s", gang(n, 1)))
			time.Sleep(trust.GuaranteedWaitTimeout + 900*time.Millisecond)
			if got := f.countStarts("j"); got != n {
				t.Errorf("%d of %d starts", got, n)
			}
			time.Sleep(2 * time.Second)
			f.expectState(p, "urgent", "j", batch.JobDone)
		})
	}
}

// crashingRunner makes each run of a job fail after a second, but for the first run of its
// second task, which lasts longer.
type crashingRunner struct {
	platform.Runner
	job string
}

func (r *crashingRunner) Start(ctx context.Context, s platform.StartRequest) (time.Duration, error) {
	if s.Task.Job == r.job {
		s.Payload = "1s fail"
		if s.Task.Index == 1 && s.Number == 1 {
			s.Payload = "5500ms fail"
		}
	}
	return r.Runner.Start(ctx, s)
}

// TestFailingJobLeavesItsWorkersToOthers guards against a guaranteed gang that never
// begins, because the only workers that it can use are excluded in turn while the tasks
// of another team's job fail there again and again.
func TestFailingJobLeavesItsWorkersToOthers(t *testing.T) {
	for name, large := range map[string]int{"small service": 100, "service with trials": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 11)
				for _, id := range []string{"w03", "w08"} {
					f.runners[id].SetLabels("k")
				}
				f.wrapRunner = func(r platform.Runner) platform.Runner { return &crashingRunner{r, "l"} }
				p, stop := f.startPlanner()
				defer stop()
				p.mu.Lock()
				p.LargeServiceWorkers = large
				p.mu.Unlock()
				time.Sleep(settleTime)
				f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
					Tasks: 2, Need: batch.Resources{MilliCPU: 1000}, LongRunning: true, Label: "k", MaxPerWorker: 1,
				}))
				time.Sleep(22 * time.Second)
				g := gang(2, 4)
				g.Label, g.Adjacent, g.MaxPerWorker = "k", false, 1
				f.submit(p, batchJob("g", "urgent", "a", "9s", g))
				const reclaim = 3400 * time.Millisecond
				time.Sleep(reclaim)
				if n := f.countStarts("g"); n != 2 {
					t.Errorf("%d tasks of the gang have begun %v after its acceptance, want 2", n, reclaim)
				}
			})
		})
	}
}

// TestFailingTasksTakeTurns guards against a long-running task that is not restarted,
// because another one of its step fails again and again and takes each worker that is
// open.
func TestFailingTasksTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 11)
		for _, id := range []string{"w03", "w08"} {
			f.runners[id].SetLabels("k")
		}
		f.wrapRunner = func(r platform.Runner) platform.Runner { return &crashingRunner{r, "l"} }
		p, stop := f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.LargeServiceWorkers = 100
		p.mu.Unlock()
		time.Sleep(settleTime)
		f.submit(p, batchJob("l", "later", "b", "lasting", batch.Step{
			Tasks: 2, Need: batch.Resources{MilliCPU: 1000}, LongRunning: true, Label: "k", MaxPerWorker: 1,
		}))
		time.Sleep(time.Minute)
		latest := map[int]time.Time{}
		for _, r := range f.runners {
			for _, s := range r.Spans() {
				if s.Started.After(latest[s.Task.Index]) {
					latest[s.Task.Index] = s.Started
				}
			}
		}
		for i := range 2 {
			if since := time.Since(latest[i]); since > 2*trust.MaxExclusion+time.Second {
				t.Errorf("task %d was not started for %v", i, since)
			}
		}
	})
}
