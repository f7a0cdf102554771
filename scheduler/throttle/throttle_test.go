package throttle

import (
	"testing"
	"time"
)

// interference is the time that a target may be missed on end because of
// fillers.
const interference = 4 * time.Second

// play lets the tail follow from the share every 0.5 s and returns the longest
// time above the target and the final share.
func play(length time.Duration, tail func(at time.Duration, share int) time.Duration) (time.Duration, int) {
	const target = 100 * time.Millisecond
	const step = 500 * time.Millisecond
	begun := time.Unix(1000, 0)
	var l State
	var longest, over time.Duration
	for at := time.Duration(0); at < length; at += step {
		seen := tail(at, l.Share())
		over += step
		if seen <= target {
			over = 0
		}
		longest = max(longest, over)
		l = l.Next(begun.Add(at), []Serving{{TailLatency: 10 * time.Millisecond, TargetLatency: target}, {TailLatency: seen, TargetLatency: target}})
	}
	return longest, l.Share()
}

func TestLoadsThatFillersDisturb(t *testing.T) {
	for name, c := range map[string]struct {
		tail func(at time.Duration, share int) time.Duration
		// least and most bound the share at the end.
		least, most int
	}{
		"no harm": {
			tail:  func(time.Duration, int) time.Duration { return 40 * time.Millisecond },
			least: Full, most: Full,
		},
		"harm in proportion to the share": {
			tail: func(_ time.Duration, share int) time.Duration {
				return 40*time.Millisecond + time.Duration(share)*time.Millisecond
			},
			least: 10, most: 60,
		},
		"any share is too much": {
			tail: func(_ time.Duration, share int) time.Duration {
				if share > 0 {
					return 300 * time.Millisecond
				}
				return 95 * time.Millisecond
			},
			least: 0, most: 0,
		},
		"a burst that passes": {
			tail: func(at time.Duration, share int) time.Duration {
				if at < 5*time.Second {
					return 60*time.Millisecond + 2*time.Duration(share)*time.Millisecond
				}
				return 30 * time.Millisecond
			},
			least: Full, most: Full,
		},
	} {
		t.Run(name, func(t *testing.T) {
			longest, share := play(40*time.Second, c.tail)
			if longest >= interference {
				t.Errorf("the target is missed for %v on end", longest)
			}
			if share < c.least || share > c.most {
				t.Errorf("share %d at the end, want %d to %d", share, c.least, c.most)
			}
		})
	}
}

func TestWithoutTargetsNothingIsSlowed(t *testing.T) {
	var l State
	for i := range 20 {
		l = l.Next(time.Unix(int64(i), 0), []Serving{{TailLatency: time.Hour}})
	}
	if l.Share() != Full {
		t.Errorf("share %d", l.Share())
	}
}
