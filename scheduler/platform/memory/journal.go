package memory

import (
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Kind tells tasks and quick requests apart.
type Kind string

// Kinds of work.
const (
	KindTask  Kind = "task"
	KindQuick Kind = "quick"
)

// Start is the start of a task or quick request on a worker.
type Start struct {
	Kind   Kind   `json:"kind"`
	Worker string `json:"worker"`
	// ID is the job's or the request's.
	ID      string    `json:"id"`
	Member  int       `json:"member"`
	Attempt int       `json:"attempt"`
	At      time.Time `json:"at"`
}

// DuplicateStarts returns the starts of work that was started before, by any worker.
// With attempts set, attempts of the same work count as different work.
func DuplicateStarts(all []Start, attempts bool) []Start {
	type key struct {
		kind            Kind
		id              string
		member, attempt int
	}
	seen := make(map[key]bool, len(all))
	var doubled []Start
	for _, s := range all {
		k := key{kind: s.Kind, id: s.ID, member: s.Member}
		if attempts {
			k.attempt = s.Attempt
		}
		if seen[k] {
			doubled = append(doubled, s)
		}
		seen[k] = true
	}
	return doubled
}

// journal records starts.
type journal struct {
	mu     sync.Mutex
	starts []Start
}

func (j *journal) task(worker string, ref platform.TaskRef, now time.Time) {
	j.add(Start{Kind: KindTask, Worker: worker, ID: ref.Job, Member: ref.Member, Attempt: ref.Attempt, At: now})
}

func (j *journal) quick(worker string, ref platform.RequestRef, now time.Time) {
	j.add(Start{Kind: KindQuick, Worker: worker, ID: ref.ID, Attempt: ref.Attempt, At: now})
}

func (j *journal) add(s Start) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = append(j.starts, s)
}

func (j *journal) all() []Start {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.starts)
}

func (j *journal) reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts = nil
}
