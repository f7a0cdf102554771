package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// server returns the HTTP server for callers and operators.
func (d *Daemon) server() *khttp.Server {
	srv := khttp.NewServer(
		khttp.Address(d.settings.API),
		khttp.Timeout(0),
		khttp.ErrorEncoder(encodeError),
		khttp.Filter(d.followRequests),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(notAllowed)),
	)
	srv.ReadHeaderTimeout = headerWait
	api := srv.Route("/v1")
	api.POST("/jobs", d.count("submit", d.submitJob))
	api.POST("/jobs/cancel", d.count("cancel", d.cancelJobs))
	api.GET("/jobs", d.count("list", d.listJobs))
	api.GET("/jobs/{id}", d.count("get", d.getJob))
	api.POST("/quotes", d.count("quote", d.quote))
	api.GET("/teams", d.count("teams", d.listTeams))
	api.GET("/teams/{name}", d.count("team", d.getTeam))
	api.PUT("/teams/{name}", d.count("putteam", d.putTeam))
	api.GET("/templates", d.count("templates", d.listTemplates))
	api.GET("/templates/{name}", d.count("template", d.getTemplate))
	api.PUT("/templates/{name}", d.count("puttemplate", d.putTemplate))
	api.GET("/status", d.count("status", d.getStatus))
	srv.HandleFunc("/metrics", d.writeMetrics)
	srv.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv.HandleFunc("/readyz", d.writeReady)
	return srv
}

// followRequests notes when the latest request arrived, and ends the connection
// after each answer once readiness is withdrawn. A caller could otherwise send
// its next request on a kept connection at the moment the listener closes it,
// and not learn whether it was served.
func (d *Daemon) followRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			d.latest.Store(time.Now().UnixNano())
		}
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// headerWait bounds the wait for the header of a request.
const headerWait = 5 * time.Second

// count wraps a handler with a histogram of its time and a counter of its
// failures.
func (d *Daemon) count(name string, h khttp.HandlerFunc) khttp.HandlerFunc {
	total := d.metrics.set.GetOrCreateHistogram(`daisylug_http_seconds{call="` + name + `"}`)
	failed := d.metrics.set.GetOrCreateCounter(`daisylug_http_failures_total{call="` + name + `"}`)
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

func notFound(w http.ResponseWriter, r *http.Request) {
	encodeError(w, r, NewAPIError(TypeNotFound, "no such path: "+r.URL.Path))
}

func notAllowed(w http.ResponseWriter, r *http.Request) {
	f := NewFieldError("method", r.Method+" is not allowed on "+r.URL.Path)
	encodeError(w, r, f)
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

// writeJSON answers a request with v.
func writeJSON(ctx khttp.Context, status int, v any) error {
	w := ctx.Response()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}

// pathName returns a path variable.
func pathName(ctx khttp.Context, key string) string { return ctx.Vars().Get(key) }

// queryCount returns a whole number of the query, between 1 and most.
func queryCount(ctx khttp.Context, key string, fallback, most int) (int, error) {
	text := ctx.Query().Get(key)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		return 0, NewFieldError(key, "must be a whole number from 1 to "+strconv.Itoa(most))
	}
	return n, nil
}

// match returns the version of If-Match, or 0 for If-None-Match: *.
func match(r *http.Request) (int64, error) {
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

// etag returns the header form of a version.
func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// callContext returns the request's context, ended when the caller goes away.
func callContext(ctx khttp.Context) context.Context { return ctx.Request().Context() }
