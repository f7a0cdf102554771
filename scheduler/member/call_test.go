package member

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

type kindError struct{ error }

func (kindError) Kind() string { return "full" }

func echo(_ context.Context, _ platform.Instance, v *schema.Value) (proto.Message, error) {
	return v, nil
}

// TestCallErrors checks that the error of a call tells whether its handler has
// run.
func TestCallErrors(t *testing.T) {
	runInVirtualTime(t, "calls", func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		g, ran := c.groups["i1"], &atomic.Int64{}
		g.Handle("echo", Typed(echo))
		g.Handle("fail", func(context.Context, platform.Instance, []byte) (proto.Message, error) {
			return nil, kindError{errors.New("no room")}
		})
		g.Handle("refuse", func(context.Context, platform.Instance, []byte) (proto.Message, error) {
			return nil, &RefusedError{Kind: "owner", Message: "not mine"}
		})
		g.Handle("panic", func(context.Context, platform.Instance, []byte) (proto.Message, error) {
			var none []int
			return nil, kindError{errors.New(string(rune(none[3])))}
		})
		g.Handle("slow", func(ctx context.Context, _ platform.Instance, _ []byte) (proto.Message, error) {
			ran.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		call := func(to, method string, v *schema.Value, limit time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			return c.groups["i0"].Call(ctx, to, method, v, v)
		}
		small, large := &schema.Value{Key: "k"}, &schema.Value{Content: make([]byte, maxMessageSize)}
		So(call("i1", "echo", small, time.Second), ShouldBeNil)
		var panicked *RemoteError
		So(errors.As(call("i1", "panic", small, time.Second), &panicked), ShouldBeTrue)
		So(call("i1", "echo", small, time.Second), ShouldBeNil)

		var notExecuted *NotExecutedError
		for _, err := range []error{
			call("i7", "echo", small, time.Second),
			call("i1", "echo", large, time.Second),
			call("i1", "none", small, time.Second),
			call("i1", "refuse", small, time.Second),
			call("i1", "echo", small, -time.Second),
		} {
			So(errors.As(err, &notExecuted), ShouldBeTrue)
		}
		var remote *RemoteError
		So(errors.As(call("i1", "fail", small, time.Second), &remote), ShouldBeTrue)
		So(remote.Kind, ShouldEqual, "full")

		// The handler gets the deadline of the caller and ends by itself.
		var unknown *UnknownOutcomeError
		begin := time.Now()
		err := call("i1", "slow", small, 300*time.Millisecond)
		So(errors.As(err, &unknown) || errors.As(err, &remote), ShouldBeTrue)
		So(time.Since(begin), ShouldBeBetween, 299*time.Millisecond, 400*time.Millisecond)
		So(ran.Load(), ShouldEqual, 1)

		// A session that stalls during a call ends the call when it is replaced.
		time.AfterFunc(time.Second, func() {
			c.net.cut("i0", "i1", true)
			c.net.cut("i1", "i0", true)
		})
		time.AfterFunc(1500*time.Millisecond, func() {
			c.net.cut("i0", "i1", false)
			c.net.cut("i1", "i0", false)
		})
		begin = time.Now()
		err = call("i1", "slow", small, time.Minute)
		So(errors.As(err, &unknown), ShouldBeTrue)
		So(time.Since(begin), ShouldBeLessThan, 5*time.Second)
		So(liveNames(c.groups["i0"]), ShouldEqual, "i0 i1 ")
		So(strings.Contains(err.Error(), "unknown"), ShouldBeTrue)
	})
}
