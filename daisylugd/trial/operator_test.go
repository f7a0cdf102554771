package trial

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against an accepted change that is overwritten by a change based on an
// older version, and against instances that return to an older version.
func TestOperatorsRace(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	t.Parallel()
	c := newCluster(t)
	c.configure()
	const operators, rounds = 4, 10
	var mu sync.Mutex
	accepted := make(map[string]int)
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			for n := range rounds {
				a, err := c.call(context.Background(), http.MethodGet, c.url(o, "/v1/teams/north"), nil)
				if err != nil {
					t.Errorf("reading the team: %v", err)
					return
				}
				etag := a.header.Get("ETag")
				delete(a.body, "version")
				delete(a.body, "config")
				a.body["priority"] = 10 + o*rounds + n
				changed, err := c.call(context.Background(), http.MethodPut, c.url(o, "/v1/teams/north"), a.body, "If-Match", etag)
				if err != nil {
					t.Errorf("changing the team: %v", err)
					return
				}
				switch changed.status {
				case http.StatusOK:
					mu.Lock()
					accepted[changed.header.Get("ETag")]++
					mu.Unlock()
				case http.StatusConflict:
				default:
					t.Errorf("changing the team: status %d: %v", changed.status, changed.body)
				}
			}
		})
	}
	wg.Wait()
	for version, n := range accepted {
		if n != 1 {
			t.Errorf("version %s was given to %d changes", version, n)
		}
	}
	c.awaitConfig(float64(4 + len(accepted)))
	a, err := c.call(context.Background(), http.MethodGet, c.url(6, "/v1/teams/north"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("%q", fmt.Sprint(1+len(accepted))); a.header.Get("ETag") != want {
		t.Errorf("team is at version %s after %d accepted changes", a.header.Get("ETag"), len(accepted))
	}
	t.Logf("%d of %d changes accepted", len(accepted), operators*rounds)
}

// balancerDelay is the time between the withdrawal of readiness and the moment
// the test's load balancer stops sending. It exceeds the instance's drain time
// of 300 ms.
const balancerDelay = 900 * time.Millisecond

// Guards against requests that a graceful shutdown cuts off: every request
// that the load balancer sends gets an answer, including those that arrive
// after the signal, even if the load balancer is slower than the drain time.
func TestShutdownCutsNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	t.Parallel()
	c := newCluster(t)
	c.configure()
	const callers = 16
	stopped := make(chan struct{})
	var tally shutdownTally
	var wg sync.WaitGroup
	wg.Go(func() {
		for c.isReady(1) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(balancerDelay)
		close(stopped)
	})
	for i := range callers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				tally.add(t, c, fmt.Sprintf("s-%d-%d", i, n))
			}
		})
	}
	time.Sleep(2 * time.Second)
	c.signal(1, syscall.SIGTERM)
	err := c.instances[1].cmd.Wait()
	wg.Wait()
	if err != nil {
		t.Errorf("instance exited with an error: %v", err)
	}
	if tally.answered == 0 || tally.refused > 0 || tally.cut > 0 {
		t.Errorf("answered %d, refused %d, cut %d", tally.answered, tally.refused, tally.cut)
	}
	t.Logf("answered %d, refused %d, cut %d", tally.answered, tally.refused, tally.cut)
}

// shutdownTally counts the outcomes of the requests during a shutdown.
type shutdownTally struct {
	mu                     sync.Mutex
	answered, refused, cut int
}

// add sends a request on a kept-alive connection and counts its outcome.
func (s *shutdownTally) add(t *testing.T, c *cluster, id string) {
	a, err := c.call(context.Background(), http.MethodPost, c.url(1, "/v1/quotes"), map[string]any{
		"team": "north", "template": "quote", "id": id, "payload": map[string]any{"seconds": 0.02},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.cut++
		t.Errorf("request was cut: %v", err)
	case a.status == http.StatusOK:
		s.answered++
	default:
		s.refused++
		t.Errorf("request was refused: %v", a.body)
	}
}
