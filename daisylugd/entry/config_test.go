package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// outageSource is a configuration source that is unavailable between two times.
type outageSource struct {
	staticSource
	from, to time.Time
}

func (o *outageSource) Next(ctx context.Context, version int64, wait time.Duration) (Update, error) {
	if now := time.Now(); now.After(o.from) && now.Before(o.to) {
		return Update{}, &platform.UnavailableError{Service: "store"}
	}
	return o.staticSource.Next(ctx, version, wait)
}

// TestFreshSoonAfterOutage guards against an instance that stays unready for a
// whole configWatchTimeout after the store is available again.
func TestFreshSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &outageSource{
			staticSource: staticSource{&control.Config{Version: 1}},
			from:         time.Now().Add(3 * time.Second), to: time.Now().Add(8 * time.Second),
		}
		e := New(
			Settings{Name: "127.0.0.1:1", MaxConfigAge: 1850 * time.Millisecond},
			Services{Store: NewRelayingStore(memory.NewStore(1), klog.Background()), Source: source},
			meter.NewSet(), klog.Background(),
		)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = e.watchConfig(ctx)
		}()
		time.Sleep(7 * time.Second)
		if e.ConfigFresh() {
			t.Error("configuration fresh after 4 s without a confirmation")
		}
		time.Sleep(time.Until(source.to) + 2*configRetryDelay)
		if !e.ConfigFresh() {
			t.Error("configuration not fresh after the store is available again")
		}
		cancel()
		<-done
	})
}
