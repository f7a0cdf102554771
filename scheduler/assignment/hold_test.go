package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisylug.example/scheduler/batch"
)

// longRunningOn fills the workers with long-running tasks.
func longRunningOn(v *View, workers ...int) {
	for _, w := range workers {
		v.Workers[w].LongRunning, v.Workers[w].Free = v.Workers[w].Capacity, batch.Resources{}
	}
}

// runsOn fills the workers with a run each that is expected to end after the given
// time.
func runsOn(v *View, remaining time.Duration, workers ...int) {
	for _, w := range workers {
		v.Running = append(v.Running, Running{
			Job: fmt.Sprint("run", w), Priority: 1, ExpectedEnd: v.Now.Add(remaining),
			Allocations: []Allocation{{Worker: w, Need: v.Workers[w].Capacity}},
		})
		v.Workers[w].Free = batch.Resources{}
	}
}

// TestSmallJobBesideBlockedGang guards against small jobs that wait, with most of the
// service free, because a gang that does not fit has all idle workers held for it.
func TestSmallJobBesideBlockedGang(t *testing.T) {
	wide := func(name string, n int) Group {
		g := gangGroup(name, n, 8)
		g.Adjacent, g.ReadySince = false, now.Add(-time.Second)
		return g
	}
	small := func(waited, duration time.Duration) Group {
		g := taskGroup("small", 4, 1)
		g.Priority, g.Idle, g.ExpectedDuration = 2, true, duration
		g.Accepted, g.ReadySince = now.Add(-waited), now.Add(-waited)
		g.Objective = now.Add(time.Hour)
		return g
	}
	const none, all = 0, 4
	for _, c := range []struct {
		name string
		// used fills workers of four racks of eight.
		used   func(v *View)
		groups []Group
		starts int
	}{
		{"beside long-running work", func(v *View) { longRunningOn(v, span(0, 13)...) }, []Group{wide("gang", 20), small(0, 4*time.Second)}, all},
		{"two gangs beside long-running work", func(v *View) { longRunningOn(v, span(0, 13)...) }, []Group{wide("gang", 20), wide("other", 24), small(0, 4*time.Second)}, all},
		{"a gang of tasks that need most memory", func(v *View) { longRunningOn(v, span(0, 13)...) }, func() []Group {
			g := wide("gang", 20)
			g.Need = batch.Resources{MilliCPU: 1000, MemoryMB: 131072}
			return []Group{g, small(0, 4*time.Second)}
		}(), all},
		{"ends before the gang starts", func(v *View) { runsOn(v, 8*time.Second, span(0, 13)...) }, []Group{wide("gang", 20), small(0, 4*time.Second)}, all},
		{"ends after the gang starts", func(v *View) { runsOn(v, 4*time.Second, span(0, 13)...) }, []Group{wide("gang", 20), small(0, 4*time.Second)}, none},
		{"never ends", func(v *View) { runsOn(v, 8*time.Second, span(0, 13)...) }, func() []Group {
			g := small(0, 4*time.Second)
			g.LongRunning = true
			return []Group{wide("gang", 20), g}
		}(), none},
		{"has waited as long as it may take", func(v *View) { runsOn(v, 4*time.Second, span(0, 13)...) }, []Group{wide("gang", 20), small(6*time.Second, 4*time.Second)}, all},
		{"has waited for the longest time", func(v *View) { runsOn(v, 4*time.Second, span(0, 13)...) }, []Group{wide("gang", 20), small(maxHeldTime, time.Hour)}, all},
		{"has waited while most of the service is in use", func(v *View) { runsOn(v, 4*time.Second, span(0, 17)...) }, []Group{wide("gang", 20), small(maxHeldTime, time.Hour)}, none},
		{"unknown use", func(v *View) {
			for _, w := range span(0, 13) {
				v.Workers[w].Free = batch.Resources{}
			}
		}, []Group{wide("gang", 20), small(0, 4*time.Second)}, none},
		{"a gang that waits for advice", func(*View) {}, func() []Group {
			g := wide("gang", 30)
			g.Allowed, g.AdvicePending = map[string]bool{}, true
			return []Group{g, small(maxHeldTime, time.Hour), small(0, 4*time.Second)}
		}(), all + all},
		{"a guaranteed gang that waits for advice", func(*View) {}, func() []Group {
			g := wide("gang", 32)
			g.Allowed, g.AdvicePending, g.Guaranteed = map[string]bool{}, true, true
			return []Group{g, small(maxHeldTime, time.Hour)}
		}(), all},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := View{Now: now, Workers: idleRacks(4), Groups: c.groups}
			c.used(&v)
			d := Decide(v)
			if n := len(v.started(d, "small")); n != c.starts {
				t.Errorf("%d starts of the small job, want %d", n, c.starts)
			}
			if n := len(d.Starts) - len(v.started(d, "small")); n != 0 {
				t.Errorf("%d starts of the gang", n)
			}
		})
	}
}

// streamJob is a job of a simulated stream.
type streamJob struct {
	group    Group
	duration time.Duration
	accepted time.Time
	started  time.Time
}

