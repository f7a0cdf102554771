package assignment

import (
	"reflect"
	"testing"
	"time"
)

// TestWorkerTrust guards against more tasks on a limited worker than its trial
// allows, against gangs and urgent work there, and against work that waits for
// proven workers longer than it should.
func TestWorkerTrust(t *testing.T) {
	limited := func(n int) WorkerTrust { return WorkerTrust{Limited: true, NewTasks: n, Unproven: true} }
	unproven := WorkerTrust{Unproven: true}
	trial := func(g Group) Group { g.Trial = true; return g }
	proven := func(g Group, d time.Duration) Group { g.ProvenOnlyUntil = now.Add(d); return g }
	urgent := func(g Group) Group { g.Guaranteed = true; return g }
	later := func(g Group) Group { g.Priority = 1; return g }
	tests := []struct {
		name string
		// trust holds the trust in each worker of a rack of 8; others are trusted.
		trust  []WorkerTrust
		groups []Group
		// want is the number of starts of each group.
		want []int
	}{
		{"trusted", nil, []Group{later(taskGroup("a", 70, 1))}, []int{64}},
		{"trial", []WorkerTrust{limited(1)}, []Group{later(trial(taskGroup("a", 70, 1)))}, []int{57}},
		{"trial shared by groups", []WorkerTrust{limited(2)}, []Group{later(trial(taskGroup("a", 57, 1))), later(trial(taskGroup("b", 7, 1)))}, []int{57, 1}},
		{"no trial left", []WorkerTrust{limited(0)}, []Group{later(trial(taskGroup("a", 70, 1)))}, []int{56}},
		{"no trial with these tasks", []WorkerTrust{limited(1)}, []Group{later(taskGroup("a", 70, 1))}, []int{56}},
		{"gang does not fit beside a trial", []WorkerTrust{limited(1)}, []Group{later(gangGroup("a", 8, 8))}, []int{0}},
		{"gang fits on the others", []WorkerTrust{limited(1)}, []Group{later(gangGroup("a", 7, 8))}, []int{7}},
		{"guaranteed gang that may serve as a trial", []WorkerTrust{limited(1)}, []Group{urgent(trial(gangGroup("a", 8, 8)))}, []int{8}},
		{"gang waits for proven workers", []WorkerTrust{unproven}, []Group{later(proven(gangGroup("a", 8, 8), time.Second))}, []int{0}},
		{"gang has waited for proven workers", []WorkerTrust{unproven}, []Group{later(proven(gangGroup("a", 8, 8), 0))}, []int{8}},
		{"others start on unproven workers", []WorkerTrust{unproven}, []Group{later(gangGroup("a", 8, 8))}, []int{8}},
		{"urgent gang waits for proven workers", []WorkerTrust{unproven}, []Group{urgent(proven(gangGroup("a", 8, 8), time.Second))}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := View{Now: now, Workers: idleRacks(1), Groups: tt.groups}
			for i, w := range tt.trust {
				v.Workers[i].Trust = w
			}
			d := Decide(v)
			for i, g := range tt.groups {
				if n := len(v.started(d, g.Job)); n != tt.want[i] {
					t.Errorf("%d starts of %s, want %d", n, g.Job, tt.want[i])
				}
			}
		})
	}
}

// TestNothingStoppedForProven guards against runs that are stopped on proven
// workers for a group that could start on unproven ones after a short wait.
func TestNothingStoppedForProven(t *testing.T) {
	for _, tt := range []struct {
		name string
		// ready is how long the group has been ready, wait how much longer it waits
		// for proven workers.
		ready, wait time.Duration
		starts      int
	}{
		{"new", 0, time.Second, 0},
		{"too late to stop runs on fast workers", preemptionWindow, time.Second, 0},
		{"has waited", time.Second, 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := View{Now: now, Workers: idleRacks(1)}
			for i := range v.Workers {
				if i < 2 {
					v.Workers[i].Trust.Unproven = true
					continue
				}
				useAccelerators(&v.Workers[i], 8)
				g := taskGroup("x", 1, 8)
				v.Running = append(v.Running, Running{
					Job: "x", Priority: 1, Borrowed: true, LostWork: 0.1, Allocations: []Allocation{{Worker: i, Need: g.Need}},
				})
			}
			g := gangGroup("a", 2, 8)
			g.Guaranteed, g.ReadySince, g.ProvenOnlyUntil = true, now.Add(-tt.ready), now.Add(tt.wait)
			v.Groups = []Group{g}
			if d := Decide(v); len(d.Stops) != 0 || len(d.Starts) != tt.starts {
				t.Errorf("%d stops, %d starts, want 0 and %d", len(d.Stops), len(d.Starts), tt.starts)
			}
		})
	}
}

