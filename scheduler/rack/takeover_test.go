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

// join lets the set of an instance follow its group over TCP. It returns the
// function that ends the group.
func (s *sets) join(self platform.Instance, tcp *member.TCP) (leave func()) {
	group, set := member.New(self, s.p.View().Directory, tcp), s.all[self.Name]
	changes, unsubscribe := group.Subscribe()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = group.Run(ctx) })
	wait.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-changes:
				l, _ := group.Listing()
				set.Update(group.Members(), l.Workers)
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

// Guards against a takeover that takes longer than 3 s from the death of an
// instance to the recovered racks, over real connections.
func TestTakeoverTime(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 4 s on the real clock")
	}
	Convey("Three instances and 9 racks", t, func() {
		s := newSets(9, "a", "b", "c")
		defer s.close()
		transports := map[string]*member.TCP{}
		selves := map[string]platform.Instance{}
		for name := range s.all {
			tcp, err := member.Listen("127.0.0.1:0")
			So(err, ShouldBeNil)
			self := inst(name)
			self.Peer = tcp.Addr()
			s.p.Directory.PutInstance(self)
			transports[name], selves[name] = tcp, self
		}
		leave := map[string]func(){}
		for name, self := range selves {
			leave[name] = s.join(self, transports[name])
		}
		defer leave["b"]()
		defer leave["c"]()
		So(until(10*time.Second, func() bool { return s.follows("a", "b", "c") }), ShouldBeLessThan, 10*time.Second)
		before, _ := s.owners()
		mine := 0
		for rack, sum := range before {
			if o, ok := s.all["a"].Owner(rack); ok {
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
		s.kill("a")
		until(10*time.Second, func() bool { return s.follows("b", "c") })
		took := time.Since(begin)
		t.Log("racks taken over:", mine, "after", took)
		So(took, ShouldBeLessThan, 3*time.Second)
		after, _ := s.owners()
		So(s.compare(before, after, "a"), ShouldEqual, mine)
		recovered := ""
		for _, sum := range after {
			for _, r := range sum.Running {
				recovered += fmt.Sprint(len(r.Accelerators))
			}
		}
		So(recovered, ShouldHaveLength, mine)
	})
}
