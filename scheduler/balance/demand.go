package balance

import (
	"slices"
	"strings"

	"daisylug.example/scheduler/schema"
)

const (
	// redrawBelow and redrawAbove are the fractions of the desired allowance
	// between which no write is made for the allowance alone.
	redrawBelow = 0.75
	redrawAbove = 1.25

	// defaultMaxDrawShare keeps the first data centre that settles from drawing
	// the whole of a small balance, which would make the others refuse until it
	// returns some.
	defaultMaxDrawShare = 0.5
)

// demand is the allowance that one data centre asks for.
type demand struct {
	centre  string
	prepaid float64
	// burnRate is the number of accelerators to hold allowance for.
	burnRate float64
	// unsettled is the usage that is not charged yet.
	unsettled float64
	// horizonSeconds is the time to hold allowance for.
	horizonSeconds float64
	// maxDrawShare is the largest part of the undrawn balance to draw at once.
	maxDrawShare float64
}

// desiredAllowance returns the allowance to hold beyond the charges: burnRate
// for the horizon, or a share of the remaining balance in proportion to
// burnRate if that is less.
func (d demand) desiredAllowance(b *schema.Balance) float64 {
	remaining := d.prepaid - d.unsettled
	burn := d.burnRate
	for _, entry := range b.Allowances {
		remaining -= entry.Spent
		if entry.Centre != d.centre {
			burn += entry.Burn
		}
	}
	return d.unsettled + d.burnRate*min(d.horizonSeconds, max(0, remaining)/burn)
}

// targetDrawn returns the drawn total to record for the data centre, which
// together with those of the other data centres never exceeds the balance. Part
// of the undrawn balance is left for data centres that have not settled yet.
func (d demand) targetDrawn(b *schema.Balance) float64 {
	undrawn := d.prepaid
	for _, entry := range b.Allowances {
		undrawn -= max(entry.Drawn, entry.Spent)
	}
	entry := allowance(b, d.centre)
	limit := max(entry.Drawn, entry.Spent) + d.maxDrawShare*max(0, undrawn)
	if undrawn < 0 {
		limit += undrawn
	}
	return max(entry.Spent, min(entry.Spent+d.desiredAllowance(b), limit))
}

// needsAdjustment reports whether the allowance differs enough from the desired
// one to justify a write.
func (d demand) needsAdjustment(b *schema.Balance) bool {
	entry := allowance(b, d.centre)
	held := entry.Drawn - entry.Spent
	target := d.targetDrawn(b) - entry.Spent
	if entry.Burn == 0 && d.burnRate > 0 {
		return true
	}
	return held < redrawBelow*target || held > redrawAbove*target
}

// ensureAllowance returns the entry of centre in b and adds it if it is
// missing.
func ensureAllowance(b *schema.Balance, centre string) *schema.Allowance {
	i, found := slices.BinarySearchFunc(b.Allowances, centre, func(entry *schema.Allowance, name string) int {
		return strings.Compare(entry.Centre, name)
	})
	if !found {
		b.Allowances = slices.Insert(b.Allowances, i, &schema.Allowance{Centre: centre})
	}
	return b.Allowances[i]
}
