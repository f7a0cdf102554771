package assignment

import (
	"fmt"
	"testing"
	"time"
)

// TestSparingStops guards against stops that are of no use: on days of heavy load
// every ninth run was stopped.
func TestSparingStops(t *testing.T) {
	guaranteed := gangGroup("g", 2, 8)
	guaranteed.Guaranteed, guaranteed.ReadySince = true, now
	sparing := StopPolicy{Sparing: true}
	late := guaranteed
	late.Objective = now.Add(time.Second)
	tests := []struct {
		name   string
		group  Group
		policy StopPolicy
		change func(v *View)
		// stops and reservations are the expected ones; each reservation is that of
		// the group.
		stops        []int
		reservations int
	}{
		{name: "the cheapest runs", group: guaranteed, policy: sparing, stops: []int{0, 1}, reservations: 1},
		{
			name: "runs that are being stopped count as room", group: guaranteed, policy: sparing,
			change:       func(v *View) { v.Running[5].Stopping, v.Running[6].Stopping = true, true },
			reservations: 1,
		},
		{
			name: "room that is being freed is used once", group: guaranteed, policy: sparing,
			change: func(v *View) {
				v.Running[5].Stopping, v.Running[6].Stopping = true, true
				other := v.Groups[0]
				other.Job, other.Accepted = "h", now.Add(-time.Second)
				v.Groups = append(v.Groups, other)
			},
			stops: []int{0, 1}, reservations: 2,
		},
		{
			name: "runs that are being stopped do not count as room after the wait for ends", group: guaranteed, policy: sparing,
			change: func(v *View) {
				v.Groups[0].ReadySince = now.Add(-runEndTimeout)
				v.Running[0].Stopping, v.Running[6].Stopping = true, true
			},
			stops: []int{1, 2}, reservations: 1,
		},
		{
			name: "no job is stopped twice while others can be", group: guaranteed, policy: sparing,
			change: func(v *View) { v.Running[0].StoppedBefore, v.Running[2].StoppedBefore = true, true },
			stops:  []int{1, 3}, reservations: 1,
		},
		{
			name: "jobs are stopped twice if nothing else will do", group: guaranteed, policy: sparing,
			change: func(v *View) {
				for i := range v.Running {
					v.Running[i].StoppedBefore = true
				}
			},
			stops: []int{0, 1}, reservations: 1,
		},
		{
			name: "without the policy jobs are stopped as often as is cheapest", group: guaranteed,
			change: func(v *View) { v.Running[0].StoppedBefore = true },
			stops:  []int{0, 1}, reservations: 1,
		},
		{
			name: "a late group takes room that is being freed", group: late, policy: sparing,
			change:       func(v *View) { v.Running[5].Stopping, v.Running[6].EndsSoon = true, true },
			reservations: 1,
		},
		{name: "a group that will be late waits for room", group: late, policy: sparing},
		{name: "without the policy a late group waits for nothing", group: late, stops: []int{0, 1}, reservations: 1},
		{
			name: "the first start of a guaranteed job is not delayed", group: late, policy: sparing,
			change: func(v *View) { v.Groups[0].NeverStarted = true },
			stops:  []int{0, 1}, reservations: 1,
		},
		{
			name: "a late guaranteed group waits a limited time", group: late, policy: sparing,
			change: func(v *View) { v.Groups[0].ReadySince = now.Add(-runEndTimeout) },
			stops:  []int{0, 1}, reservations: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := fullRackView(tt.group)
			v.Stopping = tt.policy
			if tt.change != nil {
				tt.change(&v)
			}
			d := Decide(v)
			if fmt.Sprint(d.Stops) != fmt.Sprint(tt.stops) || len(d.Reservations) != tt.reservations {
				t.Errorf("stops %v, reservations %v, want %v, %d", d.Stops, d.Reservations, tt.stops, tt.reservations)
			}
		})
	}
}

