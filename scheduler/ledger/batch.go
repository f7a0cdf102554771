package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"daisylug.example/scheduler/platform"
)

// processBatch reads the rows of a batch, applies its changes, commits the
// result and releases the slot.
func (g *groupCommitter) processBatch(batch []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), g.options.Timeout)
	defer cancel()
	err := g.read(ctx, batch)
	if err == nil {
		err = g.commit(ctx, g.applyAll(batch))
	}
	g.finishBatch(batch, err)
	<-g.slots
}

// finishBatch returns incomplete changes to the head of the queue, and backs
// off if the table failed.
func (g *groupCommitter) finishBatch(batch []*change, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var requeued []*change
	for _, c := range batch {
		delete(g.inFlight, c.key)
		if c.stage != stageCompleted {
			c.stage = stageQueued
			requeued = append(requeued, c)
		}
	}
	g.queue = append(requeued, g.queue...)
	if err != nil {
		g.retryAfter = time.Now().Add(g.retryBackoff.NextBackOff())
	} else {
		g.retryBackoff.Reset()
	}
	g.signal()
}

// read fetches in one call the rows that the batch has to read.
func (g *groupCommitter) read(ctx context.Context, batch []*change) error {
	keys := make([]string, 0, len(batch))
	for _, c := range batch {
		if !c.skipRead {
			keys = append(keys, c.key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	g.reads.Add(1)
	rows, err := g.table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	found := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	for _, c := range batch {
		if c.skipRead {
			continue
		}
		c.row = found[c.key]
		c.row.Key = c.key
	}
	return nil
}

// applyAll applies each change to its row. It completes the changes that need
// no write and returns the others.
func (g *groupCommitter) applyAll(batch []*change) []*change {
	errs := make([]error, len(batch))
	for i, c := range batch {
		c.result, errs[i] = c.apply(c.row, c.operation)
		// A further attempt has to read the row again.
		c.skipRead = false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var send []*change
	for i, c := range batch {
		if errs[i] != nil || len(c.result.writes) == 0 {
			g.complete(c, c.result.value, c.wrapUnknownOutcome(errs[i]))
			continue
		}
		if c.outcomeUnknown && c.row.Version == c.expectedVersion+1 {
			c.outcomeUnknown = false
		}
		send = append(send, c)
	}
	return send
}

// wrapUnknownOutcome turns a refusal into *UnknownOutcomeError if the change
// may have been written before another operation replaced the record: the
// transaction whose response was lost would have produced version
// expectedVersion+1, and the row is beyond that.
func (c *change) wrapUnknownOutcome(err error) error {
	if !c.outcomeUnknown || c.row.Version <= c.expectedVersion+1 {
		return err
	}
	var stale *StaleAttemptError
	var state *StateError
	var notRetryable *NotRetryableError
	if errors.As(err, &stale) || errors.As(err, &state) || errors.As(err, &notRetryable) {
		return &UnknownOutcomeError{ID: c.id, Operation: c.operation, Cause: err}
	}
	return err
}

// commit sends the changes in one transaction. Changes with a conflict are
// dropped and the others are sent again.
func (g *groupCommitter) commit(ctx context.Context, batch []*change) error {
	for first := true; ; first = false {
		if !first {
			_ = g.limiter.Wait(ctx)
		}
		batch = g.markSent(batch)
		if len(batch) == 0 {
			return nil
		}
		err := g.commitOnce(ctx, batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return g.recordOutcome(batch, err)
		}
		batch = g.dropConflicting(batch, conflict.Keys)
	}
}

// markSent marks the changes as sent and drops those whose caller has returned.
func (g *groupCommitter) markSent(batch []*change) []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sent []*change
	for _, c := range batch {
		if c.stage != stageCompleted {
			c.stage = stageSent
			sent = append(sent, c)
		}
	}
	return sent
}

func (g *groupCommitter) commitOnce(ctx context.Context, batch []*change) error {
	t := platform.Transaction{Operation: uuid.NewString()}
	for _, c := range batch {
		t.Writes = append(t.Writes, c.result.writes...)
	}
	g.transactions.Add(1)
	g.rows.Add(int64(len(t.Writes)))
	return g.table.Commit(ctx, t)
}

// recordOutcome completes the changes if they were written, and marks their
// outcome as unknown if the response was lost.
func (g *groupCommitter) recordOutcome(batch []*change, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unavailable *platform.UnavailableError
	refused := errors.As(err, &unavailable)
	for _, c := range batch {
		switch {
		case err == nil:
			g.complete(c, c.result.value, nil)
		case refused || c.stage == stageCompleted:
		case g.blindRetry:
			c.operation = uuid.NewString()
		case !c.outcomeUnknown:
			c.outcomeUnknown = true
			c.expectedVersion = c.row.Version
		}
	}
	return err
}

// dropConflicting drops the changes that write one of keys. If none does, it
// drops all of them, so that every row is read again.
func (g *groupCommitter) dropConflicting(batch []*change, keys []string) []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	conflicts := make(map[string]bool, len(keys))
	for _, key := range keys {
		conflicts[key] = true
	}
	var rest []*change
	for _, c := range batch {
		if !c.writesAny(conflicts) {
			rest = append(rest, c)
			continue
		}
		if c.stage == stageSent {
			c.stage = stageReading
		}
	}
	if len(rest) == len(batch) {
		return nil
	}
	return rest
}

func (c *change) writesAny(keys map[string]bool) bool {
	for _, w := range c.result.writes {
		if keys[w.Key] {
			return true
		}
	}
	return false
}
