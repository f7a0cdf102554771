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
	// The histograms hold microseconds.
	histogramUnit   = time.Microsecond
	histogramMost   = int64(benchMost / histogramUnit)
	histogramDigits = 3
)

// typeUnsent counts arrivals above the limit of requests in flight.
const typeUnsent = "not_sent"

// allName stands for all classes and teams in the last line of a report.
const allName = "all"

// tally counts outcomes by class and team.
type tally struct {
	mu    sync.Mutex
	byKey map[tallyKey]*stats
}

type tallyKey struct {
	class string
	team  string
}

func newTally() *tally { return &tally{byKey: map[tallyKey]*stats{}} }

// stats returns the counts for an entry's class and team.
func (t *tally) stats(e mixEntry) *stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tallyKey{e.class(), e.Team}
	if t.byKey[key] == nil {
		t.byKey[key] = newStats()
	}
	return t.byKey[key]
}

func (t *tally) keys() []tallyKey {
	return slices.SortedFunc(maps.Keys(t.byKey), func(a, b tallyKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team, b.team))
	})
}

// stats counts outcomes. Latencies are those of successful answers.
type stats struct {
	mu        sync.Mutex
	ok        int64
	good      int64
	refused   map[refusalKey]int64
	latencies *hdrhistogram.Histogram
}

type refusalKey struct {
	kind string
	ran  string
}

func newStats() *stats {
	return &stats{
		refused:   map[refusalKey]int64{},
		latencies: hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

func (s *stats) succeed(took time.Duration, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ok++
	if good {
		s.good++
	}
	_ = s.latencies.RecordValue(min(max(int64(took/histogramUnit), 1), histogramMost))
}

func (s *stats) refuse(kind, ran string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[refusalKey{kind, ran}]++
}

// merge adds the counts of other.
func (s *stats) merge(other *stats) {
	s.ok += other.ok
	s.good += other.good
	s.latencies.Merge(other.latencies)
	for key, n := range other.refused {
		s.refused[key] += n
	}
}

func (s *stats) arrived() int64 {
	n := s.ok
	for _, count := range s.refused {
		n += count
	}
	return n
}

// benchReport is the output of bench.
type benchReport struct {
	Kind     string         `json:"kind"`
	Mode     string         `json:"mode"`
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Rows     []benchRow     `json:"rows"`
	Refusals []benchRefusal `json:"refusals"`
}

// benchRow describes one class and team. Throughput is successful answers a
// second, and goodput those within the deadline. Latencies are in
// milliseconds.
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

// benchRefusal counts the failures of one type.
type benchRefusal struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Type  string `json:"type"`
	Ran   string `json:"ran"`
	Count int64  `json:"count"`
}

// report returns the counts after run.
func (l *load) report(kind string) *benchReport {
	r := &benchReport{
		Kind:     kind,
		Mode:     l.mode(),
		Seed:     l.flags.Seed,
		Seconds:  seconds(l.window),
		Refusals: []benchRefusal{},
	}
	total := newStats()
	for _, key := range l.tally.keys() {
		s := l.tally.byKey[key]
		total.merge(s)
		r.add(key, s)
		r.addRefusals(key, s)
	}
	r.add(tallyKey{allName, allName}, total)
	return r
}

func (r *benchReport) add(key tallyKey, s *stats) {
	quantile := func(q float64) float64 { return milliseconds(s.latencies.ValueAtQuantile(q)) }
	r.Rows = append(r.Rows, benchRow{
		Class:      key.class,
		Team:       key.team,
		Arrived:    s.arrived(),
		OK:         s.ok,
		Throughput: rate(s.ok, r.Seconds),
		Goodput:    rate(s.good, r.Seconds),
		P50:        quantile(50),
		P90:        quantile(90),
		P99:        quantile(99),
		Max:        milliseconds(s.latencies.Max()),
	})
}

func (r *benchReport) addRefusals(key tallyKey, s *stats) {
	kinds := slices.SortedFunc(maps.Keys(s.refused), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.ran, b.ran))
	})
	for _, k := range kinds {
		r.Refusals = append(r.Refusals, benchRefusal{key.class, key.team, k.kind, k.ran, s.refused[k]})
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
	t.gap()
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
	t.gap()
	t.row("CLASS", "TEAM", "TYPE", "RAN", "COUNT")
	for _, f := range r.Refusals {
		t.row(f.Class, f.Team, f.Type, f.Ran, strconv.FormatInt(f.Count, 10))
	}
}
