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
// under /worker/NAME. An error whose outcome is unknown closes the connection.
func Handler(p platform.Platform) http.Handler {
	mux := http.NewServeMux()
	serveTable(mux, p.Table)
	serveObjects(mux, p.Objects)
	answer(mux, "/directory/list", func(ctx context.Context, _ none) (platform.Listing, error) {
		return p.Directory.List(ctx)
	})
	serveFleet(mux, p.Fleet)
	return repeatID(mux)
}

// WorkerHandler serves one worker.
func WorkerHandler(w platform.Worker) http.Handler { return repeatID(workerMux(w)) }

// repeatID gives each answer the id of its request.
func repeatID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		next.ServeHTTP(w, r)
	})
}

func serveFleet(mux *http.ServeMux, f platform.Fleet) {
	var handlers sync.Map // worker name to http.Handler
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
	answer(mux, "/claim", w.Claim)
	accept(mux, "/reserve", w.Reserve)
	serveTask(mux, "/commit", w.Commit)
	serveTask(mux, "/release", w.Release)
	serveTask(mux, "/stop", w.Stop)
	serveTask(mux, "/acknowledge", w.Acknowledge)
	answer(mux, "/checkpoint", func(ctx context.Context, q taskRequest) (platform.Checkpoint, error) {
		return w.Checkpoint(ctx, q.Generation, q.Task)
	})
	accept(mux, "/throttle", func(ctx context.Context, q taskRequest) error {
		return w.Throttle(ctx, q.Generation, q.Task, q.Share)
	})
	answer(mux, "/usage", func(ctx context.Context, q usageRequest) ([]platform.UsageReport, error) {
		return w.Usage(ctx, q.After)
	})
	answer(mux, "/run", w.Run)
	answer(mux, "/revoke", func(ctx context.Context, ref platform.RequestRef) (outcomeAnswer, error) {
		o, err := w.Revoke(ctx, ref)
		return outcomeAnswer{Outcome: o}, err
	})
	answer(mux, "/probe", func(ctx context.Context, _ none) (platform.Load, error) {
		return w.Probe(ctx)
	})
	return mux
}

func serveTable(mux *http.ServeMux, t platform.Table) {
	answer(mux, "/table/read", func(ctx context.Context, q readRequest) ([]platform.Row, error) {
		return t.Read(ctx, q.Keys...)
	})
	answer(mux, "/table/scan", func(ctx context.Context, q scanRequest) ([]platform.Row, error) {
		return t.Scan(ctx, q.Prefix, q.After, q.Limit)
	})
	accept(mux, "/table/commit", t.Commit)
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

func serveTask(mux *http.ServeMux, path string, do func(context.Context, platform.Generation, platform.TaskRef) error) {
	accept(mux, path, func(ctx context.Context, q taskRequest) error {
		return do(ctx, q.Generation, q.Task)
	})
}

// accept serves a request that is answered with nothing.
func accept[Q any](mux *http.ServeMux, path string, do func(context.Context, Q) error) {
	answer(mux, path, func(ctx context.Context, q Q) (none, error) { return none{}, do(ctx, q) })
}

// answer serves a request in JSON that is answered in JSON.
func answer[Q, A any](mux *http.ServeMux, path string, do func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		question, err := decodeRequest[Q](r)
		if err != nil {
			writeInvalid(w, err)
			return
		}
		a, err := do(r.Context(), question)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, a)
	})
}

func decodeRequest[Q any](r *http.Request) (Q, error) {
	var question Q
	body, err := readBody(r.Body, r.Header)
	if err != nil {
		return question, err
	}
	return question, json.Unmarshal(body, &question)
}

func writeInvalid(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, wireError{Unavailable: &wireOutage{Cause: err.Error()}})
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

// writeBody ignores errors of the connection; the client sees them as well.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(sumHeader, sum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
