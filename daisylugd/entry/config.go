package entry

import (
	"context"
	"time"

	"daisylug.example/scheduler/control"
	"daisylug.example/scheduler/uptime"
)

const (
	// configWatchTimeout is how long one call waits for a change of the
	// configuration. Each response confirms that the configuration is the newest.
	configWatchTimeout = 800 * time.Millisecond
	// configRetryDelay is the delay before the next attempt after a failure.
	configRetryDelay = 100 * time.Millisecond
)

// watchConfig keeps the configuration up to date until ctx is cancelled. It
// never goes back to an older version.
func (e *Server) watchConfig(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		start := time.Now()
		wait := configWatchTimeout
		if !e.ConfigFresh() {
			// Callers are refused until a response confirms the configuration, so
			// that the call must not wait for a change.
			wait = 0
		}
		next, err := e.services.Source.Next(ctx, e.configVersion(), wait)
		e.applyEvacuations(next.Evacuations)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			e.log.Info("availability of the configuration source changed", "available", !failing, "version", e.configVersion(), "error", err)
		}
		if err != nil {
			sleep(ctx, configRetryDelay)
			continue
		}
		confirmedAt := start
		if next.Snapshot != nil {
			e.applyConfig(next.Snapshot)
		} else {
			// The store has checked for changes until the end of the wait.
			confirmedAt = start.Add(min(wait, time.Since(start)))
		}
		stamp := uptime.At(confirmedAt)
		e.configConfirmedAt.Store(&stamp)
	}
	return ctx.Err()
}

func (e *Server) applyConfig(next Snapshot) {
	if next.Config().Version <= e.configVersion() {
		return
	}
	e.log.Info("configuration applied", "version", next.Config().Version, "former", e.configVersion())
	e.snapshot.Store(&next)
	if e.services.ConfigApplied != nil {
		e.services.ConfigApplied(next)
	}
	e.group.SetConfigVersion(uint64(next.Config().Version))
	if p := e.planner.Load(); p != nil {
		p.Wake()
	}
}

// configVersion returns the version of the current configuration, or 0 if there
// is none.
func (e *Server) configVersion() int64 {
	if s := e.Snapshot(); s != nil {
		return s.Config().Version
	}
	return 0
}

// Snapshot returns the current configuration as the adapter decoded it, or nil
// if there is none.
func (e *Server) Snapshot() Snapshot {
	if s := e.snapshot.Load(); s != nil {
		return *s
	}
	return nil
}

// currentConfig returns the current configuration for the planner, or nil if
// there is none.
func (e *Server) currentConfig() *control.Config {
	if s := e.Snapshot(); s != nil {
		return s.Config()
	}
	return nil
}

// ConfigFresh reports whether the configuration was confirmed recently enough to
// serve callers.
func (e *Server) ConfigFresh() bool {
	return e.configConfirmedAt.Load() != nil && e.ConfigAge() <= e.settings.MaxConfigAge
}

// ConfigAge returns the time since the configuration was last confirmed to be
// the newest, or 0 if it never was. It includes time in which the machine was
// suspended.
func (e *Server) ConfigAge() time.Duration {
	if at := e.configConfirmedAt.Load(); at != nil {
		return at.Age()
	}
	return 0
}

const (
	// minOutageRetryAfter and maxOutageRetryAfter bound the retry delay that is
	// sent to callers while the store is unavailable.
	minOutageRetryAfter = 1 * time.Second
	maxOutageRetryAfter = 4 * time.Second
)

// RetryAfter returns the retry delay for callers while the configuration cannot
// be confirmed. It grows with the outage, so that the few attempts of a caller
// outlast it.
func (e *Server) RetryAfter() time.Duration {
	return min(max(e.ConfigAge()-e.settings.MaxConfigAge, minOutageRetryAfter), maxOutageRetryAfter)
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
