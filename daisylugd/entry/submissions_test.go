package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisylug.example/scheduler/member"
	"daisylug.example/scheduler/platform"
)

// Guards against more submissions on their way than the planner has memory for, and
// against some that wait although there is room.
func TestSubmissionBudget(t *testing.T) {
	const limit, callers, size = 100, 50, 30
	var b submissionBudget
	var held, highest atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			if !b.acquire(t.Context(), size, limit) {
				t.Error("no room although others have released theirs")
				return
			}
			n := held.Add(size)
			for h := highest.Load(); n > h && !highest.CompareAndSwap(h, n); h = highest.Load() {
			}
			time.Sleep(time.Millisecond)
			held.Add(-size)
			b.release(size)
		})
	}
	group.Wait()
	if n := highest.Load(); n > limit || n <= limit/2 {
		t.Errorf("at most %d bytes were held, want up to %d", n, limit)
	}
	if !b.acquire(t.Context(), 2*limit, limit) {
		t.Error("a submission above the limit does not pass alone")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if b.acquire(ctx, 1, limit) {
		t.Error("another one passes beside it")
	}
	b.release(2 * limit)
	if b.held != 0 {
		t.Errorf("%d bytes are still held", b.held)
	}
}

// Guards against an instance that has just started, knows only itself and passes on what
// all instances together may, while the others do the same.
func TestSubmissionLimitOfAnInstanceThatHasJustStarted(t *testing.T) {
	const memory = 96 << 20
	share := submissionShare * float64(memory)
	for name, c := range map[string]struct {
		age  time.Duration
		want int64
	}{
		"just started": {0, minSubmissionBytes}, "before the second listing": {membershipTime - time.Millisecond, minSubmissionBytes},
		"after it": {membershipTime, int64(share)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Server{settings: Settings{Memory: memory}, group: member.New(platform.Instance{Name: "a"}, nil, nil)}
				e.othersKnownAt = time.Now().Add(membershipTime)
				time.Sleep(c.age)
				if got := e.submissionLimit(); got != c.want {
					t.Errorf("%d bytes, want %d", got, c.want)
				}
			})
		})
	}
}
