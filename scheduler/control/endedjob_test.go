package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
)

// largeJob returns a job whose record takes most of a row.
func largeJob(id, duration string) *batch.Job {
	s := bulkStep(1)
	s.Image = strings.Repeat("i", 50<<10)
	return batchJob(id, "later", "a", duration, s)
}

func (p *Planner) setMemory(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Memory = bytes
}

// Guards against jobs that stay in memory after they have ended, here and on the
// next planner.
func TestEndedJobsKeepTheirOutcomeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		const jobs = 60
		for i := range jobs {
			f.submit(p, largeJob(fmt.Sprint("j", i), "100ms"))
		}
		f.submit(p, largeJob("lasting", "1h"))
		time.Sleep(10 * time.Second)
		check := func(p *Planner) {
			t.Helper()
			p.mu.Lock()
			held, live := p.jobBytes, len(p.jobs)
			p.mu.Unlock()
			if live != 1 || held > estimateBytes(largeJob("lasting", "1h"))+1000 {
				t.Errorf("%d jobs with %d bytes are kept, want the one that has not ended", live, held)
			}
			for i := range jobs {
				f.expectState(p, "later", fmt.Sprint("j", i), batch.JobDone)
			}
			f.expectState(p, "later", "lasting", batch.JobRunning)
			// A repeated submission and a late cancellation have no effect.
			again := EncodeJob(largeJob("j0", "100ms"), f.config.Queues["later"], 0)
			if v := p.Submit(t.Context(), again, 0); v.Outcome != OutcomeAccepted {
				t.Errorf("submitted again: %+v", v)
			}
			if v := p.Cancel(t.Context(), JobRef{ID: "j0", Queue: "later"}); v.Outcome != OutcomeAccepted {
				t.Errorf("cancelled: %+v", v)
			}
			f.expectState(p, "later", "j0", batch.JobDone)
			other := EncodeJob(batchJob("j0", "urgent", "a", "1s", bulkStep(1)), f.config.Queues["urgent"], 0)
			if v := p.Submit(t.Context(), other, 0); v.Outcome != OutcomeInvalid {
				t.Errorf("submitted to another queue: %+v", v)
			}
			if n := f.countStarts("j0"); n != 1 {
				t.Errorf("%d starts of an ended job, want 1", n)
			}
		}
		check(p)
		stop()
		p, stop = f.startPlanner()
		defer stop()
		// The planner learns from the workers that runs have begun.
		time.Sleep(3 * time.Second)
		check(p)
	})
}

// Guards against a planner that takes over and reads the records of all jobs that
// ended, which takes minutes on a slow link.
func TestRecordsOfEndedJobsAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		f.submit(p, largeJob("done", "100ms"))
		f.submit(p, largeJob("cancelled", "1h"))
		f.submit(p, largeJob("running", "1h"))
		f.submit(p, batchJob("small", "later", "a", "100ms", bulkStep(1)))
		time.Sleep(2 * time.Second)
		if v := p.Cancel(t.Context(), JobRef{ID: "cancelled", Queue: "later"}); v.Outcome != OutcomeAccepted {
			t.Fatalf("cancelled: %+v", v)
		}
		time.Sleep(5 * time.Second)
		check := func(p *Planner) {
			t.Helper()
			for id, long := range map[string]bool{"done": false, "cancelled": false, "running": true, "small": false} {
				row, err := readRow(t.Context(), f.store, jobKey(id))
				if err != nil || row == nil {
					t.Fatalf("record of %s: %v, %v", id, row, err)
				}
				if n := len(row.Value); n > largeRecordBytes != long {
					t.Errorf("the record of %s has %d bytes", id, n)
				}
			}
			f.expectState(p, "later", "done", batch.JobDone)
			f.expectState(p, "later", "cancelled", batch.JobCancelled)
			f.expectState(p, "later", "running", batch.JobRunning)
			f.expectState(p, "later", "small", batch.JobDone)
			if v, err := ReadState(t.Context(), f.store, JobRef{ID: "done", Queue: "later"}); err != nil || v.State != batch.JobDone {
				t.Errorf("state in the store: %+v, %v", v, err)
			}
		}
		check(p)
		stop()
		p, stop = f.startPlanner()
		defer stop()
		// The planner learns from the workers that runs have begun.
		time.Sleep(3 * time.Second)
		check(p)
		time.Sleep(2*retentionFactor*p.Timing.Retention + 10*time.Second)
		for _, id := range []string{"done", "cancelled", "small"} {
			if row, err := readRow(t.Context(), f.store, jobKey(id)); err != nil || row != nil {
				t.Errorf("record of %s after its retention: %v, %v", id, row, err)
			}
		}
	})
}

// Guards against a planner that accepts waiting work without bound, and against
// refused jobs that run.
func TestWaitingJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		p, stop := f.startPlanner()
		defer stop()
		p.setMemory(8 << 20)
		time.Sleep(settleTime)
		accepted, refused := 0, ""
		for i := range 100 {
			id := fmt.Sprint("j", i)
			response := p.Submit(t.Context(), EncodeJob(largeJob(id, "1s"), f.config.Queues["later"], 0), 0)
			switch response.Outcome {
			case OutcomeAccepted:
				accepted++
			case OutcomeRefused:
				if refused = id; response.RetryAfter <= 0 {
					t.Errorf("%s is refused without a time to return", id)
				}
			default:
				t.Fatalf("%s: %+v", id, response)
			}
		}
		limit := int(p.memory().live)
		if accepted == 0 || refused == "" || accepted*(50<<10) > limit {
			t.Errorf("%d jobs of 50 KB accepted with %d bytes for them, last refused %q", accepted, limit, refused)
		}
		time.Sleep(2 * time.Minute)
		if v := p.State(JobRef{ID: refused, Queue: "later"}); v.Outcome != OutcomeNotFound {
			t.Errorf("state of a refused job: %+v", v)
		}
		// There is room again once the accepted ones have ended.
		f.submit(p, largeJob("after", "1s"))
	})
}

// Guards against outcomes that are kept without bound.
func TestEndedJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		defer stop()
		p.setMemory(200 << 10)
		time.Sleep(settleTime)
		p.mu.Lock()
		for i := range 200 {
			p.endedJobs.add(&endedJob{id: fmt.Sprint("e", i), queue: "later", state: batch.JobDone, ended: time.Now()})
		}
		p.mu.Unlock()
		response := p.Submit(t.Context(), EncodeJob(batchJob("j", "later", "a", "1s", bulkStep(1)), f.config.Queues["later"], 0), 0)
		if response.Outcome != OutcomeRefused || response.RetryAfter < p.Timing.Retention/2 {
			t.Errorf("response %+v, want a refusal until outcomes may be deleted", response)
		}
		time.Sleep(response.RetryAfter + 10*time.Second)
		f.submit(p, batchJob("j", "later", "a", "1s", bulkStep(1)))
	})
}
