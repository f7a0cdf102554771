package quote

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
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
	set              *metrics.Set
	attempts         *metrics.Counter
	retries          *metrics.Counter
	ejections        *metrics.Counter
	forwards         *metrics.Counter
	claimsUnfinished *metrics.Counter

	mu    sync.RWMutex
	cache map[histogramKey]*histograms
}

func newRouterMetrics(set *metrics.Set) *routerMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &routerMetrics{
		set:              set,
		attempts:         set.GetOrCreateCounter("quote_attempts_total"),
		retries:          set.GetOrCreateCounter("quote_retries_total"),
		ejections:        set.GetOrCreateCounter("quote_ejections_total"),
		forwards:         set.GetOrCreateCounter("quote_forwards_total"),
		claimsUnfinished: set.GetOrCreateCounter("quote_claims_unfinished_total"),
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
		return m.set.GetOrCreateHistogram(fmt.Sprintf("quote_%s_seconds{class=%q,team=%q}", phase, class, team))
	}
	cached = &histograms{wait: histogram("wait"), service: histogram("service"), total: histogram("total")}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache[key] = cached
	return cached
}

// countRefusal counts a refusal by reason and execution state.
func (m *routerMetrics) countRefusal(e *RefusedError) {
	m.set.GetOrCreateCounter(fmt.Sprintf("quote_refusals_total{reason=%q,ran=%q}", e.Reason, e.Execution)).Inc()
}
