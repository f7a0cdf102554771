package trust

import (
	"math"
	"testing"
	"time"
)

// TestRecord guards against a successor that limits a worker in another way than
// its predecessor.
func TestRecord(t *testing.T) {
	if _, ok := (State{}).WithRefusal(start).Record(); ok {
		t.Error("a trusted worker has a record")
	}
	state := State{}
	for i, e := range []event{
		failed(1, 0, time.Second), failed(2, 0, time.Second), failed(3, 2*time.Second, 2*time.Second),
		long(5*time.Second, 8*time.Second), failed(4, 8*time.Second, 8*time.Second),
	} {
		state = e(state)
		r, ok := state.Record()
		if !ok {
			t.Fatalf("no record after event %d", i)
		}
		restored := Restore(r, at(9*time.Second))
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			n, limited := restored.Limits(at(now), 0)
			want, wantLimited := state.Limits(at(now), 0)
			if n != want || limited != wantLimited || restored.Unproven() != state.Unproven() || restored.Level(at(now)) != state.Level(at(now)) {
				t.Fatalf("after event %d at %v: %d %v %s, want %d %v %s", i, now, n, limited, restored.Level(at(now)), want, wantLimited, state.Level(at(now)))
			}
		}
		next := Failure{Task: taskID(9), Started: at(20 * time.Second), At: at(20 * time.Second)}
		if got, want := restored.WithFailure(next).ExcludedUntil(), state.WithFailure(next).ExcludedUntil(); !got.Equal(want) {
			t.Errorf("after event %d the next exclusion ends at %v, want %v", i, got, want)
		}
	}
}

// TestRestoreOutOfRange guards against a damaged record that leads to an exclusion
// without end or to an allowance that no run can raise.
func TestRestoreOutOfRange(t *testing.T) {
	for _, n := range []int{math.MinInt32, -1, fullAllowance, math.MaxInt32} {
		state := Restore(Record{Failures: n, Allowance: n, Exclusion: math.MaxInt64, Since: at(math.MaxInt64), OpenFrom: at(math.MaxInt64), ExcludedUntil: at(math.MaxInt64)}, start)
		if limit, _ := state.Limits(start, 0); limit < 0 || limit >= fullAllowance {
			t.Errorf("limit %d", limit)
		}
		if end := start.Add(MaxExclusion); n > 0 && state.Level(end) == LevelExcluded {
			t.Errorf("excluded after %v", MaxExclusion)
		}
		if n > 0 && state.WithGoodRun(at(time.Second), at(2*time.Second)).Unproven() {
			t.Error("a good run does not prove the worker")
		}
		if got := state.Failures(); got < 0 {
			t.Errorf("%d failures", got)
		}
		if got := state.WithFailure(Failure{Started: start, At: start}).exclusion; got > MaxExclusion {
			t.Errorf("excluded for %v", got)
		}
	}
}
