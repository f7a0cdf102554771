package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing of the adviser.
const (
	adviceDecision = 20 * time.Millisecond
	advicePeriod   = 5 * time.Millisecond
	adviceValidity = 3 * time.Second
)

// adviser is a stand-in for the service at recommendation. It approves every worker.
type adviser struct {
	world    *world
	address  string
	listener net.Listener
	server   *http.Server
	turn     sync.Mutex
	issued   int
}

func newAdviser(wo *world) (*adviser, error) {
	a := &adviser{world: wo}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	a.address, a.listener = l.Addr().String(), l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

func (a *adviser) close() { _ = a.server.Close() }

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(adviceDecision + time.Duration(len(body.Workers))*advicePeriod)
	approved := [][]string{}
	a.world.mu.Lock()
	for _, id := range body.Workers {
		a.issued++
		value := fmt.Sprintf("t-%s-%d", a.address, a.issued)
		a.world.tickets[value] = ticket{body.Step, id, time.Now().Add(adviceValidity)}
		approved = append(approved, []string{id, value})
	}
	a.world.mu.Unlock()
	a.world.rec.write("advice", "step", body.Step, "workers", len(body.Workers), "at", a.address)
	respond(w, http.StatusOK, map[string]any{"approved": approved, "validity_ms": adviceValidity.Milliseconds()})
}
