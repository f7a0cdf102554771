package assignment

import (
	"fmt"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

// tightBulk returns single tasks whose objective needs typical workers.
func tightBulk(tasks int) Group {
	g := taskGroup("bulk", tasks, 1)
	g.Priority, g.ReadySince, g.Objective = 2, now, now.Add(3*time.Second)
	return g
}

// TestReservedShapes guards against a reserve that consists of slow workers, or of
// single accelerators on many workers, while urgent gangs need whole fast workers
// of one rack.
func TestReservedShapes(t *testing.T) {
	five := []ReservedShape{{Service: "s", Workers: 5, Block: 5, MinSpeed: 0.62}}
	tests := []struct {
		name string
		view View
		// fits is set if a gang of five whole fast workers fits after the decision;
		// starts is the expected number of starts.
		fits   bool
		starts int
	}{
		{
			name: "a number of accelerators leaves slow workers",
			view: View{Workers: mixedSpeedRacks(2), Groups: []Group{tightBulk(88)}, Reserve: 40},
			fits: false, starts: 88,
		},
		{
			name: "a shape leaves fast workers of one rack",
			view: View{Workers: mixedSpeedRacks(2), Groups: []Group{tightBulk(88)}, ReservedShapes: five},
			fits: true, starts: 88,
		},
		{
			name: "a shape leaves no more than its workers",
			view: View{Workers: mixedSpeedRacks(2), Groups: []Group{tightBulk(128)}, ReservedShapes: five},
			fits: true, starts: 88,
		},
		{
			name: "a shape of another service leaves nothing",
			view: View{Workers: mixedSpeedRacks(2), Groups: []Group{tightBulk(128)}, ReservedShapes: []ReservedShape{{Service: "other", Workers: 5, Block: 5}}},
			fits: false, starts: 128,
		},
		{
			name: "at most half of the workers are left",
			view: View{Workers: mixedSpeedRacks(2), Groups: []Group{tightBulk(128)}, ReservedShapes: []ReservedShape{{Service: "s", Workers: 100, Block: 5}}},
			fits: true, starts: 64,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := tt.view
			v.Now = now
			d := Decide(v)
			for _, s := range d.Starts {
				v.Workers[s.Worker].Free = v.Workers[s.Worker].Free.Minus(v.Groups[s.Group].Need)
			}
			v.Groups, v.Reserve, v.ReservedShapes = []Group{urgentGang(5)}, 0, nil
			// The gang may not be spread over racks or use slow workers.
			v.Groups[0].Objective, v.Groups[0].ReadySince = now.Add(3300*time.Millisecond), now
			onFast := 0
			for _, s := range Decide(v).Starts {
				if v.Workers[s.Worker].Speed == 1 {
					onFast++
				}
			}
			if fits := onFast == 5; fits != tt.fits || len(d.Starts) != tt.starts {
				t.Errorf("fits %v, %d starts, want %v, %d", fits, len(d.Starts), tt.fits, tt.starts)
			}
		})
	}
}

// TestReservedWorkersBecomeFree guards against reserved workers that never become
// free because less urgent work goes on to use them.
func TestReservedWorkersBecomeFree(t *testing.T) {
	view := func() View {
		v := View{Now: now, Workers: idleRacks(2), Groups: []Group{tightBulk(8)}, ReservedShapes: []ReservedShape{{Service: "s", Workers: 4, Block: 4}}}
		for i := range v.Workers {
			useAccelerators(&v.Workers[i], 6)
		}
		// The first rack is closer to having four idle workers.
		useAccelerators(&v.Workers[1], -6)
		useAccelerators(&v.Workers[2], -6)
		return v
	}
	v := view()
	onFirstRack := map[int]int{}
	for _, s := range Decide(v).Starts {
		if s.Worker < 8 {
			onFirstRack[s.Worker]++
		}
	}
	// Workers 0 and 3 are reserved too, and so get no tasks though best fit prefers
	// them.
	if onFirstRack[0]+onFirstRack[1]+onFirstRack[2]+onFirstRack[3] > 0 {
		t.Errorf("tasks by worker of the first rack: %v", onFirstRack)
	}

	v = view()
	urgent := gangGroup("urgent", 2, 8)
	urgent.ReadySince = now
	v.Groups = append(v.Groups, urgent)
	if n := len(v.started(Decide(v), "urgent")); n != 2 {
		t.Errorf("%d starts of the urgent gang on reserved workers, want 2", n)
	}

	v = view()
	for i := range v.Workers {
		v.Workers[i].Free = v.Workers[i].Capacity
	}
	v.Groups[0] = taskGroup("bulk", 16, 4)
	v.Groups[0].Priority, v.Groups[0].ReadySince = 2, now.Add(-placementTimeout)
	v.Groups[0].Need = batch.Resources{MilliCPU: 30000, Accelerators: 4}
	v.ReservedShapes[0].Workers = 8
	onReserved := func(v View) string {
		n := 0
		d := Decide(v)
		for _, s := range d.Starts {
			if s.Worker < 8 {
				n++
			}
		}
		return fmt.Sprint(n > 0)
	}
	relaxed := onReserved(v)
	v.Groups[0].ReadySince = now
	if relaxed != "true" || onReserved(v) != "false" {
		t.Errorf("reserved workers used past the placement timeout: %s, before: %s", relaxed, onReserved(v))
	}
}

