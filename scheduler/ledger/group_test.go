package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/platform/memory"
	"daisylug.example/scheduler/schema"
)

const (
	burst = 10000

	// transactionsMax is the stated bound for one second of a burst.
	transactionsMax = 300
)

// meter counts the transactions of each second.
type meter struct {
	platform.Table
	mu      sync.Mutex
	seconds map[int64]int
	rows    int
}

func (m *meter) Commit(ctx context.Context, t platform.Transaction) error {
	m.mu.Lock()
	m.seconds[time.Now().Unix()]++
	m.rows = max(m.rows, len(t.Writes))
	m.mu.Unlock()
	return m.Table.Commit(ctx, t)
}

func (m *meter) peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	peak := 0
	for _, n := range m.seconds {
		peak = max(peak, n)
	}
	return peak
}

// Guards against a burst of submissions or cancellations that overloads the
// table, loses an operation or needs unbounded transactions; through 1 and
// through 7 instances, and with a table that is slow or loses answers.
func TestBurst(t *testing.T) {
	for _, c := range []struct {
		instances int
		faults    memory.Faults
	}{
		{1, memory.Faults{}},
		{7, memory.Faults{}},
		{7, memory.Faults{Delay: 2 * time.Second}},
		{7, memory.Faults{ResponseLossRate: 0.1, RequestLossRate: 0.1}},
	} {
		scenario(t, fmt.Sprintf("%d instances, faults %+v", c.instances, c.faults), func(p *memory.Platform) {
			m := &meter{Table: p.Table, seconds: map[int64]int{}}
			p.Table.SetFaults(c.faults)
			for range c.instances {
				create(m, p, DefaultOptions())
			}
			ctx, cancel := within(2 * time.Minute)
			defer cancel()
			ids := make([]string, burst)
			errs := make([]error, burst)
			began := time.Now()
			var wg sync.WaitGroup
			for i := range burst {
				wg.Go(func() {
					var job *schema.Job
					job, _, errs[i] = ledgers[i%c.instances].Accept(ctx, sample(fmt.Sprint(i)))
					ids[i] = job.GetId()
				})
			}
			wg.Wait()
			accepted := time.Since(began)
			So(errors.Join(errs...), ShouldBeNil)
			for i, l := range ledgers {
				from, to := i*burst/c.instances, (i+1)*burst/c.instances
				wg.Go(func() {
					for j, outcome := range l.Cancel(ctx, ids[from:to]...) {
						errs[from+j] = outcome.Err
					}
				})
			}
			wg.Wait()
			So(errors.Join(errs...), ShouldBeNil)
			t.Logf("%d instances, faults %+v: accepted in %v, cancelled in %v, at most %d transactions in a second",
				c.instances, c.faults, accepted, time.Since(began)-accepted, m.peak())
			So(m.peak(), ShouldBeLessThan, transactionsMax)
			So(m.rows, ShouldBeLessThanOrEqualTo, DefaultOptions().MaxBatchRows)
			p.Table.SetFaults(memory.Faults{})
			open, _ := p.Table.Scan(ctx, openPrefix, "", burst)
			So(open, ShouldBeEmpty)
			jobs, _, err := ledgers[0].List(ctx, Filter{State: cancelled}, "", burst+1)
			So(err, ShouldBeNil)
			So(jobs, ShouldHaveLength, burst)
		})
	}
}

