package rack

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// cluster holds the managers of several instances that share the same workers.
type cluster struct {
	memoryPlatform *memory.Platform
	managers       map[string]*Manager
	proxies        map[string]*faultProxy
	stops          map[string]func()
}

func newCluster(racks int, names ...string) *cluster {
	l := memory.Layout{DataCentres: []string{"x"}, Workers: racks * memory.WorkersPerRack, Accelerators: 8}
	c := &cluster{
		memoryPlatform: memory.New(memory.Config{Workers: l.Build()}),
		managers:       map[string]*Manager{},
		proxies:        map[string]*faultProxy{},
		stops:          map[string]func(){},
	}
	for _, n := range names {
		c.start(n)
	}
	return c
}

func (c *cluster) start(name string) { c.startWith(name, &outcomeRecorder{accepting: true}) }

func (c *cluster) startWith(name string, handler OutcomeHandler) {
	proxy := &faultProxy{view: c.memoryPlatform.View()}
	manager := NewManager(newInstance(name), proxy, handler, member.Owner)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = manager.Run(ctx)
	}()
	c.managers[name], c.proxies[name] = manager, proxy
	c.stops[name] = func() {
		cancel()
		<-ended
	}
}

func (c *cluster) kill(name string) {
	c.proxies[name].disconnect()
	c.stops[name]()
	delete(c.managers, name)
	delete(c.stops, name)
}

func (c *cluster) close() {
	for _, stop := range c.stops {
		stop()
	}
}

func newInstance(name string) platform.Instance {
	return platform.Instance{Name: name, DataCentre: "x", Weight: 1, State: platform.StateLive}
}

// setMembers sets the members that an instance knows. A minus before a name marks a
// leaving member.
func (c *cluster) setMembers(name string, members ...string) {
	var all []platform.Instance
	for _, m := range members {
		i := newInstance(strings.TrimPrefix(m, "-"))
		if i.Name != m {
			i.State = platform.StateLeaving
		}
		all = append(all, i)
	}
	c.managers[name].Update(all, workersOf(c.memoryPlatform))
}

// owners returns the summary of the ready owner of each rack, and whether each rack
// has exactly one.
func (c *cluster) owners() (map[string]Summary, bool) {
	found := map[string]Summary{}
	single := true
	for _, manager := range c.managers {
		for _, sum := range manager.Summaries() {
			other, twice := found[sum.Rack]
			single = single && !twice
			// A superseded owner may not know yet that it is superseded.
			if sum.Generation.Compare(other.Generation) > 0 {
				found[sum.Rack] = sum
			}
		}
	}
	for _, manager := range c.managers {
		return found, single && len(found) > 0 && len(found) == len(manager.Racks())
	}
	return found, false
}

func (c *cluster) eachRackOwned() bool {
	_, ok := c.owners()
	return ok
}

// matchesAssignment reports whether each rack has exactly the owner to which it is
// assigned among the given members.
func (c *cluster) matchesAssignment(names ...string) bool {
	var all []platform.Instance
	for _, n := range names {
		all = append(all, newInstance(n))
	}
	now, ok := c.owners()
	for rack, sum := range now {
		o, _ := member.Owner(rack, all)
		ok = ok && sum.Generation.Holder == o.Name
	}
	return ok
}

