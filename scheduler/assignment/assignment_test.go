package assignment

import (
	"fmt"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

var now = time.Unix(1000, 0)

// racks returns n racks of 8 idle workers with 64 cores and 8 accelerators.
func racks(n int) []Worker {
	var all []Worker
	for i := range 8 * n {
		c := batch.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
		all = append(all, Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/8), Capacity: c, Free: c, Speed: 1, Open: true,
		})
	}
	return all
}

// tasks returns a waiting group.
func tasks(job string, n int, accelerators int64) Group {
	g := Group{
		Job: job, Service: "s", Need: batch.Resources{MilliCPU: 5000, MemoryMB: 11000, Accelerators: accelerators},
		Accepted: now, Objective: now.Add(10 * time.Second), Length: 2 * time.Second,
	}
	for i := range n {
		g.Indexes = append(g.Indexes, i)
	}
	return g
}

func gangOf(job string, n int, accelerators int64) Group {
	g := tasks(job, n, accelerators)
	g.Gang, g.Adjacent = true, true
	return g
}

// use takes accelerators of a worker.
func use(w *Worker, n int64) { w.Free.Accelerators -= n }

func (v View) started(d Decision, job string) []Start {
	var all []Start
	for _, s := range d.Starts {
		if v.Groups[s.Group].Job == job {
			all = append(all, s)
		}
	}
	return all
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name  string
		view  func() View
		check func(t *testing.T, v View, d Decision)
	}{
		{
			name: "an adjacent gang stays on one rack",
			view: func() View {
				v := View{Now: now, Workers: racks(2), Groups: []Group{gangOf("g", 8, 8)}}
				use(&v.Workers[0], 1)
				return v
			},
			check: func(t *testing.T, v View, d Decision) {
				starts := v.started(d, "g")
				if len(starts) != 8 {
					t.Fatalf("%d starts", len(starts))
				}
				for _, s := range starts {
					if v.Workers[s.Worker].Rack != "r1" {
						t.Errorf("task on %s", v.Workers[s.Worker].Rack)
					}
				}
			},
		},
		{
			name: "a gang that does not fit starts nothing",
			view: func() View {
				v := View{Now: now, Workers: racks(1), Groups: []Group{gangOf("g", 8, 8)}}
				use(&v.Workers[3], 1)
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 0 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a gang wider than a rack is spread",
			view: func() View { return View{Now: now, Workers: racks(2), Groups: []Group{gangOf("g", 12, 8)}} },
			check: func(t *testing.T, v View, d Decision) {
				if n := len(v.started(d, "g")); n != 12 {
					t.Errorf("%d starts", n)
				}
			},
		},
		{
			name: "tasks go to the rack of their data",
			view: func() View {
				g := tasks("g", 4, 1)
				g.Rack = "r1"
				return View{Now: now, Workers: racks(2), Groups: []Group{g}}
			},
			check: func(t *testing.T, v View, d Decision) {
				for _, s := range v.started(d, "g") {
					if v.Workers[s.Worker].Rack != "r1" {
						t.Errorf("task on %s", v.Workers[s.Worker].Rack)
					}
				}
			},
		},
		{
			name: "no more tasks of a step on a worker than allowed",
			view: func() View {
				g := tasks("g", 20, 1)
				g.MaxPerWorker, g.RunningPerWorker = 2, map[string]int{"w00": 1}
				return View{Now: now, Workers: racks(1), Groups: []Group{g}}
			},
			check: func(t *testing.T, v View, d Decision) {
				n := map[int]int{}
				for _, s := range v.started(d, "g") {
					n[s.Worker]++
				}
				if n[0] > 1 || len(d.Starts) != 15 {
					t.Errorf("%d on the first worker, %d starts", n[0], len(d.Starts))
				}
			},
		},
		{
			name: "a label is required",
			view: func() View {
				g := tasks("g", 2, 1)
				g.Label = "x"
				v := View{Now: now, Workers: racks(1), Groups: []Group{g}}
				v.Workers[5].Labels = []string{"x"}
				return v
			},
			check: func(t *testing.T, v View, d Decision) {
				for _, s := range v.started(d, "g") {
					if s.Worker != 5 {
						t.Errorf("task on worker %d", s.Worker)
					}
				}
			},
		},
		{
			name: "urgent work goes first, hopeless work last",
			view: func() View {
				hopeless, urgent, other := gangOf("hopeless", 8, 8), gangOf("urgent", 8, 8), gangOf("other", 8, 8)
				hopeless.Accepted, hopeless.Objective = now.Add(-time.Hour), now.Add(-50*time.Minute)
				other.Priority = 1
				return View{Now: now, Workers: racks(1), Groups: []Group{hopeless, other, urgent}}
			},
			check: func(t *testing.T, v View, d Decision) {
				if len(v.started(d, "urgent")) != 8 {
					t.Error("urgent work waits")
				}
			},
		},
		{
			name: "urgent work takes fast workers, other work leaves them",
			view: func() View {
				urgent, other := tasks("urgent", 1, 8), tasks("other", 1, 8)
				other.Priority = 1
				v := View{Now: now, Workers: racks(1), Groups: []Group{other, urgent}}
				v.Workers[2].Speed, v.Workers[6].Speed = 1.8, 0.6
				return v
			},
			check: func(t *testing.T, v View, d Decision) {
				if v.started(d, "urgent")[0].Worker != 2 || v.started(d, "other")[0].Worker != 6 {
					t.Errorf("starts %v", d.Starts)
				}
			},
		},
		{
			name: "room for expected urgent work stays free",
			view: func() View {
				other := tasks("other", 64, 1)
				other.Priority = 2
				return View{Now: now, Workers: racks(1), Groups: []Group{other}, Reserve: 24}
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 40 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a backlog of urgent work does not keep the workers idle",
			view: func() View {
				other := tasks("other", 64, 1)
				other.Priority, other.Since = 2, now
				return View{Now: now, Workers: racks(1), Groups: []Group{other}, Reserve: 3000}
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 32 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "one task of an idle job that has waited too long starts while half of the room is free",
			view: func() View {
				other, going := tasks("other", 40, 1), tasks("going", 40, 1)
				other.Priority, other.Since, other.Idle = 2, now.Add(-2*time.Second), true
				going.Priority, going.Since = 2, now.Add(-2*time.Second)
				v := View{Now: now, Workers: racks(1), Groups: []Group{other, going}, Reserve: 37}
				for i := range 4 {
					use(&v.Workers[i], 8)
				}
				return v
			},
			check: func(t *testing.T, v View, d Decision) {
				if n, m := len(v.started(d, "other")), len(v.started(d, "going")); n != 1 || m != 0 {
					t.Errorf("%d and %d starts", n, m)
				}
			},
		},
		{
			name: "tasks that have waited long do not use the reserve while half of the room is free",
			view: func() View {
				other := tasks("other", 40, 1)
				other.Priority, other.Since = 2, now.Add(-2*time.Second)
				v := View{Now: now, Workers: racks(1), Groups: []Group{other}, Reserve: 37}
				for i := range 3 {
					use(&v.Workers[i], 8)
				}
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				// 40 of 64 are free, of which half of all may be taken.
				if len(d.Starts) < 8 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "an adjacent gang is spread after a while if most of the room is free",
			view: func() View {
				g := gangOf("g", 8, 8)
				g.Since = now.Add(-2 * time.Second)
				v := View{Now: now, Workers: racks(3), Groups: []Group{g}, Reserve: 190}
				for i := 0; i < len(v.Workers); i += 8 {
					use(&v.Workers[i], 1)
				}
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 8 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "an adjacent gang waits for its rack while the workers are busy",
			view: func() View {
				g := gangOf("g", 8, 8)
				g.Since = now.Add(-2 * time.Second)
				v := View{Now: now, Workers: racks(3), Groups: []Group{g}}
				for i := 0; i < len(v.Workers); i += 2 {
					use(&v.Workers[i], 8)
				}
				use(&v.Workers[1], 1)
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 0 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a blocked gang keeps the room that it can use",
			view: func() View {
				large, small := gangOf("large", 8, 8), tasks("small", 8, 8)
				small.Priority = 1
				v := View{Now: now, Workers: racks(1), Groups: []Group{large, small}}
				use(&v.Workers[0], 8)
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 0 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := tt.view()
			tt.check(t, v, Decide(v))
		})
	}
}

// full returns a view in which borrowed runs of one task fill a rack; the run
// on worker i would lose i + 1 core-seconds.
func full(g Group) View {
	v := View{Now: now, Workers: racks(1), Groups: []Group{g}}
	for i := range v.Workers {
		use(&v.Workers[i], 8)
		v.Running = append(v.Running, Running{
			Job: fmt.Sprint("run", i), Priority: 1, Borrowed: true, LostWork: float64(i + 1),
			Allocations: []Allocation{{Worker: i, Need: batch.Resources{Accelerators: 8}}},
		})
	}
	return v
}

func TestReclaim(t *testing.T) {
	covered := gangOf("g", 2, 8)
	covered.Guaranteed, covered.Since = true, now

	t.Run("stops what loses the least and holds the room", func(t *testing.T) {
		d := Decide(full(covered))
		if len(d.Stops) != 2 || d.Stops[0] != 0 || d.Stops[1] != 1 || len(d.Reservations) != 1 {
			t.Errorf("stops %v, holds %v", d.Stops, d.Reservations)
		}
	})
	t.Run("stops nothing twice for the same group", func(t *testing.T) {
		g := covered
		g.ReservedWorkers = []int{0, 1}
		if d := Decide(full(g)); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("starts where room was made, if only there", func(t *testing.T) {
		tests := map[string]func(g *Group){
			"spread over racks":    func(g *Group) { g.Gang, g.Adjacent = true, true },
			"away from their data": func(g *Group) { g.Rack = "r0" },
		}
		for name, change := range tests {
			g := tasks("g", 2, 8)
			g.Guaranteed = true
			change(&g)
			v := View{Now: now, Workers: racks(2), Groups: []Group{g}}
			for i := range v.Workers {
				// Covered runs occupy all workers but one of each rack, or the
				// whole rack of the data.
				if i%8 != 3 || g.Rack != "" && i < 8 {
					use(&v.Workers[i], 8)
				}
			}
			if g.Rack != "" {
				use(&v.Workers[9], -8)
			}
			seats := []int{3, 11}
			if g.Rack != "" {
				seats = []int{9, 11}
			}
			v.Groups[0].ReservedWorkers = seats
			if d := Decide(v); len(d.Starts) != 2 {
				t.Errorf("%s: %d starts", name, len(d.Starts))
			}
		}
	})
	t.Run("room made for one job is not taken by a later one", func(t *testing.T) {
		early, late := covered, gangOf("h", 2, 8)
		early.Accepted = now.Add(-3 * time.Second)
		early.Objective, early.ReservedWorkers = now, []int{0, 1}
		late.Guaranteed = true
		v := full(early)
		v.Groups = append(v.Groups, late)
		// One of the two workers is free already, and a third one.
		use(&v.Workers[0], -8)
		use(&v.Workers[2], -8)
		d := Decide(v)
		if n := len(v.started(d, "h")); n != 0 {
			t.Errorf("%d starts of the later job", n)
		}
	})
	t.Run("stops nothing without a guarantee", func(t *testing.T) {
		if d := Decide(full(gangOf("g", 2, 8))); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("moves covered runs for work that has not begun, if nothing else helps", func(t *testing.T) {
		for _, fresh := range []bool{true, false} {
			g := covered
			g.NeverStarted = fresh
			v := full(g)
			for i := range v.Running {
				v.Running[i].Borrowed = i == 7
			}
			d := Decide(v)
			if want := map[bool]int{true: 2}[fresh]; len(d.Stops) != want {
				t.Errorf("fresh %v: stops %v", fresh, d.Stops)
			}
		}
	})
	t.Run("stops nothing that is covered itself", func(t *testing.T) {
		v := full(covered)
		for i := range v.Running {
			v.Running[i].Borrowed = false
		}
		if d := Decide(v); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("waits for runs that end soon, covered or not", func(t *testing.T) {
		v := full(covered)
		v.Running[5].EndsSoon, v.Running[6].EndsSoon, v.Running[6].Borrowed = true, true, false
		d := Decide(v)
		if len(d.Stops) != 0 || len(d.Reservations) != 1 || d.Reservations[0].Workers[0]+d.Reservations[0].Workers[1] != 11 {
			t.Errorf("stops %v, holds %v", d.Stops, d.Reservations)
		}
	})
	t.Run("does not wait for runs that did not end", func(t *testing.T) {
		g := covered
		g.Since = now.Add(-patience)
		v := full(g)
		v.Running[5].EndsSoon, v.Running[6].EndsSoon, v.Running[6].Borrowed = true, true, false
		if d := Decide(v); len(d.Stops) != 2 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("takes urgent runs last", func(t *testing.T) {
		half := batch.Resources{Accelerators: 4}
		g := gangOf("g", 1, 4)
		g.Guaranteed = true
		v := View{Now: now, Workers: racks(1)[:1], Groups: []Group{g}, Running: []Running{
			{Job: "urgent", Borrowed: true, Allocations: []Allocation{{Worker: 0, Need: half}}},
			{Job: "other", Priority: 1, Borrowed: true, LostWork: 500, Allocations: []Allocation{{Worker: 0, Need: half}}},
		}}
		use(&v.Workers[0], 8)
		if d := Decide(v); len(d.Stops) != 1 || d.Stops[0] != 1 {
			t.Errorf("stops %v", d.Stops)
		}
	})
}
