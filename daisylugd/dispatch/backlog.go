package dispatch

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/balance"
	"daisylug.example/scheduler/gang"
	"daisylug.example/scheduler/planner"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/quarantine"
	"daisylug.example/scheduler/queue"
	"daisylug.example/scheduler/schema"
)

// offer adds accepted jobs. It returns *NotOwnerError if this instance is not
// the planner.
func (s *scheduler) offer(jobs []*schema.Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return &NotOwnerError{Role: "the planner of " + s.self.DataCentre}
	}
	for _, job := range jobs {
		s.mergeRecord(job)
	}
	s.wake()
	return nil
}

// mergeRecord stores a record if it is newer than the known one.
func (s *scheduler) mergeRecord(job *schema.Job) {
	known, ok := s.records[job.Id]
	if ok && !isNewer(job, known) {
		return
	}
	s.records[job.Id] = job
	if job.State != schema.State_STATE_QUEUED {
		s.pending.Remove(job.Id)
		return
	}
	if _, busy := s.pendingStarts[job.Id]; busy {
		return
	}
	s.enqueue(job)
}

// enqueue adds a job to the pending jobs, or to the unpaid ones if the balance
// of its team is spent.
func (s *scheduler) enqueue(job *schema.Job) {
	if s.account.Admit(job.Team, 0, time.Now()) != nil {
		s.unpaid[job.Id] = job
		return
	}
	s.pending.Add(s.plannerJob(job))
}

// isNewer reports whether job is a later state of the same job than known.
func isNewer(job, known *schema.Job) bool {
	if job.Attempt != known.Attempt {
		return job.Attempt > known.Attempt
	}
	return stateOrder(job) > stateOrder(known)
}

// stateOrder returns the position of the state within one attempt. A queued
// record whose attempt is above 0 was requeued after that attempt, so it comes
// after claimed and running.
func stateOrder(job *schema.Job) int {
	switch job.State {
	case schema.State_STATE_QUEUED:
		if job.Attempt == 0 {
			return 0
		}
		return 3
	case schema.State_STATE_CLAIMED:
		return 1
	case schema.State_STATE_RUNNING:
		return 2
	default:
		return 4
	}
}

// enforceBalances reports the accelerators in use to the balance account,
// evicts running work of teams whose balance is spent, and makes unpaid jobs
// pending once their team has a balance again.
func (s *scheduler) enforceBalances(ctx context.Context, in planner.Input, now time.Time) {
	use := make(map[string]int)
	for _, r := range in.Running {
		use[r.Team] += r.Shape.Total()
	}
	for _, team := range s.catalogue.Snapshot().Teams() {
		s.account.SetRunning(team.Name, use[team.Name], now)
		s.logBalance(team.Name, now)
	}
	for _, r := range in.Running {
		var spent *balance.ExhaustedError
		if errors.As(s.account.Admit(r.Team, 0, now), &spent) {
			s.evict(ctx, r.Job, r.Rack, now.Add(s.gracePeriod), now)
		}
	}
	for id, job := range s.unpaid {
		if s.account.Admit(job.Team, 0, now) == nil {
			delete(s.unpaid, id)
			s.pending.Add(s.plannerJob(job))
		}
	}
}

// logBalance logs when the balance of a team becomes spent or available again.
func (s *scheduler) logBalance(team string, now time.Time) {
	var exhausted *balance.ExhaustedError
	spent := errors.As(s.account.Admit(team, 0, now), &exhausted)
	if spent != s.loggedSpent[team] {
		s.log.Info(EventBalance, "team", team, "spent", spent)
	}
	s.loggedSpent[team] = spent
}

// logQuarantine logs each change in the quarantine state of a worker.
func (s *scheduler) logQuarantine(workers []platform.WorkerInfo, now time.Time) {
	for _, w := range workers {
		if w.DataCentre != s.self.DataCentre {
			continue
		}
		state := s.quarantineTracker.WorkerState(w.Name, now)
		old, seen := s.loggedStates[w.Name]
		if state != old && (seen || state != quarantine.StateHealthy) {
			s.log.Info(EventQuarantine, "worker", w.Name, "rack", w.Rack, "state", state)
		}
		s.loggedStates[w.Name] = state
	}
}

