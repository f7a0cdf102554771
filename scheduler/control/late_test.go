package control

import (
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform/memory"
)

// TestEndOfGivenUpRunCounts checks that a run counts of which the planner hears
// only after it has given the run up.
func TestEndOfGivenUpRunCounts(t *testing.T) {
	one := batch.Step{Tasks: 1, Need: batch.Resources{MilliCPU: 1000}}
	for name, c := range map[string]struct {
		payload string
		step    batch.Step
		want    batch.JobState
		starts  int
	}{
		"a task is done":     {"4s", one, batch.JobDone, 1},
		"a gang is done":     {"4s", gang(3, 1), batch.JobDone, 3},
		"a task fails":       {"4s fail", one, batch.JobFailed, 3},
		"two tasks are done": {"4s", batch.Step{Tasks: 2, Need: batch.Resources{MilliCPU: 1000}}, batch.JobDone, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 1)
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("j", "later", "a", c.payload, c.step))
				time.Sleep(time.Second)
				f.runners["w00"].SetFaults(memory.Faults{Silent: true})
				time.Sleep(15 * time.Second)
				f.runners["w00"].SetFaults(memory.Faults{})
				time.Sleep(30 * time.Second)
				f.expect(p, "later", "j", c.want)
				if n := f.starts("j"); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// TestDoneEndOfEarlierRunCounts lets a run that was given up turn out to be
// done while its task runs again elsewhere: the work is not run a third time.
func TestDoneEndOfEarlierRunCounts(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"task": {Tasks: 1, Need: batch.Resources{MilliCPU: 1000, Accelerators: 8}},
		"gang": gang(2, 4),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFloor(t, 2)
				p, stop := f.planner()
				defer stop()
				time.Sleep(settle)
				f.submit(p, batchJob("j", "later", "a", "5s", step))
				time.Sleep(time.Second)
				first := f.on("j")
				first.SetFaults(memory.Faults{Silent: true})
				time.Sleep(11 * time.Second)
				if n := f.starts("j"); n != 2*step.Tasks {
					t.Fatalf("%d starts, want two runs", n)
				}
				second := f.on("j")
				first.SetFaults(memory.Faults{})
				time.Sleep(time.Second)
				f.expect(p, "later", "j", batch.JobDone)
				second.Restart()
				time.Sleep(10 * time.Second)
				f.expect(p, "later", "j", batch.JobDone)
				if n := f.starts("j"); n != 2*step.Tasks {
					t.Errorf("%d starts, the work was done before the last ones", n)
				}
			})
		})
	}
}
