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

// offer adds accepted jobs. It returns *RoleError on an instance that is not
// the planner.
func (s *scheduler) offer(jobs []*schema.Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return &NotOwnerError{Role: "the planner of " + s.self.DataCentre}
	}
	for _, job := range jobs {
		s.adopt(job)
	}
	s.wake()
	return nil
}

// adopt takes a record that is newer than the one known.
func (s *scheduler) adopt(job *schema.Job) {
	known, ok := s.records[job.Id]
	if ok && !newer(job, known) {
		return
	}
	s.records[job.Id] = job
	if job.State != schema.State_STATE_QUEUED {
		s.pending.Remove(job.Id)
		return
	}
	if _, busy := s.starting[job.Id]; busy {
		return
	}
	s.enqueue(job)
}

// enqueue adds a job to the pending ones, or to the unpaid ones if the balance
// of its team is spent.
func (s *scheduler) enqueue(job *schema.Job) {
	if s.balance.Admit(job.Team, 0, time.Now()) != nil {
		s.unpaid[job.Id] = job
		return
	}
	s.pending.Add(s.request(job))
}

// newer reports whether job is a later state of the same job than known.
func newer(job, known *schema.Job) bool {
	if job.Attempt != known.Attempt {
		return job.Attempt > known.Attempt
	}
	return rank(job) > rank(known)
}

// rank orders the states of one attempt. A record goes back to queued after
// its attempt has been claimed, which the operation id tells apart.
func rank(job *schema.Job) int {
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

// charge reports the accelerators in use, holds back the jobs of teams whose
// balance is spent and evicts their running work.
func (s *scheduler) charge(ctx context.Context, in planner.Input, now time.Time) {
	use := make(map[string]int)
	for _, r := range in.Running {
		use[r.Team] += r.Shape.Total()
	}
	for _, team := range s.catalogue.Snapshot().Teams() {
		s.balance.SetRunning(team.Name, use[team.Name], now)
		s.noteBalance(team.Name, now)
	}
	for _, r := range in.Running {
		var spent *balance.ExhaustedError
		if errors.As(s.balance.Admit(r.Team, 0, now), &spent) {
			s.evict(ctx, r.Job, r.Rack, now.Add(s.grace), now)
		}
	}
	for id, job := range s.unpaid {
		if s.balance.Admit(job.Team, 0, now) == nil {
			delete(s.unpaid, id)
			s.pending.Add(s.request(job))
		}
	}
}

// noteBalance logs when the balance of a team is spent and when it is not any
// more.
func (s *scheduler) noteBalance(team string, now time.Time) {
	var exhausted *balance.ExhaustedError
	spent := errors.As(s.balance.Admit(team, 0, now), &exhausted)
	if spent != s.spent[team] {
		s.log.Info(EventBalance, "team", team, "spent", spent)
	}
	s.spent[team] = spent
}

// noteQuarantine logs when the state of a worker has changed.
func (s *scheduler) noteQuarantine(workers []platform.WorkerInfo, now time.Time) {
	for _, w := range workers {
		if w.DataCentre != s.self.DataCentre {
			continue
		}
		state := s.book.WorkerState(w.Name, now)
		old, seen := s.workers[w.Name]
		if state != old && (seen || state != quarantine.StateHealthy) {
			s.log.Info(EventQuarantine, "worker", w.Name, "rack", w.Rack, "state", state)
		}
		s.workers[w.Name] = state
	}
}

// withdraw forgets cancelled jobs.
func (s *scheduler) withdraw(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.pending.Remove(id)
		delete(s.unpaid, id)
		delete(s.records, id)
		s.book.Forget(id)
		s.dropHold(id)
	}
	s.wake()
}

func (s *scheduler) dropHold(job string) {
	kept := s.holds[:0:0]
	for _, h := range s.holds {
		if h.Job != job {
			kept = append(kept, h)
		}
	}
	s.holds = kept
}

// ended learns from the end of an attempt.
func (s *scheduler) ended(m *schema.Ended) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, m.Job)
	delete(s.stopping, m.Job)
	defer delete(s.places, m.Job)
	job := s.records[m.Job]
	if job == nil {
		return
	}
	s.learn(job, m)
	if m.Again {
		again := cloneJob(job)
		again.State = schema.State_STATE_QUEUED
		again.Attempt = m.Attempt
		s.records[m.Job] = again
		s.enqueue(again)
	} else {
		delete(s.records, m.Job)
		delete(s.shares, m.Job)
		s.book.Forget(m.Job)
	}
	s.wake()
}

// learn records run times, worker speeds and failures.
func (s *scheduler) learn(job *schema.Job, m *schema.Ended) {
	end := m.Ended.AsTime()
	workers := s.places[job.Id]
	for i, w := range workers {
		failed := int32(i)+1 == m.Member && !m.Done
		if failed || m.Done {
			s.book.Record(quarantine.Outcome{
				Worker: w,
				Job:    job.Id,
				Source: job.Team + "/" + job.Template,
				Failed: failed,
				At:     end,
			})
		}
	}
	if !m.Done || m.Started == nil || s.shares[job.Id] > 0 {
		return
	}
	ran := end.Sub(m.Started.AsTime())
	expected := s.estimator.Estimate(s.request(job)).Median
	s.estimator.Observe(job.Team, job.Template, time.Duration(float64(ran)*s.slowest(workers)))
	if ran > 0 && expected > 0 {
		s.speeds.Observe(float64(expected)/float64(ran), workers...)
	}
}

// slowest returns the speed of a gang, which is that of its slowest worker.
func (s *scheduler) slowest(workers []string) float64 {
	lowest := 1.0
	for i, w := range workers {
		if speed := s.speeds.Speed(w); i == 0 || speed < lowest {
			lowest = speed
		}
	}
	return lowest
}

// request returns the planner's form of a job.
func (s *scheduler) request(job *schema.Job) queue.Job {
	r := queue.Job{
		ID:             job.Id,
		Team:           job.Team,
		Template:       job.Template,
		Class:          queueClass(job.Class),
		Shape:          shapeOf(job.Shape),
		Accepted:       job.Accepted.AsTime(),
		Declared:       time.Duration(job.Estimate * float64(time.Second)),
		Remaining:      1 - s.shares[job.Id],
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
