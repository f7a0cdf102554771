package control

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/assignment"
	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/interference"
	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/schema"
)

// imageStep returns a step of independent tasks of an image.
func imageStep(image string, tasks int) batch.Step {
	return batch.Step{Tasks: tasks, Image: image, Estimate: 3 * time.Second, Need: batch.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 1}}
}

// interferingCluster returns a cluster in which tasks of jobs "loud..." slow those of
// jobs "meek..." down by the factor each, and workers have several speeds.
func interferingCluster(t *testing.T, workers int, factor float64) *testCluster {
	f := newTestCluster(t, workers)
	for i := range workers {
		r := f.runners[fmt.Sprintf("w%02d", i)]
		r.Speed = []float64{1, 1.2, 0.9}[i%3]
		r.Slowdown = func(task batch.TaskID, others []batch.TaskID) float64 {
			total := 1.0
			for _, o := range others {
				if strings.HasPrefix(task.Job, "meek") && strings.HasPrefix(o.Job, "loud") {
					total *= factor
				}
			}
			return total
		}
	}
	return f
}

// teach submits jobs of several images for a while, so that tasks of all kinds come
// and go beside each other.
func (f *testCluster) teach(p *Planner, rounds int) {
	for i := range rounds {
		for k, name := range []string{"meek", "loud", "mute"} {
			step := imageStep(name, 3+(i+k)%3)
			f.submit(p, batchJob(fmt.Sprint(name, i), "later", "a", fmt.Sprintf("%dms", 2000+(i*7+k*5)%9*300), step))
			time.Sleep(time.Duration(150+(i*5+k*3)%7*40) * time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second)
}

func interferingKind(image string) interference.Kind {
	return interference.NewKind("later", image, imageStep(image, 1).Need)
}

func (p *Planner) knownPairs() []interference.Pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interference.Pairs()
}

// TestInterferenceIsLearnedAndHandedOver checks that the one pair that slows down is
// learned from reports, that it is listed with its evidence, and that a successor
// knows it.
func TestInterferenceIsLearnedAndHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := interferingCluster(t, 8, 1.5)
		p, stop := f.startPlanner()
		time.Sleep(settleTime)
		f.teach(p, 40)
		pairs := p.Status().Interference
		if len(pairs) != 1 || pairs[0].Kind != interferingKind("meek") || pairs[0].Neighbour != interferingKind("loud") {
			t.Fatalf("known: %+v, want that loud tasks slow meek ones down", pairs)
		}
		if pair := pairs[0]; math.Abs(pair.Factor()-1.5) > 0.2 || pair.Runs < 10 || pair.Variance <= 0 {
			t.Errorf("%+v, want a factor of 1.5", pair)
		}
		f.submit(p, batchJob("last", "later", "a", "100ms", imageStep("mute", 1)))
		time.Sleep(learnedStateInterval + time.Second)
		f.submit(p, batchJob("store", "later", "a", "100ms", imageStep("mute", 1)))
		time.Sleep(time.Second)
		want := p.knownPairs()
		stop()
		p, stop = f.startPlanner()
		defer stop()
		if got := p.knownPairs(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("the successor knows %+v, want %+v", got, want)
		}
	})
}

// TestNoPairWithoutInterference guards against pairs that are learned from the delays
// of reports, or because tasks of one step start and end together.
func TestNoPairWithoutInterference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := interferingCluster(t, 8, 1)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for i := range 60 {
			for k, name := range []string{"meek", "loud", "mute"} {
				step := imageStep(name, 3+(i+k)%3)
				step.Gang = k == 2
				f.submit(p, batchJob(fmt.Sprint(name, i), "later", "a", fmt.Sprintf("%dms", 1500+(i*7+k*5)%9*300), step))
				time.Sleep(time.Duration(150+(i*5+k*3)%7*40) * time.Millisecond)
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if pairs := p.interference.Pairs(); len(pairs) > 0 {
			t.Errorf("known: %+v", pairs)
		}
	})
}

// TestNoInterferenceWithoutImages guards against learning about tasks of which
// nothing says that they run the same program.
func TestNoInterferenceWithoutImages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := interferingCluster(t, 8, 2)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		for i := range 30 {
			for k, name := range []string{"meek", "loud"} {
				step := imageStep("", 3+(i+k)%3)
				step.Need.MemoryMB <<= 2 * k
				f.submit(p, batchJob(fmt.Sprint(name, i), "later", "a", fmt.Sprintf("%dms", 2000+(i*7+k*5)%9*300), step))
				time.Sleep(time.Duration(150+(i*5+k*3)%7*40) * time.Millisecond)
			}
		}
		if pairs := p.knownPairs(); len(pairs) > 0 {
			t.Errorf("known: %+v", pairs)
		}
	})
}

// restorePair makes a planner know that loud tasks slow meek ones down.
func restorePair(p *Planner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interference.Restore(interference.Pair{Kind: interferingKind("meek"), Neighbour: interferingKind("loud"), Slowdown: 0.7, Variance: 0.001, Runs: 50})
}

