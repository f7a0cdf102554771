package dispatch

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"daisylug.example/scheduler/guarantee"
	"daisylug.example/scheduler/ledger"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
)

const (
	// launchTimeout limits the start of a gang: claim, reservation and commit.
	launchTimeout = 8 * time.Second
	// refusalGracePeriod is how long an accepted job may lack machines that
	// could ever hold it before it is refused.
	refusalGracePeriod = 10 * time.Minute
	// haltTimeout limits the call that stops cancelled work.
	haltTimeout = 5 * time.Second
	// ledgerTimeout limits the ledger operations that follow a decision.
	ledgerTimeout = 30 * time.Second
)

// execute carries out the decisions of one round; remote calls and ledger
// writes run in goroutines of their own. The caller must hold s.mu.
func (s *scheduler) execute(ctx context.Context, result planner.Result, now time.Time) {
	s.refuseJobs(ctx, result.Refusals, now)
	for _, p := range result.Preemptions {
		s.preempt(ctx, p, now)
	}
	for _, st := range result.Starts {
		s.startJob(ctx, st, now)
	}
}

// refuseJobs ends the jobs that can never run. A job that fits no rack, or only
// racks promised to other teams, is refused only after refusalGracePeriod,
// because workers may return and the list of workers may be incomplete.
func (s *scheduler) refuseJobs(ctx context.Context, refusals []planner.Refusal, now time.Time) {
	stillRefused := make(map[string]time.Time, len(refusals))
	for _, r := range refusals {
		switch r.Error.Reason {
		case queue.ReasonRack, queue.ReasonGuarantee:
			since, seen := s.refusedSince[r.Job.ID]
			if !seen {
				since = now
			}
			if now.Sub(since) < refusalGracePeriod {
				stillRefused[r.Job.ID] = since
				continue
			}
		}
		s.refuse(ctx, r)
	}
	s.refusedSince = stillRefused
}

// refuse removes a job that can never run and records it as failed.
func (s *scheduler) refuse(ctx context.Context, r planner.Refusal) {
	s.pending.Remove(r.Job.ID)
	job := s.records[r.Job.ID]
	delete(s.records, r.Job.ID)
	if job == nil {
		return
	}
	s.log.Info(EventRefuse, "job", r.Job.ID, "team", r.Job.Team, "reason", r.Error.Reason)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		defer cancel()
		// The outcome must belong to an attempt, so one is claimed; nothing
		// runs.
		attempt := job.Attempt + 1
		if _, err := s.ledger.Claim(ctx, job.Id, attempt, "", job.Centre); err != nil {
			s.log.V(1).Info(EventRetry, "what", "refusal", "job", job.Id, "err", err)
			return
		}
		outcome := ledger.Outcome{Failed: true, Reason: r.Error.Error()}
		if _, err := s.ledger.Finish(ctx, job.Id, attempt, outcome, nil); err != nil {
			s.log.Error(err, EventRetry, "what", "refusal", "job", job.Id)
		}
	}()
}

// startJob asks the rack owner to start a job.
func (s *scheduler) startJob(ctx context.Context, st planner.Start, now time.Time) {
	job := s.records[st.Job.ID]
	if job == nil {
		s.pending.Remove(st.Job.ID)
		return
	}
	s.pending.Remove(st.Job.ID)
	if s.account.Admit(job.Team, st.Job.Shape.Total(), now) != nil {
		s.unpaid[job.Id] = job
		return
	}
	s.pendingStarts[st.Job.ID] = pendingStart{start: st, attempt: job.Attempt + 1, deadline: now.Add(launchTimeout + propagationTimeout)}
	s.gangWorkers[st.Job.ID] = st.Workers
	m := &schema.Launch{
		Job:      job,
		Rack:     st.Rack,
		Workers:  st.Workers,
		Borrowed: st.Kind == guarantee.KindBorrowed,
	}
	if d := s.estimator.Estimate(st.Job).Median; d > 0 {
		m.Ends = timestamppb.New(now.Add(d))
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, launchTimeout)
		defer cancel()
		launched, err := s.rackClient.launch(ctx, m)
		s.handleLaunched(job, launched, err)
	}()
}

