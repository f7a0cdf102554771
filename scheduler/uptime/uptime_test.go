package uptime

import (
	"testing"
	"time"
)

// TestAgeIncludesSuspension shifts a stamp as a suspension of 4 s would, during
// which Go's monotonic clock stops.
func TestAgeIncludesSuspension(t *testing.T) {
	s := At(time.Now())
	if age := s.Age(); age > time.Second {
		t.Errorf("a new stamp is %v old", age)
	}
	s.boot -= 4 * time.Second
	if age := s.Age(); age < 4*time.Second {
		t.Errorf("age %v after a suspension of 4 s", age)
	}
	if age := At(time.Now().Add(-time.Minute)).Age(); age < time.Minute || age > time.Minute+time.Second {
		t.Errorf("a stamp of a minute ago is %v old", age)
	}
}
