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

// patience bounds calls that are expected to succeed.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	quiet()
	m.Run()
}

func parse(args ...string) (*Options, error) {
	var o Options
	_, err := kong.Must(&o, kong.Exit(func(int) {})).Parse(args)
	return &o, err
}

// start runs a depot until the test ends and returns its base URL.
func start(t *testing.T, args ...string) (*Server, string) {
	o, err := parse(append(args, "--listen=127.0.0.1:0", "--data-centres=a,b", "--workers=9", "--directory-lag=0s")...)
	convey.So(err, convey.ShouldBeNil)
	d, err := New(o)
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("stopped with %v", err)
		}
	})
	return d, "http://" + d.Address()
}

func post(url, body string, answer any) int {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = response.Body.Close() }()
	convey.So(json.NewDecoder(response.Body).Decode(answer), convey.ShouldBeNil)
	return response.StatusCode
}

func quick(id string) platform.Request {
	return platform.Request{
		Ref:      platform.RequestRef{ID: id, Attempt: 1},
		Deadline: time.Now().Add(patience),
		Payload:  memory.Payload{Echo: id}.Encode(),
	}
}

// Guards against a way of serving workers that the adapters cannot reach.
func TestServices(t *testing.T) {
	for _, args := range [][]string{nil, {"--shared"}} {
		convey.Convey(fmt.Sprint("Served with ", args), t, func() {
			d, url := start(t, args...)
			p := remote.New(url, remote.Options{})
			shown, err := p.Directory.List(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(shown.Workers, convey.ShouldHaveLength, 18)
			convey.So(shown.Workers[8].Rack, convey.ShouldEqual, "a-r01")
			w, err := p.Fleet.Worker("b-w003")
			convey.So(err, convey.ShouldBeNil)
			a, err := w.Run(t.Context(), quick("x"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(a.Content), convey.ShouldEqual, "x")
			convey.So(d.starts(true).Starts, convey.ShouldHaveLength, 1)
		})
	}
}

// Guards against control requests that are accepted without an effect.
func TestControl(t *testing.T) {
	convey.Convey("Control requests", t, func() {
		d, url := start(t)
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
			var a changedAnswer
			convey.So(post(url+"/control/"+c.path, c.body, &a), convey.ShouldEqual, c.status)
			convey.So(a.Changed, convey.ShouldEqual, c.changed)
		}
		convey.So(d.platform.Table.Faults(), convey.ShouldResemble, memory.Faults{Outage: true})
		shown, err := remote.New(url, remote.Options{}).Directory.List(t.Context())
		convey.So(err, convey.ShouldBeNil)
		convey.So(shown.Workers, convey.ShouldHaveLength, 9)
		convey.So(shown.Workers[0].State, convey.ShouldEqual, platform.StateLeaving)
		convey.So(shown.Instances[0].State, convey.ShouldEqual, platform.StateLeaving)
	})
}

// Guards against a client that takes another silent connection after the first
// one has cost a call its deadline.
func TestSilentConnection(t *testing.T) {
	convey.Convey("After the open connections went silent", t, func() {
		_, url := start(t)
		w, err := remote.New(url, remote.Options{}).Fleet.Worker("a-w000")
		convey.So(err, convey.ShouldBeNil)
		var group errgroup.Group
		for _, id := range []string{"a", "b"} {
			r := quick(id)
			r.Payload = memory.Payload{Seconds: 2}.Encode() // takes two connections
			group.Go(func() error {
				_, err := w.Run(t.Context(), r)
				return err
			})
		}
		convey.So(group.Wait(), convey.ShouldBeNil)
		var a changedAnswer
		post(url+"/control/workers", `{"worker":"a-w000","action":"silence","value":1}`, &a)
		convey.So(a.Changed, convey.ShouldEqual, 2)
		short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = w.Run(short, quick("lost"))
		convey.So(errors.As(err, new(*platform.UnknownOutcomeError)), convey.ShouldBeTrue)
		ctx, stop := context.WithTimeout(t.Context(), patience)
		defer stop()
		_, err = w.Run(ctx, quick("after"))
		convey.So(err, convey.ShouldBeNil)
	})
}

// Guards against a worker that accepts more connections than it has.
func TestConnectionLimit(t *testing.T) {
	convey.Convey("A connection beyond the limit is closed", t, func() {
		d, _ := start(t, "--connections=2")
		var all []net.Conn
		for range 3 {
			c, err := net.Dial("tcp", d.workers["a-w000"].Addr().String())
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			all = append(all, c)
		}
		convey.So(all[2].SetReadDeadline(time.Now().Add(patience)), convey.ShouldBeNil)
		_, err := all[2].Read(make([]byte, 1))
		var timeout net.Error
		convey.So(errors.As(err, &timeout) && timeout.Timeout(), convey.ShouldBeFalse)
	})
}

// Guards against settings that are refused one at a time.
func TestInvalidOptions(t *testing.T) {
	_, err := parse("--listen=0.0.0.0:1", "--workers=0", "--failure-rate=2")
	for _, flag := range []string{"--listen", "--workers", "--failure-rate"} {
		if err == nil || !strings.Contains(err.Error(), flag) {
			t.Errorf("%s is missing in %v", flag, err)
		}
	}
	o, err := parse(`--instances=[{"name":"i","weight":2}]`)
	if err != nil || len(o.Instances) != 1 || o.Instances[0].Weight != 2 {
		t.Errorf("got %v, %v", o.Instances, err)
	}
}
