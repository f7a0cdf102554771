package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

const (
	stateQueued    = schema.State_STATE_QUEUED
	stateClaimed   = schema.State_STATE_CLAIMED
	stateDone      = schema.State_STATE_DONE
	stateCancelled = schema.State_STATE_CANCELLED
	stateUnknown   = schema.State_STATE_UNKNOWN
)

// scenario runs f with virtual time inside a Convey block.
func scenario(t *testing.T, name string, f func(p *memory.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			scenarioLedgers = nil
			f(memory.New(memory.Config{Seed: 7}))
			for _, l := range scenarioLedgers {
				for !l.committer.idle() {
					time.Sleep(time.Second)
				}
			}
		})
	})
}

// idle reports whether no change is queued or in flight.
func (g *groupCommitter) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.running
}

// scenarioLedgers are the ledgers of the running scenario.
var scenarioLedgers []*Ledger

// newLedgerOnView returns a ledger on a new view of the platform, and the view.
func newLedgerOnView(p *memory.Platform) (*Ledger, *memory.Platform) {
	v := p.View()
	return newLedger(v.Table, v, DefaultOptions()), v
}

func newLedger(table platform.Table, v *memory.Platform, options Options) *Ledger {
	l := New(table, v.Objects, options)
	scenarioLedgers = append(scenarioLedgers, l)
	return l
}

func testJob(key string) *schema.Job {
	return &schema.Job{
		Team:       "pumps",
		Key:        key,
		Template:   "route",
		Centre:     "a",
		Shape:      &schema.Shape{Workers: 2, Accelerators: 8},
		Idempotent: true,
		Deadline:   timestamppb.New(time.Unix(2000000000, 0)),
		Payload:    []byte("crew 4"),
	}
}

func timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Guards against an index row that outlives its job or is missing while the job
// is unfinished, and against more transactions per job than documented.
func TestLifeCycle(t *testing.T) {
	scenario(t, "A job passes through its states", func(p *memory.Platform) {
		l, v := newLedgerOnView(p)
		ctx := context.Background()
		job, existing, err := l.Accept(ctx, testJob("k"))
		So(err, ShouldBeNil)
		So(existing, ShouldBeFalse)
		open, next, err := l.ListUnfinished(ctx, "a", "", 10)
		So(err, ShouldBeNil)
		So(next, ShouldBeEmpty)
		So(open, ShouldHaveLength, 1)

		_, err = l.Claim(ctx, job.Id, 1, "r1", "b")
		So(err, ShouldBeNil)
		open, _, _ = l.ListUnfinished(ctx, "a", "", 10)
		So(open, ShouldBeEmpty)
		open, _, _ = l.ListUnfinished(ctx, "b", "", 10)
		So(open, ShouldHaveLength, 1)

		big := bytes.Repeat([]byte("x"), 5000)
		job, err = l.Finish(ctx, job.Id, 1, Outcome{}, [][]byte{[]byte("small"), big})
		So(err, ShouldBeNil)
		So(l.Stats().Transactions, ShouldEqual, 3)
		results, err := l.Results(ctx, job)
		So(err, ShouldBeNil)
		So(results, ShouldResemble, [][]byte{[]byte("small"), big})
		rows, _ := v.Table.Scan(ctx, openPrefix, "", 10)
		So(rows, ShouldBeEmpty)

		jobs, _, err := l.List(ctx, Filter{Team: "pumps", State: stateDone}, "", 10)
		So(err, ShouldBeNil)
		So(jobs, ShouldHaveLength, 1)
		n, _, err := l.Expire(ctx, time.Now().Add(time.Hour), "", 10)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 1)
	})
}

// Guards against one key creating two jobs, also through several data centres
// at once, and against a changed submission that gets the result of another
// job.
func TestAcceptIsIdempotent(t *testing.T) {
	scenario(t, "The same key is sent through several instances", func(p *memory.Platform) {
		ctx := context.Background()
		var wg sync.WaitGroup
		var mu sync.Mutex
		created := 0
		for i := range 7 {
			l, _ := newLedgerOnView(p)
			wg.Go(func() {
				job := testJob("k")
				job.Centre = string(rune('a' + i%3))
				_, existing, err := l.Accept(ctx, job)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && !existing {
					created++
				}
			})
		}
		wg.Wait()
		So(created, ShouldEqual, 1)
		rows, _ := p.Table.Scan(ctx, openPrefix, "", 10)
		So(rows, ShouldHaveLength, 1)

		l, _ := newLedgerOnView(p)
		changed := testJob("k")
		changed.Payload = []byte("crew 5")
		_, _, err := l.Accept(ctx, changed)
		var conflict *IdempotencyConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Fields, ShouldResemble, []string{"payload"})
	})
}

