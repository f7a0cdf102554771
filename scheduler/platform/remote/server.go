package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"daisylug.example/scheduler/platform"
)

// Handler serves the table, the object store, the directory, and each worker
// under /worker/NAME. If the outcome of a call is unknown, it closes the
// connection without an answer.
func Handler(p platform.Platform) http.Handler {
	mux := http.NewServeMux()
	serveTable(mux, p.Table)
	serveObjects(mux, p.Objects)
	handleCall(mux, "/directory/list", func(ctx context.Context, _ empty) (platform.Listing, error) {
		return p.Directory.List(ctx)
	})
	serveFleet(mux, p.Fleet)
	return echoRequestID(mux)
}

// WorkerHandler serves one worker.
func WorkerHandler(w platform.Worker) http.Handler { return echoRequestID(workerMux(w)) }

// echoRequestID echoes the request ID in each answer.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		next.ServeHTTP(w, r)
	})
}

func serveFleet(mux *http.ServeMux, f platform.Fleet) {
	var handlers sync.Map // http.Handler by worker name
	mux.HandleFunc("/worker/{name}/", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		handler, ok := handlers.Load(name)
		if !ok {
			worker, err := f.Worker(name)
			if err != nil {
				writeError(w, err)
				return
			}
			handler, _ = handlers.LoadOrStore(name, http.StripPrefix("/worker/"+name, workerMux(worker)))
		}
		handler.(http.Handler).ServeHTTP(w, r)
	})
}

func workerMux(w platform.Worker) *http.ServeMux {
	mux := http.NewServeMux()
	handleCall(mux, "/claim", w.Claim)
	handleNoResult(mux, "/reserve", w.Reserve)
	handleTask(mux, "/commit", w.Commit)
	handleTask(mux, "/release", w.Release)
	handleTask(mux, "/stop", w.Stop)
	handleTask(mux, "/acknowledge", w.Acknowledge)
	handleCall(mux, "/checkpoint", func(ctx context.Context, q taskRequest) (platform.Checkpoint, error) {
		return w.Checkpoint(ctx, q.Generation, q.Task)
	})
	handleNoResult(mux, "/throttle", func(ctx context.Context, q taskRequest) error {
		return w.Throttle(ctx, q.Generation, q.Task, q.Share)
	})
	handleCall(mux, "/usage", func(ctx context.Context, q usageRequest) ([]platform.UsageReport, error) {
		return w.Usage(ctx, q.After)
	})
	handleCall(mux, "/run", w.Run)
	handleCall(mux, "/revoke", func(ctx context.Context, ref platform.RequestRef) (revokeAnswer, error) {
		o, err := w.Revoke(ctx, ref)
		return revokeAnswer{Outcome: o}, err
	})
	handleCall(mux, "/probe", func(ctx context.Context, _ empty) (platform.Load, error) {
		return w.Probe(ctx)
	})
	return mux
}

func serveTable(mux *http.ServeMux, t platform.Table) {
	handleCall(mux, "/table/read", func(ctx context.Context, q readRequest) ([]platform.Row, error) {
		return t.Read(ctx, q.Keys...)
	})
	handleCall(mux, "/table/scan", func(ctx context.Context, q scanRequest) ([]platform.Row, error) {
		return t.Scan(ctx, q.Prefix, q.After, q.Limit)
	})
	handleNoResult(mux, "/table/commit", t.Commit)
}

func serveObjects(mux *http.ServeMux, o platform.Objects) {
	mux.HandleFunc("GET /objects", func(w http.ResponseWriter, r *http.Request) {
		content, err := o.Get(r.Context(), r.URL.Query().Get("name"))
		if err != nil {
			writeError(w, err)
			return
		}
		writeBody(w, http.StatusOK, content)
	})
	mux.HandleFunc("PUT /objects", func(w http.ResponseWriter, r *http.Request) {
		content, err := readBody(r.Body, r.Header)
		if err != nil {
			writeInvalid(w, err)
			return
		}
		if err := o.Put(r.Context(), r.URL.Query().Get("name"), content); err != nil {
			writeError(w, err)
			return
		}
		writeBody(w, http.StatusOK, nil)
	})
}

func handleTask(mux *http.ServeMux, path string, do func(context.Context, platform.Generation, platform.TaskRef) error) {
	handleNoResult(mux, path, func(ctx context.Context, q taskRequest) error {
		return do(ctx, q.Generation, q.Task)
	})
}

// handleNoResult registers a handler for JSON requests with an empty answer.
func handleNoResult[Q any](mux *http.ServeMux, path string, do func(context.Context, Q) error) {
	handleCall(mux, path, func(ctx context.Context, q Q) (empty, error) { return empty{}, do(ctx, q) })
}

// handleCall registers a handler for JSON requests with a JSON answer.
func handleCall[Q, A any](mux *http.ServeMux, path string, do func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest[Q](r)
		if err != nil {
			writeInvalid(w, err)
			return
		}
		a, err := do(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, a)
	})
}

func decodeRequest[Q any](r *http.Request) (Q, error) {
	var request Q
	body, err := readBody(r.Body, r.Header)
	if err != nil {
		return request, err
	}
	return request, json.Unmarshal(body, &request)
}

func writeInvalid(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, wireError{Unavailable: &wireUnavailable{Cause: err.Error()}})
}

func writeError(w http.ResponseWriter, err error) {
	status, body, ok := encodeError(err)
	if !ok {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, status, raw)
}

// writeBody writes an answer with its checksum. It ignores connection errors,
// since the client detects them as well.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(checksumHeader, checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
