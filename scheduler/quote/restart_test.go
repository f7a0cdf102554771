package quote

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform/memory"
)

// TestRestart guards against a request that runs twice, or is reported as not
// executed, because its worker restarted and lost the record of the attempt.
func TestRestart(t *testing.T) {
	Convey("When a worker crashes during a request and restarts immediately", t, inVirtualTime(t, func(c C) {
		s := newSite(2, 1, 1)
		r := s.router(0, Options{})
		for range 20 {
			_, _ = r.Do(context.Background(), quick("w", 0.01))
		}
		s.cluster.Fleet.ResetStarts()
		time.AfterFunc(100*time.Millisecond, func() {
			for _, w := range s.Workers() {
				s.cluster.Fleet.Crash(w.Name)
				s.cluster.Fleet.Restart(w.Name)
			}
		})
		q := quick("q", 2)
		q.Idempotent = false
		_, err := r.Do(context.Background(), q)
		c.So(err, ShouldNotBeNil)
		c.So(refusalOf(err).Execution, ShouldNotEqual, NotExecuted)
		c.So(memory.DuplicateStarts(s.cluster.Fleet.Starts(), false), ShouldBeEmpty)
	}))
}
