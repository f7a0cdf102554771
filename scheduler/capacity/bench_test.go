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
	rackWorkers  = 8
	accelerators = 8
	teams        = 190
)

var start = time.Unix(1_700_000_000, 0)

func team(i int) string { return fmt.Sprintf("team-%03d", i%teams) }

// site returns the racks of a data centre with four tasks of two accelerators
// on each worker, so that it is full.
func site(tasks int) ([]gang.Rack, []planner.Running) {
	workers := tasks / 4
	var racks []gang.Rack
	var running []planner.Running
	for first := 0; first < workers; first += rackWorkers {
		var members []gang.Worker
		for i := first; i < min(first+rackWorkers, workers); i++ {
			members = append(members, gang.Worker{Name: fmt.Sprintf("w%04d", i), Accelerators: accelerators})
		}
		rack := gang.NewRack(fmt.Sprintf("r%03d", first/rackWorkers), members...)
		racks = append(racks, rack)
		for i := range 4 * len(members) {
			running = append(running, task(rack.Name(), 4*first+i, i/4))
		}
	}
	return racks, running
}

func task(rack string, number, worker int) planner.Running {
	j := job(number)
	j.ID = "running-" + j.ID
	return planner.Running{Request: j, Work: guarantee.Work{
		Job: j.ID, Team: j.Team, Rack: rack, Shape: j.Shape,
		Workers: gang.Set(0).With(worker), Started: start.Add(-time.Minute),
	}}
}

func job(number int) queue.Job {
	return queue.Job{
		ID: fmt.Sprintf("%016x", number), Team: team(number), Template: "map", Class: queue.ClassPlanned,
		Shape: gang.Shape{Workers: 1, Accelerators: 2}, Accepted: start, Declared: 3 * time.Hour,
	}
}

// input returns the planner's input with a guarantee of one small shape for
// each team that the racks can hold.
func input(tasks, pending int) planner.Input {
	racks, running := site(tasks)
	var guarantees []guarantee.Guarantee
	for i := range min(teams, tasks/8) {
		guarantees = append(guarantees, guarantee.Guarantee{Team: team(i), Shape: gang.Shape{Workers: 1, Accelerators: 2}, Count: 1})
	}
	q := queue.New()
	for i := range pending {
		q.Add(job(i))
	}
	return planner.Input{
		Now: start, Pending: q, Racks: racks, Running: running, Plan: guarantee.NewPlan(racks, guarantees),
		Estimator: queue.NewEstimator(), Quarantine: quarantine.New(),
	}
}

// BenchmarkRound gives the time of a round with nothing pending, which the
// planner makes every second, by the number of running tasks.
func BenchmarkRound(b *testing.B) {
	for _, tasks := range []int{160, 640, 1280, 2600} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p := planner.New(planner.DefaultOptions(gang.Completion()))
			in := input(tasks, 0)
			for b.Loop() {
				p.Decide(in)
			}
		})
	}
}

// BenchmarkBacklog gives the time of a round on a full site of 650 workers by
// the number of pending jobs.
func BenchmarkBacklog(b *testing.B) {
	for _, jobs := range []int{190, 1400, 5000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			p := planner.New(planner.DefaultOptions(gang.Completion()))
			in := input(2600, jobs)
			for b.Loop() {
				p.Decide(in)
			}
		})
	}
}

// live returns the bytes in use after a collection.
func live() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecordHeap gives the memory of the planner's jobs: a record, its
// index and its place in the queue.
func BenchmarkRecordHeap(b *testing.B) {
	for _, jobs := range []int{400, 1400, 4000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			before := live()
			records := make(map[string]*schema.Job)
			q := queue.New()
			for i := range jobs {
				j := job(i)
				q.Add(j)
				records[j.ID] = record(j)
			}
			b.ReportMetric(max(0, live()-before), "heap-B")
			runtime.KeepAlive(records)
			runtime.KeepAlive(q)
		})
	}
}

func record(j queue.Job) *schema.Job {
	return &schema.Job{
		Id: j.ID, Team: j.Team, Template: j.Template, Key: "key-" + j.ID, Class: schema.Class_CLASS_PLANNED,
		Shape: &schema.Shape{Workers: 1, Accelerators: 2}, Accepted: timestamppb.New(start), Idempotent: true,
		Estimate: 10800, Payload: make([]byte, 64), Centre: "a", Rack: "r000", Origin: "o" + j.ID, Claim: "c" + j.ID, Operation: "p" + j.ID,
	}
}

// BenchmarkInventoryHeap gives the memory of the inventory that an owner keeps
// of each worker, decoded from JSON as a renewal brings it, by its tasks.
func BenchmarkInventoryHeap(b *testing.B) {
	const workers = 100
	for _, tasks := range []int{0, 4, 8} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			content, err := json.Marshal(inventory(tasks))
			if err != nil {
				b.Fatal(err)
			}
			before := live()
			kept := make([]platform.Inventory, workers)
			for i := range kept {
				if err := json.Unmarshal(content, &kept[i]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(max(0, live()-before)/workers, "heap-B")
			runtime.KeepAlive(kept)
		})
	}
}

func inventory(tasks int) platform.Inventory {
	generation := platform.Generation{Number: 7, Holder: "entry-1"}
	i := platform.Inventory{Generation: generation, Free: accelerators - tasks}
	for n := range tasks {
		j := job(n)
		i.Tasks = append(i.Tasks, platform.Task{
			State: platform.TaskRunning, Started: start,
			Reservation: platform.Reservation{
				Generation: generation, Task: platform.TaskRef{Job: j.ID, Attempt: 1}, Team: j.Team, Template: j.Template,
				Accelerators: 1, Members: 1, Payload: make([]byte, 64),
			},
		})
	}
	return i
}
