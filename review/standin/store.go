package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the platform's store takes for an answer.
const storeDelay = 4 * time.Millisecond

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	started time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	// onApply is called with the rows of a transaction that has been applied, before
	// it is answered.
	onApply func(writes []row)
}

func newStore() *store {
	return &store{started: time.Now(), version: 1, rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key}
	if value == nil {
		r.Deleted = true
	} else {
		r.Value, _ = json.Marshal(value)
	}
	s.apply(r)
	s.notify()
}

// apply records a change under the current version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// head returns the fields that every response has. The caller holds the lock.
func (s *store) head() map[string]any {
	return map[string]any{"row_version": s.version, "now_ms": time.Since(s.started).Milliseconds() + 1}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []row
	for _, p := range body.Precondition {
		have, ok := s.rows[rowKey{p.Table, p.Part, p.Key}]
		if ok {
			current = append(current, have)
		}
		failed = failed || have.Version != p.Version
	}
	if failed {
		answer := s.head()
		answer["rows"] = current
		respond(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.version++
	for _, x := range body.Writes {
		s.apply(x)
	}
	for _, x := range body.Remove {
		x.Deleted, x.Value = true, nil
		s.apply(x)
	}
	s.notify()
	if s.onApply != nil {
		s.onApply(body.Writes)
	}
	respond(w, http.StatusOK, s.head())
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const maxRows = 500
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	answer := s.head()
	answer["has_more"] = len(found) > limit
	answer["rows"] = found[:min(limit, len(found))]
	respond(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	time.Sleep(storeDelay)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		latest := map[rowKey]row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			x := s.history[i]
			k := rowKey{x.Table, x.Part, x.Key}
			if _, ok := latest[k]; !ok && x.Table == q.Get("table") {
				latest[k] = x
			}
		}
		if len(latest) > 0 || ended || wait == 0 {
			found := []row{}
			for _, x := range latest {
				found = append(found, x)
			}
			sort.Slice(found, func(a, b int) bool { return found[a].Version < found[b].Version })
			answer := s.head()
			answer["rows"] = found
			s.mu.Unlock()
			respond(w, http.StatusOK, answer)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
