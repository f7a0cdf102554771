package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxLease is bounds.max_hold_ms, stopTime how long a stop takes, which is within
	// bounds.stop_timeout_ms.
	maxLease = 6 * time.Second
	stopTime = 200 * time.Millisecond
	// startupTime is how long a long-running task takes until it is at work.
	startupTime = 300 * time.Millisecond
	// saveInterval is bounds.checkpoint_interval_s, restoreTime bounds.restore_ms.
	saveInterval = 500 * time.Millisecond
	restoreTime  = 600 * time.Millisecond
	maxWait      = 2 * time.Second
)

// stepSpec tells a stand-in worker what the tasks of a step do. A job's specification
// holds one for each of its steps.
type stepSpec struct {
	MS      int64 `json:"ms"`
	CPU     int64 `json:"cpu"`
	GPU     int64 `json:"gpu"`
	Lasting bool  `json:"lasting,omitempty"`
	Saves   bool  `json:"saves,omitempty"`
	// FailMS is after how long each run fails by its own fault, or 0 if none does. Run 1
	// of each task has a time of its own, if First is set.
	FailMS int64   `json:"fail_ms,omitempty"`
	First  []int64 `json:"first_fail_ms,omitempty"`
}

// fails reports whether the run has failed by its own fault.
func (t *taskRun) fails(now time.Time) bool {
	after, ok := t.failTime()
	return ok && now.Sub(t.began) >= after
}

// failTime returns after how long a run fails by its own fault, and false if it does not.
func (t *taskRun) failTime() (time.Duration, bool) {
	ms := t.spec.FailMS
	parts := strings.Split(t.task, ".")
	if i, err := strconv.Atoi(parts[len(parts)-1]); err == nil && t.number == 1 && i < len(t.spec.First) {
		ms = t.spec.First[i]
	}
	return time.Duration(ms) * time.Millisecond, ms > 0
}

// taskRun is a run on a worker.
type taskRun struct {
	task     string
	number   int
	spec     stepSpec
	began    time.Time
	saved    time.Duration
	stopping time.Time
}

// progress returns how much work the run has done.
func (t *taskRun) progress(now time.Time) time.Duration {
	work := now.Sub(t.began)
	if t.saved > 0 {
		work -= restoreTime
	}
	return t.saved + max(work, 0)
}

// checkpoint returns the latest checkpoint, or an empty string.
func (t *taskRun) checkpoint(now time.Time) string {
	if n := t.progress(now) / saveInterval; t.spec.Saves && n > 0 {
		return fmt.Sprintf("%016x", (n * saveInterval).Milliseconds())
	}
	return ""
}

func (t *taskRun) percent(now time.Time) int {
	if t.spec.Lasting {
		if now.Sub(t.began) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(100*t.progress(now).Milliseconds()/max(t.spec.MS, 1), 99))
}

// worker runs tasks as the platform's pages say.
type worker struct {
	id       string
	started  time.Time
	cpu, gpu int64
	log      *os.File

	mu       sync.Mutex
	fence    uint64
	deadline time.Duration
	running  map[string]*taskRun
	// barred holds the highest run that was stopped or has ended, by task.
	barred  map[string]int
	ended   [][]any
	nextEnd int64
	changed chan struct{}
}

func (w *worker) clock() time.Duration { return time.Since(w.started) }

// note writes one line about what the worker saw.
func (w *worker) note(what, task string, run int, detail string) {
	line, _ := json.Marshal(event{time.Now().UnixMilli(), w.id, what, task, run, detail})
	_, _ = w.log.Write(append(line, '\n'))
}

// event is one line of a worker's log.
type event struct {
	At     int64  `json:"at"`
	Worker string `json:"worker"`
	What   string `json:"what"`
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Detail string `json:"detail,omitempty"`
}

