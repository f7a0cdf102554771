package control

import (
	"maps"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/queue"
)

// TestLostWork guards against a cost of stops that ignores how often and how fast
// the deployment saves and restores work.
func TestLostWork(t *testing.T) {
	start := time.Unix(1000, 0)
	stated := Timing{StopTimeout: 400 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond, RestoreTime: 250 * time.Millisecond}
	tests := []struct {
		name        string
		timing      Timing
		checkpoints bool
		run         time.Duration
		// checkpointAge is the time since the reported checkpoint, or 0.
		checkpointAge time.Duration
		want          time.Duration
	}{
		{"not stated", Timing{StopTimeout: stopTimeout}, true, 5 * time.Second, 0, 2200 * time.Millisecond},
		{"not stated, just saved", Timing{StopTimeout: stopTimeout}, true, 5 * time.Second, 100 * time.Millisecond, 2200 * time.Millisecond},
		{"stated", stated, true, 5 * time.Second, 0, 1150 * time.Millisecond},
		{"just saved", stated, true, 5 * time.Second, 100 * time.Millisecond, 750 * time.Millisecond},
		{"saved long ago", stated, true, 5 * time.Second, 3 * time.Second, 1150 * time.Millisecond},
		{"just started", stated, true, 200 * time.Millisecond, 0, 850 * time.Millisecond},
		{"nothing saved", stated, false, 5 * time.Second, 0, 5650 * time.Millisecond},
	}
	for _, tt := range tests {
		p := &Planner{}
		p.Timing = tt.timing
		now := start.Add(tt.run)
		pl := &placement{step: &batch.Step{Checkpoints: tt.checkpoints, Need: batch.Resources{MilliCPU: 2000}}, confirmedAt: start}
		if tt.checkpointAge > 0 {
			pl.checkpointAt = now.Add(-tt.checkpointAge)
		}
		if got, want := p.lostWork(pl, now), 2*tt.want.Seconds(); math.Abs(got-want) > 1e-6 {
			t.Errorf("%s: %.2f core-seconds, want %.2f", tt.name, got, want)
		}
	}
}

// TestCheckpointTimeIsBounded guards against a time of the latest checkpoint that
// lies before the preceding report or is reset by reports of the same checkpoint.
func TestCheckpointTimeIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	const interval = 500 * time.Millisecond
	pl := &placement{checkpoint: "inherited"}
	for _, report := range []struct {
		at   time.Duration
		name string
		want time.Duration
	}{
		{0, "a", -250 * time.Millisecond},
		{time.Second, "b", 750 * time.Millisecond},
		{1100 * time.Millisecond, "b", 750 * time.Millisecond},
		{1200 * time.Millisecond, "c", 1150 * time.Millisecond},
		{1300 * time.Millisecond, "", 1150 * time.Millisecond},
	} {
		pl.recordCheckpoint(report.name, interval, start.Add(report.at))
		if got := pl.checkpointAt.Sub(start); got != report.want {
			t.Errorf("report of %q at %v: saved at %v, want %v", report.name, report.at, got, report.want)
		}
	}
}

// TestEndsInTime guards against a wrong count of the stops that cost a job its
// objective.
func TestEndsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New()}
	j := &job{
		spec:  &batch.Job{AcceptedAt: start, Steps: []batch.Step{{Estimate: 2 * time.Second}, {Estimate: 3 * time.Second, DependsOn: []int{0}}}},
		queue: Queue{Stretch: 2, Target: time.Second},
	}
	// The objective is 11 s after the start, and 3 s of work follow the run.
	for end, want := range map[time.Duration]bool{7 * time.Second: true, 9 * time.Second: false} {
		pl := &placement{job: j, step: &j.spec.Steps[0], worker: &worker{}, confirmedAt: start, sampledAt: start.Add(end / 2), sampledProgress: 0.5}
		if got := p.endsInTime(pl, start.Add(end/2)); got != want {
			t.Errorf("run until %v: %v, want %v", end, got, want)
		}
	}
}

