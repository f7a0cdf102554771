package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/trust"
)

// faultyWorkers makes runs on some workers fail shortly after their start.
type faultyWorkers struct {
	mu      sync.Mutex
	workers map[string]bool
	// starts counts the starts on each worker since the latest call of set.
	starts map[string]int
}

// set replaces the faulty workers.
func (f *faultyWorkers) set(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers, f.starts = map[string]bool{}, map[string]int{}
	for _, id := range ids {
		f.workers[id] = true
	}
}

func (f *faultyWorkers) countStarts(ids ...string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += f.starts[id]
	}
	return n
}

// faultyRunner is the connection to a worker that may be faulty.
type faultyRunner struct {
	platform.Runner
	id     string
	faults *faultyWorkers
}

// Start implements platform.Runner.
func (r *faultyRunner) Start(ctx context.Context, s platform.StartRequest) (time.Duration, error) {
	r.faults.mu.Lock()
	r.faults.starts[r.id]++
	if r.faults.workers[r.id] {
		s.Payload = "10ms fail"
	}
	r.faults.mu.Unlock()
	return r.Runner.Start(ctx, s)
}

// addFaults makes workers of the cluster fail on request.
func (f *testCluster) addFaults() *faultyWorkers {
	faults := &faultyWorkers{}
	faults.set()
	f.wrapRunner = func(r platform.Runner) platform.Runner {
		return &faultyRunner{r, r.(*memory.Runner).Info().ID, faults}
	}
	return faults
}

// setAttempts sets the number of failed runs of a task that end a job.
func (f *testCluster) setAttempts(n int) {
	for name, q := range f.config.Queues {
		q.MaxAttempts = n
		f.config.Queues[name] = q
	}
}

// bulkStep returns independent tasks of one accelerator.
func bulkStep(tasks int) batch.Step {
	return batch.Step{Tasks: tasks, Estimate: 3 * time.Second, Need: batch.Resources{MilliCPU: 4000, MemoryMB: 1000, Accelerators: 1}}
}

// trustOf returns the trust in a worker.
func (p *Planner) trustOf(id string) trust.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id].trust
}

// finished returns how many of the jobs with the prefix are in the state.
func (p *Planner) finished(prefix string, n int, state batch.JobState) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := 0
	for i := range n {
		if j := p.jobs[fmt.Sprint(prefix, i)]; j != nil && j.progress.State == state {
			found++
		}
	}
	return found
}

// TestFaultyWorkersEndNoJobs makes three of 16 workers fail everything for 8 s
// under a full load of jobs that two failed runs of a task end. It guards against
// jobs that end because of the workers, against a full load on a worker after its
// exclusion, and against workers that stay limited once they are well again.
func TestFaultyWorkersEndNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 16)
		f.setAttempts(2)
		faults := f.addFaults()
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		faulty := []string{"w01", "w06", "w12"}
		faults.set(faulty...)
		const jobs = 24
		for i := range jobs {
			f.submit(p, batchJob(fmt.Sprint("bulk", i), "later", "a", "3s", bulkStep(20)))
			if i%4 == 0 {
				f.submit(p, batchJob(fmt.Sprint("gang", i), "later", "b", "2s", gang(3, 4)))
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(800 * time.Millisecond)
		// At most 8 tasks start before the first failure is reported, and one at
		// 0.5, 1.5, 3.5 and 7.5 s.
		if n := faults.countStarts(faulty...); n > 3*(8+4) {
			t.Errorf("%d starts on faulty workers", n)
		}
		faults.set()
		time.Sleep(10 * time.Second)
		for i := range jobs {
			f.submit(p, batchJob(fmt.Sprint("later", i), "later", "a", "3s", bulkStep(20)))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		if n := p.finished("bulk", jobs, batch.JobDone); n != jobs {
			t.Errorf("%d of %d jobs done, %d failed", n, jobs, p.finished("bulk", jobs, batch.JobFailed))
		}
		if n := p.finished("gang", jobs, batch.JobDone); n != jobs/4 {
			t.Errorf("%d of %d gangs done", n, jobs/4)
		}
		for _, id := range faulty {
			if s := p.trustOf(id); s.Limited() {
				t.Errorf("worker %s is still %s", id, s.Level(time.Now()))
			}
		}
	})
}

// TestExcludedAtMostAThird makes all workers fail. It guards against a service
// without a worker while the cause is elsewhere.
func TestExcludedAtMostAThird(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 9)
		f.setAttempts(100)
		faults := f.addFaults()
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		var all []string
		for id := range f.runners {
			all = append(all, id)
		}
		faults.set(all...)
		for i := range 4 {
			f.submit(p, batchJob(fmt.Sprint("j", i), "later", "a", "1s", bulkStep(40)))
		}
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		p.refreshTrust(now)
		excluded, taken := 0, 0
		for _, w := range p.workers {
			if w.trust.Level(now) == trust.LevelExcluded {
				excluded++
			}
			if p.trust.spared[w] {
				taken++
			}
		}
		if excluded-taken > 3 || excluded <= 3 {
			t.Errorf("%d workers excluded, %d of them spared; want 3 that are not", excluded, taken)
		}
	})
}

