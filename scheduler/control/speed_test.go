package control

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
)

// TestUrgentGangAvoidsUnknownWorkers guards against urgent gangs on a worker that
// has restarted, and whose speed is therefore unknown, while others are free.
func TestUrgentGangAvoidsUnknownWorkers(t *testing.T) {
	for name, interval := range map[string]time.Duration{"cost of a stop stated": 500 * time.Millisecond, "not stated": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 8)
				f.config.Queues["urgent"] = Queue{Name: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.3, Target: 200 * time.Millisecond}
				for _, id := range []string{"w01", "w02"} {
					f.runners[id].Speed = 0.4
				}
				p, stop := f.startPlanner()
				defer stop()
				p.mu.Lock()
				p.Timing.CheckpointInterval = interval
				p.mu.Unlock()
				time.Sleep(settleTime)
				// With a third of these jobs too few compare the slow workers with others
				// for their speed to be learned, depending on which polls come first.
				for i := range 24 {
					f.submit(p, batchJob(fmt.Sprint("teach", i), "later", "a", "2s",
						batch.Step{Tasks: 16, Need: batch.Resources{MilliCPU: 16000, Accelerators: 1}}))
				}
				time.Sleep(time.Minute)
				f.runners["w00"].Restart()
				time.Sleep(3 * time.Second)
				f.submit(p, batchJob("g", "urgent", "a", "1s", gang(3, 8)))
				time.Sleep(500 * time.Millisecond)
				onUnknown := len(f.runners["w00"].Running()) > 0
				if want := interval == 0; onUnknown != want || f.countStarts("g") != 3 {
					t.Errorf("gang uses the worker of unknown speed: %v, want %v; %d starts", onUnknown, want, f.countStarts("g"))
				}
			})
		})
	}
}

// TestSampleGang guards against speeds learned from gangs that are cold or counted
// once for each member, and against learning where nothing enables it.
func TestSampleGang(t *testing.T) {
	start := time.Unix(1000, 0)
	stated := Timing{RestoreTime: 250 * time.Millisecond}
	tests := []struct {
		name     string
		timing   Timing
		samples  int
		index    int
		coldTime time.Duration
		want     bool
	}{
		{"slow gang", stated, 8, 0, 0, true},
		{"cost of a stop not stated", Timing{}, 8, 0, 0, false},
		{"usual run time unknown", stated, 0, 0, 0, false},
		{"another member", stated, 8, 1, 0, false},
		{"cold worker", stated, 8, 0, 700 * time.Millisecond, false},
	}
	for _, tt := range tests {
		p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New(), workers: map[string]*worker{}, instruments: newInstruments(meter.NewSet())}
		p.Timing = tt.timing
		for range tt.samples {
			p.estimator.Observe("", "q", 2*time.Second)
		}
		for i := range 5 {
			p.speeds.Restore(pace.Estimate{Worker: fmt.Sprint("known", i), Weight: 5})
		}
		spec := &batch.Job{ID: "j", Queue: "q", Steps: []batch.Step{gang(2, 8)}}
		j := newJob(spec, Queue{}, 0, batch.NewProgress(spec))
		var member *placement
		for i, id := range []string{"known0", "new"} {
			w := &worker{info: platform.RunnerInfo{ID: id}, placements: map[batch.TaskID]*placement{}}
			p.workers[id] = w
			task := batch.TaskID{Job: "j", Index: i}
			j.progress.Task(spec, task).Worker = id
			pl := &placement{job: j, id: task, step: &spec.Steps[0], worker: w, sampledAt: start, sampledProgress: 0.1}
			w.placements[task] = pl
			if i == tt.index {
				member = pl
			}
			w.coldUntil = start.Add(tt.coldTime)
		}
		// A tenth of the work takes half a second instead of 0.2 s.
		p.sampleSpeed(member, 0.2, start.Add(500*time.Millisecond))
		if got := p.speeds.Speed("new") < 0.8; got != tt.want {
			t.Errorf("%s: speed of the new worker is %.2f", tt.name, p.speeds.Speed("new"))
		}
	}
}

// TestRunSpeed guards against run times of gangs that count as longer the faster
// the worker is that reports the end first.
func TestRunSpeed(t *testing.T) {
	for _, tt := range []struct {
		timing Timing
		gang   bool
		want   float64
	}{
		{Timing{RestoreTime: 250 * time.Millisecond}, true, 0.5},
		{Timing{RestoreTime: 250 * time.Millisecond}, false, 1},
		{Timing{}, true, 1},
	} {
		p := &Planner{speeds: pace.New(), workers: map[string]*worker{}}
		p.Timing = tt.timing
		step := gang(2, 8)
		step.Gang = tt.gang
		spec := &batch.Job{ID: "j", Steps: []batch.Step{step}}
		j := newJob(spec, Queue{}, 0, batch.NewProgress(spec))
		var first *placement
		for i, slowness := range []float64{math.Ln2, 0} {
			id := fmt.Sprint("w", i)
			w := &worker{info: platform.RunnerInfo{ID: id}, placements: map[batch.TaskID]*placement{}}
			p.workers[id] = w
			p.speeds.Restore(pace.Estimate{Worker: id, Slowness: slowness, Weight: 5})
			p.speeds.Restore(pace.Estimate{Worker: "other" + id, Weight: 5})
			task := batch.TaskID{Job: "j", Index: i}
			j.progress.Task(spec, task).Worker = id
			first = &placement{job: j, id: task, step: &spec.Steps[0], worker: w}
			w.placements[task] = first
		}
		if got := p.runSpeed(first); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("%+v: speed %.2f", tt, got)
		}
	}
}
