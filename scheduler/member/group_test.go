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

// in runs a scenario in virtual time.
func in(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() { f(t) })
		})
	})
}

// Guards against a death that is noticed too late or too early, a leaving
// that is not announced, and a restarted instance kept under its former state.
func TestLifecycle(t *testing.T) {
	in(t, "instances settle, die, leave and restart", func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.close()
		g := c.groups["i0"]
		So(until(time.Second, func() bool { return live(g) == "i0 i1 i2 i3 " }), ShouldBeLessThan, time.Second)
		time.Sleep(10 * time.Second)

		c.kill("i3")
		took := until(4*time.Second, func() bool { return live(g) == "i0 i1 i2 " })
		So(took, ShouldBeBetween, deadAfter-heartbeatInterval, deadAfter+2*tickInterval)

		So(c.groups["i2"].Leave(context.Background()), ShouldBeNil)
		So(live(g), ShouldEqual, "i0 i1 ")
		So(live(c.groups["i1"]), ShouldEqual, "i0 i1 ")

		before := g.Peers()[0].Incarnation
		c.groups["i1"].SetValue("rack", []byte("old"))
		time.Sleep(time.Second)
		_, ok := g.Value("i1", "rack")
		So(ok, ShouldBeTrue)
		c.kill("i1")
		c.net.isolate("i1", false)
		c.start(instance("i1", "x"))
		So(until(4*time.Second, func() bool { return g.Peers()[0].Incarnation > before }), ShouldBeLessThan, 2*time.Second)
		_, ok = g.Value("i1", "rack")
		So(ok, ShouldBeFalse)
		time.Sleep(5 * time.Second)
		So(live(g), ShouldEqual, "i0 i1 ")
	})
}

// Guards against the first instance to settle taking all keys for itself when
// all start at about the same time, and against an instance that is given keys
// before it knows the others.
func TestColdStart(t *testing.T) {
	in(t, "instances start one after the other", func(t *testing.T) {
		c := emptyCluster(t)
		defer c.close()
		names := []string{"i0", "i1", "i2"}
		for _, n := range names {
			c.list(instance(n, "x"))
		}
		for _, n := range names {
			c.start(instance(n, "x"))
			time.Sleep(30 * time.Millisecond)
		}
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			for _, g := range c.groups {
				So(live(g), ShouldBeIn, "", "i0 i1 i2 ")
			}
		}
		So(live(c.groups["i0"]), ShouldNotBeEmpty)

		// One that starts while a listed peer is dead settles after 2 s.
		c.list(instance("i9", "x"))
		c.list(instance("i3", "x"))
		c.start(instance("i3", "x"))
		joined := until(5*time.Second, func() bool { return live(c.groups["i0"]) == "i0 i1 i2 i3 " })
		So(joined, ShouldBeBetween, deadAfter-tickInterval, deadAfter+heartbeatInterval)
		So(live(c.groups["i3"]), ShouldEqual, "i0 i1 i2 i3 ")
	})
}

// Guards against trusting the directory over what is heard.
func TestDirectory(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*cluster)
		want   string
	}{
		{"listing without live peers", func(c *cluster) {
			c.plat.Directory.RemoveInstance("i1")
			c.plat.Directory.RemoveInstance("i2")
		}, "i0 i1 i2 "},
		{"empty listing", func(c *cluster) {
			for _, n := range []string{"i0", "i1", "i2"} {
				c.plat.Directory.RemoveInstance(n)
			}
		}, "i0 i1 i2 "},
		{"outage", func(c *cluster) { c.dirs["i0"].SetFaults(memory.Faults{Outage: true}) }, "i0 i1 i2 "},
		{"silence", func(c *cluster) { c.dirs["i0"].SetFaults(memory.Faults{Silent: true}) }, "i0 i1 i2 "},
		{"dead peer still listed", func(c *cluster) { c.kill("i2") }, "i0 i1 "},
		{"leaving peer still listed live", func(c *cluster) { _ = c.groups["i2"].Leave(context.Background()) }, "i0 i1 "},
		{"new peer not yet listed", func(c *cluster) {
			c.plat.Directory.SetLag(time.Hour)
			g := c.start(instance("i3", "x"))
			g.reconcile(platform.Listing{AsOf: time.Now(), Instances: []platform.Instance{instance("i1", "x")}}, time.Now())
		}, "i0 i1 i2 i3 "},
		{"listed instance that does not exist", func(c *cluster) { c.list(instance("i9", "x")) }, "i0 i1 i2 "},
	} {
		in(t, c.name, func(t *testing.T) {
			k := newCluster(t, 3)
			defer k.close()
			time.Sleep(3 * time.Second)
			c.change(k)
			time.Sleep(20 * time.Second)
			So(live(k.groups["i0"]), ShouldEqual, c.want)
		})
	}
}

