package depot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/platform/remote"
)

// callTimeout limits calls that are expected to succeed.
const callTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	hideTransportInfoLogs()
	m.Run()
}

func parseOptions(args ...string) (*Options, error) {
	var o Options
	_, err := kong.Must(&o, kong.Exit(func(int) {})).Parse(args)
	return &o, err
}

// startServer runs a server until the test ends and returns it with its base URL.
func startServer(t *testing.T, args ...string) (*Server, string) {
	o, err := parseOptions(append(args, "--listen=127.0.0.1:0", "--data-centres=a,b", "--workers=9", "--directory-lag=0s")...)
	convey.So(err, convey.ShouldBeNil)
	srv, err := New(o)
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v, want context.Canceled", err)
		}
	})
	return srv, "http://" + srv.Address()
}

func postJSON(url, body string, result any) int {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = response.Body.Close() }()
	convey.So(json.NewDecoder(response.Body).Decode(result), convey.ShouldBeNil)
	return response.StatusCode
}

func quickRequest(id string) platform.Request {
	return platform.Request{
		Ref:      platform.RequestRef{ID: id, Attempt: 1},
		Deadline: time.Now().Add(callTimeout),
		Payload:  memory.Payload{Echo: id}.Encode(),
	}
}

// Guards against workers that the remote adapters cannot reach, at an address of
// their own or at the shared main address.
func TestServices(t *testing.T) {
	for _, args := range [][]string{nil, {"--shared"}} {
		convey.Convey(fmt.Sprint("Served with ", args), t, func() {
			srv, url := startServer(t, args...)
			p := remote.New(url, remote.Options{})
			listing, err := p.Directory.List(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(listing.Workers, convey.ShouldHaveLength, 18)
			convey.So(listing.Workers[8].Rack, convey.ShouldEqual, "a-r01")
			w, err := p.Fleet.Worker("b-w003")
			convey.So(err, convey.ShouldBeNil)
			answer, err := w.Run(t.Context(), quickRequest("x"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(answer.Content), convey.ShouldEqual, "x")
			convey.So(srv.summariseStarts(true).Starts, convey.ShouldHaveLength, 1)
		})
	}
}

// Guards against control requests that are accepted but have no effect.
func TestControl(t *testing.T) {
	convey.Convey("Control requests", t, func() {
		srv, url := startServer(t)
		for _, c := range []struct {
			path, body string
			status     int
			changed    int
		}{
			{"faults", `{"service":"table","outage":true}`, 200, 1},
			{"faults", `{"service":"worker","rack":"a-r00","delay":"1ms"}`, 200, 8},
			{"faults", `{"service":"disk"}`, 400, 0},
			{"faults", `{"service":"table","delay":"soon"}`, 400, 0},
			{"faults", `{"service":"table","broken":true}`, 400, 0},
			{"workers", `{"centre":"b","action":"crash"}`, 200, 9},
			{"workers", `{"worker":"a-w000","action":"leave"}`, 200, 1},
			{"workers", `{"worker":"a-w001","action":"speed","value":0}`, 400, 0},
			{"workers", `{"worker":"none","action":"leave"}`, 400, 0},
			{"workers", `{"worker":"a-w001","action":"explode"}`, 400, 0},
			{"instances", `{"name":"i","centre":"a","state":"leaving"}`, 200, 1},
			{"instances", `{}`, 400, 0},
			{"directory", `{"lag":"0s"}`, 200, 1},
		} {
			var response changedResponse
			convey.So(postJSON(url+"/control/"+c.path, c.body, &response), convey.ShouldEqual, c.status)
			convey.So(response.Changed, convey.ShouldEqual, c.changed)
		}
		convey.So(srv.platform.Table.Faults(), convey.ShouldResemble, memory.Faults{Outage: true})
		listing, err := remote.New(url, remote.Options{}).Directory.List(t.Context())
		convey.So(err, convey.ShouldBeNil)
		convey.So(listing.Workers, convey.ShouldHaveLength, 9)
		convey.So(listing.Workers[0].State, convey.ShouldEqual, platform.StateLeaving)
		convey.So(listing.Instances[0].State, convey.ShouldEqual, platform.StateLeaving)
	})
}

// Guards against a client that reuses another silent connection after a call on
// the first one has exceeded its deadline.
func TestSilentConnection(t *testing.T) {
	convey.Convey("After the open connections went silent", t, func() {
		_, url := startServer(t)
		w, err := remote.New(url, remote.Options{}).Fleet.Worker("a-w000")
		convey.So(err, convey.ShouldBeNil)
		var group errgroup.Group
		for _, id := range []string{"a", "b"} {
			r := quickRequest(id)
			r.Payload = memory.Payload{Seconds: 2}.Encode() // long enough that both calls overlap and use a connection each
			group.Go(func() error {
				_, err := w.Run(t.Context(), r)
				return err
			})
		}
		convey.So(group.Wait(), convey.ShouldBeNil)
		var response changedResponse
		postJSON(url+"/control/workers", `{"worker":"a-w000","action":"silence","value":1}`, &response)
		convey.So(response.Changed, convey.ShouldEqual, 2)
		shortCtx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = w.Run(shortCtx, quickRequest("lost"))
		convey.So(errors.As(err, new(*platform.UnknownOutcomeError)), convey.ShouldBeTrue)
		ctx, stop := context.WithTimeout(t.Context(), callTimeout)
		defer stop()
		_, err = w.Run(ctx, quickRequest("after"))
		convey.So(err, convey.ShouldBeNil)
	})
}

// Guards against a worker that accepts more connections than its limit.
func TestConnectionLimit(t *testing.T) {
	convey.Convey("A connection beyond the limit is closed", t, func() {
		srv, _ := startServer(t, "--connections=2")
		var conns []net.Conn
		for range 3 {
			c, err := net.Dial("tcp", srv.workers["a-w000"].Addr().String())
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			conns = append(conns, c)
		}
		convey.So(conns[2].SetReadDeadline(time.Now().Add(callTimeout)), convey.ShouldBeNil)
		_, err := conns[2].Read(make([]byte, 1))
		var netErr net.Error
		convey.So(errors.As(err, &netErr) && netErr.Timeout(), convey.ShouldBeFalse)
	})
}

// Guards against validation that reports only the first invalid flag.
func TestInvalidOptions(t *testing.T) {
	_, err := parseOptions("--listen=0.0.0.0:1", "--workers=0", "--failure-rate=2")
	for _, flag := range []string{"--listen", "--workers", "--failure-rate"} {
		if err == nil || !strings.Contains(err.Error(), flag) {
			t.Errorf("error does not mention %s: %v", flag, err)
		}
	}
	o, err := parseOptions(`--instances=[{"name":"i","weight":2}]`)
	if err != nil || len(o.Instances) != 1 || o.Instances[0].Weight != 2 {
		t.Errorf("got instances %v and error %v", o.Instances, err)
	}
}
