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

// closedServer returns a URL whose port refuses connections.
func closedServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return "http://" + l.Addr().String()
}

// cutConnection closes the connection without a response.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncatedBody sends less than its Content-Length.
func truncatedBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"id":`))
}

// neverAnswer sends no response until the client disconnects, which the server
// only notices once the request body has been read.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// TestFaults sends each kind of call to a faulty first server and a healthy
// second one. It guards against resending a call that is not repeatable and may
// have run, against reporting a lost response as not run, and against giving up
// while another server could answer.
func TestFaults(t *testing.T) {
	read := []string{"job", "get", "j1"}
	submit := []string{"job", "submit", "--team=a", "--template=b", "--key=k"}
	quote := []string{"quote", "--team=a", "--template=b"}
	repeatable := []string{"quote", "--idempotent", "--team=a", "--template=b"}
	badGateway := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) }
	garbage := okResponse(`{"id":`)
	shuttingDown := errorResponse(http.StatusServiceUnavailable, typeShuttingDown, ranNo)
	shuttingDownUnknown := errorResponse(http.StatusServiceUnavailable, typeShuttingDown, ranUnknown)

	for _, tt := range []struct {
		fault   string
		handler http.HandlerFunc
		args    []string
		code    int
		// second is the number of calls that the healthy server receives.
		second int32
	}{
		{"down", nil, read, ExitOK, 1},
		{"down", nil, submit, ExitOK, 1},
		{"down", nil, quote, ExitOK, 1},
		{"shutting down", shuttingDown, submit, ExitOK, 1},
		{"shutting down", shuttingDown, quote, ExitOK, 1},
		{"shutting down, ran unknown", shuttingDownUnknown, quote, ExitUnknownOutcome, 0},
		{"shutting down, ran unknown", shuttingDownUnknown, repeatable, ExitOK, 1},
		{"connection cut", cutConnection, read, ExitOK, 1},
		{"connection cut", cutConnection, submit, ExitOK, 1},
		{"connection cut", cutConnection, quote, ExitUnknownOutcome, 0},
		{"connection cut", cutConnection, repeatable, ExitOK, 1},
		{"truncated", truncatedBody, read, ExitOK, 1},
		{"truncated", truncatedBody, submit, ExitOK, 1},
		{"truncated", truncatedBody, quote, ExitUnknownOutcome, 0},
		{"incomplete JSON", garbage, read, ExitOK, 1},
		{"incomplete JSON", garbage, quote, ExitUnknownOutcome, 0},
		{"silent", neverAnswer, read, ExitOK, 1},
		{"silent", neverAnswer, submit, ExitOK, 1},
		{"silent", neverAnswer, quote, ExitUnknownOutcome, 0},
		{"balancer's 502", badGateway, read, ExitOK, 1},
		{"balancer's 502", badGateway, quote, ExitUnknownOutcome, 0},
		{"429", errorResponse(http.StatusTooManyRequests, typeOverload, ranNo), submit, ExitRefused, 0},
		{"409", errorResponse(http.StatusConflict, typeConflict, ranNo), submit, ExitConflict, 0},
		{"404", errorResponse(http.StatusNotFound, typeNotFound, ranNo), read, ExitNotFound, 0},
		{"502 work failed", errorResponse(http.StatusBadGateway, typeWorkFailed, ranYes), quote, ExitFailed, 0},
		{"504 deadline while running", errorResponse(http.StatusGatewayTimeout, "deadline", ranUnknown), quote, ExitUnknownOutcome, 0},
		{"409, ran unknown", errorResponse(http.StatusConflict, typeConflict, ranUnknown), quote, ExitUnknownOutcome, 0},
		{"503, ran yes", errorResponse(http.StatusServiceUnavailable, typeUnavailable, ranYes), quote, ExitUnknownOutcome, 0},
		{"500", errorResponse(http.StatusInternalServerError, typeInternal, ranUnknown), quote, ExitUnknownOutcome, 0},
		{"500", errorResponse(http.StatusInternalServerError, typeInternal, ranUnknown), read, ExitFault, 0},
		{"not daisylug", http.NotFound, read, ExitFault, 0},
	} {
		t.Run(tt.fault+"/"+tt.args[0]+" "+tt.args[1], func(t *testing.T) {
			t.Parallel()
			first := ""
			if tt.handler == nil {
				first = closedServer(t)
			} else {
				first = startServer(t, tt.handler)
			}
			var calls atomic.Int32
			second := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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

// TestFaultPairs guards against reporting the refusal of the second attempt as
// the outcome of the call, although the first attempt may have been accepted.
func TestFaultPairs(t *testing.T) {
	faults := map[string]http.HandlerFunc{
		"cut":     cutConnection,
		"leaving": errorResponse(http.StatusServiceUnavailable, typeShuttingDown, ranNo),
		"429":     errorResponse(http.StatusTooManyRequests, typeOverload, ranNo),
		"409":     errorResponse(http.StatusConflict, typeConflict, ranNo),
	}
	start := func(fault string) string {
		if fault == "down" {
			return closedServer(t)
		}
		return startServer(t, faults[fault])
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

// TestOnce guards against work that runs twice. It also shows that the work does
// run twice without the rule that only a repeatable call is sent again.
func TestOnce(t *testing.T) {
	for _, tt := range []struct {
		rule bool
		runs int32
	}{{true, 1}, {false, 2}} {
		var runs atomic.Int32
		first := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			cutConnection(w, r)
		}))
		second := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			reply(w, http.StatusOK, `{"id":"q"}`)
		}))
		q := quoteCall(quoteRequest{Team: "a", Template: "b", ID: "q"})
		if !tt.rule {
			q.repeatable = true
		}
		_, err := newClient([]server{{first}, {second}}, time.Second, NewTransport()).do(t.Context(), q)
		if runs.Load() != tt.runs || (err != nil) != tt.rule {
			t.Errorf("with the rule %v: %d runs, error %v", tt.rule, runs.Load(), err)
		}
	}
}

// TestAllDown guards against an outcome other than unreachable when nothing was
// sent, and against an unanswered read being reported as unknown.
func TestAllDown(t *testing.T) {
	for i, servers := range []string{closedServer(t) + "," + closedServer(t), startServer(t, http.HandlerFunc(cutConnection))} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			if got := run(t, NewTransport(), "", "--servers", servers, "status"); got.code != ExitUnreachable {
				t.Errorf("exit code %d, want %d\n%s", got.code, ExitUnreachable, got.err)
			}
		})
	}
}
