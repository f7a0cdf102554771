package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of the deployment, as in the settings.
const (
	maxHold     = 6 * time.Second
	gangTimeout = 3 * time.Second
	stopTime    = 300 * time.Millisecond
	beat        = 1500 * time.Millisecond
	startup     = 300 * time.Millisecond
	// maxRejectedShown is the number of rejected starts in the record.
	maxRejectedShown = 40
)

// room is an amount of resources.
type room struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

func (r room) plus(o room) room     { return room{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU} }
func (r room) fitsInto(o room) bool { return r.CPU <= o.CPU && r.Mem <= o.Mem && r.GPU <= o.GPU }

// step is a step of a submitted job. Work is how long its work units really take.
type step struct {
	room
	Count       int           `json:"count"`
	Estimate    int           `json:"estimated_ms,omitempty"`
	Gang        bool          `json:"gang,omitempty"`
	LongRunning bool          `json:"long_running,omitempty"`
	Rack        string        `json:"data_rack,omitempty"`
	Apart       int           `json:"anti_affinity,omitempty"`
	MaxAway     int           `json:"max_unavailable,omitempty"`
	Work        time.Duration `json:"-"`
	// Advised is set if starts need a ticket.
	Advised bool `json:"-"`
}

// run is a run on a worker.
type run struct {
	task    string
	number  int
	step    *step
	worker  *worker
	started time.Time
	// working is when all members of a gang were present.
	working  time.Time
	stopping time.Time
}

// world holds the workers and what they run.
type world struct {
	rec   *record
	store *store

	mu      sync.Mutex
	jobs    map[string][]*step
	workers []*worker
	tickets map[string]ticket
	// done counts the runs that ended done, begun those that began, by job.
	done, begun map[string]int
	// rejected counts the starts that were rejected.
	rejected int
	ended    chan struct{}
}

// ticket is the permit of the adviser for a step on a worker.
type ticket struct {
	step, worker string
	expires      time.Time
}

func newWorld(rec *record, s *store) *world {
	return &world{rec: rec, store: s, jobs: map[string][]*step{}, tickets: map[string]ticket{}, done: map[string]int{}, begun: map[string]int{}, ended: make(chan struct{})}
}

// worker is one life of a worker.
type worker struct {
	world    *world
	id       string
	rack     string
	capacity room
	address  string
	server   *http.Server
	born     time.Time
	sequence int
	// linger is how much longer than announced the worker serves while it drains.
	linger time.Duration

	state    string
	fence    uint64
	deadline time.Duration
	running  map[string]*run
	// highest is the highest run stopped or ended, by work unit.
	highest map[string]int
	ends    []end
	lastEnd int
	down    bool
}

type end struct {
	n      int
	task   string
	number int
	how    string
}

// addWorker starts a worker and registers it.
func (wo *world) addWorker(id, rack string, capacity room) (*worker, error) {
	w := &worker{
		world: wo, id: id, rack: rack, capacity: capacity, born: time.Now(), linger: time.Second, state: "ready",
		running: map[string]*run{}, highest: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	wo.mu.Lock()
	wo.workers = append(wo.workers, w)
	wo.mu.Unlock()
	w.checkIn()
	return w, nil
}

// checkIn writes the entry of the worker.
func (w *worker) checkIn() {
	w.world.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": zoneName, "version": "v1", "slots": 8, "state": w.state,
		"cold_remaining_ms": 0, "capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(),
		"sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		entry["remaining_ms"] = 2000
	}
	down := w.down
	w.world.mu.Unlock()
	if !down {
		w.world.store.put("servers", w.id, entry)
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// tick moves the work on.
func (wo *world) tick(now time.Time) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, w := range wo.workers {
		lapsed := len(w.running) > 0 && w.clock() > w.deadline
		for _, r := range w.running {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case !r.stopping.IsZero() && now.Sub(r.stopping) > stopTime:
				w.end(r, "stopped")
			case !r.stopping.IsZero():
			case r.working.IsZero():
				wo.startGang(r, now)
			case !r.step.LongRunning && now.Sub(r.working) > r.step.Work:
				w.end(r, "done")
			}
		}
	}
}

// startGang lets a gang work once all its members are present.
func (wo *world) startGang(r *run, now time.Time) {
	members := wo.gang(r)
	if len(members) == r.step.Count {
		for _, m := range members {
			m.working = now
		}
		return
	}
	if now.Sub(r.started) > gangTimeout {
		r.worker.end(r, "alone")
	}
}

// gang returns the present members of the gang of a run.
func (wo *world) gang(r *run) []*run {
	prefix := r.task[:strings.LastIndex(r.task, ".")+1]
	var members []*run
	for _, w := range wo.workers {
		for _, m := range w.running {
			if strings.HasPrefix(m.task, prefix) && m.number == r.number && m.stopping.IsZero() {
				members = append(members, m)
			}
		}
	}
	return members
}

// end ends a run, and breaks the rest of its gang. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	members := w.world.gang(r)
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, how})
	w.world.rec.write("ended", "task", r.task, "run", r.number, "worker", w.id, "how", how)
	if how == "done" {
		w.world.done[r.task[:strings.Index(r.task, ".")]]++
	}
	close(w.world.ended)
	w.world.ended = make(chan struct{})
	if r.step.Gang && !r.working.IsZero() {
		rest := "broken"
		if how == "done" {
			rest = "done"
		}
		for _, m := range members {
			if m != r {
				m.worker.endMember(m, rest)
			}
		}
	}
}