// end moves a run to the ended ones. The caller holds the lock.
func (w *worker) end(t *taskRun, how string) {
	delete(w.running, t.task)
	w.barred[t.task] = max(w.barred[t.task], t.number)
	w.nextEnd++
	w.ended = append(w.ended, []any{w.nextEnd, t.task, t.number, how, t.checkpoint(time.Now())})
	w.note("end", t.task, t.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// work ends the runs that are done, stopped or whose lease has expired.
func (w *worker) work() {
	for range time.Tick(10 * time.Millisecond) {
		now := time.Now()
		w.mu.Lock()
		for _, t := range w.running {
			switch {
			case w.clock() > w.deadline:
				w.end(t, "lapsed")
			case !t.stopping.IsZero() && now.Sub(t.stopping) >= stopTime:
				w.end(t, "stopped")
			case t.fails(now):
				w.end(t, "failed")
			case !t.spec.Lasting && t.progress(now).Milliseconds() >= t.spec.MS:
				w.end(t, "done")
			}
		}
		w.mu.Unlock()
	}
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpointed"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// extend lengthens the lease. The caller holds the lock.
func (w *worker) extend(ms int64) {
	w.deadline = max(w.deadline, min(time.Duration(ms)*time.Millisecond, w.clock()+maxLease))
}

// refuse answers a command with a reason. The caller holds the lock.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.started.UnixMilli(), "reason": reason})
}

func (w *worker) accept(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.started.UnixMilli()})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, c)
	case "/run-stop":
		w.stop(rw, c)
	case "/pace":
		w.accept(rw)
	case "/hold":
		w.hold(rw, c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) start(rw http.ResponseWriter, c command) {
	if t := w.running[c.Task]; t != nil && t.number == c.Run {
		w.extend(c.Deadline)
		w.accept(rw)
		return
	}
	if c.Deadline > 0 && time.Duration(c.Deadline)*time.Millisecond < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(c.Deadline)
	if c.Run <= w.barred[c.Task] || w.running[c.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	var steps []stepSpec
	parts := strings.Split(c.Task, ".")
	step, _ := strconv.Atoi(parts[len(parts)-2])
	if err := json.Unmarshal([]byte(c.Payload), &steps); err != nil || step >= len(steps) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	t := &taskRun{task: c.Task, number: c.Run, spec: steps[step], began: time.Now()}
	if ms, err := strconv.ParseInt(c.Checkpoint, 16, 64); err == nil {
		t.saved = time.Duration(ms) * time.Millisecond
	}
	cpu, gpu := t.spec.CPU, t.spec.GPU
	for _, o := range w.running {
		cpu, gpu = cpu+o.spec.CPU, gpu+o.spec.GPU
	}
	if cpu > w.cpu || gpu > w.gpu {
		w.refuse(rw, "room")
		return
	}
	w.running[c.Task] = t
	w.note("start", c.Task, c.Run, fmt.Sprintf("fence %d, checkpoint %q", c.Fence, c.Checkpoint))
	w.accept(rw)
}

func (w *worker) stop(rw http.ResponseWriter, c command) {
	t := w.running[c.Task]
	if t != nil && t.number == c.Run {
		if t.stopping.IsZero() {
			t.stopping = time.Now()
			w.note("stop ordered", c.Task, c.Run, fmt.Sprintf("fence %d, percent %d", c.Fence, t.percent(time.Now())))
		}
		w.accept(rw)
		return
	}
	if c.Run <= w.barred[c.Task] {
		w.refuse(rw, "old")
		return
	}
	w.barred[c.Task] = c.Run
	w.note("stop ordered", c.Task, c.Run, "not there")
	w.accept(rw)
}

func (w *worker) hold(rw http.ResponseWriter, c command) {
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	if wait := min(time.Duration(c.Wait)*time.Millisecond, maxWait); wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		w.mu.Lock()
	}
	now := time.Now()
	running := [][]any{}
	for _, t := range w.running {
		running = append(running, []any{t.task, t.number, t.checkpoint(now), t.percent(now), 0})
	}
	reply(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.started.UnixMilli(), "running": running, "ended": append([][]any{}, w.ended[:min(len(w.ended), 500)]...),
	})
}

func workerMain(args []string) int {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	id := f.String("id", "", "id")
	listen := f.String("listen", "", "loopback address")
	announce := f.String("announce", "", "address in the registry")
	storeAddress := f.String("store", "", "address of the store")
	service := f.String("service", "", "service")
	zone := f.String("zone", "", "zone")
	rack := f.String("rack", "", "rack")
	kind := f.String("kind", "a", "kind")
	logPath := f.String("log", "", "file for what the worker sees")
	beat := f.Duration("beat", 1500*time.Millisecond, "check-in interval")
	_ = f.Parse(args)
	out, err := os.OpenFile(*logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return 2
	}
	w := &worker{
		id: *id, started: time.Now(), cpu: 64000, gpu: 8, log: out, running: map[string]*taskRun{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	go w.work()
	go func() {
		for n := 1; ; n++ {
			entry := map[string]any{
				"service": *service, "address": *announce, "zone": *zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
				"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 131072, "gpu": w.gpu}, "labels": []string{*kind, *rack},
				"clock_ms": w.clock().Milliseconds(), "sequence": n, "born": w.started.UnixMilli(),
			}
			_ = putRow(*storeAddress, registryTable, w.id, entry)
			time.Sleep(*beat)
		}
	}()
	return serve(*listen, w)
}

// putRow writes a row of the operator or of a worker.
func putRow(storeAddress, table, key string, value any) error {
	body, err := json.Marshal(map[string]any{"table": table, "key": key, "value": value})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+storeAddress+"/stand-in/put", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}
