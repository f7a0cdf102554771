package platform

import (
	"cmp"
	"time"
)

// Generation is a fencing token: it orders the holders of a worker's lease.
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

// Next returns the generation under which holder takes over from g.
func (g Generation) Next(holder string) Generation {
	return Generation{Number: g.Number + 1, Holder: holder}
}

// Lease gives its holder control of a worker until the deadline.
type Lease struct {
	Generation Generation `json:"generation"`
	Deadline   time.Time  `json:"deadline"`
}

// TaskRef identifies one attempt of one member of a gang.
type TaskRef struct {
	Job     string `json:"job"`
	Member  int    `json:"member"`
	Attempt int    `json:"attempt"`
}

// Reservation reserves accelerators for a task.
type Reservation struct {
	Generation   Generation `json:"generation"`
	Task         TaskRef    `json:"task"`
	Team         string     `json:"team"`
	Template     string     `json:"template"`
	Accelerators int        `json:"accelerators"`
	// Members is the number of tasks in the gang.
	Members int `json:"members"`
	// Borrowed is set if the task uses capacity that is guaranteed to another
	// team.
	Borrowed bool `json:"borrowed"`
	// Deadline is when an uncommitted reservation expires.
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
	// Result is kept until the task is acknowledged.
	Result []byte `json:"result,omitempty"`
	// Checksum is the xxHash64 checksum of Result.
	Checksum uint64 `json:"sum,omitempty"`
	// Reason is why the task failed or was stopped.
	Reason string `json:"reason,omitempty"`
}

// Inventory lists the reservations and tasks of a worker.
type Inventory struct {
	Generation Generation `json:"generation"`
	Tasks      []Task     `json:"tasks"`
	// Free is the number of accelerators neither reserved nor in use.
	Free int `json:"free"`
	// Leaving is set if the worker accepts no new work.
	Leaving bool `json:"leaving"`
}

// Checkpoint is the saved progress of a task.
type Checkpoint struct {
	Name string `json:"name"`
	// Progress is the saved share of the work, from 0 to 1.
	Progress float64 `json:"share"`
}

// UsageReport reports the accelerator usage of a task, with a delay.
type UsageReport struct {
	// Sequence increases by 1 with each report of the worker.
	Sequence uint64  `json:"sequence"`
	Task     TaskRef `json:"task"`
	Team     string  `json:"team"`
	// Seconds is the usage since the task's previous report, in
	// accelerator-seconds.
	Seconds float64   `json:"seconds"`
	Until   time.Time `json:"until"`
}

// RequestRef identifies one attempt of a quick request.
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
	// the request after this time.
	Deadline time.Time `json:"deadline"`
	Payload  []byte    `json:"payload,omitempty"`
}

// Answer is the answer to one attempt of a quick request.
type Answer struct {
	Ref RequestRef `json:"ref"`
	// Failed is set if the request ran and failed.
	Failed  bool   `json:"failed,omitempty"`
	Content []byte `json:"content"`
	// Length and Sum (xxHash64) let the receiver detect truncated or corrupted
	// content.
	Length int    `json:"length"`
	Sum    uint64 `json:"sum"`
	// Started and Ended are on the worker's clock; only their difference is
	// meaningful to the receiver.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Load    Load      `json:"load"`
}

// Load is the state of a worker's slots for quick requests.
type Load struct {
	Busy    int  `json:"busy"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Outcome is the state of an attempt of a quick request.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeNotStarted means the attempt never started and never will.
	OutcomeNotStarted Outcome = "notstarted"
	// OutcomeRunning means the attempt is running.
	OutcomeRunning Outcome = "running"
	// OutcomeDone means the attempt has finished.
	OutcomeDone Outcome = "done"
)