// handleLaunched processes the rack owner's reply to a launch.
func (s *scheduler) handleLaunched(job *schema.Job, m *schema.Launched, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	st, waiting := s.pendingStarts[job.Id]
	if !waiting {
		// The published rack state showed the gang first, or the job was
		// cancelled.
		return
	}
	if err == nil && m.Started {
		st.deadline = time.Now().Add(propagationTimeout)
		s.pendingStarts[job.Id] = st
		s.records[job.Id] = claimedJob(job, m.Attempt, st.start.Rack)
		s.log.V(1).Info(EventLaunch, "job", job.Id, "team", job.Team, "rack", st.start.Rack, "attempt", m.Attempt)
		return
	}
	delete(s.pendingStarts, job.Id)
	delete(s.records, job.Id)
	s.log.V(1).Info(EventRetry, "what", "start", "job", job.Id, "team", job.Team, "rack", st.start.Rack, "reason", m.GetReason(), "err", err)
	switch {
	case err != nil || m.Stale:
		go s.reloadRecord(job.Id)
	case !m.Gone:
		requeued := cloneJob(job)
		requeued.Attempt = m.Attempt
		requeued.State = schema.State_STATE_QUEUED
		s.records[job.Id] = requeued
		s.enqueue(requeued)
	}
}

func claimedJob(job *schema.Job, attempt int32, rack string) *schema.Job {
	c := cloneJob(job)
	c.State = schema.State_STATE_CLAIMED
	c.Attempt = attempt
	c.Rack = rack
	return c
}

// reloadRecord reads the record of a job whose state is unknown. If the read
// fails, a later scan finds the job.
func (s *scheduler) reloadRecord(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	job, err := s.ledger.Get(ctx, id)
	if err != nil {
		s.log.V(1).Info(EventRetry, "what", "record of a job", "job", id, "err", err)
		return
	}
	if isTerminal(job.State) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeRecord(job)
	s.wake()
}

// preempt asks the rack owner to checkpoint and stop the evicted gangs.
func (s *scheduler) preempt(ctx context.Context, p planner.Preemption, now time.Time) {
	for _, e := range p.Evictions {
		s.evict(ctx, e.Work.Job, p.Rack, p.Deadline, now)
	}
}

func (s *scheduler) evict(ctx context.Context, id, rack string, deadline, now time.Time) {
	if _, busy := s.evicting[id]; busy {
		return
	}
	job := s.records[id]
	if job == nil {
		return
	}
	s.evicting[id] = now
	s.log.Info(EventEvict, "job", id, "team", job.Team, "rack", rack)
	m := &schema.Evict{Rack: rack, Job: id, Deadline: timestamppb.New(deadline)}
	go func() {
		call, cancel := context.WithDeadline(ctx, deadline.Add(haltTimeout))
		defer cancel()
		evicted, err := s.rackClient.evict(call, m)
		s.handleEvicted(ctx, job, evicted, err)
	}()
}

// handleEvicted requeues an evicted job, first in memory, so that it can
// continue while the table is unavailable, then in its record.
func (s *scheduler) handleEvicted(ctx context.Context, job *schema.Job, m *schema.Evicted, err error) {
	s.mu.Lock()
	delete(s.evicting, job.Id)
	// A gang evicted right after its start may never appear in the published
	// rack state; it must no longer count as running.
	delete(s.pendingStarts, job.Id)
	s.wake()
	if err != nil {
		s.mu.Unlock()
		s.log.Info(EventRetry, "what", "eviction", "job", job.Id, "err", err)
		return
	}
	requeued := cloneJob(job)
	requeued.State = schema.State_STATE_QUEUED
	requeued.Checkpoints = m.Checkpoints
	requeued.Rack = ""
	s.records[job.Id] = requeued
	s.progress[job.Id] = m.Share
	s.enqueue(requeued)
	s.mu.Unlock()
	s.recordEviction(ctx, job, ledger.Evicted{Checkpoints: m.Checkpoints})
}

