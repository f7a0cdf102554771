package balance

import (
	"slices"
	"sync"

	"daisylug.example/scheduler/platform"
)

// heldMax is the number of reports of one worker that are held while they
// cannot be charged. Later ones stay on the worker.
const heldMax = 1024

// charge is one report that is not charged yet.
type charge struct {
	sequence uint64
	team     string
	seconds  float64
}

// worker is the state of one worker's reports. Its held charges are complete
// from after on.
type worker struct {
	after uint64
	held  []charge
	// confirmed is set once the cursor row was read. Until then the held
	// reports may have been charged before and do not count as use.
	confirmed bool
}

// last returns the sequence of the latest report held or charged.
func (w *worker) last() uint64 {
	if len(w.held) == 0 {
		return w.after
	}
	return w.held[len(w.held)-1].sequence
}

// usage holds the reports of all workers.
type usage struct {
	mu      sync.Mutex
	workers map[string]*worker
}

// LastSequence returns the sequence after which to ask the worker for reports.
func (a *Account) LastSequence(name string) uint64 {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	if w := a.usage.workers[name]; w != nil {
		return w.last()
	}
	return 0
}

// AddUsage takes the reports that Usage(after) of a worker returned. Reports
// taken before are ignored; so is an answer that leaves a gap, since the
// reports in between would be lost. Reports are charged at the next
// settlement and must be sent again if this instance dies before.
func (a *Account) AddUsage(name string, after uint64, reports []platform.UsageReport) {
	a.reported(a.usage.add(name, after, reports), 1)
}

// DropUsage drops the reports of a worker that another instance has taken over.
func (a *Account) DropUsage(name string) {
	a.reported(a.usage.forget(name), -1)
}

// reported adds the charges, times the sign, to the sums of their teams.
func (a *Account) reported(charges []charge, sign float64) {
	for _, c := range charges {
		if t := a.team(c.team); t != nil {
			t.report(sign * c.seconds)
		}
	}
}

// forget drops the worker and returns the charges that counted as use.
func (u *usage) forget(name string) []charge {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	delete(u.workers, name)
	if w == nil || !w.confirmed {
		return nil
	}
	return w.held
}

// add holds the reports that are new and returns those that count as use.
func (u *usage) add(name string, after uint64, reports []platform.UsageReport) []charge {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	if w == nil {
		w = &worker{after: after}
		u.workers[name] = w
	}
	if after > w.last() {
		return nil
	}
	first := len(w.held)
	for _, r := range reports {
		if r.Sequence <= w.last() || len(w.held) >= heldMax {
			continue
		}
		w.held = append(w.held, charge{sequence: r.Sequence, team: r.Team, seconds: max(0, r.Seconds)})
	}
	if !w.confirmed {
		return nil
	}
	return slices.Clone(w.held[first:])
}

// pending returns the held charges of each worker that has any.
func (u *usage) pending() map[string][]charge {
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

// charged moves the worker's cursor to sequence, as found in or written to its
// row. It returns the charges that no longer count as use, and those that do
// from now on. Held reports that do not follow the cursor are dropped; the
// worker sends them again.
func (u *usage) charged(name string, sequence uint64) (dropped, added []charge) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.workers[name]
	if w == nil {
		return nil, nil
	}
	n := len(w.held)
	if sequence >= w.after {
		n = 0
		for n < len(w.held) && w.held[n].sequence <= sequence {
			n++
		}
	}
	dropped, rest := w.held[:n:n], slices.Clone(w.held[n:])
	first := !w.confirmed
	*w = worker{after: sequence, held: rest, confirmed: true}
	if first {
		return nil, slices.Clone(rest)
	}
	return dropped, nil
}

// start returns the sequence from which the worker's held reports are
// complete.
func (u *usage) start(name string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if w := u.workers[name]; w != nil {
		return w.after
	}
	return 0
}