// Guards against large payloads in records, which planners read and keep, and
// against repeated submissions that are taken for other ones.
func TestLargePayloads(t *testing.T) {
	scenario(t, "A payload", func(p *memory.Platform) {
		l, _ := newLedgerOnView(p)
		ctx := context.Background()
		for _, size := range []int{0, l.options.MaxInlinePayloadBytes, l.options.MaxInlinePayloadBytes + 1, 1 << 20} {
			job := testJob(fmt.Sprint("k", size))
			job.Payload = bytes.Repeat([]byte("p"), size)
			record, existing, err := l.Accept(ctx, job)
			So(err, ShouldBeNil)
			So(existing, ShouldBeFalse)
			So(proto.Size(record), ShouldBeLessThan, l.options.MaxInlinePayloadBytes+1000)
			stored, err := l.Get(ctx, record.Id)
			So(err, ShouldBeNil)
			content, err := l.Payload(ctx, stored)
			So(err, ShouldBeNil)
			So(bytes.Equal(content, job.Payload), ShouldBeTrue)

			_, existing, err = l.Accept(ctx, job)
			So(err, ShouldBeNil)
			So(existing, ShouldBeTrue)
			other := proto.CloneOf(job)
			other.Payload = append(bytes.Repeat([]byte("p"), size), 'q')
			_, _, err = l.Accept(ctx, other)
			var conflict *IdempotencyConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
		}
	})
	scenario(t, "A large payload in the record of a former version", func(p *memory.Platform) {
		former, _ := newLedgerOnView(p)
		former.options.MaxInlinePayloadBytes = 1 << 20
		job := testJob("k")
		job.Payload = bytes.Repeat([]byte("p"), 100<<10)
		_, _, err := former.Accept(context.Background(), job)
		So(err, ShouldBeNil)
		l, _ := newLedgerOnView(p)
		record, existing, err := l.Accept(context.Background(), job)
		So(err, ShouldBeNil)
		So(existing, ShouldBeTrue)
		content, err := l.Payload(context.Background(), record)
		So(err, ShouldBeNil)
		So(len(content), ShouldEqual, 100<<10)
	})
}

// Guards against a state transition that lets a job run twice or a result be
// replaced. Each row gives a sequence of operations, the error of the last one
// and the final state.
func TestTransitions(t *testing.T) {
	type step = func(l *Ledger, id string) error
	ctx := context.Background()
	claim := func(n int32) step {
		return func(l *Ledger, id string) error { _, err := l.Claim(ctx, id, n, "r", "a"); return err }
	}
	start := func(l *Ledger, id string) error { _, err := l.Start(ctx, id, 1); return err }
	requeue := func(c Cause) step {
		return func(l *Ledger, id string) error { _, err := l.Requeue(ctx, id, 1, c); return err }
	}
	finish := func(n int32) step {
		return func(l *Ledger, id string) error { _, err := l.Finish(ctx, id, n, Outcome{}, nil); return err }
	}
	mark := func(l *Ledger, id string) error { _, err := l.MarkUnknown(ctx, id, 1, "lost"); return err }
	cancel := func(l *Ledger, id string) error { return l.Cancel(ctx, id)[0].Err }
	for _, c := range []struct {
		name          string
		notIdempotent bool
		steps         []step
		err           any
		state         schema.State
	}{
		{"claim twice", false, []step{claim(1), claim(1)}, &StateError{}, stateClaimed},
		{"claim skips an attempt", false, []step{claim(2)}, &StateError{}, stateQueued},
		{"claim after cancel", false, []step{cancel, claim(1)}, &StateError{}, stateCancelled},
		{"start after cancel", false, []step{claim(1), cancel, start}, &StaleAttemptError{}, stateCancelled},
		{"lost, idempotent", false, []step{claim(1), start, requeue(Lost{}), claim(2)}, nil, stateClaimed},
		{"lost, not idempotent", true, []step{claim(1), requeue(Lost{})}, &NotRetryableError{}, stateClaimed},
		{"unstarted, not idempotent", true, []step{claim(1), requeue(Unstarted{})}, nil, stateQueued},
		{"started, not idempotent", true, []step{claim(1), start, requeue(Unstarted{})}, &NotRetryableError{}, schema.State_STATE_RUNNING},
		{"evicted, one checkpoint missing", true, []step{claim(1), requeue(Evicted{[]string{"c", ""}})}, &NotRetryableError{}, stateClaimed},
		{"evicted with checkpoints", true, []step{claim(1), requeue(Evicted{[]string{"c", "d"}})}, nil, stateQueued},
		{"result of an old attempt", false, []step{claim(1), requeue(Lost{}), claim(2), finish(1)}, &StaleAttemptError{}, stateClaimed},
		{"second result", false, []step{claim(1), finish(1), finish(1)}, &StaleAttemptError{}, stateDone},
		{"result after cancel", false, []step{claim(1), cancel, finish(1)}, &StaleAttemptError{}, stateCancelled},
		{"result after unknown", true, []step{claim(1), mark, finish(1)}, nil, stateDone},
		{"cancel after result", false, []step{claim(1), finish(1), cancel}, &StaleAttemptError{}, stateDone},
		{"cancel twice", false, []step{cancel, cancel}, nil, stateCancelled},
		{"mark twice", true, []step{claim(1), mark, mark}, &StaleAttemptError{}, stateUnknown},
	} {
		scenario(t, c.name, func(p *memory.Platform) {
			l, _ := newLedgerOnView(p)
			job := testJob("k")
			job.Idempotent = !c.notIdempotent
			job, _, err := l.Accept(ctx, job)
			So(err, ShouldBeNil)
			for i, s := range c.steps {
				err = s(l, job.Id)
				if i < len(c.steps)-1 {
					So(err, ShouldBeNil)
				}
			}
			So(fmt.Sprintf("%T", err), ShouldEqual, fmt.Sprintf("%T", c.err))
			job, err = l.Get(ctx, job.Id)
			So(err, ShouldBeNil)
			So(job.State, ShouldEqual, c.state)
		})
	}
}

