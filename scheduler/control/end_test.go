package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
)

// TestEndOfGivenUpRunCounts checks that the end of a run counts even if the
// planner learns of it only after giving the run up.
func TestEndOfGivenUpRunCounts(t *testing.T) {
	singleTask := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
	for name, c := range map[string]struct {
		payload string
		step    batch.Step
		want    batch.JobState
		starts  int
	}{
		"a task is done":     {"4s", singleTask, batch.JobDone, 1},
		"a gang is done":     {"4s", gang(3, 1), batch.JobDone, 3},
		"a task fails":       {"4s fail", singleTask, batch.JobFailed, 3},
		"two tasks are done": {"4s", batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 1000}}, batch.JobDone, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 1)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", c.payload, c.step))
				time.Sleep(time.Second)
				f.runners["w00"].SetFaults(memory.Faults{Silent: true})
				time.Sleep(15 * time.Second)
				f.runners["w00"].SetFaults(memory.Faults{})
				time.Sleep(30 * time.Second)
				f.expectState(p, "later", "j", c.want)
				if n := f.countStarts("j"); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// TestDoneEndOfEarlierRunCounts checks that a run that was given up and then
// reports success, while its task already runs elsewhere, completes the task:
// it is not run a third time.
func TestDoneEndOfEarlierRunCounts(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}},
		"gang": gang(2, 4),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 2)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("j", "later", "a", "5s", step))
				time.Sleep(time.Second)
				first := f.runnerOf("j")
				first.SetFaults(memory.Faults{Silent: true})
				time.Sleep(11 * time.Second)
				if n := f.countStarts("j"); n != 2*step.Tasks {
					t.Fatalf("%d starts, want two runs", n)
				}
				second := f.runnerOf("j")
				first.SetFaults(memory.Faults{})
				time.Sleep(time.Second)
				f.expectState(p, "later", "j", batch.JobDone)
				second.Restart()
				time.Sleep(10 * time.Second)
				f.expectState(p, "later", "j", batch.JobDone)
				if n := f.countStarts("j"); n != 2*step.Tasks {
					t.Errorf("%d starts, want no further run after the work was done", n)
				}
			})
		})
	}
}
