package control

import (
	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/meter"
)

// instruments are the metrics of a planner.
type instruments struct {
	set    *meter.Set
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

func newInstruments(set *meter.Set) *instruments {
	return &instruments{
		set:                set,
		commit:             set.Histogram("daisylug_planner_commit_seconds"),
		decide:             set.Histogram("daisylug_planner_decide_seconds"),
		panics:             set.Counter("daisylug_planner_faults_total"),
		withdrawnStarts:    set.Counter("daisylug_planner_withdrawn_starts_total"),
		guaranteeShortfall: set.Gauge("daisylug_planner_guarantee_shortfall_accelerators"),

		reservedAccelerators: set.Gauge("daisylug_planner_reserved_accelerators"),
		gangSpeeds:           set.Counter("daisylug_planner_gang_speeds_total"),
		reservedWorkers:      set.Gauge("daisylug_planner_reserved_workers"),
	}
}

// countRunEnd counts the end of a run.
func (m *instruments) countRunEnd(queue, outcome string) {
	m.set.Counter("daisylug_planner_ends_total", meter.L("queue", queue), meter.L("how", outcome)).Inc()
}

// countStop counts a run that is stopped, and whether its job was expected to meet
// its objective without that.
func (m *instruments) countStop(reason stopReason, timely bool) {
	label := meter.L("reason", string(reason))
	m.set.Counter("daisylug_planner_stops_total", label).Inc()
	if timely {
		m.set.Counter("daisylug_planner_stops_of_timely_jobs_total", label).Inc()
	}
}

// countUnneededStop counts a run that is stopped for a job that was expected to
// meet its objective without that.
func (m *instruments) countUnneededStop(reason stopReason) {
	m.set.Counter("daisylug_planner_unneeded_stops_total", meter.L("reason", string(reason))).Inc()
}

// countUnknownSpeed counts the tasks that start on workers of unknown speed.
func (m *instruments) countUnknownSpeed(queue string, n int) {
	m.set.Counter("daisylug_planner_unknown_speed_starts_total", meter.L("queue", queue)).Add(n)
}

// waitTime returns the histogram of the time from acceptance to the first
// start.
func (m *instruments) waitTime(team string) *metrics.Histogram {
	return m.set.Histogram("daisylug_planner_wait_seconds", meter.L("team", team))
}

// jobDuration returns the histogram of the time from acceptance to the end.
func (m *instruments) jobDuration(team string) *metrics.Histogram {
	return m.set.Histogram("daisylug_planner_job_seconds", meter.L("team", team))
}

// evacuatedRuns returns the gauge of the runs, gangs counted once, in a data
// centre that is being evacuated.
func (m *instruments) evacuatedRuns(dataCentre string) *metrics.Gauge {
	return m.set.Gauge("daisylug_planner_evacuated_runs", meter.L("datacentre", dataCentre))
}

// overloaded returns the gauge that is 1 while a service is overloaded.
func (m *instruments) overloaded(service string) *metrics.Gauge {
	return m.set.Gauge("daisylug_planner_overloaded", meter.L("service", service))
}

// pressure returns the gauge of the ratio of the work of a service that is due to
// its capacity until then.
func (m *instruments) pressure(service string) *metrics.Gauge {
	return m.set.Gauge("daisylug_planner_pressure", meter.L("service", service))
}

// countLoadRefusal counts a submission that would have been too late to be of use.
// It was accepted nevertheless if the budget for refusals was used up.
func (m *instruments) countLoadRefusal(queue string, refused bool) {
	name := "daisylug_planner_load_refusals_total"
	if !refused {
		name = "daisylug_planner_load_refusals_waived_total"
	}
	m.set.Counter(name, meter.L("queue", queue)).Inc()
}