// owners returns the owner of each of many keys as seen by every group.
func owners(c *cluster) string {
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

// Guards against keys that move back and forth while two instances hear each
// other in one direction only. Without vouchers they do move.
func TestAsymmetricCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		vouchers bool
		dial     bool // one-way cuts also prevent new sessions
	}{{"with vouchers", true, true}, {"without vouchers", false, true}} {
		in(t, c.name, func(t *testing.T) {
			k := newCluster(t, 3, func(g *Group) { g.mute = !c.vouchers })
			defer k.close()
			time.Sleep(3 * time.Second)
			k.net.cut("i0", "i1", true)
			changes, before := 0, owners(k)
			for step := range 600 {
				if step == 400 {
					k.net.cut("i0", "i1", false)
				}
				time.Sleep(50 * time.Millisecond)
				if now := owners(k); now != before {
					changes, before = changes+1, now
				}
			}
			t.Log("changes of ownership seen:", changes)
			if c.vouchers {
				So(changes, ShouldEqual, 0)
			} else {
				So(changes, ShouldBeGreaterThan, 0)
			}
			So(live(k.groups["i0"]), ShouldEqual, "i0 i1 i2 ")
			So(live(k.groups["i1"]), ShouldEqual, "i0 i1 i2 ")
		})
	}
}

// Guards against an instance that, after a pause of its own, takes the silence
// of that time for the death of its peers, and against one that stays dead for
// others although it lives.
func TestPauseAndRefutation(t *testing.T) {
	in(t, "a paused instance returns", func(t *testing.T) {
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
		g.evaluate(time.Now().Add(5 * time.Second)) // the clock jumps over a pause
		So(live(g), ShouldEqual, "i0 i1 i2 ")
		g.mu.Lock()
		g.ticked = time.Now()
		g.mu.Unlock()
		time.Sleep(3 * time.Second)
		So(live(c.groups["i0"]), ShouldEqual, "i0 i1 ")
		c.net.isolate("i2", false)
		took := until(10*time.Second, func() bool { return live(c.groups["i0"]) == "i0 i1 i2 " && live(g) == "i0 i1 i2 " })
		So(took, ShouldBeLessThan, 5*time.Second)
		So(incarnation(), ShouldBeGreaterThan, before)
	})
}

// Guards against instances of other data centres that are missed, kept after
// their death, or lost when a cut between data centres ends.
func TestDataCentres(t *testing.T) {
	in(t, "two data centres", func(t *testing.T) {
		c := emptyCluster(t)
		defer c.close()
		var all []platform.Instance
		for i := range 4 {
			all = append(all, instance(fmt.Sprint("x", i), "x"), instance(fmt.Sprint("y", i), "y"))
		}
		for _, i := range all {
			c.list(i)
		}
		for _, i := range all {
			c.start(i)
		}
		g := c.groups["x0"]
		full := "x0 x1 x2 x3 y0 y1 y2 y3 "
		So(until(20*time.Second, func() bool { return live(g) == full }), ShouldBeLessThan, 5*time.Second)
		time.Sleep(20 * time.Second)
		So(live(g), ShouldEqual, full)
		g.SetConfig(7)
		time.Sleep(6 * time.Second)
		c.kill("y3")
		took := until(time.Minute, func() bool { return live(g) == "x0 x1 x2 x3 y0 y1 y2 " })
		So(took, ShouldBeLessThan, deadAfter+remoteDeadAfter+remoteInterval)
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
		So(until(time.Minute, func() bool { return live(g) == "x0 x1 x2 x3 " }), ShouldBeLessThan, 20*time.Second)
		cut(false)
		So(until(time.Minute, func() bool { return live(g) == "x0 x1 x2 x3 y0 y1 y2 " }), ShouldBeLessThan, 20*time.Second)
	})
}

// Guards against values that are too large for one message and would end every
// session, and against values that are sent again without a change.
func TestValues(t *testing.T) {
	in(t, "values", func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		a, b := c.groups["i0"], c.groups["i1"]
		for k := range 6 {
			a.SetValue(fmt.Sprint(k), make([]byte, maxValue-1))
		}
		a.SetValue("large", make([]byte, maxMessage))
		time.Sleep(6*heartbeatInterval + time.Second)
		for k := range 6 {
			v, ok := b.Value("i0", fmt.Sprint(k))
			So(ok, ShouldBeTrue)
			So(len(v), ShouldEqual, maxValue-1)
		}
		_, ok := b.Value("i0", "large")
		So(ok, ShouldBeFalse)
		a.SetValue("0", nil)
		a.SetValue("1", []byte("x"))
		time.Sleep(time.Second)
		_, ok = b.Value("i0", "0")
		So(ok, ShouldBeFalse)

		before := a.version
		a.SetValue("1", []byte("x"))
		So(a.version, ShouldEqual, before)
	})
}
