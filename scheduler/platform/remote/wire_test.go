package remote

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
)

const testTimeout = 200 * time.Millisecond

// silentServer names the server that never answers. Its calls are cancelled
// once they have been received.
const silentServer = "does not answer"

// brokenServers lists servers whose answers violate the protocol.
var brokenServers = []struct {
	name  string
	serve http.HandlerFunc
}{
	{"closes the connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	{silentServer, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	{"closes the connection within the body", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "3")
		w.Header().Set(checksumHeader, checksum([]byte("{}")))
		_, _ = io.WriteString(w, "{}")
	}},
	{"truncates the body", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(checksumHeader, checksum([]byte("{}\n")))
		_, _ = io.WriteString(w, "{}")
	}},
	{"sends no checksum", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }},
	{"answers another request", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(idHeader, "other")
		writeBody(w, http.StatusOK, []byte("{}"))
	}},
	{"sends invalid JSON", func(w http.ResponseWriter, _ *http.Request) { writeBody(w, http.StatusOK, []byte("{")) }},
	{"reports an unknown error", func(w http.ResponseWriter, _ *http.Request) {
		writeBody(w, http.StatusBadGateway, []byte(`{"new":{}}`))
	}},
	{"redirects", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}},
}

// Guards against returning a truncated or misdirected answer, and against
// reporting a call as not carried out after the server received the request.
func TestBrokenServer(t *testing.T) {
	for _, c := range brokenServers {
		convey.Convey("A server that "+c.name, t, func() {
			var calls atomic.Int32
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			server := httptest.NewServer(echoRequestID(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				if c.name == silentServer {
					cancel()
				}
				c.serve(w, r)
			})))
			defer server.Close()
			err := NewTable(server.URL, Options{}).Commit(ctx, platform.Transaction{})
			convey.So(errors.As(err, new(*platform.UnknownOutcomeError)), convey.ShouldBeTrue)
			convey.So(calls.Load(), convey.ShouldEqual, 1)
			_, err = NewTable(server.URL, Options{}).Read(ctx)
			convey.So(errors.As(err, new(*platform.UnavailableError)), convey.ShouldBeTrue)
		})
	}
}

// Checks that a truncated object is accepted by a plain HTTP client, which
// ignores the checksum, and rejected by Objects.
func TestChecksumDetectsTruncation(t *testing.T) {
	convey.Convey("A truncated object", t, func() {
		server := httptest.NewServer(echoRequestID(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(checksumHeader, checksum([]byte("whole")))
			_, _ = io.WriteString(w, "who")
		})))
		defer server.Close()
		response, err := http.Get(server.URL)
		convey.So(err, convey.ShouldBeNil)
		body, err := io.ReadAll(response.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(body), convey.ShouldEqual, "who")
		_, err = NewObjects(server.URL, Options{}).Get(t.Context(), "n")
		convey.So(errors.As(err, new(*ChecksumError)), convey.ShouldBeTrue)
	})
}

// Guards against reporting an unknown outcome for a call that was not sent,
// which would prevent the retry of non-idempotent work.
func TestNothingSent(t *testing.T) {
	convey.Convey("A refused connection", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Close(), convey.ShouldBeNil)
		err = NewTable("http://"+l.Addr().String(), Options{}).Commit(t.Context(), platform.Transaction{})
		convey.So(errors.As(err, new(*platform.UnavailableError)), convey.ShouldBeTrue)
	})
	convey.Convey("A call that waits for a connection", t, func() {
		received := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(received) // a second request would panic
			<-r.Context().Done()
		}))
		defer server.Close()
		table := NewTable(server.URL, Options{Connections: 1})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel() // runs before server.Close, which waits for its calls to end
		var first error
		var group sync.WaitGroup
		group.Go(func() { first = table.Commit(ctx, platform.Transaction{}) })
		<-received
		waiting, stop := context.WithTimeout(t.Context(), testTimeout)
		defer stop()
		convey.So(errors.As(table.Commit(waiting, platform.Transaction{}), new(*platform.UnavailableError)), convey.ShouldBeTrue)
		cancel()
		group.Wait()
		convey.So(errors.As(first, new(*platform.UnknownOutcomeError)), convey.ShouldBeTrue)
	})
}

// Guards against an error whose type or fields change in transit.
func TestErrorsKeepTheirType(t *testing.T) {
	outage := &platform.UnavailableError{Service: "table"}
	for _, c := range []struct{ have, want error }{
		{&platform.ConflictError{Keys: []string{"a", "b"}}, nil},
		{&platform.NotFoundError{Kind: "k", Name: "n"}, nil},
		{&platform.BusyError{Worker: "w", Load: platform.Load{Busy: 8, Slots: 8}}, nil},
		{&platform.LeavingError{Worker: "w"}, nil},
		{&platform.DeniedError{Worker: "w", Generation: platform.Generation{Number: 1 << 63, Holder: "h"}}, nil},
		{outage, nil},
		{fmt.Errorf("wrapped: %w", &platform.LeavingError{Worker: "w"}), &platform.LeavingError{Worker: "w"}},
		{&platform.UnknownOutcomeError{Service: "table", Cause: outage}, &platform.UnknownOutcomeError{Service: "table"}},
		{errors.New("untyped"), &platform.UnknownOutcomeError{Service: "table"}},
	} {
		if c.want == nil {
			c.want = c.have
		}
		mux := http.NewServeMux()
		handleNoResult(mux, "/table/commit", func(context.Context, platform.Transaction) error { return c.have })
		server := httptest.NewServer(echoRequestID(mux))
		err := NewTable(server.URL, Options{}).Commit(t.Context(), platform.Transaction{})
		server.Close()
		ignoreCause := cmp.FilterPath(func(p cmp.Path) bool { return strings.HasSuffix(p.String(), "Cause") }, cmp.Ignore())
		if diff := cmp.Diff(c.want, err, ignoreCause); diff != "" {
			t.Errorf("%v: %s", c.have, diff)
		}
	}
}
