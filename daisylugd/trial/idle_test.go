package trial

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Resource limits of an idle instance, and the unit of CPU time in /proc.
const (
	maxIdleCPU          = 0.016
	maxIdleMemory       = 60 << 20
	clockTicksPerSecond = 100
)

// cpuTime returns the CPU time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	// The fields follow the process name, which may contain spaces; user and
	// system time are the 12th and 13th field after it.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, _ := strconv.Atoi(f)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// residentMemory returns the resident memory of a process, in bytes.
func residentMemory(t *testing.T, pid int) int {
	t.Helper()
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		t.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(content))[1])
	return pages * os.Getpagesize()
}

// Guards against an instance that uses the CPU without work: a rack update that
// announced a change without one triggered the next update, which made each
// instance use half a core. The test runs alone because it measures CPU time.
// Other load on the machine adds CPU time to the same work, so the minimum of
// three windows counts; a busy instance is busy in each.
func TestIdle(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes")
	}
	const (
		windows = 3
		length  = 8 * time.Second
	)
	c := newCluster(t)
	c.configure()
	time.Sleep(2 * time.Second)
	minShares := make(map[string]float64)
	for range windows {
		for name, share := range c.cpuShares(length) {
			if old, seen := minShares[name]; !seen || share < old {
				minShares[name] = share
			}
		}
	}
	for _, p := range c.instances {
		memory := residentMemory(t, p.cmd.Process.Pid)
		t.Logf("%s: %.1f %% of a core, %d MB", p.name, 100*minShares[p.name], memory>>20)
		if minShares[p.name] > maxIdleCPU {
			t.Errorf("%s uses %.1f %% of a core at rest", p.name, 100*minShares[p.name])
		}
		if memory > maxIdleMemory {
			t.Errorf("%s occupies %d MB at rest", p.name, memory>>20)
		}
	}
}

// cpuShares returns the share of a core that each instance uses during a
// period.
func (c *cluster) cpuShares(length time.Duration) map[string]float64 {
	before := make(map[string]time.Duration)
	for _, p := range c.instances {
		before[p.name] = cpuTime(c.t, p.cmd.Process.Pid)
	}
	time.Sleep(length)
	shares := make(map[string]float64)
	for _, p := range c.instances {
		used := cpuTime(c.t, p.cmd.Process.Pid) - before[p.name]
		shares[p.name] = used.Seconds() / length.Seconds()
	}
	return shares
}
