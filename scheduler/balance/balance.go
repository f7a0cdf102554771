// Package balance keeps the prepaid balances of teams, in accelerator-seconds.
//
// The row balance/TEAM holds, for each data centre d, the allowance D(d) drawn
// and the use S(d) charged so far. P is the team's prepaid total. A data
// centre may spend D(d) - S(d) without the table; a draw is conditional on the
// row's version and never lets the sum of D exceed P. Charges come from usage
// reports. The row usage/WORKER holds the sequence of the last report charged
// and is written in the same transaction as the charge, so that each report
// counts once whoever settles it and however often it is sent.
//
// One instance of a data centre, its planner, calls SetRunning and Admit. It
// adjusts D(d) to S(d) + r(d) * min(H, (P - sum S) / sum r), where r is the
// number of accelerators in use (at least Team.Floor and 1) and H = L + 2*t,
// with L = Options.Outage and t the settlement interval: when an outage begins,
// the latest settlement may be t old and the reports it lacks up to t more.
// Unused allowance is returned by the same rule. A settlement draws at most half
// of what is undrawn. Near the end of the balance all data centres run out at
// the same time.
//
// # Bounds
//
// With g <= t the lag of usage reports, R(d) the largest number of accelerators
// in use in d, and work stopped when Admit with 0 accelerators refuses:
//
//	overspending  <= sum over d of R(d) * (g + 4*t)
//	                 + sum over d started without any balance of r(d) * H
//
// Of the 4*t, one is the age of unsettled reports, two are the time for which
// a confirmed balance that is not drawn yet is trusted, and one is the time
// between two settlements. The bound does not depend on the length of an
// outage, since the planner counts the accelerators in use itself. Work that
// is left running adds its remaining use.
//
//	early refusal <= sum over other e of (D(e) - S(e)) + error
//	              <= sum over other e of r(e) * H + error
//
// This is the balance left when a data centre refuses while its balance is
// confirmed; the error of the estimates is at most the bound on overspending.
// A data centre cut off from the table does not refuse before it has used its
// allowance: if r was in use at its last settlement and R since, this is
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

// Options sets the place and the intervals of an Account.
type Options struct {
	// Centre is the data centre whose allowances this account spends.
	Centre string
	// OutageTolerance is how long work goes on without the table.
	OutageTolerance time.Duration
	// Interval is the time between settlements.
	Interval time.Duration
	// Timeout is when a call to the table is given up.
	Timeout time.Duration
	// MaxBatchRows bounds one transaction.
	MaxBatchRows int
}

// ahead is how long an allowance lasts at the settlement that draws it.
func (o Options) ahead() time.Duration { return o.OutageTolerance + trusted*o.Interval }

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

// Team is what the account needs to know of a team.
type Team struct {
	Name string
	// Prepaid is the total prepaid so far, in accelerator-seconds.
	Prepaid float64
	// MinAccelerators is the number of accelerators to hold allowance for even when fewer
	// are in use, such as those guaranteed in the data centre.
	MinAccelerators float64
}

// ExhaustedError reports a team without balance to start work.
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

// Account answers for the balances of teams in one data centre. It is safe for
// concurrent use, also by several instances on one table.
type Account struct {
	table   platform.Table
	options Options
	wakeups chan struct{}

	// settling is held by the settlement under way.
	settling sync.Mutex

	mu    sync.RWMutex
	teams map[string]*team

	usage usage

	// share is the largest part of the undrawn balance to draw at once.
	share float64

	// uncounted ignores and leaves out the cursor rows (tests only).
	uncounted bool
	// unbounded draws without regard to other data centres (tests only).
	unbounded bool
}

// New returns an Account on table without teams.
func New(table platform.Table, options Options) *Account {
	return &Account{
		table:   table,
		options: options,
		wakeups: make(chan struct{}, 1),
		teams:   make(map[string]*team),
		usage:   usage{workers: make(map[string]*worker)},
		share:   drawShare,
	}
}

// SetTeams replaces the teams. The use and allowance of teams that stay are
// kept.
func (a *Account) SetTeams(teams []Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[string]*team, len(teams))
	for _, info := range teams {
		t := a.teams[info.Name]
		if t == nil {
			t = &team{}
		}
		t.set(info)
		next[info.Name] = t
	}
	a.teams = next
}

// SetRunning tells how many accelerators the team's work uses in the data
// centre. The planner calls it whenever the number changes and at least once
// per settlement interval; it replaces what Admit added since.
func (a *Account) SetRunning(name string, accelerators int, now time.Time) {
	if t := a.team(name); t != nil {
		t.setRunning(float64(accelerators), now)
	}
}

// Admit returns nil if work of the team with this many accelerators may start,
// and counts them as running. With 0 accelerators it tells whether running
// work may go on. It does not wait for the table.
func (a *Account) Admit(name string, accelerators int, now time.Time) error {
	t := a.team(name)
	if t == nil {
		return &platform.NotFoundError{Kind: "team", Name: name}
	}
	admitted, short := t.admit(float64(accelerators), now, a.options)
	if short {
		a.wake()
	}
	if !admitted {
		return &ExhaustedError{Team: name, Confirmed: t.confirmed()}
	}
	return nil
}

// Remaining is what is left of a balance as far as known here.
type Remaining struct {
	// Local may be spent in this data centre without the table.
	Local float64
	// Total is the balance less the charges and the local use not yet charged.
	Total float64
	// Confirmed is when the balance was last read; zero if it never was.
	Confirmed time.Time
}

// Remaining returns what is left of the team's balance.
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

// wake causes a settlement soon.
func (a *Account) wake() {
	select {
	case a.wakeups <- struct{}{}:
	default:
	}
}

// allowance returns the entry of centre, which may be empty.
func allowance(b *schema.Balance, centre string) *schema.Allowance {
	for _, w := range b.GetAllowances() {
		if w.Centre == centre {
			return w
		}
	}
	return &schema.Allowance{Centre: centre}
}
