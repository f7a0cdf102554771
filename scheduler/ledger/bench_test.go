package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"daisylug.example/scheduler/platform/memory"
)

// BenchmarkJob takes the given number of concurrent jobs through accept, claim
// and finish. The rate limit is raised so far that it does not affect the time.
func BenchmarkJob(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			b.ReportAllocs()
			var rows, transactions, reads int64
			for round := range b.N {
				p := memory.New(memory.Config{Seed: uint64(round)})
				o := DefaultOptions()
				o.Rate = 1e6
				l := New(p.Table, p.Objects, o)
				var wg sync.WaitGroup
				for i := range jobs {
					wg.Go(func() {
						if err := runJob(context.Background(), l, fmt.Sprint(i)); err != nil {
							b.Error(err)
						}
					})
				}
				wg.Wait()
				s := l.Stats()
				rows, transactions, reads = rows+s.Rows, transactions+s.Transactions, reads+s.Reads
			}
			total := float64(b.N) * float64(jobs)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/job")
			b.ReportMetric(float64(rows)/total, "rows/job")
			b.ReportMetric(float64(transactions)/total, "transactions/job")
			b.ReportMetric(float64(reads)/total, "reads/job")
		})
	}
}

// BenchmarkRecord reports the stored bytes per finished job.
func BenchmarkRecord(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			size := 0
			for range b.N {
				p := memory.New(memory.Config{})
				o := DefaultOptions()
				o.Rate = 1e6
				l := New(p.Table, p.Objects, o)
				var wg sync.WaitGroup
				for i := range jobs {
					wg.Go(func() { _ = runJob(context.Background(), l, fmt.Sprint(i)) })
				}
				wg.Wait()
				rows, _ := p.Table.Scan(context.Background(), "", "", 2*jobs)
				size = 0
				for _, row := range rows {
					size += len(row.Key) + len(row.Value)
				}
			}
			b.ReportMetric(float64(size)/float64(jobs), "stored-B/job")
		})
	}
}
