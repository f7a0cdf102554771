package assignment

import (
	"cmp"
	"slices"
	"time"
)

// Tiers of groups, by the usefulness of the expected result.
const (
	// tierOnTime can still meet the objective, tierLate can only give a late but
	// useful result, tierExpired is too late to be useful.
	tierOnTime = iota
	tierLate
	tierExpired
)

// LateFactor bounds the time in which a late result is still useful, as a
// multiple of the time allowed by the objective. The users' accounting sets it.
const LateFactor = 3

// Usefulness is what the result of a group is expected to be worth to its caller.
// Lower values are served first.
type Usefulness int

// Values of Usefulness.
const (
	OnTime  Usefulness = tierOnTime
	Late    Usefulness = tierLate
	Expired Usefulness = tierExpired
)

// Usefulness returns what the result is worth if the tasks start now.
func (g *Group) Usefulness(now time.Time) Usefulness { return Usefulness(g.tier(now)) }

func (g *Group) tier(now time.Time) int {
	end := now.Add(g.ExpectedDuration)
	allowed := g.Objective.Sub(g.Accepted)
	switch {
	case !end.After(g.Objective):
		return tierOnTime
	case !end.After(g.Accepted.Add(LateFactor * allowed)):
		return tierLate
	}
	return tierExpired
}

// rank returns the positions of the groups in the order in which they are
// placed.
func rank(v View) []int {
	order := make([]int, len(v.Groups))
	tiers := make([]int, len(v.Groups))
	for i := range order {
		order[i] = i
		tiers[i] = v.Groups[i].tier(v.Now)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &v.Groups[a], &v.Groups[b]
		return cmp.Or(
			-compareBool(x.Guaranteed, y.Guaranteed),
			compareGuaranteed(x, y),
			-compareBool(x.isOverdue(v.Now), y.isOverdue(v.Now)),
			compareBool(tiers[a] == tierExpired, tiers[b] == tierExpired),
			cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(tiers[a], tiers[b]),
			cmp.Compare(x.Share, y.Share),
			x.Accepted.Compare(y.Accepted),
			cmp.Compare(x.Job, y.Job),
		)
	})
	return order
}

// compareGuaranteed orders guaranteed groups: first those with reserved workers,
// so that no other group takes the capacity freed for them, then by age.
func compareGuaranteed(x, y *Group) int {
	if !x.Guaranteed || !y.Guaranteed {
		return 0
	}
	return cmp.Or(-compareBool(x.ReservedWorkers != nil, y.ReservedWorkers != nil), x.Accepted.Compare(y.Accepted))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
