package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// outage is a configuration that cannot be read for a time.
type outage struct {
	fixed
	from, to time.Time
}

func (o *outage) Next(ctx context.Context, version int64, wait time.Duration) (Snapshot, error) {
	if now := time.Now(); now.After(o.from) && now.Before(o.to) {
		return nil, &platform.UnavailableError{Service: "store"}
	}
	return o.fixed.Next(ctx, version, wait)
}

// TestFreshSoonAfterOutage checks that an instance serves again as soon as the
// store answers, and not a whole wait for changes later.
func TestFreshSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &outage{
			fixed: fixed{&control.Config{Version: 1}},
			from:  time.Now().Add(3 * time.Second), to: time.Now().Add(8 * time.Second),
		}
		e := New(
			Settings{Name: "127.0.0.1:1", MaxConfigAge: 1850 * time.Millisecond},
			Services{Store: NewRelayingStore(memory.NewStore(1), klog.Background()), Source: source},
			metrics.NewSet(), klog.Background(),
		)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = e.follow(ctx)
		}()
		time.Sleep(7 * time.Second)
		if e.ConfigFresh() {
			t.Error("fresh without a confirmation for 4 s")
		}
		time.Sleep(time.Until(source.to) + 2*followRetry)
		if !e.ConfigFresh() {
			t.Error("not fresh after the store is back")
		}
		cancel()
		<-done
	})
}
