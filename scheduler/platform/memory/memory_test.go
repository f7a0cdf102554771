package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
)

var (
	low  = platform.Generation{Number: 1, Holder: "a"}
	high = platform.Generation{Number: 2, Holder: "b"}
)

func small() *Platform {
	l := Layout{DataCentres: []string{"x"}, Workers: 2, Accelerators: 8, Slots: 2, Connections: 60, Spread: 1}
	return New(Config{Seed: 1, Workers: l.Build(), UsageLag: 5 * time.Second})
}

func reservation(g platform.Generation, job string, p Payload) platform.Reservation {
	return platform.Reservation{
		Generation:   g,
		Task:         platform.TaskRef{Job: job},
		Accelerators: 4,
		Deadline:     time.Now().Add(2 * time.Second),
		Payload:      p.Encode(),
	}
}

// Guards against a holder that was superseded while it was paused and then
// starts a task that its successor starts too.
func TestGenerationPreventsDoubleStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		off     bool
		doubled int
	}{{"checked", false, 0}, {"unchecked", true, 1}} {
		synctest.Test(t, func(t *testing.T) {
			Convey("With generations "+c.name, t, func() {
				p, ctx := small(), context.Background()
				for i, g := range []platform.Generation{high, low} {
					w := p.Fleet.Get("x-w00" + string(rune('0'+i)))
					if c.off {
						w.FenceOff()
					}
					_, err := w.Claim(ctx, platform.Lease{Generation: high})
					So(err, ShouldBeNil)
					r := reservation(g, "job", Payload{Seconds: 1})
					_ = w.Reserve(ctx, r)
					_ = w.Commit(ctx, g, r.Task)
				}
				So(Doubled(p.Fleet.Starts(), true), ShouldHaveLength, c.doubled)
			})
		})
	}
}
