package overload

import (
	"slices"
	"time"
)

// Load is the backlog of a service and the capacity that works on it. The zero
// value has neither.
type Load struct {
	capacity Amount
	curve    []segment
	backlog  []backlog
	// length and doubt are the length of the backlog, and the same weighted by the
	// doubt of its run times.
	length, doubt float64
}

// backlog is the work of the waiting tasks of a team at a priority. Tasks that
// cannot meet their objective any more are late.
type backlog struct {
	team         string
	priority     int
	onTime, late Amount
}

// segment is the time between the ends of two runs, during which the free capacity
// is constant.
type segment struct {
	// start is in seconds from now, done what the free capacity adds up to until then.
	start float64
	free  Amount
	done  Amount
}

// NewLoad returns the load of a service with the given capacity, in units of
// workers of typical speed, the runs in progress, and the waiting tasks.
func NewLoad(now time.Time, capacity Amount, running []Running, waiting []Waiting) Load {
	l := Load{capacity: capacity}
	last := segment{free: capacity}
	for i := range running {
		last.free = last.free.Plus(running[i].Need.Times(-1))
	}
	for _, r := range slices.SortedFunc(slices.Values(running), func(a, b Running) int { return a.Ends.Compare(b.Ends) }) {
		if length := r.Ends.Sub(now).Seconds() - last.start; length > 0 {
			l.curve = append(l.curve, last)
			last.start, last.done = last.start+length, last.done.Plus(last.free.Max(Amount{}).Times(length))
		}
		last.free = last.free.Plus(r.Need)
	}
	l.curve = append(l.curve, last)
	for i := range waiting {
		l.add(&waiting[i])
	}
	return l
}

// With returns the load with more waiting tasks.
func (l Load) With(w Waiting) Load {
	l.backlog = slices.Clone(l.backlog)
	l.add(&w)
	return l
}

// add changes the load in place.
func (l *Load) add(w *Waiting) {
	at := slices.IndexFunc(l.backlog, func(b backlog) bool { return b.team == w.Team && b.priority == w.Priority })
	if at < 0 {
		at = len(l.backlog)
		l.backlog = append(l.backlog, backlog{team: w.Team, priority: w.Priority})
	}
	if b := &l.backlog[at]; w.Late {
		b.late = b.late.Plus(w.Work)
	} else {
		b.onTime = b.onTime.Plus(w.Work)
	}
	length := w.Work.Dominant(l.capacity)
	l.length += length
	l.doubt += length * w.Doubt
}

// Job describes a submitted job.
type Job struct {
	Team     string
	Priority int
	// Work is what its tasks need times their expected run times.
	Work Amount
	// Later is the work that is expected to come in before the job starts.
	Later Later
	// Duration is the expected time from its start to its end.
	Duration time.Duration
	// Allowed is the time from acceptance to the objective, Useful the time from
	// acceptance after which the result is of no use.
	Allowed, Useful time.Duration
	// Doubt is the share by which run times may be longer or shorter than expected.
	Doubt float64
}

const (
	// minDoubt is assumed at least, because the order, the fragmentation of the
	// capacity and the speeds of the workers are not known in advance.
	minDoubt = 0.25
	// maxDoubt is the doubt above which nothing is refused: the run times then differ
	// by more than a factor of 2, and so may the expected end.
	maxDoubt = 1.0
	// UnknownDoubt is the doubt of run times of which nothing is known.
	UnknownDoubt = 10 * maxDoubt
	// maxInflowShare limits the part of the capacity that later work is expected to
	// take. A burst may end at any moment, so that a job that is late now is never
	// expected to wait for more than 4 times its backlog.
	maxInflowShare = 0.75
)

// Forecast is the expected service of a job.
type Forecast struct {
	// Wait is the time until the job starts, at the earliest that the doubt admits.
	Wait time.Duration
	// Useful is set if the result may come in time to be of use.
	Useful bool
	// Return is the time after which the backlog leaves capacity to meet the objective.
	Return time.Duration
}

// Forecast returns the earliest service of a job that is accepted now. A job that
// cannot be on time waits behind those that come later and can, so that their inflow
// counts. Otherwise the forecast errs towards useful: later steps of accepted jobs and
// the fragmentation of the capacity are left out, and the backlog is taken to be as
// short as the doubt of run times admits.
func (l Load) Forecast(j Job) Forecast {
	doubt := max(minDoubt, j.Doubt, ratio(l.doubt, l.length))
	if j.Allowed <= 0 || doubt > maxDoubt || l.capacity == (Amount{}) {
		return Forecast{Useful: true}
	}
	margin := 1 + doubt
	onTime := seconds(l.ahead(j, func(b *backlog) Amount { return b.onTime }) / margin / l.left(j.Later.BeforeOnTime))
	if onTime+j.Duration <= j.Allowed {
		return Forecast{Wait: onTime, Useful: true}
	}
	wait := seconds(l.ahead(j, func(b *backlog) Amount { return b.onTime.Plus(b.late) }) / margin / l.left(j.Later.BeforeLate))
	return Forecast{Wait: wait, Useful: wait+j.Duration <= j.Useful, Return: max(wait+j.Duration-j.Allowed, 0)}
}

// left returns the part of the capacity that later work leaves.
func (l Load) left(later Amount) float64 { return 1 - min(later.Dominant(l.capacity), maxInflowShare) }

// ahead returns the time, in seconds, in which the capacity that runs in progress
// leave does the work that comes before the job, in the resources that it needs. At its own priority the teams are served evenly, so that of each
// other team no more comes first than the team of the job has itself.
func (l Load) ahead(j Job, work func(*backlog) Amount) float64 {
	own := j.Work
	for i := range l.backlog {
		if b := &l.backlog[i]; b.team == j.Team && b.priority == j.Priority {
			own = own.Plus(work(b))
		}
	}
	limit := own.Dominant(l.capacity)
	sum := Amount{}
	for i := range l.backlog {
		b := &l.backlog[i]
		w := work(b)
		switch length := w.Dominant(l.capacity); {
		case b.priority > j.Priority:
			continue
		case b.priority == j.Priority && b.team != j.Team && length > limit:
			w = w.Times(limit / length)
		}
		sum = sum.Plus(w)
	}
	return l.timeFor(sum.Of(j.Work))
}

// timeFor returns the time, in seconds, until the free capacity has done the work. Each
// run delays it only until its own end: a long run on a part of the capacity does not
// keep the rest from working.
func (l Load) timeFor(work Amount) float64 {
	at, _ := slices.BinarySearchFunc(l.curve, work, func(s segment, work Amount) int {
		if s.done.covers(work) {
			return 1
		}
		return -1
	})
	s := l.curve[max(at-1, 0)]
	return s.start + work.Plus(s.done.Times(-1)).Dominant(s.free)
}

// Length returns the time in which the whole capacity does the work.
func (l Load) Length(work Amount) time.Duration { return seconds(work.Dominant(l.capacity)) }

// maxLength bounds expected times, so that a service without some resource does not
// exceed the range of a duration.
const maxLength = 24 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxLength.Seconds()) * float64(time.Second))
}
