package dispatch

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"daisylug.example/scheduler/ingress"
	"daisylug.example/scheduler/meter"
)

// server returns the HTTP server for clients and operators.
func (d *Daemon) server() (*khttp.Server, error) {
	limiter := ingress.New(ingressLimits(d.settings), d.metrics.set, "api")
	listener, err := limiter.Listen(d.settings.API)
	if err != nil {
		return nil, err
	}
	srv := khttp.NewServer(
		khttp.Address(d.settings.API),
		khttp.Listener(listener),
		khttp.Timeout(0),
		khttp.ErrorEncoder(encodeError),
		khttp.Filter(d.trackRequests),
		khttp.NotFoundHandler(http.HandlerFunc(writeNotFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(writeNotAllowed)),
	)
	srv.ReadHeaderTimeout = headerTimeout
	limiter.Attach(srv.Server)
	api := srv.Route("/v1")
	api.POST("/jobs", d.instrument("submit", d.submitJob))
	api.POST("/jobs/cancel", d.instrument("cancel", d.cancelJobs))
	api.GET("/jobs", d.instrument("list", d.listJobs))
	api.GET("/jobs/{id}", d.instrument("get", d.getJob))
	api.POST("/quotes", d.instrument("quote", d.submitQuote))
	api.GET("/teams", d.instrument("teams", d.listTeams))
	api.GET("/teams/{name}", d.instrument("team", d.getTeam))
	api.PUT("/teams/{name}", d.instrument("putteam", d.putTeam))
	api.GET("/templates", d.instrument("templates", d.listTemplates))
	api.GET("/templates/{name}", d.instrument("template", d.getTemplate))
	api.PUT("/templates/{name}", d.instrument("puttemplate", d.putTemplate))
	api.GET("/status", d.instrument("status", d.getStatus))
	srv.HandleFunc("/metrics", d.writeMetrics)
	srv.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv.HandleFunc("/readyz", d.writeReady)
	return srv, nil
}

// defaultDescriptors is assumed if the limit of the process cannot be read.
const defaultDescriptors = 1024

// ingressLimits returns the limits of clients that follow from the memory and the
// descriptors of the process.
func ingressLimits(s Settings) ingress.Limits {
	descriptors := defaultDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return ingress.DefaultLimits(int64(s.MemoryBytes), descriptors).
		WithHeader(0, headerTimeout).
		WithBody(int64(s.BodyBytes))
}

// trackRequests records the arrival time of the latest request and, while
// draining, closes the connection after each response. Otherwise a client could
// send its next request on a kept-alive connection at the moment the server
// closes it, and not learn whether it was served.
func (d *Daemon) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			d.lastRequest.Store(time.Now().UnixNano())
		}
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// instrument wraps a handler with a duration histogram and a failure counter.
func (d *Daemon) instrument(name string, h khttp.HandlerFunc) khttp.HandlerFunc {
	total := d.metrics.set.Histogram("daisylug_http_seconds", meter.L("call", name))
	failed := d.metrics.set.Counter("daisylug_http_failures_total", meter.L("call", name))
	return func(ctx khttp.Context) error {
		begin := time.Now()
		err := h(ctx)
		total.UpdateDuration(begin)
		if err != nil {
			failed.Inc()
		}
		return err
	}
}

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	encodeError(w, r, NewAPIError(TypeNotFound, "no such path: "+r.URL.Path))
}

func writeNotAllowed(w http.ResponseWriter, r *http.Request) {
	apiErr := NewFieldError("method", r.Method+" is not allowed on "+r.URL.Path)
	encodeError(w, r, apiErr)
}

func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	d.metrics.update(d)
	d.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (d *Daemon) writeReady(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeJSON writes v as the response.
func writeJSON(ctx khttp.Context, status int, v any) error {
	w := ctx.Response()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

// pathVar returns a path variable.
func pathVar(ctx khttp.Context, key string) string { return ctx.Vars().Get(key) }

// queryInt returns an integer query parameter between 1 and limit.
func queryInt(ctx khttp.Context, key string, defaultValue, limit int) (int, error) {
	text := ctx.Query().Get(key)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > limit {
		return 0, NewFieldError(key, "must be a whole number from 1 to "+strconv.Itoa(limit))
	}
	return n, nil
}

// matchVersion returns the version in If-Match, or 0 for If-None-Match: *.
func matchVersion(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	if text == "" {
		return 0, NewFieldError("If-Match", "is required to change; use If-None-Match: * to create")
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 1 {
		return 0, NewFieldError("If-Match", "must be a version of 1 or more in quotes")
	}
	return version, nil
}

// etag formats a version as an ETag header.
func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// requestContext returns the request's context, which is cancelled when the
// client disconnects.
func requestContext(ctx khttp.Context) context.Context { return ctx.Request().Context() }
