// Package term elects the one planner of a deployment through a conditional row
// of the platform's store and fences the planner's writes: every transaction of
// a term replaces the row, so that none takes effect after another instance has
// taken over.
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

// Part is the partition of all rows that a planner writes.
const Part = "planner"

// leaderKey is the key of the row that names the current planner.
var leaderKey = platform.RowKey{Table: "term", Part: Part, Key: "planner"}

const (
	// LeaseDuration is how long the row must stay unchanged before another
	// instance may take over. Together with the time to notice, it stays below
	// the 2 s within which work must continue elsewhere.
	LeaseDuration = 1500 * time.Millisecond
	// RenewInterval is the longest time between two transactions of a term, so
	// that two renewals may be lost within a lease.
	RenewInterval = 400 * time.Millisecond
	// attemptTimeout bounds one attempt of a transaction. It covers the direct
	// path to the store and a path through another instance.
	attemptTimeout = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between two attempts of a
	// transaction that got no response.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// TokensPerTerm is the distance between the generations of two terms. A term has the
// fencing tokens from its generation up to the next one.
const TokensPerTerm = 1_000_000

// Leader is the current planner as recorded in the store. The zero value means
// that there has been none.
type Leader struct {
	Name        string
	Incarnation uint64
	Generation  uint64
	// Version changes with each transaction of the term.
	Version int64
	// LeaseTail is the time after the start of a transaction by which the leases that
	// were granted until the next one have ended, or 0 if it is not known.
	LeaseTail time.Duration
	sequence  uint64
}

// SupersededError reports that another instance has taken over.
type SupersededError struct{ By Leader }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("superseded by instance %s with generation %d", e.By.Name, e.By.Generation)
}

// Elector reads the leader row and acquires terms for one instance.
type Elector struct {
	store       platform.Store
	name        string
	incarnation uint64
}

// New returns the elector of an instance. The incarnation differs between
// processes of the same name.
func New(store platform.Store, name string, incarnation uint64) *Elector {
	return &Elector{store: store, name: name, incarnation: incarnation}
}

// Leader reads the current leader from the store.
func (e *Elector) Leader(ctx context.Context) (Leader, error) {
	page, err := e.store.List(ctx, platform.Range{Table: leaderKey.Table, Part: leaderKey.Part, From: leaderKey.Key, Limit: 1})
	if err != nil {
		return Leader{}, err
	}
	return decodeLeader(page.Rows)
}

func decodeLeader(rows []platform.StoredRow) (Leader, error) {
	for i := range rows {
		if rows[i].RowKey != leaderKey || rows[i].Deleted {
			continue
		}
		t := &schema.Term{}
		if err := proto.Unmarshal(rows[i].Value, t); err != nil {
			return Leader{}, err
		}
		return Leader{
			Name: t.GetHolder(), Incarnation: t.GetIncarnation(), Generation: t.GetGeneration(),
			Version: rows[i].Version, LeaseTail: time.Duration(t.GetTail()) * time.Millisecond, sequence: t.GetSequence(),
		}, nil
	}
	return Leader{}, nil
}

// Acquire starts a term if the row is unchanged since previous was read. Leases end
// at most leaseTail after the start of a transaction, or at any time if it is 0. It
// returns *SupersededError if another instance was faster.
func (e *Elector) Acquire(ctx context.Context, previous Leader, leaseTail time.Duration) (*Term, error) {
	generation := previous.Generation - previous.Generation%TokensPerTerm + TokensPerTerm
	t := &Term{elector: e, previous: previous.Generation, leader: Leader{
		Name: e.name, Incarnation: e.incarnation, Generation: generation, Version: previous.Version, LeaseTail: leaseTail,
	}}
	if err := t.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	return t, nil
}

// Term is the period in which this instance is the planner. Commit must not be
// called concurrently.
type Term struct {
	elector  *Elector
	previous uint64

	mu         sync.Mutex
	leader     Leader
	lastCommit time.Duration
}

