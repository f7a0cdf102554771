package balance

import (
	"sync"
	"time"

	"daisylug.example/scheduler/schema"
)

// maxBalanceAgeIntervals is the number of settlement intervals for which a
// confirmed balance that is not drawn yet may be used.
const maxBalanceAgeIntervals = 2

// team is the local state of one team.
type team struct {
	mu   sync.Mutex
	info Team

	// balance is the row as last read; nil if it was never read.
	balance *schema.Balance
	version int64
	// readAt is when the read began, here or in the instance that exported the
	// balance.
	readAt   time.Time
	imported bool

	// running is the number of accelerators in use since usedUntil; used is the
	// usage up to then that the balance cannot contain, in accelerator-seconds.
	running   float64
	usedUntil time.Time
	used      float64
	// runningKnown is set once the number of running accelerators is known.
	runningKnown bool
	// reported is the sum of the reports held here and not charged.
	reported float64
}

func (t *team) setInfo(info Team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.info = info
}

func (t *team) confirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAtLocked()
}

func (t *team) confirmedAtLocked() time.Time {
	if t.imported {
		return time.Time{}
	}
	return t.readAt
}

// advance counts the usage up to now. The caller holds the lock.
func (t *team) advance(now time.Time) {
	if t.usedUntil.IsZero() {
		t.usedUntil = now
	}
	if passed := now.Sub(t.usedUntil); passed > 0 {
		t.used += t.running * passed.Seconds()
		t.usedUntil = now
	}
}

func (t *team) setRunning(accelerators float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.running = accelerators
	if !t.runningKnown {
		t.runningKnown = true
		t.assumeRunningSinceRead(now)
	}
}

// assumeRunningSinceRead counts the running accelerators as running since the
// balance was read, because a new planner does not know the usage before it
// took over.
func (t *team) assumeRunningSinceRead(now time.Time) {
	if t.readAt.IsZero() {
		return
	}
	t.used = max(t.used, t.running*now.Sub(t.readAt).Seconds())
}

// burnRate returns the number of accelerators to hold allowance for.
func (t *team) burnRate() float64 {
	return max(t.running, t.info.MinAccelerators, 1)
}

// unsettled returns the usage that the balance does not contain.
func (t *team) unsettled() float64 { return max(t.used, t.reported) }

// localBalance returns what may be spent without the table. If the balance was
// never read, this is what a first draw would grant.
func (t *team) localBalance(o Options) float64 {
	if t.balance == nil {
		return min(t.info.Prepaid, max(t.info.MinAccelerators, 1)*o.horizon().Seconds()) - t.unsettled()
	}
	entry := allowance(t.balance, o.Centre)
	return entry.Drawn - entry.Spent - t.unsettled()
}

// undrawnBalance returns the part of the balance that no data centre has drawn.
func (t *team) undrawnBalance() float64 {
	if t.balance == nil {
		return 0
	}
	undrawn := t.info.Prepaid
	for _, entry := range t.balance.Allowances {
		undrawn -= max(entry.Drawn, entry.Spent)
	}
	return undrawn
}

// admit decides whether new work may start. drawNeeded is set if the local
// balance is running low.
func (t *team) admit(accelerators float64, now time.Time, o Options) (admitted, drawNeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	local := t.localBalance(o)
	recent := now.Sub(t.readAt) <= maxBalanceAgeIntervals*o.Interval
	admitted = local > 0 || recent && local+t.undrawnBalance() > 0
	if admitted {
		t.running += accelerators
	}
	needed := t.running * maxBalanceAgeIntervals * o.Interval.Seconds()
	return admitted, local < needed
}

func (t *team) remaining(now time.Time, o Options) Remaining {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	total := t.info.Prepaid - t.unsettled()
	for _, entry := range t.balance.GetAllowances() {
		total -= entry.Spent
	}
	return Remaining{Local: t.localBalance(o), Total: total, Confirmed: t.confirmedAtLocked()}
}

// usedAt returns the usage counted up to now. updateBalance subtracts it when a
// read that began now has returned.
func (t *team) usedAt(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.used
}

// updateBalance replaces the balance unless it is older. usedAtRead is the
// usage counted when the read began.
func (t *team) updateBalance(b *schema.Balance, version int64, readAt time.Time, usedAtRead float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.balance != nil && version < t.version {
		return
	}
	t.balance = b
	t.version = version
	t.readAt = readAt
	t.imported = false
	t.used = max(0, t.used-usedAtRead)
}

// addReported adds to the sum of reports that are held and not charged.
func (t *team) addReported(seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = max(0, t.reported+seconds)
}
