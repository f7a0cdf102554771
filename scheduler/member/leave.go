package member

import (
	"context"
	"time"

	"daisylug.example/scheduler/platform"
)

// Leave announces that the instance is leaving and waits until all connected
// peers of the data centre have acknowledged it. The group continues to run.
func (g *Group) Leave(ctx context.Context) error {
	g.mu.Lock()
	g.self.State = platform.StateLeaving
	g.membersChanged()
	g.triggerHeartbeats(func(*peer) bool { return true })
	g.mu.Unlock()

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !g.leaveAcknowledged() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// leaveAcknowledged tells whether all connected peers of the data centre have
// acknowledged the announcement that this instance is leaving.
func (g *Group) leaveAcknowledged() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		l := p.link
		if !p.local || l == nil || !p.isMember() {
			continue
		}
		if l.leavingSequence == 0 || l.ackedSequence < l.leavingSequence {
			return false
		}
	}
	return true
}
