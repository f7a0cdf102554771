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
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second

	// minSettlementDelay is the minimum time between settlements that Admit
	// asked for.
	minSettlementDelay = time.Second
)

// Run settles at every interval, and sooner when an allowance runs low, until
// ctx ends.
func (a *Account) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.options.Interval)
	defer ticker.Stop()
	for {
		a.settleWithTimeout(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minSettlementDelay):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.settleRequests:
		}
	}
}

// settleWithTimeout settles for at most one interval.
func (a *Account) settleWithTimeout(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, a.options.Interval)
	defer cancel()
	if err := a.Settle(limited); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("Settling usage failed", "centre", a.options.Centre, "err", err)
	}
}

// Settle charges the held reports and adjusts the allowances. Errors of the
// table are retried until ctx ends.
func (a *Account) Settle(ctx context.Context) error {
	a.settleMu.Lock()
	defer a.settleMu.Unlock()
	for _, b := range a.batches() {
		if err := b.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// batch is the part of a settlement that one transaction writes.
type batch struct {
	account *Account
	charges map[string][]charge
	teams   []string
}

// batches distributes workers and teams over transactions of limited size.
// Every team is in one of them, so that its row is read.
func (a *Account) batches() []*batch {
	pending := a.usage.pendingCharges()
	var batches []*batch
	next := &batch{account: a, charges: make(map[string][]charge)}
	batchTeams := make(map[string]bool)
	assigned := make(map[string]bool)
	add := func(teams map[string]bool, worker string) {
		rows := len(next.charges) + len(batchTeams) + len(teams) + 1
		if rows > a.options.MaxBatchRows && len(batchTeams) > 0 {
			next.teams = slices.Sorted(maps.Keys(batchTeams))
			batches = append(batches, next)
			next = &batch{account: a, charges: make(map[string][]charge)}
			batchTeams = make(map[string]bool)
		}
		if worker != "" {
			next.charges[worker] = pending[worker]
		}
		maps.Copy(batchTeams, teams)
		maps.Copy(assigned, teams)
	}
	for _, worker := range slices.Sorted(maps.Keys(pending)) {
		add(chargedTeams(pending[worker]), worker)
	}
	for _, name := range a.teamNames() {
		if !assigned[name] {
			add(map[string]bool{name: true}, "")
		}
	}
	next.teams = slices.Sorted(maps.Keys(batchTeams))
	return append(batches, next)
}

func chargedTeams(charges []charge) map[string]bool {
	teams := make(map[string]bool)
	for _, c := range charges {
		teams[c.team] = true
	}
	return teams
}

func (a *Account) teamNames() []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return slices.Sorted(maps.Keys(a.teams))
}

// run retries the transaction until it takes effect. Retrying is safe after any
// error: the rows are read again, and charges up to the cursors found are left
// out.
func (b *batch) run(ctx context.Context) error {
	if len(b.teams) == 0 {
		return nil
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialBackoff
	retryBackoff.MaxInterval = maxBackoff
	for {
		err := b.attempt(ctx)
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
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

func (b *batch) attempt(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, b.account.options.Timeout)
	defer cancel()
	began := time.Now()
	usedAtRead := b.localUsage(began)
	rows, err := b.read(ctx)
	if err != nil {
		return err
	}
	p, err := b.buildPlan(rows)
	if err != nil {
		return err
	}
	if len(p.writes) > 0 {
		t := platform.Transaction{Operation: p.operation, Writes: p.writes}
		if err := b.account.table.Commit(ctx, t); err != nil {
			return err
		}
	}
	b.applyPlan(p, began, usedAtRead)
	return nil
}

// localUsage returns the usage counted locally when the read begins, by team.
func (b *batch) localUsage(now time.Time) map[string]float64 {
	used := make(map[string]float64, len(b.teams))
	for _, name := range b.teams {
		if t := b.account.team(name); t != nil {
			used[name] = t.usedAt(now)
		}
	}
	return used
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

// buildPlan computes the transaction from the rows read.
func (b *batch) buildPlan(rows map[string]platform.Row) (*plan, error) {
	p := &plan{
		operation: uuid.NewString(),
		cursors:   make(map[string]uint64),
		balances:  make(map[string]*schema.Balance),
		versions:  make(map[string]int64),
	}
	sums := make(map[string]float64)
	for name, charges := range b.charges {
		if err := b.planCharges(p, name, charges, rows[usagePrefix+name], sums); err != nil {
			return nil, err
		}
	}
	for _, name := range b.teams {
		if err := b.planBalance(p, name, sums[name], rows[balancePrefix+name]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// planCharges adds the charges of one worker after its cursor to sums.
func (b *batch) planCharges(p *plan, name string, charges []charge, row platform.Row, sums map[string]float64) error {
	cursor := new(schema.Usage)
	if err := proto.Unmarshal(row.Value, cursor); err != nil {
		return &RecordError{Key: usagePrefix + name, Cause: err}
	}
	cursor.Worker = name
	if b.account.ignoreCursors {
		cursor.Sequence = 0
	}
	p.cursors[name] = cursor.Sequence
	if cursor.Sequence < b.account.usage.completeFrom(name) {
		return nil
	}
	for _, c := range charges {
		if c.sequence > cursor.Sequence {
			sums[c.team] += c.seconds
			p.cursors[name] = c.sequence
		}
	}
	if p.cursors[name] == cursor.Sequence || b.account.ignoreCursors {
		return nil
	}
	cursor.Sequence = p.cursors[name]
	cursor.Operation = p.operation
	return p.addWrite(usagePrefix+name, row.Version, cursor)
}

// planBalance charges one team and adjusts its allowance.
func (b *batch) planBalance(p *plan, name string, sum float64, row platform.Row) error {
	record := new(schema.Balance)
	if err := proto.Unmarshal(row.Value, record); err != nil {
		return &RecordError{Key: balancePrefix + name, Cause: err}
	}
	record.Team = name
	p.balances[name], p.versions[name] = record, row.Version
	centre := b.account.options.Centre
	if sum > 0 {
		entry := ensureAllowance(record, centre)
		entry.Spent += sum
		entry.Drawn = max(entry.Drawn, entry.Spent)
	}
	d, runningKnown := b.account.demand(name, sum)
	adjust := runningKnown && (sum > 0 || d.needsAdjustment(record))
	if adjust {
		entry := ensureAllowance(record, centre)
		entry.Drawn = d.targetDrawn(record)
		if b.account.unlimitedDraws {
			entry.Drawn = entry.Spent + d.burnRate*d.horizonSeconds
		}
		entry.Burn = d.burnRate
	}
	if !adjust && sum == 0 {
		return nil
	}
	record.Operation = p.operation
	p.versions[name]++
	return p.addWrite(balancePrefix+name, row.Version, record)
}

func (p *plan) addWrite(key string, version int64, m proto.Message) error {
	value, err := proto.Marshal(m)
	p.writes = append(p.writes, platform.Write{Key: key, Version: version, Value: value})
	return err
}

// demand returns the allowance that the data centre asks for, given that sum is
// charged in the same transaction. runningKnown is false in an instance that
// does not know the number of running accelerators.
func (a *Account) demand(name string, sum float64) (d demand, runningKnown bool) {
	t := a.team(name)
	if t == nil {
		return demand{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return demand{
		centre:         a.options.Centre,
		prepaid:        t.info.Prepaid,
		burnRate:       t.burnRate(),
		unsettled:      max(0, t.unsettled()-sum),
		horizonSeconds: a.options.horizon().Seconds(),
		maxDrawShare:   a.maxDrawShare,
	}, t.runningKnown
}

// applyPlan updates the local state after the transaction.
func (b *batch) applyPlan(p *plan, began time.Time, usedAtRead map[string]float64) {
	for name, sequence := range p.cursors {
		dropped, added := b.account.usage.advanceCursor(name, sequence)
		b.account.adjustReported(dropped, -1)
		b.account.adjustReported(added, 1)
	}
	for name, record := range p.balances {
		if t := b.account.team(name); t != nil {
			t.updateBalance(record, p.versions[name], began, usedAtRead[name])
		}
	}
}
