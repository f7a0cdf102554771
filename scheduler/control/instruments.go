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
	// reservedAccelerators and reservedWorkers are the room kept for urgent work.
	reservedAccelerators *metrics.Gauge
	reservedWorkers      *metrics.Gauge
	// gangSpeeds counts the speeds learned from gangs.
	gangSpeeds *metrics.Counter
}

func newInstruments(set *metrics.Set) *instruments {
	return &instruments{
		set:                set,
		commit:             set.GetOrCreateHistogram("daisylug_planner_commit_seconds"),
		decide:             set.GetOrCreateHistogram("daisylug_planner_decide_seconds"),
		panics:             set.GetOrCreateCounter("daisylug_planner_faults_total"),
		withdrawnStarts:    set.GetOrCreateCounter("daisylug_planner_withdrawn_starts_total"),
		guaranteeShortfall: set.GetOrCreateGauge("daisylug_planner_guarantee_shortfall_accelerators", nil),

		reservedAccelerators: set.GetOrCreateGauge("daisylug_planner_reserved_accelerators", nil),
		gangSpeeds:           set.GetOrCreateCounter("daisylug_planner_gang_speeds_total"),
		reservedWorkers:      set.GetOrCreateGauge("daisylug_planner_reserved_workers", nil),
	}
}

// countRunEnd counts the end of a run.
func (m *instruments) countRunEnd(queue, outcome string) {
	m.set.GetOrCreateCounter(`daisylug_planner_ends_total{queue="` + queue + `",how="` + outcome + `"}`).Inc()
}

// countStop counts a run that is stopped, and whether its job was expected to meet
// its objective without that.
func (m *instruments) countStop(reason stopReason, timely bool) {
	label := `{reason="` + string(reason) + `"}`
	m.set.GetOrCreateCounter("daisylug_planner_stops_total" + label).Inc()
	if timely {
		m.set.GetOrCreateCounter("daisylug_planner_stops_of_timely_jobs_total" + label).Inc()
	}
}

// countUnneededStop counts a run that is stopped for a job that was expected to
// meet its objective without that.
func (m *instruments) countUnneededStop(reason stopReason) {
	m.set.GetOrCreateCounter(`daisylug_planner_unneeded_stops_total{reason="` + string(reason) + `"}`).Inc()
}

// countUnknownSpeed counts the tasks that start on workers of unknown speed.
func (m *instruments) countUnknownSpeed(queue string, n int) {
	m.set.GetOrCreateCounter(`daisylug_planner_unknown_speed_starts_total{queue="` + queue + `"}`).Add(n)
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
