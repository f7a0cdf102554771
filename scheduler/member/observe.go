package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// observe evaluates the peers at a fixed interval until ctx ends.
func (g *Group) observe(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.evaluate(time.Now())
		}
	}
}

func (g *Group) evaluate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgivePause(now)
	g.choose()
	for name, p := range g.peers {
		if p.unwanted && !g.hubs.own {
			p.ignore()
		}
		wasSilent := p.silent(now.Add(-tickInterval))
		if p.expire(now) {
			g.log.Info("instance is considered dead", "instance", name, "incarnation", p.incarnation)
			g.changed()
		}
		if p.local && p.known() && !wasSilent && p.silent(now) {
			// The others are asked at once, so that their answer arrives
			// before the peer would be declared dead.
			g.wake(local)
		}
		if p.dead && !p.listed && now.Sub(p.died) > forgetAfter {
			g.forget(name, p)
		}
	}
	g.settle(now)
	g.connect(now)
}

// forgivePause moves the peers' times by a pause of the own process, in which
// it could not have heard from anybody.
func (g *Group) forgivePause(now time.Time) {
	pause := now.Sub(g.ticked) - tickInterval
	g.ticked = now
	if pause <= pauseTolerance {
		return
	}
	g.log.Info("own process was paused", "pause", pause)
	for _, p := range g.peers {
		p.heard = shift(p.heard, pause, now)
		p.direct = shift(p.direct, pause, now)
		if l := p.link; l != nil {
			l.acked = shift(l.acked, pause, now)
		}
	}
}

// shift moves t by d, at most to now. A zero time stays.
func shift(t time.Time, d time.Duration, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	t = t.Add(d)
	if t.After(now) {
		return now
	}
	return t
}

func (g *Group) forget(name string, p *peer) {
	if p.link != nil {
		p.link.close()
	}
	delete(g.peers, name)
}

// settle closes ready once no unheard peer can still turn up in time.
func (g *Group) settle(now time.Time) {
	if g.settled() {
		return
	}
	if now.Sub(g.begun) <= deadAfter {
		if !g.listed {
			return
		}
		for _, p := range g.peers {
			if p.local && !p.unwanted && p.heard.IsZero() {
				return
			}
		}
	}
	close(g.ready)
	g.changed()
	g.wake(func(*peer) bool { return true })
}

// connect dials the peers that should have a session and have none, or one
// that has gone silent.
func (g *Group) connect(now time.Time) {
	targets := g.remoteTargets()
	for name, p := range g.peers {
		if !p.local && !targets[name] {
			if p.link != nil && p.link.dialler == g.self.Name {
				p.link.close()
			}
			continue
		}
		if p.unwanted {
			// A hub leaves it to the others whether they need the session.
			if l := p.link; l != nil && l.dialler == g.self.Name && !g.hubs.own {
				l.close()
			}
			continue
		}
		if p.dialling || now.Before(p.retry) {
			continue
		}
		replaces := ""
		if l := p.link; l != nil {
			if !l.mute(now) {
				continue
			}
			replaces = l.id
		} else if name < g.self.Name && now.Sub(p.wanted) < dialDelay {
			continue
		}
		g.startDial(p, replaces)
	}
}

func (g *Group) startDial(p *peer, replaces string) {
	p.dialling = true
	address := p.inst.Peer
	g.spawn(func(ctx context.Context) {
		err := g.dial(ctx, p, address, replaces)
		g.mu.Lock()
		defer g.mu.Unlock()
		p.dialling = false
		p.retry = time.Now().Add(p.backoff.NextBackOff())
		if err != nil {
			p.failures++
			g.log.V(1).Info("no session", "instance", p.name, "error", err)
		}
	})
}

// doubtful ranks a peer lower as a target when it is dead or does not answer.
func (p *peer) doubtful() int {
	const patience = 3
	rank := p.failures / patience
	if p.dead {
		rank++
	}
	return rank
}

// remoteTargets chooses the instances of other data centres to keep a session
// with: in each one those with the highest score for the own name.
func (g *Group) remoteTargets() map[string]bool {
	centres := map[string][]*peer{}
	for _, p := range g.peers {
		if !p.local && p.inst.State != platform.StateLeaving {
			centres[p.inst.DataCentre] = append(centres[p.inst.DataCentre], p)
		}
	}
	targets := map[string]bool{}
	for _, all := range centres {
		slices.SortFunc(all, func(a, b *peer) int {
			return cmp.Or(
				cmp.Compare(a.doubtful(), b.doubtful()),
				cmp.Compare(score(g.self.Name, b.inst.Name, 1), score(g.self.Name, a.inst.Name, 1)),
			)
		})
		for _, p := range all[:min(len(all), remotePeers)] {
			targets[p.inst.Name] = true
		}
	}
	return targets
}
