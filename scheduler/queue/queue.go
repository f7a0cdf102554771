package queue

import (
	"cmp"
	"iter"
	"math/bits"
	"slices"
	"strings"
	"time"

	"daisylug.example/scheduler/gang"
)

// Queue holds pending jobs. Jobs whose order depends only on their age share a
// bucket, and only the oldest job of each bucket is ranked. The cost per job in a
// burst of similar jobs is therefore about that of a single job. Queue is not safe
// for concurrent use.
type Queue struct {
	buckets map[bucketKey]*bucket
	// order lists the buckets in the order of their creation, so that results do
	// not depend on the iteration order of the map.
	order   []*bucket
	entries map[string]*entry
}

// bucketKey holds the attributes that the jobs of a bucket share.
type bucketKey struct {
	team           string
	template       string
	class          Class
	priority       int
	shape          gang.Shape
	nonPreemptible bool
	// declared and remaining are bit lengths, of seconds and of thousandths, so
	// that similar values share a bucket.
	declared  int
	remaining int
	// deadline is truncated to a multiple of deadlineGranularity.
	deadline time.Time
	avoid    string
}

// deadlineGranularity is the precision to which deadlines affect the order.
const deadlineGranularity = time.Minute

func bucketKeyOf(j Job) bucketKey {
	k := bucketKey{
		team: j.Team, template: j.Template, class: j.Class, priority: j.Priority, shape: j.Shape, nonPreemptible: j.NonPreemptible,
		declared:  bits.Len64(uint64(max(0, j.Declared/time.Second))),
		remaining: bits.Len(uint(j.remainingShare() * 1000)),
		avoid:     strings.Join(j.AvoidWorkers, ","),
	}
	if !j.Deadline.IsZero() {
		k.deadline = j.Deadline.Truncate(deadlineGranularity).UTC()
	}
	return k
}

// bucket lists entries by age. Removed entries are only marked and are deleted
// once they are more than half of the list.
type bucket struct {
	key       bucketKey
	entries   []*entry
	liveCount int
}

type entry struct {
	job     Job
	bucket  *bucket
	removed bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{buckets: map[bucketKey]*bucket{}, entries: map[string]*entry{}}
}

// Add adds a job and reports whether it was not pending before.
func (q *Queue) Add(j Job) bool {
	if _, ok := q.entries[j.ID]; ok {
		return false
	}
	k := bucketKeyOf(j)
	b := q.buckets[k]
	if b == nil {
		b = &bucket{key: k}
		q.buckets[k] = b
		q.order = append(q.order, b)
	}
	e := &entry{job: j, bucket: b}
	q.entries[j.ID] = e
	b.insert(e)
	return true
}

func (b *bucket) insert(e *entry) {
	b.liveCount++
	n := len(b.entries)
	if n == 0 || !e.job.olderThan(b.entries[n-1].job) {
		b.entries = append(b.entries, e)
		return
	}
	at, _ := slices.BinarySearchFunc(b.entries, e, func(a, b *entry) int {
		return a.job.compareAge(b.job)
	})
	b.entries = slices.Insert(b.entries, at, e)
}

// Remove removes a job that was started, cancelled or refused and reports
// whether it was pending.
func (q *Queue) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	delete(q.entries, id)
	e.removed = true
	b := e.bucket
	b.liveCount--
	if b.liveCount == 0 {
		delete(q.buckets, b.key)
		b.entries = nil
		q.compact()
		return true
	}
	if b.liveCount < len(b.entries)/2 {
		b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool { return e.removed })
	}
	return true
}

// compact deletes empty buckets once they are more than half of the order.
func (q *Queue) compact() {
	if len(q.buckets) < len(q.order)/2 {
		q.order = slices.DeleteFunc(q.order, func(b *bucket) bool { return b.liveCount == 0 })
	}
}

// Get returns a pending job.
func (q *Queue) Get(id string) (Job, bool) {
	e, ok := q.entries[id]
	if !ok {
		return Job{}, false
	}
	return e.job, true
}

// Len returns the number of pending jobs.
func (q *Queue) Len() int { return len(q.entries) }

// Iterator iterates over the pending jobs in the order in which they should
// start. It does not change the queue, and the queue must not change during the
// iteration.
type Iterator struct {
	estimator *Estimator
	now       time.Time
	// heads is a min-heap ordered by rank.
	heads []head
}

// head is the oldest job of a bucket that the iterator has not passed.
type head struct {
	rank   rank
	bucket *bucket
	next   int
}

// Iterator returns an iterator over the jobs that are pending now.
func (q *Queue) Iterator(e *Estimator, now time.Time) *Iterator {
	r := &Iterator{estimator: e, now: now, heads: make([]head, 0, len(q.buckets))}
	for _, b := range q.order {
		r.push(b, 0)
	}
	return r
}

// Peek returns the job that should start first among those not yet passed. The
// caller moves on with Advance or SkipBucket.
func (r *Iterator) Peek() (Job, bool) {
	if len(r.heads) == 0 {
		return Job{}, false
	}
	h := r.heads[0]
	return h.bucket.entries[h.next].job, true
}

// Advance passes the current job.
func (r *Iterator) Advance() {
	h := r.pop()
	r.push(h.bucket, h.next+1)
}

// SkipBucket passes the current job and all other jobs of its bucket, which have
// the same requirements.
func (r *Iterator) SkipBucket() { r.pop() }

// push adds the first pending entry of the bucket at or after next to the heap.
func (r *Iterator) push(b *bucket, next int) {
	for next < len(b.entries) && b.entries[next].removed {
		next++
	}
	if next >= len(b.entries) {
		return
	}
	j := &b.entries[next].job
	r.heads = append(r.heads, head{rank: rankOf(j, r.estimator, r.now), bucket: b, next: next})
	i := len(r.heads) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if r.heads[parent].rank.compare(r.heads[i].rank) <= 0 {
			return
		}
		r.heads[parent], r.heads[i] = r.heads[i], r.heads[parent]
		i = parent
	}
}

func (r *Iterator) pop() head {
	top := r.heads[0]
	last := len(r.heads) - 1
	r.heads[0] = r.heads[last]
	r.heads = r.heads[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && r.heads[child+1].rank.compare(r.heads[child].rank) < 0 {
			child++
		}
		if r.heads[i].rank.compare(r.heads[child].rank) <= 0 {
			return top
		}
		r.heads[i], r.heads[child] = r.heads[child], r.heads[i]
		i = child
	}
}

// Order returns the jobs in the order in which they should start.
func Order(jobs []Job, e *Estimator, now time.Time) []Job {
	ranks := make(map[string]rank, len(jobs))
	for i := range jobs {
		ranks[jobs[i].ID] = rankOf(&jobs[i], e, now)
	}
	ordered := slices.Clone(jobs)
	slices.SortFunc(ordered, func(a, b Job) int {
		return cmp.Or(ranks[a.ID].compare(ranks[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// Shapes iterates over the shapes of the pending jobs. A shape may occur
// several times.
func (q *Queue) Shapes() iter.Seq[gang.Shape] {
	return func(yield func(gang.Shape) bool) {
		for _, b := range q.order {
			if b.liveCount > 0 && !yield(b.key.shape) {
				return
			}
		}
	}
}

// Jobs returns all pending jobs in unspecified order.
func (q *Queue) Jobs() []Job {
	jobs := make([]Job, 0, len(q.entries))
	for _, b := range q.order {
		for _, e := range b.entries {
			if !e.removed {
				jobs = append(jobs, e.job)
			}
		}
	}
	return jobs
}
