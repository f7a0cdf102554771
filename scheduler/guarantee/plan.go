package guarantee

import (
	"cmp"
	"slices"

	"daisylug.example/scheduler/gang"
)

// Cell is the capacity reserved for one guaranteed shape.
type Cell struct {
	Team  string
	Shape gang.Shape
	// Ordinal numbers the cells of one team and shape.
	Ordinal int
	Rack    string
	Workers gang.Set
}

// Matches reports whether the work is of the cell's team and shape and uses
// exactly its workers.
func (c Cell) Matches(w Work) bool {
	return c.Team == w.Team && c.Shape == w.Shape && c.Rack == w.Rack && c.Workers == w.Workers
}

// Plan maps every guaranteed shape to workers of a rack. It depends only on the
// guarantees, the workers and the pinned work, so all instances derive the same
// plan.
type Plan struct {
	cells   []Cell
	racks   map[string][]Cell
	teams   map[string][]Cell
	missing []Shortage
}

// NewPlan derives the plan. It uses no workers that are down. The pinned work is
// the guaranteed work that runs under the previous plan; its cells stay in place
// unless fewer accelerators are left without a cell when they move.
func NewPlan(racks []gang.Rack, guarantees []Guarantee, pinned ...Work) Plan {
	wanted := wantedCells(guarantees)
	var best layout
	for _, s := range strategies(len(pinned) > 0) {
		l := s.layOut(racks, wanted, pinned)
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

// Check returns *InfeasibleError if NewPlan leaves a guaranteed shape without a
// cell.
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

// wantedCells returns one unplaced cell for each guaranteed shape. The largest
// come first, because small cells fit into the gaps that large ones leave.
func wantedCells(guarantees []Guarantee) []Cell {
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
