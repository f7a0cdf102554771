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
	clusterRacks = 3
	faultStart   = 5 * time.Second
	faultEnd     = 40 * time.Second
	clusterTime  = 80 * time.Second
)

// faultCluster is a cluster of three instances that starts a gang on each rack again
// whenever the gang has ended.
type faultCluster struct {
	*cluster
	mu sync.Mutex
	// cutPairs lists pairs of instances of which the first does not receive
	// heartbeats of the second.
	cutPairs      string
	instanceNames string
	// jobs replaces the job table: it holds one job for each rack.
	jobs map[string]*jobState
}

// jobState is the latest attempt of a job, whether the attempt may be running, and
// when it was last known to be running.
type jobState struct {
	attempt     int
	mayRun      bool
	lastRunning time.Time
}

// updateMembers updates the members that each instance knows, as heartbeats would.
func (f *faultCluster) updateMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, manager := range f.managers {
		var visible []platform.Instance
		for _, other := range f.instanceNames {
			if name == string(other) || !strings.Contains(f.cutPairs, " "+name+string(other)) {
				visible = append(visible, newInstance(string(other)))
			}
		}
		manager.Update(visible, workersOf(f.memoryPlatform))
	}
}

// cut stops heartbeats between pairs of instances, which is detected after 2 s. Each
// pair is preceded by a space.
func (f *faultCluster) cut(pairs string) {
	time.AfterFunc(2*time.Second, func() {
		f.mu.Lock()
		f.cutPairs += pairs
		f.mu.Unlock()
		f.updateMembers()
	})
}

// heal ends all cuts, pauses and worker faults.
func (f *faultCluster) heal() {
	f.mu.Lock()
	f.cutPairs = ""
	f.mu.Unlock()
	f.proxies["b"].resumeDelivery()
	f.setWorkerFaults(memory.Faults{})
	f.updateMembers()
}

func (f *faultCluster) setWorkerFaults(faults memory.Faults) {
	for i := range clusterRacks {
		f.proxies["c"].view.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i)).SetFaults(faults)
	}
}

// startJobs starts the gang of each rack again if its last attempt has ended.
func (f *faultCluster) startJobs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range clusterRacks {
		for _, manager := range f.managers {
			rack := fmt.Sprintf("x-r%02d", i)
			if o, ok := manager.Owner(rack); ok {
				go f.startJob(o, rack, 8*i)
			}
		}
	}
}

func (f *faultCluster) startJob(o *Owner, rack string, first int) {
	listed := len(o.Summary().Running) > 0
	f.mu.Lock()
	job := f.jobs[rack]
	if listed {
		job.lastRunning = time.Now()
	}
	// An attempt of unknown outcome has ended if no owner has listed it for
	// 2*workerLostTimeout.
	if job.mayRun && time.Since(job.lastRunning) < 2*workerLostTimeout {
		f.mu.Unlock()
		return
	}
	*job = jobState{attempt: job.attempt + 1, mayRun: true, lastRunning: time.Now()}
	r := GangRequest{Job: rack, Attempt: job.attempt, Payload: memory.Payload{Seconds: 15}.Encode()}
	f.mu.Unlock()
	for w := range gangSize {
		r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", first+w), Accelerators: 4})
	}
	err := o.Start(context.Background(), r)
	var failed *StartError
	if err != nil && (!errors.As(err, &failed) || failed.Execution == NotExecuted) {
		_ = f.HandleOutcome(context.Background(), Outcome{Job: rack, Attempt: r.Attempt})
	}
}

// HandleOutcome implements OutcomeHandler for all instances.
func (f *faultCluster) HandleOutcome(_ context.Context, o Outcome) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job := f.jobs[o.Job]; job.attempt == o.Attempt {
		job.mayRun = false
	}
	return nil
}