// stream simulates a service in virtual time. Runs take up to twice their expected
// duration.
type stream struct {
	view    View
	jobs    []*streamJob
	running []streamRun
	random  *rand.Rand
}

type streamRun struct {
	start, end time.Time
	worker     int
	job        *streamJob
}

func (s *stream) submit(g Group, duration time.Duration) *streamJob {
	g.Job, g.ExpectedDuration = fmt.Sprintf("%s%04d", g.Job, len(s.jobs)), duration
	g.Accepted, g.ReadySince, g.Objective, g.Idle = s.view.Now, s.view.Now, s.view.Now.Add(15*duration), true
	j := &streamJob{group: g, duration: duration, accepted: s.view.Now}
	s.jobs = append(s.jobs, j)
	return j
}

// step ends runs, makes a decision and starts what it places.
func (s *stream) step() {
	v := &s.view
	kept := s.running[:0]
	v.Running = nil
	for _, r := range s.running {
		w := &v.Workers[r.worker]
		if !r.end.After(v.Now) {
			w.Free = w.Free.Plus(r.job.group.Need)
			continue
		}
		kept = append(kept, r)
		expected := r.start.Add(r.job.duration)
		if expected.Before(v.Now) {
			// As long again as it has taken.
			expected = v.Now.Add(v.Now.Sub(r.start))
		}
		v.Running = append(v.Running, Running{
			Job: r.job.group.Job, Priority: 1, ExpectedEnd: expected,
			Allocations: []Allocation{{Worker: r.worker, Need: r.job.group.Need}},
		})
	}
	s.running = kept
	var waiting []*streamJob
	v.Groups = nil
	for _, j := range s.jobs {
		if len(j.group.Indexes) > 0 {
			waiting, v.Groups = append(waiting, j), append(v.Groups, j.group)
		}
	}
	started := map[*streamJob]int{}
	for _, p := range Decide(*v).Starts {
		j := waiting[p.Group]
		started[j]++
		v.Workers[p.Worker].Free = v.Workers[p.Worker].Free.Minus(j.group.Need)
		length := time.Duration((0.5 + s.random.Float64()*0.75) * float64(j.duration))
		s.running = append(s.running, streamRun{v.Now, v.Now.Add(length), p.Worker, j})
	}
	for j, n := range started {
		if j.started.IsZero() {
			j.started = v.Now
		}
		j.group.Indexes, j.group.Idle = j.group.Indexes[n:], false
	}
}

// TestBlockedGangInStream guards against starvation either way: a gang that never
// starts because small jobs take what becomes free, and small jobs that wait for a
// gang.
func TestBlockedGangInStream(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		length   = 90 * time.Second
		gangAt   = 15 * time.Second
		gangRun  = 6250 * time.Millisecond
	)
	for _, c := range []struct {
		name string
		// longRunning is the number of the 48 workers that run long-running tasks.
		longRunning int
		// taskDuration is that of the small jobs.
		taskDuration time.Duration
		gang         int
		// gangWait is the longest time until the gang starts, or 0 if it never can.
		gangWait time.Duration
		// smallWait is the longest time until a small job starts: what it waits for the
		// gang, and a run of the gang.
		smallWait time.Duration
	}{
		{"short jobs", 0, 4 * time.Second, 40, 12 * time.Second, 6*time.Second + gangRun},
		{"long jobs", 0, 9 * time.Second, 40, 25 * time.Second, maxHeldTime + gangRun},
		{"beside long-running work", 10, 4 * time.Second, 34, 12 * time.Second, 6*time.Second + gangRun},
		{"a gang that cannot start", 20, 4 * time.Second, 30, 0, time.Second},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := &stream{view: View{Now: now, Workers: idleRacks(6)}, random: rand.New(rand.NewPCG(seed, 1))}
				longRunningOn(&s.view, span(48-c.longRunning, 47)...)
				var gang *streamJob
				for ; s.view.Now.Before(now.Add(length)); s.view.Now = s.view.Now.Add(interval) {
					if gang == nil && s.view.Now.Sub(now) >= gangAt {
						g := gangGroup("gang", c.gang, 8)
						g.Adjacent, g.Priority = false, 1
						gang = s.submit(g, 5*time.Second)
					}
					// The small jobs use about a quarter of the service.
					if s.random.Float64() < 6/c.taskDuration.Seconds()*interval.Seconds()*2 {
						g := taskGroup("small", 4, 2)
						g.Priority = 1
						s.submit(g, c.taskDuration)
					}
					s.step()
				}
				if waited := gang.started.Sub(gang.accepted); c.gangWait > 0 && (gang.started.IsZero() || waited > c.gangWait) {
					t.Errorf("the gang started %v after its acceptance, want %v", waited, c.gangWait)
				}
				for _, j := range s.jobs {
					if j == gang {
						continue
					}
					started := j.started
					if started.IsZero() {
						started = s.view.Now
					}
					if waited := started.Sub(j.accepted); waited > c.smallWait {
						t.Errorf("job %s waited for %v", j.group.Job, waited)
					}
				}
			})
		}
	}
}
