package platform

import (
	"cmp"
	"time"
)

// Generation orders the holders of a worker's lease (a fencing token).
type Generation struct {
	Number uint64 `json:"number"`
	Holder string `json:"holder"`
}

// Compare orders generations by number, then by holder.
func (g Generation) Compare(other Generation) int {
	if c := cmp.Compare(g.Number, other.Number); c != 0 {
		return c
	}
	return cmp.Compare(g.Holder, other.Holder)
}

// Next returns the generation with which holder takes over from g.
func (g Generation) Next(holder string) Generation {
	return Generation{Number: g.Number + 1, Holder: holder}
}

// Lease gives its holder command of a worker until the deadline.
type Lease struct {
	Generation Generation `json:"generation"`
	Deadline   time.Time  `json:"deadline"`
}

// TaskRef names one attempt of one member of a gang.
type TaskRef struct {
	Job     string `json:"job"`
	Member  int    `json:"member"`
	Attempt int    `json:"attempt"`
}

// Reservation holds accelerators for a task.
type Reservation struct {
	Generation   Generation `json:"generation"`
	Task         TaskRef    `json:"task"`
	Team         string     `json:"team"`
	Template     string     `json:"template"`
	Accelerators int        `json:"accelerators"`
	// Members is the number of tasks in the gang.
	Members int `json:"members"`
	// Borrowed marks work on capacity that is guaranteed to another team.
	Borrowed bool `json:"borrowed"`
	// Deadline is when an uncommitted reservation lapses.
	Deadline time.Time `json:"deadline"`
	// Checkpoint names the checkpoint to resume from, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task.
const (
	TaskReserved TaskState = "reserved"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// Task is one entry of a worker's inventory.
type Task struct {
	Reservation Reservation `json:"reservation"`
	State       TaskState   `json:"state"`
	Started     time.Time   `json:"started,omitzero"`
	Ended       time.Time   `json:"ended,omitzero"`
	// Result is kept until it is acknowledged.
	Result []byte `json:"result,omitempty"`
	// Sum is the xxhash64 of Result.
	Sum uint64 `json:"sum,omitempty"`
	// Reason tells why a task failed or was stopped.
	Reason string `json:"reason,omitempty"`
}

// Inventory is what a worker holds.
type Inventory struct {
	Generation Generation `json:"generation"`
	Tasks      []Task     `json:"tasks"`
	// Free is the number of accelerators neither reserved nor in use.
	Free int `json:"free"`
	// Leaving is set when the worker takes no new work.
	Leaving bool `json:"leaving"`
}

// Checkpoint is the saved progress of a task.
type Checkpoint struct {
	Name string `json:"name"`
	// Share is the part of the work that is saved, from 0 to 1.
	Share float64 `json:"share"`
}

// UsageReport is one lagging report of accelerator use by a task.
type UsageReport struct {
	// Sequence grows by 1 with each report of the worker.
	Sequence uint64  `json:"sequence"`
	Task     TaskRef `json:"task"`
	Team     string  `json:"team"`
	// Seconds is the use since the task's previous report, in
	// accelerator-seconds.
	Seconds float64   `json:"seconds"`
	Until   time.Time `json:"until"`
}

// RequestRef names one attempt of a quick request.
type RequestRef struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
}

// Request is one attempt of a quick request.
type Request struct {
	Ref      RequestRef `json:"ref"`
	Team     string     `json:"team"`
	Template string     `json:"template"`
	// Deadline is when the answer becomes useless; the worker does not start
	// the request after it.
	Deadline time.Time `json:"deadline"`
	Payload  []byte    `json:"payload,omitempty"`
}

// Answer is the answer to one attempt of a quick request.
type Answer struct {
	Ref RequestRef `json:"ref"`
	// Failed is set when the request ran and failed.
	Failed  bool   `json:"failed,omitempty"`
	Content []byte `json:"content"`
	// Length and Sum (xxhash64) let the receiver detect a truncated or
	// altered content.
	Length int    `json:"length"`
	Sum    uint64 `json:"sum"`
	// Started and Ended are on the worker's clock; only their difference
	// means anything to the receiver.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Load    Load      `json:"load"`
}

// Load is the state of a worker's quick slots.
type Load struct {
	Busy    int  `json:"busy"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Outcome tells what became of an attempt of a quick request.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeNotStarted means the attempt never started and never will.
	OutcomeNotStarted Outcome = "notstarted"
	// OutcomeRunning means the attempt is running.
	OutcomeRunning Outcome = "running"
	// OutcomeDone means the attempt has run to its end.
	OutcomeDone Outcome = "done"
)
