package control

import "daisylug.example/scheduler/batch"

// applyShares sets the order of the groups of a view while not all can be done in
// time. The caller holds the lock.
func (p *Planner) applyShares(_ *decisionView) {}

// checkLoad returns a refusal if the result of a job would come too late to be of
// use. The caller holds the lock.
func (p *Planner) checkLoad(_ *batch.Job, _ Queue) Response { return Response{} }
