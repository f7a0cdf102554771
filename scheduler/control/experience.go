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

// experienceKey is the row of what planners have learned; it travels with
// transactions that are written anyway.
var experienceKey = platform.RowKey{Table: "experience", Part: term.Part, Key: "planner"}

// experienceInterval is the shortest time between two writings of the row. A
// task of a few seconds teaches little more in less.
const experienceInterval = 2 * time.Second

// experienceBytes bounds the row; the store takes rows of 64 KB.
const experienceBytes = 60 << 10

// experience is what a planner remembers of its predecessors and when it last
// stored its own.
type experience struct {
	// inherited are speeds of workers that have not answered in this term.
	inherited map[string]*schema.WorkerSpeed
	stored    time.Time
}

// loadExperience reads what earlier planners have learned. Without the row the
// planner begins anew.
func (p *Planner) loadExperience(ctx context.Context) error {
	row, err := readRow(ctx, p.Store, experienceKey)
	if err != nil || row == nil {
		return err
	}
	m := &schema.Experience{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		p.Log.Error(err, "experience cannot be read, learning anew")
		return nil
	}
	p.experience.inherited = make(map[string]*schema.WorkerSpeed, len(m.GetSpeeds()))
	for _, s := range m.GetSpeeds() {
		p.experience.inherited[s.GetWorker()] = s
	}
	for _, t := range m.GetTimes() {
		for _, d := range t.GetTimes() {
			p.estimator.Observe("", t.GetQueue(), milliseconds(d))
		}
	}
	p.Log.Info("experience loaded", "speeds", len(m.GetSpeeds()), "queues", len(m.GetTimes()))
	return nil
}

// recall takes over what earlier planners have learned of a worker's process,
// and forgets what belongs to another one.
func (p *Planner) recall(w *worker, life int64) {
	s := p.experience.inherited[w.info.ID]
	delete(p.experience.inherited, w.info.ID)
	if s == nil || s.GetLife() != life {
		p.paces.RemoveWorker(w.info.ID)
		return
	}
	p.paces.Restore(pace.Estimate{Worker: w.info.ID, Slowness: s.GetSlowness(), Weight: s.GetWeight()})
}

// experienceRow returns the row to store, or nil if it is not due yet. The
// caller holds the lock.
func (p *Planner) experienceRow(now time.Time) []platform.StoredRow {
	if now.Sub(p.experience.stored) < experienceInterval {
		return nil
	}
	p.experience.stored = now
	m := &schema.Experience{}
	for _, l := range p.paces.Estimates() {
		if w := p.workers[l.Worker]; w != nil && w.life != 0 {
			m.Speeds = append(m.Speeds, &schema.WorkerSpeed{
				Worker: l.Worker, Life: w.life, Slowness: l.Slowness, Weight: l.Weight,
			})
		}
	}
	for _, s := range p.experience.inherited {
		m.Speeds = append(m.Speeds, s)
	}
	times := p.estimator.Times()
	for _, queue := range slices.Sorted(maps.Keys(times)) {
		t := &schema.QueueTimes{Queue: queue}
		for _, d := range times[queue] {
			t.Times = append(t.Times, d.Milliseconds())
		}
		m.Times = append(m.Times, t)
	}
	if size := proto.Size(m); size > experienceBytes {
		// Each worker takes about as much; those that do not fit are learned anew.
		keep := len(m.Speeds) * experienceBytes / size * 9 / 10
		p.Log.V(1).Info("experience is cut", "bytes", size, "workers", len(m.Speeds), "kept", keep)
		m.Speeds = m.Speeds[:keep]
	}
	value, err := proto.Marshal(m)
	if err != nil || len(value) > experienceBytes {
		p.Log.Error(err, "experience is not stored", "bytes", len(value), "limit", experienceBytes)
		return nil
	}
	return []platform.StoredRow{{RowKey: experienceKey, Value: value}}
}