// Guards against memory that grows without bound while the table is down, and
// against a refusal that leaves a trace.
func TestFullLedgerRefuses(t *testing.T) {
	scenario(t, "The table is down and too many operations wait", func(p *memory.Platform) {
		p.Table.SetFaults(memory.Faults{Outage: true})
		options := DefaultOptions()
		options.MaxPendingOperations = 100
		l := create(p.Table, p, options)
		ctx, cancel := within(time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 150 {
			wg.Go(func() { _, _, _ = l.Accept(ctx, sample(fmt.Sprint(i))) })
		}
		time.Sleep(time.Minute)
		_, _, err := l.Accept(ctx, sample("one more"))
		var full *FullError
		So(errors.As(err, &full), ShouldBeTrue)
		So(WriteStatus(err), ShouldEqual, "no")
		So(full.Operations, ShouldEqual, 100)
		cancel()
		wg.Wait()
		So(l.group.pending, ShouldEqual, 0)
		So(l.group.bytes, ShouldEqual, 0)
	})
}

// Guards against one conflicting row that fails or delays the operations that
// share its transaction.
func TestConflictFailsOnlyItsOperation(t *testing.T) {
	scenario(t, "One of 40 keys exists with other content", func(p *memory.Platform) {
		ctx := context.Background()
		l, _ := on(p)
		other := sample("13")
		other.Payload = []byte("other")
		_, _, err := l.Accept(ctx, other)
		So(err, ShouldBeNil)
		errs := make([]error, 40)
		took := make([]time.Duration, 40)
		began := time.Now()
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				_, _, errs[i] = l.Accept(ctx, sample(fmt.Sprint(i)))
				took[i] = time.Since(began)
			})
		}
		wg.Wait()
		for i, err := range errs {
			var content *IdempotencyConflictError
			So(errors.As(err, &content), ShouldEqual, i == 13)
			So(took[i], ShouldBeLessThan, time.Second)
		}
		So(l.Stats().Transactions, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against a caller held beyond its deadline and against a refusal that
// claims more than is known: (fault, deadline, what the caller may be told).
func TestDeadlines(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  memory.Faults
		written string
		// later tells whether the job exists when the table is well again.
		later bool
	}{
		{"down", memory.Faults{Outage: true}, "no", false},
		{"silent", memory.Faults{Silent: true}, "unknown", false},
		{"slow beyond the deadline", memory.Faults{Delay: 5 * time.Second}, "unknown", true},
		{"answers lost", memory.Faults{ResponseLossRate: 1}, "unknown", true},
		{"requests lost", memory.Faults{RequestLossRate: 1}, "unknown", false},
	} {
		scenario(t, "The table is "+c.name, func(p *memory.Platform) {
			l, v := on(p)
			v.Table.SetFaults(c.faults)
			began := time.Now()
			ctx, cancel := within(3 * time.Second)
			defer cancel()
			_, _, err := l.Accept(ctx, sample("k"))
			So(WriteStatus(err), ShouldEqual, c.written)
			So(time.Since(began), ShouldEqual, 3*time.Second)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			time.Sleep(time.Minute)
			_, err = create(p.Table, p, DefaultOptions()).Get(context.Background(), ID("pumps", "k"))
			So(err == nil, ShouldEqual, c.later)
		})
	}
}

// Guards against an operation that is refused although it is in effect, which
// a blind repeat does: its own first write looks like another instance's.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, blind := range []bool{false, true} {
		for _, lost := range []memory.Faults{{DropNextResponses: 1}, {DropNextRequests: 1}, {DropNextResponses: 3}} {
			scenario(t, fmt.Sprintf("Faults %+v, blind %v", lost, blind), func(p *memory.Platform) {
				ctx := context.Background()
				l, v := on(p)
				l.group.blind = blind
				job, _, err := l.Accept(ctx, sample("k"))
				So(err, ShouldBeNil)
				v.Table.SetFaults(lost)
				_, err = l.Claim(ctx, job.Id, 1, "r", "a")
				wrong := blind && lost.DropNextResponses > 0
				So(err == nil, ShouldEqual, !wrong)
				job, err = l.Get(ctx, job.Id)
				So(err, ShouldBeNil)
				So(job.State, ShouldEqual, claimedAs)
			})
		}
	}
}

