package member

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// Leave announces that the instance is leaving and waits until all reachable
// peers of the data centre have received it. The group continues to run.
func (g *Group) Leave(ctx context.Context) error {
	g.mu.Lock()
	g.self.State = platform.StateLeaving
	g.changed()
	g.wake(func(*peer) bool { return true })
	g.mu.Unlock()

	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for !g.announced() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// announced tells whether all linked local peers know of the leaving.
func (g *Group) announced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		l := p.link
		if !p.local || l == nil || !p.member() {
			continue
		}
		if l.toldLeaving == 0 || l.echo < l.toldLeaving {
			return false
		}
	}
	return true
}
