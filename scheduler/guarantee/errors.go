package guarantee

import (
	"fmt"
	"strings"

	"daisylug.example/scheduler/gang"
)

// Shortage is a number of guaranteed shapes that do not fit the workers.
type Shortage struct {
	Team  string
	Shape gang.Shape
	Count int
}

func (s Shortage) String() string {
	return fmt.Sprintf("%d of %s for team %s", s.Count, s.Shape, s.Team)
}

// InfeasibleError reports guarantees that do not fit the workers.
type InfeasibleError struct {
	Missing []Shortage
	// Accelerators is the number of accelerators of the missing shapes.
	Accelerators int
}

func (e *InfeasibleError) Error() string {
	var parts []string
	for _, m := range e.Missing {
		parts = append(parts, m.String())
	}
	return "no room for guaranteed shapes: " + strings.Join(parts, ", ")
}

// BlockedError reports a cell that cannot be freed by evicting borrowed work.
type BlockedError struct {
	Cell Cell
	// Worker names a worker that stays occupied or is down.
	Worker string
}

func (e *BlockedError) Error() string {
	return fmt.Sprintf("cell %s of team %s on rack %s is blocked on worker %s", e.Cell.Shape, e.Cell.Team, e.Cell.Rack, e.Worker)
}

// AdmissionError reports work that may not run on the given workers.
type AdmissionError struct {
	Job  string
	Rack string
	// Worker names the worker without enough capacity.
	Worker string
	// Guaranteed is set when the capacity is free but guaranteed to other
	// teams and the work is non-preemptible.
	Guaranteed bool
}

func (e *AdmissionError) Error() string {
	if e.Guaranteed {
		return fmt.Sprintf("job %s must not be evicted and worker %s of rack %s is promised to other teams", e.Job, e.Worker, e.Rack)
	}
	return fmt.Sprintf("job %s does not fit worker %s of rack %s", e.Job, e.Worker, e.Rack)
}
