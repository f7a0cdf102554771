package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// submissionShare is the part of the memory that the submissions which all
	// instances pass on to the planner at a time may take there.
	submissionShare = 1.0 / 12
	// minSubmissionBytes is the least that an instance may pass on at a time: two of
	// the largest jobs.
	minSubmissionBytes = 128 << 10
	// membershipTime is how long an instance takes to know those that have started with
	// it: the time between two listings of the instances.
	membershipTime = 2 * time.Second
	// defaultMemory is the memory of an instance if the settings state none.
	defaultMemory = 256 << 20
	// submissionTimeout is how long a submission waits for others before the attempt
	// is given up.
	submissionTimeout = 500 * time.Millisecond
)

// submissionBudget bounds the submissions on their way to the planner of another
// instance, which holds what it has received until it can serve it.
type submissionBudget struct {
	mu   sync.Mutex
	held int64
	// changed is closed when bytes are released. It is nil if nobody waits.
	changed chan struct{}
}

// acquire reserves n bytes of the limit, and reports false if ctx ends before there
// is room. A submission that exceeds the limit by itself passes alone.
func (b *submissionBudget) acquire(ctx context.Context, n, limit int64) bool {
	for {
		b.mu.Lock()
		if b.held == 0 || b.held+n <= limit {
			b.held += n
			b.mu.Unlock()
			return true
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (b *submissionBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// submissionLimit returns how many bytes of submissions this instance may pass on at
// a time: its part of what all may, and the least as long as it may not know the others.
// The planner's memory is taken for the own one.
func (e *Server) submissionLimit() int64 {
	if time.Now().Before(e.othersKnownAt) {
		return minSubmissionBytes
	}
	memory := e.settings.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	instances := max(len(e.group.Members()), 1)
	return max(int64(submissionShare*float64(memory))/int64(instances), minSubmissionBytes)
}
