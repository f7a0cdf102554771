package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/term"
)

// submitOutcome submits a job and returns the response.
func (f *testCluster) submitOutcome(p *Planner, j *batch.Job) Response {
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer cancel()
	return p.Submit(ctx, EncodeJob(j, f.config.Queues[j.Queue], f.config.Teams[j.Team].Guaranteed), 0)
}

// longJob returns a job of 60 steps with names of images of n bytes each.
func longJob(id, image string) *batch.Job {
	j := batchJob(id, "later", "a", "10ms", batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}, Image: image})
	for i := range 59 {
		step := j.Steps[0]
		step.DependsOn = []int{i}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// TestJobThatDoesNotFitIntoARow guards against an accepted job that the store cannot
// hold, which would keep all others from being stored.
func TestJobThatDoesNotFitIntoARow(t *testing.T) {
	const rowBytes = 64 << 10
	for _, c := range []struct {
		name     string
		job      *batch.Job
		rowBytes int
		want     Outcome
	}{
		{"usual", batchJob("j", "later", "a", "10ms", gang(2, 8)), rowBytes, OutcomeAccepted},
		{"long names of images", longJob("j", strings.Repeat("x", 1200)), rowBytes, OutcomeInvalid},
		{"few characters, many bytes", longJob("j", strings.Repeat("東", 400)), rowBytes, OutcomeInvalid},
		{"as long as it may be", longJob("j", strings.Repeat("x", 1000)), rowBytes, OutcomeAccepted},
		{"long label", batchJob("j", "later", "a", "10ms", batch.Step{Tasks: 1, Label: strings.Repeat("x", rowBytes)}), rowBytes, OutcomeInvalid},
		{"long rack", batchJob("j", "later", "a", "10ms", batch.Step{Tasks: 1, Rack: strings.Repeat("x", rowBytes)}), rowBytes, OutcomeInvalid},
		{"most tasks", batchJob("j", "later", "a", "10ms", batch.Step{Tasks: 4096, Need: batch.Resources{MilliCPU: 1}}), rowBytes, OutcomeAccepted},
		{"short rows", batchJob("j", "later", "a", "10ms", batch.Step{Tasks: 4096, Need: batch.Resources{MilliCPU: 1}}), rowBytes / 4, OutcomeInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				f.maxRowBytes = c.rowBytes
				f.store.LimitValues(c.rowBytes)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				c.job.AcceptedAt = time.Now()
				if r := f.submitOutcome(p, c.job); r.Outcome != c.want || r.Outcome == OutcomeInvalid && !strings.Contains(r.Reason, "bytes") {
					t.Errorf("outcome %d, %q, want %d", r.Outcome, r.Reason, c.want)
				}
				f.submit(p, batchJob("other", "urgent", "b", "1s", gang(2, 8)))
				time.Sleep(5 * time.Second)
				f.expectState(p, "urgent", "other", batch.JobDone)
			})
		})
	}
}

// TestStoreRejectsRows guards against a planner that repeats a transaction for ever
// because the store rejects one of its rows, which the planner took for acceptable.
func TestStoreRejectsRows(t *testing.T) {
	// limit is what the store accepts, a tenth of what the planner knows.
	const limit = 6 << 10
	t.Run("of a new job", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestCluster(t, 8)
			p, stop := f.startPlanner()
			defer stop()
			time.Sleep(settleTime)
			f.store.LimitValues(limit)
			f.submit(p, batchJob("before", "later", "b", "5s", gang(2, 8)))
			responses := make(chan Response)
			for i := range 12 {
				go func() {
					j := batchJob(fmt.Sprint("j", i), "later", "a", "1s", gang(1, 1))
					if i == 5 {
						j = longJob("j5", strings.Repeat("x", 200))
					}
					r := f.submitOutcome(p, j)
					if r.Reason = "ok"; i == 5 {
						r.Reason = "bad"
					}
					responses <- r
				}()
			}
			for range 12 {
				want := OutcomeAccepted
				r := <-responses
				if r.Reason == "bad" {
					want = OutcomeInvalid
				}
				if r.Outcome != want {
					t.Errorf("%s job: outcome %d, want %d", r.Reason, r.Outcome, want)
				}
			}
			time.Sleep(8 * time.Second)
			f.expectState(p, "later", "before", batch.JobDone)
			for i := range 12 {
				if id := fmt.Sprint("j", i); i != 5 {
					f.expectState(p, "later", id, batch.JobDone)
				} else if r := p.State(JobRef{ID: id, Queue: "later"}); r.Outcome != OutcomeNotFound || f.countStarts(id) > 0 {
					t.Errorf("the refused job: outcome %d, %d starts", r.Outcome, f.countStarts(id))
				}
			}
			if r := f.submitOutcome(p, longJob("j5", strings.Repeat("x", 200))); r.Outcome != OutcomeInvalid {
				t.Errorf("the refused job again: outcome %d", r.Outcome)
			}
		})
	})
	t.Run("of the progress of a job", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestCluster(t, 8)
			p, stop := f.startPlanner()
			time.Sleep(settleTime)
			many := batch.Step{Tasks: 500, Need: batch.Resources{MilliCPU: 100, MemoryMB: 100, Accelerators: 1}}
			f.submit(p, batchJob("bad", "later", "a", "3s", many))
			time.Sleep(time.Second)
			f.store.LimitValues(400)
			time.Sleep(3 * time.Second)
			for i := range 3 {
				id := fmt.Sprint("j", i)
				f.submit(p, batchJob(id, "urgent", "b", "1s", gang(2, 8)))
				time.Sleep(3 * time.Second)
				f.expectState(p, "urgent", id, batch.JobDone)
			}
			f.expectState(p, "later", "bad", batch.JobFailed)
			for _, r := range f.runners {
				if n := len(r.Running()); n > 0 {
					t.Errorf("%d runs on %s", n, r.Info().ID)
				}
			}
			stop()
			p, stop = f.startPlanner()
			defer stop()
			time.Sleep(settleTime)
			f.expectState(p, "later", "bad", batch.JobFailed)
		})
	})
	t.Run("of what the planner has learned", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestCluster(t, 64)
			p, stop := f.startPlanner()
			defer stop()
			time.Sleep(settleTime)
			f.submit(p, batchJob("j", "later", "a", "2s", batch.Step{Tasks: 256, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}))
			time.Sleep(5 * time.Second)
			f.store.LimitValues(800)
			for i := range 3 {
				id := fmt.Sprint("j", i)
				f.submit(p, batchJob(id, "urgent", "b", "1s", gang(2, 8)))
				time.Sleep(3 * time.Second)
				f.expectState(p, "urgent", id, batch.JobDone)
			}
		})
	})
}

// TestResignWithRejectedRows guards against a planner that cannot resign because the
// store rejects what it leaves.
func TestResignWithRejectedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("j", "later", "a", "9s", gang(4, 8)))
		time.Sleep(time.Second)
		for _, r := range f.runners {
			f.announceLeaving(r)
		}
		time.Sleep(time.Second)
		f.store.LimitValues(100)
		p.Resign()
		time.Sleep(time.Second)
		next, stopNext := f.startPlanner()
		defer stopNext()
		time.Sleep(settleTime)
		f.store.LimitValues(0)
		if next.Term.Generation() != 2*term.TokensPerTerm {
			t.Errorf("generation %d", next.Term.Generation())
		}
		f.expectState(next, "later", "j", batch.JobRunning)
	})
}
