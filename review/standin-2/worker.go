package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the site kivi-daisylug.
const (
	maxLease       = 6 * time.Second
	stopTime       = 300 * time.Millisecond // at most bounds.stop_timeout_ms
	gangTimeout    = 3 * time.Second
	drainTime      = 2 * time.Second
	lingerTime     = 2 * time.Second
	checkInterval  = 1500 * time.Millisecond
	startupTime    = 1 * time.Second
	simulationTick = 10 * time.Millisecond
	earlyTime      = 250 * time.Millisecond // bounds.early_ms
)

// room is an amount of resources.
type room struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (r room) plus(o room, n int64) room {
	return room{r.CPU + n*o.CPU, r.Mem + n*o.Mem, r.GPU + n*o.GPU}
}

func (r room) fits(o room) bool { return r.CPU <= o.CPU && r.Mem <= o.Mem && r.GPU <= o.GPU }

// fleet is all workers of one service. They check capacity, as admission_check says.
type fleet struct {
	store   *store
	service string
	work    func(task string) (step, bool)
	adviser *adviser

	mu      sync.Mutex
	workers []*worker
	// starts counts the starts of each job, finished holds the tasks that ended done,
	// noted those of them whose end was taken note of.
	starts   map[string]int
	finished map[string]bool
	noted    map[string]bool
	// twice and early count the starts that broke the rules TWICE and ORDER.
	twice, early int
}

// worker is one life of a worker.
type worker struct {
	fleet     *fleet
	id        string
	zone      string
	rack      string
	capacity  room
	born      time.Time
	listener  net.Listener
	server    *http.Server
	state     string
	remaining time.Time
	left      bool
	// busy is set while the worker is unhealthy and answers starts with 503.
	busy     bool
	sequence int64
	fence    uint64
	lease    time.Time
	running  map[string]*run
	latest   map[string]int // highest run that was stopped or has ended, by task
	ends     []ended
	lastEnd  int64
	changed  chan struct{}
}

type run struct {
	task     string
	number   int
	step     step
	placed   time.Time
	started  time.Time // of a gang, once all members are present
	stopping time.Time
}

type ended struct {
	sequence int64
	task     string
	run      int
	how      string
}

func newFleet(s *store, service string, work func(string) (step, bool)) *fleet {
	return &fleet{store: s, service: service, work: work, starts: map[string]int{}, finished: map[string]bool{}, noted: map[string]bool{}}
}

// add starts a worker.
func (f *fleet) add(n int, zone string, capacity room) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x5a000000+n*7919), zone: zone, rack: fmt.Sprintf("r%s-%d", zone, n/8), capacity: capacity,
		born: time.Now(), listener: l, state: "ready", running: map[string]*run{}, latest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.expected(w.start))
	mux.HandleFunc("POST /run-stop", w.expected(w.stop))
	mux.HandleFunc("POST /hold", w.expected(w.hold))
	mux.HandleFunc("POST /pace", w.expected(func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, w.clockBody()) }))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.checkIn()
	return w, nil
}

// checkIn writes the entry of the worker until it has left.
func (w *worker) checkIn() {
	for {
		w.fleet.mu.Lock()
		left := w.left
		if !left {
			w.writeEntry()
		}
		w.fleet.mu.Unlock()
		if left {
			return
		}
		time.Sleep(checkInterval)
	}
}

// writeEntry writes the entry of the worker. The caller holds the lock.
func (w *worker) writeEntry() {
	w.sequence++
	entry := map[string]any{
		"service": w.fleet.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 8, "state": w.state,
		"cold_remaining_ms": 0, "capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock(), "born": w.born.UnixMilli(),
		"sequence": w.sequence,
	}
	if w.state == "draining" {
		entry["remaining_ms"] = max(time.Until(w.remaining).Milliseconds(), 0)
	}
	w.fleet.store.put("servers", w.id, entry)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) clockBody() map[string]any {
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
}

// drain empties the worker and takes it away: it serves for the announced time and
// a little longer, and then exits with all that it runs.
func (w *worker) drain() {
	w.fleet.mu.Lock()
	w.state, w.remaining = "draining", time.Now().Add(drainTime)
	w.writeEntry()
	note("worker", "%s reports draining", w.id)
	w.fleet.mu.Unlock()
	time.Sleep(drainTime + lingerTime)
	w.fleet.mu.Lock()
	w.left = true
	for _, r := range slices.Collect(maps.Values(w.running)) {
		note("worker", "%s leaves, run %d of %s terminates", w.id, r.number, r.task)
		w.end(r, "stopped")
	}
	w.fleet.mu.Unlock()
	_ = w.server.Close()
	w.fleet.store.remove("servers", w.id)
	note("worker", "%s has left", w.id)
}

