package control

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"daisylug.example/scheduler/batch"
	"daisylug.example/scheduler/platform"
	"daisylug.example/scheduler/schema"
)

// endedJob is what is kept of a job that has ended and has no runs left.
type endedJob struct {
	id, queue, path string
	state           batch.JobState
	ended           time.Time
}

// endedJobBytes is what an ended job takes beside its texts: the record and its
// entries in a map and a list.
const endedJobBytes = 200

func (e *endedJob) bytes() int64 {
	return endedJobBytes + int64(len(e.id)+len(e.queue)+len(e.path))
}

// endedJobs are the jobs that have ended, the earliest first. The zero value is
// not usable.
type endedJobs struct {
	byID  map[string]*endedJob
	order []*endedJob
	bytes int64
	// large are those whose long records are to be replaced.
	large []*endedJob
}

func newEndedJobs() endedJobs { return endedJobs{byID: map[string]*endedJob{}} }

func (s *endedJobs) add(e *endedJob) {
	s.byID[e.id] = e
	s.order = append(s.order, e)
	s.bytes += e.bytes()
}

// sort orders the jobs after they were added in another order.
func (s *endedJobs) sort() {
	slices.SortFunc(s.order, func(a, b *endedJob) int {
		return cmp.Or(a.ended.Compare(b.ended), cmp.Compare(a.id, b.id))
	})
}

// first returns at most n jobs that ended before the given time.
func (s *endedJobs) first(n int, before time.Time) []*endedJob {
	n = min(n, len(s.order))
	for i, e := range s.order[:n] {
		if !e.ended.Before(before) {
			return s.order[:i]
		}
	}
	return s.order[:n]
}

func (s *endedJobs) remove(e *endedJob) {
	if s.byID[e.id] != e {
		return
	}
	delete(s.byID, e.id)
	s.bytes -= e.bytes()
	if s.order[0] == e {
		s.order[0] = nil
		s.order = s.order[1:]
	} else if i := slices.Index(s.order, e); i >= 0 {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// findEnded returns the ended job that a call means, or nil. The caller holds the lock.
func (p *Planner) findEnded(ref JobRef) *endedJob {
	if e := p.endedJobs.byID[ref.ID]; e != nil && ref.names(e.queue, e.id, e.path) {
		return e
	}
	return nil
}

// reduceEndedJobs keeps only the outcome of the jobs that have ended. The caller
// holds the lock.
func (p *Planner) reduceEndedJobs() {
	for _, j := range p.jobs {
		p.reduceIfEnded(j)
	}
}

// reduceIfEnded replaces a job by its outcome if that is stored and no runs of the
// job are left. The caller holds the lock.
func (p *Planner) reduceIfEnded(j *job) {
	if j == nil || p.jobs[j.spec.ID] != j || p.isIsolated(j) {
		return
	}
	if !j.stored || j.dirty || !j.visibleState.Final() || j.placementCount > 0 || len(j.onStored) > 0 {
		return
	}
	p.forget(j)
	e := &endedJob{id: j.spec.ID, queue: j.spec.Queue, path: j.spec.Path, state: j.visibleState, ended: j.progress.Ended}
	p.endedJobs.add(e)
	if recordBytes(j.spec) > largeRecordBytes {
		p.endedJobs.large = append(p.endedJobs.large, e)
	}
}

// largeRecordBytes is the length of the record of an ended job from which on it is
// replaced by a short one. A planner that takes over reads all records.
const largeRecordBytes = 4 << 10

// shortenRecords returns the replacement of long records of jobs that have ended, at
// most limit rows. The caller holds the lock.
func (p *Planner) shortenRecords(limit int) []change {
	n := min(limit/rowsPerJob, len(p.endedJobs.large))
	var changes []change
	for _, e := range p.endedJobs.large[:n] {
		if p.endedJobs.byID[e.id] != e {
			continue
		}
		rows, err := e.encodeRows(p.clock)
		if err != nil {
			p.Log.Error(err, "record of an ended job not shortened", "job", e.id)
			continue
		}
		changes = append(changes, change{writes: rows})
	}
	p.endedJobs.large = slices.Delete(p.endedJobs.large, 0, n)
	return changes
}

// encodeRows returns the rows that store what is kept of the job.
func (e *endedJob) encodeRows(clock storeClock) ([]platform.StoredRow, error) {
	progress := &schema.BatchProgress{State: int32(e.state), Format: progressFormat, Concluded: clock.toStore(e.ended)}
	if !e.ended.IsZero() {
		progress.Ended = e.ended.UnixMilli()
	}
	record, err := proto.Marshal(&schema.Batch{Id: e.id, Queue: e.queue, Path: e.path})
	if err != nil {
		return nil, err
	}
	outcome, err := proto.Marshal(progress)
	if err != nil {
		return nil, err
	}
	return []platform.StoredRow{{RowKey: jobKey(e.id), Value: record}, {RowKey: progressKey(e.id), Value: outcome}}, nil
}

const (
	// retentionFactor is the multiple of Timing.Retention after which an ended
	// job is deleted, if there is memory for so many.
	retentionFactor = 2
	// cleanupInterval is the time between two searches for obsolete jobs.
	cleanupInterval = 1 * time.Second
	// rowsPerJob is the number of rows of a job.
	rowsPerJob = 2
)

// obsoleteJobs returns the removal of jobs that ended long ago, at most limit
// rows. The caller holds the lock.
func (p *Planner) obsoleteJobs(now time.Time, limit int) []change {
	if now.Sub(p.lastCleanup) >= cleanupInterval {
		p.lastCleanup, p.obsoleteLeft = now, true
		p.reduceEndedJobs()
	}
	if !p.obsoleteLeft {
		return nil
	}
	retention := retentionFactor * p.Timing.Retention
	if p.endedJobs.bytes > p.memory().ended/2 {
		retention = p.Timing.Retention
	}
	var changes []change
	obsolete := p.endedJobs.first(limit/rowsPerJob, now.Add(-retention))
	for _, e := range obsolete {
		changes = append(changes, change{
			removes: []platform.RowKey{jobKey(e.id), progressKey(e.id)}, onStored: []func(){func() { p.endedJobs.remove(e) }},
		})
	}
	p.obsoleteLeft = len(obsolete) == limit/rowsPerJob
	return changes
}
