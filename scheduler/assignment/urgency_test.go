package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

// mixedSpeedRacks returns idle racks on which every fourth worker is slow.
func mixedSpeedRacks(n int) []Worker {
	all := idleRacks(n)
	for i := range all {
		if i%4 == 0 {
			all[i].Speed = 0.46
		}
	}
	return all
}

// urgentGang returns a gang that a slow worker would not finish in time.
func urgentGang(n int) Group {
	g := gangGroup("urgent", n, 8)
	g.ReadySince, g.Objective = now, now.Add(3300*time.Millisecond)
	return g
}

// occupyFastWorkers puts a run of low priority on all accelerators of each fast
// worker.
func occupyFastWorkers(v *View, loss float64) {
	for i := range v.Workers {
		if v.Workers[i].Speed == 1 {
			useAccelerators(&v.Workers[i], 8)
			v.Running = append(v.Running, Running{
				Job: fmt.Sprint("long", i), Priority: 1, Borrowed: true, LostWork: loss,
				Allocations: []Allocation{{Worker: i, Need: batch.Resources{Accelerators: 8}}},
			})
		}
	}
}

func TestHurry(t *testing.T) {
	tests := []struct {
		name string
		view func() View
		// stops, reservations and slow are the expected numbers; slow counts the
		// tasks that start on slow workers.
		stops, reservations, slow int
	}{
		{
			name: "runs with little to lose on fast workers are stopped",
			view: func() View {
				v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				occupyFastWorkers(&v, 10)
				return v
			},
			stops: 2, reservations: 1,
		},
		{
			name: "runs with much to lose are not stopped",
			view: func() View {
				v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				occupyFastWorkers(&v, 1000)
				return v
			},
			slow: 2,
		},
		{
			name: "tasks past the preemption window start on any workers",
			view: func() View {
				v := View{Now: now.Add(preemptionWindow), Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				occupyFastWorkers(&v, 10)
				return v
			},
			slow: 2,
		},
		{
			name: "nothing is stopped when the objective cannot be met",
			view: func() View {
				v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				v.Groups[0].Objective = now.Add(time.Second)
				occupyFastWorkers(&v, 10)
				return v
			},
			slow: 2,
		},
		{
			name: "urgent runs are not stopped",
			view: func() View {
				v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				occupyFastWorkers(&v, 10)
				for i := range v.Running {
					v.Running[i].Priority = 0
				}
				return v
			},
			slow: 2,
		},
		{
			name: "an adjacent gang that needs the slow workers of its rack takes them",
			view: func() View {
				return View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(8)}}
			},
			slow: 2,
		},
		{
			name: "the group waits for its reservation",
			view: func() View {
				v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
				occupyFastWorkers(&v, 10)
				v.Groups[0].ReservedWorkers = []int{1, 2}
				return v
			},
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			v := c.view()
			d := Decide(v)
			slow := 0
			for _, s := range d.Starts {
				if v.Workers[s.Worker].Speed < 1 {
					slow++
				}
			}
			if len(d.Stops) != c.stops || len(d.Reservations) != c.reservations || slow != c.slow {
				t.Errorf("%d stops, %d reservations, %d starts on slow workers; want %d, %d, %d",
					len(d.Stops), len(d.Reservations), slow, c.stops, c.reservations, c.slow)
			}
		})
	}
}

// simulation simulates urgent gangs that arrive while long tasks fill all workers.
type simulation struct {
	workers []Worker
	// knownSpeeds is set if decisions see the speeds of the workers.
	knownSpeeds bool
	now         time.Time
	waiting     []Group
	running     []*simulatedRun
	free        []batch.Resources
	onTime      int
	gangs       int
}

// simulatedRun is a run of all tasks of a gang, or of one task.
type simulatedRun struct {
	group       Group
	allocations []Allocation
	started     time.Time
	end         time.Time
	completes   bool
}

