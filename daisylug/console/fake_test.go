package console

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files")

// result is the exit code and the output of a command.
type result struct {
	code int
	out  string
	err  string
}

// run executes a command with the given transport and standard input.
func run(t *testing.T, transport http.RoundTripper, in string, args ...string) result {
	t.Helper()
	var out, err bytes.Buffer
	c := New(Streams{In: strings.NewReader(in), Out: &out, Err: &err}, transport)
	code := c.Run(context.Background(), args)
	return result{code, out.String(), err.String()}
}

// startServer starts a server on the loopback interface and returns its URL.
func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// golden compares got with a golden file, and rewrites the file first if -update
// is given.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.FromSlash(name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// handlerTransport is an http.RoundTripper that calls a handler without a network,
// for tests in virtual time.
type handlerTransport struct{ http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

// errorResponse returns a handler that responds with an API error.
func errorResponse(status int, kind, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		reply(w, status, fmt.Sprintf(`{"error":{"type":%q,"message":"refused","ran":%q}}`, kind, ran))
	}
}

// okResponse returns a handler that responds with status 200 and body.
func okResponse(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, body) }
}

// fakeInstance implements the team and status endpoints of docs/api.md in memory.
type fakeInstance struct {
	mu     sync.Mutex
	teams  map[string]document
	config int
	// afterPut, if set, runs once in place of the response, after the next change
	// has been stored.
	afterPut func(w http.ResponseWriter)
	// beforePut, if set, runs once before the next change is checked.
	beforePut func()
}

func (c *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := strings.TrimPrefix(r.URL.Path, "/v1/teams/")
	switch {
	case r.URL.Path == "/v1/status":
		reply(w, http.StatusOK, fmt.Sprintf(`{"instances":[{"instance":"i1","centre":"a","config":{"version":%d},"instances":[{"name":"i1","centre":"a","state":"live","config":%d}]}]}`, c.config, c.config))
	case r.Method == http.MethodPut:
		c.put(w, r, name)
	case c.teams[name] == nil:
		errorResponse(http.StatusNotFound, typeNotFound, ranNo)(w, r)
	default:
		body, _ := json.Marshal(c.teams[name])
		reply(w, http.StatusOK, string(body))
	}
}

func (c *fakeInstance) put(w http.ResponseWriter, r *http.Request, name string) {
	if c.beforePut != nil {
		c.beforePut()
		c.beforePut = nil
	}
	current := c.teams[name]
	matches := r.Header.Get("If-Match") == fmt.Sprintf("%q", fmt.Sprint(current["version"]))
	if current == nil {
		matches = r.Header.Get("If-None-Match") == "*"
	}
	if !matches {
		reply(w, http.StatusConflict, fmt.Sprintf(`{"error":{"type":"conflict","message":"another change came first","ran":"no","version":%v}}`, current["version"]))
		return
	}
	var next document
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil || next["version"] != nil {
		errorResponse(http.StatusBadRequest, "invalid_field", ranNo)(w, r)
		return
	}
	c.set(name, next)
	if c.afterPut != nil {
		hook := c.afterPut
		c.afterPut = nil
		hook(w)
		return
	}
	reply(w, http.StatusOK, fmt.Sprintf(`{"version":%v,"config":%d}`, next["version"], c.config))
}

func (c *fakeInstance) set(name string, d document) {
	version := 0
	if current := c.teams[name]; current != nil {
		version = current["version"].(int)
	}
	c.config++
	d["version"] = version + 1
	c.teams[name] = d
}
