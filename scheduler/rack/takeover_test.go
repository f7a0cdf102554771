package rack

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
)

// entry is an instance with real connections to others and a set of racks.
type entry struct {
	group *member.Group
	set   *Set
	gate  *gate
	stop  func()
}

func newEntry(p *memory.Platform, self platform.Instance, tcp *member.TCP) *entry {
	view := p.View()
	e := &entry{gate: &gate{view: view}, group: member.New(self, view.Directory, tcp)}
	e.set = NewSet(self, e.gate, &desk{open: true}, member.Owner)
	changes, unsubscribe := e.group.Subscribe()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = e.group.Run(ctx) })
	wait.Go(func() { _ = e.set.Run(ctx) })
	wait.Go(func() {
		for {
			select {
			case <-changes:
				l, _ := e.group.Listing()
				e.set.Update(e.group.Members(), l.Workers)
			case <-ctx.Done():
				return
			}
		}
	})
	e.stop = func() {
		unsubscribe()
		cancel()
		wait.Wait()
		_ = tcp.Close()
	}
	return e
}

// holders returns the ready owner of each rack, by the highest generation.
func holders(entries map[string]*entry) map[string]platform.Generation {
	found := map[string]platform.Generation{}
	for _, e := range entries {
		for _, s := range e.set.Summaries() {
			if s.Generation.Compare(found[s.Rack]) > 0 {
				found[s.Rack] = s.Generation
			}
		}
	}
	return found
}

func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Guards against a takeover that takes longer than 3 s from the death of an
// instance to the recovered racks, over real connections.
func TestTakeoverTime(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 4 s on the real clock")
	}
	Convey("Three instances and 9 racks", t, func() {
		const racks = 9
		l := memory.Layout{DataCentres: []string{"x"}, Workers: racks * memory.WorkersPerRack, Accelerators: 8}
		p := memory.New(memory.Config{Workers: l.Build()})
		entries := map[string]*entry{}
		var transports []*member.TCP
		var selves []platform.Instance
		for _, name := range []string{"a", "b", "c"} {
			tcp, err := member.Listen("127.0.0.1:0")
			So(err, ShouldBeNil)
			self := inst(name)
			self.Peer = tcp.Addr()
			p.Directory.PutInstance(self)
			transports, selves = append(transports, tcp), append(selves, self)
		}
		for i, self := range selves {
			entries[self.Name] = newEntry(p, self, transports[i])
		}
		defer func() {
			for _, e := range entries {
				e.stop()
			}
		}()
		// The first instance to settle owns all racks for a moment.
		So(await(10*time.Second, func() bool {
			now := holders(entries)
			for rack, g := range now {
				o, _ := member.Owner(rack, selves)
				if g.Holder != o.Name {
					return false
				}
			}
			return len(now) == racks
		}), ShouldBeTrue)
		before := holders(entries)
		dead := entries["a"]
		mine := 0
		for rack, g := range before {
			if g.Holder != "a" {
				continue
			}
			mine++
			o, _ := dead.set.Owner(rack)
			r := GangRequest{Job: rack, Attempt: 1, Payload: memory.Payload{Seconds: 1000}.Encode()}
			for _, w := range o.Summary().Workers {
				r.Members = append(r.Members, Member{Worker: w.Name, Accelerators: 8})
			}
			So(o.Start(context.Background(), r), ShouldBeNil)
		}
		So(mine, ShouldBeGreaterThan, 0)

		dead.gate.shut()
		delete(entries, "a")
		begin := time.Now()
		go dead.stop()
		So(await(10*time.Second, func() bool { return len(holders(entries)) == racks }), ShouldBeTrue)
		took := time.Since(begin)
		t.Log("racks taken over:", mine, "after", took)
		So(took, ShouldBeLessThan, 3*time.Second)
		for rack, g := range holders(entries) {
			if before[rack].Holder != "a" {
				So(g, ShouldResemble, before[rack])
				continue
			}
			o, _ := entries[g.Holder].set.Owner(rack)
			So(o.Summary().Running, ShouldHaveLength, 1)
		}
	})
}