// step makes one decision and advances the clock by 50 ms.
func (sim *simulation) step() {
	v := View{Now: sim.now, Groups: sim.waiting}
	for i, w := range sim.workers {
		w.Free = sim.free[i]
		if !sim.knownSpeeds {
			w.Speed = 1
		}
		v.Workers = append(v.Workers, w)
	}
	const restartTime = 1200 * time.Millisecond
	for _, r := range sim.running {
		loss := (sim.now.Sub(r.started) + restartTime).Seconds() * r.group.totalNeed().Cores()
		v.Running = append(v.Running, Running{
			Job: r.group.Job, Priority: r.group.Priority, Borrowed: r.group.Priority > 0 && r.completes, LostWork: loss, Allocations: r.allocations,
		})
	}
	d := Decide(v)
	for _, i := range d.Stops {
		sim.running[i].end, sim.running[i].completes = sim.now.Add(stopDelay), false
	}
	for _, res := range d.Reservations {
		sim.waiting[res.Group].ReservedWorkers = res.Workers
	}
	runs := map[int]*simulatedRun{}
	for _, s := range d.Starts {
		g := sim.waiting[s.Group]
		r := runs[s.Group]
		if r == nil {
			r = &simulatedRun{group: g, started: sim.now, completes: true}
			runs[s.Group] = r
			sim.running = append(sim.running, r)
		}
		r.allocations = append(r.allocations, Allocation{Worker: s.Worker, Need: g.Need})
		sim.free[s.Worker] = sim.free[s.Worker].Minus(g.Need)
		end := sim.now.Add(time.Duration(float64(g.ExpectedDuration) / sim.workers[s.Worker].Speed))
		if end.After(r.end) {
			r.end = end
		}
	}
	var waiting []Group
	for i, g := range sim.waiting {
		if runs[i] == nil {
			waiting = append(waiting, g)
		}
	}
	sim.waiting = waiting
	sim.now = sim.now.Add(50 * time.Millisecond)
	sim.finish()
}

func (sim *simulation) finish() {
	var left []*simulatedRun
	for _, r := range sim.running {
		if r.end.After(sim.now) {
			left = append(left, r)
			continue
		}
		for _, allocation := range r.allocations {
			sim.free[allocation.Worker] = sim.free[allocation.Worker].Plus(allocation.Need)
		}
		switch {
		case !r.completes:
			r.group.ReservedWorkers = nil
			sim.waiting = append(sim.waiting, r.group)
		case r.group.Priority == 0:
			sim.gangs++
			if !r.end.After(r.group.Objective) {
				sim.onTime++
			}
		}
	}
	sim.running = left
}

// simulate returns the share of urgent gangs that meet their objective.
func simulate(knownSpeeds bool) float64 {
	random := rand.New(rand.NewPCG(5, 6))
	sim := &simulation{workers: mixedSpeedRacks(4), knownSpeeds: knownSpeeds, now: now}
	for i := range sim.workers {
		sim.free = append(sim.free, sim.workers[i].Free)
	}
	next := now.Add(5 * time.Second)
	for n := 0; sim.now.Before(now.Add(90 * time.Second)); n++ {
		for i := len(sim.waiting); i < 8; i++ {
			g := taskGroup(fmt.Sprintf("long%d-%d", n, i), 1, 1)
			g.Priority, g.ExpectedDuration = 1, 9*time.Second
			g.Accepted, g.ReadySince, g.Objective = sim.now, sim.now, sim.now.Add(28*time.Second)
			sim.waiting = append(sim.waiting, g)
		}
		if !sim.now.Before(next) {
			g := gangGroup(fmt.Sprint("urgent", n), 1+random.IntN(5), int64(1<<random.IntN(4)))
			g.ExpectedDuration = time.Duration((1.5 + 2*random.Float64()) * float64(time.Second))
			g.Accepted, g.ReadySince = sim.now, sim.now
			g.Objective = sim.now.Add(g.ExpectedDuration*3/2 + 250*time.Millisecond)
			sim.waiting = append(sim.waiting, g)
			next = next.Add(time.Duration(600+random.IntN(900)) * time.Millisecond)
		}
		sim.step()
	}
	return float64(sim.onTime) / float64(sim.gangs)
}

// TestUrgentGangsAmongLongTasks guards against placeUrgent having no effect: more
// urgent gangs must meet their objective than with decisions that do not know
// which workers are slow.
func TestUrgentGangsAmongLongTasks(t *testing.T) {
	withSpeeds, withoutSpeeds := simulate(true), simulate(false)
	t.Logf("objectives met: %.2f with known speeds, %.2f without", withSpeeds, withoutSpeeds)
	if withSpeeds <= withoutSpeeds {
		t.Errorf("%.2f of the urgent gangs meet their objective, not more than the %.2f without known speeds", withSpeeds, withoutSpeeds)
	}
}
