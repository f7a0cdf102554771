package entry

import (
	"encoding/json"
	"net/http"
	"time"
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
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		e.log.V(1).Info("status not sent", "error", err)
	}
}
