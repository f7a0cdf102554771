package quote

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the histograms of one class and team.
type meter struct {
	wait    *metrics.Histogram
	service *metrics.Histogram
	total   *metrics.Histogram
}

type meterKey struct {
	class Class
	team  string
}

// meters holds the router's metrics. The histograms are kept by class and team
// to save the formatting of their names on each request.
type meters struct {
	set        *metrics.Set
	attempts   *metrics.Counter
	retries    *metrics.Counter
	ejections  *metrics.Counter
	forwards   *metrics.Counter
	unfinished *metrics.Counter

	mu   sync.RWMutex
	kept map[meterKey]*meter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		set:        set,
		attempts:   set.GetOrCreateCounter("quote_attempts_total"),
		retries:    set.GetOrCreateCounter("quote_retries_total"),
		ejections:  set.GetOrCreateCounter("quote_ejections_total"),
		forwards:   set.GetOrCreateCounter("quote_forwards_total"),
		unfinished: set.GetOrCreateCounter("quote_claims_unfinished_total"),
		kept:       map[meterKey]*meter{},
	}
}

func (m *meters) meter(class Class, team string) *meter {
	key := meterKey{class, team}
	m.mu.RLock()
	kept, ok := m.kept[key]
	m.mu.RUnlock()
	if ok {
		return kept
	}
	histogram := func(phase string) *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf("quote_%s_seconds{class=%q,team=%q}", phase, class, team))
	}
	kept = &meter{wait: histogram("wait"), service: histogram("service"), total: histogram("total")}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept[key] = kept
	return kept
}

// refuse counts a refusal by reason and by what is known of the run.
func (m *meters) refuse(e *RefusedError) {
	m.set.GetOrCreateCounter(fmt.Sprintf("quote_refusals_total{reason=%q,ran=%q}", e.Reason, e.Execution)).Inc()
}
