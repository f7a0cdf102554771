package control

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/schema"
)

func TestProgressIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &batch.Job{ID: "j", Steps: []batch.Step{
			{Tasks: rapid.IntRange(1, 20).Draw(t, "first")}, {Tasks: rapid.IntRange(1, 5).Draw(t, "second")},
		}}
		p := batch.NewProgress(j)
		p.State = batch.JobRunning
		for i := range p.Steps {
			for n := range p.Steps[i].Tasks {
				k := &p.Steps[i].Tasks[n]
				k.State = batch.TaskState(rapid.IntRange(0, 2).Draw(t, "state"))
				if k.State == batch.TaskDone {
					continue
				}
				k.Run, k.Failures = rapid.IntRange(0, 9).Draw(t, "run"), rapid.IntRange(0, 2).Draw(t, "failures")
				k.FailedRun = min(k.Run, k.Failures)
				k.Checkpoint = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint")
				if k.State == batch.TaskPlaced {
					k.Worker, k.WorkerIncarnation = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker"), rapid.Int64Range(1, 2).Draw(t, "life")
				}
			}
		}
		p.Recount()
		stored, err := proto.Marshal(encodeProgress(p, (&Planner{}).maxRowBytes()))
		if err != nil {
			t.Fatal(err)
		}
		record := &schema.BatchProgress{}
		if err := proto.Unmarshal(stored, record); err != nil {
			t.Fatal(err)
		}
		got, err := decodeProgress(j, record)
		if err != nil || !reflect.DeepEqual(got, p) {
			t.Fatalf("got %+v, want %+v, error %v", got, p, err)
		}
	})
}

func TestRecordsOfOtherVersions(t *testing.T) {
	j := &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 2}}}
	previous := &schema.BatchProgress{Steps: []*schema.StepProgress{{Tasks: []*schema.BatchTask{
		{State: int32(batch.TaskDone)}, {State: int32(batch.TaskPlaced), Run: 3, Worker: "w", Life: 7, Checkpoint: "c", Failures: 1, Failed: 2},
	}}}}
	p, err := decodeProgress(j, previous)
	if err != nil {
		t.Fatal(err)
	}
	want := batch.Task{State: batch.TaskPlaced, Run: 3, Worker: "w", WorkerIncarnation: 7, Checkpoint: "c", Failures: 1, FailedRun: 2}
	if tasks := p.Step(j, 0, 0).Tasks; tasks[0].State != batch.TaskDone || tasks[1] != want {
		t.Errorf("format 0: %+v", tasks)
	}
	var format *FormatError
	if _, err := decodeProgress(j, &schema.BatchProgress{Format: progressFormat + 1}); !errors.As(err, &format) {
		t.Errorf("a later format: error %v", err)
	}
	for name, s := range map[string]*schema.StepProgress{
		"a short column":           {States: []int32{1}},
		"an index without process": {States: []int32{1, 1}, Places: []int32{1, 2}},
		"a negative index":         {Places: []int32{-1, 0}},
	} {
		var size *SizeError
		if _, err := decodeProgress(j, &schema.BatchProgress{
			Format: 1, Steps: []*schema.StepProgress{s}, Processes: []*schema.WorkerProcess{{Worker: "w"}},
		}); !errors.As(err, &size) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestProgressIsSmall bounds the record of a wide step, since it is written at
// each change of one of its tasks.
func TestProgressIsSmall(t *testing.T) {
	j := &batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 100}}}
	p := batch.NewProgress(j)
	for i := range p.Steps[0].Tasks {
		p.Steps[0].Tasks[i] = batch.Task{State: batch.TaskPlaced, Run: 1, Worker: fmt.Sprintf("i-%08x", i/4), WorkerIncarnation: 1796379235037}
	}
	const bytesPerTask = 10
	if n := proto.Size(encodeProgress(p, (&Planner{}).maxRowBytes())); n > 100*bytesPerTask {
		t.Errorf("%d bytes", n)
	}
}
