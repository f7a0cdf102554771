// Package batch models jobs that consist of steps of tasks. It reads no clock and
// does no input or output.
package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are the amounts that a worker provides or a task requires.
type Resources struct {
	MilliCPU     int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether r does not exceed other in any resource.
func (r Resources) Fits(other Resources) bool {
	return r.MilliCPU <= other.MilliCPU && r.MemoryMB <= other.MemoryMB && r.Accelerators <= other.Accelerators
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference of r and other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Min returns the smaller of each of the resources of r and other, but not less than 0
// where r has any.
func (r Resources) Min(other Resources) Resources {
	least := func(a, b int64) int64 { return min(a, max(b, 0)) }
	return Resources{least(r.MilliCPU, other.MilliCPU), least(r.MemoryMB, other.MemoryMB), least(r.Accelerators, other.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// CountIn returns how many times r fits into the capacity, at most limit.
func (r Resources) CountIn(capacity Resources, limit int) int {
	n := int64(max(limit, 0))
	for _, v := range [...]struct{ need, capacity int64 }{
		{r.MilliCPU, capacity.MilliCPU}, {r.MemoryMB, capacity.MemoryMB}, {r.Accelerators, capacity.Accelerators},
	} {
		if v.need > 0 {
			n = min(n, max(v.capacity, 0)/v.need)
		}
	}
	return int(n)
}

// acceleratorCores is the number of cores that one accelerator counts as when
// sizes are compared. The users' accounting uses the same weight.
const acceleratorCores = 8

// Cores returns the size of r in cores, accelerators included.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int
	Need  Resources
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// DependsOn lists the positions of the earlier steps that must be done first.
	DependsOn []int
	// Gang marks tasks that can only run all at once.
	Gang bool
	// Adjacent marks a gang that runs slower when spread over several racks.
	Adjacent bool
	// Checkpoints is set if tasks save checkpoints of their progress.
	Checkpoints bool
	// Label is a label that the worker must have, or empty.
	Label string
	// Rack is the rack that holds the data. On other racks the tasks are slower.
	Rack string
	// MaxPerWorker is the largest number of tasks on one worker; 0 means no limit.
	MaxPerWorker int
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool
	// MaxUnavailable is the number of long-running tasks that may be interrupted
	// at a time.
	MaxUnavailable int
	// BestEffort marks tasks whose CPU is not counted against the worker.
	BestEffort bool
	// Duplicates is set if several runs of a task may be active at the same time.
	Duplicates bool
	// Image names the program. Tasks of one image have similar run times.
	Image string
	// TargetLatency is the largest acceptable tail latency of a task that serves
	// latency-sensitive traffic; 0 means that it serves none.
	TargetLatency time.Duration
}

// AllocatedResources returns the resources of its worker that a task takes up.
func (s *Step) AllocatedResources() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID    string
	Queue string
	// Path is where callers know the job, whatever the name of the queue is now. It may
	// be empty.
	Path    string
	Team    string
	Payload string
	Steps   []Step
	// AcceptedAt is when the job was first received.
	AcceptedAt time.Time
	// FirstDue is when the first occurrence is due and Interval the time between
	// occurrences. Both apply only if Occurrences is not 0.
	FirstDue    time.Time
	Interval    time.Duration
	Occurrences int
}

// OccurrenceCount returns the number of times that the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due returns the earliest start time of an occurrence.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// MaxSteps is the maximum number of steps of a job.
const MaxSteps = 64

// Limits on a job.
const (
	maxTasks   = 4096
	maxPayload = 4000
	// maxTaskRuns limits the tasks of all occurrences together, because their
	// progress is kept in memory and in one row of the store, which holds 64 KB.
	maxTaskRuns = 4096
)

// InvalidError reports an invalid field of a job.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Validate returns an *InvalidError if the job is invalid.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > maxPayload:
		return &InvalidError{"payload", fmt.Sprintf("has more than %d bytes", maxPayload)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &InvalidError{"steps", fmt.Sprintf("must be 1 to %d", MaxSteps)}
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
	if j.OccurrenceCount() > maxTaskRuns/tasks {
		return &InvalidError{"occurrences", fmt.Sprintf("have more than %d tasks", maxTaskRuns)}
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
	case s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TargetLatency < 0:
		return &InvalidError{field, "numbers must not be negative"}
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= position {
			return &InvalidError{field, fmt.Sprintf("must come after earlier steps, not after step %d", dependency)}
		}
	}
	return nil
}

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the format of TaskID.String.
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
