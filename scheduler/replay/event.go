package replay

import "time"

// kind is the kind of an event.
type kind int

const (
	eventArrive kind = iota
	eventCancel
	eventEnd
	eventStopped
	eventRound
)

// event is something that happens to a job, or a round.
type event struct {
	at   time.Time
	kind kind
	job  int
	// attempt is the attempt that ends; a later one makes the event void.
	attempt int
	order   int
}

// events is a heap ordered by time, then by insertion.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