// Guards against racks that change their owner unnecessarily, and against slow
// takeovers, including those with a worker that does not answer.
func TestSetFollowsMembers(t *testing.T) {
	inVirtualTime(t, "an instance dies, returns and leaves", func() {
		c := newCluster(12, "a", "b", "c")
		defer c.close()
		for _, n := range []string{"a", "b", "c"} {
			c.setMembers(n, "a", "b", "c")
		}
		So(waitUntil(5*time.Second, c.eachRackOwned), ShouldBeLessThan, time.Second)
		before, _ := c.owners()
		for i := range 12 {
			rack := fmt.Sprintf("x-r%02d", i)
			o, _ := c.managers[before[rack].Generation.Holder].Owner(rack)
			r := GangRequest{Job: rack, Attempt: 1, Payload: memory.Payload{Seconds: 1e6}.Encode(),
				Members: []Member{{Worker: fmt.Sprintf("x-w%03d", 8*i+1), Accelerators: 8}, {Worker: fmt.Sprintf("x-w%03d", 8*i+2), Accelerators: 8}}}
			So(o.Start(context.Background(), r), ShouldBeNil)
		}

		for i := range 12 {
			w := c.memoryPlatform.Fleet.Get(fmt.Sprintf("x-w%03d", 8*i)).Info()
			c.proxies["b"].view.Fleet.Get(w.Name).SetFaults(memory.Faults{Silent: true})
			c.proxies["c"].view.Fleet.Get(w.Name).SetFaults(memory.Faults{Silent: true})
		}
		c.kill("a")
		c.setMembers("b", "b", "c")
		c.setMembers("c", "b", "c")
		took := waitUntil(5*time.Second, func() bool { return c.matchesAssignment("b", "c") })
		t.Log("takeover with a silent worker in each rack:", took)
		So(took, ShouldBeLessThan, 900*time.Millisecond) // of the 3 s, 2.1 s pass before the death is detected
		after, _ := c.owners()
		moved := c.countMoved(before, after, "a")
		So(moved, ShouldBeBetween, 0, 12)
		for _, sum := range after {
			So(sum.Running, ShouldHaveLength, 1)
		}

		c.start("a")
		for n := range c.managers {
			c.setMembers(n, "a", "b", "c")
		}
		took = waitUntil(5*time.Second, func() bool { return c.matchesAssignment("a", "b", "c") })
		t.Log("hand-over to the returned instance:", took)
		back, _ := c.owners()
		So(took, ShouldBeLessThan, time.Second)
		So(c.countMoved(after, back, ""), ShouldEqual, moved)

		// A start in progress is completed before the hand-over.
		started, left := make(chan error), make(chan error)
		for rack, sum := range back {
			if o, ok := c.managers["a"].Owner(rack); ok {
				slow, fast := sum.Workers[3].Name, sum.Workers[4].Name
				c.proxies["a"].view.Fleet.Get(slow).SetFaults(memory.Faults{Delay: 300 * time.Millisecond})
				r := GangRequest{Job: "late", Members: []Member{{Worker: slow, Accelerators: 8}, {Worker: fast, Accelerators: 8}}, Payload: memory.Payload{Seconds: 1e6}.Encode()}
				go func() { started <- o.Start(context.Background(), r) }()
				break
			}
		}
		go func() {
			time.Sleep(50 * time.Millisecond)
			left <- c.managers["a"].Leave(context.Background())
		}()
		time.Sleep(50 * time.Millisecond)
		for _, n := range []string{"b", "c"} {
			c.setMembers(n, "-a", "b", "c")
		}
		So(<-started, ShouldBeNil)
		So(<-left, ShouldBeNil)
		So(waitUntil(5*time.Second, func() bool { return c.matchesAssignment("b", "c") }), ShouldBeLessThan, time.Second)
		final, _ := c.owners()
		So(c.countMoved(back, final, "a"), ShouldEqual, moved)
		running := 0
		for _, sum := range final {
			running += len(sum.Running)
		}
		So(running, ShouldEqual, 13)
	})
}

// countMoved returns the number of racks whose owner changed. If gone is given, it
// also checks that only racks of that instance changed.
func (c *cluster) countMoved(before, after map[string]Summary, gone string) (moved int) {
	for rack, old := range before {
		if after[rack].Generation == old.Generation {
			continue
		}
		moved++
		if gone != "" {
			So(old.Generation.Holder, ShouldEqual, gone)
		}
	}
	return moved
}

// Guards against a rack that two instances repeatedly take from each other, because
// they disagree on the members but both reach the workers.
func TestCutDoesNotFlap(t *testing.T) {
	for _, tc := range []struct {
		name         string
		views        map[string][]string
		holdDisabled bool
		limit        int
	}{
		{"one-way cut", map[string][]string{"a": {"a", "b"}, "b": {"b"}}, false, 1},
		{"two-way cut", map[string][]string{"a": {"a"}, "b": {"b"}}, false, 1},
		{"two-way cut without hold", map[string][]string{"a": {"a"}, "b": {"b"}}, true, 1},
	} {
		inVirtualTime(t, tc.name, func() {
			c := newCluster(4, "a", "b")
			defer c.close()
			for n, manager := range c.managers {
				manager.holdDisabled = tc.holdDisabled
				c.setMembers(n, "a", "b")
			}
			So(waitUntil(5*time.Second, c.eachRackOwned), ShouldBeLessThan, time.Second)
			for n, v := range tc.views {
				c.setMembers(n, v...)
			}
			before, _ := c.owners()
			changes := 0
			for range 5 * 60 * 10 {
				time.Sleep(100 * time.Millisecond)
				now, _ := c.owners()
				for rack, sum := range now {
					if sum.Generation.Holder != before[rack].Generation.Holder {
						changes++
					}
					before[rack] = sum
				}
			}
			t.Log("owner changes of 4 racks in 5 min:", changes)
			if tc.holdDisabled {
				So(changes, ShouldBeGreaterThan, 4*tc.limit)
				return
			}
			So(changes, ShouldBeLessThanOrEqualTo, 4*tc.limit)
			for n := range c.managers {
				c.setMembers(n, "a", "b")
			}
			So(waitUntil(5*time.Second, func() bool { return c.matchesAssignment("a", "b") }), ShouldBeLessThan, 2*time.Second)
		})
	}
}
