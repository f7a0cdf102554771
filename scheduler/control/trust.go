package control

import (
	"time"

	"daisylug.example/scheduler/assignment"
)

// workerTrust returns what may start on a worker.
func (p *Planner) workerTrust(_ *worker, _ time.Time) assignment.WorkerTrust {
	return assignment.WorkerTrust{}
}

// applyTrust sets which workers a group may use with respect to their failures.
func (p *Planner) applyTrust(_ *job, _ *assignment.Group, _ time.Time) {}
