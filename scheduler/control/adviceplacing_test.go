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
)

// lenientAdviser approves all workers for a limited time. Each call takes delay and
// 5 ms for each worker; calls about the jobs in failing fail.
type lenientAdviser struct {
	delay, validity time.Duration
	failing         map[string]bool
}

func (a *lenientAdviser) Configured() bool { return true }

func (a *lenientAdviser) Advise(_ context.Context, step batch.TaskID, workers []string) (platform.Advice, error) {
	time.Sleep(a.delay + 5*time.Millisecond*time.Duration(len(workers)))
	if a.failing[step.Job] {
		return platform.Advice{}, &platform.UnhealthyError{Status: 503}
	}
	answer := platform.Advice{Tickets: map[string]string{}, Validity: a.validity}
	for _, w := range workers {
		answer.Tickets[w] = "ticket " + w
	}
	return answer, nil
}

// countRunning counts the runs of a job on all workers.
func (f *testCluster) countRunning(id string) int {
	n := 0
	for _, r := range f.runners {
		for _, s := range r.Running() {
			if s.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// newAdvisedCluster returns a cluster with an adviser and the queues "advised" and
// "advisedurgent", whose workers reject starts without a ticket. It counts these
// in refused.
func newAdvisedCluster(t *testing.T, workers int) (f *testCluster, a *lenientAdviser, refused *atomic.Int64) {
	f = newTestCluster(t, workers)
	for queue, priority := range map[string]int{"advised": 1, "advisedurgent": 0} {
		f.config.Queues[queue] = Queue{
			Name: queue, Service: "s", Priority: priority, MaxAttempts: 3, Stretch: 3, Target: time.Second, Advised: true,
		}
	}
	a, refused = &lenientAdviser{delay: 20 * time.Millisecond, validity: 3 * time.Second}, new(atomic.Int64)
	f.adviser = a
	f.wrapRunner = func(r platform.Runner) platform.Runner {
		return &advisedRunner{r, r.(interface{ Info() platform.RunnerInfo }).Info().ID, f, refused}
	}
	return f, a, refused
}

// advisedRunner is a worker that requires a ticket for the jobs of advised queues,
// whose IDs start with "a".
type advisedRunner struct {
	platform.Runner
	id      string
	cluster *testCluster
	refused *atomic.Int64
}

func (r *advisedRunner) Start(ctx context.Context, request platform.StartRequest) (time.Duration, error) {
	if request.Task.Job[0] == 'a' && request.Ticket != "ticket "+r.id {
		r.refused.Add(1)
		time.Sleep(10 * time.Millisecond)
		return 0, &platform.TicketError{}
	}
	return r.Runner.Start(ctx, request)
}

// TestAdvisedTaskBesideItsStep guards against an advised task that is never started
// again because the adviser is only asked about the workers of its step's other
// tasks, which may not share a worker with it.
func TestAdvisedTaskBesideItsStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, refused := newAdvisedCluster(t, 16)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		apart := batch.Step{Tasks: 6, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 1}, LongRunning: true, MaxPerWorker: 1}
		f.submit(p, batchJob("a", "advised", "a", "lasting", apart))
		time.Sleep(time.Second)
		// The workers of the job have more room than the others.
		for id, fill := range map[string]batch.Step{
			"b": {Tasks: 2, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 8}, LongRunning: true, Rack: "r0"},
			"c": {Tasks: 8, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 4}, LongRunning: true, Rack: "r1", MaxPerWorker: 1},
		} {
			f.submit(p, batchJob(id, "later", "a", "lasting", fill))
		}
		time.Sleep(5 * time.Second)
		r := f.runnerOf("a")
		f.announceLeaving(r)
		time.Sleep(time.Second)
		f.unlist(r)
		r.Restart()
		time.Sleep(12 * time.Second)
		if n := f.countRunning("a"); n != 6 || refused.Load() > 0 {
			t.Errorf("%d tasks run, %d starts without a ticket; want 6 and 0", n, refused.Load())
		}
	})
}

