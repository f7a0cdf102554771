package entry

import (
	"testing"
	"time"

	"daisylug.example/scheduler/term"
)

func TestVacant(t *testing.T) {
	other := term.Leader{Name: "other", Incarnation: 1, Generation: 3}
	tests := []struct {
		name string
		evidence
		want bool
	}{
		{"nobody in office", evidence{}, true},
		{"own former process", evidence{holder: other, own: true}, true},
		{"restarted", evidence{holder: other, restarted: true}, true},
		{"no process", evidence{holder: other, refused: true}, true},
		{"renews", evidence{holder: other}, false},
		{"silent, but renews", evidence{holder: other, silent: true, still: 500 * time.Millisecond}, false},
		{"silent and still", evidence{holder: other, silent: true, still: 700 * time.Millisecond}, true},
		{"heard of, a renewal is late", evidence{holder: other, still: time.Second}, false},
		{"heard of, lease ended", evidence{holder: other, still: term.LeaseDuration}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := c.vacant(); (got != "") != c.want {
				t.Errorf("vacant: %q, want vacant %t", got, c.want)
			}
		})
	}
}
