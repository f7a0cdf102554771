package ledger

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"daisylug.example/scheduler/platform"
)

const (
	// rateBurst lets an operation of an idle ledger go out without delay. In
	// one second an instance makes up to rateBurst transactions above its rate:
	// 7 instances at 40 make 294, which is below the limit of 300.
	rateBurst = 2

	pauseFirst = 20 * time.Millisecond
	pauseMax   = 2 * time.Second
)

// stage is how far a change has come.
type stage int

const (
	stageQueued stage = iota
	stageReading
	// stageSent is set just before the transaction goes out. From then on the
	// change can no longer be withdrawn.
	stageSent
	stageSettled
)

// step is what a change asks for on the row it found. Without writes the
// change is settled with value.
type step struct {
	writes []platform.Write
	value  any
}

// change is one operation on one row and its index rows.
type change struct {
	id        string
	key       string
	operation string
	// apply judges the change on the row found (version 0: absent). It is
	// called again when the row turns out to be different.
	apply func(row platform.Row, operation string) (step, error)
	// rows and size (in bytes) are upper bounds of what the change writes.
	rows int
	size int

	// The fields below are used by the batch that holds the change.
	// known is set when row needs no reading.
	known bool
	row   platform.Row
	step  step

	// The fields below are guarded by the group's lock.
	stage stage
	// doubt is set when a transaction with this change got no answer; expected
	// is the version of the row that the first such transaction expected.
	doubt    bool
	expected int64
	value    any
	err      error
	done     chan struct{}
}

// group commits the changes of many callers in shared transactions.
type group struct {
	table   platform.Table
	options Options
	limiter *rate.Limiter
	slots   chan struct{}

	mu      sync.Mutex
	queue   []*change
	busy    map[string]bool
	pending int
	bytes   int
	running bool
	wake    chan struct{}
	pauses  *backoff.ExponentialBackOff
	pause   time.Time

	transactions, rows, reads, settled atomic.Int64

	// blind makes a lost answer count as not written (tests only).
	blind bool
}

func newGroup(table platform.Table, options Options) *group {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = pauseFirst
	pauses.MaxInterval = pauseMax
	return &group{
		table:   table,
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.Rate), rateBurst),
		slots:   make(chan struct{}, options.MaxConcurrency),
		busy:    make(map[string]bool),
		wake:    make(chan struct{}, 1),
		pauses:  pauses,
	}
}

func (g *group) stats() Stats {
	return Stats{
		Transactions: g.transactions.Load(),
		Rows:         g.rows.Load(),
		Reads:        g.reads.Load(),
		Settled:      g.settled.Load(),
	}
}

// do carries out c and returns its value.
func (g *group) do(ctx context.Context, c *change) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotWrittenError{ID: c.id, Cause: err}
	}
	if err := g.enqueue(c); err != nil {
		return nil, err
	}
	return g.await(ctx, c)
}

func (g *group) await(ctx context.Context, c *change) (any, error) {
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		g.abandon(c, ctx.Err())
		return c.value, c.err
	}
}

func (g *group) enqueue(c *change) error {
	c.operation = uuid.NewString()
	c.done = make(chan struct{})
	c.row.Key = c.key
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) > 2*g.options.MaxPendingOperations {
		g.compact()
	}
	if g.pending >= g.options.MaxPendingOperations || g.bytes+c.size > g.options.MaxPendingBytes {
		return &NotWrittenError{ID: c.id, Cause: &FullError{Operations: g.pending, Bytes: g.bytes}}
	}
	g.pending++
	g.bytes += c.size
	g.queue = append(g.queue, c)
	if !g.running {
		g.running = true
		go g.run()
	}
	g.signal()
	return nil
}

// abandon settles c for a caller that waits no longer.
func (g *group) abandon(c *change, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.stage == stageSettled {
		return
	}
	if c.doubt || c.stage == stageSent {
		g.settle(c, nil, &UnknownOutcomeError{ID: c.id, Operation: c.operation, Cause: cause})
		return
	}
	g.settle(c, nil, &NotWrittenError{ID: c.id, Cause: cause})
}

// settle ends c. The caller holds the lock.
func (g *group) settle(c *change, value any, err error) {
	if c.stage == stageSettled {
		return
	}
	if c.doubt && WriteStatus(err) != "unknown" {
		g.settled.Add(1)
	}
	c.stage = stageSettled
	c.value, c.err = value, err
	g.pending--
	g.bytes -= c.size
	close(c.done)
}

func (g *group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run sends batches until no change is left.
func (g *group) run() {
	for {
		ready, left := g.ready()
		if !left {
			return
		}
		if !ready {
			<-g.wake
			continue
		}
		time.Sleep(g.delay())
		_ = g.limiter.Wait(context.Background())
		g.slots <- struct{}{}
		batch := g.take()
		if len(batch) == 0 {
			<-g.slots
			continue
		}
		go g.process(batch)
	}
}

// ready reports whether a change can be taken, and whether any is left, queued
// or under way. If none is left, the caller must end.
func (g *group) ready() (ready, left bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.compact()
	for _, c := range g.queue {
		if !g.busy[c.key] {
			return true, true
		}
	}
	left = len(g.queue) > 0 || len(g.busy) > 0
	if !left {
		g.running = false
	}
	return false, left
}

// compact drops settled changes from the queue. The caller holds the lock.
func (g *group) compact() {
	g.queue = slices.DeleteFunc(g.queue, func(c *change) bool { return c.stage == stageSettled })
}

// delay returns how long to wait before the next batch is taken. A full batch
// need not wait for more.
func (g *group) delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := time.Until(g.pause)
	if len(g.queue) >= g.options.MaxBatchRows {
		return pause
	}
	return max(pause, g.options.Linger)
}

// take removes the next batch from the queue: changes of distinct rows that
// no other batch is working on.
func (g *group) take() []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch []*change
	var rows, size int
	g.queue = slices.DeleteFunc(g.queue, func(c *change) bool {
		if c.stage == stageSettled {
			return true
		}
		full := rows+rowsMax > g.options.MaxBatchRows || rows > 0 && size+c.size > g.options.MaxBatchBytes
		if full || g.busy[c.key] {
			return false
		}
		g.busy[c.key] = true
		c.stage = stageReading
		rows += c.rows
		size += c.size
		batch = append(batch, c)
		return true
	})
	return batch
}
