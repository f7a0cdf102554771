package rack

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform/memory"
)

const (
	gangSize = 3
	// startSteps is the number of orders in the start of a gang.
	startSteps = 2 * gangSize
	pauseTime  = 30 * time.Second
	// sceneTime is enough for a pause and for the loss of a worker.
	sceneTime = pauseTime + 2*lostAfter
)

// scene is one start of a gang by instance a; b takes over when a fails.
type scene struct {
	p    *memory.Platform
	a, b *party
	once sync.Once
	wait sync.WaitGroup
	// took is when b has claimed the rack.
	took time.Time
	err  error
}

// takeOver lets b claim the rack when the death of a has been noticed.
func (s *scene) takeOver() {
	s.once.Do(func() {
		s.wait.Go(func() {
			time.Sleep(2 * time.Second)
			b := newParty(s.p, "b")
			s.a.gate.mu.Lock()
			defer s.a.gate.mu.Unlock()
			s.a.gate.superseded = true
			s.b, s.took = b, time.Now()
		})
	})
}

const victim = "x-w001"

// faults are what may happen before any of the steps.
var faults = []struct {
	name string
	do   func(s *scene)
}{
	{"owner killed", func(s *scene) {
		s.a.gate.shut()
		s.wait.Go(s.a.end)
		s.takeOver()
	}},
	{"owner paused", func(s *scene) {
		s.a.gate.pause()
		s.wait.Go(func() {
			time.Sleep(pauseTime)
			s.a.gate.unpause()
		})
		s.takeOver()
	}},
	{"worker killed", func(s *scene) { s.p.Fleet.Crash(victim) }},
	{"worker restarted", func(s *scene) {
		s.p.Fleet.Crash(victim)
		time.AfterFunc(time.Second, func() { s.p.Fleet.Restart(victim) })
	}},
	{"answers lost", func(s *scene) {
		s.a.gate.view.Fleet.Get(victim).SetFaults(memory.Faults{DropNextResponses: 2})
	}},
	{"orders late", func(s *scene) {
		s.a.gate.mu.Lock()
		defer s.a.gate.mu.Unlock()
		s.a.gate.slow = map[string]time.Duration{
			"reserve" + victim: 1900 * time.Millisecond,
			"commit" + victim:  1500 * time.Millisecond,
		}
	}},
	{"other worker killed", func(s *scene) { s.p.Fleet.Crash("x-w002") }},
	{"worker silent", func(s *scene) {
		w := s.a.gate.view.Fleet.Get(victim)
		w.SetFaults(memory.Faults{Silent: true})
		time.AfterFunc(5*time.Second, func() { w.SetFaults(memory.Faults{}) })
	}},
}

// event is a fault before a step.
type event struct{ fault, step int }

func (e event) String() string { return fmt.Sprintf("%s before step %d", faults[e.fault].name, e.step) }

// play runs a scene with the given faults. After is called while the gang's
// daemon would act on the result of Start.
func play(p *memory.Platform, events []event, after func(s *scene)) *scene {
	s := &scene{p: p, a: newParty(p, "a")}
	var mu sync.Mutex
	fired := make([]bool, len(events))
	fire := func(step int) {
		mu.Lock()
		defer mu.Unlock()
		for i, e := range events {
			if e.step <= step && !fired[i] {
				fired[i] = true
				faults[e.fault].do(s)
			}
		}
	}
	s.a.gate.hook = func(n int, _ string) { fire(n) }
	s.err = s.a.owner.Start(context.Background(), request("job", 1, gangSize, 1000))
	fire(startSteps)
	if after != nil {
		s.wait.Go(func() { after(s) })
	}
	time.Sleep(sceneTime)
	s.wait.Wait()
	return s
}

func (s *scene) end() {
	s.a.end()
	if s.b != nil {
		s.b.end()
	}
}

