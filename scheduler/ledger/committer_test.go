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
	burstSize = 10000

	// maxTransactionsPerSecond is the documented limit for any second of a
	// burst.
	maxTransactionsPerSecond = 300
)

// transactionCounter counts transactions per second.
type transactionCounter struct {
	platform.Table
	mu        sync.Mutex
	perSecond map[int64]int
	maxRows   int
}

func (m *transactionCounter) Commit(ctx context.Context, t platform.Transaction) error {
	m.mu.Lock()
	m.perSecond[time.Now().Unix()]++
	m.maxRows = max(m.maxRows, len(t.Writes))
	m.mu.Unlock()
	return m.Table.Commit(ctx, t)
}

func (m *transactionCounter) peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	peak := 0
	for _, n := range m.perSecond {
		peak = max(peak, n)
	}
	return peak
}

// Guards against a burst of submissions or cancellations that overloads the
// table, loses an operation or exceeds the transaction rate. It runs through 1
// and 7 instances, and on a table that is slow or loses responses.
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
			m := &transactionCounter{Table: p.Table, perSecond: map[int64]int{}}
			p.Table.SetFaults(c.faults)
			for range c.instances {
				newLedger(m, p, DefaultOptions())
			}
			ctx, cancel := timeoutContext(2 * time.Minute)
			defer cancel()
			ids := make([]string, burstSize)
			errs := make([]error, burstSize)
			began := time.Now()
			var wg sync.WaitGroup
			for i := range burstSize {
				wg.Go(func() {
					var job *schema.Job
					job, _, errs[i] = scenarioLedgers[i%c.instances].Accept(ctx, testJob(fmt.Sprint(i)))
					ids[i] = job.GetId()
				})
			}
			wg.Wait()
			accepted := time.Since(began)
			So(errors.Join(errs...), ShouldBeNil)
			for i, l := range scenarioLedgers {
				from, to := i*burstSize/c.instances, (i+1)*burstSize/c.instances
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
			So(m.peak(), ShouldBeLessThan, maxTransactionsPerSecond)
			So(m.maxRows, ShouldBeLessThanOrEqualTo, DefaultOptions().MaxBatchRows)
			p.Table.SetFaults(memory.Faults{})
			open, _ := p.Table.Scan(ctx, openPrefix, "", burstSize)
			So(open, ShouldBeEmpty)
			jobs, _, err := scenarioLedgers[0].List(ctx, Filter{State: stateCancelled}, "", burstSize+1)
			So(err, ShouldBeNil)
			So(jobs, ShouldHaveLength, burstSize)
		})
	}
}

// Guards against unbounded memory growth while the table is down, and against
// rejected operations that still count as pending.
func TestFullLedgerRefuses(t *testing.T) {
	scenario(t, "The table is down and the limit on pending operations is reached", func(p *memory.Platform) {
		p.Table.SetFaults(memory.Faults{Outage: true})
		options := DefaultOptions()
		options.MaxPendingOperations = 100
		l := newLedger(p.Table, p, options)
		ctx, cancel := timeoutContext(time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 150 {
			wg.Go(func() { _, _, _ = l.Accept(ctx, testJob(fmt.Sprint(i))) })
		}
		time.Sleep(time.Minute)
		_, _, err := l.Accept(ctx, testJob("one more"))
		var full *FullError
		So(errors.As(err, &full), ShouldBeTrue)
		So(WriteStatus(err), ShouldEqual, "no")
		So(full.Operations, ShouldEqual, 100)
		cancel()
		wg.Wait()
		So(l.committer.pendingOperations, ShouldEqual, 0)
		So(l.committer.pendingBytes, ShouldEqual, 0)
	})
}

// Guards against one conflicting row failing or delaying the other operations
// in its transaction.
func TestConflictFailsOnlyItsOperation(t *testing.T) {
	scenario(t, "One of 40 keys exists with different content", func(p *memory.Platform) {
		ctx := context.Background()
		l, _ := newLedgerOnView(p)
		other := testJob("13")
		other.Payload = []byte("other")
		_, _, err := l.Accept(ctx, other)
		So(err, ShouldBeNil)
		errs := make([]error, 40)
		durations := make([]time.Duration, 40)
		began := time.Now()
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				_, _, errs[i] = l.Accept(ctx, testJob(fmt.Sprint(i)))
				durations[i] = time.Since(began)
			})
		}
		wg.Wait()
		for i, err := range errs {
			var conflict *IdempotencyConflictError
			So(errors.As(err, &conflict), ShouldEqual, i == 13)
			So(durations[i], ShouldBeLessThan, time.Second)
		}
		So(l.Stats().Transactions, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against a caller that is held beyond its deadline, and against an
// error that reports more certainty than there is. Each row gives the fault of
// the table, the expected write status, and whether the job exists in the end.
func TestDeadlines(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  memory.Faults
		written string
		// exists tells whether the job exists a minute after the deadline.
		exists bool
	}{
		{"down", memory.Faults{Outage: true}, "no", false},
		{"silent", memory.Faults{Silent: true}, "unknown", false},
		{"slow beyond the deadline", memory.Faults{Delay: 5 * time.Second}, "unknown", true},
		{"losing responses", memory.Faults{ResponseLossRate: 1}, "unknown", true},
		{"losing requests", memory.Faults{RequestLossRate: 1}, "unknown", false},
	} {
		scenario(t, "The table is "+c.name, func(p *memory.Platform) {
			l, v := newLedgerOnView(p)
			v.Table.SetFaults(c.faults)
			began := time.Now()
			ctx, cancel := timeoutContext(3 * time.Second)
			defer cancel()
			_, _, err := l.Accept(ctx, testJob("k"))
			So(WriteStatus(err), ShouldEqual, c.written)
			So(time.Since(began), ShouldEqual, 3*time.Second)
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			time.Sleep(time.Minute)
			_, err = newLedger(p.Table, p, DefaultOptions()).Get(context.Background(), ID("pumps", "k"))
			So(err == nil, ShouldEqual, c.exists)
		})
	}
}

// Guards against an operation that is refused although it took effect. A blind
// retry does this: it takes its own first write for that of another instance.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, blindRetry := range []bool{false, true} {
		for _, faults := range []memory.Faults{{DropNextResponses: 1}, {DropNextRequests: 1}, {DropNextResponses: 3}} {
			scenario(t, fmt.Sprintf("Faults %+v, blind retry %v", faults, blindRetry), func(p *memory.Platform) {
				ctx := context.Background()
				l, v := newLedgerOnView(p)
				l.committer.blindRetry = blindRetry
				job, _, err := l.Accept(ctx, testJob("k"))
				So(err, ShouldBeNil)
				v.Table.SetFaults(faults)
				_, err = l.Claim(ctx, job.Id, 1, "r", "a")
				refused := blindRetry && faults.DropNextResponses > 0
				So(err == nil, ShouldEqual, !refused)
				job, err = l.Get(ctx, job.Id)
				So(err, ShouldBeNil)
				So(job.State, ShouldEqual, stateClaimed)
			})
		}
	}
}

