package depot

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// duration is a time.Duration that is decoded from text such as "1.5s".
type duration time.Duration

func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// faultRequest replaces the injected faults of a service.
type faultRequest struct {
	// Service is the target: table, objects, directory or worker.
	Service string `json:"service"`
	selector
	Outage            bool     `json:"outage"`
	Silent            bool     `json:"silent"`
	Delay             duration `json:"delay"`
	RequestLossRate   float64  `json:"before"`
	ResponseLossRate  float64  `json:"after"`
	DropNextRequests  int      `json:"nextbefore"`
	DropNextResponses int      `json:"nextafter"`
}

func (r faultRequest) faults() memory.Faults {
	return memory.Faults{
		Outage:            r.Outage,
		Silent:            r.Silent,
		Delay:             time.Duration(r.Delay),
		RequestLossRate:   r.RequestLossRate,
		ResponseLossRate:  r.ResponseLossRate,
		DropNextRequests:  r.DropNextRequests,
		DropNextResponses: r.DropNextResponses,
	}
}

// selector selects workers by name, rack or data centre. An empty field matches
// every worker.
type selector struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	Centre string `json:"centre"`
}

// workerRequest applies an action to the selected workers.
type workerRequest struct {
	selector
	// Action is leave, return, crash, restart, speed, failures or silence.
	Action string `json:"action"`
	// Value is the argument of speed, failures and silence: the speed, the
	// failure rate or the share of the open connections.
	Value float64 `json:"value"`
}

type directoryRequest struct {
	Lag duration `json:"lag"`
}

type changedResponse struct {
	// Changed is the number of services, workers or connections affected.
	Changed int `json:"changed"`
}

// startsResponse summarises the starts of work on all workers.
// DuplicateAttempts lists the starts of an attempt that was started before;
// DuplicateWork also counts further attempts of the same work.
type startsResponse struct {
	Tasks             int            `json:"tasks"`
	Quick             int            `json:"quick"`
	DuplicateWork     int            `json:"repeated"`
	DuplicateAttempts []memory.Start `json:"doubled"`
	Starts            []memory.Start `json:"starts,omitempty"`
}

// RequestError reports a control request that cannot be carried out.
type RequestError struct{ Reason string }

func (e *RequestError) Error() string { return e.Reason }

// controlHandler returns the HTTP handler of the control interface.
func (srv *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	handleJSON(mux, "POST /control/faults", srv.setFaults)
	handleJSON(mux, "POST /control/workers", srv.changeWorkers)
	handleJSON(mux, "POST /control/directory", func(r directoryRequest) (changedResponse, error) {
		srv.platform.Directory.SetLag(time.Duration(r.Lag))
		return changedResponse{Changed: 1}, nil
	})
	handleJSON(mux, "POST /control/instances", func(i platform.Instance) (changedResponse, error) {
		if i.Name == "" {
			return changedResponse{}, &RequestError{Reason: "instance has no name"}
		}
		srv.platform.Directory.PutInstance(i)
		return changedResponse{Changed: 1}, nil
	})
	mux.HandleFunc("DELETE /control/instances", func(w http.ResponseWriter, r *http.Request) {
		srv.platform.Directory.RemoveInstance(r.URL.Query().Get("name"))
		writeJSON(w, http.StatusOK, changedResponse{Changed: 1})
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, srv.summariseStarts(r.URL.Query().Has("all")))
	})
	mux.HandleFunc("DELETE /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		srv.platform.Fleet.ResetStarts()
		writeJSON(w, http.StatusOK, changedResponse{Changed: 1})
	})
	mux.HandleFunc("GET /control/table", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, srv.platform.Table.Counts())
	})
	return mux
}

func (srv *Server) setFaults(r faultRequest) (changedResponse, error) {
	var services []*memory.Injector
	switch r.Service {
	case "table":
		services = append(services, srv.platform.Table.Injector)
	case "objects":
		services = append(services, srv.platform.Objects.Injector)
	case "directory":
		services = append(services, srv.platform.Directory.Injector)
	case "worker":
		for _, name := range srv.selectWorkers(r.selector) {
			services = append(services, srv.platform.Fleet.Get(name).Injector)
		}
	}
	if len(services) == 0 {
		return changedResponse{}, &RequestError{Reason: fmt.Sprintf("no service %q", r.Service)}
	}
	for _, injector := range services {
		injector.SetFaults(r.faults())
	}
	return changedResponse{Changed: len(services)}, nil
}

// selectWorkers returns the names of the workers that match every field of s that
// is set.
func (srv *Server) selectWorkers(s selector) []string {
	matches := func(want, have string) bool { return want == "" || want == have }
	var names []string
	for _, name := range srv.platform.Fleet.Names() {
		info := srv.platform.Fleet.Get(name).Info()
		if matches(s.Worker, name) && matches(s.Rack, info.Rack) && matches(s.Centre, info.DataCentre) {
			names = append(names, name)
		}
	}
	return names
}

func (srv *Server) changeWorkers(r workerRequest) (changedResponse, error) {
	fleet := srv.platform.Fleet
	action := map[string]func(name string) int{
		"leave":    func(name string) int { fleet.SetLeaving(name, true); return 1 },
		"return":   func(name string) int { fleet.SetLeaving(name, false); return 1 },
		"crash":    func(name string) int { fleet.Crash(name); return 1 },
		"restart":  func(name string) int { fleet.Restart(name); return 1 },
		"speed":    func(name string) int { fleet.Get(name).SetSpeed(r.Value); return 1 },
		"failures": func(name string) int { fleet.Get(name).SetFailureRate(r.Value); return 1 },
		"silence":  func(name string) int { return srv.silenceConnections(name, r.Value) },
	}[r.Action]
	names := srv.selectWorkers(r.selector)
	if action == nil || len(names) == 0 || r.Value < 0 || (r.Action == "speed" && r.Value == 0) {
		return changedResponse{}, &RequestError{Reason: "unknown action or worker, or invalid value"}
	}
	var changed int
	for _, name := range names {
		changed += action(name)
	}
	return changedResponse{Changed: changed}, nil
}

// silenceConnections silences a share of the open connections of a worker and
// returns their number. It has no effect on workers that share the main address.
func (srv *Server) silenceConnections(name string, share float64) int {
	if l := srv.workers[name]; l != nil {
		return l.silenceShare(min(share, 1))
	}
	return 0
}

func (srv *Server) summariseStarts(all bool) startsResponse {
	starts := srv.platform.Fleet.Starts()
	response := startsResponse{
		DuplicateWork:     len(memory.DuplicateStarts(starts, false)),
		DuplicateAttempts: memory.DuplicateStarts(starts, true),
	}
	for _, s := range starts {
		if s.Kind == memory.KindTask {
			response.Tasks++
		} else {
			response.Quick++
		}
	}
	if all {
		response.Starts = starts
	}
	return response
}

func handleJSON[Req any](mux *http.ServeMux, pattern string, apply func(Req) (changedResponse, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var request Req
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&request)
		var response changedResponse
		if err == nil {
			response, err = apply(request)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// writeJSON writes body as the response. It ignores write errors, because the
// client sees a broken connection as well.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
