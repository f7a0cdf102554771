package balance

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	pauseFirst = 20 * time.Millisecond
	pauseMax   = 2 * time.Second

	// wakePause is the least time between settlements that Admit asked for.
	wakePause = time.Second
)

// Run settles every interval, and sooner when an allowance runs short, until
// ctx ends.
func (a *Account) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.options.Interval)
	defer ticker.Stop()
	for {
		a.settleFor(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wakePause):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.wakeups:
		}
	}
}

// settleFor settles for at most one interval.
func (a *Account) settleFor(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, a.options.Interval)
	defer cancel()
	if err := a.Settle(limited); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("Settling usage failed", "centre", a.options.Centre, "err", err)
	}
}

// Settle charges the reports held and adjusts the allowances. Errors of the
// table are retried until ctx ends.
func (a *Account) Settle(ctx context.Context) error {
	a.settling.Lock()
	defer a.settling.Unlock()
	for _, b := range a.batches() {
		if err := b.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// batch is what one transaction settles.
type batch struct {
	account *Account
	charges map[string][]charge
	teams   []string
}

// batches distributes workers and teams over transactions of bounded size.
// Every team is in one of them, so that its row is read.
func (a *Account) batches() []*batch {
	pending := a.usage.pending()
	var all []*batch
	next := &batch{account: a, charges: make(map[string][]charge)}
	open := make(map[string]bool)
	seen := make(map[string]bool)
	add := func(teams map[string]bool, worker string) {
		rows := len(next.charges) + len(open) + len(teams) + 1
		if rows > a.options.MaxBatchRows && len(open) > 0 {
			next.teams = slices.Sorted(maps.Keys(open))
			all = append(all, next)
			next = &batch{account: a, charges: make(map[string][]charge)}
			open = make(map[string]bool)
		}
		if worker != "" {
			next.charges[worker] = pending[worker]
		}
		maps.Copy(open, teams)
		maps.Copy(seen, teams)
	}
	for _, worker := range slices.Sorted(maps.Keys(pending)) {
		add(teamsOf(pending[worker]), worker)
	}
	for _, name := range a.names() {
		if !seen[name] {
			add(map[string]bool{name: true}, "")
		}
	}
	next.teams = slices.Sorted(maps.Keys(open))
	return append(all, next)
}

func teamsOf(charges []charge) map[string]bool {
	teams := make(map[string]bool)
	for _, c := range charges {
		teams[c.team] = true
	}
	return teams
}

func (a *Account) names() []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Sorted(maps.Keys(a.teams))
}

// run repeats the transaction until it is in effect. Repeating is safe after
// any error: the rows are read again, and charges up to the cursors found are
// left out.
func (b *batch) run(ctx context.Context) error {
	if len(b.teams) == 0 {
		return nil
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = pauseFirst
	pauses.MaxInterval = pauseMax
	for {
		err := b.try(ctx)
		if err == nil {
			return nil
		}
		var record *RecordError
		if errors.As(err, &record) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pauses.NextBackOff()):
		}
	}
}

func (b *batch) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, b.account.options.Timeout)
	defer cancel()
	began := time.Now()
	marks := b.marks(began)
	rows, err := b.read(ctx)
	if err != nil {
		return err
	}
	p, err := b.plan(rows)
	if err != nil {
		return err
	}
	if len(p.writes) > 0 {
		t := platform.Transaction{Operation: p.operation, Writes: p.writes}
		if err := b.account.table.Commit(ctx, t); err != nil {
			return err
		}
	}
	b.adopt(p, began, marks)
	return nil
}

// marks notes the use counted locally when the read begins.
func (b *batch) marks(now time.Time) map[string]float64 {
	marks := make(map[string]float64, len(b.teams))
	for _, name := range b.teams {
		if t := b.account.team(name); t != nil {
			marks[name] = t.mark(now)
		}
	}
	return marks
}

func (b *batch) read(ctx context.Context) (map[string]platform.Row, error) {
	var keys []string
	for _, name := range b.teams {
		keys = append(keys, balancePrefix+name)
	}
	for name := range b.charges {
		keys = append(keys, usagePrefix+name)
	}
	rows, err := b.account.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	found := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found, nil
}

