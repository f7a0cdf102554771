package assignment

import "daisylug.example/scheduler/batch"

// memoryIsScarcest reports whether memory is the resource of which the group needs
// the largest share of the workers of its service. Best fit then compares the free
// memory of workers before their accelerators.
func (d *decider) memoryIsScarcest(g *Group) bool {
	if d.view.IgnoreMemory || g.Need.MemoryMB <= 0 {
		return false
	}
	capacity := d.serviceCapacity(g.Service)
	memory := share(g.Need.MemoryMB, capacity.MemoryMB)
	return memory > share(g.Need.MilliCPU, capacity.MilliCPU) && memory > share(g.Need.Accelerators, capacity.Accelerators)
}

// serviceCapacity returns the capacity of the workers of a service.
func (d *decider) serviceCapacity(service string) batch.Resources {
	if total, ok := d.capacity[service]; ok {
		return total
	}
	total := batch.Resources{}
	for i := range d.view.Workers {
		if w := &d.view.Workers[i]; w.Service == service {
			total = total.Plus(w.Capacity)
		}
	}
	if d.capacity == nil {
		d.capacity = map[string]batch.Resources{}
	}
	d.capacity[service] = total
	return total
}

// share returns the part of the total, or 0 if there is none.
func share(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// memoryShare returns the free share of the memory of a worker, in millionths.
func (d *decider) memoryShare(worker int) int64 {
	return int64(1e6 * share(d.free[worker].MemoryMB, d.view.Workers[worker].Capacity.MemoryMB))
}
