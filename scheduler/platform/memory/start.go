package memory

import (
	"slices"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
)

// Kind distinguishes tasks from quick requests.
type Kind string

// Kinds of work.
const (
	KindTask  Kind = "task"
	KindQuick Kind = "quick"
)

// Start records the start of a task or quick request on a worker.
type Start struct {
	Kind   Kind   `json:"kind"`
	Worker string `json:"worker"`
	// ID is the ID of the job or request.
	ID      string    `json:"id"`
	Member  int       `json:"member"`
	Attempt int       `json:"attempt"`
	At      time.Time `json:"at"`
}

// DuplicateStarts returns the starts of work that had already been started, on
// any worker. If distinguishAttempts is set, attempts of the same work count as
// different work.
func DuplicateStarts(all []Start, distinguishAttempts bool) []Start {
	type key struct {
		kind            Kind
		id              string
		member, attempt int
	}
	seen := make(map[key]bool, len(all))
	var duplicates []Start
	for _, s := range all {
		k := key{kind: s.Kind, id: s.ID, member: s.Member}
		if distinguishAttempts {
			k.attempt = s.Attempt
		}
		if seen[k] {
			duplicates = append(duplicates, s)
		}
		seen[k] = true
	}
	return duplicates
}

// startLog records starts.
type startLog struct {
	mu     sync.Mutex
	starts []Start
}

func (l *startLog) addTask(worker string, ref platform.TaskRef, now time.Time) {
	l.add(Start{Kind: KindTask, Worker: worker, ID: ref.Job, Member: ref.Member, Attempt: ref.Attempt, At: now})
}

func (l *startLog) addQuick(worker string, ref platform.RequestRef, now time.Time) {
	l.add(Start{Kind: KindQuick, Worker: worker, ID: ref.ID, Attempt: ref.Attempt, At: now})
}

func (l *startLog) add(s Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
}

func (l *startLog) all() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.starts)
}

func (l *startLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = nil
}
