package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// timing is the recommendation of a queue in the desired state.
type timing struct {
	Decision int `json:"decision_ms"`
	Period   int `json:"period_ms"`
	Validity int `json:"validity_ms"`
}

// adviser is the service at recommendation. Its policy allows all workers.
type adviser struct {
	address string

	// turn is held while a call is handled: there is one calling machine at a time.
	turn sync.Mutex

	mu     sync.Mutex
	timing timing
	calls  int
	issued int
	// expires holds the end of each ticket.
	expires map[string]time.Time
}

func newAdviser(t timing) (*adviser, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{address: l.Addr().String(), timing: t, expires: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return a, nil
}

func (a *adviser) set(t timing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timing = t
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	a.mu.Lock()
	t := a.timing
	a.calls++
	a.mu.Unlock()
	time.Sleep(time.Duration(t.Decision+t.Period*len(body.Workers)) * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	approved := [][]string{}
	for _, id := range body.Workers {
		a.issued++
		ticket := fmt.Sprintf("%s/%s/%d", body.Step, id, a.issued)
		a.expires[ticket] = time.Now().Add(time.Duration(t.Validity) * time.Millisecond)
		approved = append(approved, []string{id, ticket})
	}
	note("adviser", "answers for step %s and %d workers after %d ms, with tickets that are valid for %d ms from now", body.Step, len(body.Workers), t.Decision+t.Period*len(body.Workers), t.Validity)
	reply(w, http.StatusOK, map[string]any{"approved": approved, "validity_ms": t.Validity})
}

// valid reports whether a ticket lets a work unit start on a worker now.
func (a *adviser) valid(ticket, task, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var n int
	if _, err := fmt.Sscanf(ticket, stepOf(task)+"/"+worker+"/%d", &n); err != nil {
		return false
	}
	return time.Now().Before(a.expires[ticket])
}