// TestReservationOnLimitedWorker guards against a gang that starts on a reserved
// worker on which runs have failed since.
func TestReservationOnLimitedWorker(t *testing.T) {
	v := View{Now: now, Workers: idleRacks(1)}
	v.Workers[1].Trust = WorkerTrust{Limited: true, NewTasks: 1, Unproven: true}
	g := gangGroup("a", 2, 8)
	g.Guaranteed, g.ReservedWorkers = true, []int{0, 1}
	v.Groups = []Group{g}
	for _, s := range Decide(v).Starts {
		if s.Worker == 1 {
			t.Error("started on the limited worker")
		}
	}
}

// TestTrustWithoutFailures guards against groups that are placed differently on
// trusted workers because of the fields for trust.
func TestTrustWithoutFailures(t *testing.T) {
	plain := View{Now: now, Workers: idleRacks(2)}
	useAccelerators(&plain.Workers[3], 5)
	for i, g := range []Group{gangGroup("a", 3, 8), taskGroup("b", 20, 1), gangGroup("c", 9, 6), taskGroup("d", 9, 4), gangGroup("e", 16, 8)} {
		g.Priority, g.Guaranteed = i%3, i == 3
		plain.Groups = append(plain.Groups, g)
	}
	marked := plain
	marked.Groups = nil
	for i, g := range plain.Groups {
		g.Trial, g.ProvenOnlyUntil = i%2 == 0, now.Add(time.Duration(i-1)*time.Second)
		marked.Groups = append(marked.Groups, g)
	}
	if a, b := Decide(plain), Decide(marked); !reflect.DeepEqual(a, b) || len(a.Starts) == 0 {
		t.Errorf("%+v, want %+v", b, a)
	}
}

// TestGuaranteedIgnoresTrust guards against guaranteed gangs that miss the limit for
// their start because each worker on trial takes one task only, and against
// starts on excluded workers.
func TestGuaranteedIgnoresTrust(t *testing.T) {
	for _, n := range []int{9, 16} {
		for _, excluded := range []bool{false, true} {
			v := View{Now: now, Workers: idleRacks(1)}
			for i := range v.Workers {
				v.Workers[i].Trust = WorkerTrust{Limited: true, NewTasks: 1, Unproven: true, Excluded: excluded}
			}
			g := gangGroup("a", n, 1)
			g.Guaranteed, g.IgnoreTrust, g.ProvenOnlyUntil = true, true, now.Add(time.Second)
			v.Groups = []Group{g}
			want := n
			if excluded {
				want = 0
			}
			if got := len(Decide(v).Starts); got != want {
				t.Errorf("gang of %d, excluded %v: %d starts, want %d", n, excluded, got, want)
			}
		}
	}
}

// TestTrustDoesNotBlock guards against an urgent gang that waits for proven workers
// although the unproven one is merely busy, or belongs to another service.
func TestTrustDoesNotBlock(t *testing.T) {
	for _, service := range []string{"s", "other"} {
		v := View{Now: now, Workers: idleRacks(1)}
		for i := range v.Workers {
			if i >= 2 {
				v.Workers[i].Speed = 0.5
				continue
			}
			useAccelerators(&v.Workers[i], 8)
			v.Running = append(v.Running, Running{
				Job: "x", Priority: 1, Borrowed: true, LostWork: 0.1, Allocations: []Allocation{{Worker: i, Need: taskGroup("x", 1, 8).Need}},
			})
		}
		v.Workers[7].Trust.Unproven, v.Workers[7].Service = true, service
		useAccelerators(&v.Workers[7], 8)
		g := gangGroup("a", 2, 8)
		g.Objective, g.ReadySince, g.ProvenOnlyUntil = now.Add(3*time.Second), now, now.Add(time.Second)
		v.Groups = []Group{g}
		if d := Decide(v); len(d.Stops) != 2 {
			t.Errorf("unproven worker of service %s: %d stops, %d starts, want 2 stops", service, len(d.Stops), len(d.Starts))
		}
	}
}

