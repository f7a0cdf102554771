package meter

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// sampleLine is a line of the text format with a value. Label values hold no raw
// quotation mark, and a backslash only before another, a quotation mark or an n.
var sampleLine = regexp.MustCompile(`^[a-zA-Z_:][a-zA-Z0-9_:]*(\{[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\]|\\[\\"n])*"(?:,[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\]|\\[\\"n])*")*\})? [-+0-9.eE]+$`)

// checkPage checks that the metrics of a set can be parsed and returns their number.
func checkPage(t *testing.T, s *Set) int {
	t.Helper()
	var page strings.Builder
	s.WritePrometheus(&page)
	if !utf8.ValidString(page.String()) {
		t.Errorf("page is not UTF-8: %q", page.String())
	}
	lines := strings.Split(strings.TrimSuffix(page.String(), "\n"), "\n")
	for _, line := range lines {
		if !sampleLine.MatchString(line) {
			t.Errorf("line cannot be parsed: %q", line)
		}
	}
	return len(lines)
}

var values = []string{
	"", "kivi", `Lattia "Oy"`, `"`, `\`, `\"`, `a\`, "two\nlines", "{}", `a="b",c="d"`, "a,b", " ", "\x00", "\r\n\t\x7f", "\xff\xfe", "ÄÖ 東京 🚧",
	strings.Repeat("x", 5000), strings.Repeat("東", 2000), strings.Repeat(`"`, 300), strings.Repeat("\n", 300),
}

// TestLabelValues guards against a label value, such as the name of a team, that
// makes the metrics library panic or the served page unreadable.
func TestLabelValues(t *testing.T) {
	for _, v := range values {
		t.Run(fmt.Sprintf("%.12q", v), func(t *testing.T) {
			s := NewSet()
			s.Counter("c_total", Label{"team", v}, Label{"how", "done"}).Inc()
			s.Gauge("g", Label{"team", v}).Set(1)
			s.Histogram("h_seconds", Label{"team", v}).Update(0.5)
			// The histogram has a bucket, a sum and a count.
			if n := checkPage(t, s); n != 5 {
				t.Errorf("%d lines, want 5", n)
			}
		})
	}
}

// TestSeriesAreDistinct guards against values that are counted as one, and against
// series without bound.
func TestSeriesAreDistinct(t *testing.T) {
	s := NewSet()
	for _, v := range values {
		if v == "\xff\xfe" {
			continue
		}
		s.Counter("c_total", Label{"team", v}).Inc()
	}
	long := strings.Repeat("x", 5000)
	s.Counter("c_total", Label{"team", long + "y"}).Inc()
	if n := checkPage(t, s); n != len(values) {
		t.Errorf("%d series, want %d", n, len(values))
	}
	for i := range 2 * MaxSeries {
		s.Counter("many_total", Label{"team", fmt.Sprint(i)}).Inc()
	}
	s.Counter("many_total", Label{"team", "7"}).Inc()
	if n := s.Counter("many_total", Label{"team", Overflow}).Get(); n != MaxSeries {
		t.Errorf("%d in the shared series, want %d", n, MaxSeries)
	}
	if n := s.Counter("many_total", Label{"team", "7"}).Get(); n != 2 {
		t.Errorf("%d in a known series, want 2", n)
	}
	checkPage(t, s)
}

func FuzzLabelValue(f *testing.F) {
	for _, v := range values {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, v string) {
		s := NewSet()
		s.Counter("c_total", Label{"team", v}).Inc()
		s.Histogram("h_seconds", Label{"team", v}).Update(0.5)
		if n := checkPage(t, s); n != 4 {
			t.Errorf("%d lines, want 4", n)
		}
	})
}
