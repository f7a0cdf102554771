package rack

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/member"
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
	// blind holds, for an instance, those it does not hear.
	blind map[[2]string]bool
	dead  map[string]bool
	// attempt, open and since stand for the job's row in the table.
	attempt map[string]int
	open    map[string]bool
	since   map[string]time.Time
	overlap int
}

var fieldNames = []string{"a", "b", "c"}

// watch updates the views of the members, as heartbeats would.
func (f *field) watch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, set := range f.all {
		var seen []platform.Instance
		for _, other := range fieldNames {
			if name == other || !f.dead[other] && !f.blind[[2]string{name, other}] {
				seen = append(seen, inst(other))
			}
		}
		set.Update(seen, workersOf(f.p))
	}
}

// cut changes who hears whom. Losses are noticed 2 s later, returns at once.
func (f *field) cut(on bool, pairs ...[2]string) {
	change := func() {
		f.mu.Lock()
		for _, p := range pairs {
			f.blind[p] = on
		}
		f.mu.Unlock()
		f.watch()
	}
	if !on {
		change()
		return
	}
	time.AfterFunc(2*time.Second, change)
}

// work starts the gang of each rack again when its last attempt has ended.
func (f *field) work() {
	for i := range fieldRacks {
		rack := fmt.Sprintf("x-r%02d", i)
		for _, name := range fieldNames {
			f.mu.Lock()
			set := f.all[name]
			f.mu.Unlock()
			if set == nil {
				continue
			}
			if o, ok := set.Owner(rack); ok {
				go f.startOn(o, rack, 8*i)
			}
		}
	}
}

func (f *field) startOn(o *Owner, rack string, first int) {
	listed := len(o.Summary().Running) > 0
	f.mu.Lock()
	// An attempt of unknown outcome that no owner lists for long has lapsed.
	if listed {
		f.since[rack] = time.Now()
	}
	if f.open[rack] && time.Since(f.since[rack]) < 2*lostAfter {
		f.mu.Unlock()
		return
	}
	f.attempt[rack]++
	f.open[rack], f.since[rack] = true, time.Now()
	r := GangRequest{Job: rack, Attempt: f.attempt[rack], Payload: memory.Payload{Seconds: 15}.Encode()}
	f.mu.Unlock()
	for w := range gangSize {
		r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", first+w), Accelerators: 4})
	}
	err := o.Start(context.Background(), r)
	var failed *StartError
	if err != nil && (!errors.As(err, &failed) || failed.Ran == RanNo) {
		f.close(rack, r.Attempt)
	}
}

func (f *field) close(rack string, attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempt[rack] == attempt {
		f.open[rack] = false
	}
}

// Outcome implements Sink for all instances.
func (f *field) Outcome(_ context.Context, o Outcome) error {
	f.close(o.Job, o.Attempt)
	return nil
}

// inspect counts the racks on which two attempts of the job run at a time.
func (f *field) inspect() {
	for i := range fieldRacks {
		var running []int
		for w := range gangSize {
			for _, t := range f.p.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i+w)).Tasks() {
				if t.State == platform.TaskRunning && !slices.Contains(running, t.Reservation.Task.Attempt) {
					running = append(running, t.Reservation.Task.Attempt)
				}
			}
		}
		if len(running) > 1 {
			f.overlap++
		}
	}
}

