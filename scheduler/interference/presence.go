package interference

import (
	"slices"
	"time"
)

// maxWindow is the longest time over which a pace is measured, and how long a
// presence remembers kinds that have left.
const maxWindow = 60 * time.Second

// Presence records how many tasks of each kind have been on a worker over time.
// It is immutable; the zero value is an empty worker.
type Presence struct {
	entries []presenceEntry
}

// presenceEntry is the presence of one kind.
type presenceEntry struct {
	kind Kind
	// weight is the number of tasks; a throttled task counts as its share.
	weight float64
	// total is the integral of weight over time from since to at, in seconds.
	total     float64
	since, at time.Time
}

func (e *presenceEntry) totalAt(now time.Time) float64 {
	return e.total + e.weight*max(now.Sub(e.at), 0).Seconds()
}

// minWeight is the weight below which a kind is absent; shares that are added and
// removed leave rounding errors.
const minWeight = 1e-6

// With returns the presence after the weight of a kind has changed by delta.
func (p Presence) With(kind Kind, delta float64, now time.Time) Presence {
	entries := make([]presenceEntry, 0, len(p.entries)+1)
	found := false
	for _, e := range p.entries {
		switch {
		case e.kind == kind:
			found = true
			e.total, e.weight, e.at = e.totalAt(now), max(e.weight+delta, 0), now
		case e.weight < minWeight && now.Sub(e.at) > maxWindow:
			continue
		}
		entries = append(entries, e)
	}
	if !found && delta > 0 {
		entries = append(entries, presenceEntry{kind: kind, weight: delta, since: now, at: now})
	}
	return Presence{entries}
}

// share is the mean weight of a kind.
type share struct {
	kind   Kind
	weight float64
}

// meanSince returns the mean weight of each kind from start, when the presence was
// p0, until end. The time between them is at most maxWindow.
func (p Presence) meanSince(p0 Presence, start, end time.Time) []share {
	seconds := end.Sub(start).Seconds()
	shares := make([]share, 0, len(p.entries))
	for i := range p.entries {
		e := &p.entries[i]
		total := e.totalAt(end)
		if !e.since.After(start) {
			if j := slices.IndexFunc(p0.entries, func(o presenceEntry) bool { return o.kind == e.kind }); j >= 0 {
				total -= p0.entries[j].totalAt(start)
			}
		}
		if total > minWeight {
			shares = append(shares, share{e.kind, total / seconds})
		}
	}
	return shares
}
