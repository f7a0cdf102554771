package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// step is a step of a job as it is sent, and how long its work units take.
type step struct {
	room
	Count       int    `json:"count"`
	Estimate    int64  `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	length      time.Duration
	// advised is set if its queue has a recommendation.
	advised bool
	// startAt is when the first occurrence is due, interval the time between two.
	startAt     time.Time
	interval    time.Duration
	repetitions int
}

// due returns when a work unit is due, or zero.
func (s *step) due(task string) time.Time {
	if s.startAt.IsZero() {
		return time.Time{}
	}
	return s.startAt.Add(time.Duration(occurrence(task)) * s.interval)
}

// queue is a route of the desired state.
type queue struct {
	name     string
	prefix   string
	priority int
	attempts int
	stretch  float64
	target   int
}

// The queues of the site kivi-daisylug.
var (
	slotPlan   = queue{"r-slot", "/lohu930/", 1, 2, 3, 1000}
	quickQuote = queue{"r-quick", "/pufi791/", 0, 4, 1.5, 250}
	routeFit   = queue{"r-route", "/pule252/", 2, 4, 3, 3000}
)

const (
	host    = "nony24.example"
	service = "huvo11a"
	key     = "d4a3hwrr6x73d3zji9n7"
	// callTime is the requesters' time limit, maxTries the first try and 4 retries.
	callTime = 3 * time.Second
	maxTries = 5
)

var zones = []string{"vantaa", "espoo", "tampere"}

// config returns the desired state.
func config(guaranteed int) map[string]any {
	var routes []map[string]any
	for _, q := range []queue{slotPlan, quickQuote, routeFit} {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path_prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": q.target,
			"priority": q.priority, "service": service, "max_attempts": q.attempts, "stretch": q.stretch, "public": false,
		})
	}
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_check_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "kaje80", "api_keys": []string{key}, "priority": 1, "guaranteed_gpus": map[string]any{"gpu": guaranteed}}},
	}
}

// job is a job and what its requester has seen.
type job struct {
	id    string
	name  string
	queue queue
	key   string
	steps []step

	mu       sync.Mutex
	accepted time.Time
	answers  []string
}

func (j *job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.accepted.IsZero()
}

// clients are the requesters.
type clients struct {
	nodes []*node
	http  *http.Client

	mu   sync.Mutex
	jobs map[string]*job
	all  []*job
	busy sync.WaitGroup
}

func newClients(nodes []*node) *clients {
	return &clients{nodes: nodes, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, jobs: map[string]*job{}}
}

// step returns the step that a work unit belongs to, if its job was sent.
func (c *clients) step(task string) (step, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobOf(task)]
	if j == nil {
		return step{}, false
	}
	if n := stepNumber(task); n >= 0 && n < len(j.steps) {
		return j.steps[n], true
	}
	return step{}, false
}

// call makes one call at a random machine. The status is 0 if there was no answer.
func (c *clients) call(method string, q queue, key, id string, body []byte) (status int, answer []byte, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	n := c.nodes[rand.IntN(len(c.nodes))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend()+q.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	r.Host = host
	r.Header.Set("X-Credential", key)
	r.Header.Set("X-Time-Remaining", strconv.Itoa(int(callTime.Milliseconds())))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, answer, time.Duration(seconds) * time.Second
}

// submit hands a job in, in the background, and repeats that as requesters do.
func (c *clients) submit(name string, q queue, steps ...step) *job {
	return c.submitAs(key, name, q, steps...)
}

// submitAs is like submit with the key of another tenant.
func (c *clients) submitAs(key, name string, q queue, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), name: name, queue: q, key: key, steps: steps}
	c.mu.Lock()
	c.jobs[j.id] = j
	c.all = append(c.all, j)
	c.mu.Unlock()
	wire := map[string]any{"specification": "work of " + name, "steps": steps}
	if first := steps[0]; !first.startAt.IsZero() {
		wire["start_at_ms"], wire["interval_ms"], wire["repetitions"] = first.startAt.UnixMilli(), first.interval.Milliseconds(), first.repetitions
	}
	body, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	note("client", "%s (job %s, %d bytes) is sent", name, j.id, len(body))
	c.busy.Add(1)
	go func() {
		defer c.busy.Done()
		for range maxTries {
			status, _, wait := c.call(http.MethodPost, q, j.key, j.id, body)
			note("client", "%s (job %s) is answered %s", name, j.id, statusText(status))
			j.mu.Lock()
			j.answers = append(j.answers, statusText(status))
			if status == http.StatusOK {
				j.accepted = time.Now()
			}
			j.mu.Unlock()
			switch status {
			case http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
				return
			}
			time.Sleep(max(wait, 500*time.Millisecond))
		}
	}()
	return j
}

func statusText(status int) string {
	if status == 0 {
		return "not at all"
	}
	return strconv.Itoa(status)
}

// state asks for the state of a job until it is told, for at most the time limit of
// a requester and its retries.
func (c *clients) state(j *job) (string, bool) {
	for range maxTries {
		status, answer, _ := c.call(http.MethodGet, j.queue, j.key, j.id, nil)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "410", true
		case status == http.StatusOK && json.Unmarshal(answer, &body) == nil:
			return body.State, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", false
}

// pending asks one machine for the number of jobs of a queue that have not begun.
func (c *clients) pending(n *node, q queue) (int, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.frontend()+q.prefix, nil)
	if err != nil {
		return 0, false
	}
	r.Host = host
	r.Header.Set("X-Credential", key)
	response, err := c.http.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Pending int `json:"pending"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Pending, err == nil && response.StatusCode == http.StatusOK
}

// accepted returns the number of accepted jobs.
func (c *clients) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.all {
		if j.isAccepted() {
			n++
		}
	}
	return n
}

// allAccepted returns an error if a job was not accepted.
func (c *clients) allAccepted() error {
	if n := c.accepted(); n < len(c.all) {
		return fmt.Errorf("only %d of %d jobs were accepted", n, len(c.all))
	}
	return nil
}
