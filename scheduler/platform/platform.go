// Package platform defines the services that daisylug takes from its platform:
// a transactional table, an object store, a directory of instances and
// workers, and the workers themselves.
//
// Each service is a small interface. A site connects its own platform with one
// adapter for each interface; package platformtest holds the contract test
// that every adapter passes.
package platform

import "context"

// Platform groups the four services.
type Platform struct {
	Table     Table
	Objects   Objects
	Directory Directory
	Fleet     Fleet
}

// Table is a transactional key-value table service.
type Table interface {
	// Read returns the rows that exist among keys, in the order of keys.
	Read(ctx context.Context, keys ...string) ([]Row, error)

	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)

	// Commit applies all writes of t or none. It returns *ConflictError if a
	// row is not at the expected version, *UnavailableError if nothing was
	// written, and *UnknownError if the outcome is not known.
	Commit(ctx context.Context, t Transaction) error
}

// Objects is a store of immutable byte strings.
type Objects interface {
	// Put stores content under name. Storing equal content again succeeds.
	Put(ctx context.Context, name string, content []byte) error

	// Get returns the content of name, or *NotFoundError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Directory lists instances and workers. Its answer lags behind the truth.
type Directory interface {
	List(ctx context.Context) (Listing, error)
}

// Fleet gives access to workers by name.
type Fleet interface {
	// Worker returns the worker's client, or *NotFoundError.
	Worker(name string) (Worker, error)
}

// Worker commands one worker. Methods that carry a generation return
// *DeniedError when the worker has adopted a higher one.
type Worker interface {
	// Claim adopts the lease if its generation is not lower than the one in
	// force, and returns what the worker holds. A claim under the generation
	// in force renews the lease and the leases of all tasks.
	Claim(ctx context.Context, lease Lease) (Inventory, error)

	// Reserve holds accelerators for one member of a gang until the
	// reservation's deadline. It returns *BusyError if they are not free.
	// Reserving the same task and attempt again extends the deadline.
	Reserve(ctx context.Context, r Reservation) error

	// Commit starts the reserved task. Committing a started task again
	// succeeds. It returns *NotFoundError if the reservation has lapsed.
	Commit(ctx context.Context, g Generation, ref TaskRef) error

	// Release drops a reservation. Releasing what is not held succeeds.
	Release(ctx context.Context, g Generation, ref TaskRef) error

	// Stop ends a task at once without a result. Its accelerators are free
	// when Stop returns. Stopping what is not running succeeds.
	Stop(ctx context.Context, g Generation, ref TaskRef) error

	// Checkpoint saves the progress of a running task and returns the share
	// of its work that is saved, from 0 to 1. A later reservation that names
	// the checkpoint resumes from there.
	Checkpoint(ctx context.Context, g Generation, ref TaskRef) (Checkpoint, error)

	// Throttle limits a task to a share of its normal speed, from 0 to 1.
	Throttle(ctx context.Context, g Generation, ref TaskRef, share float64) error

	// Acknowledge drops the kept outcome of an ended task.
	Acknowledge(ctx context.Context, g Generation, ref TaskRef) error

	// Usage returns the usage reports with a sequence above after, oldest
	// first. Reports lag behind the work and may be returned repeatedly.
	Usage(ctx context.Context, after uint64) ([]UsageReport, error)

	// Run executes a quick request in one slot and returns its answer. It
	// returns *BusyError or *LeavingError if the request was not started, and
	// *UnknownError if the connection failed before the answer was complete.
	Run(ctx context.Context, r Request) (Answer, error)

	// Revoke settles the outcome of an attempt of a quick request. After
	// OutcomeNotStarted the worker never starts that attempt. A worker that
	// restarted and may have forgotten the attempt returns *UnknownError.
	Revoke(ctx context.Context, ref RequestRef) (Outcome, error)

	// Probe answers at once and reports the state of the quick slots.
	Probe(ctx context.Context) (Load, error)
}
