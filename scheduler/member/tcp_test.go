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

// proxy forwards connections to a target. When epoch is incremented, existing
// connections stay open but forward nothing more; new connections work.
type proxy struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &proxy{listener: l, target: target}
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
			r.wait.Go(func() { r.forward(in, out, epoch) })
			r.wait.Go(func() { r.forward(out, in, epoch) })
		}
	})
	return r
}

func (r *proxy) forward(from, to net.Conn, epoch int64) {
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

func (r *proxy) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// tcpCluster is a set of groups connected over TCP on the loopback interface.
type tcpCluster struct {
	groups     []*Group
	transports []*TCP
	proxies    []*proxy
	stop       func()
}

// newTCPCluster starts n instances; centre returns the data centre of each.
func newTCPCluster(n int, withProxies bool, centre func(i int) string) *tcpCluster {
	s := &tcpCluster{}
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
		if withProxies {
			s.proxies = append(s.proxies, newProxy(t.Addr()))
			self.Peer = s.proxies[i].listener.Addr().String()
		}
		s.transports = append(s.transports, t)
		p.Directory.PutInstance(self)
		s.groups = append(s.groups, New(self, p.Directory, t))
	}
	for _, g := range s.groups {
		wait.Go(func() { _ = g.Run(ctx) })
	}
	s.stop = func() {
		cancel()
		wait.Wait()
		for _, t := range s.transports {
			_ = t.Close()
		}
		for _, r := range s.proxies {
			r.close()
		}
	}
	return s
}

func singleDataCentre(int) string { return "x" }

// waitFor polls a condition in real time and reports whether it held within limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (s *tcpCluster) allJoined() bool {
	for _, g := range s.groups {
		if len(g.Members()) != len(s.groups) {
			return false
		}
	}
	return true
}

// TestSilentConnection checks that a connection that stalls while its sockets
// stay open is replaced before the peer is declared dead, and that other
// connections are not affected.
func TestSilentConnection(t *testing.T) {
	Convey("Over TCP", t, func() {
		s := newTCPCluster(3, true, singleDataCentre)
		defer s.stop()
		for _, g := range s.groups {
			g.Handle("echo", Typed(echo))
		}
		So(waitFor(10*time.Second, s.allJoined), ShouldBeTrue)
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
			s.proxies[i].epoch.Add(1) // stalls the sessions 0-1, 0-2 and 1-2 that were dialled through these proxies
		}
		err := call(1, 0)
		var unknown *UnknownOutcomeError
		So(errors.As(err, &unknown), ShouldBeTrue)
		begin := time.Now()
		So(waitFor(10*time.Second, func() bool { return call(1, 0) == nil && call(0, 1) == nil }), ShouldBeTrue)
		t.Log("calls succeeded again after", time.Since(begin)+time.Second)
		So(time.Since(begin)+time.Second, ShouldBeLessThan, deadTimeout+2*time.Second)
		So(s.allJoined(), ShouldBeTrue)
	})
}

// TestTraffic checks that heartbeats stay within the budget of 2 KB/s per
// instance in a group of 7. TCP and IP headers are not included.
func TestTraffic(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 6 s on the real clock")
	}
	s := newTCPCluster(7, false, singleDataCentre)
	defer s.stop()
	if !waitFor(10*time.Second, s.allJoined) {
		t.Fatal("not all instances became members in time")
	}
	time.Sleep(time.Second)
	const budget = 2048
	if rate, _ := s.rate(5 * time.Second); rate > budget {
		t.Errorf("%.0f bytes/s at the busiest instance, want at most %d", rate, budget)
	}
}

// rate returns the bytes sent and received per second, and the writes per second,
// of the busiest instance.
func (s *tcpCluster) rate(window time.Duration) (bytes, writes float64) {
	type total struct{ bytes, writes uint64 }
	before := make([]total, len(s.transports))
	read := func(t *TCP) total {
		sent, received, writes := t.Traffic()
		return total{sent + received, writes}
	}
	for i, t := range s.transports {
		before[i] = read(t)
	}
	time.Sleep(window)
	for i, t := range s.transports {
		now := read(t)
		bytes = max(bytes, float64(now.bytes-before[i].bytes)/window.Seconds())
		writes = max(writes, float64(now.writes-before[i].writes)/window.Seconds())
	}
	return bytes, writes
}
