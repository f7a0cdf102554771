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

// put replaces a row of the planner.
func (f *floor) put(table, key string, value []byte) {
	f.t.Helper()
	_, err := f.store.Apply(f.t.Context(), platform.Batch{Writes: []platform.StoredRow{{
		RowKey: platform.RowKey{Table: table, Part: term.Part, Key: key}, Value: value,
	}}})
	if err != nil {
		f.t.Fatal(err)
	}
}

// TestDamagedRecords damages the records of one job. A planner that takes over
// serves the others, and says nothing of this one that may not be true.
func TestDamagedRecords(t *testing.T) {
	ragged, err := proto.Marshal(&schema.BatchProgress{Format: 1, Steps: []*schema.StepProgress{{States: []int32{1, 1, 1}}}})
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
		"columns":           {progressTable, ragged},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 4)
				p, stop := f.planner()
				time.Sleep(settle)
				f.submit(p, batchJob("bad", "later", "a", "3s", gang(1, 8)))
				f.submit(p, batchJob("good", "later", "a", "3s", gang(1, 8)))
				time.Sleep(time.Second)
				stop()
				f.put(c.table, "bad", c.value)
				p, stop = f.planner()
				defer stop()
				time.Sleep(4 * time.Second)
				f.expect(p, "later", "good", batch.JobDone)
				if v := p.State("later", "bad"); v.Outcome != OutcomeUnavailable {
					t.Errorf("state %+v", v)
				}
				again := EncodeJob(batchJob("bad", "later", "a", "3s", gang(1, 8)), f.catalogue.Queues["later"], 0)
				if v := p.Submit(t.Context(), again, 0); v.Outcome != OutcomeUnknown {
					t.Errorf("handed in again: %+v", v)
				}
				if n := f.starts("bad"); n != 1 {
					t.Errorf("%d starts of the damaged job", n)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFloor(t, 4)
		p, stop := f.planner()
		time.Sleep(settle)
		f.submit(p, batchJob("j", "later", "a", "60s", gang(1, 8)))
		stop()
		later, err := proto.Marshal(&schema.BatchProgress{Format: progressFormat + 1})
		if err != nil {
			t.Fatal(err)
		}
		f.put(progressTable, "j", later)
		var format *FormatError
		if err := New(Dependencies{Store: f.store, Metrics: p.Metrics, Log: p.Log}).Load(t.Context()); !errors.As(err, &format) {
			t.Errorf("a record of a later version: %v", err)
		}
	})
}

// TestDecisionThatPanics breaks the configuration, so that every decision
// panics. What runs is not lost, and work goes on with the next one.
func TestDecisionThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFloor(t, 4)
		p, stop := f.planner()
		defer stop()
		time.Sleep(settle)
		f.submit(p, batchJob("first", "later", "a", "15s", gang(1, 8)))
		time.Sleep(time.Second)
		whole := p.Config
		p.mu.Lock()
		p.Config = func() *Config { panic("broken") }
		p.mu.Unlock()
		f.submit(p, batchJob("second", "urgent", "a", "2s", gang(1, 8)))
		time.Sleep(12 * time.Second)
		if n := f.starts("second"); n != 0 || p.meters.faults.Get() == 0 {
			t.Errorf("%d starts, %d faults", n, p.meters.faults.Get())
		}
		p.mu.Lock()
		p.Config = whole
		p.mu.Unlock()
		time.Sleep(4 * time.Second)
		f.expect(p, "later", "first", batch.JobDone)
		f.expect(p, "urgent", "second", batch.JobDone)
		if n := f.starts("first"); n != 1 {
			t.Errorf("%d starts of what ran", n)
		}
	})
}

// TestTwoPlannersAtOnce lets a planner go on that the store no longer answers
// while another one takes over. Nothing runs twice, and nothing is ordered twice.
func TestTwoPlannersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFloor(t, 8)
		view := f.store.View(2)
		whole := f.store
		f.store = view
		former, stopFormer := f.planner()
		time.Sleep(settle)
		for i := range 4 {
			f.submit(former, batchJob(fmt.Sprint("j", i), "later", "a", "6s", gang(2, 8)))
			if i == 1 {
				view.SetFaults(memory.Faults{Silent: true})
				break
			}
		}
		// A job that the former planner cannot store any more.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		v := former.Submit(ctx, EncodeJob(batchJob("doubtful", "later", "a", "6s", gang(2, 8)), f.catalogue.Queues["later"], 0), 0)
		cancel()
		if v.Outcome != OutcomeUnknown {
			t.Errorf("a job that was not stored: %+v", v)
		}
		f.store = whole
		p, stop := f.planner()
		defer stop()
		time.Sleep(settle)
		f.submit(p, batchJob("new", "later", "b", "2s", gang(2, 8)))
		time.Sleep(15 * time.Second)
		stopFormer()
		for _, id := range []string{"j0", "j1", "new"} {
			f.expect(p, "later", id, batch.JobDone)
			if n := f.starts(id); n != 2 {
				t.Errorf("%d starts of %s", n, id)
			}
		}
		if n := f.starts("doubtful"); n != 0 {
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
	for name, m := range map[string]proto.Message{"progress": encodeProgress(p), "job": EncodeJob(j, Queue{}, 0)} {
		if n := proto.Size(m); n > rowBytes {
			t.Errorf("%s: %d bytes", name, n)
		}
	}
	j.Occurrences = 3
	var invalid *batch.InvalidError
	if err := j.Validate(); !errors.As(err, &invalid) {
		t.Errorf("more tasks than a row holds: %v", err)
	}
}