// TestStopDelay guards against stops for urgent groups that are late because a stop
// takes longer on the deployment than is usual elsewhere.
func TestStopDelay(t *testing.T) {
	for delay, want := range map[time.Duration]int{0: 2, 400 * time.Millisecond: 2, 1400 * time.Millisecond: 0} {
		v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}, Stopping: StopPolicy{Sparing: true, Delay: delay}}
		occupyFastWorkers(&v, 10)
		if d := Decide(v); len(d.Stops) != want {
			t.Errorf("stops that take %v: %d stops, want %d", delay, len(d.Stops), want)
		}
	}
}

// TestStopCauses guards against metrics that blame the wrong rule for a stop.
func TestStopCauses(t *testing.T) {
	guaranteed := gangGroup("g", 2, 8)
	guaranteed.Guaranteed, guaranteed.ReadySince = true, now.Add(-preemptionWindow)
	tests := []struct {
		name string
		view func() View
		want StopCause
	}{
		{"guarantee", func() View { return fullRackView(guaranteed) }, StopCause{Reason: StopForGuarantee}},
		{"fragmentation", func() View {
			v := fullRackView(guaranteed)
			v.Groups[0].NeverStarted = true
			for i := range v.Running {
				v.Running[i].Borrowed = false
			}
			return v
		}, StopCause{Reason: StopForFragmentation}},
		{"objective", func() View {
			v := View{Now: now, Workers: mixedSpeedRacks(2), Groups: []Group{urgentGang(2)}}
			occupyFastWorkers(&v, 10)
			return v
		}, StopCause{Reason: StopForObjective}},
		{"the objective is met without a stop", func() View {
			v := fullRackView(guaranteed)
			for i := range v.Running {
				v.Running[i].ExpectedEnd = now.Add(8 * time.Second)
			}
			return v
		}, StopCause{Reason: StopForGuarantee, Unneeded: true}},
		{"the objective is missed without a stop", func() View {
			v := fullRackView(guaranteed)
			for i := range v.Running {
				v.Running[i].ExpectedEnd = now.Add(time.Duration(8+i) * time.Second)
			}
			return v
		}, StopCause{Reason: StopForGuarantee}},
	}
	for _, tt := range tests {
		if d := Decide(tt.view()); len(d.StopCauses) != 2 || d.StopCauses[0] != tt.want || d.StopCauses[1] != tt.want {
			t.Errorf("%s: %+v, want %+v twice", tt.name, d.StopCauses, tt.want)
		}
	}
}

// TestSparingNeedsNoMoreThanAllowed guards against urgent groups that get no room
// because the plan that spares jobs or unknown workers loses too much, though
// another plan does not.
func TestSparingNeedsNoMoreThanAllowed(t *testing.T) {
	tests := []struct {
		name   string
		change func(v *View, i int)
	}{
		{"jobs stopped before", func(v *View, i int) { v.Running[i].StoppedBefore = true }},
		{"workers of unknown speed", func(v *View, i int) {
			w := &v.Workers[v.Running[i].Allocations[0].Worker]
			w.SpeedKnown, w.CautiousSpeed = false, 0.46
		}},
	}
	for _, tt := range tests {
		// The group may lose 2 tasks of 5 processors and 8 accelerators for 2 s, 276
		// core-seconds.
		for loss, spared := range map[float64]bool{9: true, 1000: false} {
			v := View{Now: now, Workers: mixedSpeedRacks(1), Groups: []Group{urgentGang(2)}, Stopping: StopPolicy{Sparing: true}}
			occupyFastWorkers(&v, loss)
			for i := range v.Workers {
				v.Workers[i].SpeedKnown = true
			}
			for i := range 2 {
				tt.change(&v, i)
				v.Running[i].LostWork = 1
			}
			d := Decide(v)
			if got := fmt.Sprint(d.Stops) != "[0 1]"; len(d.Stops) != 2 || got != spared {
				t.Errorf("%s, other runs lose %v: stops %v, spared %v, want %v", tt.name, loss, d.Stops, got, spared)
			}
		}
	}
}
