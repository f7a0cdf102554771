package member

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// BenchmarkHeartbeats measures the idle traffic of the busiest instance and
// the CPU time of one instance on average, over TCP on loopback. Run it with
// -benchtime 1x; each size takes 6 s.
func BenchmarkHeartbeats(b *testing.B) {
	for _, c := range []struct {
		instances int
		centres   int
	}{{3, 1}, {7, 1}, {14, 1}, {7, 3}, {14, 3}, {28, 4}} {
		b.Run(fmt.Sprintf("instances=%d/centres=%d", c.instances, c.centres), func(b *testing.B) {
			s := newSockets(c.instances, false, func(i int) string { return fmt.Sprint("centre-", i%c.centres) })
			defer s.stop()
			if !await(20*time.Second, s.complete) {
				b.Fatal("the instances do not find each other")
			}
			time.Sleep(remoteInterval)
			for range b.N {
				begin := cpu()
				const window = 4 * time.Second
				bytes, writes := s.rate(window)
				used := (cpu() - begin).Seconds() / window.Seconds() / float64(c.instances)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(writes, "writes/s")
				b.ReportMetric(100*used, "%core")
			}
		})
	}
}

// cpu returns the CPU time of the process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