// TestLastAttemptWaitsForProvenWorkers makes the only worker with free capacity
// fail a task of a job that the next failure ends. It guards against a second run
// on that worker while a proven one becomes free within the slack.
func TestLastAttemptWaitsForProvenWorkers(t *testing.T) {
	for _, isGang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", isGang), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 2)
				f.setAttempts(2)
				faults := f.addFaults()
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				whole := bulkStep(1)
				whole.Need.Accelerators, whole.Gang = 8, isGang
				f.submit(p, batchJob("busy", "later", "a", "2s", whole))
				time.Sleep(500 * time.Millisecond)
				free := "w00"
				if f.runnerOf("busy").Info().ID == free {
					free = "w01"
				}
				faults.set(free)
				f.submit(p, batchJob("j", "later", "a", "1s", whole))
				time.Sleep(8 * time.Second)
				f.expectState(p, "later", "j", batch.JobDone)
				if n := faults.countStarts(free); n != 1 {
					t.Errorf("%d starts on the faulty worker, want 1", n)
				}
			})
		})
	}
}

// TestLastAttemptWaitsBounded lets no worker become proven. It guards against work
// that waits for ever.
func TestLastAttemptWaitsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		f.setAttempts(2)
		faults := f.addFaults()
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		faults.set("w00")
		f.submit(p, batchJob("j", "later", "a", "1s", gang(2, 4)))
		time.Sleep(300 * time.Millisecond)
		faults.set()
		time.Sleep(8 * time.Second)
		f.expectState(p, "later", "j", batch.JobDone)
	})
}

// TestFaultyTaskKeepsWorkersTrusted runs jobs of which every task fails on any
// worker, one after the other. It guards against healthy workers that are excluded
// because of faulty tasks.
func TestFaultyTaskKeepsWorkersTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		// A proven worker that is idle is preferred, so that the second run of each
		// task is on the other worker.
		step := bulkStep(1)
		step.Need.Accelerators, step.Gang = 5, true
		for i := range 6 {
			id := fmt.Sprint("bad", i)
			f.submit(p, batchJob(id, "later", "a", "1s fail", step))
			time.Sleep(5 * time.Second)
			f.expectState(p, "later", id, batch.JobFailed)
			f.submit(p, batchJob(fmt.Sprint("good", i), "later", "a", "1s", batch.Step{
				Tasks: 2, Gang: true, Need: step.Need, Estimate: time.Second,
			}))
			time.Sleep(2 * time.Second)
			for id := range f.runners {
				if s := p.trustOf(id); s.Limited() {
					t.Fatalf("worker %s is %s after %d failures", id, s.Level(time.Now()), s.Failures())
				}
			}
		}
	})
}

// TestWaveLowersRack makes four of the eight workers of a rack fail. It guards
// against a full load on the others, which share the cause but had no work.
func TestWaveLowersRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 16)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		p.mu.Lock()
		defer p.mu.Unlock()
		for i, w := range []string{"w00", "w01", "w02", "w03"} {
			for task := range 2 {
				pl := &placement{
					worker: p.workers[w], step: &batch.Step{}, startedAt: time.Now(),
					id: batch.TaskID{Job: "j", Index: 2*i + task},
				}
				p.countWorkerFailure(pl)
			}
		}
		now := time.Now()
		for id, want := range map[string]trust.Level{
			"w00": trust.LevelExcluded, "w04": trust.LevelTrial, "w07": trust.LevelTrial, "w08": trust.LevelTrusted, "w15": trust.LevelTrusted,
		} {
			if got := p.workers[id].trust.Level(now); got != want {
				t.Errorf("worker %s is %s, want %s", id, got, want)
			}
		}
	})
}

// TestSuccessorKnowsFaultyWorkers guards against a planner that gives faulty
// workers a full load because it has just taken over, and against a record that is
// applied to another process of a worker.
func TestSuccessorKnowsFaultyWorkers(t *testing.T) {
	for name, restart := range map[string]bool{"worker stays": false, "worker restarts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				faults := f.addFaults()
				first, stop := f.startPlanner()
				time.Sleep(settleTime)
				faults.set("w03")
				for i := range 8 {
					f.submit(first, batchJob(fmt.Sprint("j", i), "later", "a", "1s", bulkStep(30)))
				}
				time.Sleep(6 * time.Second)
				want := first.trustOf("w03")
				if !want.Limited() {
					t.Fatal("the faulty worker is not limited")
				}
				stop()
				if restart {
					f.runners["w03"].Restart()
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				got := p.trustOf("w03")
				if restart {
					if got.Limited() {
						t.Errorf("the next process is %s", got.Level(time.Now()))
					}
					return
				}
				if !got.Limited() || got.ExcludedUntil().Sub(want.ExcludedUntil()).Abs() > 2*time.Millisecond {
					t.Errorf("excluded until %v, want %v", got.ExcludedUntil(), want.ExcludedUntil())
				}
			})
		})
	}
}

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
		// trials and proven tell for each resulting group whether it may serve as a
		// trial and until when it waits for proven workers.
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
			for _, part := range splitByRisk(j, g) {
				(&Planner{}).applyTrust(j, &part, ready.Add(tt.waited))
				trials, proven = append(trials, part.Trial), append(proven, part.ProvenOnlyUntil)
			}
			if !slices.Equal(trials, tt.trials) || !slices.EqualFunc(proven, tt.proven, time.Time.Equal) {
				t.Errorf("%v until %v, want %v until %v", trials, proven, tt.trials, tt.proven)
			}
		})
	}
}
