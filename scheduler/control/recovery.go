package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
	"daisylug.example/scheduler/term"
)

// pageSize is the number of rows read at a time. With payloads of the usual
// size a page takes half a second on a link of 2 Mbit/s, well within the
// store's timeout.
const pageSize = 100

// RecordError reports a stored record that cannot be read.
type RecordError struct {
	Key   platform.RowKey
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s/%s: %v", e.Key.Table, e.Key.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// Load reads the stored jobs and what earlier planners have learned. It must be
// called before Run.
func (p *Planner) Load(ctx context.Context) error {
	progress := map[string]*schema.BatchProgress{}
	outcomes := map[string]outcome{}
	err := p.forEachRow(ctx, progressTable, func(r platform.StoredRow) error {
		m := &schema.BatchProgress{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			p.markUnreadable(r.RowKey, err)
			return nil
		}
		if o, ok := outcomeOf(m); ok {
			outcomes[r.Key] = o
		} else {
			progress[r.Key] = m
		}
		return nil
	})
	if err != nil {
		return err
	}
	err = p.forEachRow(ctx, jobTable, func(r platform.StoredRow) error {
		if p.unreadable[r.Key] {
			return nil
		}
		m := &schema.Batch{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			p.markUnreadable(r.RowKey, err)
			return nil
		}
		if o, ok := outcomes[r.Key]; ok {
			p.restoreOutcome(m, o)
			return nil
		}
		err := p.restoreJob(m, progress[r.Key])
		var format *FormatError
		if errors.As(err, &format) {
			// A planner of the version that wrote the record must take over.
			return &RecordError{progressKey(r.Key), err}
		}
		if err != nil {
			p.markUnreadable(progressKey(r.Key), err)
		}
		return nil
	})
	p.endedJobs.sort()
	p.Log.Info("jobs loaded", "jobs", len(p.jobs), "live", len(p.live), "ended", len(p.endedJobs.order), "error", err)
	if err != nil {
		return err
	}
	if err := p.loadLeases(ctx); err != nil {
		return err
	}
	return p.loadLearnedState(ctx)
}

// markUnreadable skips a job whose record is damaged, so that the others are
// served. The state of the job is not reported, since it may have run.
func (p *Planner) markUnreadable(key platform.RowKey, cause error) {
	p.Log.Error(&RecordError{key, cause}, "job skipped, record is damaged", "job", key.Key)
	p.unreadable[key.Key] = true
}

// forEachRow calls f for all rows of a table.
func (p *Planner) forEachRow(ctx context.Context, table string, f func(platform.StoredRow) error) error {
	from := ""
	for {
		start := time.Now()
		page, err := p.Store.List(ctx, platform.Range{Table: table, Part: term.Part, From: from, Limit: pageSize})
		if err != nil {
			return err
		}
		p.clock.set(page.Now, start, time.Now())
		for _, r := range page.Rows {
			if err := f(r); err != nil {
				return err
			}
			// The next key in byte order.
			from = r.Key + "\x00"
		}
		if !page.More {
			return nil
		}
	}
}

// outcome is what is needed of the progress of a job that has ended.
type outcome struct {
	state batch.JobState
	// ended is on the store's clock, or 0 if it is not known there.
	ended   int64
	endedAt time.Time
}

// outcomeOf returns the outcome of a job that has ended and of which no run may be
// left.
func outcomeOf(r *schema.BatchProgress) (outcome, bool) {
	o := outcome{state: batch.JobState(r.GetState()), ended: r.GetConcluded()}
	if r.GetEnded() != 0 {
		o.endedAt = time.UnixMilli(r.GetEnded())
	}
	if !o.state.Final() || r.GetFormat() > progressFormat {
		return outcome{}, false
	}
	for _, s := range r.GetSteps() {
		placed := func(state int32) bool { return batch.TaskState(state) == batch.TaskPlaced }
		if slices.ContainsFunc(s.GetStates(), placed) {
			return outcome{}, false
		}
		if slices.ContainsFunc(s.GetTasks(), func(t *schema.BatchTask) bool { return placed(t.GetState()) }) {
			return outcome{}, false
		}
	}
	return o, true
}

// restoreOutcome adds a stored job that has ended.
func (p *Planner) restoreOutcome(m *schema.Batch, o outcome) {
	if o.ended != 0 {
		o.endedAt = p.clock.fromStore(o.ended)
	}
	p.endedJobs.add(&endedJob{id: m.GetId(), queue: m.GetQueue(), path: m.GetPath(), state: o.state, ended: o.endedAt})
}

// restoreJob adds a stored job and its progress to the planner.
func (p *Planner) restoreJob(m *schema.Batch, record *schema.BatchProgress) error {
	spec, q, guaranteed := DecodeJob(m)
	if err := spec.Validate(); err != nil {
		return err
	}
	// A job without a progress record has not started.
	progress, err := decodeProgress(spec, record)
	if err != nil {
		return err
	}
	if m.GetArrived() != 0 {
		spec.AcceptedAt = p.clock.fromStore(m.GetArrived())
	}
	if record.GetConcluded() != 0 {
		progress.Ended = p.clock.fromStore(record.GetConcluded())
	}
	j := newJob(spec, q, guaranteed, progress)
	j.stored = true
	j.visibleState = j.progress.State
	p.remember(j)
	if !j.progress.State.Final() {
		p.live[spec.ID] = j
	}
	return nil
}

// adoptRuns creates the placements that the stored jobs imply. Runs of ended
// jobs are included, because they occupy resources until they are stopped.
func (p *Planner) adoptRuns() {
	for _, j := range p.jobs {
		p.contain(j, "adoption of runs", func() {
			j.started = j.progress.Begun()
			p.adoptJob(j)
		})
	}
}

// adoptJob creates the placements of a job that are missing.
func (p *Planner) adoptJob(j *job) {
	for i := range j.progress.Steps {
		s := &j.progress.Steps[i]
		for t := range s.Tasks {
			if s.Tasks[t].State != batch.TaskPlaced {
				continue
			}
			id := batch.TaskID{Job: j.spec.ID, Occurrence: i / len(j.spec.Steps), Step: i % len(j.spec.Steps), Index: t}
			if w := p.workers[s.Tasks[t].Worker]; w == nil || w.placements[id] == nil {
				p.adoptRun(j, id, &s.Tasks[t])
			}
		}
	}
}

func (p *Planner) adoptRun(j *job, id batch.TaskID, t *batch.Task) {
	w := p.workers[t.Worker]
	if w == nil {
		info, heartbeat := p.inheritedInfo(t.Worker)
		w = p.addWorker(info)
		w.lastHeartbeat = heartbeat
	}
	pl := &placement{
		job: j, id: id, step: &j.spec.Steps[id.Step], run: t.Run, worker: w, phase: phaseInherited, checkpoint: t.Checkpoint,
	}
	w.placements[id] = pl
	w.used = w.used.Plus(pl.step.AllocatedResources())
	j.placementCount++
}
