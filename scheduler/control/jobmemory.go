package control

import (
	"time"

	"daisylug.example/scheduler/batch"
)

const (
	// defaultMemory is the memory that is shared out if the deployment states none.
	defaultMemory = 256 << 20
	// liveShare and endedShare are the parts of the memory for jobs that have not
	// ended, and for the outcomes of those that have.
	liveShare  = 1.0 / 5
	endedShare = 1.0 / 12
	// maxLiveBytes bounds the former, so that an instance with less memory can take
	// over.
	maxLiveBytes = 64 << 20
)

const (
	// jobBytes, stepBytes and taskBytes are what a job, a step of it and a task take
	// beside their texts, with what a decision needs of them.
	jobBytes  = 6 << 10
	stepBytes = 512
	taskBytes = 256
)

// memoryLimits are the most that jobs may take, in bytes.
type memoryLimits struct{ live, ended int64 }

func (p *Planner) memory() memoryLimits {
	total := float64(p.Memory)
	if total <= 0 {
		total = defaultMemory
	}
	return memoryLimits{live: min(int64(liveShare*total), maxLiveBytes), ended: int64(endedShare * total)}
}

// recordBytes returns about how long the record of a job is.
func recordBytes(spec *batch.Job) int {
	// stepNumbers is what the numbers of a step take, dependencyNumber one dependency.
	const stepNumbers, dependencyNumber = 40, 1
	n := len(spec.ID) + len(spec.Queue) + len(spec.Path) + len(spec.Team) + len(spec.Payload)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += stepNumbers + len(s.Label) + len(s.Rack) + len(s.Image) + dependencyNumber*len(s.DependsOn)
	}
	return n
}

// estimateBytes returns about what an accepted job takes in memory.
func estimateBytes(spec *batch.Job) int64 {
	const dependencyBytes = 8
	tasks, dependencies := 0, 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Tasks
		dependencies += len(spec.Steps[i].DependsOn)
	}
	n := jobBytes + recordBytes(spec) + stepBytes*len(spec.Steps) + dependencyBytes*dependencies
	return int64(n + taskBytes*tasks*spec.OccurrenceCount())
}

// remember adds a job. The caller holds the lock.
func (p *Planner) remember(j *job) {
	p.jobs[j.spec.ID] = j
	p.jobBytes += estimateBytes(j.spec)
}

// forget removes a job. The caller holds the lock.
func (p *Planner) forget(j *job) {
	if p.jobs[j.spec.ID] != j {
		return
	}
	delete(p.jobs, j.spec.ID)
	p.jobBytes -= estimateBytes(j.spec)
}

// checkMemory returns a refusal if there is no memory for another job. The caller
// holds the lock.
func (p *Planner) checkMemory(spec *batch.Job) Response {
	limits := p.memory()
	if p.jobBytes+estimateBytes(spec) > limits.live {
		return Response{Outcome: OutcomeRefused, RetryAfter: maxRetryAfter, Reason: "too much work is waiting"}
	}
	if p.endedJobs.bytes > limits.ended && len(p.endedJobs.order) > 0 {
		// The earliest may be deleted then.
		wait := p.Timing.Retention - time.Since(p.endedJobs.order[0].ended)
		return Response{Outcome: OutcomeRefused, RetryAfter: max(wait, minRetryAfter), Reason: "too many jobs have ended within the time for which their state is kept"}
	}
	return Response{}
}
