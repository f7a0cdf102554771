package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// putRow replaces a row of the planner.
func (f *testCluster) putRow(table, key string, value []byte) {
	f.t.Helper()
	_, err := f.store.Apply(f.t.Context(), platform.Batch{Writes: []platform.StoredRow{{
		RowKey: platform.RowKey{Table: table, Part: term.Part, Key: key}, Value: value,
	}}})
	if err != nil {
		f.t.Fatal(err)
	}
}

// TestDamagedRecords damages the records of one job. The next planner must
// serve the other jobs and must not report a state of the damaged one or run it
// again.
func TestDamagedRecords(t *testing.T) {
	mismatched, err := proto.Marshal(&schema.BatchProgress{Format: 1, Steps: []*schema.StepProgress{{States: []int32{1, 1, 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		table string
		value []byte
	}{
		"job":               {jobTable, []byte{0xff, 0xff}},
		"job without steps": {jobTable, nil},
		"progress":          {progressTable, []byte{0xff, 0xff}},
		"columns":           {progressTable, mismatched},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				p, stop := f.startPlanner()
				time.Sleep(settleTime)
				f.submit(p, batchJob("bad", "later", "a", "3s", gang(1, 8)))
				f.submit(p, batchJob("good", "later", "a", "3s", gang(1, 8)))
				time.Sleep(time.Second)
				stop()
				f.putRow(c.table, "bad", c.value)
				p, stop = f.startPlanner()
				defer stop()
				time.Sleep(4 * time.Second)
				f.expectState(p, "later", "good", batch.JobDone)
				if v := p.State(JobRef{ID: "bad", Queue: "later"}); v.Outcome != OutcomeUnavailable {
					t.Errorf("state %+v", v)
				}
				again := EncodeJob(batchJob("bad", "later", "a", "3s", gang(1, 8)), f.config.Queues["later"], 0)
				if v := p.Submit(t.Context(), again, 0); v.Outcome != OutcomeUnknown {
					t.Errorf("submitted again: %+v", v)
				}
				if n := f.countStarts("bad"); n != 1 {
					t.Errorf("%d starts of the damaged job", n)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		f.submit(p, batchJob("j", "later", "a", "60s", gang(1, 8)))
		stop()
		later, err := proto.Marshal(&schema.BatchProgress{Format: progressFormat + 1})
		if err != nil {
			t.Fatal(err)
		}
		f.putRow(progressTable, "j", later)
		var format *FormatError
		if err := New(Dependencies{Store: f.store, Metrics: p.Metrics, Log: p.Log}).Load(t.Context()); !errors.As(err, &format) {
			t.Errorf("a record of a later version: %v", err)
		}
	})
}

// TestDecisionThatPanics breaks the configuration, so that every decision
// panics. Current runs must continue, and scheduling must resume with the next
// decision that succeeds.
func TestDecisionThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("first", "later", "a", "15s", gang(1, 8)))
		time.Sleep(time.Second)
		config := p.Config
		p.mu.Lock()
		p.Config = func() *Config { panic("broken") }
		p.mu.Unlock()
		f.submit(p, batchJob("second", "urgent", "a", "2s", gang(1, 8)))
		time.Sleep(12 * time.Second)
		if n := f.countStarts("second"); n != 0 || p.instruments.panics.Get() == 0 {
			t.Errorf("%d starts, %d panics", n, p.instruments.panics.Get())
		}
		p.mu.Lock()
		p.Config = config
		p.mu.Unlock()
		time.Sleep(4 * time.Second)
		f.expectState(p, "later", "first", batch.JobDone)
		f.expectState(p, "urgent", "second", batch.JobDone)
		if n := f.countStarts("first"); n != 1 {
			t.Errorf("%d starts of the job that was already running", n)
		}
	})
}

// TestTwoPlannersAtOnce keeps a planner running that has lost its connection to
// the store while another one takes over. No task may be started or run twice.
func TestTwoPlannersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		view := f.store.View(2)
		primaryStore := f.store
		f.store = view
		former, stopFormer := f.startPlanner()
		time.Sleep(settleTime)
		for i := range 4 {
			f.submit(former, batchJob(fmt.Sprint("j", i), "later", "a", "6s", gang(2, 8)))
			if i == 1 {
				view.SetFaults(memory.Faults{Silent: true})
				break
			}
		}
		// A job that the former planner cannot store any more.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		v := former.Submit(ctx, EncodeJob(batchJob("doubtful", "later", "a", "6s", gang(2, 8)), f.config.Queues["later"], 0), 0)
		cancel()
		if v.Outcome != OutcomeUnknown {
			t.Errorf("a job that was not stored: %+v", v)
		}
		f.store = primaryStore
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("new", "later", "b", "2s", gang(2, 8)))
		time.Sleep(15 * time.Second)
		stopFormer()
		for _, id := range []string{"j0", "j1", "new"} {
			f.expectState(p, "later", id, batch.JobDone)
			if n := f.countStarts(id); n != 2 {
				t.Errorf("%d starts of %s", n, id)
			}
		}
		if n := f.countStarts("doubtful"); n != 0 {
			t.Errorf("%d starts of a job that was not stored", n)
		}
	})
}

// TestRecordsFitTheStore bounds the rows of the largest job that is accepted.
func TestRecordsFitTheStore(t *testing.T) {
	const rowBytes = 64 << 10
	j := &batch.Job{ID: "j", Payload: strings.Repeat("x", 4000), Steps: []batch.Step{{Tasks: 2048}}, Occurrences: 2}
	if err := j.Validate(); err != nil {
		t.Fatal(err)
	}
	p := batch.NewProgress(j)
	for i := range p.Steps {
		for n := range p.Steps[i].Tasks {
			p.Steps[i].Tasks[n] = batch.Task{
				State: batch.TaskPlaced, Run: 3, Worker: fmt.Sprintf("i-%010x", n%1100), WorkerIncarnation: 1796379235037 + int64(n%1100),
				Checkpoint: fmt.Sprintf("%016x", n),
			}
		}
	}
	for name, m := range map[string]proto.Message{"progress": encodeProgress(p, (&Planner{}).maxRowBytes()), "job": EncodeJob(j, Queue{}, 0)} {
		if n := proto.Size(m); n > rowBytes {
			t.Errorf("%s: %d bytes", name, n)
		}
	}
	j.Occurrences = 3
	var invalid *batch.InvalidError
	if err := j.Validate(); !errors.As(err, &invalid) {
		t.Errorf("job with more tasks than fit into a row: %v", err)
	}
}
