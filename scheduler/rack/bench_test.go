package rack

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// claimMeter counts claims and their size in bytes, encoded as JSON as in the HTTP
// adapter.
type claimMeter struct {
	platform.Fleet
	claims, bytes atomic.Int64
}

func (m *claimMeter) Worker(name string) (platform.Worker, error) {
	w, err := m.Fleet.Worker(name)
	return meteredWorker{w, m}, err
}

type meteredWorker struct {
	platform.Worker
	meter *claimMeter
}

func (w meteredWorker) Claim(ctx context.Context, l platform.Lease) (platform.Inventory, error) {
	i, err := w.Worker.Claim(ctx, l)
	request, _ := json.Marshal(l)
	response, _ := json.Marshal(i)
	w.meter.claims.Add(1)
	w.meter.bytes.Add(int64(len(request) + len(response)))
	return i, err
}

// startMeteredOwner starts an owner with the given number of tasks on each worker.
func startMeteredOwner(workers, tasks int) (o *Owner, m *claimMeter, end func()) {
	p := newPlatform(workers)
	m = &claimMeter{Fleet: p.Fleet}
	o = New(rackName, "a", workersOf(p), m, &outcomeRecorder{accepting: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.Run(ctx)
	}()
	<-o.Ready()
	for i := range tasks {
		r := GangRequest{Job: fmt.Sprint("job-", i), Attempt: 1, Team: "team", Template: "template",
			Payload: memory.Payload{Seconds: 1e5}.Encode()}
		for w := range workers {
			r.Members = append(r.Members, Member{Worker: fmt.Sprintf("x-w%03d", w), Accelerators: 1})
		}
		if err := o.Start(ctx, r); err != nil {
			panic(err)
		}
	}
	return o, m, func() {
		cancel()
		<-ended
	}
}

// Guards against renewals that exceed the budget of 2 KB/s per worker, on idle
// workers and with a task on each accelerator.
func TestRenewalTraffic(t *testing.T) {
	const budget, window = 2048, 10 * time.Minute
	for _, workers := range []int{2, 4, 8} {
		for _, tasks := range []int{0, 4, 8} {
			synctest.Test(t, func(t *testing.T) {
				_, m, end := startMeteredOwner(workers, tasks)
				defer end()
				time.Sleep(time.Minute) // polls are frequent after a start
				claims, bytes := m.claims.Load(), m.bytes.Load()
				time.Sleep(window)
				perWorker := func(n int64) float64 { return float64(n) / window.Seconds() / float64(workers) }
				rate := perWorker(m.bytes.Load() - bytes)
				t.Logf("workers=%d tasks=%d: %.2f claims/s and %.0f B/s per worker", workers, tasks, perWorker(m.claims.Load()-claims), rate)
				if rate > budget {
					t.Errorf("%.0f B/s per worker, want at most %d", rate, budget)
				}
			})
		}
	}
}

// BenchmarkRenew measures one renewal, which happens every 3 s per worker, by the
// number of tasks on the worker.
func BenchmarkRenew(b *testing.B) {
	for _, tasks := range []int{0, 4, 8} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			o, _, end := startMeteredOwner(8, tasks)
			defer end()
			st := o.snapshotWorkers()[0]
			for b.Loop() {
				if err := o.renew(context.Background(), st); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStart measures the start and stop of a gang by its size, with workers
// that answer immediately.
func BenchmarkStart(b *testing.B) {
	for _, size := range []int{1, 4, 8} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			o, _, end := startMeteredOwner(8, 0)
			defer end()
			n := 0
			for b.Loop() {
				n++
				r := request(fmt.Sprint("job-", n), 1, size, 1000)
				if err := o.Start(context.Background(), r); err != nil {
					b.Fatal(err)
				}
				if err := o.Stop(context.Background(), r.Job); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
