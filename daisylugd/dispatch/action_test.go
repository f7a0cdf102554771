package dispatch

import (
	"testing"
	"time"

	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/queue"
)

// Guards against an accepted job that is ended permanently because its rack is
// briefly unavailable or the list of workers has not arrived yet.
func TestRefusalsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		reason queue.Reason
		// rounds holds the times of the rounds that refuse the job.
		rounds []time.Duration
		kept   bool
	}{
		{"no rack, first refusal", queue.ReasonRack, []time.Duration{0}, true},
		{"no rack, within the grace period", queue.ReasonRack, []time.Duration{0, time.Minute, 9 * time.Minute}, true},
		{"no rack, grace period over", queue.ReasonRack, []time.Duration{0, time.Minute, 10 * time.Minute}, false},
		{"only racks promised to other teams, grace period over", queue.ReasonGuarantee, []time.Duration{0, 10 * time.Minute}, false},
		{"deadline passed", queue.ReasonDeadline, []time.Duration{0}, false},
		{"fails on healthy workers", queue.ReasonFailing, []time.Duration{0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scheduler{}
			s.reset()
			job := queue.Job{ID: "j"}
			s.pending.Add(job)
			for _, at := range c.rounds {
				s.refuseJobs(t.Context(), []planner.Refusal{{Job: job, Error: &queue.RefusedError{Reason: c.reason}}}, now.Add(at))
			}
			if _, kept := s.pending.Get("j"); kept != c.kept {
				t.Errorf("job is pending: %t, want %t", kept, c.kept)
			}
		})
	}
}