var fieldFaults = []struct {
	name     string
	do, heal func(f *field)
}{
	{"instance killed", func(f *field) {
		f.mu.Lock()
		end := f.ends["a"]
		delete(f.ends, "a")
		delete(f.all, "a")
		f.mu.Unlock()
		f.gates["a"].shut()
		go end()
		time.AfterFunc(2*time.Second, func() {
			f.mu.Lock()
			f.dead["a"] = true
			f.mu.Unlock()
			f.watch()
		})
	}, nil},
	{"instance paused", func(f *field) {
		f.gates["b"].pause()
		f.cut(true, [2]string{"a", "b"}, [2]string{"c", "b"})
	}, func(f *field) {
		close(f.gates["b"].resume)
		f.gates["b"].unpause()
		f.cut(false, [2]string{"a", "b"}, [2]string{"c", "b"})
	}},
	{"one-way cut", func(f *field) { f.cut(true, [2]string{"b", "a"}) }, func(f *field) { f.cut(false, [2]string{"b", "a"}) }},
	{"two-way cut", func(f *field) { f.cut(true, twoWay...) }, func(f *field) { f.cut(false, twoWay...) }},
	{"two claimants at once", func(f *field) {
		f.cut(true, [2]string{"c", "a"}, [2]string{"b", "a"}, [2]string{"c", "b"}, [2]string{"b", "c"})
	},
		func(f *field) {
			f.cut(false, [2]string{"c", "a"}, [2]string{"b", "a"}, [2]string{"c", "b"}, [2]string{"b", "c"})
		}},
	{"workers restarted", func(f *field) {
		for i := range fieldRacks {
			name := fmt.Sprintf("x-w%03d", 8*i+1)
			f.p.Fleet.Crash(name)
			time.AfterFunc(time.Second, func() { f.p.Fleet.Restart(name) })
		}
	}, nil},
	{"workers silent for one instance", func(f *field) {
		for i := range fieldRacks {
			f.gates["c"].view.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i)).SetFaults(memory.Faults{Silent: true})
		}
	}, func(f *field) {
		for i := range fieldRacks {
			f.gates["c"].view.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i)).SetFaults(memory.Faults{})
		}
	}},
}

var twoWay = [][2]string{{"a", "b"}, {"a", "c"}, {"b", "a"}, {"c", "a"}}

// playField runs the field under some faults and returns what is wrong at the
// end, and the number of times at which two attempts ran at once.
func playField(chosen []int) (overlap int, err error) {
	f := &field{sets: newSets(fieldRacks), blind: map[[2]string]bool{}, dead: map[string]bool{},
		attempt: map[string]int{}, open: map[string]bool{}, since: map[string]time.Time{}}
	for _, n := range fieldNames {
		f.startWith(n, f)
	}
	defer func() {
		f.sets.close()
		time.Sleep(pauseTime) // starts under way end
	}()
	f.watch()
	begin := time.Now()
	done, healed := 0, false
	for time.Since(begin) < fieldTime {
		time.Sleep(100 * time.Millisecond)
		passed := time.Since(begin)
		for done < len(chosen) && passed >= faultAt+time.Duration(done)*time.Second {
			fieldFaults[chosen[done]].do(f)
			done++
		}
		if passed >= healAt && !healed {
			healed = true
			for _, c := range chosen {
				if heal := fieldFaults[c].heal; heal != nil {
					heal(f)
				}
			}
		}
		f.inspect()
		if passed < fieldTime-lostAfter && passed.Truncate(time.Second) != (passed-100*time.Millisecond).Truncate(time.Second) {
			f.work()
		}
	}
	return f.overlap, f.check()
}

// check returns what is wrong after all faults have ended.
func (f *field) check() error {
	var live []platform.Instance
	for _, n := range fieldNames {
		if !f.dead[n] {
			live = append(live, inst(n))
		}
	}
	now, single := f.owners()
	if !single || len(now) != fieldRacks {
		return fmt.Errorf("%d of %d racks have an owner, each has one: %v", len(now), fieldRacks, single)
	}
	for rack, sum := range now {
		if o, _ := member.Owner(rack, live); o.Name != sum.Generation.Holder {
			return fmt.Errorf("%s is owned by %s instead of %s", rack, sum.Generation.Holder, o.Name)
		}
		if reserved, running := holding(f.p, rack); reserved > 0 || running%gangSize != 0 {
			return fmt.Errorf("%s: %d members are reserved, %d run", rack, reserved, running)
		}
		if f.attempt[rack] < 2 {
			return fmt.Errorf("%s ran %d attempts", rack, f.attempt[rack])
		}
	}
	if d := memory.Doubled(f.p.Fleet.Starts(), true); len(d) > 0 {
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
		var names []string
		for _, i := range c {
			names = append(names, fieldFaults[i].name)
		}
		var overlap int
		var err error
		synctest.Test(t, func(*testing.T) { overlap, err = playField(c) })
		if overlap > 0 || err != nil {
			t.Errorf("%q: two attempts at a time: %d, %v", names, overlap, err)
		}
	}
	t.Log("cases:", len(cases))
}
