package dispatch

import (
	"hash/fnv"
	"slices"
	"time"

	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/template"
)

// checkpointDuration is the assumed duration of a checkpoint, because workers
// do not report it.
const checkpointDuration = 500 * time.Millisecond

// plannerInput builds the input of the planner.
func (s *scheduler) plannerInput(now time.Time) planner.Input {
	listing, _ := s.group.Listing()
	racks, running := s.racksAndRunning(listing, now)
	s.planCache.update(s.self.DataCentre, s.catalogue.Snapshot(), s.excludeQuarantined(listing, now), s.pinnedWork(running)...)
	return planner.Input{
		Now:          now,
		Pending:      s.pending,
		Racks:        racks,
		Running:      running,
		Plan:         s.planCache.plan,
		Estimator:    s.estimator,
		Quarantine:   s.quarantineTracker,
		Reservations: s.reservations,
	}
}

// racksAndRunning returns the racks and the running work, including pending
// starts.
func (s *scheduler) racksAndRunning(listing platform.Listing, now time.Time) ([]gang.Rack, []planner.Running) {
	racks := rackLayout(listing.Workers, s.self.DataCentre)
	var running []planner.Running
	clear(s.guaranteed)
	for i := range racks {
		p, ok := s.publishedRacks.get(racks[i].Name())
		if !ok {
			racks[i] = racks[i].WithDown(allWorkers(racks[i]), true)
			continue
		}
		racks[i] = s.applyRackState(racks[i], p.rack)
		running = s.appendRunning(racks[i], p.rack, running)
	}
	return s.addPendingStarts(racks, running, now)
}

// excludeQuarantined returns the listing with quarantined workers marked as
// leaving, so that no guaranteed cell is placed on them.
func (s *scheduler) excludeQuarantined(listing platform.Listing, now time.Time) platform.Listing {
	workers := slices.Clone(listing.Workers)
	for i, w := range workers {
		if w.DataCentre == s.self.DataCentre && s.quarantineTracker.WorkerState(w.Name, now) == quarantine.StateQuarantined {
			workers[i].State = platform.StateLeaving
		}
	}
	listing.Workers = workers
	return listing
}

// pinnedWork returns the running work that was started in a guaranteed cell of
// its team, so that a new plan keeps the cell in place.
func (s *scheduler) pinnedWork(running []planner.Running) []guarantee.Work {
	var list []guarantee.Work
	for _, r := range running {
		if s.guaranteed[r.Job] {
			list = append(list, r.Work)
		}
	}
	return list
}

// allWorkers returns the set of all workers of a rack.
func allWorkers(r gang.Rack) gang.Set {
	var all gang.Set
	for i := range r.Len() {
		all = all.With(i)
	}
	return all
}

// applyRackState applies the published use and state of the workers and their
// learned speed.
func (s *scheduler) applyRackState(r gang.Rack, m *schema.Rack) gang.Rack {
	places := make(map[string]*schema.Place, len(m.Places))
	for _, p := range m.Places {
		places[p.Worker] = p
	}
	for i := range r.Len() {
		w := r.Worker(i)
		single := gang.Set(0).With(i)
		p, ok := places[w.Name]
		if !ok || p.Leaving || !p.Reachable {
			r = r.WithDown(single, true)
			continue
		}
		r = r.WithUse(single, w.Accelerators-int(p.Free))
		r = r.WithSpeed(single, s.speeds.Speed(w.Name))
	}
	return r
}

// appendRunning appends the running gangs of a rack and removes them from the
// pending jobs and the pending starts.
func (s *scheduler) appendRunning(r gang.Rack, m *schema.Rack, running []planner.Running) []planner.Running {
	for _, g := range m.Gangs {
		if s.hasEnded(g) {
			continue
		}
		s.pending.Remove(g.Job)
		delete(s.missingSince, g.Job)
		delete(s.pendingStarts, g.Job)
		s.updateAttempt(g, r.Name())
		s.guaranteed[g.Job] = !g.Borrowed
		names := make([]string, 0, len(g.Members))
		for _, position := range g.Members {
			if int(position) < len(m.Places) {
				names = append(names, m.Places[position].Worker)
			}
		}
		set, _ := r.Set(names...)
		running = append(running, s.runningGang(g, r.Name(), set))
	}
	return running
}

