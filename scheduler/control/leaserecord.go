package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// leasesKey is the row in which a planner that resigns leaves the ends of the leases
// that it has granted. Its successor would have to wait much longer to be certain
// that the runs on silent workers have ended.
var leasesKey = platform.RowKey{Table: "experience", Part: term.Part, Key: "leases"}

// leasesRow returns the row that a planner leaves, or nothing if it does not know
// the store's clock. The caller holds the lock; after it, nothing may be granted.
func (p *Planner) leasesRow(now time.Time) []platform.StoredRow {
	m := &schema.Leases{Generation: p.Term.Generation(), Until: p.clock.latestToStore(now)}
	if m.Until == 0 {
		return nil
	}
	for _, w := range p.workers {
		if len(w.placements) == 0 {
			continue
		}
		until := p.clock.latestToStore(w.leasesEnd)
		if w.incarnation != 0 && w.failedPolls == 0 && !w.info.Leaving {
			m.Until = max(m.Until, until)
			continue
		}
		lease := &schema.WorkerLease{Worker: w.info.ID, Until: until}
		if w.info.Leaving {
			lease.Leaving, lease.Address, lease.Version = true, w.info.Address, w.info.HeartbeatVersion
			lease.Heartbeat = p.clock.toStore(w.lastHeartbeat)
		}
		m.Workers = append(m.Workers, lease)
	}
	value, err := proto.Marshal(m)
	if err != nil || len(value) > p.maxRowBytes() {
		p.Log.Error(err, "leases not stored", "bytes", len(value), "limit", p.maxRowBytes())
		return nil
	}
	p.Log.Info("leases left to the successor", "workers", len(m.Workers), "bytes", len(value))
	return []platform.StoredRow{{RowKey: leasesKey, Value: value}}
}

// inheritedLeases is what the planner knows of the leases of its predecessor. The
// zero value means that it has left none.
type inheritedLeases struct {
	known   bool
	until   time.Time
	workers map[string]*schema.WorkerLease
}

// loadLeases reads the leases that the planner of the preceding term has left.
func (p *Planner) loadLeases(ctx context.Context) error {
	row, err := readRow(ctx, p.Store, leasesKey)
	if err != nil || row == nil {
		return err
	}
	m := &schema.Leases{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		p.Log.Error(err, "leases of the preceding planner cannot be decoded")
		return nil
	}
	if m.GetGeneration() != p.Term.PreviousGeneration() || p.clock.latest.IsZero() {
		return nil
	}
	p.inherited = inheritedLeases{known: true, until: p.clock.fromStore(m.GetUntil()), workers: map[string]*schema.WorkerLease{}}
	for _, l := range m.GetWorkers() {
		p.inherited.workers[l.GetWorker()] = l
	}
	p.Log.Info("leases of the preceding planner loaded", "workers", len(m.GetWorkers()), "until", time.Until(p.inherited.until))
	return nil
}

// inheritedLeasesEnd returns when the leases of a worker that were granted by
// earlier planners have expired.
func (p *Planner) inheritedLeasesEnd(worker string) time.Time {
	if !p.inherited.known {
		if !p.FormerLeasesEnd.IsZero() {
			return p.FormerLeasesEnd
		}
		return p.startedAt.Add(LeaseRenewalGracePeriod + p.maxLeaseTime())
	}
	if l := p.inherited.workers[worker]; l != nil {
		return p.clock.fromStore(l.GetUntil())
	}
	return p.inherited.until
}

// inheritedInfo returns what the preceding planner has left of a worker with tasks,
// and the earliest time of its latest heartbeat, or zero.
func (p *Planner) inheritedInfo(worker string) (platform.RunnerInfo, time.Time) {
	info := platform.RunnerInfo{ID: worker}
	l := p.inherited.workers[worker]
	if l == nil || !l.GetLeaving() {
		return info, time.Time{}
	}
	info.Leaving, info.Address, info.HeartbeatVersion = true, l.GetAddress(), l.GetVersion()
	if l.GetHeartbeat() == 0 {
		return info, time.Time{}
	}
	return info, p.clock.earliestFromStore(l.GetHeartbeat())
}
