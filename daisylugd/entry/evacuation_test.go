package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/evacuation"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/platform/memory"
)

// TestEvacuationReachesCutInstance guards against starts in an evacuated data centre
// by a planner that cannot read the request from the store itself: it learns of it,
// and of its withdrawal, from the heartbeats of the other instances.
func TestEvacuationReachesCutInstance(t *testing.T) {
	s := newCluster(t, 3)
	planner := s.waitReady(t)
	cut, reader := s.servers[planner], s.servers[(planner+1)%3]
	for _, step := range []evacuation.Set{evacuation.New(7, "d"), evacuation.New(9)} {
		reader.applyEvacuations(step)
		waitFor(t, "the evacuations do not reach the planner", func() bool {
			set, known := cut.knownEvacuations()
			return known && set.SameDataCentres(step) && set.Version() == step.Version()
		})
	}
	reader.applyEvacuations(evacuation.New(8, "d"))
	if set := reader.newestEvacuations(); !set.Empty() {
		t.Errorf("an older reading replaced a newer one: %v", set.DataCentres())
	}
	reader.applyEvacuations(evacuation.New(11, "d"))
	waitFor(t, "status does not show the evacuation", func() bool {
		w := httptest.NewRecorder()
		cut.ServeStatus(w, httptest.NewRequest(http.MethodGet, "/status", nil))
		return strings.Contains(w.Body.String(), `"evacuated":["d"]`) && strings.Contains(w.Body.String(), `"evacuations":[{"centre":"d","since":`)
	})
	if err := cut.checkRelayedStart(); err == nil {
		t.Error("a relayed start is allowed")
	}
}

// TestUnconfirmedEvacuations guards against a planner that starts tasks although
// nobody has told it for almost the allowed time whether a data centre is evacuated.
func TestUnconfirmedEvacuations(t *testing.T) {
	e := New(
		Settings{Name: "127.0.0.1:1", MaxConfigAge: time.Second, EvacuationTimeout: evacuationMargin + 200*time.Millisecond},
		Services{Store: NewRelayingStore(memory.NewStore(1), klog.Background()), Source: staticSource{&control.Config{Version: 1}}},
		meter.NewSet(), klog.Background(),
	)
	if _, known := e.knownEvacuations(); known {
		t.Error("evacuations known before the first reading")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = e.watchConfig(ctx) }()
	waitFor(t, "evacuations not known after the first reading", func() bool {
		_, known := e.knownEvacuations()
		return known
	})
	cancel()
	waitFor(t, "evacuations known although nothing confirms them", func() bool {
		_, known := e.knownEvacuations()
		return !known
	})
}
