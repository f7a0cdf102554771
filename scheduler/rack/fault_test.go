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
	// startSteps is the number of commands in the start of a gang.
	startSteps = 2 * gangSize
	pauseTime  = 30 * time.Second
	// scenarioTime is long enough for a pause and for the loss of a worker.
	scenarioTime = pauseTime + 2*workerLostTimeout
)

// startScenario is one gang start by instance a. Instance b takes over if a fails.
type startScenario struct {
	memoryPlatform *memory.Platform
	a, b           *testOwner
	once           sync.Once
	wait           sync.WaitGroup
	// claimedAt is the time at which b had claimed the rack.
	claimedAt time.Time
	err       error
}

// takeOver lets b claim the rack after the 2 s in which the failure of a is
// detected.
func (s *startScenario) takeOver() {
	s.once.Do(func() {
		s.wait.Go(func() {
			time.Sleep(2 * time.Second)
			b := startTestOwner(s.memoryPlatform, "b")
			s.a.proxy.mu.Lock()
			defer s.a.proxy.mu.Unlock()
			s.a.proxy.superseded = true
			s.b, s.claimedAt = b, time.Now()
		})
	})
}

const faultyWorker = "x-w001"

// faults are the faults that can be injected before a step of the start.
var faults = []struct {
	name   string
	inject func(s *startScenario)
}{
	{"owner killed", func(s *startScenario) {
		s.a.proxy.disconnect()
		s.wait.Go(s.a.end)
		s.takeOver()
	}},
	{"owner paused", func(s *startScenario) {
		s.a.proxy.pause()
		s.wait.Go(func() {
			time.Sleep(pauseTime)
			s.a.proxy.resumeDelivery()
		})
		s.takeOver()
	}},
	{"worker killed", func(s *startScenario) { s.memoryPlatform.Fleet.Crash(faultyWorker) }},
	{"worker restarted", func(s *startScenario) {
		s.memoryPlatform.Fleet.Crash(faultyWorker)
		time.AfterFunc(time.Second, func() { s.memoryPlatform.Fleet.Restart(faultyWorker) })
	}},
	{"responses lost", func(s *startScenario) {
		s.a.proxy.view.Fleet.Get(faultyWorker).SetFaults(memory.Faults{DropNextResponses: 2})
	}},
	{"commands delayed", func(s *startScenario) {
		s.a.proxy.mu.Lock()
		defer s.a.proxy.mu.Unlock()
		s.a.proxy.commandDelays = map[string]time.Duration{
			"reserve" + faultyWorker: 1900 * time.Millisecond,
			"commit" + faultyWorker:  1500 * time.Millisecond,
		}
	}},
	{"other worker killed", func(s *startScenario) { s.memoryPlatform.Fleet.Crash("x-w002") }},
	{"worker silent", func(s *startScenario) {
		w := s.a.proxy.view.Fleet.Get(faultyWorker)
		w.SetFaults(memory.Faults{Silent: true})
		time.AfterFunc(5*time.Second, func() { w.SetFaults(memory.Faults{}) })
	}},
}

// injectedFault is the index of a fault and the step before which it occurs.
type injectedFault struct{ fault, step int }

func (f injectedFault) String() string {
	return fmt.Sprintf("%s before step %d", faults[f.fault].name, f.step)
}

// runStartScenario runs a scenario with the given faults. It calls afterStart, like
// a daemon that reacts to the result of Start, in a goroutine when Start has
// returned.
func runStartScenario(p *memory.Platform, planned []injectedFault, afterStart func(s *startScenario)) *startScenario {
	s := &startScenario{memoryPlatform: p, a: startTestOwner(p, "a")}
	var mu sync.Mutex
	injected := make([]bool, len(planned))
	injectDue := func(step int) {
		mu.Lock()
		defer mu.Unlock()
		for i, e := range planned {
			if e.step <= step && !injected[i] {
				injected[i] = true
				faults[e.fault].inject(s)
			}
		}
	}
	s.a.proxy.hook = func(n int, _ string) { injectDue(n) }
	s.err = s.a.owner.Start(context.Background(), request("job", 1, gangSize, 1000))
	injectDue(startSteps)
	if afterStart != nil {
		s.wait.Go(func() { afterStart(s) })
	}
	time.Sleep(scenarioTime)
	s.wait.Wait()
	return s
}

func (s *startScenario) end() {
	s.a.end()
	if s.b != nil {
		s.b.end()
	}
}

