package guarantee

import (
	"cmp"
	"slices"

	"daisylug.example/scheduler/gang"
)

// Cell is the capacity set aside for one guaranteed shape.
type Cell struct {
	Team  string
	Shape gang.Shape
	// Ordinal tells apart the cells of one team and shape.
	Ordinal int
	Rack    string
	Workers gang.Set
}

// Matches reports whether the work uses exactly this cell.
func (c Cell) Matches(w Work) bool {
	return c.Team == w.Team && c.Shape == w.Shape && c.Rack == w.Rack && c.Workers == w.Workers
}

// Plan maps every guaranteed shape to a rack and its workers. It is a function
// of the guarantees, the workers and the pinned work only, so all instances
// derive the same plan.
type Plan struct {
	cells   []Cell
	racks   map[string][]Cell
	teams   map[string][]Cell
	missing []Shortage
}

// NewPlan derives the plan. Workers that are down are not used. Cells stay
// under the pinned work, which is the guaranteed work running under the
// previous plan, unless all shapes fit only without that.
func NewPlan(racks []gang.Rack, guarantees []Guarantee, pinned ...Work) Plan {
	wanted := expand(guarantees)
	var best layout
	for _, a := range attempts(len(pinned) > 0) {
		l := a.run(racks, wanted, pinned)
		if best.cells == nil || l.missing < best.missing {
			best = l
		}
		if l.missing == 0 {
			break
		}
	}
	return best.plan(wanted)
}

// Cells returns all cells in a fixed order.
func (p Plan) Cells() []Cell { return p.cells }

// OnRack returns the cells of a rack.
func (p Plan) OnRack(rack string) []Cell { return p.racks[rack] }

// OfTeam returns the cells of a team.
func (p Plan) OfTeam(team string) []Cell { return p.teams[team] }

// Missing returns the guaranteed shapes that have no cell.
func (p Plan) Missing() []Shortage { return p.missing }

// Check returns *InfeasibleError if the guarantees do not fit the workers.
func Check(racks []gang.Rack, guarantees []Guarantee) error {
	missing := NewPlan(racks, guarantees).missing
	if len(missing) == 0 {
		return nil
	}
	e := &InfeasibleError{Missing: missing}
	for _, m := range missing {
		e.Accelerators += m.Count * m.Shape.Total()
	}
	return e
}

// expand returns one cell without a place for each guaranteed shape, ordered
// by size, since small cells fit the gaps that large ones leave.
func expand(guarantees []Guarantee) []Cell {
	type key struct {
		team  string
		shape gang.Shape
	}
	next := map[key]int{}
	var cells []Cell
	for _, g := range guarantees {
		k := key{g.Team, g.Shape}
		for range g.Count {
			cells = append(cells, Cell{Team: g.Team, Shape: g.Shape, Ordinal: next[k]})
			next[k]++
		}
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(
			cmp.Compare(b.Shape.Total(), a.Shape.Total()),
			cmp.Compare(b.Shape.Workers, a.Shape.Workers),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Ordinal, b.Ordinal),
		)
	})
	return cells
}
