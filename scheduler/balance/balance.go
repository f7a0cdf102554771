// Package balance keeps the prepaid balances of teams, in accelerator-seconds.
//
// The row balance/TEAM holds, for each data centre d, the allowance D(d) drawn
// so far and the usage S(d) charged so far. P is the prepaid total of the team.
// A data centre may spend D(d) - S(d) without access to the table. A draw is
// conditional on the row version and never lets the sum of D exceed P. Charges
// come from usage reports. The row usage/WORKER, the worker's cursor row, holds
// the sequence of the last report charged and is written in the same transaction
// as the charge, so that each report is charged once, no matter which instance
// settles it and how often it is sent.
//
// One instance of a data centre, its planner, calls SetRunning and Admit. It
// adjusts D(d) to S(d) + r(d) * min(H, (P - sum S) / sum r), where r is the
// number of accelerators in use (at least Team.MinAccelerators and 1) and
// H = L + 2*t, with L = Options.OutageTolerance and t the settlement interval:
// when an outage begins, the latest settlement may be t old and the reports it
// lacks up to t more. Unused allowance is returned by the same rule. A
// settlement draws at most half of the undrawn balance. Near the end of the
// balance all data centres run out at the same time.
//
// # Bounds
//
// Let g <= t be the lag of usage reports and R(d) the largest number of
// accelerators in use in d. If work is stopped when Admit with 0 accelerators
// refuses, then:
//
//	overspending  <= sum over d of R(d) * (g + 4*t)
//	                 + sum over d started without any balance of r(d) * H
//
// Of the 4*t, one is the age of unsettled reports, two are the time for which a
// confirmed balance that is not drawn yet is used, and one is the time between
// two settlements. The bound does not depend on the length of an outage, since
// the planner counts the accelerators in use itself. Work that keeps running
// adds its remaining usage.
//
//	early refusal <= sum over other e of (D(e) - S(e)) + error
//	              <= sum over other e of r(e) * H + error
//
// This is the balance left when a data centre refuses while its balance is
// confirmed; the error of the estimates is at most the bound on overspending. A
// data centre that is cut off from the table does not refuse before it has used
// its allowance: if r was in use at its last settlement and R since, this is
// L * r / R after the cut, or when the balance ends.
package balance

import (
	"fmt"
	"sync"
	"time"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

const (
	balancePrefix = "balance/"
	usagePrefix   = "usage/"
)

// Options holds the data centre, intervals and limits of an Account.
type Options struct {
	// Centre is the data centre whose allowances this account spends.
	Centre string
	// OutageTolerance is how long work continues without the table.
	OutageTolerance time.Duration
	// Interval is the time between settlements.
	Interval time.Duration
	// Timeout limits one attempt to settle a batch.
	Timeout time.Duration
	// MaxBatchRows limits the rows of one transaction.
	MaxBatchRows int
}

// horizon is the time that an allowance covers from the settlement that draws
// it.
func (o Options) horizon() time.Duration {
	return o.OutageTolerance + maxBalanceAgeIntervals*o.Interval
}

// DefaultOptions returns the options for a data centre.
func DefaultOptions(centre string) Options {
	return Options{
		Centre:          centre,
		OutageTolerance: 12 * time.Hour,
		Interval:        30 * time.Second,
		Timeout:         10 * time.Second,
		MaxBatchRows:    256,
	}
}

// Team holds the settings of a team that the account needs.
type Team struct {
	Name string
	// Prepaid is the total prepaid so far, in accelerator-seconds.
	Prepaid float64
	// MinAccelerators is the number of accelerators to hold allowance for even
	// when fewer are in use, such as those guaranteed in the data centre.
	MinAccelerators float64
}

// ExhaustedError reports a team that has no balance left for work.
type ExhaustedError struct {
	Team string
	// Confirmed is when the balance was last read from the table.
	Confirmed time.Time
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the balance of team %s is spent", e.Team)
}

// RecordError reports a stored record that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s is unreadable: %v", e.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// Account tracks the balances of teams in one data centre. It is safe for
// concurrent use, and several instances may share one table.
type Account struct {
	table          platform.Table
	options        Options
	settleRequests chan struct{}

	// settleMu is held during a settlement.
	settleMu sync.Mutex

	mu    sync.RWMutex
	teams map[string]*team

	usage reportStore

	// maxDrawShare is the largest part of the undrawn balance to draw at once.
	maxDrawShare float64

	// ignoreCursors ignores the cursor rows and does not write them (tests only).
	ignoreCursors bool
	// unlimitedDraws ignores the allowances of other data centres (tests only).
	unlimitedDraws bool
}

// New returns an Account without teams that keeps its records in table.
func New(table platform.Table, options Options) *Account {
	return &Account{
		table:          table,
		options:        options,
		settleRequests: make(chan struct{}, 1),
		teams:          make(map[string]*team),
		usage:          reportStore{workers: make(map[string]*workerReports)},
		maxDrawShare:   defaultMaxDrawShare,
	}
}

// SetTeams replaces the teams. Teams that remain keep their usage and
// allowance.
func (a *Account) SetTeams(teams []Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[string]*team, len(teams))
	for _, info := range teams {
		t := a.teams[info.Name]
		if t == nil {
			t = &team{}
		}
		t.setInfo(info)
		next[info.Name] = t
	}
	a.teams = next
}

// SetRunning sets the number of accelerators that the team uses in the data
// centre. The planner calls it whenever the number changes and at least once
// per settlement interval. It replaces what Admit has added since the last
// call.
func (a *Account) SetRunning(name string, accelerators int, now time.Time) {
	if t := a.team(name); t != nil {
		t.setRunning(float64(accelerators), now)
	}
}

// Admit returns nil if work of the team with this many accelerators may start,
// and counts them as running. With 0 accelerators it reports whether running
// work may continue. It does not wait for the table.
func (a *Account) Admit(name string, accelerators int, now time.Time) error {
	t := a.team(name)
	if t == nil {
		return &platform.NotFoundError{Kind: "team", Name: name}
	}
	admitted, drawNeeded := t.admit(float64(accelerators), now, a.options)
	if drawNeeded {
		a.requestSettlement()
	}
	if !admitted {
		return &ExhaustedError{Team: name, Confirmed: t.confirmedAt()}
	}
	return nil
}

// Remaining is the balance left, as far as known to this instance.
type Remaining struct {
	// Local may be spent in this data centre without the table.
	Local float64
	// Total is the balance minus the charges and the local usage not yet
	// charged.
	Total float64
	// Confirmed is when the balance was last read; zero if it never was.
	Confirmed time.Time
}

// Remaining returns the remaining balance of the team.
func (a *Account) Remaining(name string) (Remaining, error) {
	t := a.team(name)
	if t == nil {
		return Remaining{}, &platform.NotFoundError{Kind: "team", Name: name}
	}
	return t.remaining(time.Now(), a.options), nil
}

func (a *Account) team(name string) *team {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.teams[name]
}

// requestSettlement makes Run settle before the interval ends.
func (a *Account) requestSettlement() {
	select {
	case a.settleRequests <- struct{}{}:
	default:
	}
}

// allowance returns the entry of centre in b, or an empty entry if there is
// none.
func allowance(b *schema.Balance, centre string) *schema.Allowance {
	for _, entry := range b.GetAllowances() {
		if entry.Centre == centre {
			return entry
		}
	}
	return &schema.Allowance{Centre: centre}
}