// plan is the transaction of a batch and the state after it.
type plan struct {
	operation string
	writes    []platform.Write
	cursors   map[string]uint64
	balances  map[string]*schema.Balance
	versions  map[string]int64
}

// plan computes the transaction from the rows read.
func (b *batch) plan(rows map[string]platform.Row) (*plan, error) {
	p := &plan{
		operation: uuid.NewString(),
		cursors:   make(map[string]uint64),
		balances:  make(map[string]*schema.Balance),
		versions:  make(map[string]int64),
	}
	sums := make(map[string]float64)
	for name, charges := range b.charges {
		if err := b.count(p, name, charges, rows[usagePrefix+name], sums); err != nil {
			return nil, err
		}
	}
	for _, name := range b.teams {
		if err := b.balance(p, name, sums[name], rows[balancePrefix+name]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// count adds the charges of one worker after its cursor to sums.
func (b *batch) count(p *plan, name string, charges []charge, row platform.Row, sums map[string]float64) error {
	cursor := new(schema.Usage)
	if err := proto.Unmarshal(row.Value, cursor); err != nil {
		return &RecordError{Key: usagePrefix + name, Cause: err}
	}
	cursor.Worker = name
	if b.account.uncounted {
		cursor.Sequence = 0
	}
	p.cursors[name] = cursor.Sequence
	if cursor.Sequence < b.account.usage.start(name) {
		return nil
	}
	for _, c := range charges {
		if c.sequence > cursor.Sequence {
			sums[c.team] += c.seconds
			p.cursors[name] = c.sequence
		}
	}
	if p.cursors[name] == cursor.Sequence || b.account.uncounted {
		return nil
	}
	cursor.Sequence = p.cursors[name]
	cursor.Operation = p.operation
	return p.write(usagePrefix+name, row.Version, cursor)
}

// balance charges one team and adjusts its allowance.
func (b *batch) balance(p *plan, name string, sum float64, row platform.Row) error {
	record := new(schema.Balance)
	if err := proto.Unmarshal(row.Value, record); err != nil {
		return &RecordError{Key: balancePrefix + name, Cause: err}
	}
	record.Team = name
	p.balances[name], p.versions[name] = record, row.Version
	centre := b.account.options.Centre
	if sum > 0 {
		w := own(record, centre)
		w.Spent += sum
		w.Drawn = max(w.Drawn, w.Spent)
	}
	d, planned := b.account.demand(name, sum)
	due := planned && (sum > 0 || d.due(record))
	if due {
		w := own(record, centre)
		w.Drawn = d.drawn(record)
		if b.account.unbounded {
			w.Drawn = w.Spent + d.burn*d.ahead
		}
		w.Burn = d.burn
	}
	if !due && sum == 0 {
		return nil
	}
	record.Operation = p.operation
	p.versions[name]++
	return p.write(balancePrefix+name, row.Version, record)
}

func (p *plan) write(key string, version int64, m proto.Message) error {
	value, err := proto.Marshal(m)
	p.writes = append(p.writes, platform.Write{Key: key, Version: version, Value: value})
	return err
}

// demand returns what the data centre wants of the balance; planned is false
// in an instance that does not know the running accelerators. Sum is charged
// in the same transaction.
func (a *Account) demand(name string, sum float64) (d demand, planned bool) {
	t := a.team(name)
	if t == nil {
		return demand{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return demand{
		centre:  a.options.Centre,
		prepaid: t.info.Prepaid,
		burn:    t.burn(),
		used:    max(0, t.unsettled()-sum),
		ahead:   a.options.ahead().Seconds(),
		share:   a.share,
	}, t.planned
}

// adopt records the state after the transaction.
func (b *batch) adopt(p *plan, began time.Time, marks map[string]float64) {
	for name, sequence := range p.cursors {
		dropped, added := b.account.usage.charged(name, sequence)
		b.account.reported(dropped, -1)
		b.account.reported(added, 1)
	}
	for name, record := range p.balances {
		if t := b.account.team(name); t != nil {
			t.renew(record, p.versions[name], began, marks[name])
		}
	}
}
