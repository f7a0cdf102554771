// Package quarantine attributes failures to workers and jobs. Its results
// depend only on the calls made and the times passed to them.
package quarantine

import "time"

// State is the state of a worker.
type State string

// States of a worker.
const (
	// StateHealthy takes work without limit.
	StateHealthy State = "healthy"
	// StateSuspect takes one task at a time until one succeeds.
	StateSuspect State = "suspect"
	// StateQuarantined takes no work until its next probe.
	StateQuarantined State = "quarantined"
	// StateProbing takes one task, whose outcome decides.
	StateProbing State = "probing"
)

// Outcome is the end of one task.
type Outcome struct {
	Worker string
	Job    string
	// Source groups jobs that run the same code, such as team and template.
	Source string
	Failed bool
	At     time.Time
}

// Book records outcomes and derives the state of workers and jobs. It is not
// safe for concurrent use.
type Book struct{}

// New returns a book without records.
func New() *Book { return &Book{} }

// Record adds the outcome of a task. Tasks that were evicted, cancelled or
// stopped because another member failed must not be recorded.
func (b *Book) Record(o Outcome) { _ = o }

// Worker returns the state of a worker.
func (b *Book) Worker(name string, now time.Time) State {
	_, _ = name, now
	return StateHealthy
}

// Allows reports whether a worker with the given number of running tasks may
// start another one.
func (b *Book) Allows(name string, running int, now time.Time) bool {
	_, _, _ = name, running, now
	return true
}

// Probe returns when a quarantined worker may be tried again.
func (b *Book) Probe(name string) time.Time {
	_ = name
	return time.Time{}
}

// Faulty reports whether a job failed on enough healthy workers to be at fault.
func (b *Book) Faulty(job string) bool {
	_ = job
	return false
}

// Forget drops the records of a job that has ended for good.
func (b *Book) Forget(job string) { _ = job }