// withdraw removes cancelled jobs.
func (s *scheduler) withdraw(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.pending.Remove(id)
		delete(s.unpaid, id)
		delete(s.records, id)
		s.quarantineTracker.RemoveJob(id)
		s.dropReservation(id)
	}
	s.wake()
}

func (s *scheduler) dropReservation(job string) {
	kept := s.reservations[:0:0]
	for _, r := range s.reservations {
		if r.Job != job {
			kept = append(kept, r)
		}
	}
	s.reservations = kept
}

// handleEnded updates the scheduler after an attempt has ended.
func (s *scheduler) handleEnded(m *schema.Ended) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingStarts, m.Job)
	delete(s.evicting, m.Job)
	defer delete(s.gangWorkers, m.Job)
	job := s.records[m.Job]
	if job == nil {
		return
	}
	s.observeAttempt(job, m)
	if m.Again {
		requeued := cloneJob(job)
		requeued.State = schema.State_STATE_QUEUED
		requeued.Attempt = m.Attempt
		s.records[m.Job] = requeued
		s.enqueue(requeued)
	} else {
		delete(s.records, m.Job)
		delete(s.progress, m.Job)
		s.quarantineTracker.RemoveJob(m.Job)
	}
	s.wake()
}

// observeAttempt records the run time, worker speeds and failures of an
// attempt.
func (s *scheduler) observeAttempt(job *schema.Job, m *schema.Ended) {
	end := m.Ended.AsTime()
	workers := s.gangWorkers[job.Id]
	for i, w := range workers {
		failed := int32(i)+1 == m.Member && !m.Done
		if failed || m.Done {
			s.quarantineTracker.Record(quarantine.Outcome{
				Worker: w,
				Job:    job.Id,
				Source: job.Team + "/" + job.Template,
				Failed: failed,
				At:     end,
			})
		}
	}
	if !m.Done || m.Started == nil || s.progress[job.Id] > 0 {
		return
	}
	runTime := end.Sub(m.Started.AsTime())
	expected := s.estimator.Estimate(s.plannerJob(job)).Median
	s.estimator.Observe(job.Team, job.Template, time.Duration(float64(runTime)*s.gangSpeed(workers)))
	if runTime > 0 && expected > 0 {
		s.speeds.Observe(float64(expected)/float64(runTime), workers...)
	}
}

// gangSpeed returns the speed of a gang, which is that of its slowest worker.
func (s *scheduler) gangSpeed(workers []string) float64 {
	lowest := 1.0
	for i, w := range workers {
		if speed := s.speeds.Speed(w); i == 0 || speed < lowest {
			lowest = speed
		}
	}
	return lowest
}

// plannerJob converts a job record to the planner's representation.
func (s *scheduler) plannerJob(job *schema.Job) queue.Job {
	r := queue.Job{
		ID:             job.Id,
		Team:           job.Team,
		Template:       job.Template,
		Class:          queueClass(job.Class),
		Shape:          shapeOf(job.Shape),
		Accepted:       job.Accepted.AsTime(),
		Declared:       time.Duration(job.Estimate * float64(time.Second)),
		Remaining:      1 - s.progress[job.Id],
		NonPreemptible: !job.Idempotent,
	}
	if team, _ := s.catalogue.Snapshot().Team(job.Team); team != nil {
		r.Priority = int(team.Priority)
	}
	if job.Deadline != nil {
		r.Deadline = job.Deadline.AsTime()
	}
	return r
}

func queueClass(c schema.Class) queue.Class {
	switch c {
	case schema.Class_CLASS_QUICK:
		return queue.ClassQuick
	case schema.Class_CLASS_PLANNED:
		return queue.ClassPlanned
	default:
		return queue.ClassBackground
	}
}

func shapeOf(s *schema.Shape) gang.Shape {
	return gang.Shape{Workers: int(s.GetWorkers()), Accelerators: int(s.GetAccelerators())}
}

func cloneJob(job *schema.Job) *schema.Job {
	return proto.Clone(job).(*schema.Job)
}
