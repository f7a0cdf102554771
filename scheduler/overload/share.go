package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class is the size class of a job among the jobs of its priority.
type Class int

// Size classes.
const (
	// ClassRest are the jobs that are not large.
	ClassRest Class = iota
	// ClassLarge is the fifth below the largest tenth.
	ClassLarge
	// ClassLargest is the largest tenth.
	ClassLargest
	classes
)

const (
	// largestQuantile and largeQuantile bound the size classes. The users evaluate
	// the largest tenth of the jobs and the fifth below it separately.
	largestQuantile = 0.9
	largeQuantile   = 0.7
)

// Classes divides jobs by size. The zero value puts none of them apart.
type Classes struct{ large, largest float64 }

// NewClasses returns the classes for the given sizes of jobs.
func NewClasses(sizes []float64) Classes {
	if len(sizes) == 0 {
		return Classes{math.Inf(1), math.Inf(1)}
	}
	sorted := slices.Sorted(slices.Values(sizes))
	at := func(q float64) float64 { return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)] }
	return Classes{large: at(largeQuantile), largest: at(largestQuantile)}
}

// Of returns the class of a job of the given size.
func (c Classes) Of(size float64) Class {
	switch {
	case size > c.largest:
		return ClassLargest
	case size > c.large:
		return ClassLarge
	}
	return ClassRest
}

// Claim is the claim of the waiting tasks of a step to the capacity of their
// service.
type Claim struct {
	Team     string
	Priority int
	// Tier is the usefulness of the expected result, lower is served first.
	Tier     int
	Class    Class
	Accepted time.Time
	// Need is what the waiting tasks need, Used what the running tasks of the same
	// job use. Unit is what one task needs, or all tasks of a gang.
	Need Amount
	Used Amount
	Unit Amount
}

// Usage is what running tasks of a team use.
type Usage struct {
	Team     string
	Priority int
	Class    Class
	Used     Amount
}

// teamKey identifies the claims and usages that are balanced by class.
type teamKey struct {
	priority int
	team     string
}

// account holds the claims of a team that are not ordered yet, and what it uses.
type account struct {
	used    Amount
	classes [classes]classAccount
}

type classAccount struct {
	// demand is what the running and waiting tasks use and need, served the part
	// that runs or is ordered, as dominant shares.
	demand, served float64
	waiting        []int
}

// Shares returns the share of each claim: the dominant share of the total that the
// team has at this priority if its claims that come first are served. Serving the
// lowest share first makes the teams equal in the resource of which each uses most.
//
// What the job of a claim itself uses does not count up to the unit of the claim, so
// that a gang has its next step when another of its size would, while a team that puts
// all its work into one wide job gains nothing. What the claim needs does not count
// either, so that a large claim has its turn when a small one would. Jobs which have
// begun are completed before others of the team begin. Within a team the
// size classes are served in proportion to their demand.
func Shares(claims []Claim, usages []Usage, total Amount) []float64 {
	accounts := map[teamKey]*account{}
	of := func(priority int, team string) *account {
		k := teamKey{priority, team}
		if accounts[k] == nil {
			accounts[k] = &account{}
		}
		return accounts[k]
	}
	for _, u := range usages {
		a := of(u.Priority, u.Team)
		a.used = a.used.Plus(u.Used)
		a.classes[u.Class].demand += u.Used.Dominant(total)
		a.classes[u.Class].served += u.Used.Dominant(total)
	}
	for i := range claims {
		c := &claims[i]
		class := &of(c.Priority, c.Team).classes[c.Class]
		class.demand += c.Need.Dominant(total)
		class.waiting = append(class.waiting, i)
	}
	shares := make([]float64, len(claims))
	for _, a := range accounts {
		a.assign(claims, shares, total)
	}
	return shares
}

// assign sets the shares of the claims of a team.
func (a *account) assign(claims []Claim, shares []float64, total Amount) {
	for i := range a.classes {
		slices.SortFunc(a.classes[i].waiting, func(x, y int) int {
			p, q := &claims[x], &claims[y]
			return cmp.Or(cmp.Compare(p.Tier, q.Tier), cmp.Compare(begun(q), begun(p)), p.Accepted.Compare(q.Accepted), cmp.Compare(x, y))
		})
	}
	for {
		class := a.nextClass(claims)
		if class == nil {
			return
		}
		i := class.waiting[0]
		class.waiting = class.waiting[1:]
		c := &claims[i]
		shares[i] = a.used.Plus(c.Used.Min(c.Unit).Times(-1)).Dominant(total)
		a.used = a.used.Plus(c.Need)
		class.served += c.Need.Dominant(total)
	}
}

func begun(c *Claim) int {
	if c.Used != (Amount{}) {
		return 1
	}
	return 0
}

// nextClass returns the class to serve next: among those with claims of the lowest
// tier, the one of which the smallest part of the demand is served.
func (a *account) nextClass(claims []Claim) *classAccount {
	var best *classAccount
	for i := range a.classes {
		c := &a.classes[i]
		if len(c.waiting) == 0 {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(claims[c.waiting[0]].Tier, claims[best.waiting[0]].Tier),
			cmp.Compare(ratio(c.served, c.demand), ratio(best.served, best.demand)),
			claims[c.waiting[0]].Accepted.Compare(claims[best.waiting[0]].Accepted),
		) < 0 {
			best = c
		}
	}
	return best
}