// Guards against lost or duplicated operations when faults coincide. Each pair
// of faults, one on the table and one on the object store, lasts an hour; every
// job must then be done exactly once.
func TestFaultPairs(t *testing.T) {
	faults := map[string]memory.Faults{
		"none":             {},
		"down for an hour": {Outage: true},
		"slow":             {Delay: 3 * time.Second},
		"silent":           {Silent: true},
		"requests lost":    {RequestLossRate: 0.5},
		"responses lost":   {ResponseLossRate: 0.5},
	}
	for table, tf := range faults {
		for objects, of := range faults {
			scenario(t, "Faults of the table: "+table+", of the object store: "+objects, func(p *memory.Platform) {
				l, v := newLedgerOnView(p)
				v.Table.SetFaults(tf)
				v.Objects.SetFaults(of)
				time.AfterFunc(time.Hour, func() {
					v.Table.SetFaults(memory.Faults{})
					v.Objects.SetFaults(memory.Faults{})
				})
				ctx, cancel := timeoutContext(2 * time.Hour)
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
				jobs, _, err := newLedger(p.Table, p, DefaultOptions()).List(ctx, Filter{State: stateDone}, "", 100)
				So(err, ShouldBeNil)
				So(jobs, ShouldHaveLength, len(errs))
			})
		}
	}
}

// runJob takes one job through accept, claim and finish.
func runJob(ctx context.Context, l *Ledger, key string) error {
	job, _, err := l.Accept(ctx, testJob(key))
	if err != nil {
		return err
	}
	if _, err := l.Claim(ctx, job.Id, 1, "r", "a"); err != nil {
		return err
	}
	_, err = l.Finish(ctx, job.Id, 1, Outcome{}, [][]byte{make([]byte, 5000)})
	return err
}

// Guards against reporting "not written" for a write that took effect before
// another operation replaced the record.
func TestOverwrittenOperationIsNotDenied(t *testing.T) {
	for _, c := range []struct {
		faults  memory.Faults
		written string
	}{
		{memory.Faults{DropNextResponses: 1}, "unknown"},
		{memory.Faults{DropNextRequests: 1}, "no"},
	} {
		scenario(t, fmt.Sprintf("Another operation overtakes a requeue with faults %+v", c.faults), func(p *memory.Platform) {
			ctx := context.Background()
			l, v := newLedgerOnView(p)
			other, _ := newLedgerOnView(p)
			job, _, err := l.Accept(ctx, testJob("k"))
			So(err, ShouldBeNil)
			_, err = l.Claim(ctx, job.Id, 1, "r", "a")
			So(err, ShouldBeNil)
			v.Table.SetFaults(c.faults)
			result := make(chan error, 1)
			paused := &pausingTable{Table: v.Table, release: make(chan struct{})}
			l.committer.table = paused
			go func() {
				_, err := l.Requeue(ctx, job.Id, 1, Lost{})
				result <- err
			}()
			time.Sleep(time.Second)
			if c.written == "no" {
				_, err = other.Requeue(ctx, job.Id, 1, Lost{})
				So(err, ShouldBeNil)
			} else {
				_, err = other.Claim(ctx, job.Id, 2, "r", "a")
				So(err, ShouldBeNil)
			}
			close(paused.release)
			err = <-result
			So(err, ShouldNotBeNil)
			So(WriteStatus(err), ShouldEqual, c.written)
		})
	}
}

// pausingTable delays reads that follow a commit until release is closed.
type pausingTable struct {
	platform.Table
	release   chan struct{}
	committed bool
}

func (p *pausingTable) Commit(ctx context.Context, t platform.Transaction) error {
	p.committed = true
	return p.Table.Commit(ctx, t)
}

func (p *pausingTable) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if p.committed {
		<-p.release
	}
	return p.Table.Read(ctx, keys...)
}