// TestNoJobIsStoppedTwiceWhileOthersCanBe guards against bulk work that is stopped
// again and again by bursts of guaranteed work.
func TestNoJobIsStoppedTwiceWhileOthersCanBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.Timing.CheckpointInterval, p.Timing.RestoreTime = 500*time.Millisecond, 250*time.Millisecond
		p.mu.Unlock()
		time.Sleep(settleTime)
		for _, id := range []string{"bulk1", "bulk2"} {
			tasks := gang(4, 8)
			tasks.Gang, tasks.Adjacent, tasks.Checkpoints = false, false, true
			f.submit(p, batchJob(id, "later", "a", "200s", tasks))
		}
		time.Sleep(3 * time.Second)
		for _, id := range []string{"first", "second"} {
			f.submit(p, batchJob(id, "urgent", "b", "1s", gang(1, 8)))
			// The stopped run resumes when the reserve for urgent work has shrunk.
			time.Sleep(20 * time.Second)
			f.expectState(p, "urgent", id, batch.JobDone)
		}
		for _, id := range []string{"bulk1", "bulk2"} {
			if n := f.countStarts(id); n != 5 {
				t.Errorf("job %s: %d starts, want 5: one of its 4 runs is stopped once", id, n)
			}
		}
		if n := p.instruments.set.Counter("daisylug_planner_stops_total", meter.L("reason", "guarantee")).Get(); n != 2 {
			t.Errorf("%d stops counted, want 2", n)
		}
	})
}

// TestRoomThatIsBeingFreed guards against further stops for room that is being
// freed already, and against waiting for workers that do not answer a stop.
func TestRoomThatIsBeingFreed(t *testing.T) {
	start := time.Unix(1000, 0)
	stated := Timing{StopTimeout: stopTimeout, RestoreTime: 250 * time.Millisecond}
	tests := []struct {
		name    string
		timing  Timing
		phase   phase
		stopped time.Duration
		// listed is set if the run counts at all, stopping if it counts as ending.
		listed, stopping bool
	}{
		{"running", stated, phaseRunning, 0, true, false},
		{"being stopped", stated, phaseStopping, 300 * time.Millisecond, true, true},
		{"not stopped by the time limit of a stop", stated, phaseStopping, stopTimeout, false, false},
		{"not stopped in time", stated, phaseStopping, reservationTime, false, false},
		{"cost of a stop not stated", Timing{StopTimeout: stopTimeout}, phaseStopping, 300 * time.Millisecond, false, false},
	}
	for _, tt := range tests {
		p := &Planner{estimator: queue.NewEstimator(), speeds: pace.New()}
		p.Timing = tt.timing
		j := &job{spec: &batch.Job{ID: "j"}}
		w := &worker{placements: map[batch.TaskID]*placement{}}
		w.placements[batch.TaskID{Job: "j"}] = &placement{job: j, step: &batch.Step{}, worker: w, phase: tt.phase, stoppedAt: start, confirmedAt: start}
		v := &decisionView{workers: []*worker{w}}
		p.addRuns(v, nil, start.Add(tt.stopped))
		if listed := len(v.input.Running) == 1; listed != tt.listed || listed && v.input.Running[0].Stopping != tt.stopping {
			t.Errorf("%s: %+v", tt.name, v.input.Running)
		}
	}
}

// TestSparingEnds guards against jobs that are spared for the rest of their lives
// after one stop, such as large or recurring ones.
func TestSparingEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	j := &job{}
	if j.stoppedRecently(start) {
		t.Error("a job that was never stopped is spared")
	}
	j.stoppedAt = start
	for age, want := range map[time.Duration]bool{0: true, stopSparingTime - 1: true, stopSparingTime: false} {
		if got := j.stoppedRecently(start.Add(age)); got != want {
			t.Errorf("%v after a stop: spared %v, want %v", age, got, want)
		}
	}
}

