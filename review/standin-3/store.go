package main

import (
	"context"
	"encoding/json"
	"flag"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long changes stay readable in the feed.
	historyTime = 20 * time.Second
	// transactionTime is how long a transaction takes, readTime a read.
	transactionTime = 5 * time.Millisecond
	readTime        = 4 * time.Millisecond
	// maxPageRows is the largest number of rows of one response.
	maxPageRows = 500
	// maxTransactionEntries is the largest number of entries of one transaction.
	maxTransactionEntries = 100
	// registryTable holds the workers, operatorTable the configuration. The system
	// must not write to either.
	registryTable = "servers"
	operatorTable = "op"
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store as sent to its clients.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// change is an entry of the history.
type change struct {
	at  time.Time
	row row
}

// store is a linearizable table store in memory.
type store struct {
	started time.Time
	maxRow  int
	beat    time.Duration

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	// dropped is the version up to which the history is gone.
	dropped int64
	history []change
	changed chan struct{}
	parts   map[string]*sync.Mutex
	beats   map[string]time.Time
}

func newStore(beat time.Duration) *store {
	return &store{
		started: time.Now(), maxRow: 65536, beat: beat, version: 1, rows: map[rowKey]row{}, changed: make(chan struct{}),
		parts: map[string]*sync.Mutex{}, beats: map[string]time.Time{},
	}
}

type transaction struct {
	Preconditions []struct {
		rowKey
		Version int64 `json:"row_version"`
	} `json:"precondition"`
	Writes []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"writes"`
	Removes []rowKey `json:"remove"`
}

type page struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	Now     int64 `json:"now_ms"`
}

func (s *store) page(rows []row, more bool) page {
	if rows == nil {
		rows = []row{}
	}
	return page{Rows: rows, More: more, Version: s.version, Now: time.Since(s.started).Milliseconds() + 1}
}

// put applies writes and removes as one transaction. The caller holds the lock.
func (s *store) put(writes []row, removes []rowKey) {
	s.version++
	now := time.Now()
	for _, w := range writes {
		w.Version = s.version
		s.rows[w.rowKey] = w
		s.history = append(s.history, change{now, w})
	}
	for _, k := range removes {
		if _, ok := s.rows[k]; !ok {
			continue
		}
		delete(s.rows, k)
		s.history = append(s.history, change{now, row{rowKey: k, Version: s.version, Deleted: true}})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].row.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// partLock returns the lock under which the transactions of a part take place.
func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	part, parts := "", map[string]bool{}
	note := func(k rowKey) { part, parts[k.Part] = k.Part, true }
	for _, p := range t.Preconditions {
		note(p.rowKey)
	}
	for _, x := range t.Writes {
		note(x.rowKey)
		if len(x.Value) > s.maxRow || x.Table == registryTable || x.Table == operatorTable {
			reply(w, http.StatusForbidden, map[string]string{"error": "not allowed"})
			return
		}
	}
	for _, k := range t.Removes {
		note(k)
	}
	if len(parts) > 1 || len(t.Preconditions)+len(t.Writes)+len(t.Removes) > maxTransactionEntries {
		reply(w, http.StatusBadRequest, map[string]string{"error": "one part and 100 entries at most"})
		return
	}
	lock := s.partLock(part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, p := range t.Preconditions {
		have := s.rows[p.rowKey]
		failed = failed || have.Version != p.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, s.page(current, false))
		return
	}
	var writes []row
	for _, x := range t.Writes {
		writes = append(writes, row{rowKey: x.rowKey, Value: x.Value})
	}
	s.put(writes, t.Removes)
	reply(w, http.StatusOK, s.page(nil, false))
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, s.page(rows, more))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if after < s.dropped {
			p := s.page(nil, false)
			s.mu.Unlock()
			reply(w, http.StatusGone, p)
			return
		}
		latest := map[rowKey]row{}
		for _, c := range s.history {
			if c.row.Table == q.Get("table") && c.row.Version > after {
				latest[c.row.rowKey] = c.row
			}
		}
		var rows []row
		for _, x := range latest {
			rows = append(rows, x)
		}
		slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
		p, changed := s.page(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// putRow serves the operator and the workers, whose ways into the store the pages
// leave open.
func (s *store) putRow(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Table, Key string
		Value      json.RawMessage
		Remove     bool
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	k := rowKey{Table: x.Table, Key: x.Key}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.Remove {
		delete(s.beats, x.Key)
		s.put(nil, []rowKey{k})
	} else {
		if x.Table == registryTable {
			s.beats[x.Key] = time.Now()
		}
		s.put([]row{{rowKey: k, Value: x.Value}}, nil)
	}
	reply(w, http.StatusOK, s.page(nil, false))
}

// expire removes the entries of workers after three check-in intervals of silence.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*s.beat {
				delete(s.beats, id)
				s.put(nil, []rowKey{{Table: registryTable, Key: id}})
			}
		}
		s.mu.Unlock()
	}
}

func storeMain(args []string) int {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	listen := f.String("listen", "", "loopback address")
	beat := f.Duration("beat", 1500*time.Millisecond, "check-in interval of workers")
	_ = f.Parse(args)
	s := newStore(*beat)
	go s.expire()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.list)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /stand-in/put", s.putRow)
	return serve(*listen, mux)
}

// serve serves a handler at an address until the process ends.
func serve(address string, h http.Handler) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Print(err)
		return 2
	}
	log.Print(http.Serve(l, h))
	return 2
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
