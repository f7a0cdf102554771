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
// record for each task. Format 1 has a column for each field, which takes a
// tenth of the size; the record is written at each change of one of its tasks.
const progressFormat = 1

// FormatError reports a record written by a later version.
type FormatError struct{ Format int32 }

func (e *FormatError) Error() string {
	return fmt.Sprintf("progress format %d is not supported", e.Format)
}

// SizeError reports a column that does not match the tasks or processes of its
// record.
type SizeError struct{ Column string }

func (e *SizeError) Error() string {
	return "column " + e.Column + " does not match the number of tasks or processes"
}

// encodeProgress returns the record of the progress, without checkpoints if it would
// have more than maxBytes otherwise.
func encodeProgress(p *batch.Progress, maxBytes int) *schema.BatchProgress {
	r := &schema.BatchProgress{State: int32(p.State), Steps: make([]*schema.StepProgress, len(p.Steps)), Format: progressFormat}
	if !p.Ended.IsZero() {
		r.Ended = p.Ended.UnixMilli()
	}
	indexes := map[workerProcess]int32{}
	for i := range p.Steps {
		r.Steps[i] = encodeTasks(p.Steps[i].Tasks, r, indexes)
	}
	if proto.Size(r) > maxBytes {
		// Without checkpoints, work is repeated if a planner takes over. A row
		// that exceeds the store's limit would keep all others from being
		// stored.
		for _, s := range r.Steps {
			s.Checkpoints = nil
		}
	}
	return r
}

// encodeTasks encodes the columns of a step. For a task that is done only the
// state is stored.
func encodeTasks(tasks []batch.Task, r *schema.BatchProgress, indexes map[workerProcess]int32) *schema.StepProgress {
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
			places[i] = processIndex(r, indexes, t)
		}
	}
	s.States, s.Runs, s.Places = omitZeros(states), omitZeros(runs), omitZeros(places)
	s.Failures, s.Failed, s.Checkpoints = omitZeros(failures), omitZeros(failed), omitZeros(checkpoints)
	return s
}

// workerProcess identifies an entry of the record's list of worker processes.
type workerProcess struct {
	worker      string
	incarnation int64
}

// processIndex returns the 1-based index of a task's process in the record and
// adds the process if it is missing.
func processIndex(r *schema.BatchProgress, indexes map[workerProcess]int32, t *batch.Task) int32 {
	key := workerProcess{t.Worker, t.WorkerIncarnation}
	n, ok := indexes[key]
	if !ok {
		r.Processes = append(r.Processes, &schema.WorkerProcess{Worker: t.Worker, Life: t.WorkerIncarnation})
		n = int32(len(r.Processes))
		indexes[key] = n
	}
	return n
}

// omitZeros returns nil for a column of zero values.
func omitZeros[T comparable](values []T) []T {
	var zero T
	if !slices.ContainsFunc(values, func(v T) bool { return v != zero }) {
		return nil
	}
	return values
}

// decodeProgress returns the progress of a job. It ignores steps and tasks that
// the job does not have.
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