// TestReservationCountsAsTrial guards against a lower job that takes the trial which
// is reserved for a guaranteed group.
func TestReservationCountsAsTrial(t *testing.T) {
	v := View{Now: now, Workers: idleRacks(1)[:2]}
	v.Workers[0].Trust = WorkerTrust{Limited: true, NewTasks: 1}
	useAccelerators(&v.Workers[1], 8)
	v.Running = []Running{{
		Job: "x", Priority: 1, Borrowed: true, LostWork: 0.1, Allocations: []Allocation{{Worker: 1, Need: taskGroup("x", 1, 8).Need}},
	}}
	g := gangGroup("a", 2, 4)
	g.Guaranteed, g.Trial, g.Need.MilliCPU = true, true, 1000
	g.MaxPerWorker = 1
	low := taskGroup("b", 1, 1)
	low.Priority, low.Trial = 1, true
	v.Groups = []Group{g, low}
	if d := Decide(v); len(d.Stops) != 1 || len(d.Reservations) != 1 || len(d.Starts) != 0 {
		t.Errorf("%d stops, %d reservations, %d starts, want 1, 1 and 0", len(d.Stops), len(d.Reservations), len(d.Starts))
	}
}

// TestAdjacentGangWaitsForTrust guards against an adjacent gang that is spread over
// racks because of temporary limits on workers.
func TestAdjacentGangWaitsForTrust(t *testing.T) {
	v := View{Now: now, Workers: idleRacks(2)}
	for _, w := range []int{0, 8} {
		v.Workers[w].Trust = WorkerTrust{Unproven: true}
		useAccelerators(&v.Workers[w], 8)
	}
	g := gangGroup("a", 8, 8)
	g.Priority, g.ReadySince, g.ProvenOnlyUntil = 1, now, now.Add(time.Second)
	v.Groups = []Group{g}
	if n := len(Decide(v).Starts); n != 0 {
		t.Errorf("%d starts, want 0", n)
	}
}

// TestReclaimOnWorkerWithoutTrial guards against a run that no guaranteed group may
// stop because the trial of its worker is in progress.
func TestReclaimOnWorkerWithoutTrial(t *testing.T) {
	v := View{Now: now, Workers: idleRacks(1)[:1]}
	v.Workers[0].Trust = WorkerTrust{Limited: true, Unproven: true}
	useAccelerators(&v.Workers[0], 8)
	v.Running = []Running{{Job: "x", Priority: 1, Borrowed: true, LostWork: 0.1, Allocations: []Allocation{{Worker: 0, Need: taskGroup("x", 1, 8).Need}}}}
	g := taskGroup("a", 1, 8)
	g.Guaranteed, g.IgnoreTrust = true, true
	v.Groups = []Group{g}
	if d := Decide(v); len(d.Stops) != 1 {
		t.Errorf("%d stops, want 1", len(d.Stops))
	}
}

// TestTrustStopsNoMore guards against runs that are stopped in place of free workers
// which a guaranteed gang may use after a short wait.
func TestTrustStopsNoMore(t *testing.T) {
	for _, ready := range []time.Duration{0, preemptionWindow} {
		v := View{Now: now, Workers: idleRacks(1)}
		v.Workers[0].Trust = WorkerTrust{Limited: true, NewTasks: 1, Unproven: true}
		for i := 4; i < 8; i++ {
			useAccelerators(&v.Workers[i], 8)
			v.Running = append(v.Running, Running{
				Job: "x", Priority: 1, Borrowed: true, LostWork: 0.1, Allocations: []Allocation{{Worker: i, Need: taskGroup("x", 1, 8).Need}},
			})
		}
		g := gangGroup("a", 5, 8)
		g.Guaranteed, g.ReadySince, g.ProvenOnlyUntil = true, now.Add(-ready), now.Add(time.Second)
		v.Groups = []Group{g}
		d := Decide(v)
		if len(d.Stops) != 1 || len(d.Reservations) != 1 {
			t.Fatalf("ready for %v: %d stops, %d reservations, want 1 and 1", ready, len(d.Stops), len(d.Reservations))
		}
		// The stopped run has ended and the wait is over.
		useAccelerators(&v.Workers[v.Running[d.Stops[0]].Allocations[0].Worker], -8)
		v.Groups[0].IgnoreTrust, v.Groups[0].ReservedWorkers = true, d.Reservations[0].Workers
		v.Running = nil
		if d := Decide(v); len(d.Stops) != 0 || len(d.Starts) != 5 {
			t.Errorf("ready for %v: %d stops and %d starts after the wait, want 0 and 5", ready, len(d.Stops), len(d.Starts))
		}
	}
}
