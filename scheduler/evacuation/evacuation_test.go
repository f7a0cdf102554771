package evacuation

import (
	"slices"
	"testing"
	"time"
)

func TestSet(t *testing.T) {
	s := New(5, "b").With("a").With("c").Without("b").With("a")
	if got := s.DataCentres(); !slices.Equal(got, []string{"a", "c"}) || s.Contains("b") || s.Version() != 5 {
		t.Errorf("data centres %v at version %d", got, s.Version())
	}
	content, err := s.WithVersion(9).Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(content)
	if err != nil || !decoded.SameDataCentres(s) || decoded.Version() != 9 {
		t.Errorf("decoded %v, error %v", decoded, err)
	}
	if _, err := Decode([]byte("\xff")); err == nil {
		t.Error("damaged content was decoded")
	}
	if !(Set{}).Empty() || (Set{}).Contains("a") {
		t.Error("the zero value names data centres")
	}
}

// TestNewest guards against an instance that takes back a newer request because a
// peer announces an older reading.
func TestNewest(t *testing.T) {
	older, newer := New(3, "a"), New(4)
	for _, s := range []Set{Newest(older, newer), Newest(newer, older), Newest(Set{}, newer)} {
		if s.Version() != 4 || !s.Empty() {
			t.Errorf("set %v at version %d, want the newer one", s.DataCentres(), s.Version())
		}
	}
}

func TestWorthMoving(t *testing.T) {
	slow := Run{Remaining: 10 * time.Second, Elsewhere: 5 * time.Second, Resumable: true, Fits: true}
	tests := []struct {
		name   string
		change func(*Run)
		want   bool
	}{
		{"ends much earlier elsewhere", func(*Run) {}, true},
		{"gain within the error of the estimate", func(r *Run) { r.Elsewhere = 9500 * time.Millisecond }, false},
		{"ends sooner than a move takes", func(r *Run) { r.Remaining = 2 * time.Second }, false},
		{"nothing saved", func(r *Run) { r.Resumable = false }, false},
		{"no room", func(r *Run) { r.Fits = false }, false},
	}
	for _, c := range tests {
		r := slow
		c.change(&r)
		if got := r.WorthMoving(); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
