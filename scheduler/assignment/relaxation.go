package assignment

import (
	"time"

	"daisylug.example/scheduler/batch"
)

// placementTimeout is how long tasks wait for the best workers while others have
// plenty of free capacity.
const placementTimeout = 1500 * time.Millisecond

// isOverdue reports whether a long-running task or gang that ran before has waited for
// placementTimeout.
func (g *Group) isOverdue(now time.Time) bool {
	return g.Restarts && now.Sub(g.ReadySince) >= placementTimeout
}

// mayRelaxPlacement reports whether the tasks should stop waiting for better
// workers: they have waited for placementTimeout, less than half of the service's
// capacity is in use unless they are overdue, and they fit twice, on workers that need
// not be approved yet. If no run of the job is in progress or the tasks are overdue, and
// they can start one by one, one task has to fit: any more would be stopped again for
// the expected urgent work.
func (d *decider) mayRelaxPlacement(g *Group) bool {
	if d.view.Now.Sub(g.ReadySince) < placementTimeout {
		return false
	}
	var free, total batch.Resources
	slots, anyWorker := 0, g.approved()
	for _, i := range d.accepting.workers {
		if w := &d.view.Workers[i]; w.Service == g.Service {
			unheld := d.unheldFree(i)
			free, total = free.Plus(unheld), total.Plus(w.Capacity)
			slots += d.slots(anyWorker, i, unheld)
		}
	}
	tasks, need := len(g.Indexes), g.totalNeed()
	overdue := g.isOverdue(d.view.Now)
	if (overdue || g.Idle) && !g.Gang {
		tasks, need = 1, g.Need
	}
	half := batch.Resources{MilliCPU: total.MilliCPU / 2, MemoryMB: total.MemoryMB / 2, Accelerators: total.Accelerators / 2}
	return (overdue || half.Fits(free)) && slots >= tasks && need.Times(2).Fits(free)
}
