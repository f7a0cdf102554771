// Package platform defines the services that daisylug requires of its platform:
// a transactional table, an object store, a directory of instances and
// workers, and the workers themselves.
//
// Each service is a small interface. A site integrates its platform with one
// adapter per interface; package platformtest holds the contract test that
// every adapter must pass.
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
	// Read returns the existing rows among keys, in the order of keys.
	Read(ctx context.Context, keys ...string) ([]Row, error)

	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)

	// Commit applies all writes of t or none. It returns *ConflictError if a
	// row is not at the expected version, *UnavailableError if nothing was
	// written, and *UnknownOutcomeError if the outcome is not known.
	Commit(ctx context.Context, t Transaction) error
}

// Objects is a store of immutable byte strings.
type Objects interface {
	// Put stores content under name. Storing the same content again succeeds.
	Put(ctx context.Context, name string, content []byte) error

	// Get returns the content of name, or *NotFoundError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Directory lists instances and workers. The listing lags behind the actual
// state.
type Directory interface {
	List(ctx context.Context) (Listing, error)
}

// Fleet gives access to workers by name.
type Fleet interface {
	// Worker returns the worker's client, or *NotFoundError.
	Worker(name string) (Worker, error)
}

// Worker is the client of one worker. Methods that carry a generation return
// *DeniedError if the worker has adopted a higher one.
type Worker interface {
	// Claim makes the worker adopt the lease if its generation is not lower
	// than the one in force, and returns the worker's inventory. A claim under
	// the generation in force renews the lease and the leases of all tasks.
	Claim(ctx context.Context, lease Lease) (Inventory, error)

	// Reserve reserves accelerators for one member of a gang until the
	// reservation's deadline. It returns *BusyError if they are not free.
	// Reserving the same task and attempt again updates the deadline.
	Reserve(ctx context.Context, r Reservation) error

	// Commit starts the reserved task. Committing a started task again
	// succeeds. It returns *NotFoundError if the reservation has expired.
	Commit(ctx context.Context, g Generation, ref TaskRef) error

	// Release cancels a reservation. It succeeds if there is none.
	Release(ctx context.Context, g Generation, ref TaskRef) error

	// Stop ends a task immediately, without a result. Its accelerators are free
	// when Stop returns. Stopping a task that is not running succeeds.
	Stop(ctx context.Context, g Generation, ref TaskRef) error

	// Checkpoint saves the progress of a running task and returns the saved
	// share of its work, from 0 to 1. A later reservation that names the
	// checkpoint resumes from there.
	Checkpoint(ctx context.Context, g Generation, ref TaskRef) (Checkpoint, error)

	// Throttle limits a task to a share of its full speed, from 0 to 1.
	Throttle(ctx context.Context, g Generation, ref TaskRef, share float64) error

	// Acknowledge lets the worker discard the outcome of an ended task.
	Acknowledge(ctx context.Context, g Generation, ref TaskRef) error

	// Usage returns the usage reports with a sequence number above after, oldest
	// first. Reports lag behind the work and may be returned repeatedly.
	Usage(ctx context.Context, after uint64) ([]UsageReport, error)

	// Run executes a quick request in one slot and returns its answer. It
	// returns *BusyError or *LeavingError if the request was not started, and
	// *UnknownOutcomeError if the connection failed before the answer was
	// complete.
	Run(ctx context.Context, r Request) (Answer, error)

	// Revoke determines the outcome of an attempt of a quick request. After
	// OutcomeNotStarted the worker never starts that attempt. A worker that
	// restarted and may have lost its record of the attempt returns
	// *UnknownOutcomeError.
	Revoke(ctx context.Context, ref RequestRef) (Outcome, error)

	// Probe returns the state of the slots for quick requests, without waiting.
	Probe(ctx context.Context) (Load, error)
}
