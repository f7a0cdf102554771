package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/queue"
)

// TestUrgentNeed guards against room that is kept for urgent work which cannot use
// it any more, and against gangs that are counted as accelerators.
func TestUrgentNeed(t *testing.T) {
	start := time.Unix(1000, 0)
	stated := Timing{RestoreTime: 250 * time.Millisecond}
	whole, half := gang(5, 8), gang(5, 3)
	spread := whole
	spread.Adjacent = false
	// The objective is 3 s after the start; runs take 1 s.
	tests := []struct {
		name    string
		timing  Timing
		step    batch.Step
		now     time.Duration
		running bool
		// progress is that of a running job.
		progress     float64
		accelerators int64
		workers      int
		// perWorker is the accelerators that the gang uses on each worker.
		perWorker int64
	}{
		{name: "waiting", step: whole, accelerators: 40},
		{name: "waiting, past the objective", step: whole, now: 3100 * time.Millisecond},
		{name: "running in time", step: whole, running: true, now: time.Second, progress: 0.5, accelerators: 40},
		{name: "running late", step: whole, running: true, now: 2 * time.Second, progress: 0.2},
		{name: "waiting gang of whole workers", timing: stated, step: whole, workers: 5, perWorker: 8},
		{name: "waiting gang of parts of workers", timing: stated, step: half, workers: 3, perWorker: 6},
		{name: "gang that is not adjacent", timing: stated, step: spread, accelerators: 40},
		{name: "late gang", timing: stated, step: whole, now: 3100 * time.Millisecond},
	}
	for _, tt := range tests {
		now := start.Add(tt.now)
		w := &worker{incarnation: 1, placements: map[batch.TaskID]*placement{}, info: platform.RunnerInfo{
			Service: "s", Capacity: batch.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8},
		}}
		p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New(), workers: map[string]*worker{"w": w}}
		p.Timing, p.Config = tt.timing, func() *Config { return nil }
		spec := &batch.Job{ID: "j", AcceptedAt: start, Steps: []batch.Step{tt.step}}
		j := newJob(spec, Queue{Service: "s", Stretch: 2, Target: time.Second}, 0, batch.NewProgress(spec))
		p.live = map[string]*job{"j": j}
		if tt.running {
			id := batch.TaskID{Job: "j"}
			j.placementCount = 1
			j.progress.Task(spec, id).State, j.progress.Task(spec, id).Worker = batch.TaskPlaced, "w"
			w.placements[id] = &placement{
				job: j, id: id, step: &spec.Steps[0], worker: w, phase: phaseRunning,
				confirmedAt: start, sampledAt: now, sampledProgress: tt.progress,
			}
		}
		n := p.urgentNeed(now)
		if g := n.gangs["s"]; n.accelerators != tt.accelerators || g.workers != tt.workers || g.largest != tt.workers || g.perWorker.Accelerators != tt.perWorker {
			t.Errorf("%s: %d accelerators, %+v, want %d accelerators, %d workers", tt.name, n.accelerators, g, tt.accelerators, tt.workers)
		}
	}
}

// TestReservedShape guards against room for gangs that are in the racks already.
func TestReservedShape(t *testing.T) {
	d := &demand{}
	need := func(workers, largest int) urgentNeed {
		if workers == 0 {
			return urgentNeed{}
		}
		return urgentNeed{gangs: map[string]gangNeed{"s": {workers: workers, largest: largest, speed: 0.6, perWorker: batch.Resources{Accelerators: 8}}}}
	}
	for range 100 {
		d.add(need(0, 0))
	}
	for range 50 {
		d.add(need(12, 5))
	}
	for current, want := range map[int]int{0: 12, 5: 7, 12: 0, 20: 0} {
		got := 0
		for _, s := range d.shapes(need(current, current)) {
			got += s.Workers
			if s.Block != 5 || s.MinSpeed != 0.6 || s.PerWorker.Accelerators != 8 || s.Service != "s" {
				t.Errorf("shape %+v", s)
			}
		}
		if got != want {
			t.Errorf("%d workers in use: %d reserved, want %d", current, got, want)
		}
	}
	for range maxDemandSamples {
		d.add(need(0, 0))
	}
	if shapes := d.shapes(need(0, 0)); len(shapes) != 0 {
		t.Errorf("shapes %+v after the demand has ended", shapes)
	}
}

