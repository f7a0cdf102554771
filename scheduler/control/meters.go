package control

import "github.com/VictoriaMetrics/metrics"

// meters are the metrics of a planner.
type meters struct {
	set    *metrics.Set
	commit *metrics.Histogram
	decide *metrics.Histogram
	// faults counts the decisions that failed by a fault of the program.
	faults *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:    set,
		commit: set.GetOrCreateHistogram("daisylug_planner_commit_seconds"),
		decide: set.GetOrCreateHistogram("daisylug_planner_decide_seconds"),
		faults: set.GetOrCreateCounter("daisylug_planner_faults_total"),
	}
}

// end counts the end of a run.
func (m *meters) end(queue, how string) {
	m.set.GetOrCreateCounter(`daisylug_planner_ends_total{queue="` + queue + `",how="` + how + `"}`).Inc()
}

// wait returns the histogram of the time from acceptance to the first start.
func (m *meters) wait(team string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(`daisylug_planner_wait_seconds{team="` + team + `"}`)
}

// duration returns the histogram of the time from acceptance to the end.
func (m *meters) duration(team string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(`daisylug_planner_job_seconds{team="` + team + `"}`)
}
