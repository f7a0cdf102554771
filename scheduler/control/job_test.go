package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/term"
)

// maxReclaimTime is the time within which guaranteed work must start.
const maxReclaimTime = 3400 * time.Millisecond

func TestGangRunsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("g", "urgent", "a", "3s", gang(4, 8)))
		time.Sleep(time.Second)
		f.runnerOf("g").Restart()
		time.Sleep(8 * time.Second)
		f.expectState(p, "urgent", "g", batch.JobDone)
		if n := f.countStarts("g"); n != 8 {
			t.Errorf("%d starts, want 8 for two complete runs of the gang", n)
		}
	})
}

func TestAttemptsAreUsedUp(t *testing.T) {
	steps := map[string]batch.Step{"gang": gang(3, 1), "tasks": {Tasks: 2, Need: batch.Resources{MilliCPU: 1000}}}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "urgent", "a", "300ms fail", step))
				time.Sleep(30 * time.Second)
				f.expectState(p, "urgent", "j", batch.JobFailed)
				runs := map[int]bool{}
				for _, r := range f.runners {
					for _, s := range r.Starts() {
						runs[s.Number] = true
					}
				}
				if want := f.config.Queues["urgent"].MaxAttempts; len(runs) != want {
					t.Errorf("%d runs, want %d", len(runs), want)
				}
			})
		})
	}
}

func TestStepsFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		singleTask := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
		last := singleTask
		last.DependsOn = []int{0, 1}
		j := batchJob("j", "later", "a", "1s", singleTask)
		j.Steps = []batch.Step{singleTask, singleTask, last}
		f.submit(p, j)
		time.Sleep(1500 * time.Millisecond)
		f.expectState(p, "later", "j", batch.JobRunning)
		if n := f.countStarts("j"); n != 3 {
			t.Errorf("%d starts, want 3: the last step starts after the first two", n)
		}
		time.Sleep(time.Second)
		f.expectState(p, "later", "j", batch.JobDone)
	})
}

func TestOccurrencesComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		j := batchJob("j", "later", "a", "100ms", batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}})
		j.FirstDue, j.Interval, j.Occurrences = time.Now().Add(time.Second), 2*time.Second, 3
		f.submit(p, j)
		for want, wait := range []time.Duration{900 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 2 * time.Second} {
			time.Sleep(wait)
			if n := f.countStarts("j"); n != want {
				t.Errorf("%d starts, want %d", n, want)
			}
			if want == 1 {
				stop()
				p, stop = f.startPlanner()
			}
		}
		defer stop()
		time.Sleep(time.Second)
		f.expectState(p, "later", "j", batch.JobDone)
	})
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("g", "urgent", "a", "60s", gang(4, 8)))
		time.Sleep(time.Second)
		if v := p.Cancel(t.Context(), JobRef{ID: "g", Queue: "urgent"}); v.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", v)
		}
		f.expectState(p, "urgent", "g", batch.JobCancelled)
		time.Sleep(2 * time.Second)
		for id, r := range f.runners {
			if n := len(r.Running()); n > 0 {
				t.Errorf("%d runs left on %s", n, id)
			}
		}
		if v := p.Cancel(t.Context(), JobRef{ID: "nobody", Queue: "urgent"}); v.Outcome != OutcomeNotFound {
			t.Errorf("cancelling a job that does not exist: %+v", v)
		}
	})
}

// TestGuaranteedWorkBegins checks that a guaranteed job starts in time although
// the work of another team occupies all workers.
func TestGuaranteedWorkBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 16)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for i := range 16 {
			f.submit(p, batchJob(fmt.Sprint("b", i), "later", "b", "60s", gang(1, 8)))
		}
		time.Sleep(time.Second)
		f.submit(p, batchJob("a", "urgent", "a", "2s", gang(4, 8)))
		time.Sleep(maxReclaimTime)
		if n := f.countStarts("a"); n != 4 {
			t.Errorf("%d starts within %v, want 4", n, maxReclaimTime)
		}
		time.Sleep(2 * time.Second)
		f.expectState(p, "urgent", "a", batch.JobDone)
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		tests := []struct {
			name string
			job  *batch.Job
			want Outcome
		}{
			{"no worker is large enough", batchJob("a", "later", "a", "1s", gang(1, 9)), OutcomeRefused},
			{"a gang larger than all workers together", batchJob("b", "later", "a", "1s", gang(9, 8)), OutcomeRefused},
			{"no step", &batch.Job{ID: "c", Queue: "later"}, OutcomeInvalid},
			{"a step that depends on itself", batchJob("d", "later", "a", "1s", batch.Step{Tasks: 1, DependsOn: []int{0}}), OutcomeInvalid},
		}
		for _, tt := range tests {
			v := p.Submit(t.Context(), EncodeJob(tt.job, f.config.Queues["later"], 0), 0)
			if v.Outcome != tt.want || v.Reason == "" {
				t.Errorf("%s: %+v", tt.name, v)
			}
		}
		stop()
		v := p.Submit(t.Context(), EncodeJob(batchJob("e", "later", "a", "1s", gang(1, 1)), f.config.Queues["later"], 0), 0)
		if v.Outcome != OutcomeUnavailable {
			t.Errorf("after the end of the term: %+v", v)
		}
	})
}

func TestEndedJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("old", "later", "a", "100ms", gang(1, 1)))
		time.Sleep(time.Second)
		f.expectState(p, "later", "old", batch.JobDone)
		time.Sleep(p.Timing.Retention)
		f.expectState(p, "later", "old", batch.JobDone)
		f.submit(p, batchJob("new", "later", "a", "600s", gang(1, 1)))
		time.Sleep(retentionFactor * p.Timing.Retention)
		if v := p.State(JobRef{ID: "old", Queue: "later"}); v.Outcome != OutcomeNotFound {
			t.Errorf("%+v", v)
		}
		f.expectState(p, "later", "new", batch.JobRunning)
		for _, table := range []string{jobTable, progressTable} {
			page, err := f.store.List(t.Context(), platform.Range{Table: table, Part: term.Part})
			if err != nil || len(page.Rows) != 1 {
				t.Errorf("%d rows in %s, error %v", len(page.Rows), table, err)
			}
		}
	})
}

// TestEndsAreStoredBeforeTheyAreAcknowledged ends a gang on two workers during
// a store outage. One end finishes the whole gang, but the other worker must
// also keep its own end until the job's state is stored.
func TestEndsAreStoredBeforeTheyAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("g", "urgent", "a", "2s", gang(2, 8)))
		time.Sleep(time.Second)
		f.store.SetFaults(memory.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		for id, r := range f.runners {
			if n := r.Unacknowledged(); n != 1 {
				t.Errorf("%d unacknowledged ends on %s", n, id)
			}
		}
		f.store.SetFaults(memory.Faults{})
		time.Sleep(3 * time.Second)
		f.expectState(p, "urgent", "g", batch.JobDone)
		for id, r := range f.runners {
			if n := r.Unacknowledged(); n != 0 {
				t.Errorf("%d unacknowledged ends on %s", n, id)
			}
		}
	})
}
