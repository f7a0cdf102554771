package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Limits of the store as PROTOCOL.md and the settings state them.
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxNameBytes          = 200
	maxRowBytes           = 65536
	maxPageRows           = 500
	// transactionTime is platform.transaction_ms.
	transactionTime = 5 * time.Millisecond
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	value   string // base64
	version int64
	deleted bool
}

// store is the platform's store. Nothing that it has acknowledged is lost.
type store struct {
	started time.Time

	mu       sync.Mutex
	rows     map[rowKey]row
	version  int64
	changed  chan struct{}
	rejected int // transactions over a limit
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{value: base64.StdEncoding.EncodeToString(encoded), version: s.version}
	s.notify()
}

// remove deletes a row on behalf of a worker that has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{version: s.version, deleted: true}
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() + 1000 }

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type wirePage struct {
	Rows    []wireRow `json:"rows"`
	More    bool      `json:"has_more"`
	Version int64     `json:"row_version"`
	Now     int64     `json:"now_ms"`
}

func (k rowKey) wire(r row) wireRow {
	return wireRow{Table: k.Table, Part: k.Part, Key: k.Key, Value: r.value, Version: r.version, Deleted: r.deleted}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handler serves the store to one instance.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transaction)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

type wireTransaction struct {
	Guards  []wireRow `json:"precondition"`
	Writes  []wireRow `json:"writes"`
	Removes []wireRow `json:"remove"`
}

// invalid returns why a transaction is over a limit of the pages, or "".
func (t *wireTransaction) invalid() string {
	all := slices.Concat(t.Guards, t.Writes, t.Removes)
	if len(all) > maxTransactionEntries {
		return "more than 100 entries"
	}
	for _, r := range all {
		if max(len(r.Table), len(r.Part), len(r.Key)) > maxNameBytes {
			return "a name of more than 200 bytes"
		}
		if r.Part != all[0].Part {
			return "entries of several parts"
		}
	}
	for _, r := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return "a value that is not base64"
		}
		if len(value) > maxRowBytes {
			return "a value of more than max_row_bytes"
		}
	}
	return ""
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTransactionBytes))
	var t wireTransaction
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	reason := t.invalid()
	if err != nil {
		reason = err.Error()
	}
	if reason != "" {
		s.mu.Lock()
		s.rejected++
		first := s.rejected == 1
		s.mu.Unlock()
		if first {
			note("store", "answers 400 to a transaction, nothing is done: %s (later ones of this kind are counted only)", reason)
		}
		reply(w, http.StatusBadRequest, map[string]string{"error": reason})
		return
	}
	for _, e := range slices.Concat(t.Writes, t.Removes) {
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []wireRow
	failed := false
	for _, g := range t.Guards {
		k := rowKey{g.Table, g.Part, g.Key}
		have, ok := s.rows[k]
		if ok && !have.deleted {
			current = append(current, k.wire(have))
		}
		if ok = ok && !have.deleted; ok && have.version != g.Version || !ok && g.Version != 0 {
			failed = true
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, wirePage{Rows: current, Version: s.version, Now: s.now()})
		return
	}
	s.version++
	for _, e := range t.Writes {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{value: e.Value, version: s.version}
	}
	for _, e := range t.Removes {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{version: s.version, deleted: true}
	}
	s.notify()
	reply(w, http.StatusOK, wirePage{Rows: []wireRow{}, Version: s.version, Now: s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wirePage{Rows: []wireRow{}, Version: s.version, Now: s.now()}
	for k, have := range s.rows {
		if k.Table != q.Get("table") || k.Part != q.Get("part") || have.deleted || k.Key < q.Get("from") || q.Get("target") != "" && k.Key >= q.Get("target") {
			continue
		}
		page.Rows = append(page.Rows, k.wire(have))
	}
	slices.SortFunc(page.Rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i := range page.Rows {
		if size += len(page.Rows[i].Value); i == limit || i > 0 && size > maxTransactionBytes {
			page.Rows, page.More = page.Rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		page := wirePage{Rows: []wireRow{}, Version: s.version, Now: s.now()}
		for k, have := range s.rows {
			if k.Table == q.Get("table") && have.version > after {
				page.Rows = append(page.Rows, k.wire(have))
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 || !waiting || wait == 0 {
			slices.SortFunc(page.Rows, func(a, b wireRow) int { return int(a.Version - b.Version) })
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
