package batch

import (
	"math"
	"testing"
)

// TestProgressOfUnknownTasks guards against a crash by a task that a worker names and
// the job does not have.
func TestProgressOfUnknownTasks(t *testing.T) {
	j := &Job{ID: "j", Steps: []Step{{Tasks: 2}, {Tasks: 1}}, Occurrences: 2}
	p := NewProgress(j)
	for _, id := range []TaskID{
		{Occurrence: -1}, {Occurrence: 2}, {Occurrence: math.MaxInt}, {Occurrence: math.MaxInt / 2}, {Occurrence: math.MinInt},
		{Step: -1}, {Step: 2}, {Step: math.MaxInt}, {Index: -1}, {Index: 2}, {Index: math.MaxInt}, {Occurrence: 1, Step: 1, Index: 1},
	} {
		if task := p.Task(j, id); task != nil {
			t.Errorf("task %+v: %+v", id, task)
		}
	}
	if p.Task(j, TaskID{Occurrence: 1, Step: 1}) == nil {
		t.Error("the last task is not found")
	}
}
