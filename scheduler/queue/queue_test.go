package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"daisylug.example/scheduler/gang"
)

var baseTime = time.Unix(1_000_000, 0)

func randomJob(rng *rand.Rand, id int) Job {
	return Job{
		ID: fmt.Sprintf("j%05d", id), Team: fmt.Sprint("t", rng.IntN(3)), Template: fmt.Sprint("p", rng.IntN(2)),
		Class: Class(rng.IntN(3)), Priority: rng.IntN(3), Shape: gang.Shape{Workers: 1 << rng.IntN(3), Accelerators: 8},
		Accepted: baseTime.Add(time.Duration(rng.IntN(100)) * time.Second), Declared: time.Duration(64<<rng.IntN(3)) * time.Second,
	}
}

func iterate(q *Queue, e *Estimator, now time.Time) []Job {
	var got []Job
	r := q.Iterator(e, now)
	for j, ok := r.Peek(); ok; j, ok = r.Peek() {
		got = append(got, j)
		r.Advance()
	}
	return got
}

// Guards against buckets that change the order: an iteration must give the same
// order as sorting all jobs, after any additions and cancellations, and must not
// return cancelled jobs.
func TestRoundMatchesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		q, e := New(), NewEstimator()
		var jobs []Job
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rng.IntN(3) > 0 || len(jobs) == 0 {
				j := randomJob(rng, i)
				q.Add(j)
				jobs = append(jobs, j)
				continue
			}
			at := rng.IntN(len(jobs))
			if !q.Remove(jobs[at].ID) || q.Remove(jobs[at].ID) {
				t.Fatal("a pending job was not removed exactly once")
			}
			jobs = slices.Delete(jobs, at, at+1)
		}
		now := baseTime.Add(time.Hour)
		got, want := iterate(q, e, now), Order(jobs, e, now)
		if len(got) != q.Len() || !slices.EqualFunc(got, want, func(a, b Job) bool { return a.ID == b.ID }) {
			t.Fatalf("iterator %v\norder    %v", got, want)
		}
	})
}

// Guards against delayed urgent jobs, starved low-priority jobs and missed
// deadlines.
func TestOrder(t *testing.T) {
	base := Job{Class: ClassBackground, Accepted: baseTime, Declared: time.Hour}
	with := func(id string, f func(*Job)) Job {
		j := base
		j.ID = id
		f(&j)
		return j
	}
	plain := with("plain", func(*Job) {})
	tests := []struct {
		name  string
		first Job
		later Job
		after time.Duration
	}{
		{"quick before an old planned job", with("q", func(j *Job) { j.Class = ClassQuick; j.Accepted = baseTime.Add(24 * time.Hour) }), with("p", func(j *Job) { j.Class = ClassPlanned }), 24 * time.Hour},
		{"planned before background", with("p", func(j *Job) { j.Class = ClassPlanned }), plain, 0},
		{"higher team priority", with("h", func(j *Job) { j.Priority = 1 }), plain, time.Minute},
		{"short before long", with("s", func(j *Job) { j.Declared = time.Minute }), plain, time.Minute},
		{"low priority after a long wait", plain, with("h", func(j *Job) { j.Priority = 8; j.Accepted = baseTime.Add(30 * time.Hour) }), 30 * time.Hour},
		{"deadline at risk", with("d", func(j *Job) { j.Deadline = baseTime.Add(2 * time.Hour) }), plain, time.Minute},
		{"unreachable deadline gives no advantage", with("s", func(j *Job) { j.Accepted = baseTime.Add(-time.Minute) }), with("d", func(j *Job) { j.Deadline = baseTime.Add(10 * time.Minute) }), 0},
	}
	convey.Convey("the order prefers", t, func() {
		for _, tt := range tests {
			convey.Convey(tt.name, func() {
				got := Order([]Job{tt.later, tt.first}, NewEstimator(), baseTime.Add(tt.after))
				convey.So(got[0].ID, convey.ShouldEqual, tt.first.ID)
			})
		}
	})
}

// Guards against relying on declared run times that are wrong by a factor of 10 in
// either direction, and against expecting a job that exceeds its estimate to end
// at any moment.
func TestEstimator(t *testing.T) {
	convey.Convey("given runs of one hour that are declared as ten hours or six minutes", t, func() {
		e := NewEstimator()
		for i := range 20 {
			e.Observe("a", "x", time.Hour+time.Duration(i-10)*time.Minute)
		}
		for _, declared := range []time.Duration{10 * time.Hour, 6 * time.Minute} {
			j := Job{Team: "a", Template: "x", Declared: declared}
			convey.So(e.Estimate(j).Median, convey.ShouldAlmostEqual, time.Hour, 5*time.Minute)
			j.Team = "other"
			convey.So(e.Estimate(j).Median, convey.ShouldAlmostEqual, time.Hour, 5*time.Minute)
			convey.So(e.Remaining(j, 50*time.Minute+time.Second).High, convey.ShouldBeLessThan, 20*time.Minute)
			convey.So(e.Remaining(j, 3*time.Hour).High, convey.ShouldEqual, 3*time.Hour)
		}
		convey.So(e.Estimate(Job{Template: "new", Declared: time.Minute}).High, convey.ShouldEqual, 10*time.Minute)
		convey.So(e.Estimate(Job{Team: "a", Template: "x", Remaining: 0.5}).Median, convey.ShouldAlmostEqual, 30*time.Minute, 3*time.Minute)
	})
}

// Measures adding a burst of jobs, iterating over it and cancelling it. The cost
// per job should hardly depend on the size of the burst.
func BenchmarkBurst(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("jobs=", size), func(b *testing.B) {
			b.ReportAllocs()
			rng := rand.New(rand.NewPCG(1, 6))
			var jobs []Job
			for i := range size {
				jobs = append(jobs, randomJob(rng, i))
			}
			e := NewEstimator()
			for b.Loop() {
				q := New()
				for _, j := range jobs {
					q.Add(j)
				}
				iterate(q, e, baseTime)
				for _, j := range jobs {
					q.Remove(j.ID)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/job")
		})
	}
}
