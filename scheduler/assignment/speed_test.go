package assignment

import (
	"testing"
	"time"
)

// TestUnknownSpeeds guards against urgent gangs that are late because a worker of
// unknown speed was taken for a typical one: half of the late previews had one.
func TestUnknownSpeeds(t *testing.T) {
	// The workers 0 to 3 of each rack are of unknown speed.
	workers := func(racks int, cautious float64) []Worker {
		all := idleRacks(racks)
		for i := range all {
			if all[i].SpeedKnown = i%8 >= 4; !all[i].SpeedKnown {
				all[i].CautiousSpeed = cautious
			}
		}
		return all
	}
	tight := urgentGang(2)
	loose := tight
	loose.Objective = now.Add(10 * time.Second)
	tighter := tight
	tighter.Objective = now.Add(2200 * time.Millisecond)
	tests := []struct {
		name     string
		group    Group
		cautious float64
		change   func(v *View)
		// unknown is the expected number of starts on workers of unknown speed.
		unknown, stops int
	}{
		{name: "known workers are preferred", group: tight, cautious: 0.46, unknown: 0},
		{name: "without a speed to count on they count as typical", group: tight, unknown: 2},
		{name: "unknown workers that are fast enough in any case", group: tight, cautious: 0.9, unknown: 2},
		{name: "unknown workers do for a loose objective", group: loose, cautious: 0.46, unknown: 2},
		{name: "a speed to count on in the same class as the typical one", group: tighter, cautious: 0.85, unknown: 0},
		{
			name: "unknown workers are used if no others are free", group: tight, cautious: 0.46,
			change: func(v *View) {
				for i := range v.Workers {
					if v.Workers[i].SpeedKnown {
						useAccelerators(&v.Workers[i], 8)
					}
				}
			},
			unknown: 2,
		},
		{
			name: "adjacency comes first", group: tight, cautious: 0.46,
			change: func(v *View) {
				v.Workers = workers(2, 0.46)
				for i := range v.Workers {
					if i%8 > 4 {
						useAccelerators(&v.Workers[i], 8)
					}
				}
			},
			unknown: 1,
		},
		{
			name: "a gang that the known workers of no rack can hold is not spread", group: urgentGang(5), cautious: 0.46,
			change:  func(v *View) { v.Workers = workers(2, 0.46) },
			unknown: 1,
		},
		{
			name: "runs are stopped on known workers", group: tight, cautious: 0.46,
			change: func(v *View) { occupyFastWorkers(v, 10) },
			stops:  2,
		},
		{
			name: "other work with a tight objective does not measure speeds", cautious: 0.46,
			group: func() Group {
				g := taskGroup("bulk", 4, 8)
				g.Priority, g.ReadySince, g.Objective = 1, now, now.Add(3*time.Second)
				return g
			}(),
			unknown: 0,
		},
		{
			name: "other work with a loose objective measures speeds", cautious: 0.46,
			group: func() Group {
				g := taskGroup("bulk", 4, 8)
				g.Priority, g.ReadySince = 1, now
				return g
			}(),
			unknown: 4,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := View{Now: now, Workers: workers(1, tt.cautious), Groups: []Group{tt.group}}
			if tt.change != nil {
				tt.change(&v)
			}
			d := Decide(v)
			unknown, racks := 0, map[string]bool{}
			for _, s := range d.Starts {
				if !v.Workers[s.Worker].SpeedKnown {
					unknown++
				}
				racks[v.Workers[s.Worker].Rack] = true
			}
			if unknown != tt.unknown || len(d.Stops) != tt.stops || len(racks) > 1 || tt.stops == 0 && len(d.Starts) != len(tt.group.Indexes) {
				t.Errorf("starts %v, %d on workers of unknown speed, want %d; stops %v, want %d", d.Starts, unknown, tt.unknown, d.Stops, tt.stops)
			}
			for _, i := range d.Stops {
				if w := v.Running[i].Allocations[0].Worker; !v.Workers[w].SpeedKnown {
					t.Errorf("run stopped on worker %d of unknown speed", w)
				}
			}
		})
	}
}
