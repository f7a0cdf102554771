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
