package balance

import (
	"slices"
	"strings"

	"daisylug.example/scheduler/schema"
)

const (
	// keepLow and keepHigh are the shares of the wanted allowance between which
	// no write is made for the allowance alone.
	keepLow  = 0.75
	keepHigh = 1.25

	// drawShare keeps the first data centre that settles from drawing the whole
	// of a small balance, so that the others refuse until it returns some.
	drawShare = 0.5
)

// demand is what one data centre wants of a balance.
type demand struct {
	centre  string
	prepaid float64
	// burn is the number of accelerators to hold allowance for.
	burn float64
	// used is the use that is not charged yet.
	used float64
	// ahead is the time to hold allowance for, in seconds.
	ahead float64
	// share is the largest part of the undrawn balance to take at once.
	share float64
}

// wanted returns the allowance to hold beyond the charges: burn for the time
// ahead, or a share by burn of what is left if that is less.
func (d demand) wanted(b *schema.Balance) float64 {
	left := d.prepaid - d.used
	burn := d.burn
	for _, w := range b.Allowances {
		left -= w.Spent
		if w.Centre != d.centre {
			burn += w.Burn
		}
	}
	return d.used + d.burn*min(d.ahead, max(0, left)/burn)
}

// drawn returns the allowance to draw, which with those of the other data
// centres never exceeds the balance. Part of what is undrawn is left for data
// centres that have not settled yet.
func (d demand) drawn(b *schema.Balance) float64 {
	undrawn := d.prepaid
	for _, w := range b.Allowances {
		undrawn -= max(w.Drawn, w.Spent)
	}
	w := allowance(b, d.centre)
	limit := max(w.Drawn, w.Spent) + d.share*max(0, undrawn)
	if undrawn < 0 {
		limit += undrawn
	}
	return max(w.Spent, min(w.Spent+d.wanted(b), limit))
}

// due reports whether the allowance is far enough from the wanted one to be
// worth a write.
func (d demand) due(b *schema.Balance) bool {
	w := allowance(b, d.centre)
	held := w.Drawn - w.Spent
	target := d.drawn(b) - w.Spent
	if w.Burn == 0 && d.burn > 0 {
		return true
	}
	return held < keepLow*target || held > keepHigh*target
}

// own returns the entry of centre in b, which is added if it is missing.
func own(b *schema.Balance, centre string) *schema.Allowance {
	i, found := slices.BinarySearchFunc(b.Allowances, centre, func(w *schema.Allowance, name string) int {
		return strings.Compare(w.Centre, name)
	})
	if !found {
		b.Allowances = slices.Insert(b.Allowances, i, &schema.Allowance{Centre: centre})
	}
	return b.Allowances[i]
}
