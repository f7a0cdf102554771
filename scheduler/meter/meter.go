// Package meter creates labelled metrics. It is the only place that forms the names of
// metrics, so that a label may hold any text, such as the name of a team.
package meter

import (
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// MaxValueBytes bounds the value of a label. Of a longer one the beginning and a hash
	// are kept.
	MaxValueBytes = 128
	// MaxSeries bounds the label combinations of one metric. The others share one series,
	// in which the values of all labels are Overflow.
	MaxSeries = 1000
	// Overflow is the label value of the series that other combinations share.
	Overflow = "(other)"
)

// Label is a label of a metric. The value may be any text.
type Label struct{ Name, Value string }

// L returns a label.
func L(name, value string) Label { return Label{name, value} }

// Set is a set of metrics that are exposed together.
type Set struct {
	set *metrics.Set

	mu     sync.Mutex
	series map[string]map[string]struct{}
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet(), series: map[string]map[string]struct{}{}}
}

// Counter returns the counter of a metric with the given labels.
func (s *Set) Counter(metric string, labels ...Label) *metrics.Counter {
	return s.set.GetOrCreateCounter(s.name(metric, labels))
}

// Gauge returns the gauge of a metric with the given labels.
func (s *Set) Gauge(metric string, labels ...Label) *metrics.Gauge {
	return s.set.GetOrCreateGauge(s.name(metric, labels), nil)
}

// Histogram returns the histogram of a metric with the given labels.
func (s *Set) Histogram(metric string, labels ...Label) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(s.name(metric, labels))
}

// WritePrometheus writes all metrics in the text format of Prometheus.
func (s *Set) WritePrometheus(w io.Writer) { s.set.WritePrometheus(w) }

// name returns the name of a series, or of the shared one if there are too many.
func (s *Set) name(metric string, labels []Label) string {
	if len(labels) == 0 {
		return metric
	}
	name := seriesName(metric, labels)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.series[metric]
	if known == nil {
		known = map[string]struct{}{}
		s.series[metric] = known
	}
	if _, ok := known[name]; ok {
		return name
	}
	if len(known) < MaxSeries {
		known[name] = struct{}{}
		return name
	}
	shared := make([]Label, len(labels))
	for i, l := range labels {
		shared[i] = Label{l.Name, Overflow}
	}
	return seriesName(metric, shared)
}

func seriesName(metric string, labels []Label) string {
	var b strings.Builder
	b.WriteString(metric)
	for i, l := range labels {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		b.WriteString(separator + l.Name + `="` + escape(l.Value) + `"`)
	}
	b.WriteString("}")
	return b.String()
}

// escaper escapes what the text format reserves.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escape returns a label value as it stands in the text format.
func escape(value string) string {
	value = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' {
			return utf8.RuneError
		}
		return r
	}, bounded(value))
	return escaper.Replace(strings.ToValidUTF8(value, string(utf8.RuneError)))
}

// bounded returns a value of at most MaxValueBytes. Different long values remain
// different.
func bounded(value string) string {
	if len(value) <= MaxValueBytes {
		return value
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, value)
	suffix := fmt.Sprintf("~%016x", h.Sum64())
	end := MaxValueBytes - len(suffix)
	for end > 0 && !utf8.RuneStart(value[end]) {
		end--
	}
	return value[:end] + suffix
}