// attemptsOverlap reports whether two attempts of a job run at the same time.
func (f *faultCluster) attemptsOverlap() bool {
	running := map[string]int{}
	for _, w := range workersOf(f.memoryPlatform) {
		for _, t := range f.memoryPlatform.Fleet.Get(w.Name).Tasks() {
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

var instanceFaults = []struct {
	name   string
	inject func(f *faultCluster)
}{
	{"instance killed", func(f *faultCluster) {
		f.mu.Lock()
		f.kill("a")
		f.mu.Unlock()
		time.AfterFunc(2*time.Second, func() {
			f.mu.Lock()
			f.instanceNames = "bc"
			f.mu.Unlock()
			f.updateMembers()
		})
	}},
	{"instance paused", func(f *faultCluster) {
		f.proxies["b"].pause()
		f.cut(" ab cb")
	}},
	{"one-way cut", func(f *faultCluster) { f.cut(" ba") }},
	{"two-way cut", func(f *faultCluster) { f.cut(" ab ba ac ca") }},
	{"all instances cut from each other", func(f *faultCluster) { f.cut(" ab ba ac ca bc cb") }},
	{"workers restarted", func(f *faultCluster) {
		for i := range clusterRacks {
			name := fmt.Sprintf("x-w%03d", 8*i+1)
			f.memoryPlatform.Fleet.Crash(name)
			time.AfterFunc(time.Second, func() { f.memoryPlatform.Fleet.Restart(name) })
		}
	}},
	{"workers silent for one instance", func(f *faultCluster) { f.setWorkerFaults(memory.Faults{Silent: true}) }},
}

// runWithFaults runs a cluster with the given faults and returns the first violated
// condition.
func runWithFaults(faultIndexes []int) error {
	f := &faultCluster{cluster: newCluster(clusterRacks), instanceNames: "abc", jobs: map[string]*jobState{}}
	for i := range clusterRacks {
		f.jobs[fmt.Sprintf("x-r%02d", i)] = &jobState{}
	}
	for _, n := range f.instanceNames {
		f.startWith(string(n), f)
	}
	defer func() {
		f.heal()
		f.close()
		time.Sleep(2 * workerLostTimeout) // wait for starts in progress
	}()
	f.updateMembers()
	for i, c := range faultIndexes {
		time.AfterFunc(faultStart+time.Duration(i)*time.Second, func() { instanceFaults[c].inject(f) })
	}
	time.AfterFunc(faultEnd, f.heal)
	for begin := time.Now(); time.Since(begin) < clusterTime; time.Sleep(250 * time.Millisecond) {
		if f.attemptsOverlap() {
			return fmt.Errorf("two attempts run at the same time, %v after the start", time.Since(begin))
		}
		if time.Since(begin) < clusterTime-workerLostTimeout {
			f.startJobs()
		}
	}
	return f.check()
}

// check returns an error if the owners or the jobs are wrong after all faults have
// ended.
func (f *faultCluster) check() error {
	if !f.matchesAssignment(strings.Split(f.instanceNames, "")...) {
		now, single := f.owners()
		return fmt.Errorf("racks are not owned as assigned, exactly one owner each: %v, owners: %v", single, now)
	}
	for rack, job := range f.jobs {
		if reserved, running := countActive(f.memoryPlatform, rack); reserved > 0 || running%gangSize != 0 {
			return fmt.Errorf("%s: %d members are reserved, %d are running", rack, reserved, running)
		}
		if job.attempt < 2 {
			return fmt.Errorf("%s started %d attempts, want at least 2", rack, job.attempt)
		}
	}
	if d := memory.DuplicateStarts(f.memoryPlatform.Fleet.Starts(), true); len(d) > 0 {
		return fmt.Errorf("tasks were started twice: %v", d)
	}
	return nil
}

// Guards against racks without an owner or with two, partial gangs, and two attempts
// of a job at the same time, after each fault of instances and each pair of faults.
func TestFaultsAmongInstances(t *testing.T) {
	cases := [][]int{{}}
	for i := range instanceFaults {
		cases = append(cases, []int{i})
		for j := range instanceFaults {
			if i != j {
				cases = append(cases, []int{i, j})
			}
		}
	}
	for _, c := range cases {
		var err error
		synctest.Test(t, func(*testing.T) { err = runWithFaults(c) })
		if err != nil {
			var names []string
			for _, i := range c {
				names = append(names, instanceFaults[i].name)
			}
			t.Errorf("%q: %v", names, err)
		}
	}
	t.Log("cases:", len(cases))
}
