package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
		id := fmt.Sprint(prefix, i)
		j, e := p.jobs[id], p.endedJobs.byID[id]
		if j != nil && j.progress.State == state || e != nil && e.state == state {
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

// stalledRunner is the connection to a worker whose reports show no progress.
type stalledRunner struct{ platform.Runner }

// RenewLease implements platform.Runner.
func (r *stalledRunner) RenewLease(ctx context.Context, request platform.RenewLeaseRequest) (platform.RunnerState, error) {
	state, err := r.Runner.RenewLease(ctx, request)
	for i := range state.Running {
		state.Running[i].Progress = 0.1
	}
	return state, err
}

// TestStalledRun guards against a full load on a worker whose runs make no progress
// while others do, and against suspicion of workers while all wait.
func TestStalledRun(t *testing.T) {
	for name, all := range map[string]bool{"one worker stalls": false, "all workers stall": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				f.wrapRunner = func(r platform.Runner) platform.Runner {
					if !all && r.(*memory.Runner).Info().ID != "w02" {
						return r
					}
					return &stalledRunner{r}
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", "12s", bulkStep(32)))
				// Reports arrive up to a second late, both the first and the last.
				time.Sleep(trust.StallTime + 4*time.Second)
				for id := range f.runners {
					want := trust.LevelTrusted
					if id == "w02" && !all {
						want = trust.LevelTrial
					}
					if got := p.trustOf(id).Level(time.Now()); got != want {
						t.Errorf("worker %s is %s, want %s", id, got, want)
					}
				}
			})
		})
	}
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

// TestSmallServiceHasNoTrials guards against a small service in which workers on
// trial, a large part of each rack, make gangs wait: there a worker is only excluded
// for a while.
func TestSmallServiceHasNoTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		w := p.workers["w00"]
		w.trust = trust.State{}.WithRestart(now).WithFailure(trust.Failure{Started: now, At: now})
		for _, c := range []struct {
			large   int
			after   time.Duration
			limited bool
		}{{9, 0, true}, {9, trust.MinExclusion, false}, {8, trust.MinExclusion, true}} {
			p.LargeServiceWorkers = c.large
			p.refreshTrust(now.Add(c.after))
			if got := p.workerTrust(w, now.Add(c.after)); got.Limited != c.limited || c.large > 8 && got.Unproven {
				t.Errorf("large from %d workers, %s after the failure: %+v", c.large, c.after, got)
			}
		}
	})
}
