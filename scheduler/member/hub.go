package member

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// neighbours is the number of other instances of the own data centre with
// which an instance of a large group keeps a session, so that it still reaches
// some when all hubs are lost.
const neighbours = 2

// hubs bounds the sessions of a large group.
type hubs struct {
	// limit is the size up to which all instances keep sessions with each other;
	// 0 means any size.
	limit     int
	perCentre int
	// sought is an instance with which a session is kept in any case.
	sought string
	// own is set if this instance is a hub.
	own bool
}

// WithHubs bounds the sessions of a group of more than limit instances. The
// largest instances of each data centre are its hubs: each instance keeps
// sessions with all hubs and with two others of its data centre. Instances that
// have no session do not hear of each other.
func WithHubs(limit, perCentre int) Option {
	return func(g *Group) { g.hubs = hubs{limit: limit, perCentre: perCentre} }
}

// PinPeer keeps a session with an instance, hub or not, in place of the one that
// was sought before.
func (g *Group) PinPeer(i platform.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.Name == "" || i.Name == g.self.Name || i.Name == g.hubs.sought {
		return
	}
	g.hubs.sought = i.Name
	g.ensure(i, g.ticked)
	g.choose()
}

// choose decides with which peers sessions are kept. The caller holds the
// lock.
func (g *Group) choose() {
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
		g.hubs.own = false
		for _, p := range g.peers {
			p.unwanted = false
		}
		return
	}
	wanted := g.chooseHubs()
	g.hubs.own = wanted[g.self.Name]
	for _, name := range g.neighbours() {
		wanted[name] = true
	}
	wanted[g.hubs.sought] = true
	for name, p := range g.peers {
		p.unwanted = !wanted[name]
	}
}

// candidate is an instance that may be a hub.
type candidate struct {
	name     string
	weight   int
	doubtful int
}

// chooseHubs returns the largest instances of each data centre, passing over
// those that cannot be reached.
func (g *Group) chooseHubs() map[string]bool {
	centres := map[string][]candidate{g.self.DataCentre: {{name: g.self.Name, weight: g.self.Weight}}}
	for name, p := range g.peers {
		if p.inst.State != platform.StateLeaving {
			centres[p.inst.DataCentre] = append(centres[p.inst.DataCentre], candidate{name, p.inst.Weight, p.doubtful()})
		}
	}
	chosen := map[string]bool{}
	for _, all := range centres {
		slices.SortFunc(all, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.doubtful, b.doubtful), cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
		})
		for _, c := range all[:min(len(all), g.hubs.perCentre)] {
			chosen[c.name] = true
		}
	}
	return chosen
}

// neighbours returns the instances of the own data centre with the highest
// score for the own name.
func (g *Group) neighbours() []string {
	var near []candidate
	for name, p := range g.peers {
		if p.inst.DataCentre == g.self.DataCentre && p.inst.State != platform.StateLeaving {
			near = append(near, candidate{name: name, doubtful: p.doubtful()})
		}
	}
	slices.SortFunc(near, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.doubtful, b.doubtful),
			cmp.Compare(score(g.self.Name, b.name, 1), score(g.self.Name, a.name, 1)),
		)
	})
	names := make([]string, 0, neighbours)
	for _, c := range near[:min(len(near), neighbours)] {
		names = append(names, c.name)
	}
	return names
}

// ignore forgets what was heard from a peer without a session that is not
// wanted, so that its silence is not taken for its death.
func (p *peer) ignore() {
	if p.link != nil || p.dead || p.heard.IsZero() {
		return
	}
	p.heard, p.direct = time.Time{}, time.Time{}
	p.joining = false
	p.values = map[string][]byte{}
}
