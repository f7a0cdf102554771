package control

import "time"

// DecisionTime returns how long the latest decision took.
func (p *Planner) DecisionTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decisionTime
}
