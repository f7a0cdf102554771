package quote

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylug.example/scheduler/platform"
)

// base embeds platform.Worker under a name that leaves room for the method.
type base = platform.Worker

// instant is a fleet whose workers answer at once.
type instant struct{ base }

func (f instant) Worker(string) (platform.Worker, error) { return f, nil }

func (instant) Run(_ context.Context, r platform.Request) (platform.Answer, error) {
	return platform.Answer{Ref: r.Ref, Sum: xxhash.Sum64(nil), Load: platform.Load{Slots: 8}}, nil
}

// BenchmarkRouter measures the router's own time for one request.
func BenchmarkRouter(b *testing.B) {
	for _, p := range []Policy{PolicyChoices, PolicyTwoChoices, PolicyBest, PolicyRoundRobin} {
		for _, n := range []int{10, 50, 650} {
			b.Run(fmt.Sprintf("%s/%d", p, n), func(b *testing.B) {
				s := newSite(n, 1, 1)
				r := New(Dependencies{Self: self(0), Fleet: instant{}, View: s}, Options{Policy: p, Seed: 1})
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