// Guards against lost or doubled steps when faults coincide. Each pair of
// faults is in force for a while, one on the table and one on the objects, and
// then ends; every job must come to exactly one end.
func TestFaultPairs(t *testing.T) {
	faults := map[string]memory.Faults{
		"none":         {},
		"down an hour": {Outage: true},
		"slow":         {Delay: 3 * time.Second},
		"silent":       {Silent: true},
		"lost before":  {RequestLossRate: 0.5},
		"lost after":   {ResponseLossRate: 0.5},
	}
	for table, tf := range faults {
		for objects, of := range faults {
			scenario(t, "Table "+table+", objects "+objects, func(p *memory.Platform) {
				l, v := on(p)
				v.Table.SetFaults(tf)
				v.Objects.SetFaults(of)
				time.AfterFunc(time.Hour, func() {
					v.Table.SetFaults(memory.Faults{})
					v.Objects.SetFaults(memory.Faults{})
				})
				ctx, cancel := within(2 * time.Hour)
				defer cancel()
				errs := make([]error, 30)
				var wg sync.WaitGroup
				for i := range errs {
					wg.Go(func() { errs[i] = runJob(ctx, l, fmt.Sprint(i)) })
				}
				wg.Wait()
				So(errors.Join(errs...), ShouldBeNil)
				open, _ := p.Table.Scan(ctx, openPrefix, "", 100)
				So(open, ShouldBeEmpty)
				jobs, _, err := create(p.Table, p, DefaultOptions()).List(ctx, Filter{State: done}, "", 100)
				So(err, ShouldBeNil)
				So(jobs, ShouldHaveLength, len(errs))
			})
		}
	}
}

// runJob takes one job through accept, claim and finish.
func runJob(ctx context.Context, l *Ledger, key string) error {
	job, _, err := l.Accept(ctx, sample(key))
	if err != nil {
		return err
	}
	if _, err := l.Claim(ctx, job.Id, 1, "r", "a"); err != nil {
		return err
	}
	_, err = l.Finish(ctx, job.Id, 1, Outcome{}, [][]byte{make([]byte, 5000)})
	return err
}

// Guards against a refusal that denies a write which was in effect before
// another operation replaced the record.
func TestOverwrittenOperationIsNotDenied(t *testing.T) {
	for _, c := range []struct {
		lost    memory.Faults
		written string
	}{
		{memory.Faults{DropNextResponses: 1}, "unknown"},
		{memory.Faults{DropNextRequests: 1}, "no"},
	} {
		scenario(t, fmt.Sprintf("A requeue with faults %+v is overtaken", c.lost), func(p *memory.Platform) {
			ctx := context.Background()
			l, v := on(p)
			other, _ := on(p)
			job, _, err := l.Accept(ctx, sample("k"))
			So(err, ShouldBeNil)
			_, err = l.Claim(ctx, job.Id, 1, "r", "a")
			So(err, ShouldBeNil)
			v.Table.SetFaults(c.lost)
			late := make(chan error, 1)
			lossy := &pausing{Table: v.Table, wait: make(chan struct{})}
			l.group.table = lossy
			go func() {
				_, err := l.Requeue(ctx, job.Id, 1, Lost{})
				late <- err
			}()
			time.Sleep(time.Second)
			if c.written == "no" {
				_, err = other.Requeue(ctx, job.Id, 1, Lost{})
				So(err, ShouldBeNil)
			} else {
				_, err = other.Claim(ctx, job.Id, 2, "r", "a")
				So(err, ShouldBeNil)
			}
			close(lossy.wait)
			err = <-late
			So(err, ShouldNotBeNil)
			So(WriteStatus(err), ShouldEqual, c.written)
		})
	}
}

// pausing holds up reads that follow a transaction.
type pausing struct {
	platform.Table
	wait chan struct{}
	sent bool
}

func (p *pausing) Commit(ctx context.Context, t platform.Transaction) error {
	p.sent = true
	return p.Table.Commit(ctx, t)
}

func (p *pausing) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if p.sent {
		<-p.wait
	}
	return p.Table.Read(ctx, keys...)
}
