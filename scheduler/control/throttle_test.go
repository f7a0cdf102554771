package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/throttle"
)

// maxViolation bounds how long a target may be missed because of best-effort
// tasks.
const maxViolation = 4 * time.Second

// TestFillersGiveWay checks that best-effort tasks are throttled while they
// disturb a latency-sensitive task, and get their full share back under the
// next planner.
func TestFillersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		worker := f.runners["w00"]
		busy := true
		worker.TailLatency = func(_ batch.TaskID, share int) time.Duration {
			if !busy {
				return 20 * time.Millisecond
			}
			return 20*time.Millisecond + 2*time.Duration(share)*time.Millisecond
		}
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		const target = 100 * time.Millisecond
		f.submit(p, batchJob("serve", "later", "a", "lasting", batch.Step{
			Tasks: 1, Need: batch.Resources{MilliCPU: 32000}, LongRunning: true, TargetLatency: target,
		}))
		f.submit(p, batchJob("fill", "later", "a", "1h", batch.Step{
			Tasks: 2, Need: batch.Resources{MilliCPU: 64000}, BestEffort: true,
		}))
		bestEffortTask := batch.TaskID{Job: "fill"}
		time.Sleep(maxViolation)
		if share := worker.SpeedPercent(bestEffortTask); share < 0 || worker.TailLatency(bestEffortTask, share) > target {
			t.Errorf("share %d after %v, the target is still missed", share, maxViolation)
		}
		stop()
		busy = false
		_, stop = f.startPlanner()
		defer stop()
		time.Sleep(20 * time.Second)
		if share := worker.SpeedPercent(bestEffortTask); share != throttle.Full {
			t.Errorf("share %d after 20 s of low latency, want %d", share, throttle.Full)
		}
	})
}
