package throttle

import (
	"testing"
	"time"
)

// maxViolation bounds how long a target may be missed without interruption
// because of best-effort tasks.
const maxViolation = 4 * time.Second

// simulate computes the tail latency from the share every 0.5 s. It returns the
// longest time above the target and the final share.
func simulate(length time.Duration, latency func(at time.Duration, share int) time.Duration) (time.Duration, int) {
	const target = 100 * time.Millisecond
	const step = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	var state State
	var longest, over time.Duration
	for at := time.Duration(0); at < length; at += step {
		observed := latency(at, state.Share())
		over += step
		if observed <= target {
			over = 0
		}
		longest = max(longest, over)
		state = state.Next(start.Add(at), []Serving{{TailLatency: 10 * time.Millisecond, TargetLatency: target}, {TailLatency: observed, TargetLatency: target}})
	}
	return longest, state.Share()
}

func TestLoadsThatFillersDisturb(t *testing.T) {
	for name, c := range map[string]struct {
		latency func(at time.Duration, share int) time.Duration
		// minShare and maxShare bound the share at the end.
		minShare, maxShare int
	}{
		"no interference": {
			latency:  func(time.Duration, int) time.Duration { return 40 * time.Millisecond },
			minShare: Full, maxShare: Full,
		},
		"interference proportional to the share": {
			latency: func(_ time.Duration, share int) time.Duration {
				return 40*time.Millisecond + time.Duration(share)*time.Millisecond
			},
			minShare: 10, maxShare: 60,
		},
		"any share misses the target": {
			latency: func(_ time.Duration, share int) time.Duration {
				if share > 0 {
					return 300 * time.Millisecond
				}
				return 95 * time.Millisecond
			},
			minShare: 0, maxShare: 0,
		},
		"temporary load": {
			latency: func(at time.Duration, share int) time.Duration {
				if at < 5*time.Second {
					return 60*time.Millisecond + 2*time.Duration(share)*time.Millisecond
				}
				return 30 * time.Millisecond
			},
			minShare: Full, maxShare: Full,
		},
	} {
		t.Run(name, func(t *testing.T) {
			longest, share := simulate(40*time.Second, c.latency)
			if longest >= maxViolation {
				t.Errorf("the target was missed for %v without interruption", longest)
			}
			if share < c.minShare || share > c.maxShare {
				t.Errorf("share %d at the end, want %d to %d", share, c.minShare, c.maxShare)
			}
		})
	}
}

func TestWithoutTargetsNothingIsSlowed(t *testing.T) {
	var state State
	for i := range 20 {
		state = state.Next(time.Unix(int64(i), 0), []Serving{{TailLatency: time.Hour}})
	}
	if state.Share() != Full {
		t.Errorf("share %d", state.Share())
	}
}