// TestReservationEndsWithItsStops guards against guaranteed work that waits for a
// worker that does not answer a stop, or for a run that does not end when expected,
// for so long that other runs are stopped too late for it.
func TestReservationEndsWithItsStops(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &decisionView{}
	v.input.Stopping.Sparing = true
	v.input.Running = []assignment.Running{{Stopping: true}, {EndsSoon: true}, {}}
	v.runs = [][]*placement{{{stoppedAt: now.Add(-800 * time.Millisecond)}}, {{}}, {{}}}
	for _, tt := range []struct {
		ready   time.Duration
		victims []int
		want    time.Duration
	}{
		{0, nil, reservationTime},
		{0, []int{0}, 400 * time.Millisecond},
		{900 * time.Millisecond, []int{0}, 300 * time.Millisecond},
		{0, []int{0, 1}, reservationTime},
		{900 * time.Millisecond, []int{1}, 300 * time.Millisecond},
		{900 * time.Millisecond, []int{0, 2}, reservationTime},
		{2 * time.Second, []int{1}, reservationTime},
	} {
		v.input.Groups = []assignment.Group{{ReadySince: now.Add(-tt.ready)}}
		if got := v.reservationEnd(assignment.Reservation{Victims: tt.victims}, now).Sub(now); got != tt.want {
			t.Errorf("ready for %v, runs %v: %v, want %v", tt.ready, tt.victims, got, tt.want)
		}
	}
}

// TestReservationOutlastsInterval guards against a reservation that expires, so that
// others take its room, between the end of the last stop and the next decision of a
// planner with many workers.
func TestReservationOutlastsInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &decisionView{workers: []*worker{{}}}
	v.input.Groups = []assignment.Group{{ReadySince: now}}
	for _, decisionTime := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
		p := &Planner{decisionTime: decisionTime}
		stopped := now.Add(reservationTime)
		next := stopped.Add((1 + decisionGapFactor) * decisionTime)
		if s := p.newReservation(v, assignment.Reservation{Workers: []int{0}}, now); s.expiresAt.Before(next) || len(s.workers) != 1 {
			t.Errorf("decisions of %v: expires %v after the decision that may come next", decisionTime, s.expiresAt.Sub(next))
		}
	}
}

// TestGuaranteedStartDespiteSilentWorkers guards against guaranteed work that
// starts late because it waits for one worker after the other that does not answer
// a stop.
func TestGuaranteedStartDespiteSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 8)
		p, stop := f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.Timing.CheckpointInterval, p.Timing.RestoreTime = 500*time.Millisecond, 250*time.Millisecond
		p.mu.Unlock()
		time.Sleep(settleTime)
		tasks := gang(8, 8)
		tasks.Gang, tasks.Adjacent, tasks.Checkpoints = false, false, true
		f.submit(p, batchJob("bulk", "later", "a", "200s", tasks))
		time.Sleep(3 * time.Second)
		ids := slices.Sorted(maps.Keys(f.runners))
		// stopOn stops the run on a worker that does not answer.
		stopOn := func(id string) {
			f.runners[id].SetFaults(memory.Faults{Silent: true})
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, pl := range p.workers[id].placements {
				p.stopFor(pl, stopForEvacuation)
			}
		}
		stopOn(ids[0])
		time.Sleep(800 * time.Millisecond)
		f.submit(p, batchJob("g", "urgent", "b", "10s", gang(1, 8)))
		time.Sleep(1100 * time.Millisecond)
		stopOn(ids[1])
		time.Sleep(1200 * time.Millisecond)
		stopOn(ids[2])
		time.Sleep(600 * time.Millisecond)
		if n := f.countStarts("g"); n != 1 {
			t.Errorf("%d starts within 2.9 s, want 1", n)
		}
	})
}
