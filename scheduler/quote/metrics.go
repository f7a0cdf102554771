package quote

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/meter"
)

// histograms holds the histograms of one class and team.
type histograms struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	total   *metrics.Histogram
}

type histogramKey struct {
	class Class
	team  string
}

// routerMetrics holds the router's metrics. The histograms are cached by class
// and team to avoid formatting their names for each request.
type routerMetrics struct {
	set              *meter.Set
	attempts         *metrics.Counter
	retries          *metrics.Counter
	ejections        *metrics.Counter
	forwards         *metrics.Counter
	claimsUnfinished *metrics.Counter

	mu    sync.RWMutex
	cache map[histogramKey]*histograms
}

func newRouterMetrics(set *meter.Set) *routerMetrics {
	if set == nil {
		set = meter.NewSet()
	}
	return &routerMetrics{
		set:              set,
		attempts:         set.Counter("quote_attempts_total"),
		retries:          set.Counter("quote_retries_total"),
		ejections:        set.Counter("quote_ejections_total"),
		forwards:         set.Counter("quote_forwards_total"),
		claimsUnfinished: set.Counter("quote_claims_unfinished_total"),
		cache:            map[histogramKey]*histograms{},
	}
}

func (m *routerMetrics) histograms(class Class, team string) *histograms {
	key := histogramKey{class, team}
	m.mu.RLock()
	cached, ok := m.cache[key]
	m.mu.RUnlock()
	if ok {
		return cached
	}
	histogram := func(phase string) *metrics.Histogram {
		return m.set.Histogram("quote_"+phase+"_seconds", meter.L("class", string(class)), meter.L("team", team))
	}
	cached = &histograms{wait: histogram("wait"), service: histogram("service"), total: histogram("total")}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache[key] = cached
	return cached
}

// countRefusal counts a refusal by reason and execution state.
func (m *routerMetrics) countRefusal(e *RefusedError) {
	m.set.Counter("quote_refusals_total", meter.L("reason", string(e.Reason)), meter.L("ran", string(e.Execution))).Inc()
}
