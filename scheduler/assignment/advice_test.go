package assignment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

// adviseOn restricts a group to workers with tickets, by position in idleRacks.
func adviseOn(g Group, tickets ...int) Group {
	g.Allowed = map[string]bool{}
	for _, w := range tickets {
		g.Allowed[fmt.Sprintf("w%02d", w)] = true
	}
	return g
}

// occupy puts a run of low priority on all accelerators of the workers.
func occupy(v *View, workers ...int) {
	for _, w := range workers {
		useAccelerators(&v.Workers[w], 8)
		v.Running = append(v.Running, Running{
			Job: fmt.Sprint("long", w), Priority: 1, Borrowed: true, LostWork: float64(w),
			Allocations: []Allocation{{Worker: w, Need: batch.Resources{Accelerators: 8}}},
		})
	}
}

// span returns the numbers from first to last.
func span(first, last int) []int {
	var all []int
	for i := first; i <= last; i++ {
		all = append(all, i)
	}
	return all
}

// TestAdviceFollowsPlacement guards against requests for advice by which no task can
// start: where the adviser's response alone decides whether a group starts, it must
// be asked about workers on which the group would be placed.
func TestAdviceFollowsPlacement(t *testing.T) {
	tests := []struct {
		name string
		view func() View
		// asked are the first workers to ask about, others those after them. A nil
		// asked means that no advice is requested.
		asked, others []int
		starts, stops int
	}{
		{
			name: "free workers",
			view: func() View {
				return View{Workers: idleRacks(1), Groups: []Group{adviseOn(taskGroup("a", 1, 8))}}
			},
			asked: []int{0}, others: []int{1, 2, 3},
		},
		{
			name: "a ticket is enough",
			view: func() View {
				return View{Workers: idleRacks(1), Groups: []Group{adviseOn(taskGroup("a", 2, 4), 5)}}
			},
			starts: 2,
		},
		{
			name: "too few tickets",
			view: func() View {
				return View{Workers: idleRacks(1), Groups: []Group{adviseOn(taskGroup("a", 2, 8), 5)}}
			},
			asked: []int{0}, others: []int{1, 2, 3}, starts: 1,
		},
		{
			name: "a request in progress",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.AdvicePending = true
				return View{Workers: idleRacks(1), Groups: []Group{g}}
			},
		},
		{
			name: "workers at the step's limit",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 1), span(0, 5)...)
				g.MaxPerWorker, g.RunningPerWorker = 1, map[string]int{}
				v := View{Workers: idleRacks(1)}
				for i := range 6 {
					g.RunningPerWorker[v.Workers[i].ID] = 1
				}
				useAccelerators(&v.Workers[6], 4)
				useAccelerators(&v.Workers[7], 4)
				v.Groups = []Group{g}
				return v
			},
			asked: []int{6}, others: []int{7},
		},
		{
			name: "the limit counts tasks that start now",
			view: func() View {
				g := adviseOn(taskGroup("a", 3, 1), 0)
				g.MaxPerWorker = 1
				return View{Workers: idleRacks(1)[:3], Groups: []Group{g}}
			},
			asked: []int{1, 2}, starts: 1,
		},
		{
			name: "rejected workers",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.Rejected = map[string]bool{"w00": true, "w01": true}
				return View{Workers: idleRacks(1)[:4], Groups: []Group{g}}
			},
			asked: []int{2}, others: []int{3},
		},
		{
			name: "workers that accept no tasks",
			view: func() View {
				v := View{Workers: idleRacks(1)[:4], Groups: []Group{adviseOn(taskGroup("a", 1, 8))}}
				v.Workers[0].AcceptsTasks = false
				v.Workers[1].Trust = WorkerTrust{Limited: true, Excluded: true}
				return v
			},
			asked: []int{2}, others: []int{3},
		},
		{
			name: "the rack of the data before tickets elsewhere",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8), 0)
				g.Rack, g.ReadySince = "r1", now
				return View{Workers: idleRacks(2), Groups: []Group{g}}
			},
			asked: []int{8}, others: []int{9, 10, 11},
		},
		{
			name: "a rack of the data that rejects all",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8), 0)
				g.Rack, g.ReadySince, g.Rejected = "r1", now, map[string]bool{}
				for i := 8; i < 16; i++ {
					g.Rejected[fmt.Sprintf("w%02d", i)] = true
				}
				return View{Workers: idleRacks(2), Groups: []Group{g}}
			},
			starts: 1,
		},
		{
			name: "an adjacent gang needs one rack",
			view: func() View {
				g := adviseOn(gangGroup("a", 3, 8), 0, 8, 16)
				g.ReadySince = now
				v := View{Workers: idleRacks(3), Groups: []Group{g}}
				occupy(&v, span(3, 7)...)
				occupy(&v, span(10, 15)...)
				return v
			},
			asked: []int{1, 2}, others: []int{17, 18, 19, 20},
		},
		{
			name: "full workers",
			view: func() View {
				v := View{Workers: idleRacks(1), Groups: []Group{adviseOn(taskGroup("a", 1, 8))}}
				occupy(&v, span(0, 7)...)
				return v
			},
		},
		{
			name: "full workers and a guarantee",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.Guaranteed = true
				v := View{Workers: idleRacks(1), Groups: []Group{g}}
				occupy(&v, span(0, 7)...)
				return v
			},
			asked: []int{0}, others: []int{1, 2, 3},
		},
		{
			name: "a guarantee and a ticket",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8), 5)
				g.Guaranteed = true
				v := View{Workers: idleRacks(1), Groups: []Group{g}}
				occupy(&v, span(0, 7)...)
				return v
			},
			stops: 1,
		},
		{
			name: "a guarantee waits for advice on free workers",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8), 5)
				g.Guaranteed = true
				v := View{Workers: idleRacks(1), Groups: []Group{g}}
				occupy(&v, span(0, 6)...)
				return v
			},
			asked: []int{7}, others: []int{0, 1, 2},
		},
		{
			name: "reserved workers whose tickets have expired",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.Guaranteed, g.ReservedWorkers = true, []int{3}
				return View{Workers: idleRacks(1), Groups: []Group{g}}
			},
			asked: []int{3}, others: []int{0, 1, 2},
		},
		{
			name: "an objective that needs fast workers",
			view: func() View {
				v := View{Workers: mixedSpeedRacks(1), Groups: []Group{adviseOn(urgentGang(2))}}
				occupyFastWorkers(&v, 1)
				return v
			},
			asked: []int{1, 2}, others: []int{3, 5},
		},
		{
			name: "half of the room is kept for urgent work",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.Priority, g.ReadySince = 1, now.Add(-placementTimeout)
				v := View{Workers: idleRacks(1), Groups: []Group{g}, Reserve: 64}
				occupy(&v, span(0, 3)...)
				return v
			},
			asked: []int{4}, others: []int{5, 6, 7},
		},
		{
			name: "half of the room is kept for urgent work, with a ticket",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8), 7)
				g.Priority, g.ReadySince = 1, now.Add(-placementTimeout)
				v := View{Workers: idleRacks(1), Groups: []Group{g}, Reserve: 64}
				occupy(&v, span(0, 3)...)
				return v
			},
			starts: 1,
		},
		{
			name: "a data rack that is full for long",
			view: func() View {
				g := adviseOn(taskGroup("a", 1, 8))
				g.Rack, g.ReadySince = "r1", now.Add(-placementTimeout)
				v := View{Workers: idleRacks(2), Groups: []Group{g}}
				occupy(&v, span(8, 15)...)
				return v
			},
			asked: []int{0}, others: []int{1, 2, 3},
		},
		{
			name: "workers that the group does not trust yet",
			view: func() View {
				v := View{Workers: idleRacks(1)[:2], Groups: []Group{adviseOn(taskGroup("a", 1, 8))}}
				for i := range v.Workers {
					v.Workers[i].Trust = WorkerTrust{Limited: true, NewTasks: 1}
				}
				return v
			},
			asked: []int{0}, others: []int{1},
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			v := c.view()
			v.Now = now
			d := Decide(v)
			if len(d.Starts) != c.starts || len(d.Stops) != c.stops {
				t.Errorf("%d starts and %d stops, want %d and %d", len(d.Starts), len(d.Stops), c.starts, c.stops)
			}
			for _, s := range d.Starts {
				if g := &v.Groups[s.Group]; !g.Allowed[v.Workers[s.Worker].ID] {
					t.Errorf("task %d starts on worker %d without a ticket", s.Index, s.Worker)
				}
			}
			var asked []int
			for _, r := range d.Advice {
				asked = append(asked, r.Workers...)
			}
			if want := append(slices.Clone(c.asked), c.others...); !slices.Equal(asked, want) {
				t.Errorf("advice on workers %v, want %v", asked, want)
			}
		})
	}
}

// TestAdviceHoldsRoom guards against guaranteed groups and gangs whose room is taken
// by work of lower rank each time that they wait for the adviser.
func TestAdviceHoldsRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		group Group
		// free is the number of small tasks that may start beside it.
		free int
	}{
		{"a gang", adviseOn(gangGroup("a", 4, 8)), 4},
		{"a guaranteed task", func() Group {
			g := adviseOn(taskGroup("a", 1, 8))
			g.Guaranteed = true
			return g
		}(), 7},
		{"a task", adviseOn(taskGroup("a", 1, 8)), 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			small := taskGroup("small", 8, 8)
			small.Priority, small.Accepted = 1, now.Add(time.Second)
			c.group.AdvicePending = true
			v := View{Now: now, Workers: idleRacks(1), Groups: []Group{c.group, small}}
			if n := len(v.started(Decide(v), "small")); n != c.free {
				t.Errorf("%d small tasks started, want %d", n, c.free)
			}
		})
	}
}
