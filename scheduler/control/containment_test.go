package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestPanicOfOneJob guards against a fault in the processing of one job that ends the
// process, keeps the lock, stops the work of other jobs or loses ends of the job's own
// runs. The fault is a job whose steps have gone, at different moments of its life.
func TestPanicOfOneJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// after is when the fault begins.
		after time.Duration
		step  batch.Step
	}{
		{"at once", 0, gang(2, 8)},
		{"while it starts", 5 * time.Millisecond, gang(2, 8)},
		{"while it starts, no gang", 5 * time.Millisecond, batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}},
		{"while it runs", time.Second, gang(2, 8)},
		{"just before it ends", 2900 * time.Millisecond, gang(2, 8)},
		{"just before it ends, no gang", 2900 * time.Millisecond, batch.Step{Tasks: 3, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("before", "later", "b", "5s", gang(2, 8)))
				f.submit(p, batchJob("bad", "later", "a", "3s", c.step))
				time.Sleep(c.after)
				setSteps := func(steps []batch.Step) []batch.Step {
					p.mu.Lock()
					defer p.mu.Unlock()
					spec := *p.jobs["bad"].spec
					former := spec.Steps
					spec.Steps = steps
					p.jobs["bad"].spec = &spec
					return former
				}
				steps := setSteps(nil)
				time.Sleep(300 * time.Millisecond)
				f.submit(p, batchJob("after", "urgent", "b", "2s", gang(2, 8)))
				time.Sleep(5 * time.Second)
				f.expectState(p, "later", "before", batch.JobDone)
				f.expectState(p, "urgent", "after", batch.JobDone)
				if p.instruments.panics.Get() == 0 {
					t.Error("no panic was counted")
				}
				setSteps(steps)
				time.Sleep(8 * time.Second)
				f.expectState(p, "later", "bad", batch.JobDone)
				if n := f.countStarts("bad"); n != c.step.Tasks {
					t.Errorf("%d starts, want %d", n, c.step.Tasks)
				}
			})
		})
	}
}

// TestPanicOutlivesTerm guards against a job whose fault ends one planner after the
// other.
func TestPanicOutlivesTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		f.submit(p, batchJob("bad", "later", "a", "3s", gang(2, 8)))
		time.Sleep(time.Second)
		stop()
		// No planner hears of a run, which may have ended, before the job is faulty.
		f.registryDelay = time.Millisecond
		for term := range 3 {
			p, stop = f.startPlanner()
			p.mu.Lock()
			spec := *p.jobs["bad"].spec
			spec.Steps = nil
			p.jobs["bad"].spec = &spec
			p.mu.Unlock()
			time.Sleep(settleTime + 4*time.Second)
			id := fmt.Sprint("j", term)
			f.submit(p, batchJob(id, "later", "b", "2s", gang(2, 8)))
			time.Sleep(4 * time.Second)
			f.expectState(p, "later", id, batch.JobDone)
			stop()
		}
		_, stop = f.startPlanner()
		defer stop()
		time.Sleep(settleTime + 4*time.Second)
		if n := f.countStarts("bad"); n != 2 {
			t.Errorf("%d starts of the job, want 2", n)
		}
	})
}
