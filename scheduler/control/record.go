package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// Tables of the planner.
const (
	jobTable      = "job"
	progressTable = "progress"
)

func jobKey(id string) platform.RowKey {
	return platform.RowKey{Table: jobTable, Part: term.Part, Key: id}
}

func progressKey(id string) platform.RowKey {
	return platform.RowKey{Table: progressTable, Part: term.Part, Key: id}
}

// EncodeJob returns the record of a job with the policy of its queue.
func EncodeJob(j *batch.Job, q Queue, guaranteed int64) *schema.Batch {
	r := &schema.Batch{
		Id: j.ID, Queue: j.Queue, Path: j.Path, Team: j.Team, Payload: j.Payload,
		Accepted: j.AcceptedAt.UnixMilli(), Interval: j.Interval.Milliseconds(), Occurrences: int32(j.Occurrences),
		Policy: &schema.Policy{
			Service: q.Service, Priority: int32(q.Priority), Attempts: int32(q.MaxAttempts),
			Stretch: q.Stretch, Target: q.Target.Milliseconds(), Guaranteed: guaranteed, Advised: q.Advised,
		},
	}
	if j.Occurrences > 0 {
		r.First = j.FirstDue.UnixMilli()
	}
	for i := range j.Steps {
		r.Steps = append(r.Steps, encodeStep(&j.Steps[i]))
	}
	return r
}

func encodeStep(s *batch.Step) *schema.BatchStep {
	r := &schema.BatchStep{
		Tasks: int32(s.Tasks), Cpu: s.Need.MilliCPU, Memory: s.Need.MemoryMB, Accelerators: s.Need.Accelerators,
		Estimate: s.Estimate.Milliseconds(), Gang: s.Gang, Adjacent: s.Adjacent, Checkpoints: s.Checkpoints,
		Label: s.Label, Rack: s.Rack, Spread: int32(s.MaxPerWorker), Lasting: s.LongRunning, Away: int32(s.MaxUnavailable),
		Filler: s.BestEffort, Duplicates: s.Duplicates, Image: s.Image, Target: s.TargetLatency.Milliseconds(),
	}
	for _, a := range s.DependsOn {
		r.After = append(r.After, int32(a))
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// DecodeJob returns the job of a record, the policy of its queue and the
// guarantee of its team.
func DecodeJob(r *schema.Batch) (*batch.Job, Queue, int64) {
	j := &batch.Job{
		ID: r.GetId(), Queue: r.GetQueue(), Path: r.GetPath(), Team: r.GetTeam(), Payload: r.GetPayload(),
		AcceptedAt: time.UnixMilli(r.GetAccepted()), FirstDue: time.UnixMilli(r.GetFirst()),
		Interval: milliseconds(r.GetInterval()), Occurrences: int(r.GetOccurrences()),
	}
	for _, s := range r.GetSteps() {
		j.Steps = append(j.Steps, decodeStep(s))
	}
	p := r.GetPolicy()
	return j, Queue{
		Name: r.GetQueue(), Service: p.GetService(), Priority: int(p.GetPriority()), MaxAttempts: int(p.GetAttempts()),
		Stretch: p.GetStretch(), Target: milliseconds(p.GetTarget()), Advised: p.GetAdvised(),
	}, p.GetGuaranteed()
}

func decodeStep(r *schema.BatchStep) batch.Step {
	s := batch.Step{
		Tasks:    int(r.GetTasks()),
		Need:     batch.Resources{MilliCPU: r.GetCpu(), MemoryMB: r.GetMemory(), Accelerators: r.GetAccelerators()},
		Estimate: milliseconds(r.GetEstimate()), Gang: r.GetGang(), Adjacent: r.GetAdjacent(),
		Checkpoints: r.GetCheckpoints(), Label: r.GetLabel(), Rack: r.GetRack(), MaxPerWorker: int(r.GetSpread()),
		LongRunning: r.GetLasting(), MaxUnavailable: int(r.GetAway()), BestEffort: r.GetFiller(), Duplicates: r.GetDuplicates(),
		Image: r.GetImage(), TargetLatency: milliseconds(r.GetTarget()),
	}
	for _, a := range r.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(a))
	}
	return s
}

// encodeRows returns the rows that store the job, the progress in at most maxBytes.
func (j *job) encodeRows(clock storeClock, maxBytes int) ([]platform.StoredRow, error) {
	record := &schema.BatchProgress{State: int32(j.progress.State), Format: progressFormat}
	if !j.reduced {
		record = encodeProgress(j.progress, maxBytes)
	}
	record.Concluded = clock.toStore(j.progress.Ended)
	progress, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	rows := []platform.StoredRow{{RowKey: progressKey(j.spec.ID), Value: progress}}
	if j.stored {
		return rows, nil
	}
	batch := EncodeJob(j.spec, j.queue, j.guaranteed)
	batch.Arrived = clock.toStore(j.spec.AcceptedAt)
	spec, err := proto.Marshal(batch)
	if err != nil {
		return nil, err
	}
	return append(rows, platform.StoredRow{RowKey: jobKey(j.spec.ID), Value: spec}), nil
}
