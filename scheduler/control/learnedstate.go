package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/pace"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// learnedStateKey is the row of what planners have learned. The row is written
// together with transactions that are due anyway.
var learnedStateKey = platform.RowKey{Table: "experience", Part: term.Part, Key: "planner"}

// learnedStateInterval is the shortest time between two writes of the row.
// Tasks take a few seconds, so that shorter intervals would add little.
const learnedStateInterval = 2 * time.Second

// learnedState holds the speeds inherited from earlier planners and the time of
// the latest write.
type learnedState struct {
	// inheritedSpeeds are the speeds of workers that have not responded in this
	// term.
	inheritedSpeeds map[string]*schema.WorkerSpeed
	storedAt        time.Time
}

// loadLearnedState reads what earlier planners have learned. If the row is
// missing, the planner starts without estimates.
func (p *Planner) loadLearnedState(ctx context.Context) error {
	row, err := readRow(ctx, p.Store, learnedStateKey)
	if err != nil || row == nil {
		return err
	}
	m := &schema.Experience{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		p.Log.Error(err, "learned state cannot be decoded, starting without estimates")
		return nil
	}
	p.learned.inheritedSpeeds = make(map[string]*schema.WorkerSpeed, len(m.GetSpeeds()))
	for _, s := range m.GetSpeeds() {
		p.learned.inheritedSpeeds[s.GetWorker()] = s
	}
	for _, t := range m.GetTimes() {
		for _, d := range t.GetTimes() {
			p.estimator.Observe("", t.GetQueue(), milliseconds(d))
		}
	}
	p.inheritTrust(m.GetTrust())
	p.restoreInterference(m.GetInterference())
	p.Log.Info("learned state loaded", "speeds", len(m.GetSpeeds()), "queues", len(m.GetTimes()))
	return nil
}

// restoreSpeed restores the speed that earlier planners have learned of a
// worker's process. It discards a speed that belongs to another process.
func (p *Planner) restoreSpeed(w *worker, incarnation int64) {
	s := p.learned.inheritedSpeeds[w.info.ID]
	delete(p.learned.inheritedSpeeds, w.info.ID)
	if s == nil || s.GetLife() != incarnation {
		p.speeds.RemoveWorker(w.info.ID)
		return
	}
	p.speeds.Restore(pace.Estimate{Worker: w.info.ID, Slowness: s.GetSlowness(), Weight: s.GetWeight()})
}

// learnedStateRow returns the row to store, or nil if it is not due yet. The
// caller holds the lock.
func (p *Planner) learnedStateRow(now time.Time) []platform.StoredRow {
	if now.Sub(p.learned.storedAt) < learnedStateInterval {
		return nil
	}
	p.learned.storedAt = now
	m := &schema.Experience{}
	for _, e := range p.speeds.Estimates() {
		if w := p.workers[e.Worker]; w != nil && w.incarnation != 0 {
			m.Speeds = append(m.Speeds, &schema.WorkerSpeed{
				Worker: e.Worker, Life: w.incarnation, Slowness: e.Slowness, Weight: e.Weight,
			})
		}
	}
	for _, s := range p.learned.inheritedSpeeds {
		m.Speeds = append(m.Speeds, s)
	}
	m.Trust = p.trustRecords()
	times := p.estimator.RecentRunTimes()
	for _, queue := range slices.Sorted(maps.Keys(times)) {
		t := &schema.QueueTimes{Queue: queue}
		for _, d := range times[queue] {
			t.Times = append(t.Times, d.Milliseconds())
		}
		m.Times = append(m.Times, t)
	}
	m.Interference = p.storedInterference()
	limit := p.maxRowBytes()
	if size := proto.Size(m); size > limit {
		// All speeds have about the same size and get the space that the rest
		// leaves; those of workers that do not fit are learned again.
		speeds := m.Speeds
		m.Speeds = nil
		other := proto.Size(m)
		keep := len(speeds) * max(limit-other, 0) / max(size-other, 1) * 9 / 10
		p.Log.V(1).Info("learned state truncated", "bytes", size, "workers", len(speeds), "kept", keep)
		m.Speeds = speeds[:keep]
	}
	value, err := proto.Marshal(m)
	if err != nil || len(value) > limit {
		p.Log.Error(err, "learned state not stored", "bytes", len(value), "limit", limit)
		return nil
	}
	return []platform.StoredRow{{RowKey: learnedStateKey, Value: value}}
}