// Guards against a late outcome that replaces the one already returned to
// callers, which happens without the state check.
func TestFirstOutcomeWins(t *testing.T) {
	for _, allowOverwrite := range []bool{false, true} {
		scenario(t, fmt.Sprintf("Two outcomes arrive, state check off: %v", allowOverwrite), func(p *memory.Platform) {
			ctx := context.Background()
			l, _ := newLedgerOnView(p)
			l.allowOverwrite = allowOverwrite
			job, _, _ := l.Accept(ctx, testJob("k"))
			_, _ = l.Claim(ctx, job.Id, 1, "r", "a")
			_, _ = l.Finish(ctx, job.Id, 1, Outcome{}, [][]byte{[]byte("first")})
			_, _ = l.Finish(ctx, job.Id, 1, Outcome{}, [][]byte{[]byte("second")})
			job, err := l.Get(ctx, job.Id)
			So(err, ShouldBeNil)
			So(string(job.Results[0]) == "first", ShouldEqual, !allowOverwrite)
		})
	}
}

// Guards against a quick request that runs twice or a repeated key that gets a
// different answer, also when the response to the claim is lost.
func TestRequestClaims(t *testing.T) {
	scenario(t, "A request is claimed by one of several instances", func(p *memory.Platform) {
		ctx := context.Background()
		request := &schema.Request{Team: "pumps", Key: "q", Template: "quote", Sum: []byte{1}}
		l, v := newLedgerOnView(p)
		v.Table.SetFaults(memory.Faults{DropNextResponses: 1})
		first, existing, err := l.ClaimRequest(ctx, request)
		So(err, ShouldBeNil)
		So(existing, ShouldBeFalse)

		other, _ := newLedgerOnView(p)
		_, _, err = other.ClaimRequest(ctx, request)
		var claimed *ClaimedError
		So(errors.As(err, &claimed), ShouldBeTrue)

		So(l.ReleaseRequest(ctx, first.Id, first.Claim), ShouldBeNil)
		second, existing, err := other.ClaimRequest(ctx, request)
		So(err, ShouldBeNil)
		So(existing, ShouldBeFalse)
		_, err = l.FinishRequest(ctx, first.Id, first.Claim, false, []byte("old"))
		So(errors.As(err, &claimed), ShouldBeTrue)

		answer := bytes.Repeat([]byte("y"), 5000)
		_, err = other.FinishRequest(ctx, second.Id, second.Claim, false, answer)
		So(err, ShouldBeNil)
		again, existing, err := l.ClaimRequest(ctx, request)
		So(err, ShouldBeNil)
		So(existing, ShouldBeTrue)
		content, err := l.Answer(ctx, again)
		So(err, ShouldBeNil)
		So(bytes.Equal(content, answer), ShouldBeTrue)

		request.Sum = []byte{2}
		_, _, err = l.ClaimRequest(ctx, request)
		var conflict *IdempotencyConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
	})
}

// Guards against accepting an object that was altered or truncated as a result.
func TestAlteredObjectIsRefused(t *testing.T) {
	scenario(t, "An object does not match its name", func(p *memory.Platform) {
		l, v := newLedgerOnView(p)
		ctx := context.Background()
		name := objectName("result/j/1/0", []byte("good"))
		So(v.Objects.Put(ctx, name, []byte("goo")), ShouldBeNil)
		_, err := l.Results(ctx, &schema.Job{Results: [][]byte{nil}, Objects: []string{name}})
		var record *RecordError
		So(errors.As(err, &record), ShouldBeTrue)
		_, err = l.Results(ctx, &schema.Job{Results: [][]byte{nil}, Objects: []string{"result/none"}})
		var missing *platform.NotFoundError
		So(errors.As(err, &missing), ShouldBeTrue)
	})
}
