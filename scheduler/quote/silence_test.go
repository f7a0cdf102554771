package quote

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform/memory"
)

// silenceResult holds the results of instance 0 when half of its connections
// become unresponsive.
type silenceResult struct {
	before, after           time.Duration // p99 before the event, and from 2 s after it
	unanswered              int           // requests without an answer
	lastAffected            time.Duration // arrival, after the event, of the last one not answered within 1 s
	duplicatesNonIdempotent int           // non-idempotent requests that ran twice
	duplicatesIdempotent    int
	replaced                int
	excess                  int // connections beyond the instance's share
}

func (s silenceResult) String() string {
	return fmt.Sprintf("p99 before %s, after 2 s %s, unanswered %d, the last sent at %s, replaced %d, run twice: not idempotent %d, idempotent %d",
		s.before.Round(time.Millisecond), s.after.Round(time.Millisecond), s.unanswered, s.lastAffected.Round(time.Millisecond), s.replaced, s.duplicatesNonIdempotent, s.duplicatesIdempotent)
}

func measureSilence(t *testing.T, o PoolOptions) silenceResult {
	var r silenceResult
	synctest.Test(t, func(*testing.T) {
		s := newSite(16, 3, *seed)
		d := &testDialer{site: s}
		pool := NewPool(self(0), d, s, s.cluster.Fleet, o)
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = pool.Run(ctx) }()
		router := New(Dependencies{Self: self(0), Fleet: pool, View: s, Claimer: &s.claims}, Options{Seed: 1})
		l := load{factor: 0.7, length: 10 * time.Second, timeout: 3 * time.Second, work: 0.2, seed: *seed, nonIdempotentShare: 0.3}
		l.atHalf = func() { d.silence(2) }
		var mu sync.Mutex
		var before, after []time.Duration
		l.observe = func(at, took time.Duration, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.unanswered++
				took = l.timeout
			}
			if now := at - l.length/2; now > -l.timeout && (err != nil || took > time.Second) {
				r.lastAffected = max(r.lastAffected, now)
			}
			switch {
			case at > l.length/2+2*time.Second && at < l.length-time.Second:
				after = append(after, took)
			case at > time.Second && at < l.length/2-time.Second:
				before = append(before, took)
			}
		}
		runLoad(s, []doer{router, s.router(1, Options{}), s.router(2, Options{})}, l)
		r.before, r.after = percentile(before, 99), percentile(after, 99)
		r.replaced = pool.Status().Replaced
		r.excess = d.excess
		r.countDuplicates(s)
		stop()
		pool.Close()
		time.Sleep(2 * maxSlotHold)
	})
	return r
}

func (s *silenceResult) countDuplicates(at *site) {
	at.claims.mu.Lock()
	defer at.claims.mu.Unlock()
	for _, d := range memory.DuplicateStarts(at.cluster.Fleet.Starts(), false) {
		if !strings.HasPrefix(d.ID, "0-") {
			continue
		}
		if _, once := at.claims.held[d.ID]; once {
			s.duplicatesNonIdempotent++
		} else {
			s.duplicatesIdempotent++
		}
	}
}

// TestSilence guards against the effects of connections that become permanently
// unresponsive: requests that wait until their deadlines, and requests that run
// again without need.
func TestSilence(t *testing.T) {
	on := measureSilence(t, PoolOptions{})
	off := measureSilence(t, PoolOptions{StallTimeout: time.Hour, ProbeInterval: time.Hour})
	fmt.Printf("\nhalf of the connections silent, load: 0.7x, seed: %d\nprobes on:  %s\nprobes off: %s\n", *seed, on, off)
	Convey("When half of an instance's connections become unresponsive", t, func() {
		Convey("the p99 latency recovers within 2 s", func() {
			So(on.after, ShouldBeLessThan, on.before*3/2)
		})
		Convey("no non-idempotent request runs twice", func() {
			So(on.duplicatesNonIdempotent, ShouldEqual, 0)
			So(off.duplicatesNonIdempotent, ShouldEqual, 0)
		})
		Convey("no worker gets more connections than the instance's share", func() {
			So(on.excess, ShouldBeLessThanOrEqualTo, 0)
		})
		Convey("the p99 latency does not recover without probes", func() {
			So(off.after, ShouldBeGreaterThan, off.before*3/2)
		})
	})
}
