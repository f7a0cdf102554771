// Package term elects the one planner of a deployment through a conditional
// row of the platform's store and fences the planner's writes: every
// transaction of a term replaces the row, so that none takes effect after
// another instance has taken over.
package term

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/uptime"
)

// Part is the part of all rows that a planner writes.
const Part = "planner"

// row is the row of the planner in office.
var row = platform.RowKey{Table: "term", Part: Part, Key: "planner"}

const (
	// LeaseDuration is how long the row stays unchanged before another instance may
	// take over; with the time to notice it stays below the 2 s in which work must
	// go on elsewhere.
	LeaseDuration = 1500 * time.Millisecond
	// RenewInterval is the longest time between two transactions of a term, so that
	// two renewals may be lost within a lease.
	RenewInterval = 400 * time.Millisecond
	// tryTimeout bounds one try of a transaction; it covers the direct way to
	// the store and one through another instance.
	tryTimeout = 2500 * time.Millisecond
	// retryFirst and retryLast bound the time between two tries of a
	// transaction without an answer.
	retryFirst = 20 * time.Millisecond
	retryLast  = 250 * time.Millisecond
)

// Leader is the planner in office as the store knows it. The zero value means
// that there has been none.
type Leader struct {
	Name        string
	Incarnation uint64
	Generation  uint64
	// Version changes with each transaction of the term.
	Version  int64
	sequence uint64
}

// SupersededError reports that another instance has taken over.
type SupersededError struct{ By Leader }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("instance %s took over with generation %d", e.By.Name, e.By.Generation)
}

// Elector gives access to the row.
type Elector struct {
	store       platform.Store
	name        string
	incarnation uint64
}

// New returns the office for an instance and its incarnation, which differs
// between processes of the same name.
func New(store platform.Store, name string, incarnation uint64) *Elector {
	return &Elector{store: store, name: name, incarnation: incarnation}
}

// Leader reads who is in office.
func (o *Elector) Leader(ctx context.Context) (Leader, error) {
	page, err := o.store.List(ctx, platform.Range{Table: row.Table, Part: row.Part, From: row.Key, Limit: 1})
	if err != nil {
		return Leader{}, err
	}
	return holderOf(page.Rows)
}

func holderOf(rows []platform.StoredRow) (Leader, error) {
	for i := range rows {
		if rows[i].RowKey != row || rows[i].Deleted {
			continue
		}
		t := &schema.Term{}
		if err := proto.Unmarshal(rows[i].Value, t); err != nil {
			return Leader{}, err
		}
		return Leader{
			Name: t.GetHolder(), Incarnation: t.GetIncarnation(), Generation: t.GetGeneration(),
			Version: rows[i].Version, sequence: t.GetSequence(),
		}, nil
	}
	return Leader{}, nil
}

// Acquire starts a term if the row is still as in last. It returns
// *DeposedError if another instance was faster.
func (o *Elector) Acquire(ctx context.Context, last Leader) (*Term, error) {
	t := &Term{office: o, held: Leader{
		Name: o.name, Incarnation: o.incarnation, Generation: last.Generation + 1, Version: last.Version,
	}}
	if err := t.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	return t, nil
}

// Term is the time in office of this instance. Commit is called by one
// goroutine at a time.
type Term struct {
	office *Elector

	mu    sync.Mutex
	held  Leader
	since time.Duration
}

// Generation returns the fencing token of the term.
func (t *Term) Generation() uint64 { return t.held.Generation }

// SinceLastCommit returns the time since the start of the latest transaction that took
// effect, time in which the machine was suspended included.
func (t *Term) SinceLastCommit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uptime.Now() - t.since
}

// MaxChanges is the largest number of changes of one Commit.
const MaxChanges = platform.MaxBatch - 2

// Commit applies changes under the term and returns when they have taken
// effect. It repeats a transaction without an answer: whichever copy is first
// voids the others. The error is *DeposedError, or that of ctx, after which
// the outcome is unknown.
func (t *Term) Commit(ctx context.Context, writes []platform.StoredRow, removes []platform.RowKey) error {
	sequence := t.held.sequence + 1
	value, err := proto.Marshal(&schema.Term{
		Holder: t.held.Name, Incarnation: t.held.Incarnation, Generation: t.held.Generation, Sequence: sequence,
	})
	if err != nil {
		return err
	}
	batch := platform.Batch{
		Guards:  []platform.Guard{{RowKey: row, Version: t.held.Version}},
		Writes:  append([]platform.StoredRow{{RowKey: row, Value: value}}, writes...),
		Removes: removes,
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryLast
	for {
		begun := uptime.Now()
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		version, err := t.office.store.Apply(try, batch)
		cancel()
		var changed *platform.PreconditionFailedError
		switch {
		case err == nil:
			t.applied(version, sequence, begun)
			return nil
		case errors.As(err, &changed):
			now, err := holderOf(changed.Rows)
			if err != nil {
				return err
			}
			if now.Name != t.held.Name || now.Incarnation != t.held.Incarnation || now.sequence != sequence {
				return &SupersededError{By: now}
			}
			t.applied(now.Version, sequence, begun)
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// RunWithRenewal runs f and renews the term meanwhile. A term that is lost ends f.
func (t *Term) RunWithRenewal(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan error, 1)
	go func() {
		defer cancel()
		renewed <- t.renew(ctx)
	}()
	err := f(ctx)
	cancel()
	if lost := <-renewed; lost != nil {
		return lost
	}
	return err
}

// renew renews the term until ctx ends, and returns why it was lost.
func (t *Term) renew(ctx context.Context) error {
	tick := time.NewTicker(RenewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		// A renewal that has begun is brought to its end: the next transaction of
		// the term depends on its outcome.
		one, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*LeaseDuration)
		err := t.Commit(one, nil, nil)
		cancel()
		if err != nil {
			return err
		}
	}
}

// ResignedError reports that the term was given up.
type ResignedError struct{ Generation uint64 }

func (e *ResignedError) Error() string {
	return fmt.Sprintf("term of generation %d was given up", e.Generation)
}

// Resign leaves the office vacant and returns *ResignedError on success.
func (t *Term) Resign(ctx context.Context) error {
	t.held.Name = ""
	if err := t.Commit(ctx, nil, nil); err != nil {
		return err
	}
	return &ResignedError{Generation: t.held.Generation}
}

func (t *Term) applied(version int64, sequence uint64, begun time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held.Version, t.held.sequence, t.since = version, sequence, begun
}