// placeBeside starts three loud tasks and then a meek one, and reports whether the
// meek task is on the worker of a loud one, and how long it waited.
func placeBeside(t *testing.T, workers int, known bool, image string) (beside bool, started time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, workers)
		p, stop := f.startPlanner()
		defer stop()
		time.Sleep(settleTime)
		if known {
			restorePair(p)
		}
		f.submit(p, batchJob("loud", "later", "a", "60s", imageStep("loud", 3)))
		time.Sleep(time.Second)
		submitted := time.Now()
		f.submit(p, batchJob("meek", "later", "a", "5s", imageStep(image, 1)))
		time.Sleep(time.Second)
		r := f.runnerOf("meek")
		for _, s := range r.Spans() {
			if s.Task.Job == "meek" {
				started = s.Started.Sub(submitted)
			}
			beside = beside || s.Task.Job == "loud"
		}
		if n := p.instruments.separatedGroups().Get(); (n > 0) == beside && known && image == "meek" && workers > 1 {
			t.Errorf("%d groups counted as kept apart", n)
		}
	})
	return beside, started
}

// TestKnownPairIsKeptApart checks that best fit alone puts the tasks together, that a
// known pair is kept apart where there is room, and that without room the task starts
// at once all the same.
func TestKnownPairIsKeptApart(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		known   bool
		image   string
		want    bool
	}{
		{"nothing is known", 8, false, "meek", true},
		{"known", 8, true, "meek", false},
		{"a kind that shares nothing", 8, true, "mute", true},
		{"no room elsewhere", 1, true, "meek", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			beside, started := placeBeside(t, c.workers, c.known, c.image)
			if beside != c.want {
				t.Errorf("beside the loud task: %v, want %v", beside, c.want)
			}
			if started > 300*time.Millisecond {
				t.Errorf("started after %v", started)
			}
		})
	}
}

// TestUnknownInterferenceChangesNothing guards against decisions that differ from
// those without the part while no pair is known, or for tasks that are in none: their
// groups have no slowdown, so that the input of the decision is the same.
func TestUnknownInterferenceChangesNothing(t *testing.T) {
	for name, known := range map[string]bool{"nothing known": false, "a pair known": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestCluster(t, 4)
				p, stop := f.startPlanner()
				defer stop()
				time.Sleep(settleTime)
				f.submit(p, batchJob("loud", "later", "a", "20s", imageStep("loud", 6)))
				if known {
					restorePair(p)
				}
				time.Sleep(time.Second)
				// The workers are nearly full, so that tasks of both jobs wait.
				f.submit(p, batchJob("fill", "later", "a", "20s", imageStep("fill", 20)))
				f.submit(p, batchJob("meek", "later", "a", "20s", imageStep("meek", 30)))
				f.submit(p, batchJob("mute", "later", "a", "20s", imageStep("mute", 30)))
				time.Sleep(time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				v := p.buildView(time.Now())
				if len(v.input.Groups) != 2 {
					t.Fatalf("%d groups wait, want 2", len(v.input.Groups))
				}
				for _, g := range v.input.Groups {
					if want := known && g.Job == "meek"; (g.Slowdown != nil) != want {
						t.Errorf("%s has slowdown %v", g.Job, g.Slowdown)
					}
				}
			})
		})
	}
}

// TestThrottledAndColdRunsAreNoEvidence checks that the pace of a run that is
// throttled or on a cold worker is not compared, and that a throttled neighbour
// counts with its share.
func TestThrottledAndColdRunsAreNoEvidence(t *testing.T) {
	start := time.Unix(1000, 0)
	step := imageStep("meek", 1)
	for name, c := range map[string]struct {
		change func(*placement)
		want   bool
	}{
		"plain":     {func(*placement) {}, true},
		"throttled": {func(pl *placement) { pl.step.BestEffort, pl.appliedShare = true, 50 }, false},
		"cold":      {func(pl *placement) { pl.worker.coldUntil = start.Add(time.Minute) }, false},
		"restarted": {func(pl *placement) { pl.job.progress.Steps[0].Tasks[0].Checkpoint = "c" }, false},
	} {
		spec := &batch.Job{ID: "j", Queue: "later", Steps: []batch.Step{step}}
		p := &Planner{interference: interference.New()}
		pl := &placement{
			job: &job{spec: spec, progress: batch.NewProgress(spec)}, id: batch.TaskID{Job: "j"}, step: &spec.Steps[0],
			worker: &worker{}, phase: phaseRunning, confirmedAt: start, appliedShare: 100,
		}
		c.change(pl)
		p.sampleInterference(pl, 0.1, start.Add(500*time.Millisecond))
		if got := !isZeroRun(pl.observed); got != c.want {
			t.Errorf("%s: observed %v, want %v", name, got, c.want)
		}
		if name == "throttled" && pl.presenceWeight() != 0.5 {
			t.Errorf("a task with half its share counts as %v", pl.presenceWeight())
		}
	}
}

