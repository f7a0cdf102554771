package member

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// neighbourCount is the number of instances of the own data centre with which an
// instance of a large group keeps sessions in addition to the hubs, so that it
// still reaches some when all hubs fail.
const neighbourCount = 2

// hubState holds the settings and the state that limit the sessions of a large
// group.
type hubState struct {
	// limit is the group size up to which all instances keep sessions with each
	// other; 0 means no limit.
	limit         int
	perDataCentre int
	// pinned is the name of an instance with which a session is always kept.
	pinned string
	// isHub tells whether this instance is a hub.
	isHub bool
}

// WithHubs limits the sessions of a group of more than limit instances. The
// perDataCentre instances with the highest weight in each data centre are its
// hubs. Each instance keeps sessions with all hubs and with two other instances
// of its data centre. Instances without a session get no heartbeats from each
// other.
func WithHubs(limit, perDataCentre int) Option {
	return func(g *Group) { g.hubs = hubState{limit: limit, perDataCentre: perDataCentre} }
}

// PinPeer keeps a session with an instance, hub or not, and replaces the
// previously pinned one.
func (g *Group) PinPeer(i platform.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.Name == "" || i.Name == g.self.Name || i.Name == g.hubs.pinned {
		return
	}
	g.hubs.pinned = i.Name
	g.ensurePeer(i, g.lastTick)
	g.selectSessions()
}

// selectSessions decides with which peers to keep sessions. The caller holds the
// lock.
func (g *Group) selectSessions() {
	if g.hubs.limit == 0 {
		return
	}
	size := 1
	for _, p := range g.peers {
		if !p.dead {
			size++
		}
	}
	if size <= g.hubs.limit {
		g.hubs.isHub = false
		for _, p := range g.peers {
			p.unwanted = false
		}
		return
	}
	wanted := g.chooseHubs()
	g.hubs.isHub = wanted[g.self.Name]
	for _, name := range g.chooseNeighbours() {
		wanted[name] = true
	}
	wanted[g.hubs.pinned] = true
	for name, p := range g.peers {
		p.unwanted = !wanted[name]
	}
}

// candidate is an instance that may be selected as a hub or neighbour.
type candidate struct {
	name    string
	weight  int
	penalty int
}

// chooseHubs returns the instances with the highest weight in each data centre;
// those that cannot be reached rank last.
func (g *Group) chooseHubs() map[string]bool {
	centres := map[string][]candidate{g.self.DataCentre: {{name: g.self.Name, weight: g.self.Weight}}}
	for name, p := range g.peers {
		if p.instance.State != platform.StateLeaving {
			centres[p.instance.DataCentre] = append(centres[p.instance.DataCentre], candidate{name, p.instance.Weight, p.penalty()})
		}
	}
	chosen := map[string]bool{}
	for _, all := range centres {
		slices.SortFunc(all, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
		})
		for _, c := range all[:min(len(all), g.hubs.perDataCentre)] {
			chosen[c.name] = true
		}
	}
	return chosen
}

// chooseNeighbours returns the reachable instances of the own data centre with
// the highest score for the own name.
func (g *Group) chooseNeighbours() []string {
	var candidates []candidate
	for name, p := range g.peers {
		if p.instance.DataCentre == g.self.DataCentre && p.instance.State != platform.StateLeaving {
			candidates = append(candidates, candidate{name: name, penalty: p.penalty()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.penalty, b.penalty),
			cmp.Compare(score(g.self.Name, b.name, 1), score(g.self.Name, a.name, 1)),
		)
	})
	names := make([]string, 0, neighbourCount)
	for _, c := range candidates[:min(len(candidates), neighbourCount)] {
		names = append(names, c.name)
	}
	return names
}

// resetContact discards the state heard from a peer that needs no session and has
// none, so that its silence does not count as a failure.
func (p *peer) resetContact() {
	if p.link != nil || p.dead || p.lastHeard.IsZero() {
		return
	}
	p.lastHeard, p.lastDirect = time.Time{}, time.Time{}
	p.joining = false
	p.values = map[string][]byte{}
}
