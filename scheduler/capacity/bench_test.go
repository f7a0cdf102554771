package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
)

const (
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	teamCount             = 190
)

var startTime = time.Unix(1_700_000_000, 0)

func teamName(i int) string { return fmt.Sprintf("team-%03d", i%teamCount) }

// fullRacks returns the racks and running tasks of a fully used data centre: each
// worker runs four tasks of two accelerators.
func fullRacks(tasks int) ([]gang.Rack, []planner.Running) {
	workers := tasks / 4
	var racks []gang.Rack
	var running []planner.Running
	for first := 0; first < workers; first += workersPerRack {
		var members []gang.Worker
		for i := first; i < min(first+workersPerRack, workers); i++ {
			members = append(members, gang.Worker{Name: fmt.Sprintf("w%04d", i), Accelerators: acceleratorsPerWorker})
		}
		rack := gang.NewRack(fmt.Sprintf("r%03d", first/workersPerRack), members...)
		racks = append(racks, rack)
		for i := range 4 * len(members) {
			running = append(running, runningTask(rack.Name(), 4*first+i, i/4))
		}
	}
	return racks, running
}

func runningTask(rack string, number, worker int) planner.Running {
	j := newJob(number)
	j.ID = "running-" + j.ID
	return planner.Running{Request: j, Work: guarantee.Work{
		Job: j.ID, Team: j.Team, Rack: rack, Shape: j.Shape,
		Workers: gang.Set(0).With(worker), Started: startTime.Add(-time.Minute),
	}}
}

func newJob(number int) queue.Job {
	return queue.Job{
		ID: fmt.Sprintf("%016x", number), Team: teamName(number), Template: "map", Class: queue.ClassPlanned,
		Shape: gang.Shape{Workers: 1, Accelerators: 2}, Accepted: startTime, Declared: 3 * time.Hour,
	}
}

// plannerInput returns the input of a planner round. It guarantees one small
// shape to each team, for as many teams as the racks can hold.
func plannerInput(tasks, pending int) planner.Input {
	racks, running := fullRacks(tasks)
	var guarantees []guarantee.Guarantee
	for i := range min(teamCount, tasks/8) {
		guarantees = append(guarantees, guarantee.Guarantee{Team: teamName(i), Shape: gang.Shape{Workers: 1, Accelerators: 2}, Count: 1})
	}
	q := queue.New()
	for i := range pending {
		q.Add(newJob(i))
	}
	return planner.Input{
		Now: startTime, Pending: q, Racks: racks, Running: running, Plan: guarantee.NewPlan(racks, guarantees),
		Estimator: queue.NewEstimator(), Quarantine: quarantine.New(),
	}
}

// BenchmarkRound measures a round without pending jobs, which the planner runs
// every second, by the number of running tasks.
func BenchmarkRound(b *testing.B) {
	for _, tasks := range []int{160, 640, 1280, 2600} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p := planner.New(planner.DefaultOptions(gang.Completion()))
			in := plannerInput(tasks, 0)
			for b.Loop() {
				p.Decide(in)
			}
		})
	}
}

// BenchmarkBacklog measures a round in a full data centre of 650 workers, by the
// number of pending jobs.
func BenchmarkBacklog(b *testing.B) {
	for _, jobs := range []int{190, 1400, 5000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			p := planner.New(planner.DefaultOptions(gang.Completion()))
			in := plannerInput(2600, jobs)
			for b.Loop() {
				p.Decide(in)
			}
		})
	}
}

// liveHeap returns the heap size in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecordHeap measures the memory of the planner's jobs: for each its
// record, its index entry and its queue entry.
func BenchmarkRecordHeap(b *testing.B) {
	for _, jobs := range []int{400, 1400, 4000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			before := liveHeap()
			records := make(map[string]*schema.Job)
			q := queue.New()
			for i := range jobs {
				j := newJob(i)
				q.Add(j)
				records[j.ID] = newRecord(j)
			}
			b.ReportMetric(max(0, liveHeap()-before), "heap-B")
			runtime.KeepAlive(records)
			runtime.KeepAlive(q)
		})
	}
}

func newRecord(j queue.Job) *schema.Job {
	return &schema.Job{
		Id: j.ID, Team: j.Team, Template: j.Template, Key: "key-" + j.ID, Class: schema.Class_CLASS_PLANNED,
		Shape: &schema.Shape{Workers: 1, Accelerators: 2}, Accepted: timestamppb.New(startTime), Idempotent: true,
		Estimate: 10800, Payload: make([]byte, 64), Centre: "a", Rack: "r000", Origin: "o" + j.ID, Claim: "c" + j.ID, Operation: "p" + j.ID,
	}
}

// BenchmarkInventoryHeap measures the memory of the inventory that a rack owner
// keeps for each worker, by its number of tasks. The inventory is decoded from
// JSON, as it is when a renewal delivers it.
func BenchmarkInventoryHeap(b *testing.B) {
	const workers = 100
	for _, tasks := range []int{0, 4, 8} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			content, err := json.Marshal(newInventory(tasks))
			if err != nil {
				b.Fatal(err)
			}
			before := liveHeap()
			inventories := make([]platform.Inventory, workers)
			for i := range inventories {
				if err := json.Unmarshal(content, &inventories[i]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(max(0, liveHeap()-before)/workers, "heap-B")
			runtime.KeepAlive(inventories)
		})
	}
}

func newInventory(tasks int) platform.Inventory {
	generation := platform.Generation{Number: 7, Holder: "entry-1"}
	i := platform.Inventory{Generation: generation, Free: acceleratorsPerWorker - tasks}
	for n := range tasks {
		j := newJob(n)
		i.Tasks = append(i.Tasks, platform.Task{
			State: platform.TaskRunning, Started: startTime,
			Reservation: platform.Reservation{
				Generation: generation, Task: platform.TaskRef{Job: j.ID, Attempt: 1}, Team: j.Team, Template: j.Template,
				Accelerators: 1, Members: 1, Payload: make([]byte, 64),
			},
		})
	}
	return i
}
