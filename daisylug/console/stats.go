package console

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms record latencies in microseconds.
	histogramUnit     = time.Microsecond
	maxHistogramValue = int64(maxBenchDuration / histogramUnit)
	histogramDigits   = 3
)

// typeNotSent is the type under which reports count the arrivals that are not
// sent because of the limit of requests in flight.
const typeNotSent = "not_sent"

// totalName is the class and team of the totals, the last row of a report.
const totalName = "all"

// statsSet holds the statistics of each class and team.
type statsSet struct {
	mu    sync.Mutex
	byKey map[statsKey]*stats
}

type statsKey struct {
	class string
	team  string
}

func newStatsSet() *statsSet { return &statsSet{byKey: map[statsKey]*stats{}} }

// forEntry returns the statistics for the class and team of an entry, and creates
// them if needed.
func (s *statsSet) forEntry(e mixEntry) *stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := statsKey{e.class(), e.Team}
	if s.byKey[key] == nil {
		s.byKey[key] = newStats()
	}
	return s.byKey[key]
}

func (s *statsSet) keys() []statsKey {
	return slices.SortedFunc(maps.Keys(s.byKey), func(a, b statsKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team, b.team))
	})
}

// stats counts outcomes. Only successful requests add a latency.
type stats struct {
	mu        sync.Mutex
	successes int64
	inTime    int64
	refusals  map[refusalKey]int64
	latencies *hdrhistogram.Histogram
}

type refusalKey struct {
	kind string
	ran  string
}

func newStats() *stats {
	return &stats{
		refusals:  map[refusalKey]int64{},
		latencies: hdrhistogram.New(1, maxHistogramValue, histogramDigits),
	}
}

func (s *stats) recordSuccess(latency time.Duration, inTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successes++
	if inTime {
		s.inTime++
	}
	_ = s.latencies.RecordValue(min(max(int64(latency/histogramUnit), 1), maxHistogramValue))
}

func (s *stats) recordRefusal(kind, ran string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[refusalKey{kind, ran}]++
}

// merge adds the counts and latencies of other.
func (s *stats) merge(other *stats) {
	s.successes += other.successes
	s.inTime += other.inTime
	s.latencies.Merge(other.latencies)
	for key, n := range other.refusals {
		s.refusals[key] += n
	}
}

func (s *stats) arrived() int64 {
	n := s.successes
	for _, count := range s.refusals {
		n += count
	}
	return n
}

// benchReport is the output of the bench commands.
type benchReport struct {
	Kind     string         `json:"kind"`
	Mode     string         `json:"mode"`
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Rows     []benchRow     `json:"rows"`
	Refusals []benchRefusal `json:"refusals"`
}

// benchRow holds the results of one class and team. Throughput is the number of
// successful requests a second, and goodput that of those within the deadline.
// Latencies are in milliseconds.
type benchRow struct {
	Class      string  `json:"class"`
	Team       string  `json:"team"`
	Arrived    int64   `json:"arrived"`
	OK         int64   `json:"ok"`
	Throughput float64 `json:"throughput"`
	Goodput    float64 `json:"goodput"`
	P50        float64 `json:"p50"`
	P90        float64 `json:"p90"`
	P99        float64 `json:"p99"`
	Max        float64 `json:"max"`
}

// benchRefusal counts the failed requests of one error type.
type benchRefusal struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Type  string `json:"type"`
	Ran   string `json:"ran"`
	Count int64  `json:"count"`
}

// report summarises the statistics after run has returned.
func (l *loadGenerator) report(kind string) *benchReport {
	r := &benchReport{
		Kind:     kind,
		Mode:     l.mode(),
		Seed:     l.flags.Seed,
		Seconds:  seconds(l.window),
		Refusals: []benchRefusal{},
	}
	total := newStats()
	for _, key := range l.stats.keys() {
		s := l.stats.byKey[key]
		total.merge(s)
		r.add(key, s)
		r.addRefusals(key, s)
	}
	r.add(statsKey{totalName, totalName}, total)
	return r
}

func (r *benchReport) add(key statsKey, s *stats) {
	quantile := func(q float64) float64 { return milliseconds(s.latencies.ValueAtQuantile(q)) }
	r.Rows = append(r.Rows, benchRow{
		Class:      key.class,
		Team:       key.team,
		Arrived:    s.arrived(),
		OK:         s.successes,
		Throughput: rate(s.successes, r.Seconds),
		Goodput:    rate(s.inTime, r.Seconds),
		P50:        quantile(50),
		P90:        quantile(90),
		P99:        quantile(99),
		Max:        milliseconds(s.latencies.Max()),
	})
}

func (r *benchReport) addRefusals(key statsKey, s *stats) {
	kinds := slices.SortedFunc(maps.Keys(s.refusals), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.ran, b.ran))
	})
	for _, k := range kinds {
		r.Refusals = append(r.Refusals, benchRefusal{key.class, key.team, k.kind, k.ran, s.refusals[k]})
	}
}

func milliseconds(units int64) float64 {
	return float64(units) * float64(histogramUnit) / float64(time.Millisecond)
}

func rate(n int64, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return float64(n) / seconds
}

func (r *benchReport) draw(t *table) {
	t.row(fmt.Sprintf("%s, %s, seed %d, %s", r.Kind, r.Mode, r.Seed, formatSeconds(r.Seconds)))
	t.blankLine()
	t.row("CLASS", "TEAM", "ARRIVED", "OK", "THROUGHPUT/S", "GOODPUT/S", "P50 MS", "P90 MS", "P99 MS", "MAX MS")
	for _, row := range r.Rows {
		cells := []string{row.Class, row.Team, strconv.FormatInt(row.Arrived, 10), strconv.FormatInt(row.OK, 10)}
		for _, v := range []float64{row.Throughput, row.Goodput} {
			cells = append(cells, strconv.FormatFloat(v, 'f', 1, 64))
		}
		for _, v := range []float64{row.P50, row.P90, row.P99, row.Max} {
			cells = append(cells, strconv.FormatFloat(v, 'f', 3, 64))
		}
		t.row(cells...)
	}
	if len(r.Refusals) == 0 {
		return
	}
	t.blankLine()
	t.row("CLASS", "TEAM", "TYPE", "RAN", "COUNT")
	for _, f := range r.Refusals {
		t.row(f.Class, f.Team, f.Type, f.Ran, strconv.FormatInt(f.Count, 10))
	}
}
