package platform

import (
	"context"
	"fmt"
	"time"
)

// Store is a transactional store of rows that numbers all transactions with a
// single counter. Unlike with Table, a transaction can be conditional on rows
// that it does not write, and rows can be watched.
type Store interface {
	// Apply makes all changes of b or none and returns the number of the
	// transaction. It returns *PreconditionFailedError if a guard does not
	// hold, *UnavailableError if nothing was done and *UnknownOutcomeError if
	// the outcome is not known. A batch with an unknown outcome may still take
	// effect as long as its guards hold; applying it again reveals the outcome.
	Apply(ctx context.Context, b Batch) (int64, error)

	// List returns rows of one part of a table in key order.
	List(ctx context.Context, r Range) (Page, error)

	// Watch returns the rows of a table that changed after transaction after. It
	// blocks until there are any or wait has passed. It returns
	// *CompactedError if that part of the history is no longer kept.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// RowKey identifies a row of a Store.
type RowKey struct {
	Table string
	// Part is the partition of the table. A batch changes rows of one part.
	Part string
	Key  string
}

// StoredRow is a row of a Store.
type StoredRow struct {
	RowKey
	// Version is the number of the transaction that wrote the row.
	Version int64
	Value   []byte
	// Deleted marks a removed row in the result of Watch.
	Deleted bool
}

// Guard is a precondition of a batch: the row is at Version, or does not exist
// if Version is 0.
type Guard struct {
	RowKey
	Version int64
}

// Batch is a set of changes to rows of one part, applied in one transaction.
type Batch struct {
	Guards  []Guard
	Writes  []StoredRow
	Removes []RowKey
}

// Range selects up to Limit rows of one part, with keys from From on.
type Range struct {
	Table string
	Part  string
	From  string
	Limit int
}

// Page is a consistent set of rows.
type Page struct {
	Rows []StoredRow
	More bool
	// Version is the number of the newest transaction of the store.
	Version int64
	// Now is the store's monotonic clock, which all its clients share, or 0 if
	// it is not known.
	Now time.Duration
}

// MaxBatch is the maximum number of guards, writes and removals of a batch.
const MaxBatch = 100

// PreconditionFailedError reports guards that do not hold, with the guarded rows
// as they are.
type PreconditionFailedError struct {
	Rows []StoredRow
}

func (e *PreconditionFailedError) Error() string {
	if len(e.Rows) == 0 {
		return "guarded row does not exist"
	}
	return fmt.Sprintf("row %s/%s is at version %d", e.Rows[0].Table, e.Rows[0].Key, e.Rows[0].Version)
}

// RejectedBatchError reports a batch that the store will never apply because of its
// content, such as a value that is too long. Nothing was applied.
type RejectedBatchError struct{ Reason string }

func (e *RejectedBatchError) Error() string { return "store rejects the batch: " + e.Reason }

// CompactedError reports that the requested history is no longer kept.
type CompactedError struct {
	Table string
	After int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history of table %s after version %d has been compacted", e.Table, e.After)
}
