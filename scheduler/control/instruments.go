package control

import "github.com/VictoriaMetrics/metrics"

// instruments are the metrics of a planner.
type instruments struct {
	set    *metrics.Set
	commit *metrics.Histogram
	decide *metrics.Histogram
	// panics counts the decisions that panicked.
	panics *metrics.Counter
	// withdrawnStarts counts the starts that were given up because their data
	// centre was being evacuated or their worker was leaving.
	withdrawnStarts *metrics.Counter
	// guaranteeShortfall is the number of guaranteed accelerators that exceed those
	// of the workers in use.
	guaranteeShortfall *metrics.Gauge
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:                set,
		commit:             set.GetOrCreateHistogram("daisylug_planner_commit_seconds"),
		decide:             set.GetOrCreateHistogram("daisylug_planner_decide_seconds"),
		panics:             set.GetOrCreateCounter("daisylug_planner_faults_total"),
		withdrawnStarts:    set.GetOrCreateCounter("daisylug_planner_withdrawn_starts_total"),
		guaranteeShortfall: set.GetOrCreateGauge("daisylug_planner_guarantee_shortfall_accelerators", nil),
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

// evacuatedRuns returns the gauge of the runs, gangs counted once, in a data
// centre that is being evacuated.
func (m *instruments) evacuatedRuns(dataCentre string) *metrics.Gauge {
	return m.set.GetOrCreateGauge(`daisylug_planner_evacuated_runs{datacentre="`+dataCentre+`"}`, nil)
}

// overloaded returns the gauge that is 1 while a service is overloaded.
func (m *instruments) overloaded(service string) *metrics.Gauge {
	return m.set.GetOrCreateGauge(`daisylug_planner_overloaded{service="`+service+`"}`, nil)
}

// pressure returns the gauge of the ratio of the work of a service that is due to
// its capacity until then.
func (m *instruments) pressure(service string) *metrics.Gauge {
	return m.set.GetOrCreateGauge(`daisylug_planner_pressure{service="`+service+`"}`, nil)
}

// countLoadRefusal counts a submission that would have been too late to be of use.
// It was accepted nevertheless if the budget for refusals was used up.
func (m *instruments) countLoadRefusal(queue string, refused bool) {
	name := "daisylug_planner_load_refusals_total"
	if !refused {
		name = "daisylug_planner_load_refusals_waived_total"
	}
	m.set.GetOrCreateCounter(name + `{queue="` + queue + `"}`).Inc()
}
