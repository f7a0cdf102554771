package trial

import (
	"syscall"
	"testing"
	"time"
)

// faultCase is one case of TestFaults.
type faultCase struct {
	name string
	// failure is the failure that the case guards against.
	failure string
	inject  func(c *cluster)
}

// loadDuration is the time over which jobs and quick requests are sent.
const loadDuration = 12 * time.Second

var faultCases = []faultCase{
	{"none", "work that is lost or started twice without any fault", func(*cluster) {}},
	{"kill one of each data centre", "jobs lost with their planner or rack owner", func(c *cluster) {
		time.Sleep(3 * time.Second)
		for _, i := range []int{0, 3, 5} {
			c.kill(i)
		}
		time.Sleep(4 * time.Second)
		for _, i := range []int{0, 3, 5} {
			c.start(c.instances[i])
		}
	}},
	{"kill all but one of a data centre", "racks that no instance takes over", func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.kill(1)
		c.kill(2)
		time.Sleep(6 * time.Second)
		c.start(c.instances[1])
		c.start(c.instances[2])
	}},
	{"pause beyond the lease", "an owner that still starts or stops work after its lease has expired", func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.signal(0, syscall.SIGSTOP)
		c.signal(3, syscall.SIGSTOP)
		time.Sleep(12 * time.Second)
		c.signal(0, syscall.SIGCONT)
		c.signal(3, syscall.SIGCONT)
	}},
	{"table down", "work refused or lost although its workers are available", func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.setTableFaults(map[string]any{"outage": true})
		time.Sleep(6 * time.Second)
		c.setTableFaults(map[string]any{})
	}},
	{"table slow", "calls abandoned although the write takes effect later", func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.setTableFaults(map[string]any{"delay": "1500ms"})
		time.Sleep(8 * time.Second)
		c.setTableFaults(map[string]any{})
	}},
	{"answers lost", "writes repeated without a check after their answer was lost", func(c *cluster) {
		c.setTableFaults(map[string]any{"after": 0.3, "before": 0.1})
		time.Sleep(loadDuration)
		c.setTableFaults(map[string]any{})
	}},
	{"data centre disconnected from the platform", "a data centre that stops although its workers are available", func(c *cluster) {
		time.Sleep(3 * time.Second)
		for _, i := range []int{0, 1, 2} {
			c.relays[i].setMode(modeDisconnect)
		}
		time.Sleep(6 * time.Second)
		for _, i := range []int{0, 1, 2} {
			c.relays[i].setMode(modeForward)
		}
	}},
	{"silent connections to the platform", "calls that wait on a connection that forwards nothing", func(c *cluster) {
		for range 3 {
			time.Sleep(3 * time.Second)
			for _, r := range c.relays {
				r.setMode(modeBlackhole)
			}
		}
	}},
	{"kill while the table is down", "recovery that needs the table", func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.setTableFaults(map[string]any{"outage": true})
		time.Sleep(time.Second)
		c.kill(0)
		c.kill(5)
		time.Sleep(5 * time.Second)
		c.setTableFaults(map[string]any{})
		c.start(c.instances[0])
		c.start(c.instances[5])
	}},
	{"pause while answers are lost", "a late write of a paused instance that replaces a newer one", func(c *cluster) {
		c.setTableFaults(map[string]any{"after": 0.2})
		time.Sleep(2 * time.Second)
		c.signal(1, syscall.SIGSTOP)
		time.Sleep(11 * time.Second)
		c.signal(1, syscall.SIGCONT)
		c.setTableFaults(map[string]any{})
	}},
}

// TestFaults runs each case on separate processes and checks the invariants
// against the starts that the workers recorded.
func TestFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 8 processes for each case")
	}
	for _, f := range faultCases {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("guards against %s", f.failure)
			c := newCluster(t)
			c.configure()
			load := &workload{c: c}
			load.run(loadDuration, func() { f.inject(c) })
			load.checkInvariants(t)
		})
	}
}
