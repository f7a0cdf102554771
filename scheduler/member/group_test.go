package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// runInVirtualTime runs f as a subtest in virtual time.
func runInVirtualTime(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() { f(t) })
		})
	})
}

// TestLifecycle checks that a failure is detected neither too early nor too late,
// that leaving is announced, and that a restarted instance does not keep its
// previous state.
func TestLifecycle(t *testing.T) {
	runInVirtualTime(t, "instances settle, die, leave and restart", func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.close()
		g := c.groups["i0"]
		So(timeUntil(time.Second, func() bool { return liveNames(g) == "i0 i1 i2 i3 " }), ShouldBeLessThan, time.Second)
		time.Sleep(10 * time.Second)

		c.kill("i3")
		took := timeUntil(4*time.Second, func() bool { return liveNames(g) == "i0 i1 i2 " })
		So(took, ShouldBeBetween, deadTimeout-heartbeatInterval, deadTimeout+2*tickInterval)

		So(c.groups["i2"].Leave(context.Background()), ShouldBeNil)
		So(liveNames(g), ShouldEqual, "i0 i1 ")
		So(liveNames(c.groups["i1"]), ShouldEqual, "i0 i1 ")

		before := g.Peers()[0].Incarnation
		c.groups["i1"].SetValue("rack", []byte("old"))
		time.Sleep(time.Second)
		_, ok := g.Value("i1", "rack")
		So(ok, ShouldBeTrue)
		c.kill("i1")
		c.net.isolate("i1", false)
		c.start(instance("i1", "x"))
		So(timeUntil(4*time.Second, func() bool { return g.Peers()[0].Incarnation > before }), ShouldBeLessThan, 2*time.Second)
		_, ok = g.Value("i1", "rack")
		So(ok, ShouldBeFalse)
		time.Sleep(5 * time.Second)
		So(liveNames(g), ShouldEqual, "i0 i1 ")
	})
}

// TestColdStart checks that the first instance to settle does not own all keys
// when all start at about the same time, and that an instance owns no keys before
// it knows the others.
func TestColdStart(t *testing.T) {
	runInVirtualTime(t, "instances start one after the other", func(t *testing.T) {
		c := newEmptyCluster(t)
		defer c.close()
		names := []string{"i0", "i1", "i2"}
		for _, n := range names {
			c.register(instance(n, "x"))
		}
		for _, n := range names {
			c.start(instance(n, "x"))
			time.Sleep(30 * time.Millisecond)
		}
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			for _, g := range c.groups {
				So(liveNames(g), ShouldBeIn, "", "i0 i1 i2 ")
			}
		}
		So(liveNames(c.groups["i0"]), ShouldNotBeEmpty)

		// An instance that starts while a listed peer is dead settles after 2 s.
		c.register(instance("i9", "x"))
		c.register(instance("i3", "x"))
		c.start(instance("i3", "x"))
		joined := timeUntil(5*time.Second, func() bool { return liveNames(c.groups["i0"]) == "i0 i1 i2 i3 " })
		So(joined, ShouldBeBetween, deadTimeout-tickInterval, deadTimeout+heartbeatInterval)
		So(liveNames(c.groups["i3"]), ShouldEqual, "i0 i1 i2 i3 ")
	})
}

// TestDirectory checks that heartbeats take precedence over the directory.
func TestDirectory(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*cluster)
		want   string
	}{
		{"listing without live peers", func(c *cluster) {
			c.memoryPlatform.Directory.RemoveInstance("i1")
			c.memoryPlatform.Directory.RemoveInstance("i2")
		}, "i0 i1 i2 "},
		{"empty listing", func(c *cluster) {
			for _, n := range []string{"i0", "i1", "i2"} {
				c.memoryPlatform.Directory.RemoveInstance(n)
			}
		}, "i0 i1 i2 "},
		{"outage", func(c *cluster) { c.directories["i0"].SetFaults(memory.Faults{Outage: true}) }, "i0 i1 i2 "},
		{"silence", func(c *cluster) { c.directories["i0"].SetFaults(memory.Faults{Silent: true}) }, "i0 i1 i2 "},
		{"dead peer still listed", func(c *cluster) { c.kill("i2") }, "i0 i1 "},
		{"leaving peer still listed live", func(c *cluster) { _ = c.groups["i2"].Leave(context.Background()) }, "i0 i1 "},
		{"new peer not yet listed", func(c *cluster) {
			c.memoryPlatform.Directory.SetLag(time.Hour)
			g := c.start(instance("i3", "x"))
			g.reconcile(platform.Listing{AsOf: time.Now(), Instances: []platform.Instance{instance("i1", "x")}}, time.Now())
		}, "i0 i1 i2 i3 "},
		{"listed instance that does not exist", func(c *cluster) { c.register(instance("i9", "x")) }, "i0 i1 i2 "},
	} {
		runInVirtualTime(t, c.name, func(t *testing.T) {
			k := newCluster(t, 3)
			defer k.close()
			time.Sleep(3 * time.Second)
			c.change(k)
			time.Sleep(20 * time.Second)
			So(liveNames(k.groups["i0"]), ShouldEqual, c.want)
		})
	}
}

// ownersByGroup returns the owners of 20 keys as seen by each group.
func ownersByGroup(c *cluster) string {
	var all string
	for i := range len(c.groups) {
		g := c.groups[fmt.Sprintf("i%d", i)]
		for k := range 20 {
			o, _ := Owner(fmt.Sprint("rack", k), g.Members())
			all += o.Name + " "
		}
	}
	return all
}

