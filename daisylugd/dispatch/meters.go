package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisylug.example/scheduler/rack"
)

// meters holds the metrics of an instance.
type meters struct {
	set *metrics.Set
}

func newMeters() *meters { return &meters{set: metrics.NewSet()} }

// accepted counts an accepted job.
func (m *meters) accepted(team, class string, existing bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`daisylug_jobs_accepted_total{team=%q,class=%q,existing="%t"}`, team, class, existing)).Inc()
}

// waited records the time from acceptance to start.
func (m *meters) waited(team, class string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`daisylug_job_wait_seconds{team=%q,class=%q}`, team, class)).Update(d.Seconds())
}

// ended records the run time and outcome of an attempt.
func (m *meters) ended(o rack.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`daisylug_attempts_ended_total{team=%q,outcome=%q}`, o.Team, o.Kind)).Inc()
	if !o.Started.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`daisylug_attempt_run_seconds{team=%q}`, o.Team)).Update(o.Ended.Sub(o.Started).Seconds())
	}
}

// update sets the gauges that are read from the parts.
func (m *meters) update(d *Daemon) {
	config := d.configStatus(time.Now())
	m.gauge(`daisylug_config_version`, float64(config.Version))
	m.gauge(`daisylug_config_fresh`, truth(config.Fresh))
	m.gauge(`daisylug_ready`, truth(d.isReady()))
	m.gauge(`daisylug_planner`, truth(d.scheduler.isActive()))
	m.gauge(`daisylug_racks_owned`, float64(len(d.racks.Summaries())))
	q := d.scheduler.status()
	m.gauge(`daisylug_jobs_waiting`, float64(q.Waiting))
	m.gauge(`daisylug_jobs_unpaid`, float64(q.Unpaid))
	for _, b := range d.balanceStatus() {
		m.gauge(fmt.Sprintf(`daisylug_balance_accelerator_seconds{team=%q}`, b.Team), b.Remaining)
	}
	stats := d.ledger.Stats()
	m.gauge(`daisylug_table_transactions`, float64(stats.Transactions))
	m.gauge(`daisylug_table_rows`, float64(stats.Rows))
	m.gauge(`daisylug_table_settled`, float64(stats.Settled))
}

func (m *meters) gauge(name string, value float64) {
	m.set.GetOrCreateGauge(name, nil).Set(value)
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
