// Package ledger keeps durable records in the table service: of jobs, and of
// quick requests that must run at most once.
//
// A job has the row job/ID and, until it ends, the index row
// open/DATACENTRE/ID. Both are written in one transaction. The ID is a hash of
// team and key, so that the same key sent to several instances creates one job.
//
// # Writes
//
// A job needs five row writes in three operations: accept (the record and the
// index row), claim (the record) and finish (the record, and the deletion of
// the index row). Start, Requeue and Cancel add one operation each. The
// operations of many jobs share transactions; Options limits the rows of a
// transaction and the transactions per second.
//
// # Lost responses
//
// Each operation has an ID that is part of the record it writes. If the
// response to a transaction is lost, the record is read again. If it holds the
// ID, the operation took effect. If the row is still at the expected version,
// the same write is sent again, and at most one of the two can succeed.
// Otherwise the operation is applied again to the record found. A caller whose
// context ends first gets *UnknownOutcomeError if the write may have taken
// effect, and *NotWrittenError if it has not and never will. A refusal is also
// reported as *UnknownOutcomeError if the record has since been replaced by
// other operations, so that it is unknown whether it held the ID.
//
// # Retention
//
// Job and request rows answer repeated keys, so they must outlive the last
// retry of a caller. Expire deletes records that ended before a given time; 30
// days is the suggested age. A key sent again after that creates a new job.
package ledger

import (
	"time"

	"daisylug.example/scheduler/platform"
)

// Options limits the load that a Ledger puts on the table, and its own memory.
type Options struct {
	// Instance is recorded as the holder of claimed quick requests.
	Instance string
	// Rate is the number of transactions per second, excluding a burst of two
	// after an idle period. The sum over all instances must stay below the
	// limit of the table.
	Rate float64
	// MaxBatchRows and MaxBatchBytes limit one transaction.
	MaxBatchRows  int
	MaxBatchBytes int
	// Linger is how long an operation waits for others to share its
	// transaction.
	Linger time.Duration
	// MaxConcurrency is the number of transactions in flight at a time.
	MaxConcurrency int
	// Timeout limits the table calls of one batch, and each write to the object
	// store.
	Timeout time.Duration
	// MaxPendingOperations and MaxPendingBytes limit the operations that wait
	// for the table.
	MaxPendingOperations int
	MaxPendingBytes      int
	// MaxInlineBytes is the largest size of a result that is kept in the
	// record.
	MaxInlineBytes int
	// MaxInlinePayloadBytes is the largest size of a payload that is kept in the
	// record. Larger ones are in the object store.
	MaxInlinePayloadBytes int
}

// DefaultOptions returns the options for a site of up to 7 instances.
func DefaultOptions() Options {
	return Options{
		Rate:                  40,
		MaxBatchRows:          128,
		MaxBatchBytes:         1 << 20,
		Linger:                2 * time.Millisecond,
		MaxConcurrency:        32,
		Timeout:               15 * time.Second,
		MaxPendingOperations:  16384,
		MaxPendingBytes:       64 << 20,
		MaxInlineBytes:        4096,
		MaxInlinePayloadBytes: 16384,
	}
}

// Ledger keeps job and request records. It is safe for concurrent use, and
// several instances may share one table.
type Ledger struct {
	table     platform.Table
	objects   platform.Objects
	options   Options
	committer *groupCommitter

	// allowOverwrite lets a late outcome replace an earlier one (tests only).
	allowOverwrite bool
}

// New returns a Ledger that keeps records in table, and large payloads and results
// in objects.
func New(table platform.Table, objects platform.Objects, options Options) *Ledger {
	return &Ledger{
		table:     table,
		objects:   objects,
		options:   options,
		committer: newGroupCommitter(table, options),
	}
}

// Stats counts the calls to the table made for operations.
type Stats struct {
	Transactions int64
	Rows         int64
	Reads        int64
	// Resolved is the number of operations whose outcome was determined after a
	// lost response.
	Resolved int64
}

// Stats returns the counts since New.
func (l *Ledger) Stats() Stats { return l.committer.stats() }
