package assignment

import (
	"fmt"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

// TestMemoryBoundWork guards against memory that is used up in pieces: heavy tasks
// take more than half of the memory of a worker and few of its other resources.
func TestMemoryBoundWork(t *testing.T) {
	heavy := func(job string, tasks int) Group {
		g := taskGroup(job, tasks, 0)
		g.Priority, g.ReadySince, g.Need = 1, now, batch.Resources{MilliCPU: 26000, MemoryMB: 70000}
		return g
	}
	medium := heavy("medium", 4)
	medium.Need = batch.Resources{MilliCPU: 5000, MemoryMB: 50000}
	tests := []struct {
		name   string
		group  Group
		change func(v *View)
		// then waits after the group and has to fit completely.
		then Group
		want string
	}{
		{
			name: "tasks go to the workers with the least free memory", group: medium,
			change: func(v *View) {
				for i := range v.Workers {
					// Accelerators and processors suggest the workers 0 to 3, which have
					// all of their memory.
					if i < 4 {
						v.Workers[i].Free.MilliCPU -= 20000
					} else {
						v.Workers[i].Free.MemoryMB -= 70000
					}
				}
			},
			then: heavy("heavy", 4), want: "[4 5 6 7]",
		},
		{
			name: "work that needs accelerators most goes to the workers with the fewest", group: func() Group {
				g := medium
				g.Need = batch.Resources{MilliCPU: 1000, MemoryMB: 11000, Accelerators: 2}
				return g
			}(),
			change: func(v *View) {
				for i := range v.Workers {
					if i < 4 {
						useAccelerators(&v.Workers[i], 6)
					} else {
						v.Workers[i].Free.MemoryMB -= 70000
					}
				}
			},
			then: heavy("heavy", 4), want: "[0 1 2 3]",
		},
	}
	for _, tt := range tests {
		tt.group.Accepted = now.Add(-time.Second)
		v := View{Now: now, Workers: idleRacks(1), Groups: []Group{tt.group, tt.then}}
		tt.change(&v)
		d := Decide(v)
		var workers []int
		for _, s := range v.started(d, tt.group.Job) {
			workers = append(workers, s.Worker)
		}
		if n := len(v.started(d, "heavy")); fmt.Sprint(workers) != tt.want || n != 4 {
			t.Errorf("%s: workers %v, want %s; %d of 4 heavy tasks fit afterwards", tt.name, workers, tt.want, n)
		}
	}
}
