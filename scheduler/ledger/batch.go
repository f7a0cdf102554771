package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"daisylug.example/scheduler/platform"
)

// process carries out one batch and gives back its slot.
func (g *group) process(batch []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), g.options.Timeout)
	defer cancel()
	err := g.read(ctx, batch)
	if err == nil {
		err = g.commit(ctx, g.judge(batch))
	}
	g.finish(batch, err)
	<-g.slots
}

// finish puts unsettled changes back at the head of the queue, and slows down
// if the table failed.
func (g *group) finish(batch []*change, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var again []*change
	for _, c := range batch {
		delete(g.busy, c.key)
		if c.stage != stageSettled {
			c.stage = stageQueued
			again = append(again, c)
		}
	}
	g.queue = append(again, g.queue...)
	if err != nil {
		g.pause = time.Now().Add(g.pauses.NextBackOff())
	} else {
		g.pauses.Reset()
	}
	g.signal()
}

// read fetches the rows that the batch needs in one call.
func (g *group) read(ctx context.Context, batch []*change) error {
	keys := make([]string, 0, len(batch))
	for _, c := range batch {
		if !c.known {
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
		if c.known {
			continue
		}
		c.row = found[c.key]
		c.row.Key = c.key
	}
	return nil
}

// judge applies each change to its row. It settles those that need no write
// and returns the others.
func (g *group) judge(batch []*change) []*change {
	errs := make([]error, len(batch))
	for i, c := range batch {
		c.step, errs[i] = c.apply(c.row, c.operation)
		// The row is read again unless this attempt settles the change.
		c.known = false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var send []*change
	for i, c := range batch {
		if errs[i] != nil || len(c.step.writes) == 0 {
			g.settle(c, c.step.value, c.qualify(errs[i]))
			continue
		}
		if c.doubt && c.row.Version == c.expected+1 {
			c.doubt = false
		}
		send = append(send, c)
	}
	return send
}

// qualify turns a refusal into *OutcomeError if the record may have been
// replaced after the change was in effect: the transaction without answer
// would have made version expected+1, and the row is beyond that.
func (c *change) qualify(err error) error {
	if !c.doubt || c.row.Version <= c.expected+1 {
		return err
	}
	var late *StaleAttemptError
	var state *StateError
	var repeat *NotRetryableError
	if errors.As(err, &late) || errors.As(err, &state) || errors.As(err, &repeat) {
		return &UnknownOutcomeError{ID: c.id, Operation: c.operation, Cause: err}
	}
	return err
}

// commit sends the changes in one transaction. Those with a conflict drop out
// and the others are sent again.
func (g *group) commit(ctx context.Context, batch []*change) error {
	for first := true; ; first = false {
		if !first {
			_ = g.limiter.Wait(ctx)
		}
		batch = g.send(batch)
		if len(batch) == 0 {
			return nil
		}
		err := g.transact(ctx, batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return g.answer(batch, err)
		}
		batch = g.without(batch, conflict.Keys)
	}
}

// send marks the changes as sent and drops those whose caller has left.
func (g *group) send(batch []*change) []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sent []*change
	for _, c := range batch {
		if c.stage != stageSettled {
			c.stage = stageSent
			sent = append(sent, c)
		}
	}
	return sent
}

func (g *group) transact(ctx context.Context, batch []*change) error {
	t := platform.Transaction{Operation: uuid.NewString()}
	for _, c := range batch {
		t.Writes = append(t.Writes, c.step.writes...)
	}
	g.transactions.Add(1)
	g.rows.Add(int64(len(t.Writes)))
	return g.table.Commit(ctx, t)
}

// answer settles the batch if it was written, and records a doubt if that is
// not known.
func (g *group) answer(batch []*change, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unavailable *platform.UnavailableError
	refused := errors.As(err, &unavailable)
	for _, c := range batch {
		switch {
		case err == nil:
			g.settle(c, c.step.value, nil)
		case refused || c.stage == stageSettled:
		case g.blind:
			c.operation = uuid.NewString()
		case !c.doubt:
			c.doubt = true
			c.expected = c.row.Version
		}
	}
	return err
}

// without drops the changes that write one of keys. All are dropped if none
// does, so that every row is read again.
func (g *group) without(batch []*change, keys []string) []*change {
	g.mu.Lock()
	defer g.mu.Unlock()
	conflicts := make(map[string]bool, len(keys))
	for _, key := range keys {
		conflicts[key] = true
	}
	var rest []*change
	for _, c := range batch {
		if !c.touches(conflicts) {
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

func (c *change) touches(keys map[string]bool) bool {
	for _, w := range c.step.writes {
		if keys[w.Key] {
			return true
		}
	}
	return false
}
