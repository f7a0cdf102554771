package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"daisylug.example/scheduler/platform"
)

// monitorPeers evaluates the peers every tickInterval until ctx ends.
func (g *Group) monitorPeers(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.evaluatePeers(time.Now())
		}
	}
}

func (g *Group) evaluatePeers(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.compensatePause(now)
	g.selectSessions()
	for name, p := range g.peers {
		if p.unwanted && !g.hubs.isHub {
			p.resetContact()
		}
		wasSilent := p.silent(now.Add(-tickInterval))
		if p.expire(now) {
			g.log.Info("declared instance dead", "instance", name, "incarnation", p.incarnation)
			g.membersChanged()
		}
		if p.local && p.known() && !wasSilent && p.silent(now) {
			// The other peers are asked immediately, so that their vouchers
			// arrive before the peer would be declared dead.
			g.triggerHeartbeats(isLocal)
		}
		if p.dead && !p.listed && now.Sub(p.deadSince) > deadPeerTTL {
			g.removePeer(name, p)
		}
	}
	g.checkSettled(now)
	g.updateSessions(now)
}

// compensatePause shifts the timestamps of the peers by a pause of the own
// process, during which it could not receive heartbeats.
func (g *Group) compensatePause(now time.Time) {
	pause := now.Sub(g.lastTick) - tickInterval
	g.lastTick = now
	if pause <= pauseThreshold {
		return
	}
	g.log.Info("process was paused, shifted the timestamps of peers", "pause", pause)
	for _, p := range g.peers {
		p.lastHeard = shiftTime(p.lastHeard, pause, now)
		p.lastDirect = shiftTime(p.lastDirect, pause, now)
		if l := p.link; l != nil {
			l.ackedAt = shiftTime(l.ackedAt, pause, now)
		}
	}
}

// shiftTime returns t moved by d, at most to now. A zero time is returned
// unchanged.
func shiftTime(t time.Time, d time.Duration, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	t = t.Add(d)
	if t.After(now) {
		return now
	}
	return t
}

func (g *Group) removePeer(name string, p *peer) {
	if p.link != nil {
		p.link.close()
	}
	delete(g.peers, name)
}

// checkSettled closes ready once all listed peers of the data centre have been
// heard from, or deadTimeout after the start.
func (g *Group) checkSettled(now time.Time) {
	if g.settled() {
		return
	}
	if now.Sub(g.startedAt) <= deadTimeout {
		if !g.hasListing {
			return
		}
		for _, p := range g.peers {
			if p.local && !p.unwanted && p.lastHeard.IsZero() {
				return
			}
		}
	}
	close(g.ready)
	g.membersChanged()
	g.triggerHeartbeats(func(*peer) bool { return true })
}

// updateSessions dials the peers that need a session and have none or a stalled
// one, and closes sessions that are not needed.
func (g *Group) updateSessions(now time.Time) {
	targets := g.remoteTargets()
	for name, p := range g.peers {
		if !p.local && !targets[name] {
			if p.link != nil && p.link.diallerName == g.self.Name {
				p.link.close()
			}
			continue
		}
		if p.unwanted {
			// A hub keeps the session: its peer decides whether it needs it.
			if l := p.link; l != nil && l.diallerName == g.self.Name && !g.hubs.isHub {
				l.close()
			}
			continue
		}
		if p.dialling || now.Before(p.nextDial) {
			continue
		}
		replacesID := ""
		if l := p.link; l != nil {
			if !l.stalled(now) {
				continue
			}
			replacesID = l.id
		} else if name < g.self.Name && now.Sub(p.disconnectedSince) < dialDelay {
			continue
		}
		g.startDial(p, replacesID)
	}
}

func (g *Group) startDial(p *peer, replacesID string) {
	p.dialling = true
	address := p.instance.Peer
	g.spawn(func(ctx context.Context) {
		err := g.dial(ctx, p, address, replacesID)
		g.mu.Lock()
		defer g.mu.Unlock()
		p.dialling = false
		p.nextDial = time.Now().Add(p.backoff.NextBackOff())
		if err != nil {
			p.dialFailures++
			g.log.V(1).Info("failed to open a session", "instance", p.name, "error", err)
		}
	})
}

// penalty lowers the rank of a peer as a target if it is dead or cannot be dialled.
func (p *peer) penalty() int {
	const failuresPerStep = 3
	penalty := p.dialFailures / failuresPerStep
	if p.dead {
		penalty++
	}
	return penalty
}

// remoteTargets selects the instances of other data centres to keep sessions
// with: the reachable ones with the highest score for the own name in each.
func (g *Group) remoteTargets() map[string]bool {
	centres := map[string][]*peer{}
	for _, p := range g.peers {
		if !p.local && p.instance.State != platform.StateLeaving {
			centres[p.instance.DataCentre] = append(centres[p.instance.DataCentre], p)
		}
	}
	targets := map[string]bool{}
	for _, all := range centres {
		slices.SortFunc(all, func(a, b *peer) int {
			return cmp.Or(
				cmp.Compare(a.penalty(), b.penalty()),
				cmp.Compare(score(g.self.Name, b.instance.Name, 1), score(g.self.Name, a.instance.Name, 1)),
			)
		})
		for _, p := range all[:min(len(all), remotePeersPerDataCentre)] {
			targets[p.instance.Name] = true
		}
	}
	return targets
}
