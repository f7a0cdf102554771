package depot

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// duration is a time.Duration written like "1.5s".
type duration time.Duration

func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// faultRequest replaces the faults of a service.
type faultRequest struct {
	// Service is table, objects, directory or worker.
	Service string `json:"service"`
	selector
	Outage     bool     `json:"outage"`
	Silent     bool     `json:"silent"`
	Delay      duration `json:"delay"`
	Before     float64  `json:"before"`
	After      float64  `json:"after"`
	NextBefore int      `json:"nextbefore"`
	NextAfter  int      `json:"nextafter"`
}

func (q faultRequest) faults() memory.Faults {
	return memory.Faults{
		Outage:            q.Outage,
		Silent:            q.Silent,
		Delay:             time.Duration(q.Delay),
		RequestLossRate:   q.Before,
		ResponseLossRate:  q.After,
		DropNextRequests:  q.NextBefore,
		DropNextResponses: q.NextAfter,
	}
}

// selector selects workers by name, rack or data centre.
type selector struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	Centre string `json:"centre"`
}

// workerRequest changes the selected workers.
type workerRequest struct {
	selector
	// Action is leave, return, crash, restart, speed, failures or silence.
	Action string `json:"action"`
	// Value is the speed, the share of failures or the share of the open
	// connections.
	Value float64 `json:"value"`
}

type directoryRequest struct {
	Lag duration `json:"lag"`
}

type changedAnswer struct {
	// Changed is the number of services, workers or connections affected.
	Changed int `json:"changed"`
}

// startsAnswer sums up the starts. Doubled lists starts of an attempt that was
// started before; Repeated also counts further attempts of the same work.
type startsAnswer struct {
	Tasks    int            `json:"tasks"`
	Quick    int            `json:"quick"`
	Repeated int            `json:"repeated"`
	Doubled  []memory.Start `json:"doubled"`
	Starts   []memory.Start `json:"starts,omitempty"`
}

// RequestError reports a control request that cannot be carried out.
type RequestError struct{ Reason string }

func (e *RequestError) Error() string { return e.Reason }

// control returns the handler of the control interface.
func (d *Server) control() http.Handler {
	mux := http.NewServeMux()
	handle(mux, "POST /control/faults", d.setFaults)
	handle(mux, "POST /control/workers", d.changeWorkers)
	handle(mux, "POST /control/directory", func(q directoryRequest) (changedAnswer, error) {
		d.platform.Directory.SetLag(time.Duration(q.Lag))
		return changedAnswer{Changed: 1}, nil
	})
	handle(mux, "POST /control/instances", func(i platform.Instance) (changedAnswer, error) {
		if i.Name == "" {
			return changedAnswer{}, &RequestError{Reason: "instance has no name"}
		}
		d.platform.Directory.PutInstance(i)
		return changedAnswer{Changed: 1}, nil
	})
	mux.HandleFunc("DELETE /control/instances", func(w http.ResponseWriter, r *http.Request) {
		d.platform.Directory.RemoveInstance(r.URL.Query().Get("name"))
		reply(w, http.StatusOK, changedAnswer{Changed: 1})
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusOK, d.starts(r.URL.Query().Has("all")))
	})
	mux.HandleFunc("DELETE /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		d.platform.Fleet.ResetStarts()
		reply(w, http.StatusOK, changedAnswer{Changed: 1})
	})
	mux.HandleFunc("GET /control/table", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, d.platform.Table.Counts())
	})
	return mux
}

func (d *Server) setFaults(q faultRequest) (changedAnswer, error) {
	var services []*memory.Injector
	switch q.Service {
	case "table":
		services = append(services, d.platform.Table.Injector)
	case "objects":
		services = append(services, d.platform.Objects.Injector)
	case "directory":
		services = append(services, d.platform.Directory.Injector)
	case "worker":
		for _, name := range d.selected(q.selector) {
			services = append(services, d.platform.Fleet.Get(name).Injector)
		}
	}
	if len(services) == 0 {
		return changedAnswer{}, &RequestError{Reason: fmt.Sprintf("no service %q", q.Service)}
	}
	for _, s := range services {
		s.SetFaults(q.faults())
	}
	return changedAnswer{Changed: len(services)}, nil
}

// selected returns the workers that match every field that is set.
func (d *Server) selected(s selector) []string {
	match := func(want, have string) bool { return want == "" || want == have }
	var names []string
	for _, name := range d.platform.Fleet.Names() {
		info := d.platform.Fleet.Get(name).Info()
		if match(s.Worker, name) && match(s.Rack, info.Rack) && match(s.Centre, info.DataCentre) {
			names = append(names, name)
		}
	}
	return names
}

func (d *Server) changeWorkers(q workerRequest) (changedAnswer, error) {
	fleet := d.platform.Fleet
	action := map[string]func(name string) int{
		"leave":    func(name string) int { fleet.SetLeaving(name, true); return 1 },
		"return":   func(name string) int { fleet.SetLeaving(name, false); return 1 },
		"crash":    func(name string) int { fleet.Crash(name); return 1 },
		"restart":  func(name string) int { fleet.Restart(name); return 1 },
		"speed":    func(name string) int { fleet.Get(name).SetSpeed(q.Value); return 1 },
		"failures": func(name string) int { fleet.Get(name).SetFailureRate(q.Value); return 1 },
		"silence":  func(name string) int { return d.silence(name, q.Value) },
	}[q.Action]
	names := d.selected(q.selector)
	if action == nil || len(names) == 0 || q.Value < 0 || (q.Action == "speed" && q.Value == 0) {
		return changedAnswer{}, &RequestError{Reason: "unknown action or worker, or invalid value"}
	}
	var changed int
	for _, name := range names {
		changed += action(name)
	}
	return changedAnswer{Changed: changed}, nil
}

// silence has no effect on workers that share the main address.
func (d *Server) silence(name string, share float64) int {
	if l := d.workers[name]; l != nil {
		return l.silence(min(share, 1))
	}
	return 0
}

func (d *Server) starts(all bool) startsAnswer {
	starts := d.platform.Fleet.Starts()
	a := startsAnswer{
		Repeated: len(memory.DuplicateStarts(starts, false)),
		Doubled:  memory.DuplicateStarts(starts, true),
	}
	for _, s := range starts {
		if s.Kind == memory.KindTask {
			a.Tasks++
		} else {
			a.Quick++
		}
	}
	if all {
		a.Starts = starts
	}
	return a
}

func handle[Q any](mux *http.ServeMux, pattern string, do func(Q) (changedAnswer, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var question Q
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&question)
		var a changedAnswer
		if err == nil {
			a, err = do(question)
		}
		if err != nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		reply(w, http.StatusOK, a)
	})
}

// reply ignores errors of the connection; the client sees them as well.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
