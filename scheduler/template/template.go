// Package template stores teams and templates in the table service and caches
// their latest known state in memory.
//
// Each change writes the row of the team or template and the row "config" in
// one transaction, both at their expected versions. The version of "config" is
// the version of the configuration. The row holds a digest of the versions of
// all other rows, so that an incomplete or stale read is detected. It also
// holds the latest changes with their values, so that one read usually brings
// an instance up to date.
//
// A Catalogue reads "config" every Options.PollInterval, without waiting for
// earlier reads to end, and immediately after Hint. A change is therefore
// active at most PollInterval plus the duration of one read after it was
// accepted. A snapshot replaces another only if its version is higher.
package template

import (
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	configKey      = "config"
	teamPrefix     = "team/"
	templatePrefix = "template/"
)

// FeasibilityFunc returns an error if the machines do not have the capacity for
// the guarantees of all teams.
type FeasibilityFunc func(teams []*schema.Team) error

// Options holds the intervals and limits of a Catalogue.
type Options struct {
	PollInterval time.Duration
	// Timeout is the timeout of a read, and of one attempt to write a change.
	// At most Timeout / PollInterval reads run at a time, plus one for a hint.
	Timeout time.Duration
	// MaxAcceleratorsPerWorker and MaxWorkersPerRack limit the shapes.
	MaxAcceleratorsPerWorker int32
	MaxWorkersPerRack        int32
}

// DefaultOptions returns the options for racks of 8 workers with 8 accelerators
// each.
func DefaultOptions() Options {
	return Options{PollInterval: 2 * time.Second, Timeout: 8 * time.Second, MaxAcceleratorsPerWorker: 8, MaxWorkersPerRack: 8}
}

// Freshness tells how recent the current configuration is.
type Freshness struct {
	Version int64
	// Confirmed is when the table last reported this version as the latest. It
	// is zero if it never did, for example after Import.
	Confirmed time.Time
}

// Catalogue holds the current configuration. It is safe for concurrent use.
type Catalogue struct {
	table      platform.Table
	feasible   FeasibilityFunc
	options    Options
	hintSignal chan struct{}

	mu            sync.Mutex
	snapshot      *Snapshot
	confirmed     time.Time
	hintedVersion int64
	subscribers   map[chan *Snapshot]bool

	// maxConcurrentPolls is the number of polls that may run at a time.
	maxConcurrentPolls int

	// allowDowngrade lets a lower version replace a higher one, and blindRetry
	// treats a lost response as not written (tests only).
	allowDowngrade, blindRetry bool
}

// New returns a Catalogue with an empty configuration of version 0. If feasible
// is nil, all guarantees are accepted.
func New(table platform.Table, feasible FeasibilityFunc, options Options) *Catalogue {
	return &Catalogue{
		table:              table,
		feasible:           feasible,
		options:            options,
		hintSignal:         make(chan struct{}, 1),
		snapshot:           &Snapshot{},
		subscribers:        make(map[chan *Snapshot]bool),
		maxConcurrentPolls: max(1, int(options.Timeout/options.PollInterval)),
	}
}

// Snapshot returns the current configuration.
func (c *Catalogue) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Freshness returns the current version and when it was last confirmed.
func (c *Catalogue) Freshness() Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Freshness{Version: c.snapshot.version, Confirmed: c.confirmed}
}

// Import activates the encoded snapshot of another instance if its version is
// higher. It stays unconfirmed until the table reports the same version.
func (c *Catalogue) Import(encoded []byte) error {
	s, err := Decode(encoded)
	if err != nil {
		return err
	}
	c.activate(s, time.Time{})
	return nil
}

// activate makes s the current configuration if its version is higher. A
// non-zero confirmed is the start of the read in which the table reported the
// version.
func (c *Catalogue) activate(s *Snapshot, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.version > c.snapshot.version || c.allowDowngrade:
		c.snapshot = s
		c.confirmed = confirmed
		c.publish(s)
	case s.version == c.snapshot.version && confirmed.After(c.confirmed):
		c.confirmed = confirmed
	}
}

// Subscribe returns a channel that receives the current snapshot, if one was read, and
// each new one. A slow receiver gets only the latest one. stop ends the subscription.
func (c *Catalogue) Subscribe() (snapshots <-chan *Snapshot, stop func()) {
	ch := make(chan *Snapshot, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers[ch] = true
	if c.snapshot.version > 0 {
		ch <- c.snapshot
	}
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, ch)
	}
}

// publish sends s to all subscribers. The caller holds the lock.
func (c *Catalogue) publish(s *Snapshot) {
	for ch := range c.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- s
	}
}
