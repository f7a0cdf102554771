package trial

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// committedTransactions returns the number of transactions that the table has
// committed.
func (c *cluster) committedTransactions() int {
	c.t.Helper()
	a, err := c.call(context.Background(), http.MethodGet, "http://"+c.platformAddress+"/control/table", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	n, _ := a.body["commits"].(float64)
	return int(n)
}

// Guards against a burst of submissions and cancellations that needs one write
// per job, loses jobs, or lets a cancelled job start.
func TestWave(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	t.Parallel()
	const jobs, callers = 3000, 100
	c := newCluster(t)
	c.configureReclaim()
	// The data centre is filled, so that the burst stays queued.
	for _, key := range []string{"fill-0", "fill-1"} {
		c.submitTo(0, map[string]any{"team": "maps", "template": "map", "key": key, "payload": map[string]any{"seconds": 600}})
	}
	c.awaitStarts(16, 20*time.Second, func() int { all, _ := c.starts(); return len(all) })
	before := c.committedTransactions()
	begin := time.Now()
	ids := c.submitBurst(jobs, callers)
	submitted, submitting := c.committedTransactions()-before, time.Since(begin)
	before = c.committedTransactions()
	begin = time.Now()
	a, err := c.call(context.Background(), http.MethodPost, c.url(3, "/v1/jobs/cancel"), map[string]any{"team": "slopes", "state": "queued"})
	if err != nil || a.status != http.StatusOK {
		t.Fatalf("cancelling jobs: %v %v", a.body, err)
	}
	cancelled, cancelling := c.committedTransactions()-before, time.Since(begin)
	if n, _ := a.body["cancelled"].(float64); int(n) != jobs {
		t.Errorf("%v of %d jobs were cancelled", a.body, jobs)
	}
	t.Logf("%d submissions: %d transactions in %v; cancellations: %d in %v", jobs, submitted, submitting, cancelled, cancelling)
	for name, rate := range map[string]float64{
		"submission":   float64(submitted) / max(1, submitting.Seconds()),
		"cancellation": float64(cancelled) / max(1, cancelling.Seconds()),
	} {
		if rate >= 300 {
			t.Errorf("%s: %.0f transactions a second", name, rate)
		}
	}
	if len(ids) != jobs {
		t.Errorf("%d ids for %d jobs", len(ids), jobs)
	}
	time.Sleep(3 * time.Second)
	all, _ := c.starts()
	for _, s := range all {
		if ids[s.ID] {
			t.Errorf("cancelled job %s was started", s.ID)
		}
	}
}

// submitBurst submits jobs from many concurrent callers and returns their ids.
func (c *cluster) submitBurst(jobs, callers int) map[string]bool {
	ids := make(map[string]bool)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := range callers {
		wg.Go(func() {
			for i := k; i < jobs; i += callers {
				a, err := c.call(context.Background(), http.MethodPost, c.url(i%len(instanceCentres), "/v1/jobs"), map[string]any{
					"team": "slopes", "template": "slope", "key": fmt.Sprintf("w-%d", i), "centre": "a",
				})
				if err != nil || a.status != http.StatusCreated {
					c.t.Errorf("submitting a job: %d %v %v", a.status, a.body, err)
					return
				}
				mu.Lock()
				ids[a.stringAt("id")] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ids
}

// leaveTimeout is the time after which a worker that is marked as leaving must
// get no new work.
const leaveTimeout = 3 * time.Second

// Guards against new work on a worker that is leaving, and against running work
// that is interrupted when the worker leaves.
func TestWorkerLeaves(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	t.Parallel()
	c := newCluster(t)
	c.configure()
	load := &workload{c: c}
	var leftAt time.Time
	load.run(loadDuration, func() {
		time.Sleep(3 * time.Second)
		a, err := c.call(context.Background(), http.MethodPost, "http://"+c.platformAddress+"/control/workers", map[string]any{"rack": "a-r00", "action": "leave"})
		if err != nil || a.body["changed"] != 8.0 {
			t.Errorf("marking workers as leaving: %v %v", a.body, err)
		}
		leftAt = time.Now()
	})
	load.checkInvariants(t)
	all, _ := c.starts()
	lateStarts := 0
	for _, s := range all {
		if len(s.Worker) > 4 && s.Worker[:4] == "a-w0" && s.Worker < "a-w008" && s.At.After(leftAt.Add(leaveTimeout)) {
			lateStarts++
		}
	}
	if lateStarts > 0 {
		t.Errorf("%d starts on leaving workers more than %v after they were marked", lateStarts, leaveTimeout)
	}
}

// Guards against an instance that cannot serve when it starts while the table
// is down: it takes the configuration from its peers and answers quick
// requests.
func TestStartWithoutTable(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	t.Parallel()
	c := newCluster(t)
	c.configure()
	c.kill(0)
	c.setTableFaults(map[string]any{"outage": true})
	c.start(c.instances[0])
	c.awaitOK(c.url(0, "/readyz"))
	a, err := c.call(context.Background(), http.MethodPost, c.url(0, "/v1/quotes"), map[string]any{
		"team": "north", "template": "quote", "id": "q", "payload": map[string]any{"seconds": 0.01, "echo": "q"},
	})
	if err != nil || a.status != http.StatusOK {
		t.Errorf("idempotent quick request: %d %v %v", a.status, a.body, err)
	}
	a, err = c.call(context.Background(), http.MethodPost, c.url(0, "/v1/quotes"), map[string]any{
		"team": "north", "template": "quote", "id": "once", "idempotent": false, "payload": map[string]any{"seconds": 0.01},
	})
	if err != nil || a.status < 400 || a.stringAt("error", "ran") != "no" {
		t.Errorf("a request that must run at most once got %d %v %v", a.status, a.body, err)
	}
	status, err := c.call(context.Background(), http.MethodGet, c.url(0, "/v1/status"), nil)
	config, _ := status.body["config"].(map[string]any)
	if err != nil || config["version"] != 4.0 || config["fresh"] != false {
		t.Errorf("configuration without the table: %v %v", config, err)
	}
}
