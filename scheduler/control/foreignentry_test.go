package control

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
)

// foreignEntries adds entries of another writer to a registry of workers.
type foreignEntries struct {
	*testCluster
	entries []platform.RunnerInfo
}

func (f *foreignEntries) Workers(ctx context.Context) ([]platform.RunnerInfo, error) {
	all, err := f.testCluster.Workers(ctx)
	return append(all, f.entries...), err
}

// silentRunner never responds.
type silentRunner struct{ platform.Runner }

func (silentRunner) RenewLease(ctx context.Context, _ platform.RenewLeaseRequest) (platform.RunnerState, error) {
	<-ctx.Done()
	return platform.RunnerState{}, &platform.UnknownOutcomeError{Service: "worker", Cause: ctx.Err()}
}

// Runner implements Dialer.
func (f *foreignEntries) Runner(info platform.RunnerInfo) platform.Runner {
	if f.runners[info.Address] == nil {
		return silentRunner{}
	}
	return f.testCluster.Runner(info)
}

// TestForeignEntriesDoNotCount guards against entries of the registry that look like
// workers but never respond, and that change what is refused, which work order is
// used, for what room is kept or which data centre gets tasks.
func TestForeignEntriesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 4)
		f.foreign = &foreignEntries{testCluster: f}
		for i := range 8 {
			f.foreign.entries = append(f.foreign.entries, platform.RunnerInfo{
				ID: fmt.Sprint("foreign", i), Address: fmt.Sprint("nowhere", i), Service: "s", Rack: "r0",
				Capacity: batch.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}, Incarnation: 1, HeartbeatVersion: 1,
			})
		}
		p, stop := f.startPlanner()
		defer stop()
		p.mu.Lock()
		p.LargeServiceWorkers = 8
		p.mu.Unlock()
		time.Sleep(settleTime + minCredibleTime + 2*time.Second)
		large := batchJob("j", "later", "a", "1s", gang(5, 8))
		if r := p.Submit(t.Context(), EncodeJob(large, f.config.Queues["later"], 0), 0); r.Outcome != OutcomeRefused {
			t.Errorf("a gang of more workers than there are: outcome %d, want a refusal", r.Outcome)
		}
		if n := p.Workers(); n != 4 {
			t.Errorf("%d workers, want 4", n)
		}
		p.mu.Lock()
		if c := p.largestWorker("s", time.Now()); c.Accelerators != 8 {
			t.Errorf("largest worker %+v", c)
		}
		if p.hasLargeService() || len(p.loads) > 0 {
			t.Errorf("large service %v, loads of %d services", p.hasLargeService(), len(p.loads))
		}
		p.mu.Unlock()
		// In the time between two polls of idle workers nothing else responds.
		for i := range 12 {
			p.mu.Lock()
			for name, c := range p.dataCentres {
				if c.unresponsive {
					t.Errorf("data centre %q counts as unresponsive", name)
				}
			}
			p.mu.Unlock()
			f.submit(p, batchJob(fmt.Sprint("small", i), "later", "a", "100ms", gang(1, 8)))
			time.Sleep(370 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for i := range 12 {
			f.expectState(p, "later", fmt.Sprint("small", i), batch.JobDone)
		}
	})
}

// TestWorkersCountBeforeTheyRespond guards against refusals while workers have not
// responded yet.
func TestWorkersCountBeforeTheyRespond(t *testing.T) {
	now := time.Unix(1000, 0)
	const heartbeat = 1500 * time.Millisecond
	w := &worker{firstListedAt: now}
	for _, tt := range []struct {
		name      string
		heartbeat time.Duration
		at        time.Duration
		want      bool
	}{
		{"just listed", 0, time.Second, true},
		{"no other heartbeat", 0, 7 * time.Second, false},
		{"heartbeats without a response", 20 * time.Second, 25 * time.Second, true},
		{"heartbeats without a response for long", 40 * time.Second, 41 * time.Second, false},
	} {
		w.believe(now.Add(tt.heartbeat), heartbeat)
		if got := w.credible(now.Add(tt.at)); got != tt.want {
			t.Errorf("%s: counts %v, want %v", tt.name, got, tt.want)
		}
	}
	w.incarnation = 1
	if !w.credible(now.Add(time.Hour)) {
		t.Error("a worker that has responded does not count")
	}
}

// TestGangOnLargestCapacity guards against a decision that counts up to a capacity
// near the largest number, one by one.
func TestGangOnLargestCapacity(t *testing.T) {
	spec := &batch.Job{ID: "j", Steps: []batch.Step{gang(5, 8)}}
	j := newJob(spec, Queue{}, 0, batch.NewProgress(spec))
	type result struct {
		workers int
		used    batch.Resources
	}
	done := make(chan result, 1)
	go func() {
		const most = math.MaxInt64
		workers, used := j.gangWorkers(batch.Resources{MilliCPU: most, MemoryMB: most, Accelerators: most})
		done <- result{workers, used}
	}()
	select {
	case r := <-done:
		if want := spec.Steps[0].Need.Times(5); r.workers != 1 || r.used != want {
			t.Errorf("%+v, want one worker and %+v", r, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no result after 5 s")
	}
}