// Generation returns the lowest fencing token of the term.
func (t *Term) Generation() uint64 { return t.leader.Generation }

// PreviousGeneration returns the generation of the preceding term, or 0.
func (t *Term) PreviousGeneration() uint64 { return t.previous }

// SinceLastCommit returns the time since the start of the latest transaction
// that took effect, including time in which the machine was suspended.
func (t *Term) SinceLastCommit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uptime.Now() - t.lastCommit
}

// MaxChanges is the maximum number of writes and removes in one Commit.
const MaxChanges = platform.MaxBatch - 2

// Commit applies changes under the term and returns when they have taken
// effect. It retries a transaction that got no response: the first copy that is
// applied invalidates the others. The error is *SupersededError,
// *platform.RejectedBatchError, after which the term goes on and nothing has taken
// effect, or that of ctx, after which the outcome is unknown.
func (t *Term) Commit(ctx context.Context, writes []platform.StoredRow, removes []platform.RowKey) error {
	sequence := t.leader.sequence + 1
	value, err := proto.Marshal(&schema.Term{
		Holder: t.leader.Name, Incarnation: t.leader.Incarnation, Generation: t.leader.Generation, Sequence: sequence,
		Tail: t.leader.LeaseTail.Milliseconds(),
	})
	if err != nil {
		return err
	}
	batch := platform.Batch{
		Guards:  []platform.Guard{{RowKey: leaderKey, Version: t.leader.Version}},
		Writes:  append([]platform.StoredRow{{RowKey: leaderKey, Value: value}}, writes...),
		Removes: removes,
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	for {
		start := uptime.Now()
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		version, err := t.elector.store.Apply(attemptCtx, batch)
		cancel()
		var precondition *platform.PreconditionFailedError
		var rejected *platform.RejectedBatchError
		switch {
		case err == nil:
			t.recordCommit(version, sequence, start)
			return nil
		case errors.As(err, &precondition):
			current, err := decodeLeader(precondition.Rows)
			if err != nil {
				return err
			}
			if current.Name != t.leader.Name || current.Incarnation != t.leader.Incarnation || current.sequence != sequence {
				return &SupersededError{By: current}
			}
			t.recordCommit(current.Version, sequence, start)
			return nil
		case errors.As(err, &rejected):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// RunWithRenewal runs f and renews the term in the background. The context of f
// is cancelled if the term is lost.
func (t *Term) RunWithRenewal(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewResult := make(chan error, 1)
	go func() {
		defer cancel()
		renewResult <- t.renew(ctx)
	}()
	err := f(ctx)
	cancel()
	if lost := <-renewResult; lost != nil {
		return lost
	}
	return err
}

// renew renews the term until ctx ends. It returns the error that ended the
// term, if any.
func (t *Term) renew(ctx context.Context) error {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		// A renewal in progress is completed even if ctx ends, because the next
		// transaction of the term depends on its outcome.
		commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*LeaseDuration)
		err := t.Commit(commitCtx, nil, nil)
		cancel()
		if err != nil {
			return err
		}
	}
}

// ResignedError reports that the term was ended by Resign.
type ResignedError struct{ Generation uint64 }

func (e *ResignedError) Error() string {
	return fmt.Sprintf("resigned from term with generation %d", e.Generation)
}

// Resign ends the term with the writes, if the store accepts them, clears the leader's name in the row and
// returns *ResignedError on success.
func (t *Term) Resign(ctx context.Context, writes []platform.StoredRow) error {
	t.leader.Name = ""
	err := t.Commit(ctx, writes, nil)
	var rejected *platform.RejectedBatchError
	if errors.As(err, &rejected) && len(writes) > 0 {
		err = t.Commit(ctx, nil, nil)
	}
	if err != nil {
		return err
	}
	return &ResignedError{Generation: t.leader.Generation}
}

func (t *Term) recordCommit(version int64, sequence uint64, start time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader.Version, t.leader.sequence, t.lastCommit = version, sequence, start
}
