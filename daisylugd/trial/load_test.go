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
	// jobCount and quoteCallers size the load of one row.
	jobCount     = 48
	quoteCallers = 6
	// acceptWait is how long a caller repeats a submission with the same key.
	acceptWait = 60 * time.Second
	// endWait is how long a job may take to end after the last fault. It covers
	// the lapse of a paused owner's leases and a second attempt.
	endWait = 90 * time.Second
)

// job is a submitted job and what became of it.
type job struct {
	key        string
	idempotent bool
	id         string
	state      string
	results    []any
	err        error
}

// quote is one quick request and its answer.
type quote struct {
	id         string
	idempotent bool
	status     int
	kind       string
	ran        string
	content    string
	err        error
}

// load is the history of one row.
type load struct {
	c      *cluster
	mu     sync.Mutex
	jobs   []*job
	quotes []*quote
}

// run submits jobs and sends quick requests for about the given time, then
// waits until all jobs have ended. during runs beside the load.
func (l *load) run(length time.Duration, during func()) {
	var work sync.WaitGroup
	work.Go(during)
	pause := length / jobCount
	for i := range jobCount {
		work.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			l.job(i)
		})
	}
	end := time.Now().Add(length)
	for i := range quoteCallers {
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				l.quote(fmt.Sprintf("q-%d-%d", i, n), (i+n)%3 != 0)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	work.Wait()
}

// job submits one job with the same key to two instances at once, then waits
// until it has ended.
func (l *load) job(i int) {
	j := &job{key: fmt.Sprintf("job-%d", i), idempotent: i%3 != 0}
	body := map[string]any{
		"team": "north", "template": "map", "key": j.key, "idempotent": j.idempotent,
		"payload": map[string]any{"seconds": runTime(i), "echo": j.key},
	}
	if i%3 == 0 {
		body["template"] = "booking"
	}
	ids := make([]string, 2)
	var both sync.WaitGroup
	for k := range ids {
		both.Go(func() { ids[k] = l.submit(body) })
	}
	both.Wait()
	j.id = ids[0]
	if ids[0] != ids[1] {
		j.err = fmt.Errorf("one key gave the ids %q and %q", ids[0], ids[1])
	}
	if j.id != "" && j.err == nil {
		l.wait(j)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
}

// runTime returns the run time of a job, in seconds at speed 1. Some run long
// enough to be running when their owner dies or is paused.
func runTime(i int) float64 {
	if i%6 == 5 {
		return 6
	}
	return 0.2 + 0.1*float64(i%8)
}

// submit repeats a submission until it is accepted, and returns the id.
func (l *load) submit(body map[string]any) string {
	deadline := time.Now().Add(acceptWait)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a, err := l.c.call(ctx, http.MethodPost, l.c.url(rand.IntN(len(centres)), "/v1/jobs"), body)
		cancel()
		if err == nil && (a.status == http.StatusOK || a.status == http.StatusCreated) {
			return a.text("id")
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// wait reads the job from any instance until it has ended.
func (l *load) wait(j *job) {
	deadline := time.Now().Add(endWait)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		a, err := l.c.call(ctx, http.MethodGet, l.c.url(rand.IntN(len(centres)), "/v1/jobs/"+j.id+"?wait=5s"), nil)
		cancel()
		if err != nil || a.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		j.state = a.text("state")
		switch j.state {
		case "done", "failed", "cancelled", "unknown":
			j.results, _ = a.body["results"].([]any)
			return
		}
	}
}

// quote sends one quick request once.
func (l *load) quote(id string, idempotent bool) {
	q := &quote{id: id, idempotent: idempotent}
	body := map[string]any{
		"team": "north", "template": "quote", "id": id, "idempotent": idempotent,
		"deadline": time.Now().Add(3 * time.Second).UTC().Format(time.RFC3339Nano),
		"payload":  map[string]any{"seconds": 0.01, "echo": id},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := l.c.call(ctx, http.MethodPost, l.c.url(rand.IntN(len(centres)), "/v1/quotes"), body)
	q.err = err
	q.status = a.status
	q.content = a.text("content")
	q.kind = a.text("error", "type")
	q.ran = a.text("error", "ran")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quotes = append(l.quotes, q)
}
