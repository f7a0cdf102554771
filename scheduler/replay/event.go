package replay

import "time"

// eventKind is the kind of an event.
type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	// eventEnd is the success or failure of an attempt.
	eventEnd
	// eventStopped is the end of an eviction.
	eventStopped
	// eventRound only starts a round.
	eventRound
)

// event is a change in the life cycle of a job, or the start of a round.
type event struct {
	at   time.Time
	kind eventKind
	// job is the index of the job, or -1 for eventRound.
	job int
	// attempt is the attempt that ends; the event is ignored if a later one has
	// begun.
	attempt  int
	sequence int
}

// eventHeap is a heap ordered by time, then by insertion.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
