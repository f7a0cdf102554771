package control

import (
	"time"

	"daisylug.example/scheduler/interference"
)

// Status is what an operator sees of a planner.
type Status struct {
	Generation uint64
	Workers    int
	// LiveJobs counts the jobs that have not ended.
	LiveJobs    int
	Evacuations []EvacuationStatus
	// Interference lists the pairs of kinds known to slow each other down.
	Interference []interference.Pair
}

// EvacuationStatus describes the evacuation of a data centre.
type EvacuationStatus struct {
	DataCentre string
	// Since is when the planner first applied the request.
	Since time.Time
	// Runs counts the runs that are still there, gangs once.
	Runs int
}

// Status returns the state of the planner.
func (p *Planner) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Generation: p.Term.Generation(), Workers: p.countWorkers(time.Now()), LiveJobs: len(p.live), Interference: p.interference.Pairs()}
	for _, name := range p.evacuations.set.DataCentres() {
		s.Evacuations = append(s.Evacuations, EvacuationStatus{DataCentre: name, Since: p.evacuations.since[name], Runs: len(p.runsIn(name))})
	}
	return s
}