// recordEviction retries until the record is written or the ledger rejects the
// change. If the record stayed claimed, the next claim would have to wait until
// the attempt counts as lost.
func (s *scheduler) recordEviction(ctx context.Context, job *schema.Job, cause ledger.Evicted) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, ledgerTimeout)
		_, err := s.ledger.Requeue(call, job.Id, job.Attempt, cause)
		cancel()
		if _, _, refused := recordConflict(err); err == nil || refused {
			return
		}
		s.log.V(1).Info(EventRetry, "what", "record of eviction", "job", job.Id, "err", err)
		time.Sleep(time.Second)
	}
}

// reconcile ends the attempts of claimed jobs that no worker runs although
// every worker of the rack is reachable. This happens when the rack owner dies
// between the claim and the start. The caller must hold s.mu.
func (s *scheduler) reconcile(ctx context.Context, now time.Time) {
	for id, job := range s.records {
		if job.State != schema.State_STATE_CLAIMED && job.State != schema.State_STATE_RUNNING {
			continue
		}
		if _, busy := s.pendingStarts[id]; busy || s.mayBeRunning(job) {
			delete(s.missingSince, id)
			continue
		}
		since, seen := s.missingSince[id]
		if !seen {
			s.missingSince[id] = now
			continue
		}
		if now.Sub(since) >= orphanTimeout {
			delete(s.missingSince, id)
			delete(s.records, id)
			s.endOrphanedAttempt(ctx, job)
		}
	}
}

// mayBeRunning reports whether a claimed job may still run on its rack.
func (s *scheduler) mayBeRunning(job *schema.Job) bool {
	p, ok := s.publishedRacks.get(job.Rack)
	if !ok {
		return false
	}
	for _, g := range p.rack.Gangs {
		if g.Job == job.Id {
			return true
		}
	}
	for _, place := range p.rack.Places {
		if !place.Reachable {
			return true
		}
	}
	return false
}

// reconcileUntracked looks up running gangs whose job the scheduler does not
// know: they were cancelled without notice to their rack owner, or the offer of
// the job was lost. The caller must hold s.mu.
func (s *scheduler) reconcileUntracked(ctx context.Context, running []planner.Running, now time.Time) {
	present := make(map[string]bool, len(running))
	for _, r := range running {
		present[r.Job] = true
		if s.records[r.Job] != nil {
			delete(s.untracked, r.Job)
			continue
		}
		due, seen := s.untracked[r.Job]
		if !seen {
			s.untracked[r.Job] = now.Add(propagationTimeout)
			continue
		}
		if now.After(due) {
			s.untracked[r.Job] = now.Add(orphanTimeout)
			go s.reconcileUntrackedGang(ctx, r.Job, r.Rack)
		}
	}
	for id := range s.untracked {
		if !present[id] {
			delete(s.untracked, id)
		}
	}
}

// reconcileUntrackedGang adds the job of a running gang to the known records,
// or stops the gang if the job has ended.
func (s *scheduler) reconcileUntrackedGang(ctx context.Context, id, rack string) {
	ctx, cancel := context.WithTimeout(ctx, haltTimeout)
	defer cancel()
	job, err := s.ledger.Get(ctx, id)
	if err != nil {
		s.log.V(1).Info(EventRetry, "what", "record of a running gang", "job", id, "err", err)
		return
	}
	if !isTerminal(job.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mergeRecord(job)
		return
	}
	if err := s.rackClient.halt(ctx, &schema.Halt{Rack: rack, Jobs: []string{id}}); err != nil {
		s.log.V(1).Info(EventRetry, "what", "stop of an ended job", "job", id, "err", err)
	}
}

// endOrphanedAttempt requeues a claimed job that no worker runs, or marks its
// outcome as unknown if the job is not idempotent.
func (s *scheduler) endOrphanedAttempt(ctx context.Context, job *schema.Job) {
	s.log.Info(EventOrphan, "job", job.Id, "team", job.Team, "rack", job.Rack, "attempt", job.Attempt)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		defer cancel()
		const reason = "the rack owner stopped between claim and start"
		var err error
		if job.Idempotent {
			_, err = s.ledger.Requeue(ctx, job.Id, job.Attempt, ledger.Lost{Reason: reason})
		} else {
			_, err = s.ledger.MarkUnknown(ctx, job.Id, job.Attempt, reason)
		}
		if err != nil {
			s.log.V(1).Info(EventRetry, "what", "lost attempt", "job", job.Id, "err", err)
		}
	}()
}
