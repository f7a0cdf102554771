// Package overload decides what happens while the work of a service exceeds its
// capacity: when that is the case, in which order the teams are served, and which
// jobs are refused because their results would come too late to be of use. All
// values are immutable, and nothing here reads a clock.
package overload

import (
	"math"
	"time"

	"daisylug.example/scheduler/batch"
)

// Amount is an amount of each resource, or of each resource times seconds.
type Amount struct{ CPU, Memory, Accelerators float64 }

// AmountOf returns resources as an amount.
func AmountOf(r batch.Resources) Amount {
	return Amount{float64(r.MilliCPU), float64(r.MemoryMB), float64(r.Accelerators)}
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Times returns a multiplied by f.
func (a Amount) Times(f float64) Amount { return Amount{a.CPU * f, a.Memory * f, a.Accelerators * f} }

// For returns the amount that a, in use for the duration, adds up to. A negative
// duration counts as zero.
func (a Amount) For(d time.Duration) Amount { return a.Times(max(d, 0).Seconds()) }

// Max returns the larger of a and b for each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// Min returns the smaller of a and b for each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.CPU, b.CPU), min(a.Memory, b.Memory), min(a.Accelerators, b.Accelerators)}
}

// Of returns a without the resources that the need does not include.
func (a Amount) Of(need Amount) Amount {
	if need.CPU <= 0 {
		a.CPU = 0
	}
	if need.Memory <= 0 {
		a.Memory = 0
	}
	if need.Accelerators <= 0 {
		a.Accelerators = 0
	}
	return a
}

// covers reports whether a is at least b for each resource.
func (a Amount) covers(b Amount) bool {
	return a.CPU >= b.CPU && a.Memory >= b.Memory && a.Accelerators >= b.Accelerators
}

// Occupied returns what a task occupies of a worker if others of its kind fill the
// worker: the resource that is exhausted first is divided among as many as fit. A task
// that takes 140 of 256 GB occupies all of them.
func (a Amount) Occupied(worker Amount) Amount {
	share := a.Dominant(worker)
	if share <= 0 || share > 1 {
		return a
	}
	part := 1 / math.Floor(1/share)
	if ratio(a.CPU, worker.CPU) == share {
		a.CPU = worker.CPU * part
	}
	if ratio(a.Memory, worker.Memory) == share {
		a.Memory = worker.Memory * part
	}
	if ratio(a.Accelerators, worker.Accelerators) == share {
		a.Accelerators = worker.Accelerators * part
	}
	return a
}

// unavailable is the ratio of a need to a resource of which there is nothing. It
// is finite, so that sums and differences remain comparable.
const unavailable = 1e6

// Dominant returns the largest ratio of a resource of a to that of the total.
func (a Amount) Dominant(total Amount) float64 {
	return max(ratio(a.CPU, total.CPU), ratio(a.Memory, total.Memory), ratio(a.Accelerators, total.Accelerators))
}

func ratio(need, total float64) float64 {
	switch {
	case need <= 0:
		return 0
	case total <= 0:
		return unavailable
	}
	return min(need/total, unavailable)
}