func isZeroRun(r interference.Run) bool { return fmt.Sprint(r) == fmt.Sprint(interference.Run{}) }

// TestStoredPairsFitIntoTheRow guards against long names of many pairs that keep the
// row of learned state from being stored.
func TestStoredPairsFitIntoTheRow(t *testing.T) {
	p := New(Dependencies{Metrics: meter.NewSet()})
	for i := range 40 {
		kind := interference.NewKind("queue", fmt.Sprint(strings.Repeat("registry/", 20), i), batch.Resources{Accelerators: 1})
		p.interference.Restore(interference.Pair{Kind: kind, Neighbour: kind, Slowdown: 0.2 + float64(i)/100, Variance: 0.001, Runs: 20})
	}
	if n := len(p.interference.Pairs()); n != 40 {
		t.Fatalf("%d pairs are known", n)
	}
	stored := p.storedInterference()
	if size := proto.Size(&schema.Experience{Interference: stored}); size > maxInterferenceBytes+100 || len(stored) == 0 {
		t.Errorf("%d pairs take %d bytes", len(stored), size)
	}
	if stored[0].GetSlowdown() < 0.58 {
		t.Errorf("the first pair has slowdown %v, want the largest", stored[0].GetSlowdown())
	}
}

// TestPairThatDoesNotFitIsSkipped guards against one pair with long names that keeps
// all smaller ones from being stored.
func TestPairThatDoesNotFitIsSkipped(t *testing.T) {
	p := New(Dependencies{Metrics: meter.NewSet()})
	for i, image := range []string{"small", strings.Repeat("x", maxInterferenceBytes)} {
		kind := interferingKind(image)
		p.interference.Restore(interference.Pair{Kind: kind, Neighbour: kind, Slowdown: 0.2 + float64(i), Variance: 0.001, Runs: 20})
	}
	if stored := p.storedInterference(); len(stored) != 1 || stored[0].GetKind().GetImage() != "small" {
		t.Errorf("%d pairs are stored, want the small one", len(stored))
	}
}

// TestLearnedStateIsTruncatedToTheRow guards against a row that is not stored at all
// because pairs, run times and the speeds of many workers exceed it together.
func TestLearnedStateIsTruncatedToTheRow(t *testing.T) {
	p := New(Dependencies{Metrics: meter.NewSet()})
	p.learned.inheritedSpeeds = map[string]*schema.WorkerSpeed{}
	for i := range 4000 {
		id := fmt.Sprintf("worker-%05d", i)
		p.learned.inheritedSpeeds[id] = &schema.WorkerSpeed{Worker: id, Life: 1 << 60, Slowness: 0.1, Weight: 3}
	}
	for i := range 40 {
		kind := interferingKind(fmt.Sprint(strings.Repeat("registry/", 20), i))
		p.interference.Restore(interference.Pair{Kind: kind, Neighbour: kind, Slowdown: 0.2, Variance: 0.001, Runs: 20})
	}
	for i := range 100 {
		p.estimator.Observe("", fmt.Sprint(strings.Repeat("queue", 50), i), time.Second)
	}
	rows := p.learnedStateRow(time.Now())
	if len(rows) != 1 {
		t.Fatal("the row is not stored")
	}
	m := &schema.Experience{}
	if err := proto.Unmarshal(rows[0].Value, m); err != nil {
		t.Fatal(err)
	}
	if len(m.GetSpeeds()) == 0 || len(m.GetTimes()) == 0 || len(m.GetInterference()) == 0 || len(rows[0].Value) < p.maxRowBytes()*8/10 {
		t.Errorf("%d speeds, %d queues and %d pairs in %d bytes", len(m.GetSpeeds()), len(m.GetTimes()), len(m.GetInterference()), len(rows[0].Value))
	}
}

// BenchmarkApplyInterference measures what a decision takes in addition, with pairs
// known and without.
func BenchmarkApplyInterference(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprint("known ", known), func(b *testing.B) {
			p := New(Dependencies{Metrics: meter.NewSet()})
			if known {
				restorePair(p)
			}
			v := &decisionView{}
			jobs := make([]*job, 8)
			for i := range jobs {
				spec := &batch.Job{ID: fmt.Sprint(i), Queue: "later", Steps: []batch.Step{imageStep([]string{"meek", "loud", "mute", "fill"}[i%4], 4)}}
				jobs[i] = &job{spec: spec}
			}
			for i := range 3000 {
				w := &worker{placements: map[batch.TaskID]*placement{}}
				for k := range 8 {
					j := jobs[(i+k)%len(jobs)]
					w.placements[batch.TaskID{Job: fmt.Sprint(k)}] = &placement{job: j, step: &j.spec.Steps[0], appliedShare: 100}
				}
				v.workers = append(v.workers, w)
			}
			for i := range 65 {
				v.jobs = append(v.jobs, jobs[i%len(jobs)])
				v.input.Groups = append(v.input.Groups, assignment.Group{})
			}
			for b.Loop() {
				p.applyInterference(v, time.Time{})
			}
		})
	}
}
