package console

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// closedServer returns the URL of a port that refuses connections.
func closedServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return "http://" + l.Addr().String()
}

// cut closes the connection without an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncated announces more than it sends.
func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"id":`))
}

// silent answers nothing until the caller has gone, which the server notices
// once it has read the body.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// TestFaults sends each kind of call to a faulty first server and a sound
// second one. It guards against a call that may have run being sent again
// without permission, against a lost answer being reported as not run, and
// against giving up while another server could answer.
func TestFaults(t *testing.T) {
	read := []string{"job", "get", "j1"}
	submit := []string{"job", "submit", "--team=a", "--template=b", "--key=k"}
	quote := []string{"quote", "--team=a", "--template=b"}
	repeatable := []string{"quote", "--idempotent", "--team=a", "--template=b"}
	badGateway := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }
	garbage := success(`{"id":`)
	leaving := refusal(http.StatusServiceUnavailable, typeLeaving, ranNo)
	leavingUnknown := refusal(http.StatusServiceUnavailable, typeLeaving, ranUnknown)

	for _, tt := range []struct {
		fault   string
		handler http.HandlerFunc
		args    []string
		code    int
		// second is how often the sound server is called.
		second int32
	}{
		{"down", nil, read, ExitOK, 1},
		{"down", nil, submit, ExitOK, 1},
		{"down", nil, quote, ExitOK, 1},
		{"shutting down", leaving, submit, ExitOK, 1},
		{"shutting down", leaving, quote, ExitOK, 1},
		{"shutting down, ran unknown", leavingUnknown, quote, ExitUnknownOutcome, 0},
		{"shutting down, ran unknown", leavingUnknown, repeatable, ExitOK, 1},
		{"connection cut", cut, read, ExitOK, 1},
		{"connection cut", cut, submit, ExitOK, 1},
		{"connection cut", cut, quote, ExitUnknownOutcome, 0},
		{"connection cut", cut, repeatable, ExitOK, 1},
		{"truncated", truncated, read, ExitOK, 1},
		{"truncated", truncated, submit, ExitOK, 1},
		{"truncated", truncated, quote, ExitUnknownOutcome, 0},
		{"incomplete JSON", garbage, read, ExitOK, 1},
		{"incomplete JSON", garbage, quote, ExitUnknownOutcome, 0},
		{"silent", silent, read, ExitOK, 1},
		{"silent", silent, submit, ExitOK, 1},
		{"silent", silent, quote, ExitUnknownOutcome, 0},
		{"balancer's 502", badGateway, read, ExitOK, 1},
		{"balancer's 502", badGateway, quote, ExitUnknownOutcome, 0},
		{"429", refusal(http.StatusTooManyRequests, typeOverload, ranNo), submit, ExitRefused, 0},
		{"409", refusal(http.StatusConflict, typeConflict, ranNo), submit, ExitConflict, 0},
		{"404", refusal(http.StatusNotFound, typeNotFound, ranNo), read, ExitNotFound, 0},
		{"502 work failed", refusal(http.StatusBadGateway, typeFailed, ranYes), quote, ExitFailed, 0},
		{"504 deadline while running", refusal(http.StatusGatewayTimeout, "deadline", ranUnknown), quote, ExitUnknownOutcome, 0},
		{"409, ran unknown", refusal(http.StatusConflict, typeConflict, ranUnknown), quote, ExitUnknownOutcome, 0},
		{"503, ran yes", refusal(http.StatusServiceUnavailable, typeUnavailable, ranYes), quote, ExitUnknownOutcome, 0},
		{"500", refusal(http.StatusInternalServerError, typeInternal, ranUnknown), quote, ExitUnknownOutcome, 0},
		{"500", refusal(http.StatusInternalServerError, typeInternal, ranUnknown), read, ExitFault, 0},
		{"not daisylug", http.NotFound, read, ExitFault, 0},
	} {
		t.Run(tt.fault+"/"+tt.args[0]+" "+tt.args[1], func(t *testing.T) {
			t.Parallel()
			first := ""
			if tt.handler == nil {
				first = closedServer(t)
			} else {
				first = serve(t, tt.handler)
			}
			var calls atomic.Int32
			second := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				reply(w, http.StatusOK, `{"id":"j1","state":"done"}`)
			}))
			args := append([]string{"--timeout=1s", "--servers", first + "," + second}, tt.args...)
			got := run(t, NewTransport(), "", args...)
			if got.code != tt.code || calls.Load() != tt.second {
				t.Errorf("exit code %d, %d calls of the second server, want %d, %d\n%s", got.code, calls.Load(), tt.code, tt.second, got.err)
			}
		})
	}
}

// TestFaultPairs guards against a refusal of the second attempt being taken
// for the outcome of the first, which may have been accepted.
func TestFaultPairs(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"cut":     cut,
		"leaving": refusal(http.StatusServiceUnavailable, typeLeaving, ranNo),
		"429":     refusal(http.StatusTooManyRequests, typeOverload, ranNo),
		"409":     refusal(http.StatusConflict, typeConflict, ranNo),
	}
	start := func(fault string) string {
		if fault == "down" {
			return closedServer(t)
		}
		return serve(t, faults[fault])
	}
	for _, tt := range []struct {
		first, second string
		submit, quote int
	}{
		{"down", "down", ExitUnreachable, ExitUnreachable},
		{"down", "cut", ExitUnknownOutcome, ExitUnknownOutcome},
		{"down", "leaving", ExitRefused, ExitRefused},
		{"down", "429", ExitRefused, ExitRefused},
		{"down", "409", ExitConflict, ExitConflict},
		{"leaving", "down", ExitUnreachable, ExitUnreachable},
		{"leaving", "cut", ExitUnknownOutcome, ExitUnknownOutcome},
		{"leaving", "429", ExitRefused, ExitRefused},
		{"cut", "down", ExitUnknownOutcome, ExitUnknownOutcome},
		{"cut", "cut", ExitUnknownOutcome, ExitUnknownOutcome},
		{"cut", "leaving", ExitUnknownOutcome, ExitUnknownOutcome},
		{"cut", "429", ExitUnknownOutcome, ExitUnknownOutcome},
		{"cut", "409", ExitUnknownOutcome, ExitUnknownOutcome},
	} {
		servers := start(tt.first) + "," + start(tt.second)
		for command, code := range map[string]int{"job submit": tt.submit, "quote": tt.quote} {
			line := command + " --team=a --template=b -o json --servers " + servers
			got := run(t, NewTransport(), "", strings.Fields(line)...)
			unknown := strings.Contains(got.err, `"ran": "unknown"`)
			if got.code != code || unknown != (code == ExitUnknownOutcome) {
				t.Errorf("%s, %s, %s: exit code %d, want %d\n%s", command, tt.first, tt.second, got.code, code, got.err)
			}
		}
	}
}

// TestOnce guards against work that runs twice. Without the rule that only a
// repeatable call is sent again, it does.
func TestOnce(t *testing.T) {
	for _, tt := range []struct {
		rule bool
		runs int32
	}{{true, 1}, {false, 2}} {
		var runs atomic.Int32
		first := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			cut(w, r)
		}))
		second := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			reply(w, http.StatusOK, `{"id":"q"}`)
		}))
		q := quickRequest(quoteRequest{Team: "a", Template: "b", ID: "q"})
		if !tt.rule {
			q.repeatable = true
		}
		_, err := newClient([]server{{first}, {second}}, time.Second, NewTransport()).do(t.Context(), q)
		if runs.Load() != tt.runs || (err != nil) != tt.rule {
			t.Errorf("with the rule %v: %d runs, error %v", tt.rule, runs.Load(), err)
		}
	}
}

// TestAllDown guards against an outcome other than unreachable when nothing
// was sent, and against reads being reported as unknown.
func TestAllDown(t *testing.T) {
	for i, servers := range []string{closedServer(t) + "," + closedServer(t), serve(t, http.HandlerFunc(cut))} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			if got := run(t, NewTransport(), "", "--servers", servers, "status"); got.code != ExitUnreachable {
				t.Errorf("exit code %d, want %d\n%s", got.code, ExitUnreachable, got.err)
			}
		})
	}
}