// TestAdvisedGuaranteeOnFullWorkers guards against a guaranteed job of an advised
// queue that has nothing stopped for it, because the adviser is not asked about
// workers that are full.
func TestAdvisedGuaranteeOnFullWorkers(t *testing.T) {
	for _, c := range []struct {
		name    string
		step    batch.Step
		starts  int
		reclaim time.Duration
	}{
		{"one task", batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: 8}}, 1, 3400 * time.Millisecond},
		{"tasks", batch.Step{Tasks: 8, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 2}}, 8, 3400 * time.Millisecond},
		{"a gang", gang(4, 8), 4, 3400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, refused := newAdvisedCluster(t, 8)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				for i := range 8 {
					f.submit(p, batchJob(fmt.Sprint("later", i), "later", "b", "lasting",
						batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: 8}, LongRunning: true}))
				}
				time.Sleep(4 * time.Second)
				f.submit(p, batchJob("a", "advisedurgent", "a", "20s", c.step))
				time.Sleep(c.reclaim)
				if n := f.countStarts("a"); n != c.starts || refused.Load() > 0 {
					t.Errorf("%d tasks started after %v, %d starts without a ticket; want %d and 0", n, c.reclaim, refused.Load(), c.starts)
				}
			})
		})
	}
}

// TestAdvisedGuaranteeBehindBacklog guards against a guaranteed job that waits until
// the adviser has been asked for all less urgent steps, or for steps for which it
// always fails.
func TestAdvisedGuaranteeBehindBacklog(t *testing.T) {
	for _, failing := range []bool{false, true} {
		t.Run(fmt.Sprintf("failing %v", failing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, refused := newAdvisedCluster(t, 16)
				a.delay, a.failing = 150*time.Millisecond, map[string]bool{}
				for i := 0; failing && i < 60; i += 10 {
					a.failing[fmt.Sprintf("a%02d", i)] = true
				}
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				one := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 1}}
				for i := range 60 {
					id := fmt.Sprintf("a%02d", i)
					f.submit(p, batchJob(id, "advised", "b", "20s", one))
				}
				f.submit(p, batchJob("aurgent", "advisedurgent", "a", "20s", one))
				const reclaim = 3400 * time.Millisecond
				time.Sleep(reclaim)
				if n := f.countStarts("aurgent"); n != 1 || refused.Load() > 0 {
					t.Errorf("%d tasks started after %v, %d starts without a ticket; want 1 and 0", n, reclaim, refused.Load())
				}
				time.Sleep(20 * time.Second)
				for i := range 60 {
					if i%10 == 0 {
						continue
					}
					if id := fmt.Sprintf("a%02d", i); f.countStarts(id) == 0 {
						t.Errorf("job %s has not started", id)
					}
				}
			})
		})
	}
}

// TestAdvisedJobOfRemovedQueue guards against a job that starts without a ticket, over
// and over, once its queue is no longer configured.
func TestAdvisedJobOfRemovedQueue(t *testing.T) {
	for _, change := range []bool{false, true} {
		t.Run(fmt.Sprintf("change of planner %v", change), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, refused := newAdvisedCluster(t, 2)
				p, stop := f.startPlanner()
				time.Sleep(settleTime)
				whole := batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}}
				f.submit(p, batchJob("b", "later", "b", "5s", whole))
				time.Sleep(time.Second)
				f.submit(p, batchJob("a", "advised", "a", "1s", whole))
				f.removeQueue("advised")
				if change {
					stop()
					p, stop = f.startPlanner()
				}
				defer func() { stop() }()
				time.Sleep(10 * time.Second)
				f.expectState(p, "advised", "a", batch.JobDone)
				if n := refused.Load(); n > 0 {
					t.Errorf("%d starts without a ticket", n)
				}
			})
		})
	}
}
