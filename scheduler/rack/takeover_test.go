package rack

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// join connects the manager of an instance to a member group over TCP. The returned
// function leaves the group.
func (c *cluster) join(self platform.Instance, tcp *member.TCP) (leave func()) {
	group, manager := member.New(self, c.memoryPlatform.View().Directory, tcp), c.managers[self.Name]
	changes, unsubscribe := group.Subscribe()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = group.Run(ctx) })
	wait.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-changes:
				l, _ := group.Listing()
				manager.Update(group.Members(), l.Workers)
			case <-ctx.Done():
			}
		}
	})
	return func() {
		unsubscribe()
		cancel()
		wait.Wait()
		_ = tcp.Close()
	}
}

// Guards against a takeover over real connections that takes longer than 3 s from
// the death of an instance to the recovery of its racks.
func TestTakeoverTime(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 4 s on the real clock")
	}
	Convey("Three instances and 9 racks", t, func() {
		c := newCluster(9, "a", "b", "c")
		defer c.close()
		transports := map[string]*member.TCP{}
		selves := map[string]platform.Instance{}
		for name := range c.managers {
			tcp, err := member.Listen("127.0.0.1:0")
			So(err, ShouldBeNil)
			self := newInstance(name)
			self.Peer = tcp.Addr()
			c.memoryPlatform.Directory.PutInstance(self)
			transports[name], selves[name] = tcp, self
		}
		leave := map[string]func(){}
		for name, self := range selves {
			leave[name] = c.join(self, transports[name])
		}
		defer leave["b"]()
		defer leave["c"]()
		So(waitUntil(10*time.Second, func() bool { return c.matchesAssignment("a", "b", "c") }), ShouldBeLessThan, 10*time.Second)
		before, _ := c.owners()
		mine := 0
		for rack, sum := range before {
			if o, ok := c.managers["a"].Owner(rack); ok {
				mine++
				r := GangRequest{Job: rack, Attempt: 1, Payload: memory.Payload{Seconds: 1000}.Encode()}
				for _, w := range sum.Workers {
					r.Members = append(r.Members, Member{Worker: w.Name, Accelerators: 8})
				}
				So(o.Start(context.Background(), r), ShouldBeNil)
			}
		}
		So(mine, ShouldBeGreaterThan, 0)

		begin := time.Now()
		go leave["a"]()
		c.kill("a")
		waitUntil(10*time.Second, func() bool { return c.matchesAssignment("b", "c") })
		took := time.Since(begin)
		t.Log("racks taken over:", mine, "after", took)
		So(took, ShouldBeLessThan, 3*time.Second)
		after, _ := c.owners()
		So(c.countMoved(before, after, "a"), ShouldEqual, mine)
		recovered := ""
		for _, sum := range after {
			for _, r := range sum.Running {
				recovered += fmt.Sprint(len(r.Accelerators))
			}
		}
		So(recovered, ShouldHaveLength, mine)
	})
}