// check returns what is wrong after a scene: a gang that holds only a part of
// its accelerators, a gang that runs although nobody knows of it or that nobody
// runs although its owner lists it, a task started twice, or a rack that no
// longer takes work.
func (s *scene) check() error {
	reserved, running := holding(s.p, "job")
	if reserved != 0 || running != 0 && running != gangSize {
		return fmt.Errorf("%d members are reserved and %d of %d run", reserved, running, gangSize)
	}
	owner := s.a
	if s.b != nil {
		owner = s.b
	}
	if listed := len(owner.owner.Summary().Running) == 1; listed != (running > 0) {
		return fmt.Errorf("%d members run, but the owner lists the gang: %v", running, listed)
	}
	if s.err == nil && running == 0 && s.b == nil && len(s.a.desk.outcomes()) != 1 {
		return fmt.Errorf("the gang is gone without an outcome")
	}
	if d := memory.DuplicateStarts(s.p.Fleet.Starts(), false); len(d) > 0 {
		return fmt.Errorf("tasks were started twice: %v", d)
	}
	next := request("next", 1, 1, 10)
	if err := owner.owner.Start(context.Background(), next); err != nil {
		return fmt.Errorf("the rack takes no work: %w", err)
	}
	return nil
}

// Guards against partial gangs after any single fault and any pair of faults,
// each before any step of a gang's start.
func TestFaultsDuringStart(t *testing.T) {
	var events []event
	for f := range faults {
		for step := range startSteps + 1 {
			events = append(events, event{f, step})
		}
	}
	cases := make([][]event, 0, len(events)*(len(events)+1)/2)
	for i, first := range events {
		cases = append(cases, []event{first})
		for _, second := range events[i+1:] {
			if second.fault != first.fault && !testing.Short() {
				cases = append(cases, []event{first, second})
			}
		}
	}
	for _, c := range cases {
		var err error
		synctest.Test(t, func(*testing.T) {
			s := play(newPlatform(gangSize), c, nil)
			defer s.end()
			err = s.check()
		})
		if err != nil {
			t.Errorf("%v: %v", c, err)
		}
	}
	t.Log("cases:", len(cases))
}

// Guards against an owner that was paused beyond its lease and then commands
// workers that its successor commands too. Without the workers' check of
// generations it does.
func TestPausedOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		fenced bool
	}{{"checked", true}, {"unchecked", false}} {
		t.Run(c.name, func(t *testing.T) {
			orders, starts := 0, 0
			for step := range startSteps + 1 {
				synctest.Test(t, func(*testing.T) {
					o, n := pausedScene(c.fenced, step)
					orders, starts = orders+o, starts+n
				})
			}
			t.Logf("orders carried out for the superseded owner: %d, starts among them: %d", orders, starts)
			if c.fenced && orders+starts > 0 {
				t.Error("the superseded owner has commanded workers")
			}
			if !c.fenced && (orders == 0 || starts == 0) {
				t.Error("the test does not show what the check prevents")
			}
		})
	}
}

// pausedScene pauses the owner before a step. The daemons on both sides start
// the job again when their owner does not have it, as if there were no table.
func pausedScene(fenced bool, step int) (orders, starts int) {
	p := newPlatform(gangSize)
	if !fenced {
		for _, w := range workersOf(p) {
			p.Fleet.Get(w.Name).FenceOff()
		}
	}
	retry := func(y *party, attempt int) {
		for range 10 {
			if len(y.owner.Summary().Running) > 0 {
				return
			}
			if y.owner.Start(context.Background(), request("job", attempt, gangSize, 1000)) == nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	s := play(p, []event{{1, step}}, func(s *scene) {
		if s.err != nil {
			retry(s.a, 3)
		}
	})
	defer s.end()
	s.a.gate.mu.Lock()
	defer s.a.gate.mu.Unlock()
	for _, st := range p.Fleet.Starts() {
		if !st.At.Before(s.took) && st.Attempt != 2 {
			starts++
		}
	}
	return s.a.gate.late, starts
}