// TestLateUrgentWorkIsNoDemand guards against a reserve that grows with late urgent
// work and withholds capacity from all other work after a burst.
func TestLateUrgentWorkIsNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		f.submit(p, batchJob("late", "urgent", "a", "40s", gang(4, 8)))
		time.Sleep(41 * time.Second)
		f.expectState(p, "urgent", "late", batch.JobDone)
		bulk := gang(8, 8)
		bulk.Gang, bulk.Adjacent = false, false
		f.submit(p, batchJob("bulk", "later", "b", "1s", bulk))
		time.Sleep(500 * time.Millisecond)
		if n := f.countStarts("bulk"); n != 8 {
			t.Errorf("%d of 8 tasks started on idle workers", n)
		}
	})
}

// TestUrgentGangsFindWholeWorkers guards against bursts of urgent gangs that find
// no room in one rack though they come regularly.
func TestUrgentGangsFindWholeWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 16)
		f.config.Teams["a"] = Team{Name: "a"}
		p, stop := f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.Timing.CheckpointInterval = 500 * time.Millisecond
		p.mu.Unlock()
		time.Sleep(settleTime)
		for _, id := range []string{"u1", "u2", "u3"} {
			f.submit(p, batchJob(id, "urgent", "a", "1s", gang(5, 8)))
			time.Sleep(1500 * time.Millisecond)
		}
		// Tasks of which one fits on a worker would leave many accelerators free but no
		// whole worker.
		bulk := batch.Step{Tasks: 16, Estimate: time.Second, Need: batch.Resources{MilliCPU: 40000, MemoryMB: 1000, Accelerators: 1}}
		f.submit(p, batchJob("bulk", "later", "b", "60s", bulk))
		time.Sleep(500 * time.Millisecond)
		if n := f.countStarts("bulk"); n != 11 {
			t.Errorf("%d of 16 bulk tasks started, want 11: 5 workers are reserved", n)
		}
		f.submit(p, batchJob("u4", "urgent", "a", "1s", gang(5, 8)))
		time.Sleep(1500 * time.Millisecond)
		f.expectState(p, "urgent", "u4", batch.JobDone)
	})
}

// urgentLoad returns a planner with urgent jobs of chained steps, each with running
// tasks.
func urgentLoad(jobs, tasks, steps int, start time.Time) *Planner {
	p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New(), workers: map[string]*worker{}, live: map[string]*job{}}
	p.Config = func() *Config { return nil }
	for i := range 100 {
		p.estimator.Observe("", "urgent", time.Second+time.Duration(i)*time.Millisecond)
	}
	for n := range jobs {
		spec := &batch.Job{ID: fmt.Sprint("j", n), Queue: "urgent", AcceptedAt: start}
		for i := range steps {
			step := batch.Step{Tasks: tasks, Estimate: time.Second, Need: batch.Resources{MilliCPU: 1000, Accelerators: 1}}
			// Each step depends on all earlier ones.
			for before := range i {
				step.DependsOn = append(step.DependsOn, before)
			}
			spec.Steps = append(spec.Steps, step)
		}
		j := newJob(spec, Queue{Service: "s", Stretch: 2, Target: time.Second}, 0, batch.NewProgress(spec))
		p.live[spec.ID] = j
		for index := range tasks {
			id := batch.TaskID{Job: spec.ID, Index: index}
			name := fmt.Sprint("w", index)
			if p.workers[name] == nil {
				p.workers[name] = &worker{placements: map[batch.TaskID]*placement{}}
			}
			j.placementCount++
			j.progress.Task(spec, id).State, j.progress.Task(spec, id).Worker = batch.TaskPlaced, name
			p.workers[name].placements[id] = &placement{job: j, id: id, step: &spec.Steps[0], worker: p.workers[name], phase: phaseRunning, confirmedAt: start}
		}
	}
	return p
}

// TestUrgentNeedIsCheap guards against a demand whose cost grows with the tasks of
// a job times the paths through its steps: with 20 steps that all depend on each
// other it took 22 s.
func TestUrgentNeedIsCheap(t *testing.T) {
	start := time.Unix(1000, 0)
	p := urgentLoad(4, 50, 20, start)
	began := time.Now()
	if n := p.urgentNeed(start); n.accelerators != 200 {
		t.Errorf("%d accelerators, want 200", n.accelerators)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the demand took %v", took)
	}
}

func BenchmarkUrgentNeed(b *testing.B) {
	start := time.Unix(1000, 0)
	p := urgentLoad(40, 50, 8, start)
	for b.Loop() {
		p.urgentNeed(start)
	}
}
