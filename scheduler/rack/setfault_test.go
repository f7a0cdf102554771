package rack

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

const (
	fieldRacks = 3
	faultAt    = 5 * time.Second
	healAt     = 40 * time.Second
	fieldTime  = 80 * time.Second
)

// field is three instances with racks on which a gang is always started again
// when it has ended.
type field struct {
	*sets
	mu sync.Mutex
	// blind lists pairs of which the first does not hear the second.
	blind string
	names string
	// jobs stand for the rows of the jobs in the table.
	jobs map[string]*row
}

// row is a job: its latest attempt, whether that may run, and when it was last
// known to.
type row struct {
	attempt int
	open    bool
	since   time.Time
}

// watch updates the views of the members, as heartbeats would.
func (f *field) watch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, set := range f.all {
		var seen []platform.Instance
		for _, other := range f.names {
			if name == string(other) || !strings.Contains(f.blind, " "+name+string(other)) {
				seen = append(seen, inst(string(other)))
			}
		}
		set.Update(seen, workersOf(f.p))
	}
}

// cut is noticed after 2 s. Each pair follows a space.
func (f *field) cut(pairs string) {
	time.AfterFunc(2*time.Second, func() {
		f.mu.Lock()
		f.blind += pairs
		f.mu.Unlock()
		f.watch()
	})
}

// heal ends all cuts, pauses and silences.
func (f *field) heal() {
	f.mu.Lock()
	f.blind = ""
	f.mu.Unlock()
	f.gates["b"].unpause()
	f.silence(memory.Faults{})
	f.watch()
}

func (f *field) silence(faults memory.Faults) {
	for i := range fieldRacks {
		f.gates["c"].view.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i)).SetFaults(faults)
	}
}

// work starts the gang of each rack again when its last attempt has ended.
func (f *field) work() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range fieldRacks {
		for _, set := range f.all {
			rack := fmt.Sprintf("x-r%02d", i)
			if o, ok := set.Owner(rack); ok {
				go f.startOn(o, rack, 8*i)
			}
		}
	}
}

func (f *field) startOn(o *Owner, rack string, first int) {
	listed := len(o.Summary().Running) > 0
	f.mu.Lock()
	job := f.jobs[rack]
	if listed {
		job.since = time.Now()
	}
	// An attempt of unknown outcome that no owner lists for long has lapsed.
	if job.open && time.Since(job.since) < 2*lostAfter {
		f.mu.Unlock()
		return
	}
	*job = row{attempt: job.attempt + 1, open: true, since: time.Now()}
	r := GangRequest{Job: rack, Attempt: job.attempt, Payload: memory.Payload{Seconds: 15}.Encode()}
	f.mu.Unlock()
	for w := range gangSize {
		r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", first+w), Accelerators: 4})
	}
	err := o.Start(context.Background(), r)
	var failed *StartError
	if err != nil && (!errors.As(err, &failed) || failed.Ran == NotExecuted) {
		_ = f.HandleOutcome(context.Background(), Outcome{Job: rack, Attempt: r.Attempt})
	}
}

// HandleOutcome implements Sink for all instances.
func (f *field) HandleOutcome(_ context.Context, o Outcome) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job := f.jobs[o.Job]; job.attempt == o.Attempt {
		job.open = false
	}
	return nil
}

// overlaps tells whether two attempts of a job run at a time.
func (f *field) overlaps() bool {
	running := map[string]int{}
	for _, w := range workersOf(f.p) {
		for _, t := range f.p.Fleet.Get(w.Name).Tasks() {
			task := t.Reservation.Task
			if t.State != platform.TaskRunning {
				continue
			}
			if other, ok := running[task.Job]; ok && other != task.Attempt {
				return true
			}
			running[task.Job] = task.Attempt
		}
	}
	return false
}

var fieldFaults = []struct {
	name string
	do   func(f *field)
}{
	{"instance killed", func(f *field) {
		f.mu.Lock()
		f.kill("a")
		f.mu.Unlock()
		time.AfterFunc(2*time.Second, func() {
			f.mu.Lock()
			f.names = "bc"
			f.mu.Unlock()
			f.watch()
		})
	}},
	{"instance paused", func(f *field) {
		f.gates["b"].pause()
		f.cut(" ab cb")
	}},
	{"one-way cut", func(f *field) { f.cut(" ba") }},
	{"two-way cut", func(f *field) { f.cut(" ab ba ac ca") }},
	{"all claim at once", func(f *field) { f.cut(" ab ba ac ca bc cb") }},
	{"workers restarted", func(f *field) {
		for i := range fieldRacks {
			name := fmt.Sprintf("x-w%03d", 8*i+1)
			f.p.Fleet.Crash(name)
			time.AfterFunc(time.Second, func() { f.p.Fleet.Restart(name) })
		}
	}},
	{"workers silent for one instance", func(f *field) { f.silence(memory.Faults{Silent: true}) }},
}

// playField runs the field under some faults and returns what is wrong.
func playField(chosen []int) error {
	f := &field{sets: newSets(fieldRacks), names: "abc", jobs: map[string]*row{}}
	for i := range fieldRacks {
		f.jobs[fmt.Sprintf("x-r%02d", i)] = &row{}
	}
	for _, n := range f.names {
		f.startWith(string(n), f)
	}
	defer func() {
		f.heal()
		f.close()
		time.Sleep(2 * lostAfter) // starts under way end
	}()
	f.watch()
	for i, c := range chosen {
		time.AfterFunc(faultAt+time.Duration(i)*time.Second, func() { fieldFaults[c].do(f) })
	}
	time.AfterFunc(healAt, f.heal)
	for begin := time.Now(); time.Since(begin) < fieldTime; time.Sleep(250 * time.Millisecond) {
		if f.overlaps() {
			return fmt.Errorf("two attempts run at once %v after the start", time.Since(begin))
		}
		if time.Since(begin) < fieldTime-lostAfter {
			f.work()
		}
	}
	return f.check()
}

// check returns what is wrong after all faults have ended.
func (f *field) check() error {
	if !f.follows(strings.Split(f.names, "")...) {
		now, single := f.owners()
		return fmt.Errorf("each rack has one owner: %v: %v", single, now)
	}
	for rack, job := range f.jobs {
		if reserved, running := holding(f.p, rack); reserved > 0 || running%gangSize != 0 {
			return fmt.Errorf("%s: %d members are reserved, %d run", rack, reserved, running)
		}
		if job.attempt < 2 {
			return fmt.Errorf("%s ran %d attempts", rack, job.attempt)
		}
	}
	if d := memory.DuplicateStarts(f.p.Fleet.Starts(), true); len(d) > 0 {
		return fmt.Errorf("tasks were started twice: %v", d)
	}
	return nil
}

// Guards against racks without or with two owners, partial gangs and two
// attempts at a time, after each fault among instances and each pair of them.
func TestFaultsAmongInstances(t *testing.T) {
	cases := [][]int{{}}
	for i := range fieldFaults {
		cases = append(cases, []int{i})
		for j := range fieldFaults {
			if i != j {
				cases = append(cases, []int{i, j})
			}
		}
	}
	for _, c := range cases {
		var err error
		synctest.Test(t, func(*testing.T) { err = playField(c) })
		if err != nil {
			var names []string
			for _, i := range c {
				names = append(names, fieldFaults[i].name)
			}
			t.Errorf("%q: %v", names, err)
		}
	}
	t.Log("cases:", len(cases))
}