// TestAsymmetricCut checks that keys do not move back and forth while messages
// between two instances pass in one direction only. Without vouchers they move.
func TestAsymmetricCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		vouchers bool
		dial     bool // one-way cuts also prevent new sessions
	}{{"with vouchers", true, true}, {"without vouchers", false, true}} {
		runInVirtualTime(t, c.name, func(t *testing.T) {
			k := newCluster(t, 3, func(g *Group) { g.vouchersDisabled = !c.vouchers })
			defer k.close()
			time.Sleep(3 * time.Second)
			k.net.cut("i0", "i1", true)
			changes, before := 0, ownersByGroup(k)
			for step := range 600 {
				if step == 400 {
					k.net.cut("i0", "i1", false)
				}
				time.Sleep(50 * time.Millisecond)
				if now := ownersByGroup(k); now != before {
					changes, before = changes+1, now
				}
			}
			t.Log("changes of ownership:", changes)
			if c.vouchers {
				So(changes, ShouldEqual, 0)
			} else {
				So(changes, ShouldBeGreaterThan, 0)
			}
			So(liveNames(k.groups["i0"]), ShouldEqual, "i0 i1 i2 ")
			So(liveNames(k.groups["i1"]), ShouldEqual, "i0 i1 i2 ")
		})
	}
}

// TestPauseAndRefutation checks that an instance does not declare its peers dead
// because of a pause of its own process, and that an instance that was wrongly
// declared dead becomes a member again.
func TestPauseAndRefutation(t *testing.T) {
	runInVirtualTime(t, "a paused instance returns", func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		g := c.groups["i2"]
		incarnation := func() uint64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.incarnation
		}
		before := incarnation()
		c.net.isolate("i2", true)
		time.Sleep(time.Second)
		g.evaluatePeers(time.Now().Add(5 * time.Second)) // simulates a pause of the process
		So(liveNames(g), ShouldEqual, "i0 i1 i2 ")
		g.mu.Lock()
		g.lastTick = time.Now()
		g.mu.Unlock()
		time.Sleep(3 * time.Second)
		So(liveNames(c.groups["i0"]), ShouldEqual, "i0 i1 ")
		c.net.isolate("i2", false)
		took := timeUntil(10*time.Second, func() bool { return liveNames(c.groups["i0"]) == "i0 i1 i2 " && liveNames(g) == "i0 i1 i2 " })
		So(took, ShouldBeLessThan, 5*time.Second)
		So(incarnation(), ShouldBeGreaterThan, before)
	})
}

// TestDataCentres checks that instances of other data centres become members, are
// removed after their failure, and return when a partition between data centres
// ends.
func TestDataCentres(t *testing.T) {
	runInVirtualTime(t, "two data centres", func(t *testing.T) {
		c := newEmptyCluster(t)
		defer c.close()
		var all []platform.Instance
		for i := range 4 {
			all = append(all, instance(fmt.Sprint("x", i), "x"), instance(fmt.Sprint("y", i), "y"))
		}
		for _, i := range all {
			c.register(i)
		}
		for _, i := range all {
			c.start(i)
		}
		g := c.groups["x0"]
		full := "x0 x1 x2 x3 y0 y1 y2 y3 "
		So(timeUntil(20*time.Second, func() bool { return liveNames(g) == full }), ShouldBeLessThan, 5*time.Second)
		time.Sleep(20 * time.Second)
		So(liveNames(g), ShouldEqual, full)
		g.SetConfigVersion(7)
		time.Sleep(6 * time.Second)
		c.kill("y3")
		took := timeUntil(time.Minute, func() bool { return liveNames(g) == "x0 x1 x2 x3 y0 y1 y2 " })
		So(took, ShouldBeLessThan, deadTimeout+remoteDeadTimeout+remoteHeartbeatInterval)
		cut := func(on bool) {
			for _, x := range all {
				for _, y := range all {
					if x.DataCentre != y.DataCentre && x.Name != "y3" && y.Name != "y3" {
						c.net.cut(x.Name, y.Name, on)
					}
				}
			}
		}
		cut(true)
		So(timeUntil(time.Minute, func() bool { return liveNames(g) == "x0 x1 x2 x3 " }), ShouldBeLessThan, 20*time.Second)
		cut(false)
		So(timeUntil(time.Minute, func() bool { return liveNames(g) == "x0 x1 x2 x3 y0 y1 y2 " }), ShouldBeLessThan, 20*time.Second)
	})
}

// TestValues checks that values too large for one message do not end the
// sessions, and that values are not sent again without a change.
func TestValues(t *testing.T) {
	runInVirtualTime(t, "values", func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		a, b := c.groups["i0"], c.groups["i1"]
		for k := range 6 {
			a.SetValue(fmt.Sprint(k), make([]byte, maxValueSize-1))
		}
		a.SetValue("large", make([]byte, maxMessageSize))
		time.Sleep(6*heartbeatInterval + time.Second)
		for k := range 6 {
			v, ok := b.Value("i0", fmt.Sprint(k))
			So(ok, ShouldBeTrue)
			So(len(v), ShouldEqual, maxValueSize-1)
		}
		_, ok := b.Value("i0", "large")
		So(ok, ShouldBeFalse)
		a.SetValue("0", nil)
		a.SetValue("1", []byte("x"))
		time.Sleep(time.Second)
		_, ok = b.Value("i0", "0")
		So(ok, ShouldBeFalse)

		before := a.valuesVersion
		a.SetValue("1", []byte("x"))
		So(a.valuesVersion, ShouldEqual, before)
	})
}
