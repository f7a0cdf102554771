package control

import "github.com/VictoriaMetrics/metrics"

// instruments are the metrics of a planner.
type instruments struct {
	set    *metrics.Set
	commit *metrics.Histogram
	decide *metrics.Histogram
	// panics counts the decisions that panicked.
	panics *metrics.Counter
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:    set,
		commit: set.GetOrCreateHistogram("daisylug_planner_commit_seconds"),
		decide: set.GetOrCreateHistogram("daisylug_planner_decide_seconds"),
		panics: set.GetOrCreateCounter("daisylug_planner_faults_total"),
	}
}

// countRunEnd counts the end of a run.
func (m *instruments) countRunEnd(queue, outcome string) {
	m.set.GetOrCreateCounter(`daisylug_planner_ends_total{queue="` + queue + `",how="` + outcome + `"}`).Inc()
}

// waitTime returns the histogram of the time from acceptance to the first
// start.
func (m *instruments) waitTime(team string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(`daisylug_planner_wait_seconds{team="` + team + `"}`)
}

// jobDuration returns the histogram of the time from acceptance to the end.
func (m *instruments) jobDuration(team string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(`daisylug_planner_job_seconds{team="` + team + `"}`)
}
