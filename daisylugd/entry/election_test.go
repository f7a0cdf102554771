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
		leaderObservation
		want bool
	}{
		{"no leader", leaderObservation{}, true},
		{"own former process", leaderObservation{leader: other, isSelf: true}, true},
		{"restarted", leaderObservation{leader: other, restarted: true}, true},
		{"connection refused", leaderObservation{leader: other, connectionRefused: true}, true},
		{"renews", leaderObservation{leader: other}, false},
		{"silent, lease renewed", leaderObservation{leader: other, silent: true, unchangedFor: 500 * time.Millisecond}, false},
		{"silent, lease not renewed", leaderObservation{leader: other, silent: true, unchangedFor: 700 * time.Millisecond}, true},
		{"heartbeats received, renewal late", leaderObservation{leader: other, unchangedFor: time.Second}, false},
		{"heartbeats received, lease expired", leaderObservation{leader: other, unchangedFor: term.LeaseDuration}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := c.vacancyReason(); (got != "") != c.want {
				t.Errorf("vacancy reason %q, want vacant %t", got, c.want)
			}
		})
	}
}
