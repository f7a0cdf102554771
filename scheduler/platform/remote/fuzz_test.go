package remote

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// stubTransport is a round tripper that answers every request with the same
// body.
type stubTransport struct {
	status int
	body   []byte
	sum    string
}

func (a stubTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	h := http.Header{}
	h.Set(checksumHeader, a.sum)
	h.Set(idHeader, r.Header.Get(idHeader))
	return &http.Response{StatusCode: a.status, Header: h, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

func isTyped(err error) bool {
	_, _, ok := encodeError(err)
	return ok || errors.As(err, new(*platform.UnknownOutcomeError))
}

// Guards against returning an incomplete answer, and against errors that are
// not platform errors.
func FuzzAnswer(f *testing.F) {
	request := platform.Request{Ref: platform.RequestRef{ID: "a", Attempt: 1}}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		for _, complete := range []bool{true, false} {
			a := stubTransport{status: status, body: body, sum: checksum(body)}
			if !complete {
				a.sum = checksum(append(bytes.Clone(body), 0))
			}
			w := newWorker(platform.WorkerInfo{Name: "w", Address: "127.0.0.1:1"}, Options{})
			w.client.http.Transport = a
			answer, err := w.Run(t.Context(), request)
			switch {
			case err != nil && !isTyped(err):
				t.Fatalf("untyped error %v", err)
			case err == nil && !complete:
				t.Fatal("Run returned an answer with a wrong checksum")
			case err == nil && (answer.Ref != request.Ref || xxhash.Sum64(answer.Content) != answer.Sum):
				t.Fatal("Run returned an incomplete answer")
			}
			if _, err := w.Claim(t.Context(), platform.Lease{}); err != nil && !isTyped(err) {
				t.Fatalf("untyped error %v", err)
			}
		}
	})
}

// Guards against a request that makes the server panic, or start work although
// it reports an error.
func FuzzRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		l := memory.Layout{DataCentres: []string{"x"}, Workers: 1, Slots: 1}
		p := memory.New(memory.Config{Workers: l.Build()})
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout) // ends long payloads
		defer cancel()
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body)).WithContext(ctx)
		r.URL.Path = "/" + path
		r.Header.Set(checksumHeader, checksum(body))
		w := httptest.NewRecorder()
		defer func() {
			e := recover()
			if err, _ := e.(error); e != nil && !errors.Is(err, http.ErrAbortHandler) {
				panic(e)
			}
			if starts := len(p.Fleet.Starts()); w.Code != http.StatusOK && starts > 0 {
				t.Fatalf("%d attempts started by a request with status %d", starts, w.Code)
			}
		}()
		Handler(p.Services()).ServeHTTP(w, r)
	})
}

// Guards against a client that rejects every answer, which would let FuzzAnswer
// pass.
func TestWholeAnswerIsDelivered(t *testing.T) {
	request := platform.Request{Ref: platform.RequestRef{ID: "a", Attempt: 1}}
	body := []byte(`{"ref":{"id":"a","attempt":1},"content":"eA==","length":1,"sum":6665539201184043299}`)
	w := newWorker(platform.WorkerInfo{Name: "w", Address: "127.0.0.1:1"}, Options{})
	w.client.http.Transport = stubTransport{status: http.StatusOK, body: body, sum: checksum(body)}
	if _, err := w.Run(t.Context(), request); err != nil {
		t.Fatal(err)
	}
}