// check returns an error if, after a scenario, a gang holds only some of its
// accelerators, the owner does not list a running gang or lists a gang that does
// not run, a gang ended without an outcome, a task was started twice, or the rack
// accepts no gangs.
func (s *startScenario) check() error {
	reserved, running := countActive(s.memoryPlatform, "job")
	if reserved != 0 || running != 0 && running != gangSize {
		return fmt.Errorf("%d members are reserved and %d of %d are running", reserved, running, gangSize)
	}
	owner := s.a
	if s.b != nil {
		owner = s.b
	}
	if listed := len(owner.owner.Summary().Running) == 1; listed != (running > 0) {
		return fmt.Errorf("%d members are running, but the owner lists the gang: %v", running, listed)
	}
	if s.err == nil && running == 0 && s.b == nil && len(s.a.recorder.outcomes()) != 1 {
		return fmt.Errorf("the gang ended without an outcome")
	}
	if d := memory.DuplicateStarts(s.memoryPlatform.Fleet.Starts(), false); len(d) > 0 {
		return fmt.Errorf("tasks were started twice: %v", d)
	}
	next := request("next", 1, 1, 10)
	if err := owner.owner.Start(context.Background(), next); err != nil {
		return fmt.Errorf("the rack accepts no gangs: %w", err)
	}
	return nil
}

// Guards against partial gangs after any single fault and any pair of different
// faults, each before any step of the start.
func TestFaultsDuringStart(t *testing.T) {
	var injections []injectedFault
	for f := range faults {
		for step := range startSteps + 1 {
			injections = append(injections, injectedFault{f, step})
		}
	}
	cases := make([][]injectedFault, 0, len(injections)*(len(injections)+1)/2)
	for i, first := range injections {
		cases = append(cases, []injectedFault{first})
		for _, second := range injections[i+1:] {
			if second.fault != first.fault && !testing.Short() {
				cases = append(cases, []injectedFault{first, second})
			}
		}
	}
	for _, c := range cases {
		var err error
		synctest.Test(t, func(*testing.T) {
			s := runStartScenario(newPlatform(gangSize), c, nil)
			defer s.end()
			err = s.check()
		})
		if err != nil {
			t.Errorf("%v: %v", c, err)
		}
	}
	t.Log("cases:", len(cases))
}

// Guards against an owner that was paused beyond its lease and then still commands
// workers of its successor. The unchecked case shows that this happens without the
// workers' check of generations.
func TestPausedOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		fenced bool
	}{{"checked", true}, {"unchecked", false}} {
		t.Run(c.name, func(t *testing.T) {
			commands, starts := 0, 0
			for step := range startSteps + 1 {
				synctest.Test(t, func(*testing.T) {
					o, n := runPausedOwner(c.fenced, step)
					commands, starts = commands+o, starts+n
				})
			}
			t.Logf("commands executed for the superseded owner: %d, task starts among them: %d", commands, starts)
			if c.fenced && commands+starts > 0 {
				t.Error("workers executed commands of the superseded owner")
			}
			if !c.fenced && (commands == 0 || starts == 0) {
				t.Error("no command of the superseded owner was executed without the check of generations")
			}
		})
	}
}

// runPausedOwner pauses the owner before a step. Its daemon starts the job again if
// the owner does not run it, as if there were no job table. It returns the numbers
// of commands and task starts executed for the superseded owner.
func runPausedOwner(fenced bool, step int) (commands, starts int) {
	p := newPlatform(gangSize)
	if !fenced {
		for _, w := range workersOf(p) {
			p.Fleet.Get(w.Name).DisableFencing()
		}
	}
	retry := func(instance *testOwner, attempt int) {
		for range 10 {
			if len(instance.owner.Summary().Running) > 0 {
				return
			}
			if instance.owner.Start(context.Background(), request("job", attempt, gangSize, 1000)) == nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	s := runStartScenario(p, []injectedFault{{1, step}}, func(s *startScenario) {
		if s.err != nil {
			retry(s.a, 3)
		}
	})
	defer s.end()
	s.a.proxy.mu.Lock()
	defer s.a.proxy.mu.Unlock()
	for _, st := range p.Fleet.Starts() {
		if !st.At.Before(s.claimedAt) && st.Attempt != 2 {
			starts++
		}
	}
	return s.a.proxy.lateCommands, starts
}
