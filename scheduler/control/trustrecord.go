package control

import (
	"cmp"
	"slices"
	"time"

	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/trust"
)

// maxTrustRecords bounds the records of workers that are not trusted, about 16 KB
// of the row, so that the learned speeds keep their place in it. Those that failed
// last are kept.
const maxTrustRecords = 300

// trustRecords returns the records of the workers that are not trusted. The caller
// holds the lock.
func (p *Planner) trustRecords() []*schema.WorkerTrust {
	var all []*schema.WorkerTrust
	for _, w := range p.workers {
		r, ok := w.trust.Record()
		if !ok || w.incarnation == 0 {
			continue
		}
		all = append(all, &schema.WorkerTrust{
			Worker: w.info.ID, Life: w.incarnation, Failures: int32(r.Failures), Allowance: int32(r.Allowance),
			Since: p.clock.toStore(r.Since), Exclusion: r.Exclusion.Milliseconds(), ExcludedUntil: p.clock.toStore(r.ExcludedUntil),
			OpenFrom: p.clock.toStore(r.OpenFrom), LastFailure: p.clock.toStore(r.LastFailure),
		})
	}
	for _, r := range p.trust.inherited {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *schema.WorkerTrust) int {
		return cmp.Or(-cmp.Compare(a.GetLastFailure(), b.GetLastFailure()), cmp.Compare(a.GetWorker(), b.GetWorker()))
	})
	return all[:min(len(all), maxTrustRecords)]
}

// inheritTrust keeps the records of an earlier planner until the workers respond.
func (p *Planner) inheritTrust(records []*schema.WorkerTrust) {
	p.trust.inherited = make(map[string]*schema.WorkerTrust, len(records))
	for _, r := range records {
		p.trust.inherited[r.GetWorker()] = r
	}
}

// restoreTrust restores the trust that an earlier planner had in a worker's process.
// It discards a record of another process. The caller holds the lock.
func (p *Planner) restoreTrust(w *worker, incarnation int64) {
	r := p.trust.inherited[w.info.ID]
	delete(p.trust.inherited, w.info.ID)
	if r == nil || r.GetLife() != incarnation {
		return
	}
	fromStore := func(ms int64) time.Time {
		if ms == 0 {
			return time.Time{}
		}
		return p.clock.fromStore(ms)
	}
	p.setTrust(w, trust.Restore(trust.Record{
		Failures: int(r.GetFailures()), Allowance: int(r.GetAllowance()), Since: fromStore(r.GetSince()),
		Exclusion: milliseconds(r.GetExclusion()), ExcludedUntil: fromStore(r.GetExcludedUntil()),
		OpenFrom: fromStore(r.GetOpenFrom()), LastFailure: fromStore(r.GetLastFailure()),
	}, time.Now()), "state of an earlier planner")
}
