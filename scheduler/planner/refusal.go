package planner

import (
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/queue"
)

// Refuse returns a *queue.RefusedError if the job can never run on the racks under
// the plan, whatever else runs there. Workers that are down count as available,
// since they may come back.
func Refuse(j queue.Job, racks []gang.Rack, plan guarantee.Plan, now time.Time) error {
	if e := refuse(j, racks, plan, now); e != nil {
		return e
	}
	return nil
}

func refuse(j queue.Job, racks []gang.Rack, plan guarantee.Plan, now time.Time) *queue.RefusedError {
	e := &queue.RefusedError{Job: j.ID, Shape: j.Shape}
	if j.Shape.Validate() != nil {
		e.Reason = queue.ReasonShape
		return e
	}
	if !j.Deadline.IsZero() && !j.Deadline.After(now) {
		e.Reason = queue.ReasonDeadline
		return e
	}
	if e.MaxWorkersOnRack = maxFittingWorkers(racks, j.Shape.Accelerators, gang.Rack.Worker); e.MaxWorkersOnRack < j.Shape.Workers {
		e.Reason = queue.ReasonRack
		return e
	}
	if j.NonPreemptible && !hasCell(plan, j) {
		spare := func(r gang.Rack, i int) gang.Worker { return gang.Worker{Accelerators: plan.Spare(r, i)} }
		if e.MaxWorkersOnRack = maxFittingWorkers(racks, j.Shape.Accelerators, spare); e.MaxWorkersOnRack < j.Shape.Workers {
			e.Reason = queue.ReasonGuarantee
			return e
		}
	}
	return nil
}

// maxFittingWorkers returns the largest number of workers of one rack with at least
// n accelerators.
func maxFittingWorkers(racks []gang.Rack, n int, worker func(gang.Rack, int) gang.Worker) int {
	most := 0
	for _, r := range racks {
		count := 0
		for i := range r.Len() {
			if worker(r, i).Accelerators >= n {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func hasCell(plan guarantee.Plan, j queue.Job) bool {
	for _, c := range plan.OfTeam(j.Team) {
		if c.Shape == j.Shape {
			return true
		}
	}
	return false
}
