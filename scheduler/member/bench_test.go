package member

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// BenchmarkHeartbeats measures the idle traffic of the busiest instance and the
// average CPU time per instance, over TCP on the loopback interface. Run it with
// -benchtime 1x; each size takes 6 s.
func BenchmarkHeartbeats(b *testing.B) {
	for _, c := range []struct {
		instances int
		centres   int
	}{{3, 1}, {7, 1}, {14, 1}, {7, 3}, {14, 3}, {28, 4}} {
		b.Run(fmt.Sprintf("instances=%d/centres=%d", c.instances, c.centres), func(b *testing.B) {
			s := newTCPCluster(c.instances, false, func(i int) string { return fmt.Sprint("centre-", i%c.centres) })
			defer s.stop()
			if !waitFor(20*time.Second, s.allJoined) {
				b.Fatal("not all instances became members in time")
			}
			time.Sleep(remoteHeartbeatInterval)
			for range b.N {
				begin := cpuTime()
				const window = 4 * time.Second
				bytes, writes := s.rate(window)
				used := (cpuTime() - begin).Seconds() / window.Seconds() / float64(c.instances)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(writes, "writes/s")
				b.ReportMetric(100*used, "%core")
			}
		})
	}
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
