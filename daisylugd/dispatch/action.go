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
	// launchWait bounds the start of a gang: claim, reservation and commit.
	launchWait = 8 * time.Second
	// refusePatience is how long an accepted job may lack machines that could
	// ever hold it before it is refused.
	refusePatience = 10 * time.Minute
	// haltWait bounds the call that stops cancelled work.
	haltWait = 5 * time.Second
	// recordWait bounds the writes that follow a decision.
	recordWait = 30 * time.Second
)

// carryOut starts the actions of one round. The caller holds the lock; the
// actions run in goroutines of their own.
func (s *scheduler) carryOut(ctx context.Context, result planner.Result, now time.Time) {
	s.refuseAll(ctx, result.Refusals, now)
	for _, p := range result.Preemptions {
		s.preempt(ctx, p, now)
	}
	for _, st := range result.Starts {
		s.start(ctx, st, now)
	}
}

// refuseAll ends the jobs that can never run. One that lacks a rack or spare
// room is refused only after a while, since workers come back and the list of
// workers may be incomplete.
func (s *scheduler) refuseAll(ctx context.Context, refusals []planner.Refusal, now time.Time) {
	still := make(map[string]time.Time, len(refusals))
	for _, r := range refusals {
		switch r.Error.Reason {
		case queue.ReasonRack, queue.ReasonGuarantee:
			since, seen := s.refused[r.Job.ID]
			if !seen {
				since = now
			}
			if now.Sub(since) < refusePatience {
				still[r.Job.ID] = since
				continue
			}
		}
		s.refuse(ctx, r)
	}
	s.refused = still
}

// refuse ends a job that can never run.
func (s *scheduler) refuse(ctx context.Context, r planner.Refusal) {
	s.pending.Remove(r.Job.ID)
	job := s.records[r.Job.ID]
	delete(s.records, r.Job.ID)
	if job == nil {
		return
	}
	s.log.Info(EventRefuse, "job", r.Job.ID, "team", r.Job.Team, "reason", r.Error.Reason)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordWait)
		defer cancel()
		// A claim makes the attempt that the outcome belongs to; nothing runs.
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

// start asks the rack owner to start a job.
func (s *scheduler) start(ctx context.Context, st planner.Start, now time.Time) {
	job := s.records[st.Job.ID]
	if job == nil {
		s.pending.Remove(st.Job.ID)
		return
	}
	s.pending.Remove(st.Job.ID)
	if s.balance.Admit(job.Team, st.Job.Shape.Total(), now) != nil {
		s.unpaid[job.Id] = job
		return
	}
	s.starting[st.Job.ID] = starting{start: st, attempt: job.Attempt + 1, deadline: now.Add(launchWait + settleAfter)}
	s.places[st.Job.ID] = st.Workers
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
		ctx, cancel := context.WithTimeout(ctx, launchWait)
		defer cancel()
		launched, err := s.caller.launch(ctx, m)
		s.launched(job, launched, err)
	}()
}

// launched takes note of the answer of the rack owner.
func (s *scheduler) launched(job *schema.Job, m *schema.Launched, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	st, waiting := s.starting[job.Id]
	if !waiting {
		// The rack's state showed the gang first, or the job was cancelled.
		return
	}
	if err == nil && m.Started {
		st.deadline = time.Now().Add(settleAfter)
		s.starting[job.Id] = st
		s.records[job.Id] = claimedJob(job, m.Attempt, st.start.Rack)
		s.log.V(1).Info(EventLaunch, "job", job.Id, "team", job.Team, "rack", st.start.Rack, "attempt", m.Attempt)
		return
	}
	delete(s.starting, job.Id)
	delete(s.records, job.Id)
	s.log.V(1).Info(EventRetry, "what", "start", "job", job.Id, "team", job.Team, "rack", st.start.Rack, "reason", m.GetReason(), "err", err)
	switch {
	case err != nil || m.Stale:
		go s.reread(job.Id)
	case !m.Gone:
		again := cloneJob(job)
		again.Attempt = m.Attempt
		again.State = schema.State_STATE_QUEUED
		s.records[job.Id] = again
		s.enqueue(again)
	}
}

func claimedJob(job *schema.Job, attempt int32, rack string) *schema.Job {
	c := cloneJob(job)
	c.State = schema.State_STATE_CLAIMED
	c.Attempt = attempt
	c.Rack = rack
	return c
}

// reread takes the record of a job whose state is not known here. If it cannot
// be read, the scan finds it.
func (s *scheduler) reread(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	job, err := s.ledger.Get(ctx, id)
	if err != nil {
		s.log.V(1).Info(EventRetry, "what", "record of a job", "job", id, "err", err)
		return
	}
	if ended(job.State) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(job)
	s.wake()
}

// preempt asks the rack owner to checkpoint and stop gangs.
func (s *scheduler) preempt(ctx context.Context, p planner.Preemption, now time.Time) {
	for _, e := range p.Evictions {
		s.evict(ctx, e.Work.Job, p.Rack, p.Deadline, now)
	}
}

