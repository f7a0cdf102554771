// Package batch is the model of a job that consists of steps of tasks. It
// holds no clock and does no input or output.
package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are amounts of what a worker has and a task needs.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether r is contained in other.
func (r Resources) Fits(other Resources) bool {
	return r.MilliCPU <= other.MilliCPU && r.MemoryMB <= other.MemoryMB && r.Accelerators <= other.Accelerators
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns r less other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// acceleratorCores is the number of cores that one accelerator counts as in
// comparisons of size; the users' accounting weighs it so.
const acceleratorCores = 8

// Cores returns r as one number of cores, accelerators included.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of equal tasks.
type Step struct {
	Tasks int
	Need  Resources
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// DependsOn lists the earlier steps that must be done first.
	DependsOn []int
	// Gang marks tasks that work only together.
	Gang bool
	// Adjacent marks a gang that is slower on more than one rack.
	Adjacent bool
	// Checkpoints is set if tasks save their progress.
	Checkpoints bool
	// Label must be among the worker's labels, if it is not empty.
	Label string
	// Rack is where the data is; elsewhere the tasks are slower.
	Rack string
	// MaxPerWorker is the largest number of tasks on one worker; 0 means no limit.
	MaxPerWorker int
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool
	// MaxUnavailable is the number of lasting tasks that may be interrupted at a time.
	MaxUnavailable int
	// BestEffort marks tasks whose CPU is not counted against the worker.
	BestEffort bool
	// Duplicates is set if copies of a task may run at the same time.
	Duplicates bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// Target bounds the response time that the task's own users see.
	Target time.Duration
}

// AllocatedResources returns what a task takes from the room of a worker.
func (s *Step) AllocatedResources() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Job is accepted work. It does not change.
type Job struct {
	ID      string
	Queue   string
	Team    string
	Payload string
	Steps   []Step
	// Accepted is when the job was first received.
	Accepted time.Time
	// First is when the first occurrence is due, and Interval the time between
	// two, if Occurrences is not 0.
	First       time.Time
	Interval    time.Duration
	Occurrences int
}

// Rounds returns how many times the steps run.
func (j *Job) Rounds() int { return max(j.Occurrences, 1) }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// Limits of a job.
const (
	maxSteps   = 64
	maxTasks   = 4096
	maxPayload = 4000
	// maxRuns bounds the tasks of all occurrences: their progress is one row of
	// the store, which holds 64 KB, and is kept in memory.
	maxRuns = 4096
)

// InvalidError reports a job that does not make sense.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Validate returns *InvalidError if the job is malformed.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > maxPayload:
		return &InvalidError{"payload", fmt.Sprintf("has more than %d bytes", maxPayload)}
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return &InvalidError{"steps", fmt.Sprintf("must be 1 to %d", maxSteps)}
	case j.Occurrences < 0 || j.Interval < 0:
		return &InvalidError{"occurrences", "must not be negative"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > maxTasks {
		return &InvalidError{"steps", fmt.Sprintf("have more than %d tasks", maxTasks)}
	}
	if j.Rounds() > maxRuns/tasks {
		return &InvalidError{"occurrences", fmt.Sprintf("have more than %d tasks", maxRuns)}
	}
	return nil
}

func (s *Step) validate(position int) error {
	field := "steps[" + strconv.Itoa(position) + "]"
	switch {
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return &InvalidError{field, fmt.Sprintf("must have 1 to %d tasks", maxTasks)}
	case s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return &InvalidError{field, "needs must not be negative"}
	case s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Target < 0:
		return &InvalidError{field, "numbers must not be negative"}
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= position {
			return &InvalidError{field, fmt.Sprintf("must come after earlier steps, not after step %d", a)}
		}
	}
	return nil
}

// TaskID names a task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads the form that String writes.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is not a task", text)}
	}
	var n [3]int
	for i, part := range parts[1:] {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is not a task", text)}
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
