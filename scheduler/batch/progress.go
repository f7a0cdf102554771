package batch

import "time"

// TaskState is the state of a task.
type TaskState int

// States of a task.
const (
	// TaskWaiting means that the task has no current run.
	TaskWaiting TaskState = iota
	// TaskPlaced means that a run of the task is, or may be, on a worker.
	TaskPlaced
	TaskDone
)

// Task is the progress of one task.
type Task struct {
	State TaskState
	// Run is the number of the latest run. The numbers increase.
	Run    int
	Worker string
	// WorkerIncarnation identifies the worker process that received the run.
	WorkerIncarnation int64
	Checkpoint        string
	// Failures counts the failed runs, FailedRun is the number of the latest.
	Failures  int
	FailedRun int
}

// Fail counts a failed run. Repeated reports of the same run count once.
func (t *Task) Fail(run int) {
	if t.FailedRun < run {
		t.Failures++
		t.FailedRun = run
	}
}

// JobState is the state of a job as reported to callers.
type JobState int

// States of a job.
const (
	JobQueued JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// Final reports whether the state is final.
func (s JobState) Final() bool { return s >= JobDone }

// Progress is the progress of a job. Steps holds the steps of all occurrences in
// order.
type Progress struct {
	State JobState
	// Ended is when the state became final.
	Ended time.Time
	Steps []StepProgress
}

// StepProgress is the progress of a step of one occurrence.
type StepProgress struct {
	Tasks []Task
	done  int
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress {
	p := &Progress{Steps: make([]StepProgress, j.OccurrenceCount()*len(j.Steps))}
	for i := range p.Steps {
		p.Steps[i].Tasks = make([]Task, j.Steps[i%len(j.Steps)].Tasks)
	}
	return p
}

// Begun reports whether a task of the job has certainly run. The number of the latest
// run does not tell, since workers refuse starts.
func (p *Progress) Begun() bool {
	if p.State != JobQueued {
		return true
	}
	for i := range p.Steps {
		for t := range p.Steps[i].Tasks {
			if task := &p.Steps[i].Tasks[t]; task.State == TaskDone || task.Failures > 0 || task.Checkpoint != "" {
				return true
			}
		}
	}
	return false
}

// Recount updates the counts of done tasks after task states were set directly.
func (p *Progress) Recount() {
	for i := range p.Steps {
		s := &p.Steps[i]
		s.done = 0
		for t := range s.Tasks {
			if s.Tasks[t].State == TaskDone {
				s.done++
			}
		}
	}
}

// Step returns the progress of a step of an occurrence, or nil.
func (p *Progress) Step(j *Job, occurrence, step int) *StepProgress {
	if occurrence < 0 || occurrence >= len(p.Steps) || step < 0 || step >= len(j.Steps) {
		return nil
	}
	i := occurrence*len(j.Steps) + step
	if i >= len(p.Steps) {
		return nil
	}
	return &p.Steps[i]
}

// Task returns the progress of a task, or nil if the job has no such task.
func (p *Progress) Task(j *Job, id TaskID) *Task {
	s := p.Step(j, id.Occurrence, id.Step)
	if s == nil || id.Index < 0 || id.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[id.Index]
}

// Done reports whether all tasks of the step are done.
func (s *StepProgress) Done() bool { return s.done == len(s.Tasks) }

// Placed returns the number of tasks in the state TaskPlaced.
func (s *StepProgress) Placed() int {
	n := 0
	for i := range s.Tasks {
		if s.Tasks[i].State == TaskPlaced {
			n++
		}
	}
	return n
}

// Finish marks a task as done.
func (s *StepProgress) Finish(index int) {
	if s.Tasks[index].State != TaskDone {
		s.Tasks[index].State = TaskDone
		s.done++
	}
}

// Ready reports whether all steps that the step depends on are done.
func (p *Progress) Ready(j *Job, occurrence, step int) bool {
	for _, dependency := range j.Steps[step].DependsOn {
		if !p.Step(j, occurrence, dependency).Done() {
			return false
		}
	}
	return true
}

// AllDone reports whether every step of every occurrence is done.
func (p *Progress) AllDone() bool {
	for i := range p.Steps {
		if !p.Steps[i].Done() {
			return false
		}
	}
	return true
}
