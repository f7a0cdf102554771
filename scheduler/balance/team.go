package balance

import (
	"sync"
	"time"

	"daisylug.example/scheduler/schema"
)

// trusted is for how many settlement intervals a confirmed balance that is not
// drawn yet may be used.
const trusted = 2

// team is the local state of one team.
type team struct {
	mu   sync.Mutex
	info Team

	// balance is the row as last read; nil if it was never read.
	balance *schema.Balance
	version int64
	// read is when the reading began, here or in the instance that transferred
	// the balance.
	read        time.Time
	transferred bool

	// running accelerators since the time changed; used is the use up to then
	// that the balance cannot contain, in accelerator-seconds.
	running float64
	changed time.Time
	used    float64
	// planned is set once the number of running accelerators is known.
	planned bool
	// reported is the sum of the reports held here and not charged.
	reported float64
}

func (t *team) set(info Team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.info = info
}

func (t *team) confirmed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation()
}

func (t *team) confirmation() time.Time {
	if t.transferred {
		return time.Time{}
	}
	return t.read
}

// advance counts the use up to now. The caller holds the lock.
func (t *team) advance(now time.Time) {
	if t.changed.IsZero() {
		t.changed = now
	}
	if passed := now.Sub(t.changed); passed > 0 {
		t.used += t.running * passed.Seconds()
		t.changed = now
	}
}

func (t *team) setRunning(accelerators float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.running = accelerators
	if !t.planned {
		t.planned = true
		t.assume(now)
	}
}

// assume counts the running accelerators as running since the balance was
// read, for a planner that does not know the time before it took over.
func (t *team) assume(now time.Time) {
	if t.read.IsZero() {
		return
	}
	t.used = max(t.used, t.running*now.Sub(t.read).Seconds())
}

// burn returns the number of accelerators to hold allowance for.
func (t *team) burn() float64 {
	return max(t.running, t.info.MinAccelerators, 1)
}

// unsettled returns the use that the balance does not contain.
func (t *team) unsettled() float64 { return max(t.used, t.reported) }

// local returns what may be spent without the table. Without any knowledge of
// the balance this is what a first draw would grant.
func (t *team) local(o Options) float64 {
	if t.balance == nil {
		return min(t.info.Prepaid, max(t.info.MinAccelerators, 1)*o.ahead().Seconds()) - t.unsettled()
	}
	w := allowance(t.balance, o.Centre)
	return w.Drawn - w.Spent - t.unsettled()
}

// pool returns the part of the balance that no data centre has drawn.
func (t *team) pool() float64 {
	if t.balance == nil {
		return 0
	}
	left := t.info.Prepaid
	for _, w := range t.balance.Allowances {
		left -= max(w.Drawn, w.Spent)
	}
	return left
}

// admit decides on new work. Short asks for a draw.
func (t *team) admit(accelerators float64, now time.Time, o Options) (admitted, short bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	local := t.local(o)
	fresh := now.Sub(t.read) <= trusted*o.Interval
	admitted = local > 0 || fresh && local+t.pool() > 0
	if admitted {
		t.running += accelerators
	}
	soon := t.running * trusted * o.Interval.Seconds()
	return admitted, local < soon
}

func (t *team) remaining(now time.Time, o Options) Remaining {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	total := t.info.Prepaid - t.unsettled()
	for _, w := range t.balance.GetAllowances() {
		total -= w.Spent
	}
	return Remaining{Local: t.local(o), Total: total, Confirmed: t.confirmation()}
}

// mark returns the use counted up to now, to be taken off by renew when a read
// that began now has returned.
func (t *team) mark(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.used
}

// renew replaces the balance by a newer one, read at the time of the mark.
func (t *team) renew(b *schema.Balance, version int64, read time.Time, mark float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.balance != nil && version < t.version {
		return
	}
	t.balance = b
	t.version = version
	t.read = read
	t.transferred = false
	t.used = max(0, t.used-mark)
}

// report adds to the reports that are held and not charged.
func (t *team) report(seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = max(0, t.reported+seconds)
}
