package control

import (
	"testing"
	"time"
)

// TestStatedStopCost guards against new rules of stopping on deployments whose stops
// cost as much as is assumed where nothing is stated.
func TestStatedStopCost(t *testing.T) {
	for _, c := range []struct {
		interval, restore time.Duration
		cheap             bool
	}{
		{0, 0, false},
		{500 * time.Millisecond, 250 * time.Millisecond, true},
		{500 * time.Millisecond, 600 * time.Millisecond, false},
		{2 * time.Second, 600 * time.Millisecond, false},
		{0, 250 * time.Millisecond, true},
	} {
		timing := Timing{CheckpointInterval: c.interval, RestoreTime: c.restore, StopTimeout: 400 * time.Millisecond}
		if got := timing.statesCheapStops(); got != c.cheap || timing.stopPolicy().Sparing != c.cheap {
			t.Errorf("interval %s, restore %s: cheap %t", c.interval, c.restore, got)
		}
		if !c.cheap && (timing.unsavedTime() != maxUnsavedTime || timing.restartTime() != defaultRestartTime) {
			t.Errorf("interval %s, restore %s: unsaved %s, restart %s", c.interval, c.restore, timing.unsavedTime(), timing.restartTime())
		}
	}
}
