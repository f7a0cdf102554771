package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/rack"
)

// instanceMetrics holds the metrics of an instance.
type instanceMetrics struct {
	set *metrics.Set
}

func newInstanceMetrics() *instanceMetrics { return &instanceMetrics{set: metrics.NewSet()} }

// countAccepted counts an accepted job.
func (m *instanceMetrics) countAccepted(team, class string, existing bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`daisylug_jobs_accepted_total{team=%q,class=%q,existing="%t"}`, team, class, existing)).Inc()
}

// observeWait records the time from acceptance to start.
func (m *instanceMetrics) observeWait(team, class string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`daisylug_job_wait_seconds{team=%q,class=%q}`, team, class)).Update(d.Seconds())
}

// observeEnded records the run time and outcome of an attempt.
func (m *instanceMetrics) observeEnded(o rack.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`daisylug_attempts_ended_total{team=%q,outcome=%q}`, o.Team, o.Kind)).Inc()
	if !o.Started.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`daisylug_attempt_run_seconds{team=%q}`, o.Team)).Update(o.Ended.Sub(o.Started).Seconds())
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
		m.setGauge(fmt.Sprintf(`daisylug_balance_accelerator_seconds{team=%q}`, b.Team), b.Remaining)
	}
	stats := d.ledger.Stats()
	m.setGauge(`daisylug_table_transactions`, float64(stats.Transactions))
	m.setGauge(`daisylug_table_rows`, float64(stats.Rows))
	m.setGauge(`daisylug_table_settled`, float64(stats.Resolved))
}

func (m *instanceMetrics) setGauge(name string, value float64) {
	m.set.GetOrCreateGauge(name, nil).Set(value)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
