package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

// relay passes connections on to a target. Connections that exist when it is
// told to silence them pass nothing any more; new ones work.
type relay struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &relay{listener: l, target: target}
	r.wait.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			epoch := r.epoch.Load()
			r.wait.Go(func() { r.pass(in, out, epoch) })
			r.wait.Go(func() { r.pass(out, in, epoch) })
		}
	})
	return r
}

func (r *relay) pass(from, to net.Conn, epoch int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if r.epoch.Load() != epoch {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// sockets is a set of groups over TCP on loopback.
type sockets struct {
	groups []*Group
	tcp    []*TCP
	relays []*relay
	stop   func()
}

// newSockets starts n instances; centre names the data centre of each.
func newSockets(n int, relays bool, centre func(i int) string) *sockets {
	s := &sockets{}
	p := memory.New(memory.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range n {
		t, err := Listen("127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		self := instance(fmt.Sprint("instance-", i), centre(i))
		self.Peer = t.Addr()
		if relays {
			s.relays = append(s.relays, newRelay(t.Addr()))
			self.Peer = s.relays[i].listener.Addr().String()
		}
		s.tcp = append(s.tcp, t)
		p.Directory.PutInstance(self)
		s.groups = append(s.groups, New(self, p.Directory, t))
	}
	for _, g := range s.groups {
		wait.Go(func() { _ = g.Run(ctx) })
	}
	s.stop = func() {
		cancel()
		wait.Wait()
		for _, t := range s.tcp {
			_ = t.Close()
		}
		for _, r := range s.relays {
			r.close()
		}
	}
	return s
}

func one(int) string { return "x" }

// await polls a condition on the real clock.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (s *sockets) complete() bool {
	for _, g := range s.groups {
		if len(g.Members()) != len(s.groups) {
			return false
		}
	}
	return true
}

// Guards against a connection that goes silent while its sockets stay open:
// it must be replaced before the peer counts as dead, and others must not be
// affected.
func TestSilentConnection(t *testing.T) {
	Convey("Over TCP", t, func() {
		s := newSockets(3, true, one)
		defer s.stop()
		for _, g := range s.groups {
			g.Handle("echo", Typed(echo))
		}
		So(await(10*time.Second, s.complete), ShouldBeTrue)
		call := func(from, to int) error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			v := &schema.Value{Key: "k"}
			return s.groups[from].Call(ctx, fmt.Sprint("instance-", to), "echo", v, v)
		}
		So(call(1, 0), ShouldBeNil)
		So(call(1, 2), ShouldBeNil)

		events, end := s.groups[1].Subscribe()
		defer end()
		for len(events) > 0 {
			<-events
		}
		for _, i := range []int{0, 1} {
			s.relays[i].epoch.Add(1) // silences 0-1, 0-2 and 1-2 as far as dialled there
		}
		err := call(1, 0)
		var unknown *UnknownOutcomeError
		So(errors.As(err, &unknown), ShouldBeTrue)
		begin := time.Now()
		So(await(10*time.Second, func() bool { return call(1, 0) == nil && call(0, 1) == nil }), ShouldBeTrue)
		t.Log("calls work again after", time.Since(begin)+time.Second)
		So(time.Since(begin)+time.Second, ShouldBeLessThan, deadAfter+2*time.Second)
		So(s.complete(), ShouldBeTrue)
	})
}

// Guards against heartbeats that exceed the budget of 2 KB/s for an instance
// among 7. TCP and IP headers are not included.
func TestTraffic(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 6 s on the real clock")
	}
	s := newSockets(7, false, one)
	defer s.stop()
	if !await(10*time.Second, s.complete) {
		t.Fatal("the instances do not find each other")
	}
	time.Sleep(time.Second)
	const budget = 2048
	if rate, _ := s.rate(5 * time.Second); rate > budget {
		t.Errorf("%.0f bytes/s for an instance, want at most %d", rate, budget)
	}
}

// rate returns the bytes sent and received, and the writes, in each second by
// the busiest instance.
func (s *sockets) rate(over time.Duration) (bytes, writes float64) {
	type total struct{ bytes, writes uint64 }
	before := make([]total, len(s.tcp))
	read := func(t *TCP) total {
		sent, received, writes := t.Traffic()
		return total{sent + received, writes}
	}
	for i, t := range s.tcp {
		before[i] = read(t)
	}
	time.Sleep(over)
	for i, t := range s.tcp {
		now := read(t)
		bytes = max(bytes, float64(now.bytes-before[i].bytes)/over.Seconds())
		writes = max(writes, float64(now.writes-before[i].writes)/over.Seconds())
	}
	return bytes, writes
}
