package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// jobCount and quoteCallers set the size of the load of one case.
	jobCount     = 48
	quoteCallers = 6
	// acceptTimeout is how long a client retries a submission with the same
	// key.
	acceptTimeout = 60 * time.Second
	// endTimeout is how long a job may take to end after the last fault. It
	// covers the expiry of a paused owner's leases and a second attempt.
	endTimeout = 90 * time.Second
)

// job is a submitted job and its outcome.
type job struct {
	key        string
	idempotent bool
	id         string
	state      string
	results    []any
	err        error
}

// quote is a quick request and its response.
type quote struct {
	id         string
	idempotent bool
	status     int
	kind       string
	ran        string
	content    string
	err        error
}

// workload generates the load of one case and records its history.
type workload struct {
	c      *cluster
	mu     sync.Mutex
	jobs   []*job
	quotes []*quote
}

// run submits jobs and sends quick requests for about the given duration, then
// waits until all jobs have ended. The function concurrent runs alongside the
// load.
func (w *workload) run(duration time.Duration, concurrent func()) {
	var wg sync.WaitGroup
	wg.Go(concurrent)
	interval := duration / jobCount
	for i := range jobCount {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			w.runJob(i)
		})
	}
	end := time.Now().Add(duration)
	for i := range quoteCallers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				w.sendQuote(fmt.Sprintf("q-%d-%d", i, n), (i+n)%3 != 0)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// runJob submits a job with the same key to two instances at once, then waits
// until it has ended.
func (w *workload) runJob(i int) {
	j := &job{key: fmt.Sprintf("job-%d", i), idempotent: i%3 != 0}
	body := map[string]any{
		"team": "north", "template": "map", "key": j.key, "idempotent": j.idempotent,
		"payload": map[string]any{"seconds": runTime(i), "echo": j.key},
	}
	if i%3 == 0 {
		body["template"] = "booking"
	}
	ids := make([]string, 2)
	var wg sync.WaitGroup
	for k := range ids {
		wg.Go(func() { ids[k] = w.submit(body) })
	}
	wg.Wait()
	j.id = ids[0]
	if ids[0] != ids[1] {
		j.err = fmt.Errorf("one key gave the ids %q and %q", ids[0], ids[1])
	}
	if j.id != "" && j.err == nil {
		w.awaitEnd(j)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, j)
}

// runTime returns the run time of a job, in seconds at speed 1. Some jobs run
// long enough to be running when their owner is killed or paused.
func runTime(i int) float64 {
	if i%6 == 5 {
		return 6
	}
	return 0.2 + 0.1*float64(i%8)
}

// submit retries a submission until it is accepted, and returns the job id.
func (w *workload) submit(body map[string]any) string {
	deadline := time.Now().Add(acceptTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a, err := w.c.call(ctx, http.MethodPost, w.c.url(rand.IntN(len(instanceCentres)), "/v1/jobs"), body)
		cancel()
		if err == nil && (a.status == http.StatusOK || a.status == http.StatusCreated) {
			return a.stringAt("id")
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// awaitEnd polls random instances until the job has ended.
func (w *workload) awaitEnd(j *job) {
	deadline := time.Now().Add(endTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		a, err := w.c.call(ctx, http.MethodGet, w.c.url(rand.IntN(len(instanceCentres)), "/v1/jobs/"+j.id+"?wait=5s"), nil)
		cancel()
		if err != nil || a.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		j.state = a.stringAt("state")
		switch j.state {
		case "done", "failed", "cancelled", "unknown":
			j.results, _ = a.body["results"].([]any)
			return
		}
	}
}

// sendQuote sends a quick request without retries.
func (w *workload) sendQuote(id string, idempotent bool) {
	q := &quote{id: id, idempotent: idempotent}
	body := map[string]any{
		"team": "north", "template": "quote", "id": id, "idempotent": idempotent,
		"deadline": time.Now().Add(3 * time.Second).UTC().Format(time.RFC3339Nano),
		"payload":  map[string]any{"seconds": 0.01, "echo": id},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := w.c.call(ctx, http.MethodPost, w.c.url(rand.IntN(len(instanceCentres)), "/v1/quotes"), body)
	q.err = err
	q.status = a.status
	q.content = a.stringAt("content")
	q.kind = a.stringAt("error", "type")
	q.ran = a.stringAt("error", "ran")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quotes = append(w.quotes, q)
}