// hasEnded reports whether a gang that the published rack state still shows has
// ended because its job was requeued after that attempt.
func (s *scheduler) hasEnded(g *schema.Gang) bool {
	job := s.records[g.Job]
	return job != nil && job.State == schema.State_STATE_QUEUED && job.Attempt >= g.Attempt
}

// updateAttempt advances the record of a running gang's job to the gang's
// attempt. The published rack state can show a gang before the reply to its
// start arrives.
func (s *scheduler) updateAttempt(g *schema.Gang, rack string) {
	job := s.records[g.Job]
	if job == nil || job.Attempt >= g.Attempt {
		return
	}
	s.records[g.Job] = claimedJob(job, g.Attempt, rack)
}

func (s *scheduler) runningGang(g *schema.Gang, rack string, set gang.Set) planner.Running {
	job := s.records[g.Job]
	request := queue.Job{
		ID:       g.Job,
		Team:     g.Team,
		Template: g.Template,
		Shape:    gang.Shape{Workers: len(g.Members), Accelerators: int(g.Accelerators)},
		// Unknown jobs are treated as non-preemptible, so that they are not
		// evicted.
		NonPreemptible: true,
	}
	if job != nil {
		request = s.plannerJob(job)
	}
	_, stopping := s.evicting[g.Job]
	work := guarantee.Work{
		Job:            g.Job,
		Team:           g.Team,
		Rack:           rack,
		Shape:          request.Shape,
		Workers:        set,
		NonPreemptible: request.NonPreemptible,
		Stopping:       stopping,
	}
	if g.Started != nil {
		work.Started = g.Started.AsTime()
	}
	if !request.NonPreemptible {
		work.CheckpointDuration = checkpointDuration
	}
	return planner.Running{Work: work, Request: request}
}

// addPendingStarts adds the pending starts to the use of the racks.
func (s *scheduler) addPendingStarts(racks []gang.Rack, running []planner.Running, now time.Time) ([]gang.Rack, []planner.Running) {
	for id, st := range s.pendingStarts {
		if now.After(st.deadline) {
			delete(s.pendingStarts, id)
			continue
		}
		for i := range racks {
			if racks[i].Name() != st.start.Rack {
				continue
			}
			set, _ := racks[i].Set(st.start.Workers...)
			shape := st.start.Job.Shape
			if racks[i].Holds(set, shape.Accelerators) {
				racks[i] = racks[i].WithUse(set, shape.Accelerators)
			}
			running = append(running, planner.Running{
				Work: guarantee.Work{
					Job:            id,
					Team:           st.start.Job.Team,
					Rack:           st.start.Rack,
					Shape:          shape,
					Workers:        set,
					Started:        now,
					NonPreemptible: st.start.Job.NonPreemptible,
				},
				Request: st.start.Job,
			})
		}
	}
	return racks, running
}

// planCache recomputes the plan only when its inputs change.
type planCache struct {
	version            int64
	workersFingerprint uint64
	plan               guarantee.Plan
}

func (c *planCache) update(centre string, snapshot *template.Snapshot, listing platform.Listing, pinned ...guarantee.Work) {
	current := fingerprint(listing.Workers)
	if c.version == snapshot.Version() && c.workersFingerprint == current {
		return
	}
	c.version = snapshot.Version()
	c.workersFingerprint = current
	c.plan = guarantee.NewPlan(rackLayout(listing.Workers, centre), centreGuarantees(snapshot.Teams(), centre), pinned...)
}

// fingerprint returns a hash that changes when a worker joins, leaves or
// changes.
func fingerprint(workers []platform.WorkerInfo) uint64 {
	h := fnv.New64a()
	for _, w := range workers {
		_, _ = h.Write([]byte(w.Name + "\x00" + w.Rack + "\x00" + w.DataCentre + "\x00" + string(w.State) + "\x00"))
		_, _ = h.Write([]byte{byte(w.Accelerators)})
	}
	return h.Sum64()
}

// centreGuarantees returns the guarantees that teams hold in a data centre.
func centreGuarantees(teams []*schema.Team, centre string) []guarantee.Guarantee {
	var list []guarantee.Guarantee
	for _, t := range teams {
		for _, g := range t.Guarantees {
			if g.Centre == centre {
				list = append(list, guarantee.Guarantee{Team: t.Name, Shape: shapeOf(g.Shape), Count: int(g.Count)})
			}
		}
	}
	return list
}
