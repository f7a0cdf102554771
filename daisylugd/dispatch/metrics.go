package dispatch

import (
	"strconv"
	"time"

	"daisylug.example/scheduler/meter"
	"daisylug.example/scheduler/rack"
)

// instanceMetrics holds the metrics of an instance.
type instanceMetrics struct {
	set *meter.Set
}

func newInstanceMetrics() *instanceMetrics { return &instanceMetrics{set: meter.NewSet()} }

// countAccepted counts an accepted job.
func (m *instanceMetrics) countAccepted(team, class string, existing bool) {
	m.set.Counter("daisylug_jobs_accepted_total", meter.L("team", team), meter.L("class", class), meter.L("existing", strconv.FormatBool(existing))).Inc()
}

// observeWait records the time from acceptance to start.
func (m *instanceMetrics) observeWait(team, class string, d time.Duration) {
	m.set.Histogram("daisylug_job_wait_seconds", meter.L("team", team), meter.L("class", class)).Update(d.Seconds())
}

// observeEnded records the run time and outcome of an attempt.
func (m *instanceMetrics) observeEnded(o rack.Outcome) {
	m.set.Counter("daisylug_attempts_ended_total", meter.L("team", o.Team), meter.L("outcome", string(o.Kind))).Inc()
	if !o.Started.IsZero() {
		m.set.Histogram("daisylug_attempt_run_seconds", meter.L("team", o.Team)).Update(o.Ended.Sub(o.Started).Seconds())
	}
}

// update sets the gauges from the current state of the components.
func (m *instanceMetrics) update(d *Daemon) {
	config := d.configStatus(time.Now())
	m.setGauge(`daisylug_config_version`, float64(config.Version))
	m.setGauge(`daisylug_config_fresh`, boolValue(config.Fresh))
	m.setGauge(`daisylug_ready`, boolValue(d.isReady()))
	m.setGauge(`daisylug_planner`, boolValue(d.scheduler.isActive()))
	m.setGauge(`daisylug_racks_owned`, float64(len(d.racks.Summaries())))
	q := d.scheduler.status()
	m.setGauge(`daisylug_jobs_waiting`, float64(q.Waiting))
	m.setGauge(`daisylug_jobs_unpaid`, float64(q.Unpaid))
	for _, b := range d.balanceStatus() {
		m.setGauge("daisylug_balance_accelerator_seconds", b.Remaining, meter.L("team", b.Team))
	}
	stats := d.ledger.Stats()
	m.setGauge(`daisylug_table_transactions`, float64(stats.Transactions))
	m.setGauge(`daisylug_table_rows`, float64(stats.Rows))
	m.setGauge(`daisylug_table_settled`, float64(stats.Resolved))
}

func (m *instanceMetrics) setGauge(name string, value float64, labels ...meter.Label) {
	m.set.Gauge(name, labels...).Set(value)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