// TestReservedWorkersHaveTheCapacity guards against a reserve of workers that
// cannot hold the gangs, such as those without accelerators.
func TestReservedWorkersHaveTheCapacity(t *testing.T) {
	v := View{Now: now, Workers: idleRacks(3), Groups: []Group{tightBulk(128)}}
	for i := range v.Workers {
		if i < 8 {
			v.Workers[i].Capacity.Accelerators, v.Workers[i].Free.Accelerators = 0, 0
		}
	}
	v.ReservedShapes = []ReservedShape{{Service: "s", Workers: 12, Block: 5, PerWorker: batch.Resources{MilliCPU: 5000, Accelerators: 8}}}
	// Half of the 16 workers that have the capacity are left.
	if n := len(Decide(v).Starts); n != 64 {
		t.Errorf("%d starts, want 64", n)
	}
}

// TestGuaranteedWorkUsesReservedWorkers guards against work under a guarantee that
// waits for workers that are kept for expected work.
func TestGuaranteedWorkUsesReservedWorkers(t *testing.T) {
	for _, late := range []bool{false, true} {
		g := gangGroup("g", 8, 8)
		g.Priority, g.Guaranteed, g.ReadySince = 1, true, now
		if late {
			g.Objective = now.Add(time.Second)
		}
		v := View{
			Now: now, Workers: idleRacks(1), Groups: []Group{g}, Stopping: StopPolicy{Sparing: true},
			ReservedShapes: []ReservedShape{{Service: "s", Workers: 4, Block: 4}},
		}
		if d := Decide(v); len(d.Starts) != 8 || len(d.Stops) != 0 {
			t.Errorf("late %v: %d starts, stops %v, want 8 starts", late, len(d.Starts), d.Stops)
		}
	}
}

// TestPinnedWorkDoesNotWaitForever guards against work that never starts because
// all workers that it can use are reserved.
func TestPinnedWorkDoesNotWaitForever(t *testing.T) {
	for name, pin := range map[string]func(v *View){
		"rack of the data": func(v *View) { v.Groups[0].Rack = "r0" },
		"label": func(v *View) {
			v.Groups[0].Label = "big"
			for i := range 4 {
				v.Workers[i].Labels = []string{"big"}
			}
		},
		"gang that needs a whole rack": func(v *View) {
			v.Groups[0] = gangGroup("bulk", 8, 8)
			v.Groups[0].Priority = 2
			for i := 12; i < 16; i++ {
				v.Workers[i].AcceptsTasks = false
			}
		},
		"none": func(*View) {},
	} {
		for waited, starts := range map[time.Duration]bool{0: false, placementTimeout: name != "none"} {
			v := View{Now: now, Workers: idleRacks(2), Groups: []Group{tightBulk(4)}, ReservedShapes: []ReservedShape{{Service: "s", Workers: 8, Block: 8}}}
			// More than half of the service is in use, by work on the other rack.
			for i := 8; i < 16; i++ {
				v.Workers[i].Free = batch.Resources{}
			}
			v.Workers[0].Free.MilliCPU -= 1000
			pin(&v)
			v.Groups[0].ReadySince = now.Add(-waited)
			if got := len(Decide(v).Starts) > 0; got != starts {
				t.Errorf("%s, waited for %v: started %v, want %v", name, waited, got, starts)
			}
		}
	}
}

// BenchmarkReservedShapes measures a large reserve of single workers.
func BenchmarkReservedShapes(b *testing.B) {
	v := View{Now: now, Workers: idleRacks(44), ReservedShapes: []ReservedShape{{Service: "s", Workers: 170, Block: 1}}}
	for b.Loop() {
		Decide(v)
	}
}
