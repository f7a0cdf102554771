package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestPathNamesJob guards against a job that a new planner, or an instance that reads
// the store, does not find because its queue got another name.
func TestPathNamesJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		j := batchJob("j", "later", "a", "1m", gang(2, 8))
		j.Path = "host/p/j"
		f.submit(p, j)
		unnamed := batchJob("unnamed", "later", "a", "1m", gang(1, 8))
		f.submit(p, unnamed)
		time.Sleep(time.Second)
		f.removeQueue("later")
		stop()
		p, stop = f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for _, c := range []struct {
			ref  JobRef
			want Outcome
		}{
			{JobRef{"j", "later", "host/p/j"}, OutcomeOK},
			{JobRef{"j", "later", ""}, OutcomeOK},
			{JobRef{"j", "renamed", "host/p/j"}, OutcomeOK},
			{JobRef{"j", "renamed", "host/q/j"}, OutcomeNotFound},
			{JobRef{"j", "renamed", ""}, OutcomeNotFound},
			{JobRef{"unnamed", "later", "host/p/unnamed"}, OutcomeOK},
			{JobRef{"unnamed", "renamed", "host/p/unnamed"}, OutcomeNotFound},
			{JobRef{"nobody", "later", "host/p/nobody"}, OutcomeNotFound},
		} {
			if r := p.State(c.ref); r.Outcome != c.want {
				t.Errorf("planner, %+v: outcome %d, want %d", c.ref, r.Outcome, c.want)
			}
			if r, err := ReadState(t.Context(), f.store, c.ref); err != nil || r.Outcome != c.want {
				t.Errorf("store, %+v: outcome %d, error %v, want %d", c.ref, r.Outcome, err, c.want)
			}
		}
		if r := p.Cancel(t.Context(), JobRef{"j", "renamed", "host/p/j"}); r.Outcome != OutcomeAccepted {
			t.Errorf("cancellation: outcome %d", r.Outcome)
		}
		time.Sleep(2 * time.Second)
		for _, r := range f.runners {
			for _, run := range r.Running() {
				if run.Task.Job == "j" {
					t.Errorf("the cancelled job runs on %s", r.Info().ID)
				}
			}
		}
		f.expectState(p, "later", "j", batch.JobCancelled)
	})
}