// expected rejects calls that are meant for another life.
func (w *worker) expected(f http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
			reply(rw, http.StatusMisdirectedRequest, w.clockBody())
			return
		}
		f(rw, r)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Generation uint64 `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	Ticket     string `json:"ticket"`
	Wait       int64  `json:"wait_ms"`
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	body := w.clockBody()
	body["reason"] = reason
	reply(rw, http.StatusConflict, body)
}

// accept checks the fence and extends the lease. The caller holds the lock.
func (w *worker) accept(c order) bool {
	if c.Generation < w.fence {
		return false
	}
	w.fence = c.Generation
	if c.Deadline > 0 {
		end := w.born.Add(time.Duration(c.Deadline) * time.Millisecond)
		if limit := time.Now().Add(maxLease); end.After(limit) {
			end = limit
		}
		if end.After(w.lease) {
			w.lease = end
		}
	}
	return true
}

// used returns the room of all runs, those that are being stopped included. The
// caller holds the lock.
func (w *worker) used() room {
	total := room{}
	for _, r := range w.running {
		total = total.plus(r.step.room, 1)
	}
	return total
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var c order
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, w.clockBody())
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	s, known := w.fleet.work(c.Task)
	now := time.Now()
	if w.busy {
		reply(rw, http.StatusServiceUnavailable, w.clockBody())
		return
	}
	switch {
	case !known:
		note("worker", "%s was told to start %s, which nobody sent", w.id, c.Task)
		reply(rw, http.StatusBadRequest, w.clockBody())
	case !w.accept(c):
		w.reject(rw, "fence")
	case w.running[c.Task] != nil && w.running[c.Task].number == c.Run:
		reply(rw, http.StatusOK, w.clockBody())
	case w.running[c.Task] != nil || c.Run <= w.latest[c.Task]:
		w.reject(rw, "old")
	case !w.lease.After(now):
		w.reject(rw, "late")
	case s.advised && !w.fleet.adviser.valid(c.Ticket, c.Task, w.id):
		w.reject(rw, "ticket")
	case !w.used().plus(s.room, 1).fits(w.capacity):
		w.reject(rw, "room")
	default:
		w.running[c.Task] = &run{task: c.Task, number: c.Run, step: s, placed: now}
		if !s.Gang {
			w.running[c.Task].started = now
		}
		w.fleet.starts[jobOf(c.Task)]++
		w.fleet.checkStart(w, c.Task, s)
		note("worker", "%s starts run %d of %s", w.id, c.Run, c.Task)
		reply(rw, http.StatusOK, w.clockBody())
	}
}

// checkStart applies TWICE and ORDER to a start. The caller holds the lock.
func (f *fleet) checkStart(w *worker, task string, s step) {
	for _, other := range f.workers {
		if other != w && !other.left && other.running[task] != nil {
			f.twice++
			note("script", "TWICE: %s starts on %s while it runs on %s", task, w.id, other.id)
		}
	}
	if f.noted[task] {
		f.twice++
		note("script", "TWICE: %s starts after its end was taken note of", task)
	}
	if due := s.due(task); time.Now().Add(earlyTime).Before(due) {
		f.early++
		note("script", "ORDER: %s starts %v before its time", task, time.Until(due))
	}
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var c order
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, w.clockBody())
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.accept(c) {
		w.reject(rw, "fence")
		return
	}
	if r := w.running[c.Task]; r != nil && r.number == c.Run && r.stopping.IsZero() {
		r.stopping = time.Now()
	}
	w.latest[c.Task] = max(w.latest[c.Task], c.Run)
	reply(rw, http.StatusOK, w.clockBody())
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var c order
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, w.clockBody())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(c.Wait)*time.Millisecond)
	defer cancel()
	w.fleet.mu.Lock()
	if !w.accept(c) {
		w.fleet.mu.Unlock()
		w.reject(rw, "fence")
		return
	}
	for _, e := range w.ends {
		if e.sequence <= c.LastSeen && e.how == "done" {
			w.fleet.noted[e.task] = true
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e ended) bool { return e.sequence <= c.LastSeen })
	for len(w.ends) == 0 && ctx.Err() == nil && c.Wait > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		w.fleet.mu.Lock()
	}
	body := w.clockBody()
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", r.percent(), r.step.CPU})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	w.fleet.mu.Unlock()
	body["running"], body["ended"] = running, ends
	reply(rw, http.StatusOK, body)
}

// percent returns the progress of a run.
func (r *run) percent() int {
	if r.started.IsZero() {
		return 0
	}
	length := r.step.length
	if r.step.LongRunning {
		length = startupTime
	}
	return int(min(100*time.Since(r.started)/length, 100))
}

// end records the end of a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.latest[r.task] = max(w.latest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.number, how})
	if how == "done" {
		w.fleet.finished[r.task] = true
	}
	note("worker", "%s lists run %d of %s as %s", w.id, r.number, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// simulate lets runs progress until ctx ends.
func (f *fleet) simulate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(simulationTick)
		f.mu.Lock()
		f.advance(time.Now())
		f.mu.Unlock()
	}
}

type gangKey struct {
	step   string
	number int
}

type member struct {
	worker *worker
	run    *run
}

// advance ends what has to end now. The caller holds the lock.
func (f *fleet) advance(now time.Time) {
	gangs := map[gangKey][]member{}
	for _, w := range f.workers {
		for _, r := range slices.Collect(maps.Values(w.running)) {
			if r.step.Gang {
				gangs[gangKey{stepOf(r.task), r.number}] = append(gangs[gangKey{stepOf(r.task), r.number}], member{w, r})
			}
		}
	}
	for _, all := range gangs {
		f.advanceGang(all, now)
	}
	for _, w := range f.workers {
		for _, r := range slices.Collect(maps.Values(w.running)) {
			switch {
			case !w.lease.After(now):
				w.end(r, "lapsed")
			case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopTime:
				w.end(r, "stopped")
			case !r.step.Gang && !r.step.LongRunning && now.Sub(r.started) >= r.step.length:
				w.end(r, "done")
			}
		}
	}
}

// advanceGang starts a gang when all members are present, ends it as a whole, and
// ends members that have waited too long. The caller holds the lock.
func (f *fleet) advanceGang(all []member, now time.Time) {
	s := all[0].run.step
	begun := slices.ContainsFunc(all, func(m member) bool { return !m.run.started.IsZero() })
	switch {
	case !begun && len(all) == s.Count:
		for _, m := range all {
			m.run.started = now
		}
	case begun && len(all) < s.Count:
		for _, m := range all {
			m.worker.end(m.run, "broken")
		}
	case begun && !s.LongRunning && now.Sub(all[0].run.started) >= s.length:
		for _, m := range all {
			m.worker.end(m.run, "done")
		}
	case !begun:
		for _, m := range all {
			if now.Sub(m.run.placed) >= gangTimeout {
				m.worker.end(m.run, "alone")
			}
		}
	}
}

// jobOf returns the job of a work unit named ID.K.STEP.INDEX, stepOf its step.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// stepNumber returns the number of the step of a work unit.
func stepNumber(task string) int {
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[2])
	if len(parts) != 4 || err != nil {
		return -1
	}
	return n
}

// occurrence returns the occurrence of a work unit.
func occurrence(task string) int {
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[1])
	if err != nil {
		return 0
	}
	return n
}

// usage is what the workers of the fleet hold at one moment.
type usage struct {
	capacity, used room
	// free is the free room of each worker that is up and takes work.
	free    []room
	running map[string]int // number of runs by job
}

// observe returns the usage of the workers that are up.
func (f *fleet) observe() usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := usage{running: map[string]int{}}
	for _, w := range f.workers {
		if w.left {
			continue
		}
		used := w.used()
		u.capacity, u.used = u.capacity.plus(w.capacity, 1), u.used.plus(used, 1)
		if w.state == "ready" {
			u.free = append(u.free, w.capacity.plus(used, -1))
		}
		for _, r := range w.running {
			u.running[jobOf(r.task)]++
		}
	}
	return u
}

// underHalf reports whether less than half of each resource is in use.
func (u usage) underHalf() bool {
	return 2*u.used.CPU < u.capacity.CPU && 2*u.used.Mem < u.capacity.Mem && 2*u.used.GPU < u.capacity.GPU
}

// holdsTwice reports whether all work units of the step fit twice.
func (u usage) holdsTwice(s step) bool {
	n := 0
	for _, free := range u.free {
		for room := s.room; room.fits(free); free = free.plus(s.room, -1) {
			n++
		}
	}
	return n >= 2*s.Count
}
