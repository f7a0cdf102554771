package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/throttle"
)

// interference is the time that a target may be missed because of fillers.
const interference = 4 * time.Second

// TestFillersGiveWay plays a worker on which fillers disturb a serving task, also
// across a change of planner while they are slowed.
func TestFillersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFloor(t, 1)
		worker := f.runners["w00"]
		busy := true
		worker.TailLatency = func(_ batch.TaskID, share int) time.Duration {
			if !busy {
				return 20 * time.Millisecond
			}
			return 20*time.Millisecond + 2*time.Duration(share)*time.Millisecond
		}
		p, stop := f.planner()
		time.Sleep(settle)
		const target = 100 * time.Millisecond
		f.submit(p, batchJob("serve", "later", "a", "lasting", batch.Step{
			Tasks: 1, Need: batch.Resources{MilliCPU: 32000}, LongRunning: true, Target: target,
		}))
		f.submit(p, batchJob("fill", "later", "a", "1h", batch.Step{
			Tasks: 2, Need: batch.Resources{MilliCPU: 64000}, BestEffort: true,
		}))
		filler := batch.TaskID{Job: "fill"}
		time.Sleep(interference)
		if share := worker.Share(filler); share < 0 || worker.TailLatency(filler, share) > target {
			t.Errorf("share %d after %v, the target is missed", share, interference)
		}
		stop()
		busy = false
		_, stop = f.planner()
		defer stop()
		time.Sleep(20 * time.Second)
		if share := worker.Share(filler); share != throttle.Full {
			t.Errorf("share %d after 20 s of calm, want %d", share, throttle.Full)
		}
	})
}
