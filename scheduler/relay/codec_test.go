package relay

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/uptime"
)

func TestFailuresKeepTheirMeaning(t *testing.T) {
	c := &schema.RelayCall{Id: 3}
	for _, err := range []error{
		&platform.FencedError{Clock: time.Second}, &platform.StaleRunError{Clock: time.Second},
		&platform.LeaseExpiredError{Clock: time.Second}, &platform.NoCapacityError{Clock: time.Second},
		&platform.TicketError{Clock: time.Second}, &platform.UnhealthyError{Status: 503}, &platform.RestartedError{},
		&platform.RejectedError{Status: 400, Reason: "no"}, &platform.EvacuatedError{DataCentre: "a"},
	} {
		if got := decodeFailure(encodeFailure(c, err)); !reflect.DeepEqual(got, err) {
			t.Errorf("%#v was decoded as %#v", err, got)
		}
	}
	var unavailable *platform.UnavailableError
	if got := decodeFailure(encodeFailure(c, &platform.UnavailableError{Service: "worker"})); !errors.As(got, &unavailable) {
		t.Errorf("unavailable error was decoded as %v", got)
	}
	var unknown *platform.UnknownOutcomeError
	for _, a := range []*schema.RelayAnswer{encodeFailure(c, errors.New("anything")), {Failure: 99}} {
		if got := decodeFailure(a); !errors.As(got, &unknown) {
			t.Errorf("%v was decoded as %v", a, got)
		}
	}
}

func TestStateIsKept(t *testing.T) {
	want := platform.RunnerState{
		Clock: 5 * time.Second, Incarnation: 9,
		Running: []platform.RunningTask{{Run: run(1), Checkpoint: "c", Progress: 0.5, TailLatency: 20 * time.Millisecond}},
		Ended:   []platform.EndedTask{{Sequence: 4, Run: run(2), Outcome: platform.RunFailed, Checkpoint: "d"}},
	}
	a := &schema.RelayAnswer{Clock: 5000}
	encodeState(a, want)
	if got := decodeState(a); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// FuzzExchange executes requests of other versions and corrupted requests.
func FuzzExchange(f *testing.F) {
	good, err := proto.Marshal(&schema.RelayRequest{Session: 1, Payloads: []string{"1s"}, Calls: []*schema.RelayCall{
		{Id: 1, Worker: "w0", Order: schema.RelayOrder_RELAY_ORDER_START, Run: encodeRun(run(0)), Payload: 1, Budget: 50},
		{Id: 2, Worker: "w0", Order: schema.RelayOrder_RELAY_ORDER_HOLD, Budget: 50},
		{Id: 3, Worker: "none", Order: 17, Payload: -5, Budget: 50},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := &schema.RelayRequest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		w := newWorkers(1)
		srv := NewServer(singleRunner{w["w0"]}, allowStarts, klog.Background())
		for _, c := range m.GetCalls() {
			c.Budget = min(c.GetBudget(), 5)
			_ = decodeFailure(srv.execute(c, "", uptime.Now()))
		}
	})
}

// singleRunner is a dialer that returns the same runner for every worker.
type singleRunner struct{ runner platform.Runner }

func (a singleRunner) Runner(platform.RunnerInfo) platform.Runner { return a.runner }
