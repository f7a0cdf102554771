package balance

import (
	"slices"
	"sync"

	"daisylug.example/scheduler/platform"
)

// maxHeldReports is the number of reports of one worker that are held while
// they cannot be charged. Later ones stay on the worker.
const maxHeldReports = 1024

// charge is a report that is not charged yet.
type charge struct {
	sequence uint64
	team     string
	seconds  float64
}

// workerReports holds the reports of one worker. It has all charges with a
// sequence above completeFrom, up to the last one held.
type workerReports struct {
	completeFrom uint64
	held         []charge
	// confirmed is set once the cursor row was read. Until then the held
	// reports may have been charged before and do not count as usage.
	confirmed bool
}

// lastSequence returns the sequence of the latest report held or charged.
func (w *workerReports) lastSequence() uint64 {
	if len(w.held) == 0 {
		return w.completeFrom
	}
	return w.held[len(w.held)-1].sequence
}

// reportStore holds the reports of all workers.
type reportStore struct {
	mu      sync.Mutex
	workers map[string]*workerReports
}

// LastSequence returns the sequence after which to ask the worker for reports.
func (a *Account) LastSequence(name string) uint64 {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	if w := a.usage.workers[name]; w != nil {
		return w.lastSequence()
	}
	return 0
}

// AddUsage takes the reports that a worker returned for the given sequence
// after. Reports taken before are ignored. So are reports that begin after a
// gap, since those in the gap would be lost. Reports are charged at the next
// settlement and must be sent again if this instance crashes before.
func (a *Account) AddUsage(name string, after uint64, reports []platform.UsageReport) {
	a.adjustReported(a.usage.add(name, after, reports), 1)
}

// DropUsage drops the reports of a worker that another instance has taken over.
func (a *Account) DropUsage(name string) {
	a.adjustReported(a.usage.drop(name), -1)
}

// adjustReported adds the charges, multiplied by sign, to the sums of their
// teams.
func (a *Account) adjustReported(charges []charge, sign float64) {
	for _, c := range charges {
		if t := a.team(c.team); t != nil {
			t.addReported(sign * c.seconds)
		}
	}
}

// drop removes the worker and returns the charges that counted as usage.
func (u *reportStore) drop(name string) []charge {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	delete(u.workers, name)
	if w == nil || !w.confirmed {
		return nil
	}
	return w.held
}

// add holds the reports that are new and returns those that count as usage.
func (u *reportStore) add(name string, after uint64, reports []platform.UsageReport) []charge {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	if w == nil {
		w = &workerReports{completeFrom: after}
		u.workers[name] = w
	}
	if after > w.lastSequence() {
		return nil
	}
	firstNew := len(w.held)
	for _, r := range reports {
		if r.Sequence <= w.lastSequence() || len(w.held) >= maxHeldReports {
			continue
		}
		w.held = append(w.held, charge{sequence: r.Sequence, team: r.Team, seconds: max(0, r.Seconds)})
	}
	if !w.confirmed {
		return nil
	}
	return slices.Clone(w.held[firstNew:])
}

// pendingCharges returns the held charges of each worker that has any.
func (u *reportStore) pendingCharges() map[string][]charge {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := make(map[string][]charge)
	for name, w := range u.workers {
		if len(w.held) > 0 {
			held[name] = slices.Clone(w.held)
		}
	}
	return held
}

// advanceCursor moves the cursor of the worker to sequence, as found in or
// written to its row. It returns the charges that no longer count as usage, and
// those that count from now on. Held reports that do not follow the cursor are
// dropped; the worker sends them again.
func (u *reportStore) advanceCursor(name string, sequence uint64) (dropped, added []charge) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	if w == nil {
		return nil, nil
	}
	n := len(w.held)
	if sequence >= w.completeFrom {
		n = 0
		for n < len(w.held) && w.held[n].sequence <= sequence {
			n++
		}
	}
	dropped, rest := w.held[:n:n], slices.Clone(w.held[n:])
	firstRead := !w.confirmed
	*w = workerReports{completeFrom: sequence, held: rest, confirmed: true}
	if firstRead {
		return nil, slices.Clone(rest)
	}
	return dropped, nil
}

// completeFrom returns the sequence after which the held reports of the worker
// are complete.
func (u *reportStore) completeFrom(name string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if w := u.workers[name]; w != nil {
		return w.completeFrom
	}
	return 0
}
