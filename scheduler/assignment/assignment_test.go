package assignment

import (
	"fmt"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

var now = time.Unix(1000, 0)

// idleRacks returns n racks of 8 idle workers with 64 cores and 8 accelerators.
func idleRacks(n int) []Worker {
	var all []Worker
	for i := range 8 * n {
		c := batch.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
		all = append(all, Worker{
			ID: fmt.Sprintf("w%02d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/8), Capacity: c, Free: c, Speed: 1, AcceptsTasks: true,
		})
	}
	return all
}

// taskGroup returns a waiting group of n independent tasks.
func taskGroup(job string, n int, accelerators int64) Group {
	g := Group{
		Job: job, Service: "s", Need: batch.Resources{MilliCPU: 5000, MemoryMB: 11000, Accelerators: accelerators},
		Accepted: now, Objective: now.Add(10 * time.Second), ExpectedDuration: 2 * time.Second,
	}
	for i := range n {
		g.Indexes = append(g.Indexes, i)
	}
	return g
}

func gangGroup(job string, n int, accelerators int64) Group {
	g := taskGroup(job, n, accelerators)
	g.Gang, g.Adjacent = true, true
	return g
}

// useAccelerators marks n accelerators of the worker as used.
func useAccelerators(w *Worker, n int64) { w.Free.Accelerators -= n }

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
				v := View{Now: now, Workers: idleRacks(2), Groups: []Group{gangGroup("g", 8, 8)}}
				useAccelerators(&v.Workers[0], 1)
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
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{gangGroup("g", 8, 8)}}
				useAccelerators(&v.Workers[3], 1)
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 0 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a gang larger than a rack is spread over racks",
			view: func() View { return View{Now: now, Workers: idleRacks(2), Groups: []Group{gangGroup("g", 12, 8)}} },
			check: func(t *testing.T, v View, d Decision) {
				if n := len(v.started(d, "g")); n != 12 {
					t.Errorf("%d starts", n)
				}
			},
		},
		{
			name: "tasks go to the rack of their data",
			view: func() View {
				g := taskGroup("g", 4, 1)
				g.Rack = "r1"
				return View{Now: now, Workers: idleRacks(2), Groups: []Group{g}}
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
				g := taskGroup("g", 20, 1)
				g.MaxPerWorker, g.RunningPerWorker = 2, map[string]int{"w00": 1}
				return View{Now: now, Workers: idleRacks(1), Groups: []Group{g}}
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
				g := taskGroup("g", 2, 1)
				g.Label = "x"
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{g}}
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
			name: "urgent work goes first, work too late to be useful last",
			view: func() View {
				expired, urgent, other := gangGroup("hopeless", 8, 8), gangGroup("urgent", 8, 8), gangGroup("other", 8, 8)
				expired.Accepted, expired.Objective = now.Add(-time.Hour), now.Add(-50*time.Minute)
				other.Priority = 1
				return View{Now: now, Workers: idleRacks(1), Groups: []Group{expired, other, urgent}}
			},
			check: func(t *testing.T, v View, d Decision) {
				if len(v.started(d, "urgent")) != 8 {
					t.Error("urgent work was not started")
				}
			},
		},
		{
			name: "urgent work prefers fast workers, other work slow ones",
			view: func() View {
				urgent, other := taskGroup("urgent", 1, 8), taskGroup("other", 1, 8)
				other.Priority = 1
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{other, urgent}}
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
			name: "the reserve for expected urgent work stays free",
			view: func() View {
				other := taskGroup("other", 64, 1)
				other.Priority = 2
				return View{Now: now, Workers: idleRacks(1), Groups: []Group{other}, Reserve: 24}
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 40 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a reserve above the capacity does not keep all workers idle",
			view: func() View {
				other := taskGroup("other", 64, 1)
				other.Priority, other.ReadySince = 2, now
				return View{Now: now, Workers: idleRacks(1), Groups: []Group{other}, Reserve: 3000}
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 32 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "one task of an idle job past the placement wait starts while half of the capacity is free",
			view: func() View {
				other, running := taskGroup("other", 40, 1), taskGroup("going", 40, 1)
				other.Priority, other.ReadySince, other.Idle = 2, now.Add(-2*time.Second), true
				running.Priority, running.ReadySince = 2, now.Add(-2*time.Second)
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{other, running}, Reserve: 37}
				for i := range 4 {
					useAccelerators(&v.Workers[i], 8)
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
			name: "tasks past the placement wait use the capacity outside the reserve",
			view: func() View {
				other := taskGroup("other", 40, 1)
				other.Priority, other.ReadySince = 2, now.Add(-2*time.Second)
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{other}, Reserve: 37}
				for i := range 3 {
					useAccelerators(&v.Workers[i], 8)
				}
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				// 40 of 64 accelerators are free and the reserve is capped at 32.
				if len(d.Starts) < 8 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "an adjacent gang is spread after the placement wait if most of the capacity is free",
			view: func() View {
				g := gangGroup("g", 8, 8)
				g.ReadySince = now.Add(-2 * time.Second)
				v := View{Now: now, Workers: idleRacks(3), Groups: []Group{g}, Reserve: 190}
				for i := 0; i < len(v.Workers); i += 8 {
					useAccelerators(&v.Workers[i], 1)
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
			name: "an adjacent gang waits for a whole rack while the workers are busy",
			view: func() View {
				g := gangGroup("g", 8, 8)
				g.ReadySince = now.Add(-2 * time.Second)
				v := View{Now: now, Workers: idleRacks(3), Groups: []Group{g}}
				for i := 0; i < len(v.Workers); i += 2 {
					useAccelerators(&v.Workers[i], 8)
				}
				useAccelerators(&v.Workers[1], 1)
				return v
			},
			check: func(t *testing.T, _ View, d Decision) {
				if len(d.Starts) != 0 {
					t.Errorf("%d starts", len(d.Starts))
				}
			},
		},
		{
			name: "a blocked gang reserves the slots that it can use",
			view: func() View {
				large, small := gangGroup("large", 8, 8), taskGroup("small", 8, 8)
				small.Priority = 1
				v := View{Now: now, Workers: idleRacks(1), Groups: []Group{large, small}}
				useAccelerators(&v.Workers[0], 8)
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

// fullRackView returns a view of one rack filled by borrowed runs of one task
// each. Stopping the run on worker i loses i + 1 core-seconds.
func fullRackView(g Group) View {
	v := View{Now: now, Workers: idleRacks(1), Groups: []Group{g}}
	for i := range v.Workers {
		useAccelerators(&v.Workers[i], 8)
		v.Running = append(v.Running, Running{
			Job: fmt.Sprint("run", i), Priority: 1, Borrowed: true, LostWork: float64(i + 1),
			Allocations: []Allocation{{Worker: i, Need: batch.Resources{Accelerators: 8}}},
		})
	}
	return v
}

func TestReclaim(t *testing.T) {
	guaranteed := gangGroup("g", 2, 8)
	guaranteed.Guaranteed, guaranteed.ReadySince = true, now

	t.Run("stops the runs with the least lost work and reserves their workers", func(t *testing.T) {
		d := Decide(fullRackView(guaranteed))
		if len(d.Stops) != 2 || d.Stops[0] != 0 || d.Stops[1] != 1 || len(d.Reservations) != 1 {
			t.Errorf("stops %v, reservations %v", d.Stops, d.Reservations)
		}
	})
	t.Run("stops nothing twice for the same group", func(t *testing.T) {
		g := guaranteed
		g.ReservedWorkers = []int{0, 1}
		if d := Decide(fullRackView(g)); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("starts on reserved workers that it would not choose otherwise", func(t *testing.T) {
		tests := map[string]func(g *Group){
			"spread over racks":    func(g *Group) { g.Gang, g.Adjacent = true, true },
			"away from their data": func(g *Group) { g.Rack = "r0" },
		}
		for name, change := range tests {
			g := taskGroup("g", 2, 8)
			g.Guaranteed = true
			change(&g)
			v := View{Now: now, Workers: idleRacks(2), Groups: []Group{g}}
			for i := range v.Workers {
				// Guaranteed runs occupy all workers but one of each rack, or the
				// whole rack of the data.
				if i%8 != 3 || g.Rack != "" && i < 8 {
					useAccelerators(&v.Workers[i], 8)
				}
			}
			if g.Rack != "" {
				useAccelerators(&v.Workers[9], -8)
			}
			slots := []int{3, 11}
			if g.Rack != "" {
				slots = []int{9, 11}
			}
			v.Groups[0].ReservedWorkers = slots
			if d := Decide(v); len(d.Starts) != 2 {
				t.Errorf("%s: %d starts", name, len(d.Starts))
			}
		}
	})
	t.Run("workers reserved for one job are not taken by a later one", func(t *testing.T) {
		early, late := guaranteed, gangGroup("h", 2, 8)
		early.Accepted = now.Add(-3 * time.Second)
		early.Objective, early.ReservedWorkers = now, []int{0, 1}
		late.Guaranteed = true
		v := fullRackView(early)
		v.Groups = append(v.Groups, late)
		// One of the two reserved workers is free already, and so is a third one.
		useAccelerators(&v.Workers[0], -8)
		useAccelerators(&v.Workers[2], -8)
		d := Decide(v)
		if n := len(v.started(d, "h")); n != 0 {
			t.Errorf("%d starts of the later job", n)
		}
	})
	t.Run("stops nothing without a guarantee", func(t *testing.T) {
		if d := Decide(fullRackView(gangGroup("g", 2, 8))); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("stops guaranteed runs only for a job that never started", func(t *testing.T) {
		for _, neverStarted := range []bool{true, false} {
			g := guaranteed
			g.NeverStarted = neverStarted
			v := fullRackView(g)
			for i := range v.Running {
				v.Running[i].Borrowed = i == 7
			}
			d := Decide(v)
			if want := map[bool]int{true: 2}[neverStarted]; len(d.Stops) != want {
				t.Errorf("never started %v: stops %v", neverStarted, d.Stops)
			}
		}
	})
	// Its other tasks would stop the runs that have just been started, again and again.
	t.Run("stops no run of the job itself", func(t *testing.T) {
		g := taskGroup("g", 2, 8)
		g.Guaranteed, g.NeverStarted = true, true
		v := fullRackView(g)
		for i := range v.Running {
			v.Running[i].Borrowed = i == 7
			if i < 7 {
				v.Running[i].Job = "g"
			}
		}
		if d := Decide(v); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("stops no guaranteed run", func(t *testing.T) {
		v := fullRackView(guaranteed)
		for i := range v.Running {
			v.Running[i].Borrowed = false
		}
		if d := Decide(v); len(d.Stops) != 0 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("waits for runs that end soon, guaranteed or not", func(t *testing.T) {
		v := fullRackView(guaranteed)
		v.Running[5].EndsSoon, v.Running[6].EndsSoon, v.Running[6].Borrowed = true, true, false
		d := Decide(v)
		if len(d.Stops) != 0 || len(d.Reservations) != 1 || d.Reservations[0].Workers[0]+d.Reservations[0].Workers[1] != 11 {
			t.Errorf("stops %v, reservations %v", d.Stops, d.Reservations)
		}
	})
	t.Run("stops waiting for runs that did not end in time", func(t *testing.T) {
		g := guaranteed
		g.ReadySince = now.Add(-runEndTimeout)
		v := fullRackView(g)
		v.Running[5].EndsSoon, v.Running[6].EndsSoon, v.Running[6].Borrowed = true, true, false
		if d := Decide(v); len(d.Stops) != 2 {
			t.Errorf("stops %v", d.Stops)
		}
	})
	t.Run("stops urgent runs last", func(t *testing.T) {
		half := batch.Resources{Accelerators: 4}
		g := gangGroup("g", 1, 4)
		g.Guaranteed = true
		v := View{Now: now, Workers: idleRacks(1)[:1], Groups: []Group{g}, Running: []Running{
			{Job: "urgent", Borrowed: true, Allocations: []Allocation{{Worker: 0, Need: half}}},
			{Job: "other", Priority: 1, Borrowed: true, LostWork: 500, Allocations: []Allocation{{Worker: 0, Need: half}}},
		}}
		useAccelerators(&v.Workers[0], 8)
		if d := Decide(v); len(d.Stops) != 1 || d.Stops[0] != 1 {
			t.Errorf("stops %v", d.Stops)
		}
	})
}

// TestShareInRank guards against shares that outrank guarantees, usefulness, priority
// or the objective, and against any effect of equal shares.
func TestShareInRank(t *testing.T) {
	older, newer := taskGroup("older", 1, 1), taskGroup("newer", 1, 1)
	older.Accepted = now.Add(-time.Second)
	older.Share = 0.5
	tests := []struct {
		name string
		// change changes the older group, which has the higher share.
		change     func(*Group)
		olderFirst bool
	}{
		{"the lower share comes first", func(*Group) {}, false},
		{"equal shares leave the order by age", func(g *Group) { g.Share = 0 }, true},
		{"a guarantee comes first", func(g *Group) { g.Guaranteed = true }, true},
		{"the other has lower priority", func(g *Group) { g.Priority = -1 }, true},
		{"the other may still be on time", func(g *Group) { g.Share, g.Objective = -1, now.Add(time.Second) }, false},
	}
	for _, tt := range tests {
		o := older
		tt.change(&o)
		if got := rank(View{Now: now, Groups: []Group{newer, o}}); (got[0] == 1) != tt.olderFirst {
			t.Errorf("%s: order %v", tt.name, got)
		}
	}
}

// TestOverdueLongRunningTask guards against a long-running task that stays away after
// its worker has left, because the rack of its data is full, because a blocked gang
// holds the room, or because room is kept for urgent work.
func TestOverdueLongRunningTask(t *testing.T) {
	newTask := func() Group {
		g := taskGroup("lasting", 1, 1)
		g.Priority, g.Restarts, g.ReadySince = 2, true, now.Add(-placementTimeout)
		return g
	}
	fill := func(v *View, used int64, workers ...int) {
		for _, w := range workers {
			useAccelerators(&v.Workers[w], used)
		}
	}
	for _, c := range []struct {
		name   string
		view   func() View
		starts int
	}{
		{"full rack of its data", func() View {
			g := newTask()
			g.Rack = "r1"
			v := View{Workers: idleRacks(2), Groups: []Group{g}}
			fill(&v, 8, span(8, 15)...)
			fill(&v, 8, span(0, 4)...)
			return v
		}, 1},
		{"full rack of its data, just lost", func() View {
			g := newTask()
			g.Rack, g.ReadySince = "r1", now
			v := View{Workers: idleRacks(2), Groups: []Group{g}}
			fill(&v, 8, span(8, 15)...)
			fill(&v, 8, span(0, 4)...)
			return v
		}, 0},
		{"room for one task only", func() View {
			g := newTask()
			g.Rack = "r1"
			v := View{Workers: idleRacks(2), Groups: []Group{g}}
			fill(&v, 8, span(1, 15)...)
			fill(&v, 7, 0)
			return v
		}, 0},
		{"a blocked gang", func() View {
			wide := gangGroup("gang", 6, 8)
			wide.Priority, wide.Adjacent, wide.ReadySince = 1, false, now.Add(-10*time.Second)
			v := View{Workers: idleRacks(1), Groups: []Group{wide, newTask()}}
			fill(&v, 8, 0, 1, 2)
			return v
		}, 1},
		{"a gang, room kept for urgent work", func() View {
			g := gangGroup("lasting", 2, 8)
			g.Priority, g.Restarts, g.Adjacent, g.ReadySince = 2, true, false, now.Add(-placementTimeout)
			v := View{Workers: idleRacks(2), Groups: []Group{g}, Reserve: 64}
			fill(&v, 8, span(0, 9)...)
			return v
		}, 2},
		{"a gang without room twice over, room kept for urgent work", func() View {
			g := gangGroup("lasting", 2, 8)
			g.Priority, g.Restarts, g.Adjacent, g.ReadySince = 2, true, false, now.Add(-placementTimeout)
			v := View{Workers: idleRacks(1), Groups: []Group{g}, Reserve: 64}
			fill(&v, 8, span(0, 4)...)
			return v
		}, 0},
		{"a gang behind a blocked gang", func() View {
			wide, g := gangGroup("gang", 6, 8), gangGroup("lasting", 2, 8)
			wide.Priority, wide.Adjacent, wide.ReadySince = 1, false, now.Add(-10*time.Second)
			g.Priority, g.Restarts, g.Adjacent, g.ReadySince = 2, true, false, now.Add(-placementTimeout)
			v := View{Workers: idleRacks(1), Groups: []Group{wide, g}}
			fill(&v, 8, 0, 1, 2)
			return v
		}, 2},
		{"room kept for urgent work", func() View {
			v := View{Workers: idleRacks(1), Groups: []Group{newTask()}, Reserve: 64}
			fill(&v, 8, span(0, 3)...)
			fill(&v, 4, 4)
			return v
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := c.view()
			v.Now = now
			if n := len(v.started(Decide(v), "lasting")); n != c.starts {
				t.Errorf("%d starts, want %d", n, c.starts)
			}
		})
	}
}
