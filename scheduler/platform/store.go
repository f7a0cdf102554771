package platform

import (
	"context"
	"fmt"
	"time"
)

// Store is a transactional store of rows in which every transaction gets the
// next number of a single counter. Unlike Table, a transaction can be
// conditional on rows that it does not write, and rows can be watched.
type Store interface {
	// Apply makes all changes of b or none and returns the number of the
	// transaction. It returns *ChangedError if a guard does not hold,
	// *UnavailableError if nothing was done and *UnknownError if the outcome is
	// not known. A batch of unknown outcome may take effect later for as long
	// as its guards hold; to learn the outcome it is applied again.
	Apply(ctx context.Context, b Batch) (int64, error)

	// List returns rows of one part of a table in key order.
	List(ctx context.Context, r Range) (Page, error)

	// Watch returns the rows of a table that changed after a transaction, as
	// soon as there are any or when wait has passed. It returns
	// *CompactedError if that part of the history is gone.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// RowKey names a row of a Store.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// StoredRow is a row of a Store.
type StoredRow struct {
	RowKey
	// Version is the number of the transaction that wrote the row.
	Version int64
	Value   []byte
	// Deleted marks a removed row in the answer of Watch.
	Deleted bool
}

// Guard is a condition of a batch: the row has the version, or does not exist
// if the version is 0.
type Guard struct {
	RowKey
	Version int64
}

// Batch is a set of changes in one part.
type Batch struct {
	Guards  []Guard
	Writes  []StoredRow
	Removes []RowKey
}

// Range selects rows of one part with keys from From, up to Limit.
type Range struct {
	Table string
	Part  string
	From  string
	Limit int
}

// Page is a set of rows as of one moment.
type Page struct {
	Rows []StoredRow
	More bool
	// Version is the number of the newest transaction of the store.
	Version int64
	// Now is the store's steady clock, which all its clients share, or 0.
	Now time.Duration
}

// MaxBatch is the largest number of guards, writes and removals of a batch.
const MaxBatch = 100

// PreconditionFailedError reports guards that do not hold, with the rows as they are.
type PreconditionFailedError struct {
	Rows []StoredRow
}

func (e *PreconditionFailedError) Error() string {
	if len(e.Rows) == 0 {
		return "guarded row does not exist"
	}
	return fmt.Sprintf("row %s/%s is at version %d", e.Rows[0].Table, e.Rows[0].Key, e.Rows[0].Version)
}

// CompactedError reports that the history asked for is no longer kept.
type CompactedError struct {
	Table string
	After int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("history of table %s after %d is gone", e.Table, e.After)
}
