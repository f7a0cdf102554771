package control

import (
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/queue"
)

func TestEndsSoon(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New()}
	p.Timing.StopTimeout = stopTimeout
	tests := []struct {
		name     string
		progress float64
		// sampled and now are relative to the start of the run.
		sampled, now time.Duration
		want         bool
	}{
		{"just started", 0.1, time.Second, time.Second, false},
		{"half done", 0.6, 6 * time.Second, 6 * time.Second, false},
		{"nearly done", 0.95, 9500 * time.Millisecond, 9600 * time.Millisecond, true},
		{"nearly done by now", 0.88, 8800 * time.Millisecond, 9800 * time.Millisecond, true},
		{"stalled", 0.95, 9500 * time.Millisecond, 12 * time.Second, false},
	}
	for _, tt := range tests {
		pl := &placement{
			job: &job{spec: &batch.Job{}}, step: &batch.Step{}, worker: &worker{}, confirmedAt: start,
			sampledAt: start.Add(tt.sampled), sampledProgress: tt.progress,
		}
		if got := p.endsSoon(pl, start.Add(tt.now)); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}
