package control

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/schema"
)

// progressFormat is the format in which progress is stored. Format 0 has a
// record for each task, format 1 a column for each field, which is a tenth of
// the size: the record is written at each change of one of its tasks.
const progressFormat = 1

// FormatError reports a record that a later version has written.
type FormatError struct{ Format int32 }

func (e *FormatError) Error() string { return fmt.Sprintf("format %d is not known", e.Format) }

// SizeError reports columns of different sizes.
type SizeError struct{ Column string }

func (e *SizeError) Error() string { return "column " + e.Column + " does not match the tasks" }

func encodeProgress(p *batch.Progress) *schema.BatchProgress {
	r := &schema.BatchProgress{State: int32(p.State), Steps: make([]*schema.StepProgress, len(p.Steps)), Format: progressFormat}
	if !p.Ended.IsZero() {
		r.Ended = p.Ended.UnixMilli()
	}
	at := map[process]int32{}
	for i := range p.Steps {
		r.Steps[i] = encodeTasks(p.Steps[i].Tasks, r, at)
	}
	if proto.Size(r) > progressBytes {
		// The work is done anew where a planner is replaced; a row that the store
		// does not take would keep all others from being stored.
		for _, s := range r.Steps {
			s.Checkpoints = nil
		}
	}
	return r
}

// progressBytes bounds the record; the store takes rows of 64 KB.
const progressBytes = 60 << 10

// encodeTasks writes the columns of a step. Of a task that is done only that is
// kept.
func encodeTasks(tasks []batch.Task, r *schema.BatchProgress, at map[process]int32) *schema.StepProgress {
	s := &schema.StepProgress{}
	states, runs, places := make([]int32, len(tasks)), make([]int32, len(tasks)), make([]int32, len(tasks))
	failures, failed := make([]int32, len(tasks)), make([]int32, len(tasks))
	checkpoints := make([]string, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		states[i] = int32(t.State)
		if t.State == batch.TaskDone {
			continue
		}
		runs[i], failures[i], failed[i] = int32(t.Run), int32(t.Failures), int32(t.FailedRun)
		checkpoints[i] = t.Checkpoint
		if t.State == batch.TaskPlaced {
			places[i] = place(r, at, t)
		}
	}
	s.States, s.Runs, s.Places = column(states), column(runs), column(places)
	s.Failures, s.Failed, s.Checkpoints = column(failures), column(failed), column(checkpoints)
	return s
}

// process is a process of a worker.
type process struct {
	worker string
	life   int64
}

// place returns the position of the process that has a task.
func place(r *schema.BatchProgress, at map[process]int32, t *batch.Task) int32 {
	key := process{t.Worker, t.WorkerIncarnation}
	n, ok := at[key]
	if !ok {
		r.Processes = append(r.Processes, &schema.WorkerProcess{Worker: t.Worker, Life: t.WorkerIncarnation})
		n = int32(len(r.Processes))
		at[key] = n
	}
	return n
}

// column returns nothing for a column of zeros.
func column[T comparable](values []T) []T {
	var zero T
	if !slices.ContainsFunc(values, func(v T) bool { return v != zero }) {
		return nil
	}
	return values
}

// decodeProgress returns the progress of a job. Steps and tasks that the job
// does not have are left out.
func decodeProgress(j *batch.Job, r *schema.BatchProgress) (*batch.Progress, error) {
	if r.GetFormat() > progressFormat {
		return nil, &FormatError{r.GetFormat()}
	}
	p := batch.NewProgress(j)
	p.State = batch.JobState(r.GetState())
	if r.GetEnded() != 0 {
		p.Ended = time.UnixMilli(r.GetEnded())
	}
	for i, s := range r.GetSteps() {
		if i >= len(p.Steps) {
			break
		}
		if err := decodeTasks(p.Steps[i].Tasks, s, r.GetProcesses()); err != nil {
			return nil, err
		}
	}
	p.Recount()
	return p, nil
}

func decodeTasks(tasks []batch.Task, s *schema.StepProgress, processes []*schema.WorkerProcess) error {
	for t, k := range s.GetTasks() {
		if t >= len(tasks) {
			break
		}
		tasks[t] = batch.Task{
			State: batch.TaskState(k.GetState()), Run: int(k.GetRun()), Worker: k.GetWorker(), WorkerIncarnation: k.GetLife(),
			Checkpoint: k.GetCheckpoint(), Failures: int(k.GetFailures()), FailedRun: int(k.GetFailed()),
		}
	}
	for _, c := range []struct {
		name   string
		length int
	}{
		{"states", len(s.GetStates())}, {"runs", len(s.GetRuns())}, {"places", len(s.GetPlaces())},
		{"checkpoints", len(s.GetCheckpoints())}, {"failures", len(s.GetFailures())}, {"failed", len(s.GetFailed())},
	} {
		if c.length != 0 && c.length != len(tasks) {
			return &SizeError{c.name}
		}
	}
	for i, v := range s.GetStates() {
		tasks[i].State = batch.TaskState(v)
	}
	for i, v := range s.GetRuns() {
		tasks[i].Run = int(v)
	}
	for i, v := range s.GetCheckpoints() {
		tasks[i].Checkpoint = v
	}
	for i, v := range s.GetFailures() {
		tasks[i].Failures = int(v)
	}
	for i, v := range s.GetFailed() {
		tasks[i].FailedRun = int(v)
	}
	for i, v := range s.GetPlaces() {
		if v < 0 || int(v) > len(processes) {
			return &SizeError{"places"}
		}
		if v > 0 {
			tasks[i].Worker, tasks[i].WorkerIncarnation = processes[v-1].GetWorker(), processes[v-1].GetLife()
		}
	}
	return nil
}
