package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/term"
)

// maxBatchBytes bounds the values of one transaction, for which the store accepts 1 MB
// after encoding.
const maxBatchBytes = 512 << 10

// change is what a transaction stores of one job, or of the planner if job is nil.
type change struct {
	job     *job
	writes  []platform.StoredRow
	removes []platform.RowKey
	// onStored are called once the change is stored.
	onStored []func()
}

// transaction is what is to be stored at a time.
type transaction struct {
	changes []change
	// due is set if there is a transaction to make, resigning if it is the last one of
	// the term.
	due, resigning bool
}

// commitLoop makes decisions, stores the changes and then applies their
// effects, until the term ends.
func (p *Planner) commitLoop(ctx context.Context) error {
	renew := time.NewTimer(term.RenewInterval)
	defer renew.Stop()
	for {
		renewalDue := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wakeups:
		case <-renew.C:
			renewalDue = true
		}
		var t transaction
		p.locked("collecting changes", func() { t = p.collectChanges(renewalDue) })
		if t.resigning {
			writes, _ := rowsOf(t.changes)
			return p.Term.Resign(ctx, writes)
		}
		if !t.due {
			continue
		}
		err := p.commit(ctx, t.changes)
		p.locked("ending a transaction", func() {
			p.instruments.commit.UpdateDuration(p.commitStart)
			p.commitStart = time.Time{}
		})
		if err != nil {
			var superseded *term.SupersededError
			if errors.As(err, &superseded) {
				p.Log.Info("term ended, another planner took over", "successor", superseded.By.Name, "successorgeneration", superseded.By.Generation)
			}
			return err
		}
		renew.Reset(term.RenewInterval)
	}
}

// commit stores changes and applies their effects. If the store rejects them for their
// content, it stores them in parts until the change at fault stands alone, and gives
// that one up.
func (p *Planner) commit(ctx context.Context, changes []change) error {
	writes, removes := rowsOf(changes)
	err := p.Term.Commit(ctx, writes, removes)
	var rejected *platform.RejectedBatchError
	switch {
	case errors.As(err, &rejected) && len(changes) > 1:
		half := len(changes) / 2
		if err := p.commit(ctx, changes[:half]); err != nil {
			return err
		}
		return p.commit(ctx, changes[half:])
	case errors.As(err, &rejected) && len(changes) == 1:
		p.locked("giving up a change", func() { p.giveUpChange(changes[0], rejected) })
		return nil
	}
	if err == nil {
		p.locked("applying stored changes", func() { p.applyStored(changes) })
	}
	return err
}

// rowsOf returns the rows that changes write and remove.
func rowsOf(changes []change) (writes []platform.StoredRow, removes []platform.RowKey) {
	for _, c := range changes {
		writes, removes = append(writes, c.writes...), append(removes, c.removes...)
	}
	return writes, removes
}

// collectChanges makes a decision and returns what is to be stored. The caller holds
// the lock.
func (p *Planner) collectChanges(renewalDue bool) transaction {
	if p.resigning {
		p.ended = true
		return transaction{resigning: true, changes: []change{{writes: p.leasesRow(time.Now())}}}
	}
	p.reinstate(time.Now())
	p.decideSafely(time.Now())
	changes, rows := p.changedJobs()
	if short := p.shortenRecords(term.MaxChanges - rows); len(short) > 0 {
		changes = append(changes, short...)
	} else {
		changes = append(changes, p.obsoleteJobs(time.Now(), term.MaxChanges-rows)...)
	}
	if len(changes) == 0 && !renewalDue {
		return transaction{}
	}
	if writes, removes := rowsOf(changes); len(writes)+len(removes) < term.MaxChanges {
		if learned := p.learnedStateRow(time.Now()); learned != nil {
			changes = append(changes, change{writes: learned})
		}
	}
	p.commitStart = time.Now()
	return transaction{changes: changes, due: true}
}

// applyStored applies the effects of changes that a transaction has stored. The caller
// holds the lock.
func (p *Planner) applyStored(changes []change) {
	for _, c := range changes {
		for _, f := range c.onStored {
			p.contain(c.job, "stored change", f)
		}
		p.reduceIfEnded(c.job)
	}
	if len(p.dirty)+len(changes) > 0 {
		p.wake()
	}
}

// changedJobs returns the changes of jobs, as many as fit into one transaction, and the
// number of their rows. The caller holds the lock.
func (p *Planner) changedJobs() (changes []change, rows int) {
	size, taken := 0, 0
	for _, j := range p.dirty {
		var encoded []platform.StoredRow
		err := errNotEncoded
		p.contain(j, "encoding of a job", func() { encoded, err = j.encodeRows(p.clock, p.maxRowBytes()) })
		if err != nil {
			p.Log.Error(err, "job cannot be encoded", "job", j.spec.ID)
			taken++
			continue
		}
		for i := range encoded {
			size += len(encoded[i].Value)
		}
		if rows+len(encoded) > term.MaxChanges || size > maxBatchBytes && rows > 0 {
			break
		}
		taken++
		rows += len(encoded)
		state := j.progress.State
		stored := func() {
			j.stored = true
			j.visibleState = state
		}
		changes = append(changes, change{job: j, writes: encoded, onStored: append([]func(){stored}, j.onStored...)})
		j.onStored, j.dirty = nil, false
	}
	p.dirty = slices.Delete(p.dirty, 0, taken)
	return changes, rows
}

// errNotEncoded is the error of a job whose encoding did not return.
var errNotEncoded = errors.New("encoding did not return")

// rejectionBackoff is how long the learned state is not written after the store has
// rejected it.
const rejectionBackoff = time.Minute

// giveUpChange handles a change that the store will never accept. A job that is not
// stored is refused; one that is stored fails, with a record of that alone. The caller
// holds the lock.
func (p *Planner) giveUpChange(c change, cause *platform.RejectedBatchError) {
	j := c.job
	if j == nil {
		p.Log.Error(cause, "rows not stored", "rows", len(c.writes))
		p.learned.storedAt = time.Now().Add(rejectionBackoff)
		return
	}
	p.Log.Error(cause, "job cannot be stored", "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "stored", j.stored, "reduced", j.reduced)
	switch {
	case !j.stored:
		p.refuseUnstored(j, cause)
	case !j.reduced:
		j.reduced = true
		j.onStored = append(c.onStored, j.onStored...)
		p.endJob(j, batch.JobFailed)
		p.markDirty(j, nil)
		p.wake()
	}
}

// refuseUnstored forgets a job that cannot be stored, and so has not begun, and answers
// its callers. The caller holds the lock.
func (p *Planner) refuseUnstored(j *job, cause error) {
	p.endJob(j, batch.JobFailed)
	p.stopJob(j)
	p.forget(j)
	p.dirty = slices.DeleteFunc(p.dirty, func(other *job) bool { return other == j })
	for _, waiter := range j.waiters {
		waiter <- Response{Outcome: OutcomeInvalid, Reason: cause.Error()}
	}
	j.waiters = nil
}
