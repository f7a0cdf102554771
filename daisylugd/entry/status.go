package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"daisylug.example/scheduler/interference"
)

// wireStatus is the response of the status handler.
type wireStatus struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"centre"`
	// Planner is the name of the planner's instance, or empty if none is known.
	Planner string `json:"planner"`
	// Config is the version of the configuration, Age the milliseconds since it was
	// confirmed to be the newest.
	Config int64 `json:"config"`
	Age    int64 `json:"age"`
	// Evacuated lists the data centres that are being evacuated.
	Evacuated []string `json:"evacuated"`
	// Planning is set on the instance that runs the planner.
	Planning *wirePlanning `json:"planning,omitempty"`
}

type wirePlanning struct {
	Generation  uint64           `json:"generation"`
	Workers     int              `json:"workers"`
	Jobs        int              `json:"jobs"`
	Evacuations []wireEvacuation `json:"evacuations,omitempty"`
	// Interference lists the kinds of tasks known to slow each other down.
	Interference []wireInterference `json:"interference,omitempty"`
}

// wireInterference says by which factor one neighbour slows a task of a kind down,
// and by how many runs and with which standard error of its logarithm that is known.
type wireInterference struct {
	Kind      wireKind `json:"kind"`
	Neighbour wireKind `json:"neighbour"`
	Factor    float64  `json:"factor"`
	Runs      int      `json:"runs"`
	Error     float64  `json:"error"`
}

// wireKind names tasks that run the same program with about the same resources.
type wireKind struct {
	Queue        string `json:"queue"`
	Image        string `json:"image"`
	MilliCPU     int64  `json:"millicpu"`
	MemoryMB     int64  `json:"memorymb"`
	Accelerators int64  `json:"accelerators"`
}

func newWireInterference(p interference.Pair) wireInterference {
	return wireInterference{
		Kind: newWireKind(p.Kind), Neighbour: newWireKind(p.Neighbour), Factor: p.Factor(), Runs: p.Runs, Error: math.Sqrt(p.Variance),
	}
}

func newWireKind(k interference.Kind) wireKind {
	return wireKind{Queue: k.Queue, Image: k.Image, MilliCPU: k.Need.MilliCPU, MemoryMB: k.Need.MemoryMB, Accelerators: k.Need.Accelerators}
}

type wireEvacuation struct {
	DataCentre string    `json:"centre"`
	Since      time.Time `json:"since"`
	Runs       int       `json:"runs"`
}

// ServeStatus responds with the state of the instance, and of its planner if it
// runs one, as JSON.
func (e *Server) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	planner, _ := e.leaderInstance()
	s := wireStatus{
		Instance: e.settings.Name, DataCentre: e.settings.DataCentre, Planner: planner,
		Config: e.configVersion(), Age: e.ConfigAge().Milliseconds(), Evacuated: e.newestEvacuations().DataCentres(),
	}
	if p := e.planner.Load(); p != nil {
		status := p.Status()
		s.Planning = &wirePlanning{Generation: status.Generation, Workers: status.Workers, Jobs: status.LiveJobs}
		for _, ev := range status.Evacuations {
			s.Planning.Evacuations = append(s.Planning.Evacuations, wireEvacuation{ev.DataCentre, ev.Since, ev.Runs})
		}
		for _, pair := range status.Interference {
			s.Planning.Interference = append(s.Planning.Interference, newWireInterference(pair))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		e.log.V(1).Info("status not sent", "error", err)
	}
}