func (s *scheduler) evict(ctx context.Context, id, rack string, deadline, now time.Time) {
	if _, busy := s.stopping[id]; busy {
		return
	}
	job := s.records[id]
	if job == nil {
		return
	}
	s.stopping[id] = now
	s.log.Info(EventEvict, "job", id, "team", job.Team, "rack", rack)
	m := &schema.Evict{Rack: rack, Job: id, Deadline: timestamppb.New(deadline)}
	go func() {
		call, cancel := context.WithDeadline(ctx, deadline.Add(haltWait))
		defer cancel()
		evicted, err := s.caller.evict(call, m)
		s.evicted(ctx, job, evicted, err)
	}()
}

// evicted puts an evicted job back in the queue, first in memory, so that it
// can continue while the table is away, then in its record.
func (s *scheduler) evicted(ctx context.Context, job *schema.Job, m *schema.Evicted, err error) {
	s.mu.Lock()
	delete(s.stopping, job.Id)
	// The rack's state may never have shown a gang that was evicted right after
	// its start; it must not count as running any more.
	delete(s.starting, job.Id)
	s.wake()
	if err != nil {
		s.mu.Unlock()
		s.log.Info(EventRetry, "what", "eviction", "job", job.Id, "err", err)
		return
	}
	again := cloneJob(job)
	again.State = schema.State_STATE_QUEUED
	again.Checkpoints = m.Checkpoints
	again.Rack = ""
	s.records[job.Id] = again
	s.shares[job.Id] = m.Share
	s.enqueue(again)
	s.mu.Unlock()
	s.recordEviction(ctx, job, ledger.Evicted{Checkpoints: m.Checkpoints})
}

// recordEviction repeats until the record is settled: a record that stays
// claimed would make the next claim wait for the attempt to count as lost.
func (s *scheduler) recordEviction(ctx context.Context, job *schema.Job, cause ledger.Evicted) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, recordWait)
		_, err := s.ledger.Requeue(call, job.Id, job.Attempt, cause)
		cancel()
		if _, _, refused := refusal(err); err == nil || refused {
			return
		}
		s.log.V(1).Info(EventRetry, "what", "record of eviction", "job", job.Id, "err", err)
		time.Sleep(time.Second)
	}
}

// reconcile finds claimed jobs that are on no worker although the whole rack
// answers, because their owner died between the claim and the start. The
// caller holds the lock.
func (s *scheduler) reconcile(ctx context.Context, now time.Time) {
	for id, job := range s.records {
		if job.State != schema.State_STATE_CLAIMED && job.State != schema.State_STATE_RUNNING {
			continue
		}
		if _, busy := s.starting[id]; busy || s.present(job) {
			delete(s.missing, id)
			continue
		}
		since, seen := s.missing[id]
		if !seen {
			s.missing[id] = now
			continue
		}
		if now.Sub(since) >= orphanAfter {
			delete(s.missing, id)
			delete(s.records, id)
			s.orphan(ctx, job)
		}
	}
}

// present reports whether a claimed job may still be on its rack.
func (s *scheduler) present(job *schema.Job) bool {
	p, ok := s.board.get(job.Rack)
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

// settleStrays looks up running gangs whose job is not known here: they were
// cancelled without their rack owner learning of it, or their offer was lost.
// The caller holds the lock.
func (s *scheduler) settleStrays(ctx context.Context, running []planner.Running, now time.Time) {
	present := make(map[string]bool, len(running))
	for _, r := range running {
		present[r.Job] = true
		if s.records[r.Job] != nil {
			delete(s.strays, r.Job)
			continue
		}
		due, seen := s.strays[r.Job]
		if !seen {
			s.strays[r.Job] = now.Add(settleAfter)
			continue
		}
		if now.After(due) {
			s.strays[r.Job] = now.Add(orphanAfter)
			go s.settleStray(ctx, r.Job, r.Rack)
		}
	}
	for id := range s.strays {
		if !present[id] {
			delete(s.strays, id)
		}
	}
}

// settleStray adopts the job of a running gang, or stops the gang if the job
// has ended.
func (s *scheduler) settleStray(ctx context.Context, id, rack string) {
	ctx, cancel := context.WithTimeout(ctx, haltWait)
	defer cancel()
	job, err := s.ledger.Get(ctx, id)
	if err != nil {
		s.log.V(1).Info(EventRetry, "what", "record of a running gang", "job", id, "err", err)
		return
	}
	if !ended(job.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.adopt(job)
		return
	}
	if err := s.caller.halt(ctx, &schema.Halt{Rack: rack, Jobs: []string{id}}); err != nil {
		s.log.V(1).Info(EventRetry, "what", "stop of an ended job", "job", id, "err", err)
	}
}

// orphan ends the attempt of a claimed job that is on no worker.
func (s *scheduler) orphan(ctx context.Context, job *schema.Job) {
	s.log.Info(EventOrphan, "job", job.Id, "team", job.Team, "rack", job.Rack, "attempt", job.Attempt)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordWait)
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
