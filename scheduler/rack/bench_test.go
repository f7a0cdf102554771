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

// meter counts claims and their size as JSON, as the HTTP adapter sends them.
type meter struct {
	platform.Fleet
	claims, bytes atomic.Int64
}

func (m *meter) Worker(name string) (platform.Worker, error) {
	w, err := m.Fleet.Worker(name)
	return metered{w, m}, err
}

type metered struct {
	platform.Worker
	m *meter
}

func (w metered) Claim(ctx context.Context, l platform.Lease) (platform.Inventory, error) {
	i, err := w.Worker.Claim(ctx, l)
	request, _ := json.Marshal(l)
	answer, _ := json.Marshal(i)
	w.m.claims.Add(1)
	w.m.bytes.Add(int64(len(request) + len(answer)))
	return i, err
}

// metersOf starts an owner with a number of tasks on each worker.
func metersOf(workers, tasks int) (o *Owner, m *meter, end func()) {
	p := newPlatform(workers)
	m = &meter{Fleet: p.Fleet}
	o = New(rackName, "a", workersOf(p), m, &desk{open: true})
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

// Guards against renewals that exceed the budget of 2 KB/s for each worker, at
// rest and with a task on each accelerator.
func TestRenewalTraffic(t *testing.T) {
	const budget, window = 2048, 10 * time.Minute
	for _, workers := range []int{2, 4, 8} {
		for _, tasks := range []int{0, 4, 8} {
			synctest.Test(t, func(t *testing.T) {
				_, m, end := metersOf(workers, tasks)
				defer end()
				time.Sleep(time.Minute) // polls are frequent after a start
				claims, bytes := m.claims.Load(), m.bytes.Load()
				time.Sleep(window)
				perWorker := func(n int64) float64 { return float64(n) / window.Seconds() / float64(workers) }
				rate := perWorker(m.bytes.Load() - bytes)
				t.Logf("workers=%d tasks=%d: %.2f claims/s, %.0f B/s for each worker", workers, tasks, perWorker(m.claims.Load()-claims), rate)
				if rate > budget {
					t.Errorf("%.0f B/s for each worker, want at most %d", rate, budget)
				}
			})
		}
	}
}

// BenchmarkRenew gives the CPU time of one renewal, which a worker causes every
// 3 s, by the number of its tasks.
func BenchmarkRenew(b *testing.B) {
	for _, tasks := range []int{0, 4, 8} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			o, _, end := metersOf(8, tasks)
			defer end()
			st := o.snapshot()[0]
			for b.Loop() {
				if err := o.renew(context.Background(), st); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStart gives the time of the start and stop of a gang by its size,
// with workers that answer at once.
func BenchmarkStart(b *testing.B) {
	for _, size := range []int{1, 4, 8} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			o, _, end := metersOf(8, 0)
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
