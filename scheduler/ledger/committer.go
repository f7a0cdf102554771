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

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// stage is the progress of a change.
type stage int

const (
	stageQueued stage = iota
	stageReading
	// stageSent is set just before the transaction is sent. From then on the
	// change can no longer be withdrawn.
	stageSent
	stageCompleted
)

// applyResult is the result of applying a change to its row. A change without
// writes is completed with value.
type applyResult struct {
	writes []platform.Write
	value  any
}

// change is one operation on a row and its index rows.
type change struct {
	id        string
	key       string
	operation string
	// apply computes the writes for the row as read (version 0: absent). It is
	// called again if the row has changed in the meantime.
	apply func(row platform.Row, operation string) (applyResult, error)
	// maxRows and maxBytes are upper bounds on what the change writes.
	maxRows  int
	maxBytes int

	// The fields below are used only by the batch that holds the change.
	// skipRead is set if row need not be read.
	skipRead bool
	row      platform.Row
	result   applyResult

	// The fields below are guarded by groupCommitter.mu.
	stage stage
	// outcomeUnknown is set if the response to a transaction with this change
	// was lost. expectedVersion is the row version that the first such
	// transaction expected.
	outcomeUnknown  bool
	expectedVersion int64
	value           any
	err             error
	done            chan struct{}
}

// groupCommitter batches the changes of concurrent callers into shared
// transactions.
type groupCommitter struct {
	table   platform.Table
	options Options
	limiter *rate.Limiter
	slots   chan struct{}

	mu                sync.Mutex
	queue             []*change
	inFlight          map[string]bool
	pendingOperations int
	pendingBytes      int
	running           bool
	wake              chan struct{}
	retryBackoff      *backoff.ExponentialBackOff
	retryAfter        time.Time

	transactions, rows, reads, resolved atomic.Int64

	// blindRetry treats a lost response as not written (tests only).
	blindRetry bool
}

func newGroupCommitter(table platform.Table, options Options) *groupCommitter {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialBackoff
	retryBackoff.MaxInterval = maxBackoff
	return &groupCommitter{
		table:        table,
		options:      options,
		limiter:      rate.NewLimiter(rate.Limit(options.Rate), rateBurst),
		slots:        make(chan struct{}, options.MaxConcurrency),
		inFlight:     make(map[string]bool),
		wake:         make(chan struct{}, 1),
		retryBackoff: retryBackoff,
	}
}

func (g *groupCommitter) stats() Stats {
	return Stats{
		Transactions: g.transactions.Load(),
		Rows:         g.rows.Load(),
		Reads:        g.reads.Load(),
		Resolved:     g.resolved.Load(),
	}
}

// do enqueues c, waits until it is completed and returns its value.
func (g *groupCommitter) do(ctx context.Context, c *change) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotWrittenError{ID: c.id, Cause: err}
	}
	if err := g.enqueue(c); err != nil {
		return nil, err
	}
	return g.await(ctx, c)
}

func (g *groupCommitter) await(ctx context.Context, c *change) (any, error) {
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		g.abandon(c, ctx.Err())
		return c.value, c.err
	}
}

func (g *groupCommitter) enqueue(c *change) error {
	c.operation = uuid.NewString()
	c.done = make(chan struct{})
	c.row.Key = c.key
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) > 2*g.options.MaxPendingOperations {
		g.compact()
	}
	if g.pendingOperations >= g.options.MaxPendingOperations || g.pendingBytes+c.maxBytes > g.options.MaxPendingBytes {
		return &NotWrittenError{ID: c.id, Cause: &FullError{Operations: g.pendingOperations, Bytes: g.pendingBytes}}
	}
	g.pendingOperations++
	g.pendingBytes += c.maxBytes
	g.queue = append(g.queue, c)
	if !g.running {
		g.running = true
		go g.run()
	}
	g.signal()
	return nil
}

// abandon completes c with an error because its caller no longer waits.
func (g *groupCommitter) abandon(c *change, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.stage == stageCompleted {
		return
	}
	if c.outcomeUnknown || c.stage == stageSent {
		g.complete(c, nil, &UnknownOutcomeError{ID: c.id, Operation: c.operation, Cause: cause})
		return
	}
	g.complete(c, nil, &NotWrittenError{ID: c.id, Cause: cause})
}

// complete records the result of c and wakes its caller. The caller of complete
// holds the lock.
func (g *groupCommitter) complete(c *change, value any, err error) {
	if c.stage == stageCompleted {
		return
	}
	if c.outcomeUnknown && WriteStatus(err) != "unknown" {
		g.resolved.Add(1)
	}
	c.stage = stageCompleted
	c.value, c.err = value, err
	g.pendingOperations--
	g.pendingBytes -= c.maxBytes
	close(c.done)
}

func (g *groupCommitter) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run sends batches until no change is left.
func (g *groupCommitter) run() {
	for {
		ready, remaining := g.ready()
		if !remaining {
			return
		}
		if !ready {
			<-g.wake
			continue
		}
		time.Sleep(g.delay())
		_ = g.limiter.Wait(context.Background())
		g.slots <- struct{}{}
		batch := g.takeBatch()
		if len(batch) == 0 {
			<-g.slots
			continue
		}
		go g.processBatch(batch)
	}
}

// ready reports whether a change can be taken, and whether any remains, queued
// or in flight. If none remains, the caller must return.
func (g *groupCommitter) ready() (ready, remaining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.compact()
	for _, c := range g.queue {
		if !g.inFlight[c.key] {
			return true, true
		}
	}
	remaining = len(g.queue) > 0 || len(g.inFlight) > 0
	if !remaining {
		g.running = false
	}
	return false, remaining
}

// compact drops completed changes from the queue. The caller holds the lock.
func (g *groupCommitter) compact() {
	g.queue = slices.DeleteFunc(g.queue, func(c *change) bool { return c.stage == stageCompleted })
}

// delay returns how long to wait before the next batch is taken. A full batch
// does not wait for further changes.
func (g *groupCommitter) delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	pause := time.Until(g.retryAfter)
	if len(g.queue) >= g.options.MaxBatchRows {
		return pause
	}
	return max(pause, g.options.Linger)
}

// takeBatch removes the next batch from the queue: changes to distinct rows
// that are in no other batch.
func (g *groupCommitter) takeBatch() []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch []*change
	var rows, size int
	g.queue = slices.DeleteFunc(g.queue, func(c *change) bool {
		if c.stage == stageCompleted {
			return true
		}
		full := rows+maxOperationRows > g.options.MaxBatchRows || rows > 0 && size+c.maxBytes > g.options.MaxBatchBytes
		if full || g.inFlight[c.key] {
			return false
		}
		g.inFlight[c.key] = true
		c.stage = stageReading
		rows += c.maxRows
		size += c.maxBytes
		batch = append(batch, c)
		return true
	})
	return batch
}
