package assignment

import (
	"cmp"
	"slices"
	"time"
)

// Tiers of groups.
const (
	// tierOnTime can still meet the objective, tierLate can still be useful,
	// tierHopeless is too late to be useful.
	tierOnTime = iota
	tierLate
	tierHopeless
)

// lateFactor is how many times the objective a late result is still useful, by
// the users' accounting.
const lateFactor = 3

func (g *Group) tier(now time.Time) int {
	end := now.Add(g.Length)
	allowed := g.Objective.Sub(g.Accepted)
	switch {
	case !end.After(g.Objective):
		return tierOnTime
	case !end.After(g.Accepted.Add(lateFactor * allowed)):
		return tierLate
	}
	return tierHopeless
}

// rank returns the positions of the groups, most urgent first.
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
			compareReclaim(x, y),
			compareBool(tiers[a] == tierHopeless, tiers[b] == tierHopeless),
			cmp.Compare(x.Priority, y.Priority),
			cmp.Compare(tiers[a], tiers[b]),
			x.Accepted.Compare(y.Accepted),
			cmp.Compare(x.Job, y.Job),
		)
	})
	return order
}

// compareReclaim orders guaranteed groups: those for which room is being made,
// so that no other takes it, and then by age.
func compareReclaim(x, y *Group) int {
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