func (w *worker) endMember(r *run, how string) {
	r.working = time.Time{}
	w.end(r, how)
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Ticket     string `json:"ticket"`
	LastSeen   int    `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percentage int    `json:"percentage"`
}

// accept decodes a command and checks its addressee and its generation. The caller
// holds the lock of the world afterwards if it returns true.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		respond(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return c, false
	}
	if x := r.Header.Get("X-Expected-Instance"); x != "" && x != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return c, false
	}
	w.world.mu.Lock()
	if c.Fence < w.fence {
		w.world.mu.Unlock()
		w.reject(rw, "fence")
		return c, false
	}
	w.fence = c.Fence
	return c, true
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

// extend extends the lease. The caller holds the lock.
func (w *worker) extend(ms int64) {
	w.deadline = max(w.deadline, min(time.Duration(ms)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	reason := w.place(c)
	shown := true
	if reason != "" {
		w.world.rejected++
		shown = w.world.rejected <= maxRejectedShown
	}
	w.world.mu.Unlock()
	if shown {
		w.world.rec.write("start", "task", c.Task, "run", c.Run, "worker", w.id, "token", c.Fence, "ticket", c.Ticket != "", "answer", or(reason, "200"))
	}
	switch reason {
	case "":
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "unasked":
		respond(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clock().Milliseconds()})
	default:
		w.reject(rw, reason)
	}
}

// place starts a run, or returns why it cannot. The caller holds the lock.
func (w *worker) place(c command) string {
	job, rest, _ := strings.Cut(c.Task, ".")
	var k, number, index int
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &k, &number, &index); err != nil || number >= len(w.world.jobs[job]) {
		return "unasked"
	}
	s := w.world.jobs[job][number]
	if have := w.running[c.Task]; have != nil && have.number == c.Run {
		w.extend(c.Deadline)
		return ""
	}
	if c.Run <= w.highest[c.Task] {
		w.extend(c.Deadline)
		return "old"
	}
	if time.Duration(c.Deadline)*time.Millisecond < w.clock() {
		return "late"
	}
	if s.Advised {
		t, ok := w.world.tickets[c.Ticket]
		if !ok || t.worker != w.id || t.expires.Before(time.Now()) || t.step != c.Task[:strings.LastIndex(c.Task, ".")] {
			return "ticket"
		}
	}
	used := s.room
	for _, x := range w.running {
		used = used.plus(x.step.room)
	}
	w.extend(c.Deadline)
	if !used.fitsInto(w.capacity) {
		return "room"
	}
	now := time.Now()
	x := &run{task: c.Task, number: c.Run, step: s, worker: w, started: now}
	if !s.Gang {
		x.working = now
	}
	w.running[c.Task] = x
	w.world.begun[job]++
	return ""
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if x := w.running[c.Task]; x != nil && x.number <= c.Run && x.stopping.IsZero() {
		x.stopping = time.Now()
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	w.world.mu.Unlock()
	w.world.rec.write("stop", "task", c.Task, "run", c.Run, "worker", w.id)
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(rw, r); ok {
		w.world.mu.Unlock()
		respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.extend(c.Deadline)
	for len(w.ends) > 0 && w.ends[0].n <= c.LastSeen {
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(c.Wait) * time.Millisecond)
	for waiting := c.Wait > 0 && len(w.ends) == 0; waiting; waiting = waiting && len(w.ends) == 0 {
		ended := w.world.ended
		w.world.mu.Unlock()
		select {
		case <-ended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.world.mu.Lock()
	}
	defer w.world.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := 0
		switch {
		case x.working.IsZero():
		case x.step.LongRunning && time.Since(x.working) > startup:
			percent = 100
		case !x.step.LongRunning:
			percent = min(99, int(100*time.Since(x.working)/x.step.Work))
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.n, e.task, e.number, e.how, ""})
	}
	respond(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ends,
	})
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// drainTime is the time that a leaving worker announces.
const drainTime = 2 * time.Second

// drain announces that the worker leaves, serves on for the announced time and a
// little longer, and exits.
func (w *worker) drain() {
	w.world.mu.Lock()
	w.state = "draining"
	w.world.mu.Unlock()
	w.world.rec.write("worker drains", "worker", w.id)
	w.checkIn()
	time.Sleep(drainTime + w.linger)
	w.world.mu.Lock()
	w.down = true
	for _, r := range w.running {
		w.world.rec.write("ended", "task", r.task, "run", r.number, "worker", w.id, "how", "with its worker")
	}
	clear(w.running)
	w.world.mu.Unlock()
	_ = w.server.Close()
	w.world.store.put("servers", w.id, nil)
	w.world.rec.write("worker left", "worker", w.id)
}

// workerOf returns the worker that runs a work unit of a job, or nil.
func (d *deployment) workerOf(id string) *worker {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	for _, w := range d.world.workers {
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				return w
			}
		}
	}
	return nil
}

// freeSlots returns how many work units of a size fit on the workers now.
func (d *deployment) freeSlots(need room) int {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	n := 0
	for _, w := range d.world.workers {
		if w.down || w.state != "ready" {
			continue
		}
		used := need
		for _, r := range w.running {
			used = used.plus(r.step.room)
		}
		for used.fitsInto(w.capacity) {
			n++
			used = used.plus(need)
		}
	}
	return n
}
