// Package interference learns which kinds of tasks slow each other down on one
// worker. Each run is its own control: its pace while a neighbour is there is
// compared with its pace while it is not, so that the speed of the worker and the
// amount of work cancel out. It reads no clock.
package interference

import (
	"cmp"
	"math/bits"

	"daisylug.example/scheduler/batch"
)

// Kind identifies tasks that run the same program with about the same resources.
type Kind struct {
	Queue string
	Image string
	// Need is the shape of the task: processor and memory rounded up to a power of
	// two, so that jobs that ask for slightly different amounts share their
	// observations, and the exact number of accelerators.
	Need batch.Resources
}

// NewKind returns the kind of a task.
func NewKind(queue, image string, need batch.Resources) Kind {
	need.MilliCPU, need.MemoryMB = roundUp(need.MilliCPU), roundUp(need.MemoryMB)
	return Kind{Queue: queue, Image: image, Need: need}
}

// roundUp returns the smallest power of two that is at least n.
func roundUp(n int64) int64 {
	if n <= 1 {
		return max(n, 0)
	}
	return 1 << bits.Len64(uint64(n-1))
}

// compare orders kinds.
func (k Kind) compare(o Kind) int {
	return cmp.Or(cmp.Compare(k.Queue, o.Queue), cmp.Compare(k.Image, o.Image), cmp.Compare(k.Need.Accelerators, o.Need.Accelerators),
		cmp.Compare(k.Need.MilliCPU, o.Need.MilliCPU), cmp.Compare(k.Need.MemoryMB, o.Need.MemoryMB))
}
