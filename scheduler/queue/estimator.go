package queue

import (
	"slices"
	"time"
)

const (
	// sampleWindow is the number of recent run times kept per sampleKey.
	sampleWindow = 32
	// minSamples is the number of observed run times needed to replace the
	// declared one.
	minSamples = 4
	// declaredErrorFactor is the factor by which declared run times may be wrong,
	// in either direction.
	declaredErrorFactor = 10
)

// Estimator estimates run times from the observed runs of a team and template, or
// of all teams for teams with too few runs of their own. It is not safe for
// concurrent use.
type Estimator struct {
	samples map[sampleKey]*samples
}

// sampleKey identifies the samples of a template for a team. An empty team stands
// for all teams.
type sampleKey struct{ team, template string }

// samples holds the most recent run times, in a ring buffer and sorted by length.
type samples struct {
	recent []time.Duration
	// next is the position of the oldest value in recent.
	next   int
	sorted []time.Duration
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{samples: map[sampleKey]*samples{}} }

// Estimate is the expected run time of a job on workers of speed 1.
type Estimate struct {
	// Median and High are the 50th and 90th percentiles.
	Median time.Duration
	High   time.Duration
	// Samples is the number of observations behind the estimate.
	Samples int
}

// Observe records the total run time of a finished job, converted to speed 1.
func (e *Estimator) Observe(team, template string, d time.Duration) {
	e.observe(sampleKey{team, template}, d)
	if team != "" {
		e.observe(sampleKey{"", template}, d)
	}
}

func (e *Estimator) observe(key sampleKey, d time.Duration) {
	if e.samples[key] == nil {
		e.samples[key] = &samples{}
	}
	e.samples[key].add(d)
}

// RecentRunTimes returns the recent run times of all teams by template, oldest first.
func (e *Estimator) RecentRunTimes() map[string][]time.Duration {
	all := map[string][]time.Duration{}
	for k, s := range e.samples {
		if k.team == "" {
			all[k.template] = slices.Concat(s.recent[s.next:], s.recent[:s.next])
		}
	}
	return all
}

func (s *samples) add(d time.Duration) {
	if len(s.recent) < sampleWindow {
		s.recent = append(s.recent, d)
	} else {
		at, _ := slices.BinarySearch(s.sorted, s.recent[s.next])
		s.sorted = slices.Delete(s.sorted, at, at+1)
		s.recent[s.next] = d
		s.next = (s.next + 1) % sampleWindow
	}
	at, _ := slices.BinarySearch(s.sorted, d)
	s.sorted = slices.Insert(s.sorted, at, d)
}

// samplesFor returns the sorted run times that apply to the job, or nil if there
// are fewer than minSamples.
func (e *Estimator) samplesFor(j Job) []time.Duration {
	if e == nil {
		return nil
	}
	for _, key := range []sampleKey{{j.Team, j.Template}, {"", j.Template}} {
		if found := e.samples[key]; found != nil && len(found.sorted) >= minSamples {
			return found.sorted
		}
	}
	return nil
}

// Estimate returns the expected run time of the remaining work of a job. Without
// enough observations the median is the declared run time and the high value
// allows for declaredErrorFactor.
func (e *Estimator) Estimate(j Job) Estimate {
	est := Estimate{Median: j.Declared, High: declaredErrorFactor * j.Declared}
	if s := e.samplesFor(j); s != nil {
		est = Estimate{Median: quantile(s, 0.5), High: quantile(s, 0.9), Samples: len(s)}
	}
	est.Median = scale(est.Median, j.remainingShare())
	est.High = scale(est.High, j.remainingShare())
	return est
}

// Remaining returns the expected remaining run time of a job that has run for the
// elapsed time, at speed 1, since its latest start. A job that exceeds all
// observations is expected to take as long again as it has taken. A wrong estimate
// therefore delays the jobs that wait for it by a bounded factor and does not
// affect the job itself.
func (e *Estimator) Remaining(j Job, elapsed time.Duration) Estimate {
	done := elapsed
	if j.remainingShare() < 1 {
		done += scale(e.totalRunTime(j), 1-j.remainingShare())
	}
	s := e.samplesFor(j)
	if s == nil {
		s = []time.Duration{j.Declared, declaredErrorFactor * j.Declared}
	}
	at, _ := slices.BinarySearch(s, done+1)
	longer := s[at:]
	if len(longer) == 0 {
		return Estimate{Median: done, High: done, Samples: len(s)}
	}
	return Estimate{Median: quantile(longer, 0.5) - done, High: quantile(longer, 0.9) - done, Samples: len(longer)}
}

// totalRunTime returns the expected run time of the whole job.
func (e *Estimator) totalRunTime(j Job) time.Duration {
	j.Remaining = 1
	return e.Estimate(j).Median
}

// quantile returns the q-quantile of the sorted durations, rounded up to one of
// them.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
