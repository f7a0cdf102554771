package quote

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// base is an alias, so that the name of the embedded field does not conflict
// with the method Worker.
type base = platform.Worker

// instantFleet is a fleet whose workers answer immediately.
type instantFleet struct{ base }

func (f instantFleet) Worker(string) (platform.Worker, error) { return f, nil }

func (instantFleet) Run(_ context.Context, r platform.Request) (platform.Answer, error) {
	return platform.Answer{Ref: r.Ref, Sum: xxhash.Sum64(nil), Load: platform.Load{Slots: 8}}, nil
}

// BenchmarkRouter measures the overhead of the router per request.
func BenchmarkRouter(b *testing.B) {
	for _, p := range []Policy{PolicyChoices, PolicyTwoChoices, PolicyBest, PolicyRoundRobin} {
		for _, n := range []int{10, 50, 650} {
			b.Run(fmt.Sprintf("%s/%d", p, n), func(b *testing.B) {
				s := newSite(n, 1, 1)
				r := New(Dependencies{Self: self(0), Fleet: instantFleet{}, View: s}, Options{Policy: p, Seed: 1})
				q := Request{ID: "q", Team: "t0", Template: "p", Deadline: time.Now().Add(time.Hour), Idempotent: true}
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if _, err := r.Do(context.Background(), q); err != nil {
							b.Error(err)
						}
					}
				})
			})
		}
	}
}
