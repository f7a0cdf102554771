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

// silenced is what instance 0 sees when half of its connections go silent.
type silenced struct {
	before, after time.Duration // p99 before, and from 2 s after on
	lost          int           // requests without an answer
	last          time.Duration // arrival of the last one without an answer within 1 s
	doubledOnce   int           // requests that are not idempotent, run twice
	doubled       int
	replaced      int
	excess        int // connections beyond the share
}

func (s silenced) String() string {
	return fmt.Sprintf("p99 before %s, after 2 s %s, unanswered %d, the last sent at %s, replaced %d, run twice: not idempotent %d, idempotent %d",
		s.before.Round(time.Millisecond), s.after.Round(time.Millisecond), s.lost, s.last.Round(time.Millisecond), s.replaced, s.doubledOnce, s.doubled)
}

func measureSilence(t *testing.T, o PoolOptions) silenced {
	var r silenced
	synctest.Test(t, func(*testing.T) {
		s := newSite(16, 3, *seed)
		d := &wires{site: s}
		pool := NewPool(self(0), d, s, s.world.Fleet, o)
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = pool.Run(ctx) }()
		router := New(Dependencies{Self: self(0), Fleet: pool, View: s, Claimer: &s.claims}, Options{Seed: 1})
		l := load{factor: 0.7, length: 10 * time.Second, wait: 3 * time.Second, work: 0.2, seed: *seed, once: 0.3}
		l.event = func() { d.silence(2) }
		var mu sync.Mutex
		var before, after []time.Duration
		l.observe = func(at, took time.Duration, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.lost++
				took = l.wait
			}
			if now := at - l.length/2; now > -l.wait && (err != nil || took > time.Second) {
				r.last = max(r.last, now)
			}
			switch {
			case at > l.length/2+2*time.Second && at < l.length-time.Second:
				after = append(after, took)
			case at > time.Second && at < l.length/2-time.Second:
				before = append(before, took)
			}
		}
		drive(s, []doer{router, s.router(1, Options{}), s.router(2, Options{})}, l)
		r.before, r.after = percentile(before, 99), percentile(after, 99)
		r.replaced = pool.Status().Replaced
		r.excess = d.excess
		r.count(s)
		stop()
		pool.Close()
		time.Sleep(2 * lingerLimit)
	})
	return r
}

func (s *silenced) count(at *site) {
	at.claims.mu.Lock()
	defer at.claims.mu.Unlock()
	for _, d := range memory.DuplicateStarts(at.world.Fleet.Starts(), false) {
		if !strings.HasPrefix(d.ID, "0-") {
			continue
		}
		if _, once := at.claims.held[d.ID]; once {
			s.doubledOnce++
		} else {
			s.doubled++
		}
	}
}

// TestSilence guards against connections that go silent for good: requests
// that wait for their deadlines, and requests that are run again without need.
func TestSilence(t *testing.T) {
	on := measureSilence(t, PoolOptions{})
	off := measureSilence(t, PoolOptions{StallAfter: time.Hour, ProbeInterval: time.Hour})
	fmt.Printf("\nhalf of the connections silent, load: 0.7x, seed: %d\nprobes on:  %s\nprobes off: %s\n", *seed, on, off)
	Convey("When half of an instance's connections go silent", t, func() {
		Convey("p99 recovers within 2 s", func() {
			So(on.after, ShouldBeLessThan, on.before*3/2)
		})
		Convey("Nothing that is not idempotent runs twice", func() {
			So(on.doubledOnce, ShouldEqual, 0)
			So(off.doubledOnce, ShouldEqual, 0)
		})
		Convey("No worker gets more connections than its share", func() {
			So(on.excess, ShouldBeLessThanOrEqualTo, 0)
		})
		Convey("Without probes p99 does not recover", func() {
			So(off.after, ShouldBeGreaterThan, off.before*3/2)
		})
	})
}
