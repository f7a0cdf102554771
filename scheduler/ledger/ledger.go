// Package ledger keeps the durable records of jobs and of quick requests that
// must run at most once in the table service.
//
// A job has the row job/ID and, until it ends, the index row
// open/DATACENTRE/ID. Both are written in one transaction. The id is a hash of
// team and key, so that the same key sent to several instances makes one job.
//
// # Writes
//
// A job needs five row writes in three operations: accept (the record and the
// index row), claim (the record) and finish (the record, and the deletion of
// the index row). Start, Requeue and Cancel add one operation each. The
// operations of many jobs share transactions; Options bounds the rows of a
// transaction and the transactions per second.
//
// # Lost answers
//
// Each operation has an id that is part of the record it writes. When the
// answer of a transaction is lost, the record is read again: if it holds the
// id, the operation is in effect; if the row is still at the expected version,
// the same write is sent again, of which at most one can succeed; otherwise
// the operation is judged anew on the record found. A caller whose context
// ends first gets *OutcomeError if the write may be in effect and
// *NotWrittenError if it is not and never will be. A refusal is also reported
// as *OutcomeError if others have replaced the record since, so that it cannot
// be told whether it held the id.
//
// # Retention
//
// Job and request rows answer repeated keys, so they must outlive the last
// retry of a caller. Expire deletes records that ended before a given time;
// 30 days is the suggested age. A key sent again after that makes a new job.
package ledger

import (
	"time"

	"daisylug.example/scheduler/platform"
)

// Options bounds the load that a Ledger puts on the table and its own memory.
type Options struct {
	// Instance is recorded as the holder of claimed quick requests.
	Instance string
	// Rate is the number of transactions per second, apart from two that may
	// follow a pause at once. The sum over all instances must stay below the
	// table's limit.
	Rate float64
	// MaxBatchRows and Bytes bound one transaction.
	MaxBatchRows  int
	MaxBatchBytes int
	// Linger is how long an operation waits for others to share its
	// transaction.
	Linger time.Duration
	// MaxConcurrency is the number of transactions under way at a time.
	MaxConcurrency int
	// Timeout is when a call to the table is given up.
	Timeout time.Duration
	// MaxPendingOperations and Memory (in bytes) bound what waits for the table.
	MaxPendingOperations int
	MaxPendingBytes      int
	// MaxInlineBytes is the size up to which a result is kept in the record.
	MaxInlineBytes int
}

// DefaultOptions returns the options for a site of up to 7 instances.
func DefaultOptions() Options {
	return Options{
		Rate:                 40,
		MaxBatchRows:         128,
		MaxBatchBytes:        1 << 20,
		Linger:               2 * time.Millisecond,
		MaxConcurrency:       32,
		Timeout:              15 * time.Second,
		MaxPendingOperations: 16384,
		MaxPendingBytes:      64 << 20,
		MaxInlineBytes:       4096,
	}
}

// Ledger keeps job and request records. It is safe for concurrent use, also
// by several instances on one table.
type Ledger struct {
	table   platform.Table
	objects platform.Objects
	options Options
	group   *group

	// overwrite lets a late outcome replace an earlier one (tests only).
	overwrite bool
}

// New returns a Ledger on table, with large results in objects.
func New(table platform.Table, objects platform.Objects, options Options) *Ledger {
	return &Ledger{
		table:   table,
		objects: objects,
		options: options,
		group:   newGroup(table, options),
	}
}

// Stats counts the calls made to the table for operations.
type Stats struct {
	Transactions int64
	Rows         int64
	Reads        int64
	// Settled is the number of operations whose lost answer was settled.
	Settled int64
}

// Stats returns the counts since New.
func (l *Ledger) Stats() Stats { return l.group.stats() }
